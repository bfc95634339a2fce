package http

import (
	"errors"
	"net"
	"net/http"
	"os"
	"runtime"
	"syscall"
	"time"

	"winghatch/internal/frontend/connlimit"
	"winghatch/internal/socket"
)

const (
	// acceptRetryPause is the pause after a failed accept. It keeps a persistent error from using a whole
	// core.
	acceptRetryPause = 10 * time.Millisecond
	// minAcceptPause is the shortest pause between two connections. Several connections pay for one pause.
	minAcceptPause = 2 * time.Millisecond
	// acceptBatch is the number of new connections after which the readers of all run before more are accepted.
	// Otherwise connections that nobody has read yet would fill the room, and idle ones would be evicted.
	acceptBatch = 8
	// maxLeftTime is the longest time of accepting without a wait before the next connection whose client has left,
	// and leftPause the pause after it. Others wait for such a part at each step of a request. Connections whose
	// client is still there have the longer default, because their clients wait in the backlog too.
	maxLeftTime = 500 * time.Microsecond
	leftPause   = 500 * time.Microsecond
	// maxBacklogTime is the longest time for which connections are accepted after the listener's deadline.
	maxBacklogTime = 200 * time.Millisecond
	// floodTime is the time for which new connections count as a flood after they took more than their share.
	floodTime = time.Second
	// maxRefusedBytes limits the bytes read from a refused connection, so that refusing costs little. If more has
	// arrived, closing the connection resets it.
	maxRefusedBytes = 128 << 10
)

// Serve accepts connections until the listener is closed. After the listener's deadline has passed, it serves
// the connections that are still in the kernel's backlog, for maxBacklogTime at most, and then returns. It also
// starts the sweep for expired connections, which ends with Close.
func (s *Server) Serve(ln *net.TCPListener) {
	go s.sweep()
	a := acceptor{server: s, left: socket.BusyLimit{MaxBusyTime: maxLeftTime, Pause: leftPause}}
	for {
		nc, err := a.next(ln)
		switch {
		case err == nil:
			a.accept(nc)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if raw, err := ln.SyscallConn(); err != nil || !socket.HasPending(raw) {
				return
			}
			if !a.mayContinue() {
				return
			}
			// AcceptTCP accepts nothing after the deadline, so a pending connection needs a new deadline.
			ln.SetDeadline(time.Now().Add(acceptRetryPause))
		default:
			// With EMFILE, the process is out of descriptors. The sweep frees some by closing expired
			// connections.
			s.log.Warn("Accept failed, retrying", "err", err)
			time.Sleep(acceptRetryPause)
		}
	}
}

// acceptor is the state of Serve.
type acceptor struct {
	server    *Server
	busy      socket.BusyLimit // for connections whose client is still there
	left      socket.BusyLimit // for connections whose client has left
	batch     int              // connections started since the last yield to the readers
	endingAt  time.Duration    // time at which the listener's deadline was found to have passed
	isEnding  bool             // whether the listener's deadline has passed; connections are then no longer paced
	isFlooded bool             // whether new connections have taken more than their share in the last floodTime
	floodedAt time.Duration    // last time at which they took more than their share
}

// mayContinue reports whether connections are still accepted after the listener's deadline, which is the case for
// maxBacklogTime. Clients that connect again and again would otherwise keep the backlog from becoming empty, and the
// shutdown would wait for them.
func (a *acceptor) mayContinue() bool {
	now := a.server.clock()
	if !a.isEnding {
		a.isEnding, a.endingAt = true, now
	}
	return now-a.endingAt < maxBacklogTime
}

// next accepts the next connection.
func (a *acceptor) next(ln *net.TCPListener) (*net.TCPConn, error) {
	a.busy.BeginCall()
	a.left.BeginCall()
	nc, err := ln.AcceptTCP()
	a.busy.EndCall()
	a.left.EndCall()
	return nc, err
}

// accept starts a new connection, or closes it if there is no room or its client has already left. What such a
// client sent before is still answered, because it may await the answer on a half-closed connection. In a flood it
// is not: connections of clients that connect, send and leave without pause would delay the others.
func (a *acceptor) accept(nc *net.TCPConn) {
	s := a.server
	raw, err := nc.SyscallConn()
	if err != nil {
		nc.Close()
		return
	}
	if unread, ended := socket.Peek(raw); ended && (!unread || a.inFlood()) {
		s.Accepted.Add(1)
		nc.Close()
		a.left.PauseIfBusy()
		return
	}
	if !s.admit(nc, raw) {
		s.RefusedConns.Add(1)
		refuse(nc, raw)
	}
	a.yield()
	if !a.isEnding {
		a.pace()
	}
	a.busy.PauseIfBusy()
}

// yield lets the readers run after each acceptBatch connections.
func (a *acceptor) yield() {
	a.batch++
	if a.batch == acceptBatch {
		a.batch = 0
		runtime.Gosched()
	}
}

// inFlood reports whether new connections have taken more than their share in the last floodTime.
func (a *acceptor) inFlood() bool {
	a.isFlooded = a.isFlooded && a.server.clock()-a.floodedAt < floodTime
	return a.isFlooded
}

// pace pauses while new connections take more than their share. Their clients wait in the backlog of the listener
// meanwhile.
func (a *acceptor) pace() {
	s := a.server
	now := s.clock()
	wait := s.pacer.chargeAccept(now)
	if wait > 0 {
		a.isFlooded, a.floodedAt = true, now
	}
	if wait < minAcceptPause {
		return
	}
	time.Sleep(wait)
	end := s.clock()
	s.pacer.noteLag(end, end-now-wait)
	s.AcceptPauses.Add(1)
}

// refuse closes a new connection for which there is no room. If a request has already arrived on it, the client
// gets a response: a close over unread bytes would reset the connection, and the request would be lost.
func refuse(nc *net.TCPConn, raw syscall.RawConn) {
	defer nc.Close()
	var buf [readBufferBytes]byte
	arrived := 0
	for arrived < maxRefusedBytes {
		n := 0
		raw.Control(func(fd uintptr) { n, _ = socket.ReadNow(fd, buf[:]) })
		if n == 0 {
			break
		}
		arrived += n
	}
	if arrived > 0 {
		socket.WritePartsNow(raw, onePart(http.StatusServiceUnavailable, "", "too many connections\n", true))
	}
}

// admit registers a new connection and starts its reader. At the limit it evicts another connection. It
// returns false if no connection can be evicted or the server is closed.
//
// The reader of an evicted connection keeps its memory until it has run. Clients may connect faster than
// readers are scheduled, so admit waits while too many have not returned.
func (s *Server) admit(nc *net.TCPConn, raw syscall.RawConn) bool {
	s.mu.Lock()
	defer s.unlockAndClose()
	for len(s.conns) >= s.maxReaders && !s.closed {
		s.readerReturned.Wait()
	}
	if s.closed {
		return false
	}
	s.lastID++
	id := s.lastID
	if s.limit.IsFull() {
		s.evictPaused()
	}
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

// unread reports whether the socket of a connection holds unread bytes. The caller holds mu.
func (s *Server) unread(id connlimit.ID) bool { return s.conns[id].hasUnread() }
