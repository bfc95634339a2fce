package http

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"winghatch/internal/memory"
)

// reasonNoMemory is the reason in the response to a request whose body is not read to its end for lack of memory.
const reasonNoMemory = "no memory for the body"

// LimitBodies sets whether bodies that need room in Options.Memory are refused with status 503, whether there is
// room or not.
func (s *Server) LimitBodies(limited bool) { s.bodiesLimited.Store(limited) }

// reserveBody reserves n bytes of Options.Memory for the body of a request and reports whether they were
// available. Without this bound, hundreds of large bodies at once would exceed the memory limit of the process.
func (c *conn) reserveBody(n int) bool {
	s := c.server
	if c.bodyMemory == nil {
		s.mu.Lock()
		c.bodyMemory = memory.NewReservation(s.memory, smallBodyBytes)
		c.bodySince = s.clock()
		s.mu.Unlock()
	}
	if s.bodiesLimited.Load() && c.bodyMemory.Size()+int64(n) > smallBodyBytes || !c.bodyMemory.Grow(n) {
		s.BodiesRefused.Add(1)
		return false
	}
	return true
}

// releaseBody releases the memory of a body that is not read any further.
func (c *conn) releaseBody() {
	c.server.mu.Lock()
	released := c.bodyMemory
	c.bodyMemory = nil
	c.server.mu.Unlock()
	released.Release()
}

// EndOldestBodies ends connections on which a large body is being received, until these hold at least excess bytes or
// none is left. It begins with the body that was begun first: clients that send slowly or have stopped would
// otherwise keep the room of others until their request times out. It returns the number of connections.
func (s *Server) EndOldestBodies(excess int64) (ended int) {
	s.mu.Lock()
	defer s.unlockAndClose()
	var receiving []*conn
	for _, c := range s.conns {
		if c.phase == reading && c.bodyMemory.Reserved() > 0 {
			receiving = append(receiving, c)
		}
	}
	slices.SortFunc(receiving, func(a, b *conn) int { return cmp.Compare(a.bodySince, b.bodySince) })
	for _, c := range receiving {
		if excess <= 0 {
			break
		}
		excess -= c.bodyMemory.Reserved()
		c.closeInactive(http.StatusServiceUnavailable, reasonNoMemory)
		ended++
	}
	s.BodiesEnded.Add(int64(ended))
	return ended
}

// wakeReader makes a read in progress return, so that the reader of a closing connection releases what it holds.
// The caller holds Server.mu.
func (c *conn) wakeReader() {
	c.pipeline.wakeDeadlineSet = true
	c.nc.SetReadDeadline(time.Now())
}

// noteStalled lists the connection as one whose client does not take its response. The caller holds Server.mu.
func (c *conn) noteStalled() {
	if c.stalledElem == nil {
		c.stalledElem = c.server.stalled.PushBack(c)
	}
}

// stopStalled removes the connection from that list. The caller holds Server.mu.
func (c *conn) stopStalled() {
	if c.stalledElem != nil {
		c.server.stalled.Remove(c.stalledElem)
		c.stalledElem = nil
	}
}

// EndStalledResponses aborts connections whose clients do not take their responses, until these hold at least excess
// bytes or none is left. It begins with the client that has not read for longest. It returns the number of
// connections.
func (s *Server) EndStalledResponses(excess int64) (ended int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.stalled.Len() > 0 && excess > 0 {
		c := s.stalled.Front().Value.(*conn)
		c.stopStalled()
		excess -= c.responseMemory.Reserved()
		c.abort() // writeRemainder fails and releases the response
		ended++
	}
	s.ResponsesEnded.Add(int64(ended))
	return ended
}
