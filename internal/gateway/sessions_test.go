package gateway

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/websocket"
)

// TestWhoIsKnown connects without a key, with a wrong one and with malformed headers, which are all unauthorized; and
// without sending anything, which is cut off in time.
func TestWhoIsKnown(t *testing.T) {
	g := newTestGateway(t, 1, func(f *config.Fleet) { f.Caps.HandshakeTimeout = 200 * time.Millisecond })
	for _, auth := range []string{
		"",
		"Authorization: Bearer \r\n",
		"Authorization: Bearer " + g.key[:len(g.key)-1] + "\r\n",
		"Authorization: Basic " + g.key + "\r\n",
		"Authorization: Bearer " + strings.Repeat("x", 5000) + "\r\n",
	} {
		nc, err := net.Dial("tcp", g.fleet.Gateways[0].Listen)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(nc, "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: upgrade\r\n"+
			"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"+
			"Sec-WebSocket-Protocol: jsonrpc\r\n%s\r\n", auth)
		raw, _ := io.ReadAll(nc)
		nc.Close()
		if !strings.HasPrefix(string(raw), "HTTP/1.1 401 ") ||
			!strings.Contains(string(raw), "WWW-Authenticate: Bearer") {
			t.Errorf("%q is answered %q", auth, raw)
		}
	}
	quiet, _ := net.Dial("tcp", g.fleet.Gateways[0].Listen) // sends nothing, so it is cut off in time
	defer quiet.Close()
	io.ReadAll(quiet)
	eventually(t, "no state is left", func() bool { return g.gateway.frontend.SessionCount() == 0 })
}

// TestFlood sends 10,000 requests without reading an answer: the session is closed at its bound, others are served.
func TestFlood(t *testing.T) {
	g := newTestGateway(t, 2, func(f *config.Fleet) {
		f.Caps.MaxQueuedBytes = 32 << 10
		f.Caps.WriteTimeout = 300 * time.Millisecond
	})
	flood := g.dial(g.key)
	flood.conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	pad := strings.Repeat("p", 1000)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := range 10_000 {
			// Each is answered with an error of some size. The write fails once the session is closed.
			message := rpcCall(pad+fmt.Sprint(i), "nothing", `{}`)
			if _, err := flood.conn.Write(frame(websocket.Text, message)); err != nil {
				return
			}
		}
	}()
	other := g.dial(g.key)
	for i := range 200 {
		other.send(rpcCall(i, "look", `{}`))
		if s := other.read(); !strings.Contains(s, `"result"`) {
			t.Fatal(s)
		}
	}
	wg.Wait()
	eventually(t, "the flooding session is cut", func() bool { return g.gateway.frontend.SessionCount() == 1 })
}

// TestFloodMemory has many sessions flood and read nothing: the memory that they take is bounded by the caps.
func TestFloodMemory(t *testing.T) {
	const sessions, queue = 16, 64 << 10
	g := newTestGateway(t, 1, func(f *config.Fleet) {
		f.Caps.MaxQueuedBytes, f.Caps.MaxInFlightPerSession, f.Caps.WriteTimeout = queue, 50, 20*time.Second
	})
	heap := func() uint64 { // what the collector found alive, without what is made meanwhile and dropped
		runtime.GC()
		m := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(m)
		return m[0].Value.Uint64()
	}
	before := heap()
	pad := strings.Repeat("p", 1000)
	done := make(chan int, sessions)
	for range sessions {
		c := g.dial(g.key)
		go func() {
			n := 0
			for i := range 3000 {
				if _, err := c.conn.Write(frame(1, rpcCall(pad+fmt.Sprint(i), "look", `{}`))); err != nil {
					break
				}
				n++
			}
			done <- n
		}()
	}
	most := uint64(0)
	for left := sessions; left > 0; {
		select {
		case <-done:
			left--
		case <-time.After(10 * time.Millisecond):
			most = max(most, heap())
		}
	}
	// Of each session: its queue, its open calls with their work and ids, buffers, and as much for what the nodes'
	// end of this process holds.
	bound := uint64(sessions * 2 * (queue + 50*4<<10 + 64<<10))
	if most > before+bound {
		t.Errorf("%d KiB more heap under a flood of %d sessions, want %d at most", (most-before)>>10, sessions,
			bound>>10)
	}
	if sent := sessions * 3000 * 1100; uint64(sent) < 2*bound {
		t.Fatalf("the flood of %d bytes is too small to tell", sent)
	}
}

