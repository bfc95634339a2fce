package http

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/upstream"
)

// scripted is a server that answers each connection's requests by a function of its own.
func scripted(t *testing.T, serve func(nc net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer nc.Close(); serve(nc, bufio.NewReader(nc)) }()
		}
	}()
	return ln.Addr().String()
}

// request reads one request of the pool's and returns its X-Txn.
func request(r *bufio.Reader) (txn string, err error) {
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		line = strings.TrimSpace(line)
		fmt.Sscanf(line, "Content-Length: %d", &length)
		if v, ok := strings.CutPrefix(line, "X-Txn: "); ok {
			txn = v
		}
		if line == "" {
			_, err = io.CopyN(io.Discard, r, int64(length))
			return txn, err
		}
	}
}

func newPool(t *testing.T, o Options, servers ...Server) *Pool {
	t.Helper()
	if o.DialTimeout == 0 {
		o.DialTimeout = time.Second
	}
	if o.MaxConns == 0 {
		o.MaxConns = 64
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = time.Minute
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = 64 << 10
	}
	p := New(o)
	p.Update(servers, true)
	t.Cleanup(func() {
		done := make(chan struct{})
		go func() { p.Close(); close(done) }()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Error("the pool does not end")
		}
	})
	return p
}

func attempt(node, txn string) (*upstream.Call, chan upstream.Result) {
	ch := make(chan upstream.Result, 2)
	return &upstream.Call{Server: node, Params: []byte("GET /api HTTP/1.1\r\nHost: s\r\nX-Txn: " + txn + "\r\n\r\n"),
		Done: func(r upstream.Result) { ch <- r }}, ch
}

func wait(t *testing.T, ch chan upstream.Result) upstream.Result {
	t.Helper()
	select {
	case r := <-ch:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no end of the attempt within 10 s")
		return upstream.Result{}
	}
}

