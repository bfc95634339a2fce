package http

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"winghatch/internal/frontend"
)

// until waits for a condition, 10 s at most.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// rests is a client whose connection was served once and rests.
func rests(t *testing.T, core *core, addr string) *client {
	t.Helper()
	c := dial(t, addr).send(usual("POST /api") + "abc")
	(<-core.came).Done(frontend.Response{Kind: frontend.Served, Body: []byte("x")})
	if status, _, _ := c.read(); status != 200 {
		t.Fatalf("%d, want 200", status)
	}
	return c
}

// A request that crosses the end of its connection is the client's to send again: sent on from here, it ran twice.
func TestARequestBehindTheShutdownIsNotSentOn(t *testing.T) {
	core, s, addr := start(t, 10)
	c := rests(t, core, addr)
	s.Drain()
	s.StopAccepting()
	if status, _, _ := c.read(); status != 0 {
		t.Fatalf("%d, want the end of the connection", status)
	}
	c.send(usual("POST /api", "X-Txn: t2") + "abc")
	until(t, "the connection is closed", func() bool { return s.Conns.Load() == 0 })
	if n := core.n(); n != 1 {
		t.Errorf("%d requests were sent on, want 1", n)
	}
}

// One whose bytes had begun to come has an answer: its client may have written it whole before the end.
func TestARequestUnderWayWhenTheGatewayStopsIsRefused(t *testing.T) {
	core, s, addr := start(t, 10)
	whole := usual("POST /api", "X-Txn: t2") + "abc"
	half, quiet := rests(t, core, addr).send(whole[:40]), dial(t, addr)
	until(t, "half a head was read", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		n := 0
		for _, c := range s.conns {
			if c.requestBegun && c.phase == reading {
				n++
			}
		}
		return n == 1 && len(s.conns) == 2
	})
	s.Drain()
	s.StopAccepting()
	half.send(whole[40:])
	if status, _, h := half.read(); status != 503 || h.Get("Connection") != "close" {
		t.Errorf("%d, Connection %q, want 503 and close", status, h.Get("Connection"))
	}
	if status, _, _ := quiet.read(); status != 0 {
		t.Errorf("one that never asked: %d, want the end of the connection", status)
	}
	if n := core.n(); n != 1 {
		t.Errorf("%d requests were sent on, want 1", n)
	}
}

// A request that was read behind an open one is answered too as the gateway stops, and its answer ends the connection.
func TestARequestBehindAnotherWhenTheGatewayStopsIsAnswered(t *testing.T) {
	core, s, addr := start(t, 10)
	c := dial(t, addr).send(usual("POST /api") + "abc" + usual("POST /api", "X-Txn: t2") + "abc")
	first := <-core.came
	s.Drain()
	for i, call := range []*frontend.Request{first, nil} {
		if call == nil {
			call = <-core.came
		}
		call.Done(frontend.Response{Kind: frontend.Served, Body: []byte("x")})
		if status, _, h := c.read(); status != 200 || (h.Get("Connection") == "close") != (i == 1) {
			t.Errorf("answer %d: %d, Connection %q, want 200 and close with the last", i, status, h.Get("Connection"))
		}
	}
}

// To close over unread bytes resets the connection, and what the client has not been sent yet is lost with it.
func TestTheTailOfTheLastAnswerIsNotLost(t *testing.T) {
	core, _, addr := start(t, 10)
	nc, err := (&net.Dialer{}).Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	io.WriteString(nc, usual("POST /api", "Connection: close")+"abc"+strings.Repeat("behind it ", 600))
	call := <-core.came
	call.Done(frontend.Response{Kind: frontend.Served, Body: make([]byte, 1<<20)})
	io.WriteString(nc, "more")
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	all, err := io.ReadAll(nc)
	if err != nil || len(all) < 1<<20 {
		t.Errorf("%d bytes and %v, want the whole answer and its end", len(all), err)
	}
}

