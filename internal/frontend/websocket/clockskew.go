package websocket

import (
	"math"
	"time"
)

// maxAgeMs bounds the age of a call, whatever times a client gives, so that it stays within a time.Duration.
const maxAgeMs = 60_000

// clockSkew estimates how old a call is when it is read, by the client's own clock of any origin: a gateway that was
// suspended, or a slow network, leaves calls unread while their time runs. The quickest call of the session counts as
// of no age. A client's clock that steps back makes the estimate begin anew.
type clockSkew struct {
	known       bool
	leastOffset float64 // ms; the least difference of the gateway's clock and the client's
	lastAt      float64 // ms; by the client's clock
}

// age is the age at now of a call made at atMs by the client's clock; 0 if the client gives no time.
func (s *clockSkew) age(now time.Duration, atMs *float64) time.Duration {
	if atMs == nil || math.IsNaN(*atMs) || math.IsInf(*atMs, 0) {
		return 0
	}
	offset := float64(now)/float64(time.Millisecond) - *atMs
	if !s.known || *atMs < s.lastAt || offset < s.leastOffset {
		s.known, s.leastOffset = true, offset
	}
	s.lastAt = *atMs
	return time.Duration(min(offset-s.leastOffset, maxAgeMs) * float64(time.Millisecond))
}
