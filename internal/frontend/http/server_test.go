package http

import (
	"testing"
	"time"

	"winghatch/internal/frontend"
)

// The platform routes no clients to a gateway that is not ready, and those connected go elsewhere after their
// response.
func TestReadyAndDrain(t *testing.T) {
	core, s, addr := startServer(t, 10)
	ready := "GET /health/ready HTTP/1.1\r\nHost: s\r\n\r\n"
	c := dial(t, addr).send(ready)
	if status, _, _ := c.read(); status != 200 {
		t.Errorf("ready: %d, want 200", status)
	}
	s.Drain()
	if status, _, _ := c.send(ready).read(); status != 503 {
		t.Errorf("ready while stopping: %d, want 503", status)
	}
	c = dial(t, addr).send(requestText("POST /api") + "abc")
	(<-core.submitted).Done(frontend.Response{Kind: frontend.Served, Body: []byte("x")})
	if status, _, h := c.read(); status != 200 || h.Get("Connection") != "close" {
		t.Errorf("while stopping: %d, Connection %q, want 200 and close", status, h.Get("Connection"))
	}
	if status, _, _ := c.read(); status != 0 {
		t.Errorf("the connection goes on")
	}
}

// Hundreds of clients connect and send nothing. They must take no connection from clients that do, and are
// closed.
func TestSilentConnectionsLeaveRoom(t *testing.T) {
	core, s, addr := startServer(t, 20)
	var silent []*client
	at := time.Now()
	for range 500 {
		silent = append(silent, dial(t, addr))
	}
	c := dial(t, addr).send(requestText("POST /api") + "abc")
	(<-core.submitted).Done(frontend.Response{Kind: frontend.Served, Body: []byte("x")})
	if status, _, _ := c.read(); status != 200 {
		t.Errorf("a usual client beside them: %d, want 200", status)
	}
	if n := s.Conns.Load(); n > 40 {
		t.Errorf("%d connections are held, want about 20", n)
	}
	for _, c := range silent {
		if status, _, _ := c.read(); status >= 200 && status < 400 {
			t.Errorf("a silent client was served")
		}
	}
	if took := time.Since(at); took > 10*time.Second { // two seconds and the sweep; the machine may be loaded
		t.Errorf("the last silent connection was closed after %v", took)
	}
}
