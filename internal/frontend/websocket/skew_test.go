package websocket

import (
	"log/slog"
	"math"
	"net"
	"testing"
	"time"

	"winghatch/internal/config"
)

// TestSkew tells calls by a client's clock of another origin: the quickest is of no age, what lay is old.
func TestSkew(t *testing.T) {
	var s clockSkew
	at := func(v float64) *float64 { return &v }
	for i, c := range []struct {
		now  time.Duration
		at   *float64
		want time.Duration
	}{
		{10 * time.Second, at(1000), 0},
		{11 * time.Second, at(1990), 10 * time.Millisecond},
		{12 * time.Second, at(3020), 0}, // quicker than any before
		{13 * time.Second, at(4020), 0},
		{16 * time.Second, at(5020), 2 * time.Second}, // this gateway stood still
		{16 * time.Second, at(6520), 500 * time.Millisecond},
		{17 * time.Second, at(100), 0}, // the client's clock stepped back
		{18 * time.Second, at(1100), 0},
		{18 * time.Second, nil, 0},
		{18 * time.Second, at(math.Inf(1)), 0},
		{500 * time.Second, at(1200), time.Minute}, // no call is older than a minute
	} {
		if got := s.age(c.now, c.at); (got - c.want).Abs() > time.Microsecond {
			t.Errorf("step %d: %v, want %v", i, got, c.want)
		}
	}
}

// TestServeAfterClose: a server that was closed before it began to serve takes nothing and returns.
func TestServeAfterClose(t *testing.T) {
	for _, stop := range []func(*Server){(*Server).Close, (*Server).Drain} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := New(&config.Fleet{}, 0, "", nil, nil, slog.New(slog.DiscardHandler))
		stop(s)
		done := make(chan struct{})
		go func() { s.Serve(ln); close(done) }()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("it serves")
		}
	}
}
