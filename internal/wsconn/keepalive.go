package wsconn

import (
	"context"
	"time"
)

// maxUnansweredPings is the number of pings in a row that may remain unanswered. It is more than one
// because a ping may be delayed by a long message before it.
const maxUnansweredPings = 2

// PingIdle pings each connection from which nothing has arrived for an interval, and closes it if nothing
// arrives after maxUnansweredPings pings either. This detects a peer that vanished without closing its
// connection within four intervals. Silence is measured in rounds of PingIdle instead of time because after
// a pause of this process the elapsed time would count against all peers at once.
//
// conns returns the connections to check and is called once per interval. onClose, if not nil, is called
// for each connection that PingIdle closes. PingIdle returns when the context ends.
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

// checkAlive pings the connection if nothing has arrived since the last round. It returns false if too many
// pings in a row were not answered.
func (c *Conn) checkAlive() bool {
	if c.received.Swap(false) {
		c.silentRounds = 0
		return true
	}
	c.silentRounds++
	if c.silentRounds > maxUnansweredPings {
		return false
	}
	c.ping()
	return true
}
