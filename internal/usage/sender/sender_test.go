package sender_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"winghatch/internal/testbed/await"
	"winghatch/internal/testbed/usagereceiver"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/usage/sender"
	"winghatch/internal/wal"
)

var eventually = await.Until

// fillLog appends the records of an outbox for n answered attempts of one incarnation, and waits until they
// are durable.
func fillLog(t testing.TB, l *wal.Log, n int) {
	t.Helper()
	o := outbox.New(outbox.Settings{MinIncarnation: 5})
	do := func(actions []outbox.Action) {
		for _, action := range actions {
			appendAction, ok := action.(outbox.Append)
			if !ok {
				continue
			}
			number, err := l.Append(appendAction.Payload)
			if err != nil {
				t.Fatal(err)
			}
			if appendAction.ID != 0 {
				o.Handle(outbox.Appended{ID: appendAction.ID, Record: number})
			}
		}
	}
	do(o.Start(1))
	for i := 1; i <= n; i++ {
		id := outbox.AttemptID(i)
		attempt := outbox.Attempt{Request: fmt.Sprint("r-", i, "-"), Member: "m", Units: 1}
		do(o.Handle(outbox.RecordIntent{ID: id, LogHasSpace: true, Attempt: attempt}))
		do(o.Handle(outbox.Settle{ID: id, Outcome: outbox.OutcomeAnswered, UsedUnits: 2}))
	}
	if err := l.Sync(10 * time.Second); err != nil {
		t.Fatal(err)
	}
}

// fixture is a filled log with a receiver.
type fixture struct {
	t            *testing.T
	dir          string
	log          *wal.Log
	receiver     *usagereceiver.Receiver
	acknowledged chan uint64 // arguments of OnAcknowledged
}

// newFixture returns a log with the events of n attempts, and a receiver.
func newFixture(t *testing.T, n int) *fixture {
	f := &fixture{t: t, dir: t.TempDir(), acknowledged: make(chan uint64, 10000)}
	var err error
	if f.log, _, err = wal.Open(filepath.Join(f.dir, "use"), wal.Options{}, nil, nil); err != nil {
		t.Fatal(err)
	}
	if f.receiver, err = usagereceiver.Start("127.0.0.1:0", filepath.Join(f.dir, "events")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.log.Close(); f.receiver.Stop() })
	fillLog(t, f.log, n)
	return f
}

// run starts a sender, which is stopped at the end of the test. Zero options are replaced by defaults.
func (f *fixture) run(o sender.Options) *sender.Sender {
	o.Log, o.URL, o.Fleet, o.Gateway = f.log, f.receiver.URL(), "f", 1
	o.DeadLetterFile = filepath.Join(f.dir, "aside")
	o.OnAcknowledged = func(record uint64) { f.acknowledged <- record }
	o.LogError = func(message string, args ...any) { f.t.Log(append([]any{message}, args...)...) }
	if o.MaxDeadLetterBytes == 0 {
		o.MaxDeadLetterBytes = 1 << 20
	}
	if o.BatchSize == 0 {
		o.BatchSize = 10
	}
	if o.Timeout == 0 {
		o.Timeout = 2 * time.Second
	}
	s := sender.New(o)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	f.t.Cleanup(func() { stop(); <-done })
	return s
}

// checkEvents waits for the events of all n attempts and checks that the receiver has each once, in order.
func (f *fixture) checkEvents(n int) {
	f.t.Helper()
	eventually(f.t, "all events have arrived", func() bool { return len(f.receiver.Events()) >= n })
	for i, e := range f.receiver.Events() {
		if e.ID != fmt.Sprint(i+1) && n > 0 {
			f.t.Fatalf("event %d has ID %s", i+1, e.ID)
		}
	}
	if got := len(f.receiver.Events()); got != n {
		f.t.Errorf("%d events, want %d", got, n)
	}
}

// TestRetryAfterReceiverFailure lets the receiver fail in different ways for a while. No event may be
// acknowledged during the failure. After it, all events must arrive exactly once, in order.
func TestRetryAfterReceiverFailure(t *testing.T) {
	for name, fault := range map[string]usagereceiver.Fault{
		"500":                  {Status: 500},
		"429 with Retry-After": {Status: 429, RetryAfter: "0"},
		"redirect":             {Status: 302},
		"404":                  {Status: 404},
		"drops connection":     {DropConnection: true},
		"responds early":       {RespondEarly: true},
		"slow":                 {Delay: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 35)
			f.receiver.SetFault(func(current *usagereceiver.Fault) { *current = fault })
			s := f.run(sender.Options{Timeout: 200 * time.Millisecond})
			eventually(t, "the batch was sent again", func() bool { return s.Counts().Retries >= 2 })
			if len(f.acknowledged) > 0 {
				t.Error("events were acknowledged during the failure")
			}
			if strings.HasPrefix(name, "responds early") && len(f.receiver.Events()) > 0 {
				t.Error("the receiver has events of a batch that it did not read")
			}
			f.receiver.SetFault(func(current *usagereceiver.Fault) { *current = usagereceiver.Fault{} })
			f.checkEvents(35)
			if name == "drops connection" && f.receiver.Duplicates() == 0 {
				t.Error("the receiver got no duplicate of an event that it had stored")
			}
		})
	}
}

