package http

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"winghatch/decide"
)

// A server closes a connection while it is idle. The next attempt must not be lost to that.
func TestAnIdleCloseLosesNoAttempt(t *testing.T) {
	closed := make(chan struct{}, 1)
	addr := startServer(t, func(nc net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(nc, okHead+"\r\nhi")
		nc.Close()
		closed <- struct{}{}
	})
	p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
	for range 30 {
		call, ch := newAttempt("a", "1")
		p.Send(call)
		if got := waitResult(t, ch); got.Outcome != decide.OutcomeOK {
			t.Fatalf("outcome %v, want %v", got.Outcome, decide.OutcomeOK)
		}
		<-closed
	}
}

// A server sends its response twice. The copy must not be taken for the response to the next attempt on the
// connection.
func TestWhatComesBehindAnAnswerReachesNoOtherRequest(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "later": true} {
		sent := make(chan struct{}, 100)
		addr := startResponder(t, func(nc net.Conn, txn string) {
			a := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(txn), txn)
			if !late {
				io.WriteString(nc, a+a)
			} else {
				io.WriteString(nc, a)
				io.WriteString(nc, a)
			}
			sent <- struct{}{}
		})
		p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
		for i := range 50 {
			txn := fmt.Sprint("t", i)
			call, ch := newAttempt("a", txn)
			p.Send(call)
			if got := waitResult(t, ch); got.Outcome == decide.OutcomeOK && string(got.Body) != txn {
				t.Fatalf("%s: %q was answered %q", name, txn, got.Body)
			}
			<-sent // the copy is sent before the next attempt is
		}
	}
}

// A server sends a second response some milliseconds after the first, and the next attempt was written while it was
// on its way: that attempt was answered with the former one's response.
func TestASecondAnswerOnItsWayReachesNoOtherRequest(t *testing.T) {
	const late, flight = 8 * time.Millisecond, 6 * time.Millisecond
	addr := startServer(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			txn, err := readRequest(r)
			if err != nil {
				return
			}
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(txn), txn)
			io.WriteString(nc, text)
			nc.SetReadDeadline(time.Now().Add(late))
			_, err = r.Peek(1)
			nc.SetReadDeadline(time.Time{})
			if errors.Is(err, os.ErrDeadlineExceeded) { // nothing else waits on the connection
				time.Sleep(flight)
				io.WriteString(nc, text)
			}
		}
	})
	p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
	for i := range 40 {
		c, ch := newAttempt("a", fmt.Sprint("t", i))
		p.Send(c)
		if r := waitResult(t, ch); r.Outcome != decide.OutcomeOK || string(r.Body) != fmt.Sprint("t", i) {
			t.Fatalf("attempt t%d ended as %d with %q, want its own answer", i, r.Outcome, r.Body)
		}
		time.Sleep(late + flight/2)
	}
}

// A process that is held up does not close idle connections in time, and servers may have forgotten them. One that
// was idle for longer than the timeout must not be used, though the sweep has not run.
func TestAConnectionThatRestedTooLongIsNotUsed(t *testing.T) {
	addr := startServer(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			if _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
		}
	})
	p := newPool(t, Options{IdleTimeout: time.Hour}, Server{ID: "a", Addr: addr})
	for range 2 {
		c, ch := newAttempt("a", "t")
		p.Send(c)
		waitResult(t, ch)
		p.mu.Lock()
		for k := range p.conns {
			k.idleSince = k.idleSince.Add(-2 * time.Hour) // as after a hold-up: the sweep has not run
		}
		p.mu.Unlock()
	}
	if n := p.Dials.Load(); n != 2 {
		t.Errorf("%d connections for two attempts two hours apart, want 2", n)
	}
}

// A connection that both sides close at once may lose an attempt, so the pool closes idle ones first.
func TestRestingConnectionsAreClosedBeforeTheServerDoes(t *testing.T) {
	ended := make(chan struct{}, 1)
	addr := startServer(t, func(nc net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(nc, okHead+"\r\nhi")
		readRequest(r)
		ended <- struct{}{}
	})
	p := newPool(t, Options{IdleTimeout: 50 * time.Millisecond}, Server{ID: "a", Addr: addr})
	call, ch := newAttempt("a", "1")
	p.Send(call)
	waitResult(t, ch)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the connection was not closed")
	}
}
