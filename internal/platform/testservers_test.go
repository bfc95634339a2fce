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

// startDiscovery runs a discovery that lists one server and never changes. It sends the queries that it
// receives to a channel and returns its address.
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

// startSilentServer runs a server that accepts connections and never responds. It returns the server's
// address.
func startSilentServer(t *testing.T) string {
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

// testingT contains the methods of a test that the helpers use. Both *testing.T and *rapid.T implement it.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Cleanup(f func())
}

// listenLocal listens on a free port of the loopback interface until the test ends.
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

// fakeDiscovery is a discovery whose list is changed by the test.
type fakeDiscovery struct {
	mu            sync.Mutex
	rev           int                       // revision of the list
	targets       map[string]map[string]any // servers by uid
	indent        string                    // indentation of the JSON responses
	changed       chan struct{}             // closed at the next change
	responseDelay time.Duration             // delay of each response
	openDelay     time.Duration             // delay of the first read from each connection
	queries       []string
	bytes         int // total size of all responses
}

// newDiscovery returns a discovery with an empty list.
func newDiscovery() *fakeDiscovery {
	return &fakeDiscovery{rev: 41, targets: map[string]map[string]any{}, changed: make(chan struct{})}
}

// target returns the list entry of a server. bootMs is the server's start time in Unix milliseconds.
func target(uid, endpoint, state string, bootMs int64) map[string]any {
	return map[string]any{"uid": uid, "endpoint": endpoint, "az": "a", "model": "m", "pod_group": 1,
		"state": state, "capacity_hint": 1.0, "boot_ms": bootMs}
}

// set adds or changes servers. Full lists omit servers whose state is "gone".
func (d *fakeDiscovery) set(targets ...map[string]any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, t := range targets {
		t["rev"] = d.rev
		d.targets[t["uid"].(string)] = t
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// since returns the encoded changes after a revision, or the full list for revision 0. If there are no
// changes, it also returns a channel that is closed at the next change.
func (d *fakeDiscovery) since(from int) ([]byte, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []any{}
	for _, t := range d.targets {
		if t["rev"].(int) > from && (from > 0 || t["state"] != "gone") {
			list = append(list, t)
		}
	}
	raw, _ := json.MarshalIndent(
		map[string]any{"rev": d.rev, "all": from == 0, "targets": list}, "", d.indent)
	if from > 0 && from == d.rev {
		return raw, d.changed
	}
	return raw, nil
}

func (d *fakeDiscovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	responseDelay, openDelay := d.responseDelay, d.openDelay
	d.queries = append(d.queries, r.URL.RawQuery)
	d.mu.Unlock()
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	raw, changed := d.since(from)
	if changed != nil {
		select {
		case <-changed:
			raw, _ = d.since(from)
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	select {
	case <-time.After(responseDelay):
	case <-r.Context().Done():
		return
	}
	if openDelay > 0 {
		rw.Header().Set("Connection", "close") // makes the next query open a connection
	}
	d.mu.Lock()
	d.bytes += len(raw)
	d.mu.Unlock()
	rw.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	rw.Write(raw)
}

// slowListener accepts connections whose first read is delayed by fakeDiscovery.openDelay.
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

// slowConn is a connection whose first read is delayed.
type slowConn struct {
	net.Conn
	wait time.Duration
	once sync.Once
}

func (c *slowConn) Read(b []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.wait) })
	return c.Conn.Read(b)
}

// serve runs the discovery until the test ends and returns its address.
func (d *fakeDiscovery) serve(t *testing.T) string {
	t.Helper()
	ln := listenLocal(t)
	s := &http.Server{Handler: d}
	go s.Serve(slowListener{ln, d})
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// queryCount returns the number of queries received.
func (d *fakeDiscovery) queryCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queries)
}

// countingServer responds immediately and records when requests arrive.
type countingServer struct {
	mu       sync.Mutex
	arrivals []time.Time
	addr     string
}

// startCountingServer runs a countingServer until the test ends.
func startCountingServer(t *testing.T) *countingServer {
	t.Helper()
	c := &countingServer{}
	c.addr = serveHTTP(t, c)
	return c
}

func (c *countingServer) ServeHTTP(rw http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	c.arrivals = append(c.arrivals, time.Now())
	c.mu.Unlock()
	io.WriteString(rw, "a")
}

// since returns the number of requests that arrived after the given time.
func (c *countingServer) since(start time.Time) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, arrival := range c.arrivals {
		if arrival.After(start) {
			n++
		}
	}
	return n
}
