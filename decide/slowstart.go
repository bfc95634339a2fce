package decide

import "time"

// slowStartMargin is the part of the warm-up budget that is used, as the costs of requests vary and the
// traffic of other gateways is estimated.
const slowStartMargin = 0.5

// slowStart is how much a server that has started may get. A server that gets OverloadMultiple times its
// present capacity for OverloadWindow fails.
type slowStart struct {
	until    time.Duration
	budget   float64 // requests that it may get now, at most 1
	budgetAt time.Duration
}

// slowStartRate is how many requests a second this gateway may send to a server in slow start. What it
// sends to a usual warm server is its own part of the fleet's traffic; with the same multiple of it at
// each gateway the fleet stays within the multiple of the server's capacity without any agreement. It is 0
// while this gateway sends to no warm server: then a server gets nothing before its slow start is over.
func (g *Gateway) slowStartRate(s *endpoint) float64 {
	perWarm := g.endpoints.totals.sendRate / max(g.endpoints.totals.warm, 1)
	safety := &g.cfg.Safety
	from := safety.SlowStartCapacity
	progress := 1 - (s.slowStart.until-g.now).Seconds()/safety.SlowStartDuration.Seconds()
	return slowStartMargin * safety.OverloadMultiple * (from + (1-from)*progress) * perWarm
}

// heldBySlowStart reports whether a server is in slow start and has no budget for a request. The budget
// begins at a random part of a request, see updateEndpoint: otherwise hundreds of gateways would send it
// one each at once.
func (g *Gateway) heldBySlowStart(s *endpoint) bool {
	w := &s.slowStart
	if w.until <= g.now {
		return false
	}
	w.budget = min(1, w.budget+g.slowStartRate(s)*(g.now-w.budgetAt).Seconds())
	w.budgetAt = g.now
	return w.budget < 1
}

// spend counts a request against the budget.
func (w *slowStart) spend(now time.Duration) {
	if w.until > now {
		w.budget--
	}
}
