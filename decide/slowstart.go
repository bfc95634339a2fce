package decide

const (
	// of the cold budget is used: costs vary and others' traffic is guessed
	slowStartMargin = 0.5
)

// coldRate guards the rule on cold servers: requests a second that this gateway may send to it. What this
// gateway sends a usual server is its own share of the fleet's traffic, so that all gateways together stay
// within the multiple without agreement.
func (g *Gateway) slowStartRate(s *endpoint) float64 {
	warm := g.totals.sendRate / max(g.totals.warm, 1)
	f := g.cfg.Safety.SlowStartCapacity
	age := 1 - (s.slowStartUntil-g.now).Seconds()/g.cfg.Safety.SlowStartDuration.Seconds()
	return slowStartMargin * g.cfg.Safety.OverloadMultiple * (f + (1-f)*age) * warm
}

func (g *Gateway) heldBySlowStart(s *endpoint) bool {
	if s.slowStartUntil <= g.now {
		return false
	}
	s.warmUpBudget = min(1, s.warmUpBudget+g.slowStartRate(s)*(g.now-s.warmUpBudgetAt).Seconds())
	s.warmUpBudgetAt = g.now
	return s.warmUpBudget < 1
}
