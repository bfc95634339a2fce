package registry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
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

type follower struct {
	w     *Watch
	took  chan *List
	asked chan string
}

func follow(t *testing.T, o Options, script ...string) *follower {
	t.Helper()
	f := &follower{took: make(chan *List, 100), asked: make(chan string, 10000)}
	f.run(t, agent(t, f.asked, script...), o)
	return f
}

// run follows an address until the test ends.
func (f *follower) run(t *testing.T, addr string, o Options) {
	o.Take, o.Log, o.Again = func(l *List) { f.took <- l }, slog.New(slog.DiscardHandler), time.Millisecond
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
	f := follow(t, Options{Hold: 5 * time.Second}, list(41, true, entry("a", "ready")), list(43, false, entry("a", "draining")),
		list(43, false), list(50, true, entry("b", "ready")))
	for i, want := range []uint64{41, 43, 50} {
		if l := next(t, f.took); l.Rev != want || l.All != (want != 43) {
			t.Errorf("list %d: rev %d, all %t, want rev %d", i, l.Rev, l.All, want)
		}
	}
	for _, want := range []string{"/registry/instances", "/registry/instances?from=41&hold_ms=5000", "/registry/instances?from=43&hold_ms=5000",
		"/registry/instances?from=43&hold_ms=5000", "/registry/instances?from=50&hold_ms=5000"} {
		if got := next(t, f.asked); got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
}

// Whatever is wrong with an answer, it is not believed, and the whole list is asked for anew.
func TestListsThatCantBeBelieved(t *testing.T) {
	for _, bad := range []string{"{", list(40, false, entry("a", "draining")), list(42, false, entry("a", "asleep")),
		list(42, false, entry("", "ready")), list(42, false, entry("a", "ready"), entry("a", "gone")),
		list(42, false, `{"uid":"a","endpoint":"nowhere","state":"ready"}`), list(42, false, `{"uid":"a","endpoint":"h:1","state":"ready","boot_ms":-1}`),
		list(42, false, `{"uid":"a","endpoint":"h:1","state":"ready","capacity_hint":-1}`), "hang up"} {
		f := follow(t, Options{}, list(41, true, entry("a", "ready")), bad, list(44, true, entry("c", "ready")))
		next(t, f.took)
		if l := next(t, f.took); l.Rev != 44 {
			t.Errorf("%s was believed", bad)
		}
	}
}

func TestASilentListIsAskedAgain(t *testing.T) {
	f := follow(t, Options{Hold: 10 * time.Millisecond, Silent: 20 * time.Millisecond}, list(41, true, entry("a", "ready")))
	next(t, f.took)
	for _, want := range []string{"/registry/instances", "/registry/instances?from=41&hold_ms=10", "/registry/instances"} {
		if got := next(t, f.asked); got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
}

// A watch that waits is left at once when the configuration names another address, dead ones on the way.
func TestMove(t *testing.T) {
	f := follow(t, Options{Hold: time.Minute}, list(41, true, entry("a", "ready")))
	next(t, f.took)
	f.w.Move("127.0.0.1:1")
	f.w.Move("127.0.0.1:1")
	f.w.Move(agent(t, f.asked, list(45, true, entry("b", "ready"))))
	if l := next(t, f.took); l.Rev != 45 {
		t.Errorf("rev %d, want 45", l.Rev)
	}
}

func TestTimesOfStarts(t *testing.T) {
	at := time.UnixMilli(1_000_000)
	x := Times{Clock: time.Hour, Unix: at}
	l := &List{Rev: 1, Targets: []Entry{{UID: "a", State: "ready", BootMS: 0}, {UID: "b", State: "ready", BootMS: 990_000},
		{UID: "c", State: "gone", BootMS: 1}}}
	u := x.Update(l, decide.FleetFull)
	if got := [3]time.Duration{u.Servers[0].Started, u.Servers[1].Started, u.Servers[2].Started}; got !=
		[3]time.Duration{0, time.Hour - 10*time.Second, time.Hour - 1000*time.Second + time.Millisecond} {
		t.Errorf("starts %v", got)
	}
	if u.Servers[2].State != decide.Gone || u.Servers[0].State != decide.Serving {
		t.Errorf("states %+v", u.Servers)
	}
}
