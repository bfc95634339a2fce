package http

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/upstream"
)

// Guards against sending an attempt for a new server, or for a new incarnation of a server, on a connection
// to the previous one. This could happen because both listen at the same address.
func TestReplacedServerGetsNoOldConnection(t *testing.T) {
	var conns atomic.Int64
	addr := startServer(t, func(nc net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for {
			if _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(nc, okHead+"\r\nhi")
		}
	})
	p := newPool(t, Options{}, Server{ID: "old", Addr: addr})
	send := func(server string) decide.Outcome {
		call, ch := newAttempt(server, "1")
		p.Send(call)
		return waitResult(t, ch).Outcome
	}
	send("old")
	time.Sleep(reuseDelay)
	send("old")
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for two requests, want 1", n)
	}
	time.Sleep(reuseDelay) // from here on, the idle connection may be reused
	p.Update([]Server{{ID: "new", Addr: addr}}, true)
	if got := send("old"); got != decide.OutcomeConnectFailed {
		t.Errorf("attempt for a removed server: outcome %v, want %v", got, decide.OutcomeConnectFailed)
	}
	if send("new"); conns.Load() != 2 {
		t.Errorf("the new server got an attempt on a connection to the old one")
	}
	time.Sleep(reuseDelay)
	p.Update([]Server{{ID: "new", Addr: addr, Incarnation: 5}}, false)
	if send("new"); conns.Load() != 3 {
		t.Errorf("a restarted server got an attempt on a connection to its previous incarnation")
	}
}

// Guards against new attempts on a draining server. An attempt that was waiting for its connection when the
// drain was announced must not be written once the connection is established.
func TestDrainDuringDialEndsAttempt(t *testing.T) {
	addr := fullListener(t) // dialing takes longer than the test
	p := newPool(t, Options{DialTimeout: 30 * time.Second}, Server{ID: "a", Addr: addr})
	call, ch := newAttempt("a", "1")
	p.Send(call)
	p.Update([]Server{{ID: "a", Addr: addr, State: decide.Draining}}, false)
	if got := waitResult(t, ch); got.Outcome != decide.OutcomeConnectFailed {
		t.Errorf("outcome %v, want %v", got.Outcome, decide.OutcomeConnectFailed)
	}
	call, ch = newAttempt("a", "2")
	p.Send(call)
	if got := waitResult(t, ch); got.Outcome != decide.OutcomeConnectFailed {
		t.Errorf("attempt after the drain: outcome %v, want %v", got.Outcome, decide.OutcomeConnectFailed)
	}
}

// Guards against an attempt that waits until its deadline for a server that accepts no connections. The dial
// has to fail after DialTimeout, while there is time for another server.
func TestDialTimeoutEndsAttempt(t *testing.T) {
	p := newPool(t, Options{DialTimeout: 50 * time.Millisecond}, Server{ID: "a", Addr: fullListener(t)})
	call, ch := newAttempt("a", "1")
	p.Send(call)
	if got := waitResult(t, ch); got.Outcome != decide.OutcomeConnectFailed {
		t.Errorf("outcome %v, want %v", got.Outcome, decide.OutcomeConnectFailed)
	}
}

// Guards against more than MaxConns connections to all servers together. At the limit, the connection that
// has been idle longest is closed in favour of a new one; if none is idle, the attempt ends with
// OutcomeConnectFailed.
func TestMaxConnsAppliesToAllServersTogether(t *testing.T) {
	hold := make(chan struct{})
	addr := startResponder(t, func(nc net.Conn, txn string) {
		if txn == "hold" {
			<-hold
		}
		io.WriteString(nc, okHead+"\r\nhi")
	})
	p := newPool(t, Options{MaxConns: 2},
		Server{ID: "a", Addr: addr}, Server{ID: "b", Addr: addr}, Server{ID: "c", Addr: addr})
	for _, server := range []string{"a", "b", "c", "a", "b"} {
		call, ch := newAttempt(server, "1")
		p.Send(call)
		if got := waitResult(t, ch); got.Outcome != decide.OutcomeOK || p.Conns.Load() > 2 {
			t.Errorf("server %s: outcome %v with %d connections, want OutcomeOK with at most 2",
				server, got.Outcome, p.Conns.Load())
		}
	}
	var held []chan upstream.Result
	for _, server := range []string{"a", "b"} {
		call, ch := newAttempt(server, "hold")
		p.Send(call)
		held = append(held, ch)
	}
	call, ch := newAttempt("c", "1")
	p.Send(call)
	if got := waitResult(t, ch); got.Outcome != decide.OutcomeConnectFailed {
		t.Errorf("beyond MaxConns: outcome %v, want %v", got.Outcome, decide.OutcomeConnectFailed)
	}
	close(hold)
	for _, ch := range held {
		if got := waitResult(t, ch); got.Outcome != decide.OutcomeOK {
			t.Errorf("attempt with a delayed response: outcome %v, want %v", got.Outcome, decide.OutcomeOK)
		}
	}
}