// Bytes that were read ahead must not hide that their client has gone.
func TestAClientThatLeavesBehindOtherRequestsHasGone(t *testing.T) {
	for _, behind := range []int{1, 5, 40, 2000} { // within the reader's buffer, what is kept ahead, and beyond
		core, s, addr := start(t, 10)
		text := usual("POST /api") + "abc"
		for range behind {
			text += usual("POST /api", "X-Txn: t2") + "abc"
		}
		c := dial(t, addr)
		sent := make(chan struct{})
		go func() { c.send(text); close(sent) }() // the front may end it half-way
		call := <-core.came
		if behind < 1000 {
			<-sent
		}
		until(t, "all was read ahead that is kept", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, c := range s.conns {
				return c.watching && !c.hasUnread() || c.paused
			}
			return false
		})
		if call.ClientGone() {
			t.Errorf("%d behind it: it has gone before it left", behind)
		}
		c.nc.Close()
		if id := <-core.left; id != call.ID {
			t.Errorf("%d behind it: %q has gone, want %q", behind, id, call.ID)
		}
		until(t, "the connection is closed", func() bool { return s.Conns.Load() == 0 })
		if n := core.n(); n != 1 || !call.ClientGone() {
			t.Errorf("%d behind it: %d requests were sent on, left %t, want 1 and true", behind, n, call.ClientGone())
		}
	}
}

// The attempt's write asks whether the client is still there; the reader may not have been let run since it closed.
func TestLeftLooksAtTheSocket(t *testing.T) {
	core, _, addr := start(t, 10)
	for _, leave := range []func(nc *net.TCPConn){
		func(nc *net.TCPConn) { nc.Close() },
		func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() }, // a reset
		func(nc *net.TCPConn) { nc.CloseWrite() },
	} {
		c := dial(t, addr).send(usual("POST /api") + "abc")
		call := <-core.came
		if call.ClientGone() {
			t.Fatal("it has gone before it left")
		}
		leave(c.nc.(*net.TCPConn))
		until(t, "the client has gone", call.ClientGone)
		<-core.left
	}
	c := rests(t, core, addr).send(usual("POST /api", "X-Txn: t2") + "abc")
	call := <-core.came
	call.Done(frontend.Response{Kind: frontend.Failed})
	if c.read(); !call.ClientGone() {
		t.Error("a request that was answered still has a client")
	}
}

// A close is seen behind bytes that nobody has read yet: the process may have been held up since they came.
func TestLeftLooksBehindUnreadBytes(t *testing.T) {
	_, s, _ := start(t, 10)
	for _, leave := range []func(nc *net.TCPConn){
		func(nc *net.TCPConn) { nc.Close() },
		func(nc *net.TCPConn) { nc.CloseWrite() },
		func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() },
	} {
		c, nc := still(t, s)
		s.mu.Lock()
		c.requestID = "x"
		c.setPhase(active)
		s.mu.Unlock()
		io.WriteString(nc, "GET /next")
		until(t, "bytes wait", func() bool { return c.hasUnread() })
		if c.clientLeft("x") {
			t.Fatal("it has gone before it left")
		}
		leave(nc.(*net.TCPConn))
		until(t, "the client has gone", func() bool { return c.clientLeft("x") })
	}
}

// A request's time runs from its last byte, also while it waits for the answer to the one before it.
func TestARequestBehindAnotherHasRunItsTime(t *testing.T) {
	const waits = 300 * time.Millisecond
	core, s, addr := start(t, 10)
	c := dial(t, addr).send(usual("POST /api") + "abc")
	first := <-core.came
	c.send(usual("POST /api", "X-Txn: t2") + "abc")
	until(t, "the second was read ahead", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			return c.requestBegun && !c.hasUnread()
		}
		return false
	})
	read := s.clock()
	time.Sleep(waits)
	c.send(usual("POST /api", "X-Txn: t3")[:20])
	first.Done(frontend.Response{Kind: frontend.Served})
	if left := (<-core.came).Deadline - read; left > 480*time.Millisecond {
		t.Errorf("the second's time ends %v after it was read, want the 480 ms that it came with", left)
	}
}

// still is a connection whose reader does not run, so that what has come stays unread.
func still(t *testing.T, s *Server) (*conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { in.Close() })
	raw, err := in.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	c := newConn(s, s.lastID, in.(*net.TCPConn), raw)
	s.conns[c.id] = c
	s.limit.Accept(s.clock(), c.id, s.unread)
	c.setPhase(idle)
	return c, nc
}

// An answer is written for as long as its request's time, and half a second more, run, to a client that is slow to read.
func TestAClientThatReadsLateHasItsWholeAnswer(t *testing.T) {
	const size = 32 << 20 // more than sockets hold
	_, s, _ := start(t, 10)
	c, nc := still(t, s)
	s.mu.Lock()
	c.deadline = s.clock() + writeTimeout + time.Second
	c.setPhase(active)
	c.writeResponse(make([]byte, size), c.finishResponse)
	s.mu.Unlock()
	time.Sleep(writeTimeout + 300*time.Millisecond)
	if n, err := io.CopyN(io.Discard, nc, size); err != nil {
		t.Errorf("%d bytes of %d: %v", n, size, err)
	}
}

