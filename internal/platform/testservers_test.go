package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// startDiscovery runs a discovery that lists one server and has no changes. Queries are sent to a channel.
func startDiscovery(t *testing.T, server string, queries chan<- string) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(rw http.ResponseWriter, r *http.Request) {
		select {
		case queries <- r.URL.RawQuery:
		default:
		}
		if r.URL.Query().Get("from") != "" {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
			fmt.Fprint(rw, `{"rev":41,"all":false,"targets":[]}`)
			return
		}
		fmt.Fprintf(rw, `{"rev":41,"all":true,"targets":[{"uid":"s1","endpoint":%q,"az":"a","model":"m",`+
			`"state":"ready","capacity_hint":1,"boot_ms":0}]}`, server)
	})
	return serveHTTP(t, mux)
}

// startSilent runs a server that accepts connections and never responds.
func startSilent(t *testing.T) string {
	t.Helper()
	ln := listenLocal(t)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
		}
	}()
	return ln.Addr().String()
}

// testingT is what stand-ins need of a test: *testing.T, or *rapid.T for one draw.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Cleanup(f func())
}

func listenLocal(t testingT) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// serveHTTP runs a server until the test ends and returns its address.
func serveHTTP(t testingT, h http.Handler) string {
	t.Helper()
	ln := listenLocal(t)
	s := &http.Server{Handler: h}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// fakeDiscovery is a discovery whose list the test changes.
type fakeDiscovery struct {
	mu            sync.Mutex
	rev           int
	targets       map[string]map[string]any // by uid
	indent        string
	changed       chan struct{} // closed at the next change
	responseDelay time.Duration // of each response
	openDelay     time.Duration // of the first read of a connection
	queries       []string
	bytes         int // of all responses
}

func newDiscovery() *fakeDiscovery {
	return &fakeDiscovery{rev: 41, targets: map[string]map[string]any{}, changed: make(chan struct{})}
}

// target is a server as discovery lists it.
func target(uid, endpoint, state string, boot int64) map[string]any {
	return map[string]any{"uid": uid, "endpoint": endpoint, "az": "a", "model": "m", "pod_group": 1,
		"state": state, "capacity_hint": 1.0, "boot_ms": boot}
}

// set changes servers; those that are gone are left out of full lists.
func (d *fakeDiscovery) set(targets ...map[string]any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, x := range targets {
		x["rev"] = d.rev
		d.targets[x["uid"].(string)] = x
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// since returns what is newer than a version, and a channel that is closed at the next change if there is
// nothing. 0 asks for the full list.
func (d *fakeDiscovery) since(from int) ([]byte, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []any{}
	for _, x := range d.targets {
		if x["rev"].(int) > from && (from > 0 || x["state"] != "gone") {
			list = append(list, x)
		}
	}
	raw, _ := json.MarshalIndent(map[string]any{"rev": d.rev, "all": from == 0, "targets": list}, "", d.indent)
	if from > 0 && from == d.rev {
		return raw, d.changed
	}
	return raw, nil
}

func (d *fakeDiscovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	late, lateOpen := d.responseDelay, d.openDelay
	d.queries = append(d.queries, r.URL.RawQuery)
	d.mu.Unlock()
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	raw, news := d.since(from)
	if news != nil {
		select {
		case <-news:
			raw, _ = d.since(from)
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	select {
	case <-time.After(late):
	case <-r.Context().Done():
		return
	}
	if lateOpen > 0 {
		rw.Header().Set("Connection", "close") // so that the next call opens a connection
	}
	d.mu.Lock()
	d.bytes += len(raw)
	d.mu.Unlock()
	rw.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	rw.Write(raw)
}

// slowListener delays the first read of each connection.
type slowListener struct {
	net.Listener
	d *fakeDiscovery
}

func (l slowListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	return &slowConn{Conn: nc, wait: l.d.openDelay}, nil
}

type slowConn struct {
	net.Conn
	wait time.Duration
	once sync.Once
}

func (c *slowConn) Read(b []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.wait) })
	return c.Conn.Read(b)
}

// serve runs the discovery and returns its address.
func (d *fakeDiscovery) serve(t *testing.T) string {
	t.Helper()
	ln := listenLocal(t)
	s := &http.Server{Handler: d}
	go s.Serve(slowListener{ln, d})
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// queryCount is how many calls were made.
func (d *fakeDiscovery) queryCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queries)
}

// countingServer responds at once and counts requests by when they came.
type countingServer struct {
	mu   sync.Mutex
	hits []time.Time
	addr string
}

func startCounting(t *testing.T) *countingServer {
	t.Helper()
	c := &countingServer{}
	c.addr = serveHTTP(t, c)
	return c
}

func (c *countingServer) ServeHTTP(rw http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	c.hits = append(c.hits, time.Now())
	c.mu.Unlock()
	io.WriteString(rw, "a")
}

// since is how many requests came after a time.
func (c *countingServer) since(at time.Time) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hits {
		if h.After(at) {
			n++
		}
	}
	return n
}
