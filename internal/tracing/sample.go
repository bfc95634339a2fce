package tracing

import "time"

// Sampler decides which calls are told as traces, at their end, when it is known what became of them: of those that went
// wrong all, up to a rate, of the others a share by their trace's id, so that all who see a trace decide alike. It has no clock
// and no random source.
type Sampler struct {
	Ratio     float64 // of calls that were served in time, from 0 to 1
	MaxRate   float64 // traces a second of all others; a second's worth at once
	tokens    float64
	updatedAt time.Duration
	started   bool
}

// Take decides on a call that ended at the time now. bad: it was refused, failed or late. id is any 8 bytes of the trace's id; asked
// says that the caller sampled it already.
func (s *Sampler) Sample(now time.Duration, failed, requested bool, id uint64) bool {
	if !failed {
		return requested || float64(id>>11)/(1<<53) < s.Ratio
	}
	if !s.started {
		s.started, s.tokens, s.updatedAt = true, s.MaxRate, now
	}
	s.tokens = min(max(s.MaxRate, 1), s.tokens+s.MaxRate*(now-s.updatedAt).Seconds())
	if s.updatedAt = now; s.tokens < 1 {
		return requested
	}
	s.tokens--
	return true
}
