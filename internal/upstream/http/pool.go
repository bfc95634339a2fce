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
	"winghatch/internal/upstream"
	"winghatch/internal/upstream/idletimeout"
)

// writeFor is the time that a server has to take what its socket's buffer did not; an attempt's own is shorter.
const writeTimeout = 10 * time.Second

// quietFor is how long a connection rests behind an answer before it is used again: a second answer may come some milliseconds
// late, and one that is on its way as the next attempt is written would be taken for that one's.
const reuseDelay = 25 * time.Millisecond

// Options are the pool's bounds.
type Options struct {
	DialTimeout       time.Duration
	MaxConns          int                      // to all servers together
	IdleTimeout       time.Duration            // a connection at rest is closed after this, before the server's machine does it
	MaxBodyBytes      int                      // bytes of an answer
	MaxTotalBodyBytes int64                    // of all answers that are being read; 0: any
	MaxUnits          float64                  // most that an answer may charge; 0: any
	LoadReportName    func(name string) string // of a load report, in the core's words; nil: as it came
}

// Server is where a server listens and which start of it: connections are kept by both, so that a new server at an old
// address gets none of the old one's.
type Server struct {
	ID, Addr    string
	Incarnation int64
	State       decide.ServerState
}

// Counts are what operators are told of the pool.
type Counters struct {
	Conns, Dials, DialFailures, MalformedResponses, StaleConns, ConnLimitReached atomic.Int64
}

// Pool holds the connections to all servers. It is safe for concurrent use.
type Pool struct {
	Counters
	opts         Options
	mu           sync.Mutex
	servers      map[string]*server
	conns        map[*conn]struct{}    // also those to servers that are gone
	idleConns    *list.List            // connections at rest, longest first
	idleEstimate idletimeout.Estimator // for how long those are good
	startedAt    time.Time
	closed       bool
	bodyBytes    atomic.Int64 // bytes of answers that are being read
	wg           sync.WaitGroup
	ctx          context.Context
	stop         context.CancelFunc
}

type server struct {
	Server
	idle []*conn // the last is the one most recently used
}

type conn struct {
	pool          *Pool
	server        *server
	nc            *net.TCPConn
	raw           syscall.RawConn
	reader        *http1.Reader
	call          *upstream.Call // p.mu guards the fields from here on
	idleElem      *list.Element  // in Pool.idle; nil while it carries an attempt or connects
	idleSince     time.Time      // since then
	respondedAt   time.Time      // its last answer came; zero: none
	idleBefore    time.Duration  // it had rested before the attempt under way
	readWhileIdle bool           // bytes or the end came while it was at rest
	writing       bool           // a writeRest is under way
	discarded     bool

	responseBegun bool  // an answer has begun; the reader's own
	bodyBytes     int64 // counted in Pool.bodies; the reader's own

	// Of the read under way; see Read.
	readBuf  []byte
	readN    int
	readErr  error
	readFunc func(fd uintptr) bool
}

// New returns an empty pool.
func New(o Options) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{opts: o, servers: map[string]*server{}, conns: map[*conn]struct{}{}, idleConns: list.New(), startedAt: time.Now(), ctx: ctx, stop: stop}
	p.wg.Add(1)
	go p.sweep()
	return p
}

// Take is told of servers before the loop is. What is no longer ready gets nothing new from now on: attempts that
// still wait for a connection to it end, and connections at rest are closed. With full set, those not named are gone.
func (p *Pool) Update(servers []Server, full bool) {
	var ended []*upstream.Call
	p.mu.Lock()
	named := map[string]bool{}
	for _, n := range servers {
		named[n.ID] = true
		s := p.servers[n.ID]
		if s != nil && (s.Addr != n.Addr || s.Incarnation != n.Incarnation) {
			ended = append(ended, p.removeServer(s)...)
			s = nil
		}
		if s == nil && n.State != decide.Removed {
			s = &server{}
			p.servers[n.ID] = s
		}
		if s != nil {
			if s.Server = n; n.State != decide.Serving {
				ended = append(ended, p.quiesce(s)...)
			}
			if n.State == decide.Removed {
				delete(p.servers, n.ID)
			}
		}
	}
	if full {
		for id, s := range p.servers {
			if !named[id] {
				ended = append(ended, p.removeServer(s)...)
			}
		}
	}
	p.mu.Unlock()
	for _, c := range ended {
		c.ConnectionLost()
	}
}

