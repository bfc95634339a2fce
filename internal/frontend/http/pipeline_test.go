package http

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"winghatch/internal/frontend"
)

// A client pipelines requests. Each waits for the response to the one before it, and all are answered in
// order.
func TestRequestsBehindAnother(t *testing.T) {
	core, _, addr := startServer(t, 10)
	second := requestText("POST /api", "X-Txn: t2") + "abc"
	c := dial(t, addr).send(requestText("POST /api") + "abc" + second + "noise\r\n\r\n")
	first := <-core.submitted
	select {
	case <-core.submitted:
		t.Fatal("two requests of one connection are open")
	case <-time.After(50 * time.Millisecond):
	}
	first.Done(frontend.Response{Kind: frontend.Served, Body: []byte("1")})
	(<-core.submitted).Done(frontend.Response{Kind: frontend.Served, Body: []byte("2")})
	for _, want := range []string{"200 1", "200 2", "400"} {
		if status, body, _ := c.read(); !strings.HasPrefix(fmt.Sprint(status, " ", body), want) {
			t.Errorf("%d %q, want %s", status, body, want)
		}
	}
}

// A client pipelines requests and closes. The bytes in front of its close must not hide it: else attempts go
// on for nobody.
func TestAClientThatLeavesBehindOtherRequestsHasGone(t *testing.T) {
	for _, behind := range []int{1, 5, 40, 2000} { // within the reader's buffer, within what is kept, and beyond
		core, s, addr := startServer(t, 10)
		text := requestText("POST /api") + "abc"
		for range behind {
			text += requestText("POST /api", "X-Txn: t2") + "abc"
		}
		c := dial(t, addr)
		sent := make(chan struct{})
		go func() { // the server may end it half-way
			c.send(text)
			close(sent)
		}()
		call := <-core.submitted
		if behind < 1000 {
			<-sent
		}
		waitUntil(t, "all that is kept was read", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, c := range s.conns {
				return c.pipeline.watching && !c.hasUnread() || c.pipeline.paused
			}
			return false
		})
		if call.ClientGone() {
			t.Errorf("%d behind it: it has gone before it left", behind)
		}
		c.nc.Close()
		if id := <-core.disconnected; id != call.ID {
			t.Errorf("%d behind it: %q has gone, want %q", behind, id, call.ID)
		}
		waitUntil(t, "the connection is closed", func() bool { return s.Conns.Load() == 0 })
		if n := core.count(); n != 1 || !call.ClientGone() {
			t.Errorf("%d behind it: %d requests were sent on, left %t, want 1 and true", behind, n, call.ClientGone())
		}
	}
}

// A client closes and sends its request again. The core gives the first no response; its X-Txn must be free
// all the same, and a late response must not touch the second.
func TestAClientThatClosesHasGone(t *testing.T) {
	core, s, addr := startServer(t, 10)
	c := dial(t, addr).send(requestText("POST /api") + "abc")
	call := <-core.submitted
	c.nc.Close()
	if id := <-core.disconnected; id != call.ID {
		t.Errorf("%q has gone, want %q", id, call.ID)
	}
	again := dial(t, addr).send(requestText("POST /api") + "abc")
	second := <-core.submitted
	call.Done(frontend.Response{Kind: frontend.Failed}) // crosses it: the id is the second's now
	if status, _, _ := dial(t, addr).send(requestText("POST /api") + "abc").read(); status != 409 {
		t.Errorf("the id while the second is open: %d, want 409", status)
	}
	second.Done(frontend.Response{Kind: frontend.Failed})
	again.read()
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.openTxns); n != 0 {
		t.Errorf("%d ids are held, want none", n)
	}
}

// The reader may not have run since the client closed. What is asked as an attempt is written has to look at
// the socket.
func TestLeftLooksAtTheSocket(t *testing.T) {
	core, _, addr := startServer(t, 10)
	for _, leave := range []func(nc *net.TCPConn){
		func(nc *net.TCPConn) { nc.Close() },
		reset,
		func(nc *net.TCPConn) { nc.CloseWrite() },
	} {
		c := dial(t, addr).send(requestText("POST /api") + "abc")
		call := <-core.submitted
		if call.ClientGone() {
			t.Fatal("it has gone before it left")
		}
		leave(c.nc.(*net.TCPConn))
		waitUntil(t, "the client has gone", call.ClientGone)
		<-core.disconnected
	}
	c := dialIdle(t, core, addr).send(requestText("POST /api", "X-Txn: t2") + "abc")
	call := <-core.submitted
	call.Done(frontend.Response{Kind: frontend.Failed})
	if c.read(); !call.ClientGone() {
		t.Error("a request that was answered still has a client")
	}
}

// The process was held up, and a client sent bytes and closed meanwhile. Its close must be seen behind unread
// bytes.
func TestLeftLooksBehindUnreadBytes(t *testing.T) {
	_, s, _ := startServer(t, 10)
	for _, leave := range []func(nc *net.TCPConn){
		func(nc *net.TCPConn) { nc.Close() },
		func(nc *net.TCPConn) { nc.CloseWrite() },
		reset,
	} {
		c, nc := dialUnread(t, s)
		s.mu.Lock()
		c.requestID = "x"
		c.setPhase(active)
		s.mu.Unlock()
		io.WriteString(nc, "GET /next")
		waitUntil(t, "bytes wait", func() bool { return c.hasUnread() })
		if c.clientLeft("x") {
			t.Fatal("it has gone before it left")
		}
		leave(nc.(*net.TCPConn))
		waitUntil(t, "the client has gone", func() bool { return c.clientLeft("x") })
	}
}

func reset(nc *net.TCPConn) {
	nc.SetLinger(0)
	nc.Close()
}
