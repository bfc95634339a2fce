package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/credentials"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/frontend"
	"winghatch/internal/recording"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/testbed/discovery"
	"winghatch/internal/testbed/ports"
	"winghatch/internal/websocket"

	"winghatch/internal/testbed/await"
)

// bench is one gateway with a list and nodes, in this process, on real sockets.
type bench struct {
	t     testing.TB
	fleet *config.Fleet
	list  *discovery.Server
	nodes []*backend.Server
	gw    *Gateway
	key   string
	tape  bytes.Buffer
}

// freePort is a port that stays free until the test binds it. One that the kernel gives and takes back may be given
// to an outgoing connection before.
func freePort(t testing.TB) string {
	var r ports.Reservation
	addr, err := r.Addr()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	return addr
}

func newBench(t testing.TB, nodes int, change func(*config.Fleet)) *bench {
	t.Helper()
	b := &bench{t: t, key: credentials.NewMemberKey()}
	f, err := config.Parse("bench", []byte(`fleet bench {
		secret "`+strings.Repeat("0a", 32)+`"
		max-units 8
		class look effect=safe { aim "5s"; deadline "8s" }
		class submit effect=keyed window="2s" { aim "5s"; deadline "8s" }
		class folio effect=unsafe { aim "5s"; deadline "8s" }
		class quick effect=unsafe { aim "100ms"; deadline "200ms" }
		plan big { rate "100000/s"; burst 200000 }
		plan none { rate "0.0001/s"; burst 1 }
		limits attempts=4 { cancel #true; retry-after #true; connect-timeout "5s" }
		caps open=20000 session-open=6000
		gateway listen="127.0.0.1:1"
		member m plan=big { key "`+credentials.Digest{1}.String()+`" }
		member poor plan=none { key "`+credentials.Digest{2}.String()+`" }
	}`))
	if err != nil {
		t.Fatal(err)
	}
	f.Members[0].Keys[0] = f.Secret.MemberKeyHasher().Sum([]byte(b.key))
	f.Members[1].Keys[0] = f.Secret.MemberKeyHasher().Sum([]byte("poor"))
	f.Gateways[0].Listen = freePort(t)
	if b.list, err = discovery.Start("127.0.0.1:0", 0, nil); err != nil {
		t.Fatal(err)
	}
	f.EndpointList = b.list.Addr()
	if change != nil {
		change(f)
	}
	b.fleet = f
	for range nodes {
		b.addNode(f)
	}
	if b.gw, err = Start(f, Options{Seed: 1, Recording: &b.tape}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the list is taken", func() bool { return len(b.gw.State().Core.Servers) == nodes })
	t.Cleanup(func() {
		b.gw.Stop()
		b.list.Stop()
		for _, n := range b.nodes {
			n.Stop()
		}
	})
	return b
}

func (b *bench) addNode(f *config.Fleet) {
	classes := map[string]backend.Class{}
	for _, k := range f.Decide.Classes {
		classes[k.Name] = backend.Class{MeanWork: time.Millisecond, Deduplicates: k.Idempotency == decide.IdempotentByKey, DedupWindow: k.DedupWindow}
	}
	n, err := backend.Start(backend.Options{Address: "127.0.0.1:0", Cores: 8, Speed: 1, Queue: 100000, Classes: classes})
	if err != nil {
		b.t.Fatal(err)
	}
	b.nodes = append(b.nodes, n)
	b.list.Update(discoveryws.Endpoint{Address: n.Addr(), State: "serving"})
}

var eventually = await.Until

// client is a raw one: it can break the protocol.
type client struct {
	t  testing.TB
	nc net.Conn
	r  *websocket.Reader
}

func (b *bench) dial(key string) *client {
	b.t.Helper()
	nc, err := net.Dial("tcp", b.fleet.Gateways[0].Listen)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(60 * time.Second))
	req := &websocket.Request{Host: "h", Path: "/", Protocol: "jsonrpc", Header: map[string]string{"Authorization": "Bearer " + key}}
	br := bufio.NewReader(nc)
	nc.Write(req.Bytes())
	if err := req.ReadResponse(br); err != nil {
		b.t.Fatal(err)
	}
	return &client{b.t, nc, websocket.NewReader(br, websocket.Client, 1<<20)}
}

func frame(op websocket.Opcode, s string) []byte {
	return websocket.AppendFrame(nil, true, op, []byte(s), &[4]byte{7, 1, 8, 2})
}

