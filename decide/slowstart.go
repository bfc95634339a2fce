package decide

import "time"

// slowStartMargin is the fraction of the slow start budget that is used. The rest allows for requests of
// varying cost and for the estimate of other gateways' traffic.
const slowStartMargin = 0.5

// slowStart limits the requests to a server that has recently started. A server fails if it receives
// OverloadMultiple times its present capacity for OverloadWindow.
type slowStart struct {
	// until is the time at which the slow start ends. The zero value means that the server is not in slow
	// start.
	until time.Duration
	// budget is the number of requests that this gateway may send to the server at the time budgetAt, at
	// most 1.
	budget   float64
	budgetAt time.Duration
}

// slowStartRate returns the number of requests per second that this gateway may send to a server in slow
// start. A warm server is one that is not in slow start. The rate at which this gateway sends requests to an
// average warm server is its part of the fleet's traffic. Since each gateway applies the same multiple to
// its own part, the fleet stays within that multiple of the server's capacity without coordination. The
// rate is 0 while this gateway sends no requests to warm servers. In that case the server receives no
// requests from this gateway until its slow start is over.
func (g *Gateway) slowStartRate(s *endpoint) float64 {
	ratePerWarmServer := g.endpoints.totals.sendRate / max(g.endpoints.totals.warm, 1)
	safety := &g.cfg.Safety
	initialCapacity := safety.SlowStartCapacity
	progress := 1 - (s.slowStart.until-g.now).Seconds()/safety.SlowStartDuration.Seconds()
	return slowStartMargin * safety.OverloadMultiple *
		(initialCapacity + (1-initialCapacity)*progress) * ratePerWarmServer
}

// blockedBySlowStart reports whether a server is in slow start and has no budget for a request. The budget
// starts at a random fraction of a request, see updateEndpoint. Otherwise hundreds of gateways would each
// send the server a request at the same time.
func (g *Gateway) blockedBySlowStart(s *endpoint) bool {
	w := &s.slowStart
	if w.until <= g.now {
		return false
	}
	w.budget = min(1, w.budget+g.slowStartRate(s)*(g.now-w.budgetAt).Seconds())
	w.budgetAt = g.now
	return w.budget < 1
}

// spend deducts a request from the budget during slow start.
func (w *slowStart) spend(now time.Duration) {
	if w.until > now {
		w.budget--
	}
}
