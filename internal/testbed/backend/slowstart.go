package backend

import (
	"time"

	"winghatch/internal/invariant"
)

// overloadSlackCalls is added to the bound on the work in a window, in calls of the size of the last one.
// Arrivals are random, and a few calls that happen to arrive together must not count as overload.
const overloadSlackCalls = 4

// loadSample is the work of one received call.
type loadSample struct {
	at   time.Time
	work time.Duration
}

// slowStarts reports whether the server is configured for slow start.
func (s *Server) slowStarts() bool {
	return s.options.InitialCapacity > 0 && s.options.InitialCapacity < 1 && s.options.SlowStartDuration > 0
}

// capacity returns the work that all cores can do per second, in seconds of work on a core of speed 1.
func (s *Server) capacity() float64 { return float64(s.options.Cores) * s.options.Speed }

// capacityShare returns the fraction of its capacity that the server has at a time. It grows linearly from
// InitialCapacity to 1 during slow start.
func (s *Server) capacityShare(now time.Time) float64 {
	if !s.slowStarts() {
		return 1
	}
	initial := s.options.InitialCapacity
	elapsed := now.Sub(s.started).Seconds()
	return min(1, initial+(1-initial)*elapsed/s.options.SlowStartDuration.Seconds())
}

// checkOverload marks a server in slow start as overloaded if it has received too much work within the
// overload window. The caller must hold s.mu.
func (s *Server) checkOverload(now time.Time, work time.Duration) {
	window := s.options.OverloadWindow
	if !s.slowStarts() || s.overloaded || s.capacityShare(now) >= 1 || window <= 0 {
		return
	}
	s.recentLoad = append(s.recentLoad, loadSample{now, work})
	for len(s.recentLoad) > 0 && now.Sub(s.recentLoad[0].at) > window {
		s.recentLoad = s.recentLoad[1:]
	}
	var sum time.Duration
	for _, sample := range s.recentLoad {
		sum += sample.work
	}
	bound := s.options.OverloadMultiple * s.capacityShare(now) * s.capacity() * window.Seconds()
	bound += overloadSlackCalls * work.Seconds()
	if sum.Seconds() > bound {
		s.overloaded = true
		s.options.Log.Add(invariant.Record{Kind: invariant.Overloaded, Server: s.addr})
	}
}
