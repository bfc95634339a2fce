package wsconn

import (
	"context"
	"time"
)

// maxUnansweredPings is how many pings may go unanswered: one may wait behind a long message.
const maxUnansweredPings = 2

// PingIdle pings each connection from which nothing came for an interval, and closes it if nothing comes after
// maxUnansweredPings pings either. A peer that vanished without closing its connection is so found within four
// intervals. It counts its own turns rather than time: after a pause of this process, time would count against all
// peers at once.
//
// It returns when the context ends. onClose, if not nil, is called for each connection that it closes.
func PingIdle(ctx context.Context, interval time.Duration, conns func() []*Conn, onClose func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range conns() {
			if c.checkAlive() {
				continue
			}
			c.Abort()
			if onClose != nil {
				onClose()
			}
		}
	}
}

// checkAlive pings a silent connection. It returns false if too many pings went unanswered.
func (c *Conn) checkAlive() bool {
	if c.received.Swap(false) {
		c.silentTurns = 0
		return true
	}
	c.silentTurns++
	if c.silentTurns > maxUnansweredPings {
		return false
	}
	c.ping()
	return true
}
