package decide

const (
	// factor on the estimate of a server in another zone
	crossZoneFactor = 1.03
	// servers, from a random one on, are looked at for a request
	maxCandidates = 16
)

// usable reports whether a request may go to the server by health and by the rules.
func (g *Gateway) eligible(s *endpoint, r *request) bool {
	return s.State == Serving && !g.heldBySlowStart(s) && g.repeatAllowedAt(r, s)
}

// choose takes the server with the least estimate; last is the one that failed the request before. Where
// answers of a server are too rare to know its load, it draws among those that fail the class little more
// than the best looked at, each in proportion to the inverse of its estimate: all would else run to the same
// few servers, or slow ones get the same share as quick ones and jam.
func (g *Gateway) selectEndpoint(r *request, last *endpoint) (*endpoint, float64) {
	var found [maxCandidates]*endpoint
	best, n, least, cost := (*endpoint)(nil), 0, 1.0, 0.0
	for i, from := 0, g.rng.Intn(max(1, len(g.endpoints))); i < len(g.endpoints) && n < maxCandidates; i++ {
		s := g.endpoints[(from+i)%len(g.endpoints)]
		if !g.eligible(s, r) {
			continue
		}
		found[n] = s
		n++
		least = min(least, g.failureRatio(s, r.class))
	}
	for _, s := range found[:n] {
		miss := g.failureRatio(s, r.class)
		if miss > least+ejectionMargin {
			continue
		}
		c := g.expectedLatency(s, r.class) / max(0.2, 1-miss) * (1 + 0.02*g.rng.Float64())
		if g.evidenceScarcity() == 1 {
			c *= g.rng.ExpFloat64() // the least of these is each one's with a chance of 1/c
		}
		if s.Zone != g.cfg.Zone {
			c *= crossZoneFactor
		}
		if s == last {
			c *= 3
		}
		if best == nil || c < cost {
			best, cost = s, c
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, g.expectedLatency(best, r.class)
}
