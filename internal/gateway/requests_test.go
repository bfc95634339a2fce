package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/frontend"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/websocket"
)

// TestAnswers sends valid and invalid messages, single and in batches, and compares what each is answered.
func TestAnswers(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	c := g.dial(g.key)
	for _, x := range [][2]string{
		{rpcCall(1, "look", `{}`), `"result":{"units":1,"body":{"node":`},
		{rpcCall("a\"", "submit", `{"key":"k","units":3,"work":{"true_units":2}}`), `"units":2,`},
		{rpcCall(nil, "look", `{}`), `"id":null`},
		{rpcCall(2, "nothing", `{}`), `"code":-32601`},
		{rpcCall(3, "submit", `{}`), `params.key: missing`},
		{rpcCall(4, "look", `{"units":-1}`), `params.units: -1`},
		{rpcCall(5, "look", `{"units":9}`), `params.units: 9, want 8 at most`},
		{rpcCall(6, "look", `{"unit":9}`), `unknown field`},
		{rpcCall(7, "look", `{"deadline_ms":"x"}`), `-32602`},
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
	c.send(`[`+rpcCall(1, "look", `{}`)+`,{"jsonrpc":"2.0","method":"look"},1,`+rpcCall(2, "nothing", `{}`)+`]`,
		`{"jsonrpc":"2.0","method":"look"}`, `[{"jsonrpc":"2.0","method":"nothing"}]`, rpcCall("last", "look", `{}`))
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
	poor := g.dial("poor")
	poor.send(rpcCall(1, "look", `{}`), rpcCall(2, "look", `{}`), rpcCall(3, "look", `{}`))
	refused := 0
	for range 3 {
		const overMark = `"code":-32001,"message":"refused","data":{"reason":"over_mark","retry_after_ms":`
		if s := poor.read(); strings.Contains(s, overMark) {
			refused++
		}
	}
	if refused < 2 {
		t.Errorf("%d calls over the mark were refused", refused)
	}
}

// TestOpenID sends a request with the id of one that is open: the open one keeps its one answer, and the error for the
// other can't be taken for it.
func TestOpenID(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	g.servers[0].SetFault(func(x *backend.Fault) { x.Slowdown = 100 })
	c := g.dial(g.key)
	c.send(rpcCall("x", "folio", `{}`), `{"jsonrpc":"2.0","method":"folio","id":"\u0078"}`)
	first, second := c.read(), c.read()
	if !strings.Contains(first, `-32600`) || !strings.Contains(first, `"data":{"id":"x"}},"id":null`) ||
		!strings.Contains(second, `"id":"x"`) {
		t.Errorf("%s\n%s", first, second)
	}
}

// TestClientsThatLeave has clients leave in every way with hundreds of requests open: no request, session, connection
// or goroutine is left. There are many servers, as the core lets only a few requests wait at one that does not
// answer.
func TestClientsThatLeave(t *testing.T) {
	g := newTestGateway(t, 100, func(f *config.Fleet) { f.Caps.EndpointIdleTimeout = 20 * time.Millisecond })
	for _, n := range g.servers {
		n.SetFault(func(x *backend.Fault) { x.Unresponsive = true })
	}
	goroutines := 0
	for _, departure := range append(departures, departures[0]) {
		leaveWithOpenRequests(t, g, departure)
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

// departure is a way in which a client leaves.
type departure struct {
	name  string
	leave func(c *client)
}

var departures = []departure{
	{"vanishes", func(c *client) { c.conn.(*net.TCPConn).SetLinger(0); c.conn.Close() }},
	{"closes in mid-message", func(c *client) {
		f := frame(websocket.Text, rpcCall(9, "look", `{}`))
		c.conn.Write(f[:len(f)/2])
		c.conn.Close()
	}},
	{"half-closes", func(c *client) { c.conn.(*net.TCPConn).CloseWrite() }},
	{"sends a call with its close", func(c *client) {
		last := frame(websocket.Text, rpcCall("z", "folio", `{}`))
		c.conn.Write(append(last, frame(websocket.Close, "\x03\xe8")...))
	}},
	{"breaks the protocol", func(c *client) { c.conn.Write([]byte{0xff, 0xff}) }},
}

// leaveWithOpenRequests has a client send 500 requests and leave, and waits until nothing of it is left.
func leaveWithOpenRequests(t *testing.T, g *testGateway, d departure) {
	t.Helper()
	eventually(t, "work that nobody waits for is forgotten", func() bool {
		return g.gateway.State().Core.Pressure == 0
	})
	before := g.gateway.State()
	c := g.dial(g.key)
	var msgs []string
	for i := range 500 {
		msgs = append(msgs, rpcCall(i, "folio", `{}`))
	}
	c.send(msgs...)
	open := int64(0)
	eventually(t, "all 500 are in", func() bool {
		l := g.gateway.loop
		in := int64(0)
		l.Do(func() {
			open = int64(len(l.requests))
			in = open - rejections(before)
			for _, v := range l.rejections {
				in += v
			}
		})
		return in == 500
	})
	if open < 200 {
		t.Fatalf("only %d calls are open; refused %v", open, g.gateway.State().Rejected)
	}
	d.leave(c)
	eventually(t, d.name+": none is open", func() bool {
		s := g.gateway.State()
		return s.OpenRequests == 0 && s.Abandoned >= before.Abandoned+open
	})
	c.conn.Close()
	eventually(t, d.name+": no session is left", func() bool { return g.gateway.frontend.SessionCount() == 0 })
	eventually(t, d.name+": attempts that nobody waits for are given up", func() bool {
		n := 0
		g.gateway.loop.Do(func() { n = len(g.gateway.loop.requests) })
		return n == 0
	})
	// Connections to servers are closed when idle, so that what is left is not theirs.
	eventually(t, d.name+": no connection is left", func() bool { return g.gateway.State().ServerConnections == 0 })
}

// TestAnswerAndTimer has servers answer right at the deadline, many times: each request has one final answer, whichever
// came first.
func TestAnswerAndTimer(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	g.servers[0].SetFault(func(x *backend.Fault) { x.Slowdown = 60 })
	c := g.dial(g.key)
	const n = 400
	for i := range n {
		c.send(rpcCall(i, "quick", fmt.Sprintf(`{"deadline_ms":%d}`, 20+i%80)))
	}
	seen := map[string]int{}
	for range n {
		s := c.read()
		seen[s[strings.LastIndex(s, `"id":`):]]++
	}
	if len(seen) != n {
		t.Errorf("%d ids were answered, want %d", len(seen), n)
	}
	eventually(t, "none is open", func() bool { return g.gateway.State().OpenRequests == 0 })
}

// TestLoopHoldsBackSecondAnswer has the loop carry out actions of a core that answer one request three times: the
// client gets one answer.
func TestLoopHoldsBackSecondAnswer(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	n := 0
	g.gateway.loop.Do(func() {
		o := &openRequest{Request: &frontend.Request{ID: "x", Done: func(frontend.Response) { n++ }}}
		g.gateway.loop.requests["x"] = o
		g.gateway.loop.OpenRequests.Add(1)
		g.gateway.loop.execute(decide.Reject{ID: "x"})
		g.gateway.loop.execute(decide.Fail{ID: "x"})
		g.gateway.loop.respond(o, frontend.Response{})
	})
	if n != 1 || g.gateway.loop.OpenRequests.Load() != 0 {
		t.Errorf("%d answers", n)
	}
}
