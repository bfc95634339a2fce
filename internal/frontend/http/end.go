package http

import (
	"io"
	"syscall"
	"time"

	"winghatch/internal/socket"
)

// turnAway ends a connection without an open request: with an answer where a byte of one has come, as its last byte may be
// on the way, else without. s.mu is held.
func (c *conn) turnAway(status int, why string) {
	if c.phase == closing {
		return
	}
	asks := c.phase == reading && (c.begun || c.unread())
	c.to(closing)
	if !asks {
		c.halfClose()
		return
	}
	c.write(appendAnswer(nil, status, "", why+"\n", true), c.halfClose)
}

// halfClose shuts the writing side behind what was written; the reader drops what still comes, and closes. s.mu is held.
func (c *conn) halfClose() {
	if c.ended {
		return
	}
	c.ended = true
	c.to(closing)
	s := c.s
	c.lingers = s.lingering.PushBack(c)
	s.cutLingering()
	c.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	c.nc.SetReadDeadline(time.Now().Add(lingerFor))
}

// cutLingering keeps the connections within their number: those that have lingered longest are cut, and release closes them.
// s.mu is held.
func (s *Server) cutLingering() {
	for s.lingering.Len() > 0 && s.lingering.Len()+s.limit.Len() > s.most {
		eldest := s.lingering.Front().Value.(*conn)
		eldest.lingersNoMore()
		eldest.abort()
		s.cut = append(s.cut, eldest)
	}
}

// lingersNoMore takes a connection out of those that linger; s.mu is held.
func (c *conn) lingersNoMore() {
	if c.lingers != nil {
		c.s.lingering.Remove(c.lingers)
		c.lingers = nil
	}
}

// abort ends a connection both ways. It is left to the reader, or to release, to close it; s.mu is held.
func (c *conn) abort() {
	c.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
}

// end forgets the connection. An open request's client has gone with it; the core gives it no final answer, so that
// its X-Txn is freed here.
func (c *conn) end() {
	s := c.s
	s.mu.Lock()
	open, txn := c.open, c.txn
	c.gone, c.open = c.gone || open != "", ""
	if txn != "" {
		delete(s.ids, txn)
	}
	s.mu.Unlock()
	if open != "" {
		s.core.Gone(open)
	}
	c.writes.Wait()
	s.mu.Lock()
	if !c.gone {
		c.halfClose()
	}
	lingers := c.lingers != nil && !c.gone && !s.closed
	s.release()
	if lingers {
		io.CopyN(io.Discard, c, lingerMost) // to its end, the deadline or the bound
	}
	c.nc.Close()
	s.mu.Lock()
	delete(s.conns, c.id)
	s.limit.Closed(c.id)
	c.lingersNoMore()
	s.bodies -= c.held + int64(c.ahead)
	c.held, c.ahead = 0, 0
	s.mu.Unlock()
	s.Conns.Add(-1)
}

// release unlocks s.mu and closes the connections that were cut meanwhile. Close waits for a reader's step, which may wait
// for the lock.
func (s *Server) release() {
	cut := s.cut
	s.cut = nil
	s.mu.Unlock()
	for _, c := range cut {
		c.nc.Close()
	}
}

// write writes an answer without waiting and calls then, under the lock, once it is written or can't be. What the socket's
// buffer does not take has a bounded time of a goroutine of its own. s.mu is held.
func (c *conn) write(b []byte, then func()) {
	n, err := socket.WriteNow(c.raw, b)
	if n == len(b) || err != nil && !socket.Transient(err) {
		if n < len(b) {
			c.last = true // it broke
		}
		then()
		return
	}
	c.s.wg.Add(1)
	c.writes.Add(1)
	// An answer is owed until its request's time, and lateMost, are over.
	go c.writeRest(b[n:], max(writeFor, c.due+lateMost-c.s.clock()), then)
}

func (c *conn) writeRest(b []byte, within time.Duration, then func()) {
	defer c.s.wg.Done()
	defer c.writes.Done()
	err := socket.WriteAll(c.nc, b, within)
	c.s.mu.Lock()
	defer c.s.release()
	if err != nil {
		c.abort()
	}
	then()
}

// tell writes for the connection's own goroutine, which may wait for room.
func (c *conn) tell(b []byte) {
	c.s.mu.Lock()
	closing := c.phase == closing
	c.s.mu.Unlock()
	if !closing {
		socket.WriteAll(c.nc, b, writeFor)
	}
}
