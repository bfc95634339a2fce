package http

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/frontend"
)

// core is a loop that answers when it is told to.
type core struct {
	mu    sync.Mutex
	calls []*frontend.Request
	gone  []string
	came  chan *frontend.Request
	left  chan string
}

func (c *core) Reserve() bool { return true }
func (c *core) Submit(f *frontend.Request) {
	c.mu.Lock()
	c.calls = append(c.calls, f)
	c.mu.Unlock()
	c.came <- f
}
func (c *core) Disconnected(id string) { c.left <- id }
func (c *core) n() int                 { c.mu.Lock(); defer c.mu.Unlock(); return len(c.calls) }

var began = time.Now()

func start(t *testing.T, seats int) (*core, *Server, string) {
	t.Helper()
	cfg := &decide.Config{Gateways: 3, MaxUnits: 8, Plans: []decide.Plan{{Name: "team"}}, Classes: []decide.Class{
		{Name: "get", Idempotency: decide.Idempotent, Deadline: 4 * time.Second}, {Name: "put", Idempotency: decide.IdempotentByKey, Deadline: time.Second},
		{Name: "pay", Idempotency: decide.NotIdempotent, Deadline: time.Second}}}
	c := &core{came: make(chan *frontend.Request, 1000), left: make(chan string, 1000)}
	s := New(NewRules(cfg), c, Options{MaxConns: seats}, func() time.Duration { return time.Since(began) }, func() bool { return true },
		slog.New(slog.DiscardHandler))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(ln.(*net.TCPListener))
	t.Cleanup(func() { ln.Close(); s.Close() })
	return c, s, ln.Addr().String()
}

type client struct {
	t  *testing.T
	nc net.Conn
	r  *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{t, nc, bufio.NewReader(nc)}
}

func (c *client) send(text string) *client { io.WriteString(c.nc, text); return c }

// read returns the status and body of an answer; 0 means that the connection ended.
func (c *client) read() (int, string, http.Header) {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err.Error(), nil
	}
	if res.Close {
		res.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		c.t.Errorf("an answer that broke off: %v", err)
	}
	return res.StatusCode, string(body), res.Header
}

