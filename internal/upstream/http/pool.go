// Package http implements a pool of HTTP/1.1 connections that sends attempts to servers.
//
// A connection carries one attempt at a time. The package never sends an attempt again, because the server
// may be unable to recognise a repetition. The outcome of an attempt states whether it may have run:
//
//   - OutcomeOK: a complete response with status 200 was received.
//   - OutcomeRejected: the server marked the response as rejected before execution.
//   - OutcomeConnectFailed: the last byte of the attempt was never written, so the attempt did not run.
//   - OutcomeNotDispatched: the attempt was cancelled before its last byte was written.
//   - OutcomeReset: the connection ended after the last byte was written and before the response was
//     complete, so the attempt may have run.
//   - OutcomeError: any other response was received, or one that cannot be parsed.
//
// The package does not select servers and does not retry attempts; package decide does both.
//
// The pool, its servers and the limit on connections are in pool.go, the life cycle of a connection in
// conn.go, the sending of an attempt in attempt.go, the idle connections in idle.go, and the mapping of a
// response to an outcome in response.go.
package http

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/decide"
	"winghatch/internal/memory"
	"winghatch/internal/upstream"
	"winghatch/internal/upstream/idletimeout"
)

// Options configure a Pool. They must not change after the call of New.
type Options struct {
	// DialTimeout limits the time in which a connection has to be established. When it passes, the attempt
	// that waits for the connection ends with OutcomeConnectFailed. Zero means that only the limit of the
	// operating system applies.
	DialTimeout time.Duration
	// MaxConns limits the number of connections to all servers together, including those that are being
	// dialed. At the limit, the connection that has been idle longest is closed in favour of a new one; if
	// none is idle, the attempt fails with OutcomeConnectFailed. Zero allows no connections.
	MaxConns int
	// IdleTimeout is the time after which an idle connection is closed. It has to be shorter than the idle
	// timeout of the servers, because an attempt can be lost on a connection that both sides close at the
	// same time. If package idletimeout has learned a shorter limit from broken connections, that limit
	// applies. Zero means that idle connections are not reused.
	IdleTimeout time.Duration
	// MaxBodyBytes limits the length of a response body. An attempt with a longer response ends with
	// OutcomeError. Zero allows only empty bodies.
	MaxBodyBytes int
	// Memory limits the memory of the bodies of all responses, until whoever takes a result releases it. An
	// attempt whose response would exceed it ends with OutcomeError. Nil means no limit.
	Memory *memory.Account
	// MaxUnits is the highest charge in quota units that a response may report; a higher one is ignored. Zero
	// allows any charge below 2^31.
	MaxUnits float64
	// LoadReportName maps the name of a figure in a server's load report to the name that the core uses. Nil
	// means that names are kept as received.
	LoadReportName func(name string) string
}

// Server describes one incarnation of a server at an address. A connection belongs to one combination of ID,
// address and incarnation, so that a new server at a known address does not get connections to the previous
// one.
type Server struct {
	ID          string
	Addr        string // host:port
	Incarnation int64  // differs between two starts of the same server
	State       decide.ServerState
}

// Counters are the pool's figures for operators. Conns is a gauge; all others only grow.
type Counters struct {
	Conns              atomic.Int64 // connections that are open or being dialed
	Dials              atomic.Int64 // connections whose dialing was started
	DialFailures       atomic.Int64 // connections that could not be established
	MalformedResponses atomic.Int64 // responses that could not be parsed or were too large
	// StaleConns counts idle connections on which unexpected bytes arrived or which had ended when an attempt
	// needed them.
	StaleConns       atomic.Int64
	ConnLimitReached atomic.Int64 // attempts that failed because of MaxConns with no idle connection to close
}

