package tracing

import "time"

// Sampler decides which requests are exported as traces. It decides when a request has ended, because the
// decision depends on the outcome:
//   - Requests that were rejected, failed or late are all sampled, up to a rate.
//   - Of the other requests, a fraction is sampled. The decision depends only on the trace id, so that all
//     services of a trace decide alike.
//
// A Sampler uses no clock and no random source. It is not safe for concurrent use.
type Sampler struct {
	Ratio float64 // fraction of the requests served in time that is sampled, from 0 to 1
	// MaxRate limits the traces of requests that were rejected, failed or late, in traces per second. The
	// burst is the traces of one second, but at least 1 trace. 0 means that such a request is sampled only if
	// the client samples it.
	MaxRate float64

	// tokens is the content of a token bucket that limits the rate; a trace takes one token.
	tokens    float64
	updatedAt time.Duration // time at which tokens was computed
	started   bool          // the bucket has been filled for the first time
}

// Sample reports whether a request that ended at now is exported. failed says that the request was rejected,
// failed or late. clientSampled says that the client samples the trace; such a request is always exported. id
// is the Context.SamplingKey of the request.
func (s *Sampler) Sample(now time.Duration, failed, clientSampled bool, id uint64) bool {
	if !failed {
		return clientSampled || fraction(id) < s.Ratio
	}
	if !s.started {
		s.started, s.tokens, s.updatedAt = true, s.MaxRate, now
	}
	s.tokens = min(max(s.MaxRate, 1), s.tokens+s.MaxRate*(now-s.updatedAt).Seconds())
	s.updatedAt = now
	if s.tokens < 1 {
		return clientSampled
	}
	s.tokens--
	return true
}

// fraction maps an id to a number of at least 0 and less than 1. It uses the 53 bits that a float64 can hold.
func fraction(id uint64) float64 { return float64(id>>11) / (1 << 53) }