// usual is a request that can be used, but for the fields that are changed: "Name: value" puts one in another's place or
// adds it, "Name" takes it away.
func usual(first string, changes ...string) string {
	fields := []string{"Host: s", "X-Txn: t1", "X-Lane: put", "X-Plan: team", "X-Customer: 00000000b4d65521", "X-Remaining-Ms: 480",
		"Idempotency-Key: k1", "Content-Length: 3", "X-Quota: units=2,spread=3,first=1"}
	for _, ch := range changes {
		name, _, put := strings.Cut(ch, ":")
		for i, f := range fields {
			if n, _, _ := strings.Cut(f, ":"); n == name {
				fields = append(fields[:i:i], fields[i+1:]...)
				break
			}
		}
		if put {
			fields = append(fields, ch)
		}
	}
	return first + " HTTP/1.1\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}

func TestWhatACallIsMadeOf(t *testing.T) {
	core, _, addr := start(t, 10)
	c := dial(t, addr).send(usual("POST /api?x=1", "X-Resent: 1") + "abc")
	call := <-core.came
	if call.Class != "put" || call.Plan != "team" || call.Customer != "00000000b4d65521" || call.Units != 2 || call.GatewayCount != 3 ||
		call.FirstGateway != 1 || !call.IsRetry || !call.Mutates {
		t.Errorf("%+v", call)
	}
	if left := call.Deadline - time.Since(began); left > 480*time.Millisecond || left < -10*time.Second {
		t.Errorf("deadline in %v, want 480 ms at most", left)
	}
	want := "POST /api?x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: t1\r\nX-Remaining-Ms: 200\r\nIdempotency-Key: k1\r\nContent-Length: 3\r\n\r\nabc"
	if got := string(call.EncodeAttempt(0, 200*time.Millisecond)); got != want {
		t.Errorf("goes on as %q, want %q", got, want)
	}
	call.Done(frontend.Response{Kind: frontend.Served, Body: []byte("body")})
	if status, body, _ := c.read(); status != 200 || body != "body" {
		t.Errorf("answer %d %q, want 200 and the body unchanged", status, body)
	}
	for _, want := range []struct {
		f      frontend.Response
		status int
		after  string
	}{{frontend.Response{Kind: frontend.Rejected, RetryAfter: 80 * time.Millisecond}, 429, "0.080"}, {frontend.Response{Kind: frontend.Rejected}, 429, ""},
		{frontend.Response{Kind: frontend.Failed}, 502, ""}} {
		c.send(usual("POST /api") + "abc")
		(<-core.came).Done(want.f)
		if status, _, h := c.read(); status != want.status || h.Get("Retry-After") != want.after {
			t.Errorf("answer %d, Retry-After %q, want %d, %q", status, h.Get("Retry-After"), want.status, want.after)
		}
	}
}

// Nothing of what can't be used reaches the core, and the client can read why.
func TestRequestsThatCantBeUsed(t *testing.T) {
	core, _, addr := start(t, 100)
	for _, c := range []struct {
		text   string
		status int
	}{
		{usual("POST /api", "X-Txn"), 400}, {usual("POST /api", "X-Txn: "), 400}, {usual("POST /api", "X-Txn: a b"), 400},
		{usual("POST /api", "X-Lane: none"), 400}, {usual("POST /api", "X-Lane"), 400}, {usual("POST /api", "X-Plan: none"), 400},
		{usual("POST /api", "X-Customer: 00000002b4d65521"), 400}, {usual("POST /api", "X-Customer: b4d65521"), 400},
		{usual("POST /api", "X-Customer: 00000000b4d6552g"), 400}, {usual("POST /api", "X-Customer: -000000000000001"), 400},
		{usual("POST /api", "X-Remaining-Ms: soon"), 400}, {usual("POST /api", "X-Remaining-Ms: -5"), 400},
		{usual("POST /api", "X-Remaining-Ms: 0"), 400}, {usual("POST /api", "X-Remaining-Ms: 1e3"), 400},
		{usual("POST /api", "X-Remaining-Ms: NaN"), 400}, {usual("POST /api", "X-Remaining-Ms: 99999999999999"), 400},
		{usual("POST /api", "X-Remaining-Ms: 1001"), 400}, {usual("POST /api", "X-Remaining-Ms"), 400},
		{usual("POST /api", "X-Quota: units=NaN,spread=3,first=1"), 400}, {usual("POST /api", "X-Quota: units=Inf,spread=3,first=1"), 400},
		{usual("POST /api", "X-Quota: units=0,spread=3,first=1"), 400}, {usual("POST /api", "X-Quota: units=9,spread=3,first=1"), 400},
		{usual("POST /api", "X-Quota: units=-1,spread=3,first=1"), 400}, {usual("POST /api", "X-Quota: units=2,spread=4,first=1"), 400},
		{usual("POST /api", "X-Quota: units=2,spread=0,first=1"), 400}, {usual("POST /api", "X-Quota: units=2,spread=3,first=3"), 400},
		{usual("POST /api", "X-Quota: units=2,spread=3,first=-1"), 400}, {usual("POST /api", "X-Quota: units=2,spread=1.5,first=1"), 400},
		{usual("POST /api", "X-Quota: units=2,units=2,spread=1,first=1"), 400}, {usual("POST /api", "X-Quota: units=2"), 400},
		{usual("POST /api", "X-Quota: units"), 400}, {usual("POST /api", "X-Quota"), 400},
		{usual("GET /api", "Idempotency-Key"), 405}, {usual("DELETE /api"), 405}, {usual("POST /api", "Idempotency-Key"), 400},
		{usual("POST /api", "X-Lane: pay"), 400}, {usual("GET /api", "X-Lane: get", "Idempotency-Key"), 400},
		{usual("POST /api", "Content-Length"), 411}, {usual("POST /api", "Content-Length: 62914560"), 413},
		{usual("POST /api", "Transfer-Encoding: chunked"), 400}, {"\x16\x03\x01\r\n\r\n", 400},
		{"POST /api HTTP/1.1\r\nX: " + strings.Repeat("a", 20000), 431},
	} {
		if status, body, _ := dial(t, addr).send(c.text + "abc").read(); status != c.status {
			t.Errorf("%.300q: %d %q, want %d", c.text, status, body, c.status)
		}
	}
	if n := core.n(); n != 0 {
		t.Errorf("the core heard of %d of them", n)
	}
}

func TestAnIDThatIsOpenIsTurnedAway(t *testing.T) {
	core, _, addr := start(t, 10)
	a := dial(t, addr).send(usual("POST /api") + "abc")
	first := <-core.came
	if status, _, _ := dial(t, addr).send(usual("POST /api") + "abc").read(); status != 409 {
		t.Errorf("the same id: %d, want 409", status)
	}
	first.Done(frontend.Response{Kind: frontend.Served, Body: []byte("x")})
	if status, _, _ := a.read(); status != 200 {
		t.Errorf("the open request: %d, want 200", status)
	}
	dial(t, addr).send(usual("POST /api") + "abc")
	<-core.came // it is free again
}

// The core gives a client that has gone no answer: its id must be free all the same, or ids are held for good.
func TestAClientThatClosesHasGone(t *testing.T) {
	core, s, addr := start(t, 10)
	c := dial(t, addr).send(usual("POST /api") + "abc")
	call := <-core.came
	c.nc.Close()
	if id := <-core.left; id != call.ID {
		t.Errorf("%q has gone, want %q", id, call.ID)
	}
	again := dial(t, addr).send(usual("POST /api") + "abc")
	second := <-core.came
	call.Done(frontend.Response{Kind: frontend.Failed}) // crosses it: the id is the second's now
	if status, _, _ := dial(t, addr).send(usual("POST /api") + "abc").read(); status != 409 {
		t.Errorf("the id while the second is open: %d, want 409", status)
	}
	second.Done(frontend.Response{Kind: frontend.Failed})
	again.read()
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.openTxns); n != 0 {
		t.Errorf("%d ids are held, want none", n)
	}
}