func (c *client) send(msgs ...string) {
	var b []byte
	for _, m := range msgs {
		b = append(b, frame(websocket.Text, m)...)
	}
	if _, err := c.nc.Write(b); err != nil {
		c.t.Error(err)
	}
}

func (c *client) read() string {
	c.t.Helper()
	m, err := c.r.Next()
	if err != nil {
		c.t.Fatal(err)
	}
	return string(m.Data)
}

func call(id any, method string, params string) string {
	raw, _ := json.Marshal(id)
	return fmt.Sprintf(`{"jsonrpc":"2.0","method":"%s","params":%s,"id":%s}`, method, params, raw)
}

func TestAnswers(t *testing.T) {
	b := newBench(t, 2, nil)
	c := b.dial(b.key)
	for _, x := range [][2]string{
		{call(1, "look", `{}`), `"result":{"units":1,"body":{"node":`},
		{call("a\"", "submit", `{"key":"k","units":3,"work":{"true_units":2}}`), `"units":2,`},
		{call(nil, "look", `{}`), `"id":null`},
		{call(2, "nothing", `{}`), `"code":-32601`},
		{call(3, "submit", `{}`), `params.key: missing`},
		{call(4, "look", `{"units":-1}`), `params.units: -1`},
		{call(5, "look", `{"units":9}`), `params.units: 9, want 8 at most`},
		{call(6, "look", `{"unit":9}`), `unknown field`},
		{call(7, "look", `{"deadline_ms":"x"}`), `-32602`},
		{`{"jsonrpc":"2.0","method":"look","id":[]}`, `"code":-32600`},
		{`{`, `"code":-32700`},
		{`[]`, `"code":-32600`},
		{`{"jsonrpc":"2.0","method":"look","id":1.50}`, `"id":1.50`},
	} {
		c.send(x[0])
		if got := c.read(); !strings.Contains(got, x[1]) {
			t.Errorf("%s\nis answered %s\nwant %s", x[0], got, x[1])
		}
	}
	// A batch has one answer, without the notification; a message of notifications has none.
	c.send(`[`+call(1, "look", `{}`)+`,{"jsonrpc":"2.0","method":"look"},1,`+call(2, "nothing", `{}`)+`]`,
		`{"jsonrpc":"2.0","method":"look"}`, `[{"jsonrpc":"2.0","method":"nothing"}]`, call("last", "look", `{}`))
	var answers []string
	for range 2 {
		answers = append(answers, c.read())
	}
	all := strings.Join(answers, "\n")
	var batch []map[string]any
	for _, a := range answers {
		if a[0] == '[' {
			json.Unmarshal([]byte(a), &batch)
		}
	}
	if len(batch) != 3 || !strings.Contains(all, `"last"`) {
		t.Errorf("batch is answered %s", all)
	}
	poor := b.dial("poor")
	poor.send(call(1, "look", `{}`), call(2, "look", `{}`), call(3, "look", `{}`))
	refused := 0
	for range 3 {
		if s := poor.read(); strings.Contains(s, `"code":-32001,"message":"refused","data":{"reason":"over_mark","retry_after_ms":`) {
			refused++
		}
	}
	if refused < 2 {
		t.Errorf("%d calls over the mark were refused", refused)
	}
}

// TestOpenID sends a call whose id is open: the open one keeps its one answer, the other is told apart.
func TestOpenID(t *testing.T) {
	b := newBench(t, 1, nil)
	b.nodes[0].SetFault(func(x *backend.Fault) { x.Slowdown = 100 })
	c := b.dial(b.key)
	c.send(call("x", "folio", `{}`), `{"jsonrpc":"2.0","method":"folio","id":"\u0078"}`)
	first, second := c.read(), c.read()
	if !strings.Contains(first, `-32600`) || !strings.Contains(first, `"data":{"id":"x"}},"id":null`) || !strings.Contains(second, `"id":"x"`) {
		t.Errorf("%s\n%s", first, second)
	}
}