// A request that waits unread as its connection's rest is over keeps the connection, as it does when the gateway stops;
// one that comes behind the end is no request.
func TestTheIdleTimeoutCrossesARequest(t *testing.T) {
	for _, end := range []struct {
		name string
		do   func(s *Server, now time.Duration)
	}{{"idle timeout", func(s *Server, now time.Duration) { s.closeExpired(now) }}, {"stop", func(s *Server, _ time.Duration) { s.StopAccepting() }}} {
		core, s, _ := start(t, 10)
		c, nc := still(t, s)
		io.WriteString(nc, usual("POST /api")+"abc")
		until(t, "the request has come", func() bool { return c.hasUnread() })
		end.do(s, s.clock()+time.Hour)
		if c.phase == closing {
			t.Fatalf("%s: a connection was shut over an unread request", end.name)
		}
		s.wg.Add(1)
		go c.run()
		if end.name == "stop" {
			if b, _ := io.ReadAll(nc); !strings.HasPrefix(string(b), "HTTP/1.1 503 ") {
				t.Errorf("%s: answer %.40q, want 503", end.name, b)
			}
			continue
		}
		(<-core.came).Done(frontend.Response{Kind: frontend.Failed})

		c, nc = still(t, s)
		end.do(s, s.clock()+2*time.Hour)
		if c.phase != closing {
			t.Fatalf("%s: an idle connection was not shut", end.name)
		}
		io.WriteString(nc, usual("POST /api", "X-Txn: t2")+"abc")
		until(t, "the request has come", func() bool { return c.hasUnread() })
		s.wg.Add(1)
		go c.run()
		if b, err := io.ReadAll(nc); len(b) > 0 || err != nil {
			t.Errorf("%s: %.40q and %v behind the end, want a clean end", end.name, b, err)
		}
		nc.Close()
		until(t, "the connection is closed", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.conns[c.id] == nil })
		if n := core.n(); n != 1 {
			t.Errorf("%s: %d requests were sent on, want 1", end.name, n)
		}
	}
}

// All that are ended at once linger, as long as new ones leave room; then those that lingered longest give way, and the number
// of connections stays bounded.
func TestLingeringIsBounded(t *testing.T) {
	const most, seats = 20, 15
	_, s, addr := start(t, most)
	dialAll := func() (all []*client) {
		for range seats {
			all = append(all, dial(t, addr))
		}
		return all
	}
	held := func() (lingering, seated int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lingering.Len(), s.limit.Len()
	}
	first := dialAll()
	until(t, "all are held", func() bool { return s.Conns.Load() == seats })
	s.mu.Lock()
	for _, c := range s.conns {
		c.closeInactive(503, "")
	}
	if n := s.lingering.Len(); n != seats {
		t.Errorf("%d linger, want all %d", n, seats)
	}
	s.unlockAndClose()
	second := dialAll()
	until(t, "the second are held", func() bool {
		lingering, seated := held()
		if lingering+seated > most {
			t.Errorf("%d linger and %d are held, want %d at most in sum", lingering, seated, most)
		}
		return seated == seats
	})
	for _, c := range first {
		if status, _, _ := c.read(); status != 0 {
			t.Errorf("%d, want the end of the connection", status)
		}
	}
	for _, c := range second {
		c.nc.Close()
	}
	until(t, "all are closed", func() bool { return s.Conns.Load() == 0 })
	if lingering, seated := held(); lingering != 0 || seated != 0 {
		t.Errorf("%d linger and %d seats are held, want none", lingering, seated)
	}
}

// Bodies are bounded in sum: hundreds of large ones must not take the process beyond its memory.
func TestBodiesAreBoundedInSum(t *testing.T) {
	core, s, addr := start(t, 40)
	s.maxBodyBytes = 100 << 10
	large := usual("POST /api", "Content-Length: 81920") + strings.Repeat("a", 81920)
	first := dial(t, addr).send(large)
	call := <-core.came
	if status, _, _ := dial(t, addr).send(strings.Replace(large, "t1", "t2", 1)).read(); status != 503 {
		t.Errorf("a second large body: %d, want 503", status)
	}
	call.Done(frontend.Response{Kind: frontend.Served})
	first.read()
	c := dial(t, addr).send(strings.Replace(large, "t1", "t3", 1))
	call = <-core.came
	c.nc.Close()
	<-core.left
	until(t, "its room is free", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.bodyBytes == 0 })
}
