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

// Guards against losing an attempt because the server has closed the idle connection on which it is sent.
func TestIdleCloseByServerLosesNoAttempt(t *testing.T) {
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

// Guards against taking the second copy of a response for the response to the next attempt on the connection.
// A faulty server sends each response twice, in one write or in two.
func TestDuplicateResponseIsDropped(t *testing.T) {
	for name, separate := range map[string]bool{"in one write": false, "in two writes": true} {
		sent := make(chan struct{}, 100)
		addr := startResponder(t, func(nc net.Conn, txn string) {
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(txn), txn)
			if !separate {
				io.WriteString(nc, response+response)
			} else {
				io.WriteString(nc, response)
				io.WriteString(nc, response)
			}
			sent <- struct{}{}
		})
		p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
		for i := range 50 {
			txn := fmt.Sprint("t", i)
			call, ch := newAttempt("a", txn)
			p.Send(call)
			if got := waitResult(t, ch); got.Outcome == decide.OutcomeOK && string(got.Body) != txn {
				t.Fatalf("%s: attempt %q got the response %q", name, txn, got.Body)
			}
			<-sent // the server has sent the copy before the next attempt
		}
	}
}

// Guards against taking a delayed second response for the response to the next attempt. A faulty server sends
// a second response some milliseconds after the first; the next attempt was written in the meantime and ended
// with that response. If the test's server was not scheduled and wrote the second response later than
// toleratedDelay, the round proves nothing and is repeated.
func TestDelayedDuplicateResponseIsDropped(t *testing.T) {
	const quietTime, writeDelay = 8 * time.Millisecond, 6 * time.Millisecond
	const toleratedDelay = 25 * time.Millisecond // a later second response may reach the next attempt
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
			nc.SetReadDeadline(time.Now().Add(quietTime))
			_, err = r.Peek(1)
			nc.SetReadDeadline(time.Time{})
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				continue // the next request has arrived, so there is no second response
			}
			time.Sleep(writeDelay)
			mu.Lock()
			io.WriteString(nc, text)
			delays[txn] = time.Since(first)
			mu.Unlock()
		}
	})
	p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
	const rounds, maxTries = 40, 400
	for round, tries := 0, 0; round < rounds; tries++ {
		if tries == maxTries {
			t.Fatalf("%d of %d rounds succeeded within %d tries", round, rounds, maxTries)
		}
		txn := fmt.Sprint("t", tries)
		c, ch := newAttempt("a", txn)
		p.Send(c)
		r := waitResult(t, ch)
		time.Sleep(quietTime + writeDelay/2)
		if r.Outcome == decide.OutcomeOK && string(r.Body) == txn {
			round++
			continue
		}
		mu.Lock()
		delay := delays[string(r.Body)]
		mu.Unlock()
		if r.Outcome != decide.OutcomeOK || delay < toleratedDelay {
			t.Fatalf("attempt %s: outcome %d, response %q, whose copy followed after %v, want its own",
				txn, r.Outcome, r.Body, delay)
		}
		t.Logf("attempt %s: repeating the round, the copy of response %q followed after %v",
			txn, r.Body, delay)
	}
}

// Guards against the use of a connection that has been idle for longer than IdleTimeout. A process that was
// stalled has not closed such connections yet, and the servers may have dropped them in the meantime.
func TestExpiredIdleConnectionIsNotUsed(t *testing.T) {
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
			k.idleSince = k.idleSince.Add(-2 * time.Hour) // as after a stall in which the sweep did not run
		}
		p.mu.Unlock()
	}
	if n := p.Dials.Load(); n != 2 {
		t.Errorf("%d connections were dialed for two attempts that are two hours apart, want 2", n)
	}
}

// Guards against idle connections that stay open until the server closes them. An attempt may be lost on a
// connection that the server closes at the same time, so the pool has to close it first.
func TestIdleConnectionIsClosedAfterTimeout(t *testing.T) {
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
		t.Error("the idle connection was not closed within 10 s")
	}
}
