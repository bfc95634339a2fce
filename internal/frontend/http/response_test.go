package http

import (
	"io"
	"net"
	"testing"
	"time"

	"winghatch/internal/frontend"
)

// A client does not read its response. It must neither hold up the loop, which serves all others, nor keep
// its connection for good.
func TestAClientThatDoesNotRead(t *testing.T) {
	core, s, addr := startServer(t, 10)
	c := dial(t, addr)
	c.nc.(*net.TCPConn).SetReadBuffer(4096)
	c.send(requestText("POST /api") + "abc")
	call := <-core.submitted
	done := make(chan struct{})
	go func() {
		call.Done(frontend.Response{Kind: frontend.Served, Body: make([]byte, 64<<20)})
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the loop waits for a client")
	}
	for until := time.Now().Add(15 * time.Second); s.Conns.Load() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the connection stays")
		}
	}
}

// A client is slow to read. Its response is written until half a second after the request's deadline.
func TestAClientThatReadsLateHasItsWholeAnswer(t *testing.T) {
	const size = 32 << 20 // more than sockets hold
	_, s, _ := startServer(t, 10)
	c, nc := dialUnread(t, s)
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
