package http

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/testbed/ports"
	"winghatch/internal/testbed/tcpserver"
)

// Paths that a watch asks for: the full list, the changes since a version, and what was missed since one.
const fullPath = "/registry/instances"

func changesPath(rev int, longPoll time.Duration) string {
	return fmt.Sprintf("/registry/instances?from=%d&hold_ms=%d", rev, longPoll.Milliseconds())
}

func missedPath(rev int) string { return changesPath(rev, 100*time.Millisecond) }

// expectPaths takes one path for each that is wanted.
func (w *watched) expectPaths(t *testing.T, want ...string) {
	t.Helper()
	for i, path := range want {
		if got := receive(t, w.paths); got != path {
			t.Errorf("call %d asked %s, want %s", i, got, path)
		}
	}
}

// A gateway that misses a change sends requests to a server that drains, or none to one that has joined.
func TestWatch(t *testing.T) {
	const longPoll = 5 * time.Second
	w := startWatch(t, Options{LongPoll: longPoll},
		listJSON(41, true, targetJSON("a", "ready")),
		listJSON(43, false, targetJSON("a", "draining")),
		listJSON(43, false),
		listJSON(50, true, targetJSON("b", "ready")))
	for i, want := range []uint64{41, 43, 50} {
		if l := receive(t, w.lists); l.Rev != want || l.Full != (want != 43) {
			t.Errorf("list %d: rev %d, full %t, want rev %d", i, l.Rev, l.Full, want)
		}
	}
	w.expectPaths(t, fullPath, changesPath(41, longPoll), changesPath(43, longPoll), changesPath(43, longPoll),
		changesPath(50, longPoll))
}

// Discovery, or a middlebox, keeps a connection open and never answers. The watch must not wait for it.
func TestASilentListIsAskedAgain(t *testing.T) {
	const longPoll = 10 * time.Millisecond
	options := Options{LongPoll: longPoll, ResponseGrace: 20 * time.Millisecond, HedgeDelay: 20 * time.Millisecond}
	w := startWatch(t, options,
		listJSON(41, true, targetJSON("a", "ready")))
	receive(t, w.lists)
	w.expectPaths(t, fullPath, changesPath(41, longPoll), missedPath(41), fullPath)
}

// The configuration names another address, after two dead ones, while a long poll is under way. It must be followed
// at once, not when the poll ends.
func TestMove(t *testing.T) {
	w := startWatch(t, Options{LongPoll: time.Minute}, listJSON(41, true, targetJSON("a", "ready")))
	receive(t, w.lists)
	w.watch.SetAddr("127.0.0.1:1")
	w.watch.SetAddr("127.0.0.1:1")
	w.watch.SetAddr(startAgent(t, w.paths, listJSON(45, true, targetJSON("b", "ready"))))
	if l := receive(t, w.lists); l.Rev != 45 {
		t.Errorf("rev %d, want 45", l.Rev)
	}
}

// The watch may be silent without anybody noticing. A configuration that names the same address again asks for what
// was missed at once.
func TestTheSameAddressNamedAnew(t *testing.T) {
	w := startWatch(t, Options{LongPoll: time.Minute},
		listJSON(41, true, targetJSON("a", "ready")), "silence", listJSON(44, false, targetJSON("a", "draining")))
	receive(t, w.lists)
	receive(t, w.paths)
	receive(t, w.paths)
	w.watch.SetAddr(w.watch.addr)
	if l := receive(t, w.lists); l.Rev != 44 {
		t.Errorf("rev %d, want 44", l.Rev)
	}
}

