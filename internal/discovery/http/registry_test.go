package http

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// agent answers each call by the next of its script; behind the last it is silent.
func agent(t *testing.T, asked chan<- string, script ...string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	next := make(chan string, len(script))
	for _, s := range script {
		next <- s
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go play(t, nc, next, asked)
		}
	}()
	return ln.Addr().String()
}

func entry(uid, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":1,"state":%q,"capacity_hint":1,"boot_ms":0}`, uid, state)
}

func list(rev int, all bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, rev, all, strings.Join(targets, ","))
}

type trial struct {
	w     *Watch
	took  chan *List
	asked chan string
}

func follow(t *testing.T, o Options, script ...string) *trial {
	t.Helper()
	f := &trial{took: make(chan *List, 100), asked: make(chan string, 10000)}
	f.run(t, agent(t, f.asked, script...), o)
	return f
}

// run follows an address until the test ends.
func (f *trial) run(t *testing.T, addr string, o Options) {
	o.OnList, o.Log, o.RetryBackoff = func(l *List, _ time.Duration) { f.took <- l }, slog.New(slog.DiscardHandler), time.Millisecond
	f.w = New(addr, o)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.w.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
}

func next[T any](t *testing.T, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came within 10 s")
	}
	return v
}

func TestWatch(t *testing.T) {
	f := follow(t, Options{LongPoll: 5 * time.Second}, list(41, true, entry("a", "ready")), list(43, false, entry("a", "draining")),
		list(43, false), list(50, true, entry("b", "ready")))
	for i, want := range []uint64{41, 43, 50} {
		if l := next(t, f.took); l.Rev != want || l.Full != (want != 43) {
			t.Errorf("list %d: rev %d, all %t, want rev %d", i, l.Rev, l.Full, want)
		}
	}
	for _, want := range []string{"/registry/instances", "/registry/instances?from=41&hold_ms=5000", "/registry/instances?from=43&hold_ms=5000",
		"/registry/instances?from=43&hold_ms=5000", "/registry/instances?from=50&hold_ms=5000"} {
		if got := next(t, f.asked); got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
}

// An answer that can't be read as a list is not believed, and what was missed is asked for anew.
func TestListsThatCantBeBelieved(t *testing.T) {
	for _, bad := range []string{"{", list(40, false, entry("a", "draining")), "hang up", `{"rev":42,"all":true}`, `[]`, `{"rev":42,"all":false,"targets":7}`,
		list(42, true, entry("a", "ready")) + "}", `{"rev":"x","all":true,"targets":[]}`, list(42, false, `{"uid":"a"`)} {
		f := follow(t, Options{}, list(41, true, entry("a", "ready")), bad, list(44, true, entry("c", "ready")))
		next(t, f.took)
		if l := next(t, f.took); l.Rev != 44 {
			t.Errorf("%s was believed", bad)
		}
	}
}

// An entry that can't be used in part gets nothing new, and does not hide what the list tells of the others.
func TestEntriesThatCantBeUsed(t *testing.T) {
	for _, c := range []struct{ bad, state string }{ // "" stands for an entry that is left out
		{entry("a", "asleep"), "draining"}, {entry("", "ready"), ""}, {entry(strings.Repeat("a", maxUIDBytes+1), "ready"), ""},
		{`{"uid":"a","endpoint":"nowhere","state":"ready"}`, "draining"}, {`{"uid":"a","endpoint":"nowhere","state":"gone"}`, "gone"},
		{`{"uid":"a","endpoint":"h:1","state":"ready","boot_ms":-1}`, "draining"}, {`{"uid":"a","endpoint":"h:1","state":"ready","boot_ms":"x"}`, "draining"},
		{`{"uid":"a","endpoint":"h:1","state":"ready","capacity_hint":-1}`, "draining"}, {`{"uid":7,"endpoint":"h:1","state":"ready"}`, ""},
		{`{"uid":"a","endpoint":"h:1","state":7}`, "draining"}, {`7`, ""}, {`null`, ""},
		{entry("a", "ready") + "," + entry("a", "gone"), "gone"}, // in the order of what happened
	} {
		f := follow(t, Options{}, list(41, true, entry("a", "ready"), entry("b", "ready")), list(42, false, c.bad, entry("b", "draining")))
		next(t, f.took)
		l := next(t, f.took)
		got := ""
		for _, e := range l.Targets {
			if e.UID == "a" {
				got = e.State
			}
		}
		if last := l.Targets[len(l.Targets)-1]; got != c.state || last.UID != "b" || last.State != "draining" {
			t.Errorf("%s: %+v, want a as %q and b draining", c.bad, l.Targets, c.state)
		}
	}
}

// endless repeats a text without end.
type endless struct {
	text string
	at   int
}

func (e *endless) Read(b []byte) (n int, err error) {
	for n < len(b) {
		k := copy(b[n:], e.text[e.at:])
		n += k
		e.at = (e.at + k) % len(e.text)
	}
	return n, nil
}

// Lists without end are given up, whatever they repeat.
func TestListsWithoutEnd(t *testing.T) {
	for _, text := range []string{" ", "x", `"`, "[", `{"uid":`} {
		if _, _, err := decode(io.MultiReader(strings.NewReader(`{"rev":1,"all":true,"targets":[`), &endless{text: text})); err == nil {
			t.Errorf("a list that ends in %q without end was read", text)
		}
	}
	n := 0
	many := readerFunc(func(b []byte) (int, error) {
		n++
		return copy(b, fmt.Sprintf(`{"uid":"s%d","state":"gone"},`, n)), nil
	})
	if _, _, err := decode(io.MultiReader(strings.NewReader(`{"rev":1,"all":true,"targets":[`), many)); err == nil || n > maxTargets+2 {
		t.Errorf("%v behind %d entries, want an error", err, n)
	}
}

type readerFunc func(b []byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

func TestASilentListIsAskedAgain(t *testing.T) {
	f := follow(t, Options{LongPoll: 10 * time.Millisecond, ResponseGrace: 20 * time.Millisecond, HedgeDelay: 20 * time.Millisecond}, list(41, true, entry("a", "ready")))
	next(t, f.took)
	for _, want := range []string{"/registry/instances", "/registry/instances?from=41&hold_ms=10",
		"/registry/instances?from=41&hold_ms=100", "/registry/instances"} {
		if got := next(t, f.asked); got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
}

// A watch that waits is left at once when the configuration names another address, dead ones on the way.
func TestMove(t *testing.T) {
	f := follow(t, Options{LongPoll: time.Minute}, list(41, true, entry("a", "ready")))
	next(t, f.took)
	f.w.SetAddr("127.0.0.1:1")
	f.w.SetAddr("127.0.0.1:1")
	f.w.SetAddr(agent(t, f.asked, list(45, true, entry("b", "ready"))))
	if l := next(t, f.took); l.Rev != 45 {
		t.Errorf("rev %d, want 45", l.Rev)
	}
}
