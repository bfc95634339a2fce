package gateway

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/frontend"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/upstream"
	"winghatch/internal/websocket"
)

// TestJSONRPCAnswers guards against wrong answers to valid and invalid JSON-RPC messages. It sends messages
// singly and in batches and compares each answer.
func TestJSONRPCAnswers(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	c := g.dial(g.key)
	for _, test := range [][2]string{
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
		c.send(test[0])
		if got := c.read(); !strings.Contains(got, test[1]) {
			t.Errorf("%s\nis answered %s\nwant %s", test[0], got, test[1])
		}
	}
	// A batch gets one answer, which omits the notification. A message of notifications only gets no answer.
	c.send(
		`[`+rpcCall(1, "look", `{}`)+`,{"jsonrpc":"2.0","method":"look"},1,`+rpcCall(2, "nothing", `{}`)+`]`,
		`{"jsonrpc":"2.0","method":"look"}`, `[{"jsonrpc":"2.0","method":"nothing"}]`,
		rpcCall("last", "look", `{}`))
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
		t.Errorf("batch is answered %s, want an array of 3 answers", all)
	}
	poor := g.dial("poor")
	poor.send(rpcCall(1, "look", `{}`), rpcCall(2, "look", `{}`), rpcCall(3, "look", `{}`))
	rejected := 0
	for range 3 {
		const overMark = `"code":-32001,"message":"refused","data":{"reason":"over_mark","retry_after_ms":`
		if s := poor.read(); strings.Contains(s, overMark) {
			rejected++
		}
	}
	if rejected < 2 {
		t.Errorf("%d of 3 requests above the high-water mark are rejected, want at least 2", rejected)
	}
}

// TestDuplicateOpenRequestID guards against an answer that a client assigns to the wrong request. It sends a
// request with the ID of one that is open: the open one must keep its single answer, and the error for the
// other must not be mistakable for it.
func TestDuplicateOpenRequestID(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	g.servers[0].SetFault(func(fault *backend.Fault) { fault.Slowdown = 100 })
	c := g.dial(g.key)
	c.send(rpcCall("x", "folio", `{}`), `{"jsonrpc":"2.0","method":"folio","id":"\u0078"}`)
	first, second := c.read(), c.read()
	if !strings.Contains(first, `-32600`) || !strings.Contains(first, `"data":{"id":"x"}},"id":null`) ||
		!strings.Contains(second, `"id":"x"`) {
		t.Errorf("answers are\n%s\n%s\nwant an error with a null id, then the answer to x", first, second)
	}
}

// TestDisconnectReleasesResources guards against leaks when clients disconnect. Clients disconnect in several
// ways with hundreds of requests open: no request, session, connection or goroutine may be left. There are
// many servers because the core lets only a few requests wait at a server that does not answer.
func TestDisconnectReleasesResources(t *testing.T) {
	g := newTestGateway(t, 100, func(f *config.Fleet) { f.Caps.EndpointIdleTimeout = 20 * time.Millisecond })
	for _, server := range g.servers {
		server.SetFault(func(fault *backend.Fault) { fault.Unresponsive = true })
	}
	goroutines := 0
	for _, mode := range append(disconnectModes, disconnectModes[0]) {
		disconnectWithOpenRequests(t, g, mode)
		if goroutines == 0 {
			eventually(t, "the number of goroutines is stable", func() bool {
				n := runtime.NumGoroutine()
				time.Sleep(20 * time.Millisecond)
				goroutines = runtime.NumGoroutine()
				return n == goroutines
			})
		}
	}
	eventually(t, "there are no more goroutines than after the first disconnect",
		func() bool { return runtime.NumGoroutine() <= goroutines+5 })
}

// disconnectMode is a way in which a client disconnects.
type disconnectMode struct {
	name       string
	disconnect func(c *client)
}

var disconnectModes = []disconnectMode{
	{"resets the connection", func(c *client) { c.conn.(*net.TCPConn).SetLinger(0); c.conn.Close() }},
	{"closes within a message", func(c *client) {
		f := frame(websocket.Text, rpcCall(9, "look", `{}`))
		c.conn.Write(f[:len(f)/2])
		c.conn.Close()
	}},
	{"closes its sending side", func(c *client) { c.conn.(*net.TCPConn).CloseWrite() }},
	{"sends a request with its close frame", func(c *client) {
		last := frame(websocket.Text, rpcCall("z", "folio", `{}`))
		c.conn.Write(append(last, frame(websocket.Close, "\x03\xe8")...))
	}},
	{"violates the protocol", func(c *client) { c.conn.Write([]byte{0xff, 0xff}) }},
}

