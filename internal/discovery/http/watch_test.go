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

// fullPath is the request target of a query for the full list.
const fullPath = "/registry/instances"

// changesPath returns the request target of a query for the changes since a version.
func changesPath(rev int, longPoll time.Duration) string {
	return fmt.Sprintf("/registry/instances?from=%d&hold_ms=%d", rev, longPoll.Milliseconds())
}

// missedPath returns the request target of a query for the changes that were missed since a version.
func missedPath(rev int) string { return changesPath(rev, 100*time.Millisecond) }

// expectPaths receives the paths of the next calls and compares them.
func (w *watchHarness) expectPaths(t *testing.T, want ...string) {
	t.Helper()
	for i, path := range want {
		if got := receive(t, w.paths); got != path {
			t.Errorf("call %d requested %s, want %s", i, got, path)
		}
	}
}

// Guards against missed changes: the gateway would send requests to a draining server, or none to a new one.
func TestWatchDeliversChanges(t *testing.T) {
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
	w.expectPaths(t, fullPath, changesPath(41, longPoll), changesPath(43, longPoll),
		changesPath(43, longPoll), changesPath(50, longPoll))
}

// Guards against waiting for a response that never comes, because discovery or a middlebox keeps the
// connection open and sends nothing.
func TestUnansweredCallsAreHedged(t *testing.T) {
	const longPoll = 10 * time.Millisecond
	options := Options{LongPoll: longPoll, ResponseGrace: 20 * time.Millisecond,
		HedgeDelay: 20 * time.Millisecond}
	w := startWatch(t, options,
		listJSON(41, true, targetJSON("a", "ready")))
	receive(t, w.lists)
	w.expectPaths(t, fullPath, changesPath(41, longPoll), missedPath(41), fullPath)
}

// Guards against a change of the address that takes effect only when the current long poll ends. The address
// is changed during a long poll, twice to an address where nothing listens and then to one where discovery
// does.
func TestSetAddrTakesEffectAtOnce(t *testing.T) {
	w := startWatch(t, Options{LongPoll: time.Minute}, listJSON(41, true, targetJSON("a", "ready")))
	receive(t, w.lists)
	w.watch.SetAddr("127.0.0.1:1")
	w.watch.SetAddr("127.0.0.1:1")
	w.watch.SetAddr(startDiscovery(t, w.paths, listJSON(45, true, targetJSON("b", "ready"))))
	if l := receive(t, w.lists); l.Rev != 45 {
		t.Errorf("rev %d, want 45", l.Rev)
	}
}

// Guards against missed changes while discovery does not respond and this is not detected yet. Setting the
// same address again must request them at once.
func TestSetAddrWithSameAddressQueriesAtOnce(t *testing.T) {
	w := startWatch(t, Options{LongPoll: time.Minute},
		listJSON(41, true, targetJSON("a", "ready")), "silence",
		listJSON(44, false, targetJSON("a", "draining")))
	receive(t, w.lists)
	receive(t, w.paths)
	receive(t, w.paths)
	w.watch.SetAddr(w.watch.addr)
	if l := receive(t, w.lists); l.Rev != 44 {
		t.Errorf("rev %d, want 44", l.Rev)
	}
}

// Guards against changes that are missed when a call fails: discovery stops responding, resets or closes the
// connection, or is restarted. The watch must request the change that was made in the meantime, the last step
// of each script.
func TestMissedChangesAreRequested(t *testing.T) {
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
		{"no response to the first poll", []string{first, "silence", drained},
			[]string{fullPath, changes(41), missedPath(41)}},
		{"no response to a later poll", []string{first, listJSON(41, false), joined, "silence", drained},
			[]string{fullPath, changes(41), changes(41), changes(42), missedPath(42)}},
		{"no response to two calls", []string{first, "silence", "silence", drained},
			[]string{fullPath, changes(41), missedPath(41), fullPath}},
		{"connection reset", []string{first, "reset", drained},
			[]string{fullPath, changes(41), missedPath(41)}},
		{"connection closed without a response", []string{first, "hang up", drained},
			[]string{fullPath, changes(41), missedPath(41)}},
		{"connection closed twice", []string{first, "hang up", "hang up", drained},
			[]string{fullPath, changes(41), missedPath(41), fullPath}},
		{"discovery restarted", []string{first, "reset", listJSON(2, false), drained},
			[]string{fullPath, changes(41), missedPath(41), fullPath}},
		{"full list in response to a poll", []string{first, drained},
			[]string{fullPath, changes(41)}},
		{"indented and in pieces", []string{first, "pieces " + indented},
			[]string{fullPath, changes(41)}},
		{"chunked", []string{first, "chunked " + drained},
			[]string{fullPath, changes(41)}},
		{"connection closed after a response", []string{first, "last " + joined, drained},
			[]string{fullPath, changes(41), changes(42)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := startWatch(t, Options{LongPoll: longPoll, ResponseGrace: 50 * time.Millisecond}, c.script...)
			l := receive(t, w.lists)
			for l.Rev != 44 {
				l = receive(t, w.lists)
			}
			if !l.Full || len(l.Targets) != 1 || l.Targets[0].UID != "b" {
				t.Errorf("got %+v, want the full list with only b", l)
			}
			w.expectPaths(t, c.paths...)
		})
	}
}

// Guards against a discovery whose responses are never used, or that gets ever more concurrent calls, because
// each response takes longer than the watch waits before the next call.
func TestSlowResponsesAreUsed(t *testing.T) {
	var calls, maxSeen atomic.Int64
	addr := tcpserver.Start(t, func(nc net.Conn) {
		for n := calls.Add(1); n > maxSeen.Load(); {
			maxSeen.Store(n)
		}
		defer calls.Add(-1)
		respondLate(nc, 400*time.Millisecond)
	})
	w := newWatchHarness()
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
	if n := maxSeen.Load(); n > maxCalls+2 { // two calls may still be ending while the next ones begin
		t.Errorf("%d concurrent calls, want at most %d and 2 that are ending", n, maxCalls)
	}
}

// respondLate reads a request and responds to it after a delay unless the client has closed the connection by
// then.
func respondLate(nc net.Conn, delay time.Duration) {
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

// Guards against a drain that the gateway does not learn of. Discovery was down and returns at the same
// address with a drained server; after that, configuration reloads change the address and change it back.
func TestReconnectAfterOutageAndReload(t *testing.T) {
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
	w := newWatchHarness()
	serve := func(ln net.Listener, list string) {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			steps := make(chan string, 1)
			steps <- list
			go serveScript(nc, steps, w.paths)
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
		t.Errorf("got %+v, want rev 43 with the draining server", l)
	}
}

// Guards against default timeouts that detect an unresponsive discovery too late. A change has to be known
// 6 s after discovery stopped responding, and the first two calls may fail, so the third one must be made by
// then.
func TestDefaultsLimitStaleness(t *testing.T) {
	if staleness := (Options{}).MaxStaleness(); staleness > 6*time.Second {
		t.Errorf("the third call is made %v after discovery stopped responding, want at most 6 s", staleness)
	}
}
