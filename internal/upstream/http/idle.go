package http

import (
	"time"

	"winghatch/internal/socket"
)

// reuseDelay is how long a connection stays unused after a response. A server may send a second response to the same
// request some milliseconds after the first; if the next attempt were written meanwhile, that response would be taken
// for its own. Within the delay the second response reaches an idle connection, which is then closed.
const reuseDelay = 25 * time.Millisecond

const (
	sweepsPerTimeout = 8 // the sweep runs so often within IdleTimeout, so an idle connection outstays it by an eighth
	minSweepInterval = 10 * time.Millisecond
)

// takeIdle takes the most recently used connection that is idle for at least reuseDelay and less than timeout; nil if
// there is none. Connections found too old or unusable on the way are closed. Pool.mu is held.
func (s *server) takeIdle(timeout time.Duration) *conn {
	now := time.Now()
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		if now.Sub(c.respondedAt) < reuseDelay {
			continue
		}
		c.idleBefore = now.Sub(c.idleSince)
		if c.idleBefore < timeout && c.isUsable() {
			c.leaveIdle()
			return c
		}
		c.discard()
	}
	return nil
}

// closeIdle closes a server's idle connections; Pool.mu is held.
func (s *server) closeIdle() {
	for len(s.idle) > 0 {
		s.idle[len(s.idle)-1].discard()
	}
}

// isUsable reports whether nothing arrived on an idle connection: not its end, by which the next attempt would be
// lost, nor bytes, which would be taken for the response to it. The look at the socket is conclusive, as reads hold
// Pool.mu: what was read already shows in readWhileIdle, what was not is still in the socket. Pool.mu is held.
func (c *conn) isUsable() bool {
	if c.readWhileIdle {
		return false
	}
	unread, ended := socket.Peek(c.raw)
	if unread || ended {
		c.pool.StaleConns.Add(1)
	}
	return !unread && !ended
}

// enterIdle makes a connection without an attempt available; Pool.mu is held.
func (c *conn) enterIdle() {
	c.idleSince = time.Now()
	c.idleElem = c.pool.idleConns.PushBack(c)
	c.server.idle = append(c.server.idle, c)
}

// leaveIdle takes a connection out of the idle ones, if it is one; Pool.mu is held.
func (c *conn) leaveIdle() {
	if c.idleElem == nil {
		return
	}
	c.pool.idleConns.Remove(c.idleElem)
	c.idleElem = nil
	idle := c.server.idle
	for i, other := range idle {
		if other == c {
			c.server.idle = append(idle[:i], idle[i+1:]...)
			return
		}
	}
}

// sweep closes connections that have been idle for IdleTimeout, until the pool is closed.
func (p *Pool) sweep() {
	defer p.wg.Done()
	ticker := time.NewTicker(max(p.opts.IdleTimeout/sweepsPerTimeout, minSweepInterval))
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case now := <-ticker.C:
			p.closeExpired(now)
		}
	}
}

func (p *Pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idleConns.Front(); e != nil; e = p.idleConns.Front() {
		c := e.Value.(*conn)
		if now.Sub(c.idleSince) < p.opts.IdleTimeout {
			return
		}
		c.discard()
	}
}
