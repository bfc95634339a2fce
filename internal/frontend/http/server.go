// Package http is the frontend in HTTP/1.1. One goroutine a connection reads requests and submits them to the core;
// the loop itself writes a response, without waiting, as soon as it is final. The package knows no quotas. Which
// connections stay when descriptors run short is decided by package connlimit.
//
// The gateway ends a client's connection by a half-close and a lingering close (RFC 9112, section 9.6): it shuts its
// writing side, from then on takes no request, reads and drops what still arrives within bounds, and closes. A close
// over unread bytes would reset the connection, and the reset may overtake a response.
//
// Files: server.go accepts connections and stops, conn.go has the life of a connection, read.go reads of its socket,
// pipeline.go bytes that come while a request is open, close.go the end, request.go the check of a request,
// response.go the writing of a response.
package http

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"net/http"
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
	acceptRetryPause = 10 * time.Millisecond // after an accept that failed, so that a lasting error takes no core
	sweepInterval    = 200 * time.Millisecond
	// lingerDivisor is the inverse of the part of Options.MaxConns that is kept for lingering connections.
	lingerDivisor = 4
)

// reasonStopping is the text for a client whose request arrives while the gateway stops.
const reasonStopping = "the gateway stops"

// Options are the limits of a Server.
type Options struct {
	// MaxConns bounds the connections held at once. A quarter of them, one at least, is left to connections that
	// linger after their half-close; the others are evicted in the order of package connlimit. Less than 2 counts as
	// 2.
	MaxConns int
	// MaxBodyBytes bounds the request bodies and pipelined bytes held at once, over all connections. A request
	// without room is refused with 503. Zero: no bound.
	MaxBodyBytes int64
}

// Counters are the frontend's figures for operators. Conns is a gauge, the others only grow.
type Counters struct {
	Conns        atomic.Int64 // connections held, lingering ones included
	Accepted     atomic.Int64 // connections
	TimedOut     atomic.Int64 // connections ended by a request or idle timeout
	Evicted      atomic.Int64 // connections ended to make room for a new one
	RefusedConns atomic.Int64 // new connections closed as none could be evicted
	BadRequests  atomic.Int64 // requests refused before the core had them
	Requests     atomic.Int64 // requests submitted to the core
}

// Server is the frontend. Make it with New, start it with Serve; stop it with Drain, StopAccepting, CloseInactive and
// Close, in this order.
type Server struct {
	Counters
	rules    *Rules
	core     frontend.Core
	clock    func() time.Duration
	log      *slog.Logger
	ready    func() bool
	maxConns int

	// mu guards the fields from here on, and those of connections that say so. One lock for all makes a read, the
	// choice of a connection to close and the write of a response exclude each other: else a request could be read
	// between the look at its connection and the connection's end, and be lost. No system call under it waits.
	mu           sync.Mutex
	limit        *connlimit.Limiter // of connections that do not linger
	conns        map[connlimit.ID]*conn
	openTxns     map[string]struct{} // X-Txn of open requests
	lastID       connlimit.ID
	lingering    *list.List // of *conn; those that are half-closed and not closed yet, the longest first
	toClose      []*conn    // connections that unlockAndClose is to close
	bodyBytes    int64      // held: bodies of open requests and pipelined bytes
	maxBodyBytes int64      // 0: no bound
	draining     bool       // responses end their connections
	stopping     bool       // no request is taken any more
	closed       bool

	wg   sync.WaitGroup // a connection's reader, and the writer of a remainder
	quit chan struct{}  // closed by Close; ends the sweep
}

// New returns a server. clock is the gateway's monotonic clock; ready reports whether the gateway can serve, for the
// health check.
func New(rules *Rules, core frontend.Core, o Options, clock func() time.Duration, ready func() bool,
	log *slog.Logger) *Server {
	maxConns := max(2, o.MaxConns)
	return &Server{
		rules:        rules,
		core:         core,
		clock:        clock,
		log:          log,
		ready:        ready,
		maxConns:     maxConns,
		limit:        connlimit.New(maxConns - max(1, maxConns/lingerDivisor)),
		conns:        map[connlimit.ID]*conn{},
		openTxns:     map[string]struct{}{},
		lingering:    list.New(),
		maxBodyBytes: o.MaxBodyBytes,
		quit:         make(chan struct{}),
	}
}

// Serve accepts connections until the listener is closed. It also returns once the listener's deadline has passed and
// its backlog is empty, so that what the kernel has accepted by then is served. The sweep that it starts ends with
// Close.
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
			s.log.Warn("Accept failed, retrying", "err", err) // such as EMFILE; the sweep frees descriptors
			time.Sleep(acceptRetryPause)
		}
	}
}

// accept takes a new connection, or closes it if there is no room.
func (s *Server) accept(nc *net.TCPConn) {
	raw, err := nc.SyscallConn()
	if err != nil {
		nc.Close()
		return
	}
	if !s.admit(nc, raw) {
		s.RefusedConns.Add(1)
		nc.Close()
	}
}

// admit registers a new connection and starts its reader. At the limit another connection is evicted for it; false:
// none may be.
func (s *Server) admit(nc *net.TCPConn, raw syscall.RawConn) bool {
	s.mu.Lock()
	defer s.unlockAndClose()
	if s.closed {
		return false
	}
	s.lastID++
	id := s.lastID
	evicted, evicts, ok := s.limit.Accept(s.clock(), id, s.unread)
	if !ok {
		return false
	}
	if evicts {
		s.Evicted.Add(1)
		s.conns[evicted].closeInactive(http.StatusServiceUnavailable, "too many connections")
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

// unread reports whether a connection's socket holds unread bytes; Server.mu is held.
func (s *Server) unread(id connlimit.ID) bool { return s.conns[id].hasUnread() }

// hasBodyRoom reports whether n more bytes may be held; Server.mu is held.
func (s *Server) hasBodyRoom(n int) bool {
	return s.maxBodyBytes == 0 || s.bodyBytes+int64(n) <= s.maxBodyBytes
}

// sweep ends connections whose timeout has passed, until Close.
func (s *Server) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-ticker.C:
		}
		s.closeExpired(s.clock())
	}
}

func (s *Server) closeExpired(now time.Duration) {
	s.mu.Lock()
	defer s.unlockAndClose()
	for _, id := range s.limit.Expired(now, s.unread) {
		s.TimedOut.Add(1)
		s.conns[id].closeInactive(http.StatusRequestTimeout, "the request was not whole in time")
	}
}

// Drain makes every further response say that its connection ends with it.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// StopAccepting ends idle connections and takes no further request. A request of which a byte was read is refused, so
// that it has a response before the process ends; one that arrives later finds its connection half-closed.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.unlockAndClose()
	s.stopping = true
	for _, c := range s.conns {
		waiting := c.phase == idle || c.phase == reading && !c.requestBegun
		if waiting && !c.hasUnread() {
			c.closeInactive(http.StatusServiceUnavailable, reasonStopping)
		}
	}
}

// CloseInactive ends every connection without an open request, also where one is half read: the process is about to
// end.
func (s *Server) CloseInactive() {
	s.mu.Lock()
	defer s.unlockAndClose()
	for _, c := range s.conns {
		if c.phase != active {
			c.closeInactive(http.StatusServiceUnavailable, reasonStopping)
		}
	}
}

// Close ends all connections at once and waits for their goroutines.
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
