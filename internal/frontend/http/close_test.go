package http

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"winghatch/internal/frontend"
)

// A client sends a request just as the gateway ends its connection, sees the end, and sends the request again
// elsewhere. Served here too, it would run twice.
func TestARequestBehindTheShutdownIsNotSentOn(t *testing.T) {
	core, s, addr := startServer(t, 10)
	c := dialIdle(t, core, addr)
	s.Drain()
	s.StopAccepting()
	if status, _, _ := c.read(); status != 0 {
		t.Fatalf("%d, want the end of the connection", status)
	}
	c.send(requestText("POST /api", "X-Txn: t2") + "abc")
	waitUntil(t, "the connection is closed", func() bool { return s.Conns.Load() == 0 })
	if n := core.count(); n != 1 {
		t.Errorf("%d requests were sent on, want 1", n)
	}
}

// A request was half read when the gateway stopped. Its client may have written it completely, so it is owed
// a response.
func TestARequestUnderWayWhenTheGatewayStopsIsRefused(t *testing.T) {
	core, s, addr := startServer(t, 10)
	whole := requestText("POST /api", "X-Txn: t2") + "abc"
	half, quiet := dialIdle(t, core, addr).send(whole[:40]), dial(t, addr)
	waitUntil(t, "half a head was read", func() bool {
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
	if n := core.count(); n != 1 {
		t.Errorf("%d requests were sent on, want 1", n)
	}
}

// The gateway stops while one request is open and another one waits behind it. Both get their responses, and
// the last one ends the connection.
func TestARequestBehindAnotherWhenTheGatewayStopsIsAnswered(t *testing.T) {
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
			t.Errorf("answer %d: %d, Connection %q, want 200 and close with the last", i, status, h.Get("Connection"))
		}
	}
}

// A close over unread bytes resets the connection, and the part of a response that the client has not
// received is lost.
func TestTheTailOfTheLastAnswerIsNotLost(t *testing.T) {
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
		t.Errorf("%d bytes and %v, want the whole answer and its end", len(all), err)
	}
}

// A request arrives as its connection's idle timeout passes, or as the gateway stops. Unread in the socket it
// keeps the connection open; one that arrives after the half-close is no request.
func TestTheIdleTimeoutCrossesARequest(t *testing.T) {
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
		waitUntil(t, "the request has come", func() bool { return c.hasUnread() })
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
		(<-core.submitted).Done(frontend.Response{Kind: frontend.Failed})

		c, nc = dialUnread(t, s)
		end.do(s, s.clock()+2*time.Hour)
		if c.phase != closing {
			t.Fatalf("%s: an idle connection was not shut", end.name)
		}
		io.WriteString(nc, requestText("POST /api", "X-Txn: t2")+"abc")
		waitUntil(t, "the request has come", func() bool { return c.hasUnread() })
		s.wg.Add(1)
		go c.run()
		if b, err := io.ReadAll(nc); len(b) > 0 || err != nil {
			t.Errorf("%s: %.40q and %v behind the end, want a clean end", end.name, b, err)
		}
		nc.Close()
		waitUntil(t, "the connection is closed", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.conns[c.id] == nil
		})
		if n := core.count(); n != 1 {
			t.Errorf("%s: %d requests were sent on, want 1", end.name, n)
		}
	}
}

// Many connections are ended at once. All linger as long as new ones leave room; then those that have
// lingered longest are closed, and the number of connections stays bounded.
func TestLingeringIsBounded(t *testing.T) {
	const maxConns, serving = 20, 15
	_, s, addr := startServer(t, maxConns)
	dialAll := func() (all []*client) {
		for range serving {
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
	waitUntil(t, "all are held", func() bool { return s.Conns.Load() == serving })
	s.mu.Lock()
	for _, c := range s.conns {
		c.closeInactive(503, "")
	}
	if n := s.lingering.Len(); n != serving {
		t.Errorf("%d linger, want all %d", n, serving)
	}
	s.unlockAndClose()
	second := dialAll()
	waitUntil(t, "the second are held", func() bool {
		lingering, held := counts()
		if lingering+held > maxConns {
			t.Errorf("%d linger and %d are held, want %d at most in sum", lingering, held, maxConns)
		}
		return held == serving
	})
	for _, c := range first {
		if status, _, _ := c.read(); status != 0 {
			t.Errorf("%d, want the end of the connection", status)
		}
	}
	for _, c := range second {
		c.nc.Close()
	}
	waitUntil(t, "all are closed", func() bool { return s.Conns.Load() == 0 })
	if lingering, held := counts(); lingering != 0 || held != 0 {
		t.Errorf("%d linger and %d are held, want none", lingering, held)
	}
}
