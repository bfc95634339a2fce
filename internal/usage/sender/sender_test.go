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

	usagereceiver "winghatch/internal/testbed/usagereceiver"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/usage/sender"
	"winghatch/internal/wal"

	"winghatch/internal/testbed/await"
)

var eventually = await.Until

// owe fills a log with the settled tries of one life, by the desk itself.
func owe(t testing.TB, l *wal.Log, n int) {
	d := outbox.New(outbox.Settings{Incarnation: 5})
	do := func(acts []outbox.Action) {
		for _, a := range acts {
			if a, ok := a.(outbox.Append); ok {
				no, err := l.Append(a.Payload)
				if err != nil {
					t.Fatal(err)
				}
				if a.ID != 0 {
					d.Handle(outbox.Appended{ID: a.ID, Record: no})
				}
			}
		}
	}
	do(d.Start(1))
	for i := 1; i <= n; i++ {
		id := outbox.ID(i)
		do(d.Handle(outbox.RecordIntent{ID: id, HasRoom: true, Attempt: outbox.Attempt{Request: fmt.Sprint("r-", i, "-"), Member: "m", Units: 1}}))
		do(d.Handle(outbox.Settle{ID: id, Outcome: outbox.OutcomeAnswered, UsedUnits: 2}))
	}
	if err := l.Sync(10 * time.Second); err != nil {
		t.Fatal(err)
	}
}

type rig struct {
	t     *testing.T
	dir   string
	log   *wal.Log
	recv  *usagereceiver.Receiver
	acked chan uint64
}

func newRig(t *testing.T, n int) *rig {
	r := &rig{t: t, dir: t.TempDir(), acked: make(chan uint64, 10000)}
	var err error
	if r.log, _, err = wal.Open(filepath.Join(r.dir, "use"), wal.Options{}, nil, nil); err != nil {
		t.Fatal(err)
	}
	if r.recv, err = usagereceiver.Start("127.0.0.1:0", filepath.Join(r.dir, "events")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.log.Close(); r.recv.Stop() })
	owe(t, r.log, n)
	return r
}

func (r *rig) run(o sender.Options) *sender.Sender {
	o.Log, o.URL, o.Fleet, o.Gateway = r.log, r.recv.URL(), "f", 1
	o.DeadLetterFile = filepath.Join(r.dir, "aside")
	o.OnAcknowledged = func(rec uint64) { r.acked <- rec }
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

// whole checks that each try is there once.
func (r *rig) whole(n int) {
	r.t.Helper()
	eventually(r.t, "all is there", func() bool { return len(r.recv.Events()) >= n })
	for i, e := range r.recv.Events() {
		if e.ID != fmt.Sprint(i+1) && n > 0 {
			r.t.Fatalf("event %d has the number %s", i+1, e.ID)
		}
	}
	if got := len(r.recv.Events()); got != n {
		r.t.Errorf("%d events, want %d", got, n)
	}
}

// TestReceiversFaults plays each fault for a while; then all is there once, in order.
func TestReceiversFaults(t *testing.T) {
	for name, trouble := range map[string]usagereceiver.Fault{
		"500": {Status: 500}, "429 with Retry-After": {Status: 429, RetryAfter: "0"}, "a redirect": {Status: 302}, "404": {Status: 404},
		"keeps and cuts": {DropConnection: true}, "answers before it reads": {RespondEarly: true}, "slow": {Delay: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 35)
			r.recv.SetFault(func(x *usagereceiver.Fault) { *x = trouble })
			c := r.run(sender.Options{Timeout: 200 * time.Millisecond})
			eventually(t, "it is tried again", func() bool { return c.Counts().Retries >= 2 })
			if len(r.acked) > 0 {
				t.Error("acknowledged without an answer")
			}
			if strings.HasPrefix(name, "answers before") && len(r.recv.Events()) > 0 {
				t.Error("events are there")
			}
			r.recv.SetFault(func(x *usagereceiver.Fault) { *x = usagereceiver.Fault{} })
			r.whole(35)
			if name == "keeps and cuts" && r.recv.Duplicates == 0 {
				t.Error("nothing came twice")
			}
		})
	}
}

// TestSetAside keeps the one event that the receiver refuses where an operator finds it, and holds up no other.
func TestSetAside(t *testing.T) {
	r := newRig(t, 35)
	r.recv.SetFault(func(x *usagereceiver.Fault) { x.Reject = "r-17-" })
	c := r.run(sender.Options{})
	eventually(t, "all others are there", func() bool { return len(r.recv.Events()) == 34 })
	eventually(t, "it is said", func() bool { return c.Counts().DeadLetters == 1 })
	raw, err := os.ReadFile(filepath.Join(r.dir, "aside"))
	if err != nil || bytes.Count(raw, []byte("\n")) != 1 || !strings.Contains(string(raw), `"id":"17"`) {
		t.Errorf("%s %v", raw, err)
	}
}

// TestSetAsideBound holds the log where a receiver refuses everything: it must not all be set aside.
func TestSetAsideBound(t *testing.T) {
	r := newRig(t, 35)
	r.recv.SetFault(func(x *usagereceiver.Fault) { x.Reject = "r-" })
	c := r.run(sender.Options{MaxDeadLetterBytes: 1000})
	eventually(t, "the bound is told", func() bool { return strings.Contains(c.Counts().LastReason, "1000 at most") })
	if n := c.Counts().DeadLetters; n == 0 || n > 3 {
		t.Errorf("%d events set aside in 1000 bytes", n)
	}
	os.Rename(filepath.Join(r.dir, "aside"), filepath.Join(r.dir, "moved"))
	r.recv.SetFault(func(x *usagereceiver.Fault) { x.Reject = "" })
	eventually(t, "the others are told", func() bool { return len(r.recv.Events()) == 35-int(c.Counts().DeadLetters) })
}

// TestReceiverKilled stops the receiver in the middle, over and over, with its file left behind.
func TestReceiverKilled(t *testing.T) {
	r := newRig(t, 200)
	r.recv.SetFault(func(x *usagereceiver.Fault) { x.Delay = 2 * time.Millisecond })
	addr := r.recv.Addr()
	r.run(sender.Options{BatchSize: 4})
	for i := range 6 {
		eventually(t, "some more are there", func() bool { return len(r.recv.Events()) > 20*i })
		r.recv.Stop()
		var err error
		if r.recv, err = usagereceiver.Start(addr, filepath.Join(r.dir, "events")); err != nil {
			t.Fatal(err)
		}
		r.recv.SetFault(func(x *usagereceiver.Fault) { x.Delay = 2 * time.Millisecond })
	}
	r.whole(200)
}

// TestHole exports what is left of a log of which a part is damaged, and says how much is lost.
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
	eventually(t, "the rest is there", func() bool { return len(r.recv.Events()) >= 29 })
	if c.LostRecords.Load() == 0 || len(r.recv.Events()) > 30 {
		t.Errorf("%d records said to be lost, %d events", c.LostRecords.Load(), len(r.recv.Events()))
	}
}
