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

// Another server, or another incarnation of the same one, may listen at an address that is known already. It must get
// no attempt on a connection to the former one.
func TestServerReplacedAtItsAddress(t *testing.T) {
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
	use := func(server string) decide.Outcome {
		call, ch := newAttempt(server, "1")
		p.Send(call)
		return waitResult(t, ch).Outcome
	}
	use("old")
	time.Sleep(reuseDelay)
	use("old")
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for two requests, want 1", n)
	}
	time.Sleep(reuseDelay) // the idle connection could be used now
	p.Update([]Server{{ID: "new", Addr: addr}}, true)
	if got := use("old"); got != decide.OutcomeConnectFailed {
		t.Errorf("a server that is gone: outcome %v, want %v", got, decide.OutcomeConnectFailed)
	}
	if use("new"); conns.Load() != 2 {
		t.Errorf("the new server got a connection of the old one's")
	}
	time.Sleep(reuseDelay)
	p.Update([]Server{{ID: "new", Addr: addr, Incarnation: 5}}, false)
	if use("new"); conns.Load() != 3 {
		t.Errorf("a server that started anew got a connection of its former incarnation")
	}
}

// A server that drains gets no new attempts. One that was waiting for its connection when the drain was announced
// must not be written later.
func TestDrainToldWhileAnAttemptConnects(t *testing.T) {
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
		t.Errorf("a new attempt: outcome %v, want %v", got.Outcome, decide.OutcomeConnectFailed)
	}
}

// A server that accepts no connection must not hold an attempt until its deadline.
func TestConnectingIsBoundedInTime(t *testing.T) {
	p := newPool(t, Options{DialTimeout: 50 * time.Millisecond}, Server{ID: "a", Addr: fullListener(t)})
	call, ch := newAttempt("a", "1")
	p.Send(call)
	if got := waitResult(t, ch); got.Outcome != decide.OutcomeConnectFailed {
		t.Errorf("outcome %v, want %v", got.Outcome, decide.OutcomeConnectFailed)
	}
}

// At MaxConns the longest idle connection is closed for a new one; with none idle the attempt ends as never sent.
func TestConnectionsAreBoundedOverAllServers(t *testing.T) {
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
			t.Errorf("%s: outcome %v with %d connections", server, got.Outcome, p.Conns.Load())
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
		t.Errorf("over the bound: outcome %v, want %v", got.Outcome, decide.OutcomeConnectFailed)
	}
	close(hold)
	for _, ch := range held {
		if got := waitResult(t, ch); got.Outcome != decide.OutcomeOK {
			t.Errorf("held: outcome %v, want %v", got.Outcome, decide.OutcomeOK)
		}
	}
}