// What comes while a request is open waits for its answer, in order.
func TestRequestsBehindAnother(t *testing.T) {
	core, _, addr := start(t, 10)
	c := dial(t, addr).send(usual("POST /api") + "abc" + usual("POST /api", "X-Txn: t2") + "abc" + "noise\r\n\r\n")
	first := <-core.came
	select {
	case <-core.came:
		t.Fatal("two requests of one connection are open")
	case <-time.After(50 * time.Millisecond):
	}
	first.Done(frontend.Response{Kind: frontend.Served, Body: []byte("1")})
	(<-core.came).Done(frontend.Response{Kind: frontend.Served, Body: []byte("2")})
	for _, want := range []string{"200 1", "200 2", "400"} {
		if status, body, _ := c.read(); !strings.HasPrefix(fmt.Sprint(status, " ", body), want) {
			t.Errorf("%d %q, want %s", status, body, want)
		}
	}
}

// Hundreds that connect and say nothing take no seat from clients that ask, and are closed within three seconds.
func TestSilentConnectionsLeaveRoom(t *testing.T) {
	core, s, addr := start(t, 20)
	var silent []*client
	at := time.Now()
	for range 500 {
		silent = append(silent, dial(t, addr))
	}
	c := dial(t, addr).send(usual("POST /api") + "abc")
	(<-core.came).Done(frontend.Response{Kind: frontend.Served, Body: []byte("x")})
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
	if took := time.Since(at); took > 10*time.Second { // two seconds and the sweep, on a machine that may be loaded
		t.Errorf("the last silent connection was closed after %v", took)
	}
}

// An answer that its client does not read neither holds the loop up nor stays for good.
func TestAClientThatDoesNotRead(t *testing.T) {
	core, s, addr := start(t, 10)
	c := dial(t, addr)
	c.nc.(*net.TCPConn).SetReadBuffer(4096)
	c.send(usual("POST /api") + "abc")
	call := <-core.came
	done := make(chan struct{})
	go func() { call.Done(frontend.Response{Kind: frontend.Served, Body: make([]byte, 64<<20)}); close(done) }()
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

func TestReadyAndDrain(t *testing.T) {
	core, s, addr := start(t, 10)
	ready := "GET /health/ready HTTP/1.1\r\nHost: s\r\n\r\n"
	c := dial(t, addr).send(ready)
	if status, _, _ := c.read(); status != 200 {
		t.Errorf("ready: %d, want 200", status)
	}
	s.Drain()
	if status, _, _ := c.send(ready).read(); status != 503 {
		t.Errorf("ready while stopping: %d, want 503", status)
	}
	c = dial(t, addr).send(usual("POST /api") + "abc")
	(<-core.came).Done(frontend.Response{Kind: frontend.Served, Body: []byte("x")})
	if status, _, h := c.read(); status != 200 || h.Get("Connection") != "close" {
		t.Errorf("while stopping: %d, Connection %q, want 200 and close", status, h.Get("Connection"))
	}
	if status, _, _ := c.read(); status != 0 {
		t.Errorf("the connection goes on")
	}
}
