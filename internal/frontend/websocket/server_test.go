package websocket

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"winghatch/internal/config"
)

// Guards against a gateway that accepts connections during its shutdown. If a signal arrives while the
// process starts, Drain or Close may be called before Serve. Serve must then return without accepting
// connections.
func TestServeAfterClose(t *testing.T) {
	for _, stop := range []func(*Server){(*Server).Close, (*Server).Drain} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := New(&config.Fleet{}, 0, "", nil, nil, slog.New(slog.DiscardHandler))
		stop(s)
		done := make(chan struct{})
		go func() {
			s.Serve(ln)
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("Serve did not return within 10 s")
		}
	}
}
