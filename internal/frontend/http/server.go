// Package http is the gateway's front in HTTP/1.1: one goroutine a connection reads requests and makes calls of
// them; the loop itself writes an answer, without waiting, the moment it is final. It knows no quotas. Which
// connections stay when descriptors are few is decided by package connlimit.
//
// A connection ends by a half-close and a lingering close (RFC 9112, section 9.6): its writing side is shut, from then on
// nothing that comes is a request, what comes is read and dropped within bounds, then it is closed. To close with bytes
// unread would reset it, and the reset may overtake an answer.
package http

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"winghatch/internal/frontend"
	"winghatch/internal/frontend/connlimit"
	"winghatch/internal/socket"
)

const (
	maxHeadBytes      = 8 << 10
	maxBodyBytes      = 1 << 20   // the protocol says 64 KiB, the days of long requests bring more
	readBufferBytes   = 4 << 10   // size of a connection's buffer
	maxPipelinedBytes = 128 << 10 // of what comes behind an open request is kept
	maxDroppedBytes   = 64 << 20  // of what comes behind that is read, to see the client's end
	maxLingerBytes    = 256 << 10
	peekInterval      = 50 * time.Millisecond  // at a client whose bytes are not read on
	lingerTimeout     = 300 * time.Millisecond // for a client to read what was written last, and to close
	lingerDivisor     = 4                      // of the connections, one part is for those that linger alone
	writeTimeout      = 2 * time.Second        // for a client to take an answer that its socket's buffer did not, at least
	responseGrace     = 500 * time.Millisecond // behind its time a request may still be answered
	acceptRetryPause  = 10 * time.Millisecond
	sweepInterval     = 200 * time.Millisecond
)

// Counts are what operators are told of the front.
type Counters struct {
	Conns, Accepted, TimedOut, Evicted, BadRequests, RefusedConns, Requests atomic.Int64
}

// Options are the front's bounds.
type Options struct {
	MaxConns     int   // held at once, those that linger among them
	MaxBodyBytes int64 // bytes of bodies held at once, over all connections; 0: any
}

// Server is the front. Make it with New.
type Server struct {
	Counters
	rules *Rules
	core  frontend.Core
	clock func() time.Duration
	log   *slog.Logger
	ready func() bool

	// One lock guards what the server and its connections hold: a read, the choice of a connection to close and the
	// write of an answer are then never in the midst of each other. No system call under it waits.
	mu           sync.Mutex
	limit        *connlimit.Limiter
	maxConns     int // connections, those that linger among them
	conns        map[connlimit.ID]*conn
	openTxns     map[string]struct{} // X-Txn of open requests
	lastID       connlimit.ID
	lingering    *list.List // connections that are shut and not closed yet, longest first
	toClose      []*conn    // of those, the ones that release is to close
	bodyBytes    int64
	maxBodyBytes int64
	draining     bool // answers say that their connection ends
	stopping     bool // no request is taken any more
	closed       bool
	wg           sync.WaitGroup
	quit         chan struct{}
}

// New returns a front. ready tells whether the gateway can serve.
func New(rules *Rules, core frontend.Core, o Options, clock func() time.Duration, ready func() bool, log *slog.Logger) *Server {
	most := max(2, o.MaxConns)
	return &Server{rules: rules, core: core, clock: clock, log: log, ready: ready, limit: connlimit.New(most - max(1, most/lingerDivisor)),
		conns: map[connlimit.ID]*conn{}, openTxns: map[string]struct{}{}, maxConns: most, lingering: list.New(), maxBodyBytes: o.MaxBodyBytes, quit: make(chan struct{})}
}

// Serve accepts until the listener is closed, or its deadline has come and no connection waits to be accepted.
func (s *Server) Serve(ln *net.TCPListener) {
	go s.sweep()
	for {
		nc, err := ln.AcceptTCP()
		switch {
		case err == nil:
			s.accept(nc)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if raw, err := ln.SyscallConn(); err != nil || !socket.HasPending(raw) {
				return
			}
			ln.SetDeadline(time.Now().Add(acceptRetryPause))
		default:
			s.log.Warn("accept", "err", err) // EMFILE and the like: what is due frees descriptors
			time.Sleep(acceptRetryPause)
		}
	}
}

func (s *Server) accept(nc *net.TCPConn) {
	raw, err := nc.SyscallConn()
	if err != nil {
		nc.Close()
		return
	}
	if !s.admit(nc, raw) {
		s.RefusedConns.Add(1)
		nc.Close()
		return
	}
}

// seat gives a new connection its place, if need be another's.
func (s *Server) admit(nc *net.TCPConn, raw syscall.RawConn) bool {
	s.mu.Lock()
	defer s.unlockAndClose()
	if s.closed {
		return false
	}
	s.lastID++
	id := s.lastID
	out, evicts, ok := s.limit.Accept(s.clock(), id, s.unread)
	if !ok {
		return false
	}
	if evicts {
		s.Evicted.Add(1)
		s.conns[out].closeInactive(503, "too many connections")
	}
	s.evictLingering()
	c := newConn(s, id, nc, raw)
	s.conns[id] = c
	s.wg.Add(1)
	s.Accepted.Add(1)
	s.Conns.Add(1)
	go c.run()
	return true
}

// unread reports whether bytes wait in a connection's socket; s.mu is held.
func (s *Server) unread(id connlimit.ID) bool { return s.conns[id].hasUnread() }

// sweep shuts what is due.
func (s *Server) sweep() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-t.C:
		}
		s.closeExpired(s.clock())
	}
}

// closeExpired shuts the connections whose time is up.
func (s *Server) closeExpired(now time.Duration) {
	s.mu.Lock()
	defer s.unlockAndClose()
	for _, id := range s.limit.Expired(now, s.unread) {
		s.TimedOut.Add(1)
		s.conns[id].closeInactive(408, "the request was not whole in time")
	}
}

// Drain says on every further answer that its connection ends with it.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// StopAccepting ends what rests and takes no further request: one whose bytes had begun to come is refused, so that it has an
// answer before the process ends, and one that comes later finds its connection shut.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.unlockAndClose()
	s.stopping = true
	for _, c := range s.conns {
		if (c.phase == idle || c.phase == reading && !c.requestBegun) && !c.hasUnread() {
			c.closeInactive(503, "the gateway stops")
		}
	}
}

// TurnAway ends every connection that has no request open, also where one is half read: the process is about to end.
func (s *Server) CloseInactive() {
	s.mu.Lock()
	defer s.unlockAndClose()
	for _, c := range s.conns {
		if c.phase != active {
			c.closeInactive(503, "the gateway stops")
		}
	}
}

// Close ends all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.quit)
	}
	for _, c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
