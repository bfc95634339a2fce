package http

import (
	"time"

	"winghatch/internal/socket"
)

// reuseDelay is the time after a response in which a connection is not used again. A faulty server may send a
// second response to the same request some milliseconds after the first. If the next attempt were written in
// between, the second response would be taken for the response to that attempt. With the delay, the second
// response arrives on an idle connection, which is then closed.
const reuseDelay = 25 * time.Millisecond

const (
	sweepsPerTimeout = 8 // sweeps per IdleTimeout; an idle connection may exceed the timeout by an eighth
	// minSweepInterval applies if IdleTimeout is short or zero.
	minSweepInterval = 10 * time.Millisecond
)

// takeIdle removes and returns the most recently used idle connection whose last response ended at least
// reuseDelay ago and which has been idle for less than timeout. It returns nil if there is none. It closes
// the connections that it finds to be too old or unusable. The caller holds Pool.mu.
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

// closeIdle closes the idle connections to a server. The caller holds Pool.mu.
func (s *server) closeIdle() {
	for len(s.idle) > 0 {
		s.idle[len(s.idle)-1].discard()
	}
}

// isUsable reports whether nothing has arrived on an idle connection: neither its end, which would lose the
// next attempt, nor bytes, which would be taken for the response to the next attempt. Because reads hold
// Pool.mu, the check is conclusive: everything that was already read is recorded in readWhileIdle, and the
// rest is still in the socket. The caller holds Pool.mu.
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

// enterIdle adds a connection that carries no attempt to the idle connections. The caller holds Pool.mu.
func (c *conn) enterIdle() {
	c.idleSince = time.Now()
	c.idleElem = c.pool.idleConns.PushBack(c)
	c.server.idle = append(c.server.idle, c)
}

// leaveIdle removes a connection from the idle connections. It does nothing if the connection is not idle.
// The caller holds Pool.mu.
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

// sweep periodically closes connections that have been idle for IdleTimeout. It returns when the pool is
// closed.
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

// closeExpired closes all connections that have been idle for IdleTimeout or longer.
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
