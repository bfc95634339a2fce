// Package http carries attempts to servers in HTTP/1.1: one at a time on a connection, written in one go, never sent
// again by itself. It tells the end of each truly: NoConnection only of what was not written whole, Full only of what
// the server marks as turned away, Reset where the whole may have arrived before the break, Error for any other answer
// that can't be served. It chooses no server.
package http

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"winghatch/decide"
	"winghatch/internal/http1"
	"winghatch/internal/socket"
	"winghatch/internal/upstream/idletimeout"
	upstreamws "winghatch/internal/upstream/websocket"
)

// writeFor is the time that a server has to take what its socket's buffer did not; an attempt's own is shorter.
const writeFor = 10 * time.Second

// quietFor is how long a connection rests behind an answer before it is used again: a second answer may come some milliseconds
// late, and one that is on its way as the next attempt is written would be taken for that one's.
const quietFor = 25 * time.Millisecond

// Options are the pool's bounds.
type Options struct {
	ConnectTimeout time.Duration
	Conns          int                      // to all servers together
	Idle           time.Duration            // a connection at rest is closed after this, before the server's machine does it
	Body           int                      // bytes of an answer
	Bodies         int64                    // of all answers that are being read; 0: any
	Units          float64                  // most that an answer may charge; 0: any
	Figure         func(name string) string // of a load report, in the core's words; nil: as it came
}

// Server is where a server listens and which start of it: connections are kept by both, so that a new server at an old
// address gets none of the old one's.
type Server struct {
	ID, Addr string
	Started  int64
	State    decide.ServerState
}

// Counts are what operators are told of the pool.
type Counts struct {
	Conns, Dials, DialFailed, Spoilt, Stray, Crowded atomic.Int64
}

// Pool holds the connections to all servers. It is safe for concurrent use.
type Pool struct {
	Counts
	o       Options
	mu      sync.Mutex
	servers map[string]*server
	all     map[*conn]struct{} // also those to servers that are gone
	idle    *list.List         // connections at rest, longest first
	keep    idletimeout.Book   // for how long those are good
	began   time.Time
	closed  bool
	bodies  atomic.Int64 // bytes of answers that are being read
	wg      sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
}

type server struct {
	Server
	idle []*conn // the last is the one most recently used
}

type conn struct {
	p        *Pool
	s        *server
	nc       *net.TCPConn
	raw      syscall.RawConn
	rd       *http1.Reader
	call     *upstreamws.Call // p.mu guards the fields from here on
	at       *list.Element    // in Pool.idle; nil while it carries an attempt or connects
	rest     time.Time        // since then
	answered time.Time        // its last answer came; zero: none
	lain     time.Duration    // it had rested before the attempt under way
	came     bool             // bytes or the end came while it was at rest
	rests    bool             // a writeRest is under way
	dead     bool

	begun bool  // an answer has begun; the reader's own
	held  int64 // counted in Pool.bodies; the reader's own

	// Of the read under way; see Read.
	buf  []byte
	n    int
	err  error
	step func(fd uintptr) bool
}

// New returns an empty pool.
func New(o Options) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{o: o, servers: map[string]*server{}, all: map[*conn]struct{}{}, idle: list.New(), began: time.Now(), ctx: ctx, stop: stop}
	p.wg.Add(1)
	go p.sweep()
	return p
}

// Take is told of servers before the loop is. What is no longer ready gets nothing new from now on: attempts that
// still wait for a connection to it end, and connections at rest are closed. With full set, those not named are gone.
func (p *Pool) Take(servers []Server, full bool) {
	var ended []*upstreamws.Call
	p.mu.Lock()
	named := map[string]bool{}
	for _, n := range servers {
		named[n.ID] = true
		s := p.servers[n.ID]
		if s != nil && (s.Addr != n.Addr || s.Started != n.Started) {
			ended = append(ended, p.drop(s)...)
			s = nil
		}
		if s == nil && n.State != decide.Removed {
			s = &server{}
			p.servers[n.ID] = s
		}
		if s != nil {
			if s.Server = n; n.State != decide.Serving {
				ended = append(ended, p.hush(s)...)
			}
			if n.State == decide.Removed {
				delete(p.servers, n.ID)
			}
		}
	}
	if full {
		for id, s := range p.servers {
			if !named[id] {
				ended = append(ended, p.drop(s)...)
			}
		}
	}
	p.mu.Unlock()
	for _, c := range ended {
		c.Broke()
	}
}