// disconnectWithOpenRequests makes a client send 500 requests and disconnect, and waits until all its
// resources are released.
func disconnectWithOpenRequests(t *testing.T, g *testGateway, d disconnectMode) {
	t.Helper()
	eventually(t, "the pressure of abandoned requests is gone", func() bool {
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
	eventually(t, "the loop has all 500 requests", func() bool {
		l := g.gateway.loop
		received := int64(0)
		l.Do(func() {
			open = int64(len(l.requests))
			received = open - rejections(before)
			for _, rejected := range l.rejections {
				received += rejected
			}
		})
		return received == 500
	})
	if open < 200 {
		t.Fatalf("only %d requests are open, want at least 200; rejected %v", open,
			g.gateway.State().Rejected)
	}
	d.disconnect(c)
	eventually(t, d.name+": no request is open", func() bool {
		s := g.gateway.State()
		return s.OpenRequests == 0 && s.Abandoned >= before.Abandoned+open
	})
	c.conn.Close()
	eventually(t, d.name+": no session is left",
		func() bool { return g.gateway.frontend.SessionCount() == 0 })
	eventually(t, d.name+": abandoned attempts have ended", func() bool {
		n := 0
		g.gateway.loop.Do(func() { n = len(g.gateway.loop.requests) })
		return n == 0
	})
	// Idle connections to servers are closed too, so any connection that remains is a leak.
	eventually(t, d.name+": no connection is left",
		func() bool { return g.gateway.State().ServerConnections == 0 })
}

// TestAnswerAtDeadlineIsFinalOnce guards against a request that gets two final answers or none when the
// answer of a server races with the deadline. Servers answer right at the deadline, many times: each request
// must get exactly one final answer, whichever came first.
func TestAnswerAtDeadlineIsFinalOnce(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	g.servers[0].SetFault(func(fault *backend.Fault) { fault.Slowdown = 60 })
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
		t.Errorf("%d requests were answered, want %d", len(seen), n)
	}
	eventually(t, "no request is open", func() bool { return g.gateway.State().OpenRequests == 0 })
}

// TestSecondFinalAnswerIsDropped guards against a second final answer, which a client would take for the
// answer to another request. The loop carries out three answers to one request, as from a faulty core: the
// client must get one.
func TestSecondFinalAnswerIsDropped(t *testing.T) {
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
		t.Errorf("%d answers, want 1 and no open request", n)
	}
}

// TestRequestIsReleasedAfterItsAttempts guards against memory that is counted as free while the loop still
// holds the request of a client that has disconnected.
func TestRequestIsReleasedAfterItsAttempts(t *testing.T) {
	h := &holdingUpstream{sent: make(chan *upstream.Call, 10)}
	cfg := decide.Config{Limits: decide.Limits{MaxAttempts: 3}}
	l := NewLoop(cfg, sendingCore{}, func() time.Duration { return time.Hour }, h, nil, nil,
		slog.New(slog.DiscardHandler))
	l.SetMaxOpenRequests(10)
	go l.Run()
	t.Cleanup(l.Stop)
	var released atomic.Int64
	l.Submit(&frontend.Request{
		ID:            "a",
		Deadline:      time.Hour + time.Second,
		Done:          func(frontend.Response) {},
		Released:      func() { released.Add(1) },
		EncodeAttempt: func(int, time.Duration) []byte { return nil },
	})
	call := <-h.sent
	l.Disconnected("a")
	l.Do(func() {}) // the loop has handled the disconnection
	if n := released.Load(); n != 0 {
		t.Errorf("request released %d times with an attempt in flight, want 0", n)
	}
	call.Finish(upstream.Result{Outcome: decide.OutcomeOK})
	l.Do(func() {})
	if n := released.Load(); n != 1 {
		t.Errorf("request released %d times after its attempt has ended, want 1", n)
	}
}