func TestWhoIsKnown(t *testing.T) {
	b := newBench(t, 1, func(f *config.Fleet) { f.Caps.HandshakeTimeout = 200 * time.Millisecond })
	for _, auth := range []string{"", "Authorization: Bearer \r\n", "Authorization: Bearer " + b.key[:len(b.key)-1] + "\r\n",
		"Authorization: Basic " + b.key + "\r\n", "Authorization: Bearer " + strings.Repeat("x", 5000) + "\r\n"} {
		nc, err := net.Dial("tcp", b.fleet.Gateways[0].Listen)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(nc, "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: upgrade\r\nSec-WebSocket-Version: 13\r\n"+
			"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Protocol: jsonrpc\r\n%s\r\n", auth)
		raw, _ := io.ReadAll(nc)
		nc.Close()
		if !strings.HasPrefix(string(raw), "HTTP/1.1 401 ") || !strings.Contains(string(raw), "WWW-Authenticate: Bearer") {
			t.Errorf("%q is answered %q", auth, raw)
		}
	}
	quiet, _ := net.Dial("tcp", b.fleet.Gateways[0].Listen) // says nothing: cut off in time
	defer quiet.Close()
	io.ReadAll(quiet)
	eventually(t, "no state is left", func() bool { return b.gw.frontend.SessionCount() == 0 })
}

// TestClientsThatLeave has clients go in every way with hundreds of calls open: nothing leaks. There are many
// nodes, as the core lets no more than a few calls wait at one that is silent.
func TestClientsThatLeave(t *testing.T) {
	b := newBench(t, 100, func(f *config.Fleet) { f.Caps.EndpointIdleTimeout = 20 * time.Millisecond })
	for _, n := range b.nodes {
		n.SetFault(func(x *backend.Fault) { x.Unresponsive = true })
	}
	leaves := []struct {
		name string
		f    func(c *client)
	}{
		{"vanishes", func(c *client) { c.nc.(*net.TCPConn).SetLinger(0); c.nc.Close() }},
		{"closes in mid-message", func(c *client) {
			f := frame(websocket.Text, call(9, "look", `{}`))
			c.nc.Write(f[:len(f)/2])
			c.nc.Close()
		}},
		{"half-closes", func(c *client) { c.nc.(*net.TCPConn).CloseWrite() }},
		{"sends a call with its close", func(c *client) {
			c.nc.Write(append(frame(websocket.Text, call("z", "folio", `{}`)), frame(websocket.Close, "\x03\xe8")...))
		}},
		{"breaks the protocol", func(c *client) { c.nc.Write([]byte{0xff, 0xff}) }},
	}
	goroutines := 0
	for _, x := range append(leaves, leaves[0]) {
		eventually(t, "work that nobody waits for is forgotten", func() bool { return b.gw.State().Core.Pressure == 0 })
		before := b.gw.State()
		c := b.dial(b.key)
		var msgs []string
		for i := range 500 {
			msgs = append(msgs, call(i, "folio", `{}`))
		}
		c.send(msgs...)
		open := int64(0)
		eventually(t, "all 500 are in", func() bool {
			l := b.gw.loop
			in := int64(0)
			l.Do(func() {
				open = int64(len(l.requests))
				in = open - refusals(before)
				for _, v := range l.rejections {
					in += v
				}
			})
			return in == 500
		})
		if open < 200 {
			t.Fatalf("only %d calls are open; refused %v", open, b.gw.State().Rejected)
		}
		x.f(c)
		eventually(t, x.name+": none is open", func() bool { s := b.gw.State(); return s.OpenRequests == 0 && s.Abandoned >= before.Abandoned+open })
		c.nc.Close()
		eventually(t, x.name+": no session is left", func() bool { return b.gw.frontend.SessionCount() == 0 })
		eventually(t, x.name+": attempts that nobody waits for are given up", func() bool {
			n := 0
			b.gw.loop.Do(func() { n = len(b.gw.loop.requests) })
			return n == 0
		})
		// Connections to nodes are closed when idle, so that what is left is not theirs.
		eventually(t, x.name+": no connection is left", func() bool { return b.gw.State().ServerConnections == 0 })
		if goroutines == 0 {
			eventually(t, "goroutines settle", func() bool {
				n := runtime.NumGoroutine()
				time.Sleep(20 * time.Millisecond)
				goroutines = runtime.NumGoroutine()
				return n == goroutines
			})
		}
	}
	eventually(t, "goroutines are as after the first", func() bool { return runtime.NumGoroutine() <= goroutines+5 })
}

func refusals(s State) (n int64) {
	for _, v := range s.Rejected {
		n += v
	}
	return n
}

