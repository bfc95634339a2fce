package decide

import "time"

const (
	// retryBudgetGain is what each first attempt adds to the retry budget, in further attempts, up to
	// maxRetryBudget.
	retryBudgetGain = 0.15
	maxRetryBudget  = 10.0

	// An attempt is overdue after overdueFactor times its expected latency, and minOverdue shortest latency
	// objectives at least.
	overdueFactor = 4.0
	minOverdue    = 0.3

	// minMissingResponses is how many responses a server must owe for its silence to mean something.
	minMissingResponses = 2.0

	// cancelFailureRatio is the failure ratio from which a server is known to leave requests without a
	// response, so that an overdue attempt there is cancelled or hedged without waiting for more silence.
	cancelFailureRatio = 0.3

	// retryAfterObjectives is the Retry-After, in shortest latency objectives. It leaves time for a
	// response within the objective.
	retryAfterObjectives = 0.4
)

// retryBudget bounds the further attempts, retries and hedged requests, to a part of the first ones:
// servers that are slow or fail would otherwise be sent several times the work. It holds attempts.
type retryBudget struct{ tokens float64 }

// earn counts a first attempt.
func (b *retryBudget) earn() { b.tokens = min(maxRetryBudget, b.tokens+retryBudgetGain) }

func (b *retryBudget) has(price float64) bool { return b.tokens >= price }

func (b *retryBudget) spend(price float64) { b.tokens -= price }

// attemptOverdue looks at an attempt that should have been answered by now. If the server has responded
// to others since, this request is merely costly. If not, the server may be silent: down, out of
// connections or behind a cut link.
//
// A gateway that meets a server rarely sees no response of it either way, so until a few should have come
// only what is known of the server may speak against it. Otherwise all gateways would cancel what merely
// waits; servers would work on it all the same, and the fleet would jam by its own further attempts. The
// price is that a server which has just gone silent is noticed late by those who meet it rarely.
func (g *Gateway) attemptOverdue(r *request, a *attempt) {
	s := a.endpoint
	knownToFail := g.failureRatio(s, r.class) >= cancelFailureRatio
	if g.evidenceScarcity() == 1 && !knownToFail {
		return
	}
	g.observeOwn(s, r.class, g.now-a.sentAt, true)
	if s.lastResponse > a.sentAt {
		return
	}
	silence := g.now - max(s.lastResponse, g.startedAt)
	missing := s.sendRate.perSecond(g.now) * silence.Seconds()
	if missing < minMissingResponses && !knownToFail {
		g.recheckLater(r, a)
		return
	}
	if r.finished || r.streaming || !g.retryBudget.has(1) || r.class.Idempotency == NotIdempotent {
		return
	}
	switch {
	case g.cfg.Limits.Hedging:
		g.retry(r, s, 1)
	case g.cfg.Limits.Cancel:
		g.emit(Cancel{r.ID, a.number}) // its end, as OutcomeCancelled, brings the next attempt
	}
}

// recheckLater sets another timer for an overdue attempt, after half of the time that it has taken so far.
func (g *Gateway) recheckLater(r *request, a *attempt) {
	if at := g.now + (g.now-a.sentAt)/2; at < r.usefulUntil && !r.finished {
		g.setTimer(r.ID, a.number, at)
	}
}

// retry sends a further attempt if the rules, the time left and the retry budget allow one, and reports
// whether it did. The price is what the attempt takes of the budget.
func (g *Gateway) retry(r *request, failedBefore *endpoint, price float64) bool {
	if !g.retryBudget.has(price) || len(r.attempts) >= g.cfg.Limits.MaxAttempts {
		return false
	}
	if r.inFlight > 0 && !g.cfg.Limits.Hedging {
		return false
	}
	s, expected := g.selectEndpoint(r, failedBefore)
	if s == nil || expected > (r.usefulUntil-g.now).Seconds() || (r.inFlight > 0 && s == failedBefore) {
		return false
	}
	g.retryBudget.spend(price)
	g.send(r, s)
	return true
}

// mayRepeatAt reports whether a server may get the request, given the attempts that may have run. Without
// it a request that must not run twice could.
func (g *Gateway) mayRepeatAt(r *request, s *endpoint) bool {
	k := r.class
	if k.Idempotency == Idempotent {
		return true
	}
	for _, a := range r.attempts {
		if !a.mayHaveRun {
			continue
		}
		if k.Idempotency == NotIdempotent || !k.knowsRepeats(a.endpoint, s) {
			return false
		}
		if g.now-a.sentAt >= k.DedupWindow-objectiveMargin {
			return false
		}
	}
	return true
}

// knowsRepeats reports whether a server drops the repeat of a request that another one got.
func (k *class) knowsRepeats(first, second *endpoint) bool {
	switch k.DedupScope {
	case DedupInFleet:
		return true
	case DedupInZone:
		return first.Zone == second.Zone
	}
	return first.Cell == second.Cell
}

// writeBefore is the time after which an attempt that still waits for its connection may not be written
// any more. Servers forget a request a window after the first attempt that may have run, and one written
// later would run a second time. 0: there is no such bound.
func (r *request) writeBefore() time.Duration {
	if r.class.Idempotency != IdempotentByKey {
		return 0
	}
	for _, a := range r.attempts[:len(r.attempts)-1] {
		if a.mayHaveRun {
			return a.sentAt + r.class.DedupWindow - objectiveMargin
		}
	}
	return 0
}

// reject gives the final answer that a request may be sent again, with the time after which.
func (g *Gateway) reject(id string, reason RejectReason) {
	a := Reject{ID: id, Reason: reason}
	if g.cfg.Limits.RetryAfter {
		a.RetryAfter = min(g.cfg.Limits.MaxRetryAfter, g.timesObjective(retryAfterObjectives))
	}
	g.emit(a)
}
