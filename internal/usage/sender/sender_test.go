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

// fillLog appends what an outbox records of n attempts that were answered, in one incarnation.
func fillLog(t testing.TB, l *wal.Log, n int) {
	t.Helper()
	o := outbox.New(outbox.Settings{MinIncarnation: 5})
	do := func(actions []outbox.Action) {
		for _, action := range actions {
			record, ok := action.(outbox.Append)
			if !ok {
				continue
			}
			number, err := l.Append(record.Payload)
			if err != nil {
				t.Fatal(err)
			}
			if record.ID != 0 {
				o.Handle(outbox.Appended{ID: record.ID, Record: number})
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

// rig is a log and a receiver.
type rig struct {
	t            *testing.T
	dir          string
	log          *wal.Log
	receiver     *usagereceiver.Receiver
	acknowledged chan uint64
}

func newRig(t *testing.T, n int) *rig {
	r := &rig{t: t, dir: t.TempDir(), acknowledged: make(chan uint64, 10000)}
	var err error
	if r.log, _, err = wal.Open(filepath.Join(r.dir, "use"), wal.Options{}, nil, nil); err != nil {
		t.Fatal(err)
	}
	if r.receiver, err = usagereceiver.Start("127.0.0.1:0", filepath.Join(r.dir, "events")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.log.Close(); r.receiver.Stop() })
	fillLog(t, r.log, n)
	return r
}

func (r *rig) run(o sender.Options) *sender.Sender {
	o.Log, o.URL, o.Fleet, o.Gateway = r.log, r.receiver.URL(), "f", 1
	o.DeadLetterFile = filepath.Join(r.dir, "aside")
	o.OnAcknowledged = func(rec uint64) { r.acknowledged <- rec }
	o.LogError = func(text string, args ...any) { r.t.Log(append([]any{text}, args...)...) }
	if o.MaxDeadLetterBytes == 0 {
		o.MaxDeadLetterBytes = 1 << 20
	}
	if o.BatchSize == 0 {
		o.BatchSize = 10
	}
	if o.Timeout == 0 {
		o.Timeout = 2 * time.Second
	}
	c := sender.New(o)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	r.t.Cleanup(func() { stop(); <-done })
	return c
}

// hasAll checks that the receiver has the events of all n attempts once, in order.
func (r *rig) hasAll(n int) {
	r.t.Helper()
	eventually(r.t, "all is there", func() bool { return len(r.receiver.Events()) >= n })
	for i, e := range r.receiver.Events() {
		if e.ID != fmt.Sprint(i+1) && n > 0 {
			r.t.Fatalf("event %d has the number %s", i+1, e.ID)
		}
	}
	if got := len(r.receiver.Events()); got != n {
		r.t.Errorf("%d events, want %d", got, n)
	}
}

// TestReceiversFaults has the receiver fail in one way for a while, and then work. Nothing is acknowledged before,
// and in the end all events are there once, in order.
func TestReceiversFaults(t *testing.T) {
	for name, fault := range map[string]usagereceiver.Fault{
		"500":                     {Status: 500},
		"429 with Retry-After":    {Status: 429, RetryAfter: "0"},
		"a redirect":              {Status: 302},
		"404":                     {Status: 404},
		"keeps and cuts":          {DropConnection: true},
		"answers before it reads": {RespondEarly: true},
		"slow":                    {Delay: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 35)
			r.receiver.SetFault(func(f *usagereceiver.Fault) { *f = fault })
			c := r.run(sender.Options{Timeout: 200 * time.Millisecond})
			eventually(t, "it is sent again", func() bool { return c.Counts().Retries >= 2 })
			if len(r.acknowledged) > 0 {
				t.Error("acknowledged without an answer")
			}
			if strings.HasPrefix(name, "answers before") && len(r.receiver.Events()) > 0 {
				t.Error("events are there")
			}
			r.receiver.SetFault(func(f *usagereceiver.Fault) { *f = usagereceiver.Fault{} })
			r.hasAll(35)
			if name == "keeps and cuts" && r.receiver.Duplicates() == 0 {
				t.Error("nothing came twice")
			}
		})
	}
}

// TestSetAside has the receiver reject one event. It is in the file of dead letters, alone, and holds up no other.
func TestSetAside(t *testing.T) {
	r := newRig(t, 35)
	r.receiver.SetFault(func(f *usagereceiver.Fault) { f.Reject = "r-17-" })
	c := r.run(sender.Options{})
	eventually(t, "all others are there", func() bool { return len(r.receiver.Events()) == 34 })
	eventually(t, "it is counted", func() bool { return c.Counts().DeadLetters == 1 })
	raw, err := os.ReadFile(filepath.Join(r.dir, "aside"))
	if err != nil || bytes.Count(raw, []byte("\n")) != 1 || !strings.Contains(string(raw), `"id":"17"`) {
		t.Errorf("%s %v", raw, err)
	}
}

// TestSetAsideBound has the receiver reject everything. The file of dead letters takes events up to its bound; after
// it was moved away and the receiver accepts events again, it gets all others.
func TestSetAsideBound(t *testing.T) {
	r := newRig(t, 35)
	r.receiver.SetFault(func(f *usagereceiver.Fault) { f.Reject = "r-" })
	c := r.run(sender.Options{MaxDeadLetterBytes: 1000})
	eventually(t, "the bound is reported", func() bool {
		return strings.Contains(c.Counts().LastReason, "1000 at most")
	})
	if n := c.Counts().DeadLetters; n == 0 || n > 3 {
		t.Errorf("%d dead letters in 1000 bytes", n)
	}
	os.Rename(filepath.Join(r.dir, "aside"), filepath.Join(r.dir, "moved"))
	r.receiver.SetFault(func(f *usagereceiver.Fault) { f.Reject = "" })
	eventually(t, "the others are there", func() bool {
		return len(r.receiver.Events()) == 35-int(c.Counts().DeadLetters)
	})
}

// TestReceiverKilled stops the receiver while it is sent to, six times, and starts it with the file that it left.
func TestReceiverKilled(t *testing.T) {
	r := newRig(t, 200)
	r.receiver.SetFault(func(f *usagereceiver.Fault) { f.Delay = 2 * time.Millisecond })
	addr := r.receiver.Addr()
	r.run(sender.Options{BatchSize: 4})
	for i := range 6 {
		eventually(t, "some more are there", func() bool { return len(r.receiver.Events()) > 20*i })
		r.receiver.Stop()
		var err error
		if r.receiver, err = usagereceiver.Start(addr, filepath.Join(r.dir, "events")); err != nil {
			t.Fatal(err)
		}
		r.receiver.SetFault(func(f *usagereceiver.Fault) { f.Delay = 2 * time.Millisecond })
	}
	r.hasAll(200)
}

// TestHole damages a part of the log: the events of the rest are sent, and the number of lost records is counted.
func TestHole(t *testing.T) {
	r := newRig(t, 30)
	r.log.Close()
	files, _ := filepath.Glob(filepath.Join(r.dir, "use", "*.log"))
	b, _ := os.ReadFile(files[0])
	at := len(b) / 2
	binary.LittleEndian.PutUint64(b[at:], ^binary.LittleEndian.Uint64(b[at:]))
	os.WriteFile(files[0], b, 0o600)
	l, rec, err := wal.Open(filepath.Join(r.dir, "use"), wal.Options{}, nil, nil)
	if err != nil || len(rec.Gaps) != 1 {
		t.Fatalf("%+v %v", rec, err)
	}
	r.log = l
	c := r.run(sender.Options{StopWhenIdle: true})
	eventually(t, "the rest is there", func() bool { return len(r.receiver.Events()) >= 29 })
	if c.LostRecords.Load() == 0 || len(r.receiver.Events()) > 30 {
		t.Errorf("%d records counted as lost, %d events", c.LostRecords.Load(), len(r.receiver.Events()))
	}
}
