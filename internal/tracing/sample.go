package tracing

import "time"

// Sampler decides which calls are told as traces, at their end, when it is known what became of them: of those that went
// wrong all, up to a rate, of the others a share by their trace's id, so that all who see a trace decide alike. It has no clock
// and no random source.
type Sampler struct {
	Share float64 // of calls that were served in time, from 0 to 1
	Rate  float64 // traces a second of all others; a second's worth at once
	left  float64
	at    time.Duration
	begun bool
}

// Take decides on a call that ended at the time now. bad: it was refused, failed or late. id is any 8 bytes of the trace's id; asked
// says that the caller sampled it already.
func (s *Sampler) Take(now time.Duration, bad, asked bool, id uint64) bool {
	if !bad {
		return asked || float64(id>>11)/(1<<53) < s.Share
	}
	if !s.begun {
		s.begun, s.left, s.at = true, s.Rate, now
	}
	s.left = min(max(s.Rate, 1), s.left+s.Rate*(now-s.at).Seconds())
	if s.at = now; s.left < 1 {
		return asked
	}
	s.left--
	return true
}
