package http

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/upstream"
)

// Attempts were given up just as their responses came. Closing a connection with the pool's lock held waited for its
// reader, which waited for the lock: the gateway made no progress any more.
func TestAttemptsGivenUpAsTheirAnswersCome(t *testing.T) {
	addr := startServer(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			txn, err := readRequest(r)
			if err != nil {
				return
			}
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(txn), txn)
		}
	})
	p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
	var ended atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20000 {
			c, _ := newAttempt("a", fmt.Sprint(i))
			over := make(chan struct{})
			c.Done = func(upstream.Result) {
				ended.Add(1)
				close(over)
			}
			p.Send(c)
			if i%2 == 0 {
				for range i % 97 {
					p.Conns.Load() // about as long as an answer takes
				}
				if p.Abandon(c) != upstream.AlreadyEnded {
					continue
				}
			}
			<-over
		}
	}()
	select {
	case <-done:
	case <-time.After(60 * time.Second):
		t.Fatal("the pool stands still")
	}
	if ended.Load() < 10000 {
		t.Errorf("%d attempts ended, want those that were not given up: 10000", ended.Load())
	}
}

// A server that stops reading holds up a large attempt. Given up then, it has not run: its last byte was never
// written.
func TestAnAttemptGivenUpHalfWrittenNeverLeft(t *testing.T) {
	got := make(chan struct{})
	addr := startServer(t, func(net.Conn, *bufio.Reader) {
		close(got)
		<-t.Context().Done()
	})
	p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
	call, _ := newAttempt("a", "1")
	call.Params = append([]byte("POST / HTTP/1.1\r\nContent-Length: 33554432\r\n\r\n"), make([]byte, 32<<20)...)
	p.Send(call)
	<-got
	if given := p.Abandon(call); given != upstream.NotSent {
		t.Errorf("given up: %v, want %v", given, upstream.NotSent)
	}
}

// A connection took long to come up. Meanwhile the attempt's deadline or deduplication window passed, or its client
// left. Written now, a repeat would run a second time, or the server would work for nobody.
func TestAnAttemptThatIsLateAtItsWrite(t *testing.T) {
	addr, open := slowListener(t)
	p := newPool(t, Options{DialTimeout: time.Minute}, Server{ID: "a", Addr: addr})
	var late atomic.Bool
	call, ch := newAttempt("a", "late")
	call.Cancelled = late.Load
	p.Send(call)
	late.Store(true)
	came := make(chan string, 10)
	open(func(nc net.Conn) {
		for r := bufio.NewReader(nc); ; {
			txn, err := readRequest(r)
			if err != nil {
				return
			}
			came <- txn
			io.WriteString(nc, okHead+"\r\nhi")
		}
	})
	if got := waitResult(t, ch); got.Outcome != decide.OutcomeNotDispatched {
		t.Errorf("outcome %v, want %v", got.Outcome, decide.OutcomeNotDispatched)
	}
	// The connection is kept for the next attempt, whose bytes are built at the write.
	call, ch = newAttempt("a", "next")
	next := call.Params
	call.Params, call.BuildParams = nil, func() []byte { return next }
	p.Send(call)
	if got := waitResult(t, ch); got.Outcome != decide.OutcomeOK {
		t.Errorf("the next: outcome %v, want %v", got.Outcome, decide.OutcomeOK)
	}
	if txn := <-came; txn != "next" || len(came) > 0 {
		t.Errorf("the server got %q, want the next alone", txn)
	}
	if n := p.Dials.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
	time.Sleep(reuseDelay)
	call, ch = newAttempt("a", "rests") // on the connection that is idle now
	call.Cancelled = late.Load
	p.Send(call)
	if got := waitResult(t, ch); got.Outcome != decide.OutcomeNotDispatched || len(came) > 0 {
		t.Errorf("outcome %v with %d at the server, want %v and none", got.Outcome, len(came), decide.OutcomeNotDispatched)
	}
}

// A large body waited in a full buffer until its client had left. The attempt cannot run before its last byte, so it
// is checked again before that byte.
func TestAnAttemptThatIsLateBeforeItsLastByte(t *testing.T) {
	begin := make(chan struct{})
	ended := make(chan error, 1)
	addr := startServer(t, func(_ net.Conn, r *bufio.Reader) {
		<-begin
		_, err := readRequest(r)
		ended <- err
	})
	p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
	var late atomic.Bool
	call, ch := newAttempt("a", "1")
	head := "POST / HTTP/1.1\r\nX-Txn: 1\r\nContent-Length: 33554432\r\n\r\n"
	call.Params = append([]byte(head), make([]byte, 32<<20)...)
	call.Cancelled = late.Load
	p.Send(call)
	for {
		p.mu.Lock()
		written := false
		for k := range p.conns {
			written = k.writing
		}
		p.mu.Unlock()
		if written {
			break
		}
		time.Sleep(time.Millisecond)
	}
	late.Store(true)
	close(begin)
	if got := waitResult(t, ch); got.Outcome != decide.OutcomeNotDispatched {
		t.Errorf("outcome %v, want %v", got.Outcome, decide.OutcomeNotDispatched)
	}
	if err := <-ended; err == nil {
		t.Error("the whole request reached the server")
	}
}