// TestRejectedEventIsStoredAsDeadLetter lets the receiver reject one event. That event alone must be in the
// dead-letter file, and all others must be delivered.
func TestRejectedEventIsStoredAsDeadLetter(t *testing.T) {
	f := newFixture(t, 35)
	f.receiver.SetFault(func(current *usagereceiver.Fault) { current.Reject = "r-17-" })
	s := f.run(sender.Options{})
	eventually(t, "all other events have arrived", func() bool { return len(f.receiver.Events()) == 34 })
	eventually(t, "the dead letter was counted", func() bool { return s.Counts().DeadLetters == 1 })
	raw, err := os.ReadFile(filepath.Join(f.dir, "aside"))
	if err != nil || bytes.Count(raw, []byte("\n")) != 1 || !strings.Contains(string(raw), `"id":"17"`) {
		t.Errorf("dead-letter file contains %q, error %v; want event 17 only", raw, err)
	}
}

// TestDeadLetterFileLimit lets the receiver reject all events. The dead-letter file must not grow beyond its
// limit. After the file was moved away and the receiver accepts events again, all remaining events must be
// delivered.
func TestDeadLetterFileLimit(t *testing.T) {
	f := newFixture(t, 35)
	f.receiver.SetFault(func(current *usagereceiver.Fault) { current.Reject = "r-" })
	s := f.run(sender.Options{MaxDeadLetterBytes: 1000})
	eventually(t, "the limit was reported", func() bool {
		return strings.Contains(s.Counts().LastReason, "limit is 1000")
	})
	if n := s.Counts().DeadLetters; n == 0 || n > 3 {
		t.Errorf("%d dead letters in a file of at most 1000 bytes, want 1 to 3", n)
	}
	os.Rename(filepath.Join(f.dir, "aside"), filepath.Join(f.dir, "moved"))
	f.receiver.SetFault(func(current *usagereceiver.Fault) { current.Reject = "" })
	eventually(t, "the remaining events have arrived", func() bool {
		return len(f.receiver.Events()) == 35-int(s.Counts().DeadLetters)
	})
}

// TestReceiverRestart stops the receiver six times while events are sent to it, and starts it again with the
// file that it left. All events must arrive exactly once.
func TestReceiverRestart(t *testing.T) {
	f := newFixture(t, 200)
	f.receiver.SetFault(func(current *usagereceiver.Fault) { current.Delay = 2 * time.Millisecond })
	addr := f.receiver.Addr()
	f.run(sender.Options{BatchSize: 4})
	for i := range 6 {
		eventually(t, "more events have arrived", func() bool { return len(f.receiver.Events()) > 20*i })
		f.receiver.Stop()
		var err error
		if f.receiver, err = usagereceiver.Start(addr, filepath.Join(f.dir, "events")); err != nil {
			t.Fatal(err)
		}
		f.receiver.SetFault(func(current *usagereceiver.Fault) { current.Delay = 2 * time.Millisecond })
	}
	f.checkEvents(200)
}

// TestLogGap damages bytes in the middle of the log, as a faulty disk might. The events of the intact records
// must be sent, and the missing records must be counted.
func TestLogGap(t *testing.T) {
	f := newFixture(t, 30)
	f.log.Close()
	files, _ := filepath.Glob(filepath.Join(f.dir, "use", "*.log"))
	content, _ := os.ReadFile(files[0])
	at := len(content) / 2
	binary.LittleEndian.PutUint64(content[at:], ^binary.LittleEndian.Uint64(content[at:]))
	os.WriteFile(files[0], content, 0o600)
	l, recovery, err := wal.Open(filepath.Join(f.dir, "use"), wal.Options{}, nil, nil)
	if err != nil || len(recovery.Gaps) != 1 {
		t.Fatalf("got recovery %+v, error %v; want one gap", recovery, err)
	}
	f.log = l
	s := f.run(sender.Options{StopWhenIdle: true})
	eventually(t, "the remaining events have arrived", func() bool { return len(f.receiver.Events()) >= 29 })
	if s.LostRecords.Load() == 0 || len(f.receiver.Events()) > 30 {
		t.Errorf("%d records counted as missing, %d events; want at least 1 and at most 30",
			s.LostRecords.Load(), len(f.receiver.Events()))
	}
}
