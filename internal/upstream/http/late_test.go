package http

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"winghatch/decide"
)

// slow is an address whose connections come up only once open is called: its queue of those that wait is full.
func slow(t *testing.T) (addr string, open func(serve func(nc net.Conn))) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }) // a queue of one, from now on
	if err != nil {
		t.Fatal(err)
	}
	addr = ln.Addr().String()
	var fill []net.Conn
	for {
		nc, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			break
		}
		fill = append(fill, nc)
	}
	return addr, func(serve func(nc net.Conn)) {
		for _, nc := range fill {
			nc.Close()
		}
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go serve(nc)
			}
		}()
	}
}

// An attempt whose time, window or client was over before its connection came up is not written: a repeat behind the
// window would run a second time, and nothing is sent for a client that has gone.
func TestAnAttemptThatIsLateAtItsWrite(t *testing.T) {
	addr, open := slow(t)
	p := newPool(t, Options{DialTimeout: time.Minute}, Server{ID: "a", Addr: addr})
	var late atomic.Bool
	call, ch := attempt("a", "late")
	call.Cancelled = late.Load
	p.Send(call)
	late.Store(true)
	came := make(chan string, 10)
	open(func(nc net.Conn) {
		for r := bufio.NewReader(nc); ; {
			txn, err := request(r)
			if err != nil {
				return
			}
			came <- txn
			io.WriteString(nc, fine+"\r\nhi")
		}
	})
	if got := wait(t, ch); got.Outcome != decide.OutcomeNotDispatched {
		t.Errorf("outcome %v, want %v", got.Outcome, decide.OutcomeNotDispatched)
	}
	// Its connection is good for the next, whose bytes are made at the write.
	call, ch = attempt("a", "next")
	next := call.Params
	call.Params, call.BuildParams = nil, func() []byte { return next }
	p.Send(call)
	if got := wait(t, ch); got.Outcome != decide.OutcomeOK {
		t.Errorf("the next: outcome %v, want %v", got.Outcome, decide.OutcomeOK)
	}
	if txn := <-came; txn != "next" || len(came) > 0 {
		t.Errorf("the server got %q, want the next alone", txn)
	}
	if n := p.Dials.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
	time.Sleep(reuseDelay)
	call, ch = attempt("a", "rests") // on the connection that rests now
	call.Cancelled = late.Load
	p.Send(call)
	if got := wait(t, ch); got.Outcome != decide.OutcomeNotDispatched || len(came) > 0 {
		t.Errorf("outcome %v with %d at the server, want %v and none", got.Outcome, len(came), decide.OutcomeNotDispatched)
	}
}

// The last byte decides: an attempt that the socket's buffer did not take whole is asked again before it.
func TestAnAttemptThatIsLateBeforeItsLastByte(t *testing.T) {
	begin := make(chan struct{})
	ended := make(chan error, 1)
	addr := scripted(t, func(nc net.Conn, r *bufio.Reader) {
		<-begin
		_, err := request(r)
		ended <- err
	})
	p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
	var late atomic.Bool
	call, ch := attempt("a", "1")
	call.Params = append([]byte("POST / HTTP/1.1\r\nX-Txn: 1\r\nContent-Length: 33554432\r\n\r\n"), make([]byte, 32<<20)...)
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
	if got := wait(t, ch); got.Outcome != decide.OutcomeNotDispatched {
		t.Errorf("outcome %v, want %v", got.Outcome, decide.OutcomeNotDispatched)
	}
	if err := <-ended; err == nil {
		t.Error("the whole request reached the server")
	}
}

// An answer of no stated length is whole where the connection ends, and may have run but is not whole where it is reset;
// long ones are taken up to the bound, and in sum no further than the pool has room.
func TestAnswersUpToTheEnd(t *testing.T) {
	long := strings.Repeat("a", 200<<10)
	addr := once(t, func(nc net.Conn, txn string) {
		defer nc.Close()
		head := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
		switch txn {
		case "end":
			io.WriteString(nc, head+"hi")
		case "long":
			io.WriteString(nc, head+long)
		case "reset":
			io.WriteString(nc, head+"h")
			nc.(*net.TCPConn).SetLinger(0)
		case "endless":
			for {
				if _, err := io.WriteString(nc, head+long); err != nil {
					return
				}
			}
		}
	})
	p := newPool(t, Options{MaxBodyBytes: 1 << 20, MaxTotalBodyBytes: 2 << 20}, Server{ID: "a", Addr: addr})
	for _, c := range []struct {
		txn  string
		want decide.Outcome
		body string
	}{{"end", decide.OutcomeOK, "hi"}, {"long", decide.OutcomeOK, long}, {"reset", decide.OutcomeReset, ""}, {"endless", decide.OutcomeError, ""}} {
		call, ch := attempt("a", c.txn)
		p.Send(call)
		if got := wait(t, ch); got.Outcome != c.want || string(got.Body) != c.body {
			t.Errorf("%s: outcome %v and %d bytes, want %v and %d", c.txn, got.Outcome, len(got.Body), c.want, len(c.body))
		}
	}
	for end := time.Now().Add(10 * time.Second); p.bodyBytes.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of answers are still counted", p.bodyBytes.Load())
		}
	}
	p.opts.MaxTotalBodyBytes = 100 << 10
	call, ch := attempt("a", "long")
	p.Send(call)
	if got := wait(t, ch); got.Outcome != decide.OutcomeError {
		t.Errorf("beyond the sum: outcome %v, want %v", got.Outcome, decide.OutcomeError)
	}
}

// A second answer may come some milliseconds behind the first, and be on its way as the next attempt is written: it must not
// be taken for that one's.
func TestASecondAnswerOnItsWayReachesNoOtherRequest(t *testing.T) {
	const late, flight = 8 * time.Millisecond, 6 * time.Millisecond
	addr := scripted(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			txn, err := request(r)
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
		c, ch := attempt("a", fmt.Sprint("t", i))
		p.Send(c)
		if r := wait(t, ch); r.Outcome != decide.OutcomeOK || string(r.Body) != fmt.Sprint("t", i) {
			t.Fatalf("attempt t%d ended as %d with %q, want its own answer", i, r.Outcome, r.Body)
		}
		time.Sleep(late + flight/2)
	}
}

// A connection that rested for longer than its server keeps it is not used, though the process was held up and nobody closed
// it in time.
func TestAConnectionThatRestedTooLongIsNotUsed(t *testing.T) {
	addr := scripted(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			if _, err := request(r); err != nil {
				return
			}
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
		}
	})
	p := newPool(t, Options{IdleTimeout: time.Hour}, Server{ID: "a", Addr: addr})
	for range 2 {
		c, ch := attempt("a", "t")
		p.Send(c)
		wait(t, ch)
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