// TestAnswerAndTimer answers right at the deadline, many times: one final answer each, whichever came first.
func TestAnswerAndTimer(t *testing.T) {
	b := newBench(t, 1, nil)
	b.nodes[0].SetFault(func(x *backend.Fault) { x.Slowdown = 60 })
	c := b.dial(b.key)
	const n = 400
	for i := range n {
		c.send(call(i, "quick", fmt.Sprintf(`{"deadline_ms":%d}`, 20+i%80)))
	}
	seen := map[string]int{}
	for range n {
		s := c.read()
		seen[s[strings.LastIndex(s, `"id":`):]]++
	}
	if len(seen) != n {
		t.Errorf("%d ids were answered, want %d", len(seen), n)
	}
	eventually(t, "none is open", func() bool { return b.gw.State().OpenRequests == 0 })
}

// TestDrainOnSignal stops a gateway with calls open: each has its answer, new ones are refused.
func TestDrainOnSignal(t *testing.T) {
	b := newBench(t, 2, nil)
	for _, n := range b.nodes {
		n.SetFault(func(x *backend.Fault) { x.Slowdown = 150 })
	}
	c := b.dial(b.key)
	idle := b.dial(b.key)
	for i := range 10 {
		c.send(call(i, "folio", `{}`))
	}
	eventually(t, "ten are open", func() bool { return b.gw.State().OpenRequests == 10 })
	done := make(chan struct{})
	go func() { b.gw.Drain(); close(done) }()
	eventually(t, "it drains", func() bool { return !listens(b.fleet.Gateways[0].Listen) })
	c.send(call("new", "look", `{}`))
	served, refused := 0, 0
	for range 11 {
		switch s := c.read(); {
		case strings.Contains(s, `"result"`):
			served++
		case strings.Contains(s, `"reason":"draining"`):
			refused++
		}
	}
	if served != 10 || refused != 1 {
		t.Errorf("%d served, %d refused", served, refused)
	}
	for _, x := range []*client{c, idle} {
		if m, err := x.r.Next(); err != nil || m.Opcode != websocket.Close || m.Data[1] != 0xe9 {
			t.Errorf("%v %v, want a close frame with 1001", m, err)
		}
		x.nc.Close()
	}
	<-done
}

func listens(addr string) bool {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	nc.Close()
	return true
}

// TestFlood sends 10,000 calls without reading an answer: the session is cut at its bound, others are served.
func TestFlood(t *testing.T) {
	b := newBench(t, 2, func(f *config.Fleet) { f.Caps.MaxQueuedBytes = 32 << 10; f.Caps.WriteTimeout = 300 * time.Millisecond })
	flood := b.dial(b.key)
	flood.nc.(*net.TCPConn).SetReadBuffer(4 << 10)
	pad := strings.Repeat("p", 1000)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := range 10_000 {
			// An error answer of some size to each; the write fails once the session is cut.
			if _, err := flood.nc.Write(frame(websocket.Text, call(pad+fmt.Sprint(i), "nothing", `{}`))); err != nil {
				return
			}
		}
	}()
	other := b.dial(b.key)
	for i := range 200 {
		other.send(call(i, "look", `{}`))
		if s := other.read(); !strings.Contains(s, `"result"`) {
			t.Fatal(s)
		}
	}
	wg.Wait()
	eventually(t, "the flooding session is cut", func() bool { return b.gw.frontend.SessionCount() == 1 })
}

// TestCaps refuses at once what is over a cap, and takes more when there is room.
func TestCaps(t *testing.T) {
	b := newBench(t, 20, func(f *config.Fleet) {
		f.Caps.MaxInFlight, f.Caps.MaxInFlightPerSession, f.Caps.MaxSessions, f.Caps.MaxMessageBytes = 15, 10, 2, 2000
	})
	for _, n := range b.nodes {
		n.SetFault(func(x *backend.Fault) { x.Unresponsive = true })
	}
	one, two := b.dial(b.key), b.dial(b.key)
	for i := range 12 {
		one.send(call(i, "folio", `{}`))
	}
	for range 2 {
		if s := one.read(); !strings.Contains(s, `session_cap`) {
			t.Error(s)
		}
	}
	for i := range 6 {
		two.send(call(i, "folio", `{}`))
	}
	if s := two.read(); !strings.Contains(s, `open_cap`) {
		t.Error(s)
	}
	nc, _ := net.Dial("tcp", b.fleet.Gateways[0].Listen)
	raw, _ := io.ReadAll(nc)
	if !strings.HasPrefix(string(raw), "HTTP/1.1 503") {
		t.Errorf("a third session is answered %q", raw)
	}
	two.send(`{"x":"` + strings.Repeat("x", 3000) + `"}`)
	if m, err := two.r.Next(); err != nil || m.Opcode != websocket.Close || int(m.Data[0])<<8|int(m.Data[1]) != websocket.CodeTooBig {
		t.Errorf("%v %v, want a close frame with 1009", m, err)
	}
	eventually(t, "one session's calls are left", func() bool { return b.gw.State().OpenRequests == 10 })
}

