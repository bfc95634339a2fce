package tracing

import "time"

// Sampler decides which requests are exported as traces, when they are finished and it is known what became of them:
// of those that were rejected, failed or late all, up to a rate; of the others a ratio by the trace's id, so that all
// services of a trace decide alike. It has no clock and no random source, and is not safe for concurrent use.
type Sampler struct {
	Ratio   float64 // of requests that were served in time, from 0 to 1
	MaxRate float64 // of all others, traces a second; those of a second at once

	tokens    float64 // traces
	updatedAt time.Duration
	started   bool
}

// Sample decides on a request that is finished now. failed: it was rejected, failed or late. requested: its client
// samples the trace. id is Context.SamplingKey.
func (s *Sampler) Sample(now time.Duration, failed, requested bool, id uint64) bool {
	if !failed {
		return requested || fraction(id) < s.Ratio
	}
	if !s.started {
		s.started, s.tokens, s.updatedAt = true, s.MaxRate, now
	}
	s.tokens = min(max(s.MaxRate, 1), s.tokens+s.MaxRate*(now-s.updatedAt).Seconds())
	s.updatedAt = now
	if s.tokens < 1 {
		return requested
	}
	s.tokens--
	return true
}

// fraction maps an id to a number from 0 to 1, by as many bits as a float64 holds.
func fraction(id uint64) float64 { return float64(id>>11) / (1 << 53) }
