package http

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
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
// on its way: that attempt was answered with the former one's response. A second
// response that the test's server itself wrote later than that, as the machine did not let it run, tells nothing, and
// its round is played again.
func TestASecondAnswerOnItsWayReachesNoOtherRequest(t *testing.T) {
	const late, flight = 8 * time.Millisecond, 6 * time.Millisecond
	const toleratedDelay = 25 * time.Millisecond // a second response that is later than this may reach another request
	var mu sync.Mutex
	delays := map[string]time.Duration{} // from the first response to the second, by txn
	addr := startServer(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			txn, err := readRequest(r)
			if err != nil {
				return
			}
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(txn), txn)
			first := time.Now()
			io.WriteString(nc, text)
			nc.SetReadDeadline(time.Now().Add(late))
			_, err = r.Peek(1)
			nc.SetReadDeadline(time.Time{})
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				continue // the next request waits on the connection
			}
			time.Sleep(flight)
			mu.Lock()
			io.WriteString(nc, text)
			delays[txn] = time.Since(first)
			mu.Unlock()
		}
	})
	p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
	const rounds, maxPlayed = 40, 400
	for round, played := 0, 0; round < rounds; played++ {
		if played == maxPlayed {
			t.Fatalf("%d of %d rounds within %d", round, rounds, maxPlayed)
		}
		txn := fmt.Sprint("t", played)
		c, ch := newAttempt("a", txn)
		p.Send(c)
		r := waitResult(t, ch)
		time.Sleep(late + flight/2)
		if r.Outcome == decide.OutcomeOK && string(r.Body) == txn {
			round++
			continue
		}
		mu.Lock()
		delay := delays[string(r.Body)]
		mu.Unlock()
		if r.Outcome != decide.OutcomeOK || delay < toleratedDelay {
			t.Fatalf("attempt %s ended as %d with %q, whose second response was written %v behind its first, want its own response",
				txn, r.Outcome, r.Body, delay)
		}
		t.Logf("attempt %s got %q, whose second response was written %v behind its first", txn, r.Body, delay)
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