// drop forgets a server; attempts written to it go on.
func (p *Pool) removeServer(s *server) []*upstream.Call {
	s.State = decide.Removed
	if p.servers[s.ID] == s {
		delete(p.servers, s.ID)
	}
	return p.quiesce(s)
}

// hush closes what is at rest and returns the attempts that wait for a connection.
func (p *Pool) quiesce(s *server) (out []*upstream.Call) {
	for len(s.idle) > 0 {
		s.idle[len(s.idle)-1].discard()
	}
	for k := range p.conns {
		if k.server == s && k.nc == nil && k.call != nil {
			out = append(out, k.call)
			k.call = nil
		}
	}
	return out
}

// kill takes a connection out and ends it both ways; p.mu is held. Its descriptor is closed by its reader, which wakes
// of this: to close it here would wait for the reader's step under way, which may wait for the lock that is held.
func (k *conn) discard() {
	if k.discarded {
		return
	}
	k.discarded = true
	k.leaveIdle()
	delete(k.pool.conns, k)
	k.pool.Conns.Add(-1)
	k.shutdown()
}

// shut ends a connection both ways at once and never waits.
func (k *conn) shutdown() {
	if k.raw != nil {
		k.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
}

// leave takes a connection out of those at rest; p.mu is held.
func (k *conn) leaveIdle() {
	if k.idleElem == nil {
		return
	}
	k.pool.idleConns.Remove(k.idleElem)
	k.idleElem = nil
	for i, o := range k.server.idle {
		if o == k {
			k.server.idle = append(k.server.idle[:i], k.server.idle[i+1:]...)
			break
		}
	}
}

// Send starts an attempt. It never blocks.
func (p *Pool) Send(c *upstream.Call) {
	p.mu.Lock()
	s := p.servers[c.Server]
	if s == nil || s.State != decide.Serving || p.closed {
		p.mu.Unlock()
		c.ConnectionLost()
		return
	}
	if c.Cancelled != nil && c.Cancelled() {
		p.mu.Unlock()
		c.Finish(upstream.Result{Outcome: decide.OutcomeNotDispatched})
		return
	}
	now := time.Since(p.startedAt)
	if k := s.takeIdle(min(p.idleEstimate.Limit(now), p.opts.IdleTimeout)); k != nil {
		p.idleEstimate.RecordUse(now, k.idleBefore)
		k.call, c.TransportState = c, k
		k.writeAttempt()
		p.mu.Unlock()
		return
	}
	if int(p.Conns.Load()) >= p.opts.MaxConns {
		f := p.idleConns.Front()
		if f == nil {
			p.mu.Unlock()
			p.ConnLimitReached.Add(1)
			c.ConnectionLost()
			return
		}
		f.Value.(*conn).discard()
	}
	k := &conn{pool: p, server: s, call: c}
	k.readFunc = k.readStep
	c.TransportState = k
	p.conns[k] = struct{}{}
	p.Conns.Add(1)
	p.Dials.Add(1)
	p.wg.Add(1)
	addr := s.Addr
	p.mu.Unlock()
	go k.run(addr)
}

// take takes a connection out of those at rest, the one most recently used whose last answer came long enough ago and that
// has rested for less than the limit; nil if there is none. p.mu is held.
func (s *server) takeIdle(limit time.Duration) *conn {
	now := time.Now()
	for i := len(s.idle) - 1; i >= 0; i-- {
		k := s.idle[i]
		if now.Sub(k.respondedAt) < reuseDelay {
			continue
		}
		k.idleBefore = now.Sub(k.idleSince)
		if k.idleBefore < limit && k.isUsable() {
			k.leaveIdle()
			return k
		}
		k.discard()
	}
	return nil
}

// fresh reports whether nothing came on a connection at rest: neither its end, which would lose the attempt, nor bytes
// that would be taken for its answer. p.mu is held, and reads take it, so that what was read is known too.
func (k *conn) isUsable() bool {
	if k.readWhileIdle {
		return false
	}
	unread, ended := socket.Peek(k.raw)
	if unread || ended {
		k.pool.StaleConns.Add(1)
	}
	return !unread && !ended
}

// start writes the attempt; p.mu is held. A socket's buffer takes it whole but for the largest bodies.
func (k *conn) writeAttempt() {
	c := k.call
	b := c.Params
	if c.BuildParams != nil {
		b = c.BuildParams()
	}
	n, err := socket.WriteNow(k.raw, b)
	if n == len(b) {
		c.MarkSent()
		return
	}
	if err != nil && !socket.IsTransient(err) {
		// The connection broke before the last byte was written: it never ran. Its reader ends the attempt.
		k.shutdown()
		return
	}
	k.writing = true
	k.pool.wg.Add(1)
	go k.writeRemainder(c, b[n:])
}

// writeRest writes what the socket's buffer did not take. Until its last byte the attempt can't have run.
func (k *conn) writeRemainder(c *upstream.Call, b []byte) {
	defer k.pool.wg.Done()
	defer func() { k.pool.mu.Lock(); k.writing = false; k.pool.mu.Unlock() }()
	if len(b) > 1 {
		if err := socket.WriteAll(k.nc, b[:len(b)-1], writeTimeout); err != nil {
			k.nc.Close()
			return
		}
	}
	if c.Cancelled != nil && c.Cancelled() {
		k.pool.mu.Lock()
		k.call = nil
		k.discard()
		k.pool.mu.Unlock()
		c.Finish(upstream.Result{Outcome: decide.OutcomeNotDispatched})
		return
	}
	if c.MarkSent() {
		if err := socket.WriteAll(k.nc, b[len(b)-1:], writeTimeout); err != nil {
			k.nc.Close()
		}
	}
}

// Abandon gives an attempt up and closes its connection at once.
func (p *Pool) Abandon(c *upstream.Call) upstream.AbandonResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	given := c.Abandon() // under the lock, so that it is never between the write of an attempt and the note of it
	if k, ok := c.TransportState.(*conn); ok && k.call == c {
		k.call = nil
		if k.nc != nil {
			k.discard()
		} // else it connects still and is good for another attempt
	}
	return given
}

