package decide

import (
	"time"
)

const (
	// times its estimate: an attempt is overdue
	overdueFactor = 4.0
	// answers that should have come from a server which gave none: it may be silent
	minMissingResponses = 2.0
	// share missed: on thin evidence only a server known for it is given up on early
	cancelFailureRatio = 0.3
	// further attempts a first attempt, by this much the retry budget grows ...
	retryBudgetGain = 0.15
	// ... up to this many
	maxRetryBudget   = 10.0
	minOverdue       = 0.3
	retryAfterAdvice = 0.4
)

func (g *Gateway) reject(id string, why RejectReason) {
	a := Reject{ID: id, Reason: why}
	if g.cfg.Limits.RetryAfter {
		a.RetryAfter = min(g.cfg.Limits.MaxRetryAfter, g.timesObjective(retryAfterAdvice))
	}
	g.emit(a)
}

// overdue looks at an attempt that should have been answered. If the server has answered others since, the
// request is merely costly; if it has not, the server may be silent. A gateway that meets a server rarely
// sees no such answer either way: until a few should have come, only what is known of the server may speak
// against it. Else all gateways call off what is merely costly or waits, servers work on it all the same, and
// the fleet jams by its own further attempts: of 544 called off on a day of 5 requests a second and server,
// 541 were at servers that answered others. It should also catch slow spells and heavy tails; it could harm
// where a server has just gone silent.
func (g *Gateway) attemptOverdue(r *request, a *attempt) {
	s := a.endpoint
	known := g.failureRatio(s, r.class) >= cancelFailureRatio
	if g.evidenceScarcity() == 1 && !known {
		return
	}
	g.observeOwn(s, r.class, g.now-a.sentAt, true)
	if s.lastResponse > a.sentAt {
		return
	}
	quiet := s.sendRate.perSecond(g.now) * (g.now - max(s.lastResponse, g.startedAt)).Seconds()
	if quiet < minMissingResponses && !known { // it is looked at again
		if again := g.now + (g.now-a.sentAt)/2; again < r.usefulUntil && !r.finished {
			g.setTimer(r.ID, a.number, again)
		}
		return
	}
	if r.finished || r.streaming || g.retryBudget < 1 || r.class.Idempotency == NotIdempotent {
		return
	}
	if !g.cfg.Limits.Hedging {
		if g.cfg.Limits.Cancel {
			g.emit(Cancel{r.ID, a.number}) // its end, as Cancelled, brings the next attempt
		}
		return
	}
	g.retry(r, s, 1)
}

// again sends a further attempt if the rules, the time left and the retry budget, of which it takes the
// price, allow one. The budget guards servers against work done twice; where none got any, the next attempt
// is free. This should catch servers that are down, full of connections or behind a cut link.
func (g *Gateway) retry(r *request, last *endpoint, price float64) bool {
	most, overlaps := g.cfg.Limits.MaxAttempts, r.inFlight > 0 && !g.cfg.Limits.Hedging
	if g.retryBudget < price || len(r.attempts) >= most || overlaps {
		return false
	}
	s, cost := g.selectEndpoint(r, last)
	if s == nil || cost > (r.usefulUntil-g.now).Seconds() || (r.inFlight > 0 && s == last) {
		return false
	}
	g.retryBudget -= price
	g.send(r, s)
	return true
}

// mayRepeatAt guards the rule on effects: whether the server may get the request, given the attempts that
// may have run.
func (g *Gateway) repeatAllowedAt(r *request, s *endpoint) bool {
	for _, a := range r.attempts {
		if r.class.Idempotency == Idempotent || !a.mayHaveRun {
			continue
		}
		same := r.class.DedupScope == DedupInFleet ||
			(r.class.DedupScope == DedupInZone && s.Zone == a.endpoint.Zone) ||
			(r.class.DedupScope == DedupInCell && s.Cell == a.endpoint.Cell)
		if r.class.Idempotency == NotIdempotent || !same ||
			g.now-a.sentAt >= r.class.DedupWindow-objectiveMargin {
			return false
		}
	}
	return true
}

// repeatBefore guards the same rule where an attempt waits for its connection: servers forget a request a
// window after the first attempt that may have run; one written later runs again. 0: no such bound.
func (r *request) repeatWriteDeadline() time.Duration {
	for _, a := range r.attempts[:len(r.attempts)-1] {
		if a.mayHaveRun && r.class.Idempotency == IdempotentByKey {
			return a.sentAt + r.class.DedupWindow - objectiveMargin
		}
	}
	return 0
}