// TestManySessions connects 5,000 sessions at once, within the file descriptors of this process.
func TestManySessions(t *testing.T) {
	n := sessionsThatFit(5000)
	b := newBench(t, 1, nil)
	var wg sync.WaitGroup
	clients := make([]*client, n)
	gate := make(chan struct{}, 200)
	for i := range clients {
		wg.Add(1)
		gate <- struct{}{}
		go func() { defer wg.Done(); clients[i] = b.dial(b.key); <-gate }()
	}
	wg.Wait()
	eventually(t, "all are there", func() bool { return b.gw.frontend.SessionCount() == n })
	for _, i := range []int{0, n / 2, n - 1} {
		clients[i].send(call(i, "look", `{}`))
		if s := clients[i].read(); !strings.Contains(s, `"result"`) {
			t.Error(s)
		}
	}
}

// TestTape records a gateway at work, under load, and replays it.
func TestTape(t *testing.T) {
	b := newBench(t, 3, nil)
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := b.dial(b.key)
			for i := range 200 {
				c.send(call(i, "look", `{"units":1.7}`))
			}
			for range 200 {
				c.read()
			}
		}()
	}
	b.nodes[0].CloseConnections()
	b.nodes[1].SetFault(func(x *backend.Fault) { x.ErrorShare = 0.5 })
	wg.Wait()
	b.gw.Stop()
	n, err := recording.Replay(&b.tape)
	if err != nil || n.Truncated != nil || n.ByKind["Request"] != 800 {
		t.Errorf("%+v, %v", n, err)
	}
}

// TestBadList sends lists that must change nothing.
func TestBadList(t *testing.T) {
	b := newBench(t, 2, nil)
	v := b.list.Version()
	gone := discoveryws.Endpoint{Address: b.nodes[0].Addr(), State: "gone"}
	for _, u := range []discoveryws.Update{{Version: v, Endpoints: []discoveryws.Endpoint{gone}}, {Version: 1, Endpoints: []discoveryws.Endpoint{gone}},
		{Version: v + 1, Endpoints: []discoveryws.Endpoint{gone, gone}}, {Version: v + 1, Endpoints: []discoveryws.Endpoint{{Address: "bad", State: "gone"}, gone}},
		{Version: v + 9, Endpoints: []discoveryws.Endpoint{gone}}} {
		b.list.SendRaw(discoveryws.MethodChange, u)
	}
	third := discoveryws.Endpoint{Address: "127.0.0.1:9", State: "draining"}
	b.list.Update(third)
	eventually(t, "the change behind them is taken", func() bool { return len(b.gw.State().Core.Servers) == 3 })
	for _, s := range b.gw.State().Core.Servers {
		if s.ID != third.Address && s.State != decide.Serving {
			t.Errorf("%+v", s)
		}
	}
}

// TestLoopHoldsBackSecondAnswer hands the loop a core's actions that answer twice.
func TestLoopHoldsBackSecondAnswer(t *testing.T) {
	b := newBench(t, 1, nil)
	n := 0
	b.gw.loop.Do(func() {
		o := &openRequest{Request: &frontend.Request{ID: "x", Done: func(frontend.Response) { n++ }}}
		b.gw.loop.requests["x"] = o
		b.gw.loop.OpenRequests.Add(1)
		b.gw.loop.execute(decide.Reject{ID: "x"})
		b.gw.loop.execute(decide.Fail{ID: "x"})
		b.gw.loop.respond(o, frontend.Response{})
	})
	if n != 1 || b.gw.loop.OpenRequests.Load() != 0 {
		t.Errorf("%d answers", n)
	}
}
