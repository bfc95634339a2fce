// Package registry follows the platform's list of servers: a whole list, then a watch over HTTP/1.1 that is renewed
// without a pause, so that what changes between two calls is told too. What comes is checked before it is believed.
// What follows from it is decided elsewhere.
package registry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net"
	"strconv"
	"sync"
	"time"

	"winghatch/decide"
	"winghatch/http1"
	uphttp "winghatch/upstream/http"
)

// Entry is a server as the list tells it.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"` // Unix time; 0: long ago
}

// List is a list or a change of it.
type List struct {
	Rev     uint64  `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

const targetsMost = 4096

var states = map[string]decide.State{"ready": decide.Serving, "draining": decide.Draining, "gone": decide.Gone}

// Check reports what makes a list unusable.
func (l *List) Check() error {
	if len(l.Targets) > targetsMost {
		return fmt.Errorf("registry: rev %d: %d targets, want %d at most", l.Rev, len(l.Targets), targetsMost)
	}
	seen := map[string]bool{}
	for i, e := range l.Targets {
		at := func(field string, v any, want string) error {
			return fmt.Errorf("registry: rev %d: targets[%d].%s is %#v, want %s", l.Rev, i, field, v, want)
		}
		if e.UID == "" || len(e.UID) > 256 {
			return at("uid", e.UID, "1 to 256 bytes")
		}
		if seen[e.UID] {
			return at("uid", e.UID, "each once")
		}
		seen[e.UID] = true
		if _, ok := states[e.State]; !ok {
			return at("state", e.State, "ready, draining or gone")
		}
		if _, _, err := net.SplitHostPort(e.Endpoint); err != nil && e.State != "gone" {
			return at("endpoint", e.Endpoint, "host:port")
		}
		if e.BootMS < 0 {
			return at("boot_ms", e.BootMS, "0 or more")
		}
		if e.Hint < 0 || math.IsNaN(e.Hint) {
			return at("capacity_hint", e.Hint, "0 or more")
		}
	}
	return nil
}

// Times turn Unix milliseconds into the gateway's clock. Both are read once, at the start, so that one start of a server
// has one time however often it is told.
type Times struct {
	Clock time.Duration
	Unix  time.Time
}

// at is never 0 nor before it: to the core that means long ago.
func (t Times) at(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	return max(1, t.Clock+time.UnixMilli(ms).Sub(t.Unix))
}

// Update is the list as the core is told it.
func (t Times) Update(l *List, kind decide.FleetKind) decide.FleetUpdate {
	u := decide.FleetUpdate{Kind: kind, Version: l.Rev}
	for _, e := range l.Targets {
		u.Servers = append(u.Servers, decide.Server{ID: e.UID, Zone: e.Zone, Cell: e.Cell, Kind: e.Model, State: states[e.State],
			Started: t.at(e.BootMS), Weight: e.Hint})
	}
	return u
}

// Servers is the list as the pool of connections is told it.
func (l *List) Servers() (out []uphttp.Server) {
	for _, e := range l.Targets {
		out = append(out, uphttp.Server{ID: e.UID, Addr: e.Endpoint, Started: e.BootMS, State: states[e.State]})
	}
	return out
}

// Options of Follow.
type Options struct {
	Take func(l *List)
	Log  *slog.Logger

	// Hold is how long a watch waits for news; Silent how much longer an answer may take before the connection counts as
	// dead; Again the pause after a failure. Zeroes stand for 2 s, 500 ms and 100 ms. See MaxStaleness.
	Hold, Silent, Again time.Duration
}

// MaxStaleness is the longest that a change stays unknown here after the watch fell silent, where the first connection behind it
// fails too and the second does not. A change counts as told 6 s after the silence at the latest, or 2 s after the wait is
// over if that is later: Hold trades that time against a call for each wait that brings no news.
func (o Options) MaxStaleness() time.Duration {
	o = o.withDefaults()
	again := o.Again + connectFor + wholeFor
	return o.Hold + o.Silent + 2*again
}

// Watch follows one address after the other. Make it with New.
type Watch struct {
	o    Options
	mu   sync.Mutex
	addr string
	turn context.CancelFunc // ends the connection to an address that was left
}

// New returns a watch of an address.
func New(addr string, o Options) *Watch {
	return &Watch{o: o.withDefaults(), addr: addr}
}

// withDefaults puts the usual times in the place of zeroes.
func (o Options) withDefaults() Options {
	if o.Hold == 0 {
		o.Hold = 2 * time.Second
	}
	if o.Silent == 0 {
		o.Silent = 500 * time.Millisecond
	}
	if o.Again == 0 {
		o.Again = 100 * time.Millisecond
	}
	return o
}

// Move follows another address from now on.
func (w *Watch) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr = addr
	if w.turn != nil {
		w.turn()
	}
}

// Run follows until the context ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		turn, cancel := context.WithCancel(ctx)
		w.turn = cancel
		addr := w.addr
		w.mu.Unlock()
		err := w.follow(turn, addr)
		moved := turn.Err() != nil
		cancel()
		if ctx.Err() != nil || moved {
			continue
		}
		w.o.Log.Warn("the list can't be followed", "addr", addr, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(w.o.Again):
		}
	}
}

// bodyMost bounds an answer; connectFor and wholeFor how long connecting and an answer that owes no wait may take.
const (
	bodyMost   = 1 << 20
	connectFor = 500 * time.Millisecond
	wholeFor   = time.Second
)

// follow takes the whole list and watches until something fails.
func (w *Watch) follow(ctx context.Context, addr string) error {
	c := &agentConn{ctx: ctx, addr: addr}
	defer c.close()
	l, err := c.get("/registry/instances", wholeFor)
	if err != nil {
		return err
	}
	if !l.All {
		return fmt.Errorf("registry: rev %d is no whole list, asked for one", l.Rev)
	}
	w.o.Take(l)
	rev := l.Rev
	for {
		path := "/registry/instances?from=" + strconv.FormatUint(rev, 10) + "&hold_ms=" + strconv.FormatInt(w.o.Hold.Milliseconds(), 10)
		l, err := c.get(path, w.o.Hold+w.o.Silent)
		if err != nil {
			return err
		}
		if l.Rev < rev {
			return fmt.Errorf("registry: rev %d after %d, the whole list is wanted", l.Rev, rev)
		}
		if l.Rev == rev && !l.All && len(l.Targets) == 0 {
			continue // nothing new within the wait
		}
		w.o.Take(l)
		rev = l.Rev
	}
}

// agentConn is the connection to an address. One that ends with an answer is opened anew for the next, at once, so that the
// watch goes on where it was.
type agentConn struct {
	ctx  context.Context
	addr string
	nc   net.Conn
	rd   *http1.Reader
	stop func() bool
}

func (c *agentConn) open() error {
	d := net.Dialer{Timeout: connectFor, KeepAlive: -1}
	nc, err := d.DialContext(c.ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	c.nc = nc
	c.stop = context.AfterFunc(c.ctx, func() { nc.Close() })
	c.rd = http1.NewReader(bufio.NewReaderSize(nc, 4<<10), http1.Limits{Head: 8 << 10, Body: bodyMost})
	return nil
}

func (c *agentConn) close() {
	if c.nc != nil {
		c.stop()
		c.nc.Close()
		c.nc = nil
	}
}

// get asks once.
func (c *agentConn) get(path string, within time.Duration) (*List, error) {
	if c.nc == nil {
		if err := c.open(); err != nil {
			return nil, err
		}
	}
	c.nc.SetDeadline(time.Now().Add(within))
	if _, err := c.nc.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: service.internal\r\n\r\n")); err != nil {
		return nil, err
	}
	r, err := c.rd.Response()
	if err != nil {
		return nil, err
	}
	if r.Close {
		c.close()
	}
	if r.Status != 200 {
		return nil, fmt.Errorf("registry: %s: status %d, want 200", path, r.Status)
	}
	var l List
	if err := json.Unmarshal(r.Body, &l); err != nil {
		return nil, fmt.Errorf("registry: %s: %w", path, err)
	}
	if err := l.Check(); err != nil {
		return nil, err
	}
	return &l, nil
}
