package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// discovery is a list of servers over HTTP that answers, and takes connections up, as late as told.
type discovery struct {
	mu       sync.Mutex
	rev      int
	targets  map[string]map[string]any
	indent   string
	changed  chan struct{}
	late     time.Duration // of each answer
	lateOpen time.Duration // of the first byte that is read on a connection
	asked    []string
	bytes    int // of all answers
}

func newDiscovery() *discovery {
	return &discovery{rev: 41, targets: map[string]map[string]any{}, changed: make(chan struct{})}
}

func target(uid, endpoint, state string, boot int64) map[string]any {
	return map[string]any{"uid": uid, "endpoint": endpoint, "az": "a", "model": "m", "pod_group": 1, "state": state, "capacity_hint": 1.0, "boot_ms": boot}
}

// set changes servers; those that are gone stay out of whole lists.
func (d *discovery) set(targets ...map[string]any) {
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

// since returns what is newer than a version; 0 asks for the whole list.
func (d *discovery) since(from int) ([]byte, <-chan struct{}) {
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

func (d *discovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	late, lateOpen := d.late, d.lateOpen
	d.asked = append(d.asked, r.URL.RawQuery)
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
		rw.Header().Set("Connection", "close") // so that connections are taken up anew
	}
	d.mu.Lock()
	d.bytes += len(raw)
	d.mu.Unlock()
	rw.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	rw.Write(raw)
}

// slowListener takes connections up late: each waits before its first byte is read.
type slowListener struct {
	net.Listener
	d *discovery
}

func (l slowListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	return &slowConn{Conn: nc, wait: l.d.lateOpen}, nil
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

// serve starts it and returns its address.
func (d *discovery) serve(t *testing.T) string {
	ln := listener(t)
	s := &http.Server{Handler: d}
	go s.Serve(slowListener{ln, d})
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// counter is a server that answers at once and counts what came, by when it came.
type counter struct {
	mu   sync.Mutex
	hits []time.Time
	addr string
}

func newCounter(t *testing.T) *counter {
	ln := listener(t)
	c := &counter{addr: ln.Addr().String()}
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.hits = append(c.hits, time.Now())
		c.mu.Unlock()
		io.WriteString(rw, "a")
	})}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return c
}

func (c *counter) since(at time.Time) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hits {
		if h.After(at) {
			n++
		}
	}
	return n
}

// pair is a gateway that follows a list of two servers, both of which serve.
type pair struct {
	*world
	stays, drains *counter
	d             *discovery
}

func newPair(t *testing.T) *pair {
	t.Helper()
	w, _ := run(t)
	p := &pair{w, newCounter(t), newCounter(t), newDiscovery()}
	p.d.set(target("stays", p.stays.addr, "ready", 0), target("drains", p.drains.addr, "ready", 0))
	w.config(p.d.serve(t))
	w.proc.Process.Signal(syscall.SIGHUP)
	c := w.dial()
	w.until("both serve", func() bool {
		c.ask(fmt.Sprint("before", time.Now().UnixNano()))
		return p.stays.since(time.Time{}) > 0 && p.drains.since(time.Time{}) > 0
	})
	return p
}

// drain makes the list tell that a server drains.
func (p *pair) drain() { p.d.set(target("drains", p.drains.addr, "draining", 0)) }

// keepsDrain asks 20 times once the drain counts as told.
func (p *pair) keepsDrain(told time.Time) {
	p.t.Helper()
	time.Sleep(time.Until(told))
	c := p.dial()
	for i := range 20 {
		if status, _ := c.ask(fmt.Sprint("after", i)); status != 200 {
			p.t.Errorf("after the drain: %d, want 200", status)
		}
	}
	if n := p.drains.since(told); n > 0 {
		p.t.Errorf("%d of 20 went to a server whose drain had been told", n)
	}
}
