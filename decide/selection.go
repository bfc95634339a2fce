package decide

const (
	// maxCandidates is the largest number of eligible servers that are compared for a request. The search
	// starts at a random server.
	maxCandidates = 16

	// crossZoneCostFactor multiplies the cost of a server in another zone.
	crossZoneCostFactor = 1.03

	// lastFailedCostFactor multiplies the cost of the server whose attempt for the request has failed or is
	// overdue.
	lastFailedCostFactor = 3

	// costNoise is the largest fraction by which a cost is raised at random, so that gateways do not all
	// select the same server.
	costNoise = 0.02

	// minSuccessRatio bounds the factor by which failures raise the cost of a server.
	minSuccessRatio = 0.2
)

// eligible reports whether a server may receive a request, given the state of the server, its slow start
// and the idempotency of the request.
func (g *Gateway) eligible(s *endpoint, r *request) bool {
	return s.State == Serving && !g.blockedBySlowStart(s) && g.mayResendTo(r, s)
}

// selectEndpoint returns the candidate with the lowest cost and its expected latency in seconds, or nil if
// there is none. Candidates whose failure ratio for the class is much higher than that of the best
// candidate are ejected. They are compared with the best candidate so that a fault that all servers share
// ejects none of them.
//
// lastFailed is the server whose attempt for this request has failed or is overdue, or nil.
func (g *Gateway) selectEndpoint(r *request, lastFailed *endpoint) (*endpoint, float64) {
	var found [maxCandidates]*endpoint
	candidates, leastFailures := g.candidates(r, found[:0])
	var best *endpoint
	var leastCost float64
	for _, s := range candidates {
		failures := g.failureRatio(s, r.class)
		if failures > leastFailures+ejectionMargin {
			continue
		}
		cost := g.endpointCost(r, s, failures)
		if s == lastFailed {
			cost *= lastFailedCostFactor
		}
		if best == nil || cost < leastCost {
			best, leastCost = s, cost
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, g.expectedLatency(best, r.class)
}

// candidates appends eligible servers to found until its capacity is reached, and returns them with the
// lowest failure ratio among them.
func (g *Gateway) candidates(r *request, found []*endpoint) ([]*endpoint, float64) {
	all := g.endpoints.sorted
	leastFailures := 1.0
	start := g.rng.Intn(max(1, len(all)))
	for i := 0; i < len(all) && len(found) < cap(found); i++ {
		s := all[(start+i)%len(all)]
		if g.eligible(s, r) {
			found = append(found, s)
			leastFailures = min(leastFailures, g.failureRatio(s, r.class))
		}
	}
	return found, leastFailures
}

// endpointCost returns the expected latency of a server, increased for failures and another zone and by
// random noise. Where observations are too sparse to know the load of a server, the cost is drawn from an
// exponential distribution, so that each server is selected with a probability inversely proportional to
// its cost. Otherwise all gateways would select the same few servers; and if they selected servers with
// equal probability, they would overload the slow ones.
func (g *Gateway) endpointCost(r *request, s *endpoint, failures float64) float64 {
	cost := g.expectedLatency(s, r.class) / max(minSuccessRatio, 1-failures) * (1 + costNoise*g.rng.Float64())
	if g.observationSparsity() == 1 {
		// The probability that a server has the lowest draw is proportional to 1/cost.
		cost *= g.rng.ExpFloat64()
	}
	if s.Zone != g.cfg.Zone {
		cost *= crossZoneCostFactor
	}
	return cost
}
