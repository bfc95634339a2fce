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

// fakeCore is a core without decisions: the test answers what is submitted.
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

// count is how many requests were submitted.
func (c *fakeCore) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

var startedAt = time.Now()

// startServer runs a server for the test's time, with plan team and a class of each idempotency: get, put and
// pay.
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

// client is one connection of a client.
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

// read returns the status, body and head of a response; status 0 means that the connection ended.
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
		c.t.Errorf("a response that broke off: %v", err)
	}
	return res.StatusCode, string(body), res.Header
}

// requestText is the head of a valid request, with changes: "Name: value" replaces a field or adds one,
// "Name" removes it.
func requestText(first string, changes ...string) string {
	fields := []string{"Host: s", "X-Txn: t1", "X-Lane: put", "X-Plan: team", "X-Customer: 00000000b4d65521",
		"X-Remaining-Ms: 480", "Idempotency-Key: k1", "Content-Length: 3", "X-Quota: units=2,spread=3,first=1"}
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

// dialIdle returns a client whose connection was served once and is idle.
func dialIdle(t *testing.T, core *fakeCore, addr string) *client {
	t.Helper()
	c := dial(t, addr).send(requestText("POST /api") + "abc")
	(<-core.submitted).Done(frontend.Response{Kind: frontend.Served, Body: []byte("x")})
	if status, _, _ := c.read(); status != 200 {
		t.Fatalf("%d, want 200", status)
	}
	return c
}

// dialUnread returns a connection whose reader does not run, so that what arrives stays unread, and the
// client's end.
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

// waitUntil waits for a condition, 10 s at most.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}
