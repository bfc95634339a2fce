// Package http sends attempts to servers over HTTP/1.1 and keeps the connections for it.
//
// A connection carries one attempt at a time. An attempt is written in one piece and never sent again by this
// package, as the server may not be able to recognise a repeat. Its outcome says what is known of it:
//
//   - OutcomeOK: a complete response with status 200.
//   - OutcomeRejected: the server marked the response as refused before execution.
//   - OutcomeConnectFailed: the last byte of the attempt was never written, so it did not run.
//   - OutcomeNotDispatched: its Cancelled function reported true before the last byte was written.
//   - OutcomeReset: the connection ended after the last byte was written and before the response was complete; the
//     attempt may have run.
//   - OutcomeError: any other response, and one that cannot be parsed.
//
// The package selects no server and retries nothing; package decide does.
//
// Files: pool.go has the servers and the limit on connections, conn.go the life of a connection, attempt.go one
// attempt on it, idle.go the idle connections, response.go the mapping of a response to an outcome.
package http

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/decide"
	"winghatch/internal/upstream"
	"winghatch/internal/upstream/idletimeout"
)

// Options are the limits of a Pool. They are read only after New.
type Options struct {
	// DialTimeout bounds how long a connection may take to come up. An attempt that waits for one ends as
	// OutcomeConnectFailed. Zero: no bound but the kernel's.
	DialTimeout time.Duration
	// MaxConns bounds the connections to all servers together, those that are being dialed included. At the bound the
	// connection that has been idle longest is closed for a new one; if none is idle, the attempt fails. Zero allows
	// none.
	MaxConns int
	// IdleTimeout is how long an idle connection is kept. It has to be shorter than the servers' own idle timeout: a
	// connection that both sides close at once may lose an attempt. A shorter timeout that is learned from breaks
	// (see package idletimeout) applies on top of it. Zero keeps none.
	IdleTimeout time.Duration
	// MaxBodyBytes bounds the body of one response. A longer one ends the attempt as OutcomeError. Zero allows empty
	// bodies only.
	MaxBodyBytes int
	// MaxTotalBodyBytes bounds the bodies of all responses that are being read. Zero: no bound.
	MaxTotalBodyBytes int64
	// MaxUnits is the most that a response may charge in quota units; a larger figure is ignored. Zero: any below
	// 2^31.
	MaxUnits float64
	// LoadReportName maps the name of a figure in a server's load report to the core's. Nil: names stay as received.
	LoadReportName func(name string) string
}

// Server is one incarnation of a server at an address. Connections belong to ID, address and incarnation together, so
// that a new server at an old address gets no connection of the former one.
type Server struct {
	ID          string
	Addr        string // host:port
	Incarnation int64  // differs between two starts of the same server
	State       decide.ServerState
}

// Counters are the pool's figures for operators. Conns is a gauge, the others only grow.
type Counters struct {
	Conns              atomic.Int64 // connections that are open or being dialed
	Dials              atomic.Int64 // connections that were begun
	DialFailures       atomic.Int64 // of those, not established
	MalformedResponses atomic.Int64 // responses that could not be parsed or were too large
	StaleConns         atomic.Int64 // idle connections with unexpected bytes, or found ended when an attempt needed one
	ConnLimitReached   atomic.Int64 // attempts that failed as MaxConns was reached and no connection was idle
}

// Pool holds the connections to all servers. Make one with New. It is safe for concurrent use.
//
// Lock order: no system call under mu waits. A connection's readStep takes mu inside the runtime's lock of its
// descriptor, so net.TCPConn.Close, which waits for that step, must never be called with mu held.
type Pool struct {
	Counters
	opts      Options
	startedAt time.Time

	mu           sync.Mutex
	servers      map[string]*server // by Server.ID
	conns        map[*conn]struct{} // all that are not discarded, those of servers that were removed included
	idleConns    *list.List         // of *conn, the longest idle first
	idleEstimate idletimeout.Estimator
	closed       bool

	bodyBytes atomic.Int64 // of responses that are being read

	// wg counts the sweep, and for each connection its reader and the writer of a remainder; Close waits for them.
	wg   sync.WaitGroup
	ctx  context.Context
	stop context.CancelFunc
}

// server is a Server with its idle connections; Pool.mu guards it.
type server struct {
	Server
	idle []*conn // the most recently used last
}

// New returns an empty pool and starts its sweep of idle connections, which runs until Close.
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

// Update takes changed entries of the endpoint list; full says that it is the complete list, so that servers it
// does not name are removed. It has to be called before the loop learns of the same change: from its return on, nothing
// is written to a server that is not serving. Attempts that still wait for a connection to such a server end as
// OutcomeConnectFailed, and its idle connections are closed; attempts already written go on.
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

// updateServer applies one entry and returns the attempts that end by it; Pool.mu is held.
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

// removeServer forgets a server and returns the attempts that end by it; attempts already written go on. Pool.mu is
// held.
func (p *Pool) removeServer(s *server) (ended []*upstream.Call) {
	s.State = decide.Removed
	if p.servers[s.ID] == s {
		delete(p.servers, s.ID)
	}
	return p.quiesce(s)
}

// quiesce closes a server's idle connections and takes the attempts off connections that are being dialed. It returns
// those attempts, which were not written; Pool.mu is held.
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

// Close ends all connections and waits for the pool's goroutines. Attempts that are under way end as when their
// connection breaks, later ones as OutcomeConnectFailed.
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