// Discovery falls silent, resets, closes or starts anew at any call. The change that came meanwhile, the last step of
// each script, must be asked for.
func TestWhatAWatchMissesIsAskedFor(t *testing.T) {
	const longPoll = 50 * time.Millisecond
	changes := func(rev int) string { return changesPath(rev, longPoll) }
	first := listJSON(41, true, targetJSON("a", "ready"), targetJSON("b", "ready"))
	joined := listJSON(42, false, targetJSON("c", "ready"))
	drained := listJSON(44, true, targetJSON("b", "ready"))
	indented := "{\n  \"rev\" : 44 ,\n\t\"all\" : true ,\n  \"targets\" : [\n    " +
		targetJSON("b", "ready") + "\n  ]\n}\n"
	for _, c := range []struct {
		name   string
		script []string
		paths  []string
	}{
		{"silent at once", []string{first, "silence", drained},
			[]string{fullPath, changes(41), missedPath(41)}},
		{"silent after answers", []string{first, listJSON(41, false), joined, "silence", drained},
			[]string{fullPath, changes(41), changes(41), changes(42), missedPath(42)}},
		{"silent at the next call too", []string{first, "silence", "silence", drained},
			[]string{fullPath, changes(41), missedPath(41), fullPath}},
		{"reset", []string{first, "reset", drained},
			[]string{fullPath, changes(41), missedPath(41)}},
		{"ends instead of telling", []string{first, "hang up", drained},
			[]string{fullPath, changes(41), missedPath(41)}},
		{"fails twice", []string{first, "hang up", "hang up", drained},
			[]string{fullPath, changes(41), missedPath(41), fullPath}},
		{"discovery began anew", []string{first, "reset", listJSON(2, false), drained},
			[]string{fullPath, changes(41), missedPath(41), fullPath}},
		{"whole list as answer to a watch", []string{first, drained},
			[]string{fullPath, changes(41)}},
		{"indented and in pieces", []string{first, "pieces " + indented},
			[]string{fullPath, changes(41)}},
		{"chunked", []string{first, "chunked " + drained},
			[]string{fullPath, changes(41)}},
		{"ends with an answer", []string{first, "last " + joined, drained},
			[]string{fullPath, changes(41), changes(42)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := startWatch(t, Options{LongPoll: longPoll, ResponseGrace: 50 * time.Millisecond}, c.script...)
			l := receive(t, w.lists)
			for l.Rev != 44 {
				l = receive(t, w.lists)
			}
			if !l.Full || len(l.Targets) != 1 || l.Targets[0].UID != "b" {
				t.Errorf("%+v, want the full list without a", l)
			}
			w.expectPaths(t, c.paths...)
		})
	}
}

// Discovery takes longer for each answer than the watch waits before the next call. Its answers must be taken all the
// same, and it must not be asked by ever more calls at once.
func TestASlowDiscoveryIsHeard(t *testing.T) {
	var calls, most atomic.Int64
	addr := tcpserver.Start(t, func(nc net.Conn) {
		for n := calls.Add(1); n > most.Load(); {
			most.Store(n)
		}
		defer calls.Add(-1)
		answerLate(nc, 400*time.Millisecond)
	})
	w := newWatched()
	w.run(t, addr, Options{
		LongPoll:      20 * time.Millisecond,
		ResponseGrace: 20 * time.Millisecond,
		HedgeDelay:    20 * time.Millisecond,
	})
	for range 2 {
		if l := receive(t, w.lists); l.Rev != 44 {
			t.Errorf("rev %d, want 44", l.Rev)
		}
	}
	if n := most.Load(); n > maxCalls+2 { // two that end while the next begin
		t.Errorf("%d calls at once, want %d at most", n, maxCalls)
	}
}

// answerLate reads a call and answers it after a while, if it was not given up by then.
func answerLate(nc net.Conn, delay time.Duration) {
	r := bufio.NewReader(nc)
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	nc.SetReadDeadline(time.Now().Add(delay))
	if _, err := r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	text := listJSON(44, true, targetJSON("b", "ready"))
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
}

// Discovery was down and came back at its address with a drain. The gateway must learn of it, also where a reload led
// to another address and back.
func TestAnOutageAndAReloadThereAndBack(t *testing.T) {
	var port ports.Reservation
	addr, err := port.Addr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(port.Release)
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	w := newWatched()
	serve := func(ln net.Listener, answer string) {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			steps := make(chan string, 1)
			steps <- answer
			go playScript(nc, steps, w.paths)
		}
	}
	go serve(ln, listJSON(41, true, targetJSON("a", "ready")))
	w.run(t, addr, Options{LongPoll: 50 * time.Millisecond, ResponseGrace: 50 * time.Millisecond})
	w.awaitRev(t, 41)
	ln.Close()
	if ln, err = net.Listen("tcp", addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go serve(ln, listJSON(43, true, targetJSON("a", "draining")))
	w.awaitRev(t, 43)
	w.watch.SetAddr("127.0.0.1:1")
	w.watch.SetAddr(addr)
	for len(w.lists) > 0 {
		<-w.lists
	}
	if l := receive(t, w.lists); l.Rev != 43 || serverStates[l.Targets[0].State] != decide.Draining {
		t.Errorf("%+v, want the drain again", l)
	}
}

// A change counts as known 6 s after discovery fell silent. By then the third call for it must be made, as the first
// two may fail.
func TestAChangeIsKnownInTime(t *testing.T) {
	if known := (Options{}).MaxStaleness(); known > 6*time.Second {
		t.Errorf("a change after a silence is asked for the third time after %v, want 6 s at most", known)
	}
}
