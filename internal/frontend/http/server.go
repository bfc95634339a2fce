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
	headMost    = 8 << 10
	bodyMost    = 1 << 20   // the protocol says 64 KiB, the days of long requests bring more
	lineMost    = 4 << 10   // size of a connection's buffer
	aheadMost   = 128 << 10 // of what comes behind an open request is kept
	dropMost    = 64 << 20  // of what comes behind that is read, to see the client's end
	lingerMost  = 256 << 10
	lookEvery   = 50 * time.Millisecond  // at a client whose bytes are not read on
	lingerFor   = 300 * time.Millisecond // for a client to read what was written last, and to close
	lingerPart  = 4                      // of the connections, one part is for those that linger alone
	writeFor    = 2 * time.Second        // for a client to take an answer that its socket's buffer did not, at least
	lateMost    = 500 * time.Millisecond // behind its time a request may still be answered
	acceptPause = 10 * time.Millisecond
	sweepEvery  = 200 * time.Millisecond
)

// Counts are what operators are told of the front.
type Counts struct {
	Conns, Opened, Closed, Evicted, Bad, Full, Requests atomic.Int64
}

// Options are the front's bounds.
type Options struct {
	Conns  int   // held at once, those that linger among them
	Bodies int64 // bytes of bodies held at once, over all connections; 0: any
}

// Server is the front. Make it with New.
type Server struct {
	Counts
	rules *Rules
	core  frontend.Core
	clock func() time.Duration
	log   *slog.Logger
	ready func() bool

	// One lock guards what the server and its connections hold: a read, the choice of a connection to close and the
	// write of an answer are then never in the midst of each other. No system call under it waits.
	mu        sync.Mutex
	limit     *connlimit.Limiter
	most      int // connections, those that linger among them
	conns     map[connlimit.ID]*conn
	ids       map[string]struct{} // X-Txn of open requests
	next      connlimit.ID
	lingering *list.List // connections that are shut and not closed yet, longest first
	cut       []*conn    // of those, the ones that release is to close
	bodies    int64
	bodyRoom  int64
	draining  bool // answers say that their connection ends
	stopping  bool // no request is taken any more
	closed    bool
	wg        sync.WaitGroup
	quit      chan struct{}
}

// New returns a front. ready tells whether the gateway can serve.
func New(rules *Rules, core frontend.Core, o Options, clock func() time.Duration, ready func() bool, log *slog.Logger) *Server {
	most := max(2, o.Conns)
	return &Server{rules: rules, core: core, clock: clock, log: log, ready: ready, limit: connlimit.New(most - max(1, most/lingerPart)),
		conns: map[connlimit.ID]*conn{}, ids: map[string]struct{}{}, most: most, lingering: list.New(), bodyRoom: o.Bodies, quit: make(chan struct{})}
}

// Serve accepts until the listener is closed, or its deadline has come and no connection waits to be accepted.
func (s *Server) Serve(ln *net.TCPListener) {
	go s.sweep()
	for {
		nc, err := ln.AcceptTCP()
		switch {
		case err == nil:
			s.come(nc)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if raw, err := ln.SyscallConn(); err != nil || !socket.Ready(raw) {
				return
			}
			ln.SetDeadline(time.Now().Add(acceptPause))
		default:
			s.log.Warn("accept", "err", err) // EMFILE and the like: what is due frees descriptors
			time.Sleep(acceptPause)
		}
	}
}

func (s *Server) come(nc *net.TCPConn) {
	raw, err := nc.SyscallConn()
	if err != nil {
		nc.Close()
		return
	}
	if !s.seat(nc, raw) {
		s.Full.Add(1)
		nc.Close()
		return
	}
}

// seat gives a new connection its place, if need be another's.
func (s *Server) seat(nc *net.TCPConn, raw syscall.RawConn) bool {
	s.mu.Lock()
	defer s.release()
	if s.closed {
		return false
	}
	s.next++
	id := s.next
	out, evicts, ok := s.limit.Accept(s.clock(), id, s.unread)
	if !ok {
		return false
	}
	if evicts {
		s.Evicted.Add(1)
		s.conns[out].turnAway(503, "too many connections")
	}
	s.cutLingering()
	c := newConn(s, id, nc, raw)
	s.conns[id] = c
	s.wg.Add(1)
	s.Opened.Add(1)
	s.Conns.Add(1)
	go c.run()
	return true
}

// unread reports whether bytes wait in a connection's socket; s.mu is held.
func (s *Server) unread(id connlimit.ID) bool { return s.conns[id].unread() }

// sweep shuts what is due.
func (s *Server) sweep() {
	t := time.NewTicker(sweepEvery)
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
	defer s.release()
	for _, id := range s.limit.Expired(now, s.unread) {
		s.Closed.Add(1)
		s.conns[id].turnAway(408, "the request was not whole in time")
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
	defer s.release()
	s.stopping = true
	for _, c := range s.conns {
		if (c.phase == idle || c.phase == reading && !c.begun) && !c.unread() {
			c.turnAway(503, "the gateway stops")
		}
	}
}

// TurnAway ends every connection that has no request open, also where one is half read: the process is about to end.
func (s *Server) TurnAway() {
	s.mu.Lock()
	defer s.release()
	for _, c := range s.conns {
		if c.phase != active {
			c.turnAway(503, "the gateway stops")
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
