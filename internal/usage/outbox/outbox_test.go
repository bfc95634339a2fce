package outbox

import "testing"

// TestUncoveredUsageIsReported sends attempts while the log cannot be written. With PolicyServe, their total
// must be reported to the receiver once the log works again. With PolicyReject, attempts must be denied.
func TestUncoveredUsageIsReported(t *testing.T) {
	s := newSimulation(1, PolicyServe, noFault)
	s.broken = true
	s.do(s.outbox.Handle(LogStatus{"no space"}))
	for range 3 {
		s.attempt()
		s.settleOne(OutcomeAnswered)
	}
	if s.outbox.RejectsRequests(true) || s.outbox.Counts.UncoveredAttempts != 3 {
		t.Errorf("got %+v, want 3 attempts without an intent and no rejection", s.outbox.Counts)
	}
	s.broken = false
	s.do(s.outbox.Handle(LogStatus{""}))
	s.sync()
	s.deliver()
	if s.reportedGap != 3 {
		t.Errorf("%d attempts reported as sent without an intent, want 3", s.reportedGap)
	}
	s = newSimulation(1, PolicyReject, noFault)
	s.do(s.outbox.Handle(LogStatus{"no space"}))
	s.attempt()
	if !s.outbox.RejectsRequests(true) || !s.denied["t1"] || !New(Settings{}).RejectsRequests(false) {
		t.Error("an attempt was not denied while the log could not be written or had no space")
	}
}

// TestIncarnationExceedsLoggedOnes starts an incarnation whose minimum number is below that in the log,
// because the clock was set back. It must choose a greater number. Otherwise event keys would repeat, and the
// receiver would drop new events as duplicates.
func TestIncarnationExceedsLoggedOnes(t *testing.T) {
	o := New(Settings{MinIncarnation: 5})
	for i, action := range New(Settings{MinIncarnation: 9}).Start(1) {
		if err := o.Restore(uint64(i+1), action.(Append).Payload); err != nil {
			t.Fatal(err)
		}
	}
	if o.Start(1); o.Incarnation() != 10 {
		t.Errorf("incarnation %d, want 10", o.Incarnation())
	}
}
