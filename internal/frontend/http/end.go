package http

import (
	"io"
	"syscall"
	"time"

	"winghatch/internal/socket"
)

// turnAway ends a connection without an open request: with an answer where a byte of one has come, as its last byte may be
// on the way, else without. s.mu is held.
func (c *conn) closeInactive(status int, why string) {
	if c.phase == closing {
		return
	}
	asks := c.phase == reading && (c.requestBegun || c.hasUnread())
	c.setPhase(closing)
	if !asks {
		c.halfClose()
		return
	}
	c.writeResponse(appendResponse(nil, status, "", why+"\n", true), c.halfClose)
}

// halfClose shuts the writing side behind what was written; the reader drops what still comes, and closes. s.mu is held.
func (c *conn) halfClose() {
	if c.writeShut {
		return
	}
	c.writeShut = true
	c.setPhase(closing)
	s := c.server
	c.lingerElem = s.lingering.PushBack(c)
	s.evictLingering()
	c.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// cutLingering keeps the connections within their number: those that have lingered longest are cut, and release closes them.
// s.mu is held.
func (s *Server) evictLingering() {
	for s.lingering.Len() > 0 && s.lingering.Len()+s.limit.Len() > s.maxConns {
		eldest := s.lingering.Front().Value.(*conn)
		eldest.stopLingering()
		eldest.abort()
		s.toClose = append(s.toClose, eldest)
	}
}

// lingersNoMore takes a connection out of those that linger; s.mu is held.
func (c *conn) stopLingering() {
	if c.lingerElem != nil {
		c.server.lingering.Remove(c.lingerElem)
		c.lingerElem = nil
	}
}

// abort ends a connection both ways. It is left to the reader, or to release, to close it; s.mu is held.
func (c *conn) abort() {
	c.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
}

// end forgets the connection. An open request's client has gone with it; the core gives it no final answer, so that
// its X-Txn is freed here.
func (c *conn) finish() {
	s := c.server
	s.mu.Lock()
	open, txn := c.requestID, c.txn
	c.clientGone, c.requestID = c.clientGone || open != "", ""
	if txn != "" {
		delete(s.openTxns, txn)
	}
	s.mu.Unlock()
	if open != "" {
		s.core.Disconnected(open)
	}
	c.pendingWrites.Wait()
	s.mu.Lock()
	if !c.clientGone {
		c.halfClose()
	}
	lingers := c.lingerElem != nil && !c.clientGone && !s.closed
	s.unlockAndClose()
	if lingers {
		io.CopyN(io.Discard, c, maxLingerBytes) // to its end, the deadline or the bound
	}
	c.nc.Close()
	s.mu.Lock()
	delete(s.conns, c.id)
	s.limit.Remove(c.id)
	c.stopLingering()
	s.bodyBytes -= c.bodyBytes + int64(c.pipelinedBytes)
	c.bodyBytes, c.pipelinedBytes = 0, 0
	s.mu.Unlock()
	s.Conns.Add(-1)
}

// release unlocks s.mu and closes the connections that were cut meanwhile. Close waits for a reader's step, which may wait
// for the lock.
func (s *Server) unlockAndClose() {
	cut := s.toClose
	s.toClose = nil
	s.mu.Unlock()
	for _, c := range cut {
		c.nc.Close()
	}
}

// write writes an answer without waiting and calls then, under the lock, once it is written or can't be. What the socket's
// buffer does not take has a bounded time of a goroutine of its own. s.mu is held.
func (c *conn) writeResponse(b []byte, then func()) {
	n, err := socket.WriteNow(c.raw, b)
	if n == len(b) || err != nil && !socket.IsTransient(err) {
		if n < len(b) {
			c.lastResponse = true // it broke
		}
		then()
		return
	}
	c.server.wg.Add(1)
	c.pendingWrites.Add(1)
	// An answer is owed until its request's time, and lateMost, are over.
	go c.writeRemainder(b[n:], max(writeTimeout, c.deadline+responseGrace-c.server.clock()), then)
}

func (c *conn) writeRemainder(b []byte, within time.Duration, then func()) {
	defer c.server.wg.Done()
	defer c.pendingWrites.Done()
	err := socket.WriteAll(c.nc, b, within)
	c.server.mu.Lock()
	defer c.server.unlockAndClose()
	if err != nil {
		c.abort()
	}
	then()
}

// tell writes for the connection's own goroutine, which may wait for room.
func (c *conn) writeInterim(b []byte) {
	c.server.mu.Lock()
	closing := c.phase == closing
	c.server.mu.Unlock()
	if !closing {
		socket.WriteAll(c.nc, b, writeTimeout)
	}
}
