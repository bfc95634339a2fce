package http

import (
	"bufio"
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
	"winghatch/internal/testbed/tcpserver"
)

// fakeCore is a frontend.Core that records requests. The tests respond to them.
type fakeCore struct {
	mu           sync.Mutex
	requests     []*frontend.Request
	submitted    chan *frontend.Request
	disconnected chan string
}

func (c *fakeCore) Reserve() bool { return true }

func (c *fakeCore) Submit(r *frontend.Request) {
	c.mu.Lock()
	c.requests = append(c.requests, r)
	c.mu.Unlock()
	c.submitted <- r
}

func (c *fakeCore) Disconnected(id string) { c.disconnected <- id }

// count returns the number of submitted requests.
func (c *fakeCore) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

var startedAt = time.Now()

// startServer runs a server until the test ends. Its configuration has the plan team and a class for each
// kind of idempotency: get, put and pay.
func startServer(t *testing.T, maxConns int) (*fakeCore, *Server, string) {
	t.Helper()
	cfg := &decide.Config{
		Gateways: 3,
		MaxUnits: 8,
		Plans:    []decide.Plan{{Name: "team"}},
		Classes: []decide.Class{
			{Name: "get", Idempotency: decide.Idempotent, Deadline: 4 * time.Second},
			{Name: "put", Idempotency: decide.IdempotentByKey, Deadline: time.Second},
			{Name: "pay", Idempotency: decide.NotIdempotent, Deadline: time.Second},
		},
	}
	core := &fakeCore{submitted: make(chan *frontend.Request, 1000), disconnected: make(chan string, 1000)}
	clock := func() time.Duration { return time.Since(startedAt) }
	ready := func() bool { return true }
	s := New(NewRules(cfg), core, Options{MaxConns: maxConns}, clock, ready, slog.New(slog.DiscardHandler))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(ln.(*net.TCPListener))
	t.Cleanup(func() {
		ln.Close()
		s.Close()
	})
	return core, s, ln.Addr().String()
}

// client is a client with one connection.
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

func (c *client) send(text string) *client {
	io.WriteString(c.nc, text)
	return c
}

// read returns the status, body and header of a response. Status 0 means that the connection ended.
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
		c.t.Errorf("read the body of a response: %v", err)
	}
	return res.StatusCode, string(body), res.Header
}

// requestText returns the head of a valid request with changes. The change "Name: value" replaces or adds a
// field, and "Name" removes it.
func requestText(first string, changes ...string) string {
	fields := []string{"Host: s", "X-Txn: t1", "X-Lane: put", "X-Plan: team",
		"X-Customer: 00000000b4d65521", "X-Remaining-Ms: 480", "Idempotency-Key: k1",
		"Content-Length: 3", "X-Quota: units=2,spread=3,first=1"}
	for _, change := range changes {
		name, _, put := strings.Cut(change, ":")
		for i, f := range fields {
			if n, _, _ := strings.Cut(f, ":"); n == name {
				fields = append(fields[:i:i], fields[i+1:]...)
				break
			}
		}
		if put {
			fields = append(fields, change)
		}
	}
	return first + " HTTP/1.1\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}

// dialIdle returns a client whose connection is idle after one served request.
func dialIdle(t *testing.T, core *fakeCore, addr string) *client {
	t.Helper()
	c := dial(t, addr).send(requestText("POST /api") + "abc")
	(<-core.submitted).Done(frontend.Response{Kind: frontend.Served, Body: []byte("x")})
	if status, _, _ := c.read(); status != 200 {
		t.Fatalf("first request: got status %d, want 200", status)
	}
	return c
}

// dialUnread returns an idle connection whose reader does not run, so that arriving bytes stay unread. It
// also returns the client's side of the connection.
func dialUnread(t *testing.T, s *Server) (*conn, net.Conn) {
	t.Helper()
	nc, in := tcpserver.Connect(t)
	raw, err := in.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	c := newConn(s, s.lastID, in.(*net.TCPConn), raw)
	s.conns[c.id] = c
	s.limit.Accept(s.clock(), c.id, s.unread)
	c.setPhase(idle)
	return c, nc
}

// waitUntil waits for a condition. The test fails if the condition does not hold within 10 s.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 10 s: %s", what)
		}
	}
}
