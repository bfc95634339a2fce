package outbox

import "testing"

// TestGapIsTold serves while the log fails: once it works again the receiver gets how much was not covered. With the
// other policy the attempt is denied.
func TestGapIsTold(t *testing.T) {
	o := newSimulation(1, PolicyServe, noFault)
	o.broken = true
	o.do(o.outbox.Handle(LogStatus{"no space"}))
	for range 3 {
		o.attempt()
		o.settleOne(OutcomeAnswered)
	}
	if o.outbox.RejectsRequests(true) || o.outbox.Counts.UncoveredAttempts != 3 {
		t.Errorf("%+v", o.outbox.Counts)
	}
	o.broken = false
	o.do(o.outbox.Handle(LogStatus{""}))
	o.sync()
	o.deliver()
	if o.reportedGap != 3 {
		t.Errorf("%d attempts reported as not covered, want 3", o.reportedGap)
	}
	o = newSimulation(1, PolicyReject, noFault)
	o.do(o.outbox.Handle(LogStatus{"no space"}))
	o.attempt()
	if !o.outbox.RejectsRequests(true) || !o.denied["t1"] || !New(Settings{}).RejectsRequests(false) {
		t.Error("an attempt is sent that the log can't cover")
	}
}

// TestLife starts an incarnation whose number, by a clock that was set back, is below those in the log. It takes a
// greater one: the keys of events would come again otherwise, and the receiver would drop what it has not.
func TestLife(t *testing.T) {
	o := New(Settings{MinIncarnation: 5})
	for i, a := range New(Settings{MinIncarnation: 9}).Start(1) {
		if err := o.Restore(uint64(i+1), a.(Append).Payload); err != nil {
			t.Fatal(err)
		}
	}
	if o.Start(1); o.Incarnation() != 10 {
		t.Errorf("incarnation %d, want 10", o.Incarnation())
	}
}