// run connects and reads until the connection ends.
func (k *conn) run(addr string) {
	p := k.pool
	defer p.wg.Done()
	d := net.Dialer{Timeout: p.opts.DialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(p.ctx, "tcp", addr)
	p.mu.Lock()
	if err == nil {
		k.nc = nc.(*net.TCPConn)
		k.raw, err = k.nc.SyscallConn()
	}
	if err != nil || p.closed || k.server.State != decide.Serving {
		c := k.call
		k.call = nil
		k.discard()
		p.mu.Unlock()
		if k.nc != nil {
			k.nc.Close()
		}
		if err != nil {
			p.DialFailures.Add(1)
		}
		if c != nil {
			c.ConnectionLost()
		}
		return
	}
	k.reader = http1.NewReader(bufio.NewReaderSize(k, 4<<10), http1.Limits{MaxHeadBytes: 8 << 10, MaxBodyBytes: p.opts.MaxBodyBytes, ReserveBody: k.reserveBody})
	late := k.call
	switch {
	case k.call == nil:
		k.enterIdle()
	case k.call.Cancelled != nil && k.call.Cancelled(): // connecting took that long
		k.call = nil
		k.enterIdle()
	default:
		late = nil
		p.idleEstimate.RecordUse(time.Since(p.startedAt), 0)
		k.writeAttempt()
	}
	p.mu.Unlock()
	if late != nil {
		late.Finish(upstream.Result{Outcome: decide.OutcomeNotDispatched})
	}
	for k.readResponse() {
		p.bodyBytes.Add(-k.bodyBytes)
		k.bodyBytes = 0
	}
	p.bodyBytes.Add(-k.bodyBytes)
	k.nc.Close()
}

// room counts bytes of an answer in: servers whose answers never end must not take the process beyond its memory.
func (k *conn) reserveBody(n int) bool {
	if all := k.pool.bodyBytes.Add(int64(n)); k.pool.opts.MaxTotalBodyBytes > 0 && all > k.pool.opts.MaxTotalBodyBytes {
		k.pool.bodyBytes.Add(-int64(n))
		return false
	}
	k.bodyBytes += int64(n)
	return true
}

// Read reads from the socket. Each step holds the pool's lock, so that Send never takes a connection on which a byte
// was read that nobody has looked at yet.
func (k *conn) Read(b []byte) (int, error) {
	k.readBuf = b
	for {
		if err := k.raw.Read(k.readFunc); err != nil {
			return 0, err
		}
		if k.readErr != nil && socket.IsTransient(k.readErr) {
			time.Sleep(socket.RetryPause)
			continue
		}
		if k.readN == 0 && k.readErr == nil {
			return 0, io.EOF
		}
		return k.readN, k.readErr
	}
}

func (k *conn) readStep(fd uintptr) bool {
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	k.readN, k.readErr = socket.ReadNow(fd, k.readBuf)
	if k.readErr == syscall.EAGAIN {
		return false
	}
	if k.call == nil && !(k.readErr != nil && socket.IsTransient(k.readErr)) {
		k.readWhileIdle = true
	}
	return true
}

// answer takes one answer; false ends the connection.
func (k *conn) readResponse() bool {
	p := k.pool
	err := k.reader.Wait()
	p.mu.Lock()
	c := k.call
	if c == nil && err == nil {
		p.StaleConns.Add(1)
	}
	p.mu.Unlock()
	if c == nil || err != nil {
		k.fail(c)
		return false
	}
	k.responseBegun = true
	r, err := k.reader.ReadResponse()
	k.responseBegun = err != nil
	if err != nil {
		var spoilt *http1.Error
		if !errors.As(err, &spoilt) {
			k.fail(c) // it broke
			return false
		}
		p.MalformedResponses.Add(1)
		p.mu.Lock()
		k.call = nil
		k.discard()
		p.mu.Unlock()
		c.Finish(upstream.Result{Outcome: decide.OutcomeError})
		return false
	}
	res := p.parseResult(r)
	p.mu.Lock()
	mine := k.call == c
	k.call, k.respondedAt = nil, time.Now()
	// What came behind an answer belongs to none.
	keep := !r.Close && k.reader.Buffered() == 0 && !p.closed && k.server.State == decide.Serving && !k.discarded && !k.writing
	if keep {
		k.enterIdle()
	} else {
		k.discard()
	}
	p.mu.Unlock()
	if mine {
		c.Finish(res)
	}
	return keep
}

// settle puts the connection at rest; p.mu is held.
func (k *conn) enterIdle() {
	k.idleSince = time.Now()
	k.idleElem = k.pool.idleConns.PushBack(k)
	k.server.idle = append(k.server.idle, k)
}

// end ends a connection that broke, and what it carried.
func (k *conn) fail(c *upstream.Call) {
	k.pool.mu.Lock()
	if k.call == c {
		k.call = nil
		if c != nil && !k.responseBegun {
			k.pool.idleEstimate.RecordBreak(time.Since(k.pool.startedAt), k.idleBefore)
		}
	}
	k.discard()
	k.pool.mu.Unlock()
	if c != nil {
		c.ConnectionLost()
	}
}

// result reads an answer as an outcome. Figures on load and use that can't be read are left out, the answer counts.
func (p *Pool) parseResult(r *http1.Response) upstream.Result {
	var res upstream.Result
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
			res.ReportedUsage = 1 + int(u)
		}
	}
	if v, n := r.Get("X-Units-Charged"); n == 1 {
		if u, err := strconv.ParseFloat(v, 64); err == nil && u > 0 && (u <= p.opts.MaxUnits || p.opts.MaxUnits == 0 && u < 1<<31) {
			res.ActualUnits = u
		}
	}
	if v, n := r.Get("X-Pressure"); n == 1 {
		res.LoadReport = p.parseLoadReport(v)
	}
	return res
}

// report reads "inflight=7,queue=2"; one that can't be read in any part is left out whole.
func (p *Pool) parseLoadReport(v string) decide.LoadReport {
	out := decide.LoadReport{}
	for part := range strings.SplitSeq(v, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || !(x >= 0 && x < 1e12) || len(out) == 8 {
			return nil
		}
		if p.opts.LoadReportName != nil {
			name = p.opts.LoadReportName(name)
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
			s.idle[len(s.idle)-1].discard()
		}
	}
}

// sweep closes what has rested too long.
func (p *Pool) sweep() {
	defer p.wg.Done()
	t := time.NewTicker(max(p.opts.IdleTimeout/8, 10*time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case now := <-t.C:
			p.mu.Lock()
			for f := p.idleConns.Front(); f != nil && now.Sub(f.Value.(*conn).idleSince) >= p.opts.IdleTimeout; f = p.idleConns.Front() {
				f.Value.(*conn).discard()
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
	for k := range p.conns {
		k.shutdown()
	}
	p.mu.Unlock()
	p.wg.Wait()
}