// To close a connection under the pool's lock waited for its reader, which waited for the lock: a gateway stood still
// for good on a day on which attempts were given up just as their answers came.
func TestAttemptsGivenUpAsTheirAnswersCome(t *testing.T) {
	addr := scripted(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			txn, err := request(r)
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
			c, _ := attempt("a", fmt.Sprint(i))
			over := make(chan struct{})
			c.Done = func(upstream.Result) { ended.Add(1); close(over) }
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

// once is a server that reads each request and then does as it is told.
func once(t *testing.T, then func(nc net.Conn, txn string)) string {
	return scripted(t, func(nc net.Conn, r *bufio.Reader) {
		for {
			txn, err := request(r)
			if err != nil {
				return
			}
			then(nc, txn)
		}
	})
}

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

func TestOutcomesAreTrue(t *testing.T) {
	shut, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := shut.Addr().String()
	shut.Close()
	say := func(s string) string {
		return once(t, func(nc net.Conn, _ string) { io.WriteString(nc, s) })
	}
	for _, c := range []struct {
		name, addr string
		want       upstream.Result
	}{
		{"served", say(fine + "\r\nhi"), upstream.Result{Outcome: decide.OutcomeOK, Body: []byte("hi")}},
		{"figures", say(fine + "X-Quota-Used: 85\r\nX-Units-Charged: 3\r\nX-Pressure: inflight=7,util=0.5\r\n\r\nhi"),
			upstream.Result{Outcome: decide.OutcomeOK, Body: []byte("hi"), ReportedUsage: 86, ActualUnits: 3,
				LoadReport: decide.LoadReport{"inflight": 7, "util": 0.5}}},
		{"figures that can't be read", say(fine + "X-Quota-Used: -3\r\nX-Units-Charged: many\r\nX-Pressure: a=b;;\r\n\r\nhi"),
			upstream.Result{Outcome: decide.OutcomeOK, Body: []byte("hi")}},
		{"units beyond the most", say(fine + "X-Units-Charged: 9000\r\n\r\nhi"), upstream.Result{Outcome: decide.OutcomeOK, Body: []byte("hi")}},
		{"interim answers", say("HTTP/1.1 103 E\r\n\r\n" + fine + "\r\nhi"), upstream.Result{Outcome: decide.OutcomeOK, Body: []byte("hi")}},
		{"error", say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: decide.OutcomeError}},
		{"turned away", say("HTTP/1.1 503 E\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: decide.OutcomeRejected}},
		{"503 without the mark", say("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: decide.OutcomeError}},
		{"another status", say("HTTP/1.1 404 E\r\nContent-Length: 0\r\n\r\n"), upstream.Result{Outcome: decide.OutcomeError}},
		{"noise", say("\x01\x02\x03\r\n\r\n"), upstream.Result{Outcome: decide.OutcomeError}},
		{"3 GB", say("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx"), upstream.Result{Outcome: decide.OutcomeError}},
		{"endless head", say("HTTP/1.1 200 OK\r\n" + strings.Repeat("X: yyyyyyyyyyyyyyyyyyyyyyyy\r\n", 1000)), upstream.Result{Outcome: decide.OutcomeError}},
		{"break after the last byte", once(t, func(nc net.Conn, _ string) { nc.Close() }), upstream.Result{Outcome: decide.OutcomeReset}},
		{"break within the answer", once(t, func(nc net.Conn, _ string) { io.WriteString(nc, fine+"\r\nh"); nc.Close() }),
			upstream.Result{Outcome: decide.OutcomeReset}},
		{"refused", refused, upstream.Result{Outcome: decide.OutcomeConnectFailed}},
	} {
		p := newPool(t, Options{MaxUnits: 8}, Server{ID: "a", Addr: c.addr})
		call, ch := attempt("a", "1")
		p.Send(call)
		if got := wait(t, ch); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// A second copy right behind an answer must not be taken for the answer to the next request on that connection.
func TestWhatComesBehindAnAnswerReachesNoOtherRequest(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "later": true} {
		sent := make(chan struct{}, 100)
		addr := once(t, func(nc net.Conn, txn string) {
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
			call, ch := attempt("a", txn)
			p.Send(call)
			if got := wait(t, ch); got.Outcome == decide.OutcomeOK && string(got.Body) != txn {
				t.Fatalf("%s: %q was answered %q", name, txn, got.Body)
			}
			<-sent // the copy has left before the next request does
		}
	}
}

func TestServerReplacedAtItsAddress(t *testing.T) {
	var conns atomic.Int64
	addr := scripted(t, func(nc net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for {
			if _, err := request(r); err != nil {
				return
			}
			io.WriteString(nc, fine+"\r\nhi")
		}
	})
	p := newPool(t, Options{}, Server{ID: "old", Addr: addr})
	use := func(node string) decide.Outcome {
		call, ch := attempt(node, "1")
		p.Send(call)
		return wait(t, ch).Outcome
	}
	use("old")
	time.Sleep(reuseDelay)
	use("old")
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for two requests, want 1", n)
	}
	time.Sleep(reuseDelay) // what rests now could be used
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
		t.Errorf("a server that started anew got a connection of its former life")
	}
}

// An attempt that waits for its connection when its server is told draining must not be written later.
func TestDrainToldWhileAnAttemptConnects(t *testing.T) {
	addr := full(t) // its queue of connections is full: connecting takes longer than the test
	p := newPool(t, Options{DialTimeout: 30 * time.Second}, Server{ID: "a", Addr: addr})
	call, ch := attempt("a", "1")
	p.Send(call)
	p.Update([]Server{{ID: "a", Addr: addr, State: decide.Draining}}, false)
	if got := wait(t, ch); got.Outcome != decide.OutcomeConnectFailed {
		t.Errorf("outcome %v, want %v", got.Outcome, decide.OutcomeConnectFailed)
	}
	call, ch = attempt("a", "2")
	p.Send(call)
	if got := wait(t, ch); got.Outcome != decide.OutcomeConnectFailed {
		t.Errorf("a new attempt: outcome %v, want %v", got.Outcome, decide.OutcomeConnectFailed)
	}
}

// full is an address that takes no connection: its queue of those that wait to be accepted is full.
func full(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprint("127.0.0.1:", sa.(*syscall.SockaddrInet4).Port)
	for {
		nc, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { nc.Close() })
	}
}

func TestConnectingIsBoundedInTime(t *testing.T) {
	p := newPool(t, Options{DialTimeout: 50 * time.Millisecond}, Server{ID: "a", Addr: full(t)})
	call, ch := attempt("a", "1")
	p.Send(call)
	if got := wait(t, ch); got.Outcome != decide.OutcomeConnectFailed {
		t.Errorf("outcome %v, want %v", got.Outcome, decide.OutcomeConnectFailed)
	}
}

// The pool is full: a connection at rest gives way; with none at rest the attempt ends and never leaves.
func TestConnectionsAreBoundedOverAllServers(t *testing.T) {
	hold := make(chan struct{})
	addr := once(t, func(nc net.Conn, txn string) {
		if txn == "hold" {
			<-hold
		}
		io.WriteString(nc, fine+"\r\nhi")
	})
	p := newPool(t, Options{MaxConns: 2}, Server{ID: "a", Addr: addr}, Server{ID: "b", Addr: addr}, Server{ID: "c", Addr: addr})
	for _, node := range []string{"a", "b", "c", "a", "b"} {
		call, ch := attempt(node, "1")
		p.Send(call)
		if got := wait(t, ch); got.Outcome != decide.OutcomeOK || p.Conns.Load() > 2 {
			t.Errorf("%s: outcome %v with %d connections", node, got.Outcome, p.Conns.Load())
		}
	}
	var held []chan upstream.Result
	for _, node := range []string{"a", "b"} {
		call, ch := attempt(node, "hold")
		p.Send(call)
		held = append(held, ch)
	}
	call, ch := attempt("c", "1")
	p.Send(call)
	if got := wait(t, ch); got.Outcome != decide.OutcomeConnectFailed {
		t.Errorf("over the bound: outcome %v, want %v", got.Outcome, decide.OutcomeConnectFailed)
	}
	close(hold)
	for _, ch := range held {
		if got := wait(t, ch); got.Outcome != decide.OutcomeOK {
			t.Errorf("held: outcome %v, want %v", got.Outcome, decide.OutcomeOK)
		}
	}
}

func TestRestingConnectionsAreClosedBeforeTheServerDoes(t *testing.T) {
	ended := make(chan struct{}, 1)
	addr := scripted(t, func(nc net.Conn, r *bufio.Reader) {
		request(r)
		io.WriteString(nc, fine+"\r\nhi")
		request(r)
		ended <- struct{}{}
	})
	p := newPool(t, Options{IdleTimeout: 50 * time.Millisecond}, Server{ID: "a", Addr: addr})
	call, ch := attempt("a", "1")
	p.Send(call)
	wait(t, ch)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the connection was not closed")
	}
}

// The server closes at rest; the next attempt must not be lost to it.
func TestAnIdleCloseLosesNoAttempt(t *testing.T) {
	closed := make(chan struct{}, 1)
	addr := scripted(t, func(nc net.Conn, r *bufio.Reader) {
		request(r)
		io.WriteString(nc, fine+"\r\nhi")
		nc.Close()
		closed <- struct{}{}
	})
	p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
	for range 30 {
		call, ch := attempt("a", "1")
		p.Send(call)
		if got := wait(t, ch); got.Outcome != decide.OutcomeOK {
			t.Fatalf("outcome %v, want %v", got.Outcome, decide.OutcomeOK)
		}
		<-closed
	}
}

// A large attempt that the server does not read has not run until its last byte is written.
func TestAnAttemptGivenUpHalfWrittenNeverLeft(t *testing.T) {
	got := make(chan struct{})
	addr := scripted(t, func(nc net.Conn, r *bufio.Reader) { close(got); <-t.Context().Done() })
	p := newPool(t, Options{}, Server{ID: "a", Addr: addr})
	call, _ := attempt("a", "1")
	call.Params = append([]byte("POST / HTTP/1.1\r\nContent-Length: 33554432\r\n\r\n"), make([]byte, 32<<20)...)
	p.Send(call)
	<-got
	if given := p.Abandon(call); given != upstream.NotSent {
		t.Errorf("given up: %v, want %v", given, upstream.NotSent)
	}
}
