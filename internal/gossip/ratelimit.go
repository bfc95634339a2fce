package gossip

import "time"

// rateLimiter is a leaky bucket of messages that holds those of one second, and at least one. It keeps peers that send
// too much from filling the event loop's queue.
type rateLimiter struct {
	rate      float64 // messages a second
	level     float64 // messages
	updatedAt time.Time
}

func (l *rateLimiter) allow(now time.Time) bool {
	l.level = max(0, l.level-l.rate*now.Sub(l.updatedAt).Seconds())
	l.updatedAt = now
	if l.level+1 > max(l.rate, 1) {
		return false
	}
	l.level++
	return true
}
