package http

import (
	"io"
	"syscall"
	"time"
)

const (
	lingerTimeout  = 300 * time.Millisecond // for a client to read the last response and close
	maxLingerBytes = 256 << 10              // read and dropped meanwhile
)

// closeInactive ends a connection without an open request. Where a byte of a request has arrived, the client gets a
// response: the request's last byte may be on its way, and a request that ends without one counts as lost. s.mu is
// held.
func (c *conn) closeInactive(status int, reason string) {
	if c.phase == closing {
		return
	}
	requesting := c.phase == reading && (c.requestBegun || c.hasUnread())
	c.setPhase(closing)
	if !requesting {
		c.halfClose()
		return
	}
	c.writeResponse(appendResponse(nil, status, "", reason+"\n", true), c.halfClose)
}

// halfClose shuts the writing side after what was written. The reader drops what still arrives, and closes. s.mu is
// held.
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

// evictLingering ends the connections that have lingered longest until the total is within maxConns; unlockAndClose
// closes them. Server.mu is held.
func (s *Server) evictLingering() {
	for s.lingering.Len() > 0 && s.lingering.Len()+s.limit.Len() > s.maxConns {
		longest := s.lingering.Front().Value.(*conn)
		longest.stopLingering()
		longest.abort()
		s.toClose = append(s.toClose, longest)
	}
}

// stopLingering takes a connection out of the lingering ones, if it is one; Server.mu is held.
func (c *conn) stopLingering() {
	if c.lingerElem != nil {
		c.server.lingering.Remove(c.lingerElem)
		c.lingerElem = nil
	}
}

// abort ends a connection in both directions. The reader, or unlockAndClose, closes it; Server.mu is held.
func (c *conn) abort() {
	c.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
}

// unlockAndClose unlocks s.mu and then closes the connections that were evicted meanwhile. A Close with the lock held
// would wait for a reader's step under way, which may itself wait for the lock: a deadlock.
func (s *Server) unlockAndClose() {
	toClose := s.toClose
	s.toClose = nil
	s.mu.Unlock()
	for _, c := range toClose {
		c.nc.Close()
	}
}

// finish ends a connection that reads no more requests: it waits for responses that are being written, half-closes,
// lingers and closes.
func (c *conn) finish() {
	s := c.server
	c.disconnect()
	c.pendingWrites.Wait()
	s.mu.Lock()
	if !c.clientGone {
		c.halfClose()
	}
	lingers := c.lingerElem != nil && !c.clientGone && !s.closed
	s.unlockAndClose()
	if lingers {
		// Up to the client's close, the read deadline or the bound.
		io.CopyN(io.Discard, c, maxLingerBytes)
	}
	c.nc.Close()
	c.unregister()
}

// disconnect reports to the core that the open request's client has gone, if one is open. The core gives it no
// response, so its X-Txn is released here.
func (c *conn) disconnect() {
	s := c.server
	s.mu.Lock()
	requestID, txn := c.requestID, c.txn
	c.clientGone = c.clientGone || requestID != ""
	c.requestID = ""
	if txn != "" {
		delete(s.openTxns, txn)
	}
	s.mu.Unlock()
	if requestID != "" {
		s.core.Disconnected(requestID)
	}
}

// unregister releases what a closed connection held.
func (c *conn) unregister() {
	s := c.server
	s.mu.Lock()
	delete(s.conns, c.id)
	s.limit.Remove(c.id)
	c.stopLingering()
	s.bodyBytes -= c.bodyBytes + int64(c.pipeline.bytes)
	c.bodyBytes, c.pipeline.bytes = 0, 0
	s.mu.Unlock()
	s.Conns.Add(-1)
}
