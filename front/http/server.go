// Package http is the gateway's front in HTTP/1.1: one goroutine a connection reads requests and makes calls of
// them; the loop itself writes an answer, without waiting, the moment it is final. It knows no quotas. Which
// connections stay when descriptors are few is decided by package connlimit.
//
// A connection ends by a half-close and a lingering close (RFC 9112, section 9.6): its writing side is shut, from then on
// nothing that comes is a request, what comes is read and dropped within bounds, then it is closed. To close with bytes
// unread would reset it, and the reset may overtake an answer.
package http

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/connlimit"
	"winghatch/front"
)

const (
	headMost   = 8 << 10
	bodyMost   = 1 << 20 // the protocol says 64 KiB, the days of long requests bring more
	lineMost   = 4 << 10 // size of a connection's buffer
	aheadMost  = 8 << 10 // of what comes behind an open request is kept
	lingerMost = 256 << 10
	lingerFor  = 300 * time.Millisecond // for a client to read what was written last, and to close
	lingerPart = 4                      // of the connections, one part may linger; beyond it they are closed at once
	writeFor   = 2 * time.Second        // for a client to take an answer that its socket's buffer did not
	sweepEvery = 200 * time.Millisecond
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
	core  front.Core
	clock func() time.Duration
	log   *slog.Logger
	ready func() bool

	// One lock guards what the server and its connections hold: a read, the choice of a connection to close and the
	// write of an answer are then never in the midst of each other. No system call under it waits.
	mu            sync.Mutex
	limit         *connlimit.Limiter
	conns         map[connlimit.ID]*conn
	ids           map[string]struct{} // X-Txn of open requests
	next          connlimit.ID
	lingering     int // connections that are shut and not closed yet
	lingeringMost int // as many at most
	bodies        int64
	bodyRoom      int64
	draining      bool // answers say that their connection ends
	stopping      bool // no request is taken any more
	closed        bool
	wg            sync.WaitGroup
	quit          chan struct{}
}

// New returns a front. ready tells whether the gateway can serve.
func New(rules *Rules, core front.Core, o Options, clock func() time.Duration, ready func() bool, log *slog.Logger) *Server {
	lingeringMost := max(1, o.Conns/lingerPart)
	return &Server{rules: rules, core: core, clock: clock, log: log, ready: ready, limit: connlimit.New(max(1, o.Conns-lingeringMost)),
		conns: map[connlimit.ID]*conn{}, ids: map[string]struct{}{}, lingeringMost: lingeringMost, bodyRoom: o.Bodies, quit: make(chan struct{})}
}

// Serve accepts until Close.
func (s *Server) Serve(ln net.Listener) {
	go s.sweep()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn("accept", "err", err) // EMFILE and the like: what is due frees descriptors
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.come(nc.(*net.TCPConn))
	}
}

func (s *Server) come(nc *net.TCPConn) {
	raw, err := nc.SyscallConn()
	if err != nil {
		nc.Close()
		return
	}
	s.mu.Lock()
	s.next++
	id := s.next
	out, closes, ok := s.limit.Accept(s.clock(), id)
	var old *conn
	if closes {
		s.Evicted.Add(1)
		if c := s.conns[out]; c.shut() {
			old = c
		}
	}
	if !ok || s.closed {
		s.limit.Closed(id)
		s.mu.Unlock()
		s.Full.Add(1)
		nc.Close()
		return
	}
	c := newConn(s, id, nc, raw)
	s.conns[id] = c
	s.wg.Add(1)
	s.mu.Unlock()
	if old != nil {
		old.nc.Close()
	}
	s.Opened.Add(1)
	s.Conns.Add(1)
	go c.run()
}

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
	var over []*conn
	s.mu.Lock()
	for _, id := range s.limit.Expired(now) {
		c := s.conns[id]
		if c.phase == idle && c.unread() {
			// Its next request has come in this moment: it keeps the seat that was just taken back.
			s.limit.Accept(now, id)
			continue
		}
		s.Closed.Add(1)
		if c.shut() {
			over = append(over, c)
		}
	}
	s.mu.Unlock()
	for _, c := range over {
		c.nc.Close()
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
	defer s.mu.Unlock()
	s.stopping = true
	for _, c := range s.conns {
		if c.phase == idle && !c.unread() || c.phase == reading && !c.begun && !c.unread() {
			c.shut()
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
