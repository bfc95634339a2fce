package http

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"winghatch/internal/frontend"
)

// Guards against requests that run twice. A client sends a request just as the gateway ends its connection,
// sees the end of the connection and sends the request again elsewhere. If this gateway forwarded it too, it
// would run twice.
func TestRequestAfterHalfCloseIsNotForwarded(t *testing.T) {
	core, s, addr := startServer(t, 10)
	c := dialIdle(t, core, addr)
	s.Drain()
	s.StopAccepting()
	if status, _, _ := c.read(); status != 0 {
		t.Fatalf("idle connection: got status %d, want the end of the connection", status)
	}
	c.send(requestText("POST /api", "X-Txn: t2") + "abc")
	waitUntil(t, "the connection is closed", func() bool { return s.Conns.Load() == 0 })
	if n := core.count(); n != 1 {
		t.Errorf("core received %d requests, want 1", n)
	}
}

// Guards against lost requests. A request is partly read when the gateway stops. Its client may have written
// it completely, so it needs a response.
func TestPartialRequestAtShutdownIsRejected(t *testing.T) {
	core, s, addr := startServer(t, 10)
	fullRequest := requestText("POST /api", "X-Txn: t2") + "abc"
	partial, silent := dialIdle(t, core, addr).send(fullRequest[:40]), dial(t, addr)
	waitUntil(t, "part of a head is read", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		n := 0
		for _, c := range s.conns {
			if c.requestStarted && c.phase == reading {
				n++
			}
		}
		return n == 1 && len(s.conns) == 2
	})
	s.Drain()
	s.StopAccepting()
	partial.send(fullRequest[40:])
	if status, _, h := partial.read(); status != 503 || h.Get("Connection") != "close" {
		t.Errorf("partial request: got status %d, Connection %q, want 503 and close",
			status, h.Get("Connection"))
	}
	if status, _, _ := silent.read(); status != 0 {
		t.Errorf("silent connection: got status %d, want the end of the connection", status)
	}
	if n := core.count(); n != 1 {
		t.Errorf("core received %d requests, want 1", n)
	}
}

// Guards against the loss of a pipelined request. The gateway stops while one request is open and another one
// waits after it on the same connection. Both must get their responses, and the second response must end the
// connection.
func TestPipelinedRequestAtShutdownIsAnswered(t *testing.T) {
	core, s, addr := startServer(t, 10)
	c := dial(t, addr).send(requestText("POST /api") + "abc" + requestText("POST /api", "X-Txn: t2") + "abc")
	first := <-core.submitted
	s.Drain()
	for i, call := range []*frontend.Request{first, nil} {
		if call == nil {
			call = <-core.submitted
		}
		call.Done(frontend.Response{Kind: frontend.Served, Body: []byte("x")})
		if status, _, h := c.read(); status != 200 || (h.Get("Connection") == "close") != (i == 1) {
			t.Errorf("response %d: got status %d, Connection %q, want 200 and close only in the second",
				i, status, h.Get("Connection"))
		}
	}
}

// Guards against truncated responses. Closing a connection with unread bytes resets it, and the part of a
// response that the client has not received yet is lost.
func TestLastResponseIsComplete(t *testing.T) {
	core, _, addr := startServer(t, 10)
	nc, err := (&net.Dialer{}).Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	io.WriteString(nc, requestText("POST /api", "Connection: close")+"abc"+strings.Repeat("behind it ", 600))
	call := <-core.submitted
	call.Done(frontend.Response{Kind: frontend.Served, Body: make([]byte, 1<<20)})
	io.WriteString(nc, "more")
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	all, err := io.ReadAll(nc)
	if err != nil || len(all) < 1<<20 {
		t.Errorf("read %d bytes and error %v, want the whole response and the end of the connection",
			len(all), err)
	}
}

// Guards against requests that are lost or run twice because they arrive while their idle connection is being
// closed, either after the idle timeout or during a shutdown. A request that is unread in the socket must
// keep the connection open. A request that arrives after the half-close must be dropped.
func TestRequestArrivesDuringIdleClose(t *testing.T) {
	for _, end := range []struct {
		name string
		do   func(s *Server, now time.Duration)
	}{
		{"idle timeout", func(s *Server, now time.Duration) { s.closeExpired(now) }},
		{"stop", func(s *Server, _ time.Duration) { s.StopAccepting() }},
	} {
		core, s, _ := startServer(t, 10)
		c, nc := dialUnread(t, s)
		io.WriteString(nc, requestText("POST /api")+"abc")
		waitUntil(t, "the request has arrived", func() bool { return c.hasUnread() })
		end.do(s, s.clock()+time.Hour)
		if c.phase == closing {
			t.Fatalf("%s: the connection was closed with an unread request", end.name)
		}
		s.wg.Add(1)
		go c.run()
		if end.name == "stop" {
			if b, _ := io.ReadAll(nc); !strings.HasPrefix(string(b), "HTTP/1.1 503 ") {
				t.Errorf("%s: got response %.40q, want 503", end.name, b)
			}
			continue
		}
		(<-core.submitted).Done(frontend.Response{Kind: frontend.Failed})

		c, nc = dialUnread(t, s)
		end.do(s, s.clock()+2*time.Hour)
		if c.phase != closing {
			t.Fatalf("%s: the idle connection was not closed", end.name)
		}
		io.WriteString(nc, requestText("POST /api", "X-Txn: t2")+"abc")
		waitUntil(t, "the request has arrived", func() bool { return c.hasUnread() })
		s.wg.Add(1)
		go c.run()
		if b, err := io.ReadAll(nc); len(b) > 0 || err != nil {
			t.Errorf("%s: read %.40q and error %v after the half-close, want a clean end", end.name, b, err)
		}
		nc.Close()
		waitUntil(t, "the connection is closed", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.conns[c.id] == nil
		})
		if n := core.count(); n != 1 {
			t.Errorf("%s: core received %d requests, want 1", end.name, n)
		}
	}
}

// Guards against lingering connections that exceed the limit when many connections are ended at once. They
// may linger as long as new connections leave room. After that, those that have lingered longest must be
// closed.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	const maxConns, openConns = 20, 15
	_, s, addr := startServer(t, maxConns)
	dialAll := func() (all []*client) {
		for range openConns {
			all = append(all, dial(t, addr))
		}
		return all
	}
	counts := func() (lingering, held int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lingering.Len(), s.limit.Len()
	}
	first := dialAll()
	waitUntil(t, "all first connections are held", func() bool { return s.Conns.Load() == openConns })
	s.mu.Lock()
	for _, c := range s.conns {
		c.closeInactive(503, "")
	}
	if n := s.lingering.Len(); n != openConns {
		t.Errorf("%d connections linger, want all %d", n, openConns)
	}
	s.unlockAndClose()
	second := dialAll()
	waitUntil(t, "all second connections are held", func() bool {
		lingering, held := counts()
		if lingering+held > maxConns {
			t.Errorf("%d lingering and %d other connections, want at most %d in total",
				lingering, held, maxConns)
		}
		return held == openConns
	})
	for _, c := range first {
		if status, _, _ := c.read(); status != 0 {
			t.Errorf("first connection: got status %d, want the end of the connection", status)
		}
	}
	for _, c := range second {
		c.nc.Close()
	}
	waitUntil(t, "all connections are closed", func() bool { return s.Conns.Load() == 0 })
	if lingering, held := counts(); lingering != 0 || held != 0 {
		t.Errorf("%d lingering and %d other connections after the end, want none", lingering, held)
	}
}