// Pool holds the connections to all servers. Create it with New. It is safe for concurrent use.
//
// System calls that are made with mu held must not wait. In particular, net.TCPConn.Close must never be
// called with mu held: it waits for a read that is in progress, and the socket.Reader of a connection
// acquires mu during each read.
type Pool struct {
	Counters
	opts      Options
	startedAt time.Time

	mu           sync.Mutex
	servers      map[string]*server // keyed by Server.ID
	conns        map[*conn]struct{} // connections that are not discarded, including those to removed servers
	idleConns    *list.List         // of *conn, ordered by idleSince with the oldest first
	idleEstimate idletimeout.Estimator
	closed       bool

	// wg counts the goroutines of the pool, for which Close waits: the sweep, the reader of each connection,
	// and each writeRemainder.
	wg   sync.WaitGroup
	ctx  context.Context
	stop context.CancelFunc
}

// server is a Server with its idle connections. Pool.mu guards it.
type server struct {
	Server
	idle []*conn // ordered by last use with the most recent one last
}

// New returns a pool without servers and starts the goroutine that closes expired idle connections. Close
// stops it.
func New(o Options) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{
		opts:      o,
		startedAt: time.Now(),
		servers:   map[string]*server{},
		conns:     map[*conn]struct{}{},
		idleConns: list.New(),
		ctx:       ctx,
		stop:      stop,
	}
	p.wg.Add(1)
	go p.sweep()
	return p
}

// Update applies changed entries of the endpoint list. If full is true, servers is the complete list, and
// servers that are missing from it are removed. After Update returns, no attempt is written to a server that
// is not serving, so it must be called before the event loop processes the same change. For such a server,
// attempts that wait for a connection end with OutcomeConnectFailed and idle connections are closed; attempts
// that were already written continue.
func (p *Pool) Update(servers []Server, full bool) {
	var ended []*upstream.Call
	named := map[string]bool{}
	p.mu.Lock()
	for _, entry := range servers {
		named[entry.ID] = true
		ended = append(ended, p.updateServer(entry)...)
	}
	if full {
		for id, s := range p.servers {
			if !named[id] {
				ended = append(ended, p.removeServer(s)...)
			}
		}
	}
	p.mu.Unlock()
	for _, call := range ended {
		call.ConnectionLost()
	}
}

// updateServer applies one entry of the endpoint list. It returns the attempts that the caller has to end
// after unlocking Pool.mu, which it holds during the call.
func (p *Pool) updateServer(entry Server) (ended []*upstream.Call) {
	s := p.servers[entry.ID]
	if s != nil && (s.Addr != entry.Addr || s.Incarnation != entry.Incarnation) {
		ended = p.removeServer(s)
		s = nil
	}
	if s == nil {
		if entry.State == decide.Removed {
			return ended
		}
		s = &server{}
		p.servers[entry.ID] = s
	}
	s.Server = entry
	if entry.State != decide.Serving {
		ended = append(ended, p.quiesce(s)...)
	}
	if entry.State == decide.Removed {
		delete(p.servers, entry.ID)
	}
	return ended
}

// removeServer removes a server. Attempts that were already written to it continue; the others are returned
// for the caller to end after unlocking Pool.mu, which it holds during the call.
func (p *Pool) removeServer(s *server) (ended []*upstream.Call) {
	s.State = decide.Removed
	if p.servers[s.ID] == s {
		delete(p.servers, s.ID)
	}
	return p.quiesce(s)
}

// quiesce closes the idle connections to a server and detaches the attempts from connections that are being
// dialed. These attempts were not written; they are returned for the caller to end after unlocking Pool.mu,
// which it holds during the call.
func (p *Pool) quiesce(s *server) (ended []*upstream.Call) {
	s.closeIdle()
	for c := range p.conns {
		if c.server == s && c.nc == nil && c.call != nil {
			ended = append(ended, c.call)
			c.call = nil
		}
	}
	return ended
}

// Close shuts down all connections and waits for the goroutines of the pool to return. Attempts in progress
// end with OutcomeReset if they may have run, and with OutcomeConnectFailed if not. Later calls of Send end
// with OutcomeConnectFailed.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.shutdown()
	}
	p.mu.Unlock()
	p.wg.Wait()
}