// TestCaps goes over the caps of a session, of the gateway, of sessions and of a message: what is over one is
// rejected at once, and what a closed session held is free again.
func TestCaps(t *testing.T) {
	g := newTestGateway(t, 20, func(f *config.Fleet) {
		f.Caps.MaxInFlight, f.Caps.MaxInFlightPerSession, f.Caps.MaxSessions, f.Caps.MaxMessageBytes = 15, 10, 2, 2000
	})
	for _, n := range g.servers {
		n.SetFault(func(x *backend.Fault) { x.Unresponsive = true })
	}
	one, two := g.dial(g.key), g.dial(g.key)
	for i := range 12 {
		one.send(rpcCall(i, "folio", `{}`))
	}
	for range 2 {
		if s := one.read(); !strings.Contains(s, `session_cap`) {
			t.Error(s)
		}
	}
	for i := range 6 {
		two.send(rpcCall(i, "folio", `{}`))
	}
	if s := two.read(); !strings.Contains(s, `open_cap`) {
		t.Error(s)
	}
	nc, _ := net.Dial("tcp", g.fleet.Gateways[0].Listen)
	raw, _ := io.ReadAll(nc)
	if !strings.HasPrefix(string(raw), "HTTP/1.1 503") {
		t.Errorf("a third session is answered %q", raw)
	}
	two.send(`{"x":"` + strings.Repeat("x", 3000) + `"}`)
	if m, err := two.reader.Next(); err != nil || m.Opcode != websocket.Close ||
		int(m.Data[0])<<8|int(m.Data[1]) != websocket.CodeTooBig {
		t.Errorf("%v %v, want a close frame with 1009", m, err)
	}
	eventually(t, "one session's calls are left", func() bool { return g.gateway.State().OpenRequests == 10 })
}

// TestManySessions connects 5,000 sessions at once, within the file descriptors of this process.
func TestManySessions(t *testing.T) {
	n := sessionsThatFit(5000)
	g := newTestGateway(t, 1, nil)
	var wg sync.WaitGroup
	clients := make([]*client, n)
	gate := make(chan struct{}, 200)
	for i := range clients {
		wg.Add(1)
		gate <- struct{}{}
		go func() { defer wg.Done(); clients[i] = g.dial(g.key); <-gate }()
	}
	wg.Wait()
	eventually(t, "all are there", func() bool { return g.gateway.frontend.SessionCount() == n })
	for _, i := range []int{0, n / 2, n - 1} {
		clients[i].send(rpcCall(i, "look", `{}`))
		if s := clients[i].read(); !strings.Contains(s, `"result"`) {
			t.Error(s)
		}
	}
}

// sessionsThatFit returns n, or the number of sessions whose both ends fit under the limit on file descriptors.
func sessionsThatFit(n int) int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil {
		return 100
	}
	return min(n, (int(r.Cur)-200)/2)
}

// TestVanished has a client vanish without a close while its request is open: pings find it, its request is
// abandoned, and the session of a client that answers pings stays.
func TestVanished(t *testing.T) {
	g := newTestGateway(t, 1, func(f *config.Fleet) { f.Caps.PingAfter = 50 * time.Millisecond })
	gone, here := g.dial(g.key), g.dial(g.key)
	g.servers[0].SetFault(func(x *backend.Fault) { x.Slowdown = 3000 })
	gone.send(rpcCall(1, "folio", `{}`))
	eventually(t, "its call is open", func() bool { return g.gateway.State().OpenRequests == 1 })
	// here reads, and so answers pings; gone does neither from now on.
	go func() {
		for {
			m, err := here.reader.Next()
			if err != nil {
				return
			}
			if m.Opcode.IsControl() {
				here.conn.Write(frame(0xA, string(m.Data)))
			}
		}
	}()
	eventually(t, "the silent session is cut", func() bool {
		return g.gateway.State().FrontendRejections["silent"] == 1
	})
	eventually(t, "its call is called off", func() bool { return g.gateway.State().OpenRequests == 0 })
	if n := g.gateway.frontend.SessionCount(); n != 1 {
		t.Errorf("%d sessions, want the one that answers", n)
	}
}
