package http

import (
	"syscall"
	"time"
)

const (
	lingerTimeout   = 300 * time.Millisecond // time for the client to read the last response and close
	maxLingerBytes  = 256 << 10              // largest number of bytes read and dropped during lingerTimeout
	lingerReadPause = 4 * time.Millisecond   // pause after each full buffer, as the client may send without pause
)

// closeInactive ends a connection without an open request. If a byte of a request has arrived, it first
// writes a response with the given status and reason: the last byte of the request may be in transit, and a
// request that ends without a response counts as lost. The caller holds Server.mu.
func (c *conn) closeInactive(status int, reason string) {
	if c.phase == closing {
		return
	}
	hasRequestBytes := c.phase == reading && c.requestStarted || c.hasUnread()
	c.setPhase(closing)
	if c.bodyMemory.Reserved() > 0 {
		defer c.wakeReader()
	}
	if !hasRequestBytes {
		c.halfClose()
		return
	}
	c.writeResponse(onePart(status, "", reason+"\n", true), c.halfClose)
}

// halfClose closes the writing side of the connection after the bytes already written. The reader then drops
// what still arrives and closes the connection. The caller holds Server.mu.
func (c *conn) halfClose() {
	if c.writeClosed {
		return
	}
	c.writeClosed = true
	c.setPhase(closing)
	s := c.server
	c.lingerElem = s.lingering.PushBack(c)
	s.evictLingering()
	c.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// evictLingering ends lingering connections, the oldest first, until the number of all connections is within
// maxConns. unlockAndClose closes them. The caller holds Server.mu.
func (s *Server) evictLingering() {
	for s.lingering.Len() > 0 && s.lingering.Len()+s.limit.Len() > s.maxConns {
		oldest := s.lingering.Front().Value.(*conn)
		oldest.stopLingering()
		oldest.abort()
		s.toClose = append(s.toClose, oldest)
	}
}

// stopLingering removes a connection from Server.lingering if it is listed there. The caller holds Server.mu.
func (c *conn) stopLingering() {
	if c.lingerElem != nil {
		c.server.lingering.Remove(c.lingerElem)
		c.lingerElem = nil
	}
}

// abort shuts down a connection in both directions. The reader or unlockAndClose closes it later. The caller
// holds Server.mu.
func (c *conn) abort() {
	c.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
}

// unlockAndClose unlocks Server.mu and then closes the evicted connections in Server.toClose. A Close under
// the lock could deadlock: it waits for a read in progress, which may itself wait for the lock.
func (s *Server) unlockAndClose() {
	toClose := s.toClose
	s.toClose = nil
	s.mu.Unlock()
	for _, c := range toClose {
		c.nc.Close()
	}
}

// finish ends a connection whose reader takes no more requests. It waits for responses that are being
// written, half-closes the connection, lingers and closes it.
func (c *conn) finish() {
	s := c.server
	c.releaseBody()
	c.disconnect()
	c.pendingWrites.Wait()
	s.mu.Lock()
	if !c.clientGone {
		c.halfClose()
	}
	c.restoreReadDeadline()
	lingers := c.lingerElem != nil && !c.clientGone && !s.closed
	s.unlockAndClose()
	if lingers {
		c.discardRest()
	}
	c.nc.Close()
	c.unregister()
}

// discardRest reads and drops what the client still sends. It returns when the client closes, the read deadline
// passes or maxLingerBytes have been read.
func (c *conn) discardRest() {
	c.discards = true
	buf := c.server.scratch[:]
	for dropped := 0; dropped < maxLingerBytes; {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		dropped += n
		if n == len(buf) {
			time.Sleep(lingerReadPause)
		}
	}
}

// disconnect informs the core that the client of the open request, if there is one, has disconnected. The core
// sends no response to such a request.
func (c *conn) disconnect() {
	s := c.server
	s.mu.Lock()
	requestID := c.requestID
	c.clientGone = c.clientGone || requestID != ""
	c.requestID = ""
	if c.txn != nil {
		s.txns.abandoned(c.txn)
		c.txn = nil
	}
	s.mu.Unlock()
	if requestID != "" {
		s.core.Disconnected(requestID)
	}
}

// unregister removes a closed connection from the server and releases the pipelined bytes.
func (c *conn) unregister() {
	s := c.server
	s.mu.Lock()
	delete(s.conns, c.id)
	s.readerReturned.Signal()
	s.limit.Remove(c.id)
	c.stopLingering()
	c.removePaused()
	s.memory.Release(int64(c.pipeline.bytes))
	c.pipeline.bytes = 0
	c.pipeline.chunks = nil // the core may hold the request, and with it the connection, for longer
	s.mu.Unlock()
	s.Conns.Add(-1)
}
