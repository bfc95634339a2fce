package decide

const (
	// maxCandidates is how many eligible servers, from a random one on, are compared for a request.
	maxCandidates = 16

	// crossZoneFactor is the factor on the cost of a server in another zone.
	crossZoneFactor = 1.03

	// failedBeforeFactor is the factor on the cost of the server that failed the request before.
	failedBeforeFactor = 3

	// costNoise is by what part at most a cost is raised at random, so that gateways do not agree on one
	// server.
	costNoise = 0.02

	// minSuccessRatio bounds by how much failures raise a server's cost.
	minSuccessRatio = 0.2
)

// eligible reports whether a request may go to a server by its state, its slow start and the rule on
// repeats.
func (g *Gateway) eligible(s *endpoint, r *request) bool {
	return s.State == Serving && !g.heldBySlowStart(s) && g.mayRepeatAt(r, s)
}

// selectEndpoint returns the candidate of the least cost and its expected latency in seconds, or nil.
// Candidates that fail the class much more than the best one are left out: they are ejected. The
// comparison is with the best, so that a fault which all servers share ejects none.
//
// failedBefore is the server that failed the request before, or nil.
func (g *Gateway) selectEndpoint(r *request, failedBefore *endpoint) (*endpoint, float64) {
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
		if s == failedBefore {
			cost *= failedBeforeFactor
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

// candidates appends eligible servers to found until it is full, and returns the least failure ratio of
// them.
func (g *Gateway) candidates(r *request, found []*endpoint) ([]*endpoint, float64) {
	all := g.endpoints.sorted
	leastFailures := 1.0
	from := g.rng.Intn(max(1, len(all)))
	for i := 0; i < len(all) && len(found) < cap(found); i++ {
		s := all[(from+i)%len(all)]
		if g.eligible(s, r) {
			found = append(found, s)
			leastFailures = min(leastFailures, g.failureRatio(s, r.class))
		}
	}
	return found, leastFailures
}

// endpointCost is the expected latency with the failures, the zone and chance taken in. Where evidence is
// too scarce to know the load of a server the cost is drawn at random, so that each server is chosen with
// a chance in proportion to the inverse of its cost. Otherwise all gateways would choose the same few
// servers, and with even chances they would jam the slow ones.
func (g *Gateway) endpointCost(r *request, s *endpoint, failures float64) float64 {
	cost := g.expectedLatency(s, r.class) / max(minSuccessRatio, 1-failures) * (1 + costNoise*g.rng.Float64())
	if g.evidenceScarcity() == 1 {
		cost *= g.rng.ExpFloat64() // the least of such draws is each one's with a chance of 1/cost
	}
	if s.Zone != g.cfg.Zone {
		cost *= crossZoneFactor
	}
	return cost
}
