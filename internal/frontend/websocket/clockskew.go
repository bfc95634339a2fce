package websocket

import (
	"math"
	"time"
)

// maxAgeMs bounds the estimated age of a call in milliseconds, so that it fits into a time.Duration whatever
// times a client sends.
const maxAgeMs = 60_000

// clockSkew estimates the age of each call of a session at the time when the gateway reads it. A call waits
// unread while the gateway is suspended or the network is slow. The estimate uses the client's clock, whose
// origin is unknown, so the call that arrived fastest counts as having age 0. If the client's clock steps
// back, the estimate starts over.
type clockSkew struct {
	known      bool    // whether minOffset and lastCallMs are set
	minOffset  float64 // smallest difference between the gateway's and the client's clock, in milliseconds
	lastCallMs float64 // time of the last call by the client's clock, in milliseconds
}

// age returns the age at now of a call that the client made at atMs by its own clock. It returns 0 if atMs is
// nil or not finite.
func (s *clockSkew) age(now time.Duration, atMs *float64) time.Duration {
	if atMs == nil || math.IsNaN(*atMs) || math.IsInf(*atMs, 0) {
		return 0
	}
	offset := float64(now)/float64(time.Millisecond) - *atMs
	if !s.known || *atMs < s.lastCallMs || offset < s.minOffset {
		s.known, s.minOffset = true, offset
	}
	s.lastCallMs = *atMs
	return time.Duration(min(offset-s.minOffset, maxAgeMs) * float64(time.Millisecond))
}
