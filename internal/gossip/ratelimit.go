package gossip

import "time"

// rateLimiter limits the rate of received messages with a leaky bucket, so that peers that send too much
// cannot fill the queue of the event loop. The bucket holds the messages of one second, but at least one
// message.
type rateLimiter struct {
	rate      float64 // drain rate in messages per second
	level     float64 // messages in the bucket as of updatedAt
	updatedAt time.Time
}

// allow adds a message to the bucket and reports whether there was room for it.
func (l *rateLimiter) allow(now time.Time) bool {
	l.level = max(0, l.level-l.rate*now.Sub(l.updatedAt).Seconds())
	l.updatedAt = now
	if l.level+1 > max(l.rate, 1) {
		return false
	}
	l.level++
	return true
}