// drop forgets a server; attempts written to it go on.
func (p *Pool) drop(s *server) []*upstreamws.Call {
	s.State = decide.Removed
	if p.servers[s.ID] == s {
		delete(p.servers, s.ID)
	}
	return p.hush(s)
}

// hush closes what is at rest and returns the attempts that wait for a connection.
func (p *Pool) hush(s *server) (out []*upstreamws.Call) {
	for len(s.idle) > 0 {
		s.idle[len(s.idle)-1].kill()
	}
	for k := range p.all {
		if k.s == s && k.nc == nil && k.call != nil {
			out = append(out, k.call)
			k.call = nil
		}
	}
	return out
}

// kill takes a connection out and ends it both ways; p.mu is held. Its descriptor is closed by its reader, which wakes
// of this: to close it here would wait for the reader's step under way, which may wait for the lock that is held.
func (k *conn) kill() {
	if k.dead {
		return
	}
	k.dead = true
	k.leave()
	delete(k.p.all, k)
	k.p.Conns.Add(-1)
	k.shut()
}

// shut ends a connection both ways at once and never waits.
func (k *conn) shut() {
	if k.raw != nil {
		k.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
}

// leave takes a connection out of those at rest; p.mu is held.
func (k *conn) leave() {
	if k.at == nil {
		return
	}
	k.p.idle.Remove(k.at)
	k.at = nil
	for i, o := range k.s.idle {
		if o == k {
			k.s.idle = append(k.s.idle[:i], k.s.idle[i+1:]...)
			break
		}
	}
}

// Send starts an attempt. It never blocks.
func (p *Pool) Send(c *upstreamws.Call) {
	p.mu.Lock()
	s := p.servers[c.Node]
	if s == nil || s.State != decide.Serving || p.closed {
		p.mu.Unlock()
		c.Broke()
		return
	}
	if c.Late != nil && c.Late() {
		p.mu.Unlock()
		c.Finish(upstreamws.Result{Outcome: decide.OutcomeNotDispatched})
		return
	}
	now := time.Since(p.began)
	if k := s.take(min(p.keep.Limit(now), p.o.Idle)); k != nil {
		p.keep.Used(now, k.lain)
		k.call, c.Carrier = c, k
		k.start()
		p.mu.Unlock()
		return
	}
	if int(p.Conns.Load()) >= p.o.Conns {
		f := p.idle.Front()
		if f == nil {
			p.mu.Unlock()
			p.Crowded.Add(1)
			c.Broke()
			return
		}
		f.Value.(*conn).kill()
	}
	k := &conn{p: p, s: s, call: c}
	k.step = k.readStep
	c.Carrier = k
	p.all[k] = struct{}{}
	p.Conns.Add(1)
	p.Dials.Add(1)
	p.wg.Add(1)
	addr := s.Addr
	p.mu.Unlock()
	go k.run(addr)
}

// take takes a connection out of those at rest, the one most recently used whose last answer came long enough ago and that
// has rested for less than the limit; nil if there is none. p.mu is held.
func (s *server) take(limit time.Duration) *conn {
	now := time.Now()
	for i := len(s.idle) - 1; i >= 0; i-- {
		k := s.idle[i]
		if now.Sub(k.answered) < quietFor {
			continue
		}
		k.lain = now.Sub(k.rest)
		if k.lain < limit && k.fresh() {
			k.leave()
			return k
		}
		k.kill()
	}
	return nil
}

// fresh reports whether nothing came on a connection at rest: neither its end, which would lose the attempt, nor bytes
// that would be taken for its answer. p.mu is held, and reads take it, so that what was read is known too.
func (k *conn) fresh() bool {
	if k.came {
		return false
	}
	unread, ended := socket.Peek(k.raw)
	if unread || ended {
		k.p.Stray.Add(1)
	}
	return !unread && !ended
}

// start writes the attempt; p.mu is held. A socket's buffer takes it whole but for the largest bodies.
func (k *conn) start() {
	c := k.call
	b := c.Params
	if c.Form != nil {
		b = c.Form()
	}
	n, err := socket.WriteNow(k.raw, b)
	if n == len(b) {
		c.Begin()
		return
	}
	if err != nil && !socket.Transient(err) {
		// The connection broke before the last byte was written: it never ran. Its reader ends the attempt.
		k.shut()
		return
	}
	k.rests = true
	k.p.wg.Add(1)
	go k.writeRest(c, b[n:])
}

// writeRest writes what the socket's buffer did not take. Until its last byte the attempt can't have run.
func (k *conn) writeRest(c *upstreamws.Call, b []byte) {
	defer k.p.wg.Done()
	defer func() { k.p.mu.Lock(); k.rests = false; k.p.mu.Unlock() }()
	if len(b) > 1 {
		if err := socket.WriteAll(k.nc, b[:len(b)-1], writeFor); err != nil {
			k.nc.Close()
			return
		}
	}
	if c.Late != nil && c.Late() {
		k.p.mu.Lock()
		k.call = nil
		k.kill()
		k.p.mu.Unlock()
		c.Finish(upstreamws.Result{Outcome: decide.OutcomeNotDispatched})
		return
	}
	if c.Begin() {
		if err := socket.WriteAll(k.nc, b[len(b)-1:], writeFor); err != nil {
			k.nc.Close()
		}
	}
}

// Abandon gives an attempt up and closes its connection at once.
func (p *Pool) Abandon(c *upstreamws.Call) upstreamws.Given {
	p.mu.Lock()
	defer p.mu.Unlock()
	given := c.GiveUp() // under the lock, so that it is never between the write of an attempt and the note of it
	if k, ok := c.Carrier.(*conn); ok && k.call == c {
		k.call = nil
		if k.nc != nil {
			k.kill()
		} // else it connects still and is good for another attempt
	}
	return given
}

// run connects and reads until the connection ends.
func (k *conn) run(addr string) {
	p := k.p
	defer p.wg.Done()
	d := net.Dialer{Timeout: p.o.ConnectTimeout, KeepAlive: -1}
	nc, err := d.DialContext(p.ctx, "tcp", addr)
	p.mu.Lock()
	if err == nil {
		k.nc = nc.(*net.TCPConn)
		k.raw, err = k.nc.SyscallConn()
	}
	if err != nil || p.closed || k.s.State != decide.Serving {
		c := k.call
		k.call = nil
		k.kill()
		p.mu.Unlock()
		if k.nc != nil {
			k.nc.Close()
		}
		if err != nil {
			p.DialFailed.Add(1)
		}
		if c != nil {
			c.Broke()
		}
		return
	}
	k.rd = http1.NewReader(bufio.NewReaderSize(k, 4<<10), http1.Limits{Head: 8 << 10, Body: p.o.Body, Room: k.room})
	late := k.call
	switch {
	case k.call == nil:
		k.settle()
	case k.call.Late != nil && k.call.Late(): // connecting took that long
		k.call = nil
		k.settle()
	default:
		late = nil
		p.keep.Used(time.Since(p.began), 0)
		k.start()
	}
	p.mu.Unlock()
	if late != nil {
		late.Finish(upstreamws.Result{Outcome: decide.OutcomeNotDispatched})
	}
	for k.answer() {
		p.bodies.Add(-k.held)
		k.held = 0
	}
	p.bodies.Add(-k.held)
	k.nc.Close()
}

// room counts bytes of an answer in: servers whose answers never end must not take the process beyond its memory.
func (k *conn) room(n int) bool {
	if all := k.p.bodies.Add(int64(n)); k.p.o.Bodies > 0 && all > k.p.o.Bodies {
		k.p.bodies.Add(-int64(n))
		return false
	}
	k.held += int64(n)
	return true
}

// Read reads from the socket. Each step holds the pool's lock, so that Send never takes a connection on which a byte
// was read that nobody has looked at yet.
func (k *conn) Read(b []byte) (int, error) {
	k.buf = b
	for {
		if err := k.raw.Read(k.step); err != nil {
			return 0, err
		}
		if k.err != nil && socket.Transient(k.err) {
			time.Sleep(socket.RetryPause)
			continue
		}
		if k.n == 0 && k.err == nil {
			return 0, io.EOF
		}
		return k.n, k.err
	}
}

func (k *conn) readStep(fd uintptr) bool {
	k.p.mu.Lock()
	defer k.p.mu.Unlock()
	k.n, k.err = socket.ReadNow(fd, k.buf)
	if k.err == syscall.EAGAIN {
		return false
	}
	if k.call == nil && !(k.err != nil && socket.Transient(k.err)) {
		k.came = true
	}
	return true
}

// answer takes one answer; false ends the connection.
func (k *conn) answer() bool {
	p := k.p
	err := k.rd.Wait()
	p.mu.Lock()
	c := k.call
	if c == nil && err == nil {
		p.Stray.Add(1)
	}
	p.mu.Unlock()
	if c == nil || err != nil {
		k.end(c)
		return false
	}
	k.begun = true
	r, err := k.rd.Response()
	k.begun = err != nil
	if err != nil {
		var spoilt *http1.Error
		if !errors.As(err, &spoilt) {
			k.end(c) // it broke
			return false
		}
		p.Spoilt.Add(1)
		p.mu.Lock()
		k.call = nil
		k.kill()
		p.mu.Unlock()
		c.Finish(upstreamws.Result{Outcome: decide.OutcomeError})
		return false
	}
	res := p.result(r)
	p.mu.Lock()
	mine := k.call == c
	k.call, k.answered = nil, time.Now()
	// What came behind an answer belongs to none.
	keep := !r.Close && k.rd.Buffered() == 0 && !p.closed && k.s.State == decide.Serving && !k.dead && !k.rests
	if keep {
		k.settle()
	} else {
		k.kill()
	}
	p.mu.Unlock()
	if mine {
		c.Finish(res)
	}
	return keep
}

// settle puts the connection at rest; p.mu is held.
func (k *conn) settle() {
	k.rest = time.Now()
	k.at = k.p.idle.PushBack(k)
	k.s.idle = append(k.s.idle, k)
}

// end ends a connection that broke, and what it carried.
func (k *conn) end(c *upstreamws.Call) {
	k.p.mu.Lock()
	if k.call == c {
		k.call = nil
		if c != nil && !k.begun {
			k.p.keep.Broke(time.Since(k.p.began), k.lain)
		}
	}
	k.kill()
	k.p.mu.Unlock()
	if c != nil {
		c.Broke()
	}
}

// result reads an answer as an outcome. Figures on load and use that can't be read are left out, the answer counts.
func (p *Pool) result(r *http1.Response) upstreamws.Result {
	var res upstreamws.Result
	away, _ := r.Get("X-Turned-Away")
	switch {
	case r.Status == 200:
		res.Outcome = decide.OutcomeOK
		res.Body = r.Body
	case (r.Status == 503 || r.Status == 504) && away == "1":
		res.Outcome = decide.OutcomeRejected
	default:
		res.Outcome = decide.OutcomeError
	}
	if v, n := r.Get("X-Quota-Used"); n == 1 {
		if u, err := strconv.ParseUint(v, 10, 31); err == nil {
			res.Metered = 1 + int(u)
		}
	}
	if v, n := r.Get("X-Units-Charged"); n == 1 {
		if u, err := strconv.ParseFloat(v, 64); err == nil && u > 0 && (u <= p.o.Units || p.o.Units == 0 && u < 1<<31) {
			res.TrueUnits = u
		}
	}
	if v, n := r.Get("X-Pressure"); n == 1 {
		res.Report = p.report(v)
	}
	return res
}

// report reads "inflight=7,queue=2"; one that can't be read in any part is left out whole.
func (p *Pool) report(v string) decide.LoadReport {
	out := decide.LoadReport{}
	for part := range strings.SplitSeq(v, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || !(x >= 0 && x < 1e12) || len(out) == 8 {
			return nil
		}
		if p.o.Figure != nil {
			name = p.o.Figure(name)
		}
		out[name] = x
	}
	return out
}

// CloseIdle closes the connections to a server that carry no attempt.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		for len(s.idle) > 0 {
			s.idle[len(s.idle)-1].kill()
		}
	}
}

// sweep closes what has rested too long.
func (p *Pool) sweep() {
	defer p.wg.Done()
	t := time.NewTicker(max(p.o.Idle/8, 10*time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case now := <-t.C:
			p.mu.Lock()
			for f := p.idle.Front(); f != nil && now.Sub(f.Value.(*conn).rest) >= p.o.Idle; f = p.idle.Front() {
				f.Value.(*conn).kill()
			}
			p.mu.Unlock()
		}
	}
}

// Close ends all connections and waits for their goroutines. Attempts on them end as broken.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	p.closed = true
	for k := range p.all {
		k.shut()
	}
	p.mu.Unlock()
	p.wg.Wait()
}
