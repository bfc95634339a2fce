package backend

import (
	"time"

	"winghatch/internal/invariant"
)

// overloadSlackCalls is added to the bound of the work in a window, in calls of the size of the last one: arrivals are
// random, and a few calls that come together must not count as overload.
const overloadSlackCalls = 4

// loadSample is the work of one call that was received.
type loadSample struct {
	at   time.Time
	work time.Duration
}

func (s *Server) slowStarts() bool {
	return s.options.InitialCapacity > 0 && s.options.InitialCapacity < 1 && s.options.SlowStartDuration > 0
}

// capacity is the work of all cores, in seconds of a core of speed 1 a second.
func (s *Server) capacity() float64 { return float64(s.options.Cores) * s.options.Speed }

// capacityShare is the share of its capacity that the server has at a time: it grows linearly during slow start.
func (s *Server) capacityShare(now time.Time) float64 {
	if !s.slowStarts() {
		return 1
	}
	initial := s.options.InitialCapacity
	elapsed := now.Sub(s.started).Seconds()
	return min(1, initial+(1-initial)*elapsed/s.options.SlowStartDuration.Seconds())
}

// checkOverload overloads a server in slow start that receives too much work. s.mu is held.
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
