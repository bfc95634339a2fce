package decide

import "time"

const (
	// retryBudgetGain is the number of tokens that each first attempt adds to the retry budget, up to
	// maxRetryBudget. A token pays for one retry or hedged request.
	retryBudgetGain = 0.15
	maxRetryBudget  = 10.0

	// An attempt is overdue after overdueFactor times its expected latency, but not before minOverdue times
	// the shortest latency objective.
	overdueFactor = 4.0
	minOverdue    = 0.3

	// minMissingResponses is the number of responses that a server must owe before it is considered silent.
	minMissingResponses = 2.0

	// cancelFailureRatio is the lowest failure ratio at which a server is known to leave requests without a
	// response. An overdue attempt at such a server is cancelled or hedged without waiting for more
	// responses to be missing.
	cancelFailureRatio = 0.3

	// retryAfterObjectives is the Retry-After in units of the shortest latency objective. It leaves time
	// for a response within the objective.
	retryAfterObjectives = 0.4
)

// retryBudget limits retries and hedged requests to a fraction of the first attempts. Without it, slow or
// failing servers would be sent a multiple of their usual work. One token pays for one attempt.
type retryBudget struct{ tokens float64 }

// earn adds the gain of a first attempt to the budget.
func (b *retryBudget) earn() { b.tokens = min(maxRetryBudget, b.tokens+retryBudgetGain) }

// has reports whether the budget covers the cost.
func (b *retryBudget) has(cost float64) bool { return b.tokens >= cost }

// spend deducts the cost from the budget.
func (b *retryBudget) spend(cost float64) { b.tokens -= cost }

// attemptOverdue handles an attempt that should have been answered by now. If the server has responded to
// other requests since the attempt was sent, this request is merely costly. Otherwise the server may be
// silent because it is down, out of connections or unreachable.
//
// A gateway that rarely sends requests to a server sees few responses from it in any case. Until at least
// minMissingResponses responses are missing, only previous failures count against the server. Otherwise all
// gateways would cancel requests that are merely queued. Servers would work on these requests nevertheless,
// and the additional attempts would overload the whole fleet. The drawback is that a server that has just
// become silent is detected late by gateways that rarely use it.
func (g *Gateway) attemptOverdue(r *request, a *attempt) {
	s := a.endpoint
	knownToFail := g.failureRatio(s, r.class) >= cancelFailureRatio
	if g.observationSparsity() == 1 && !knownToFail {
		return
	}
	g.observeOwn(s, r.class, g.now-a.sentAt, true)
	if s.lastResponse > a.sentAt {
		return
	}
	silence := g.now - max(s.lastResponse, g.startedAt)
	missingResponses := s.sendRate.perSecond(g.now) * silence.Seconds()
	if missingResponses < minMissingResponses && !knownToFail {
		g.scheduleRecheck(r, a)
		return
	}
	if r.finished || r.streaming || !g.retryBudget.has(1) || r.class.Idempotency == NotIdempotent {
		return
	}
	switch {
	case g.cfg.Limits.Hedging:
		g.retry(r, s, 1)
	case g.cfg.Limits.Cancel:
		g.emit(Cancel{r.ID, a.number}) // its AttemptEnded triggers the retry
	}
}

// scheduleRecheck sets another timer for an overdue attempt, after half of the time that the attempt has
// taken so far.
func (g *Gateway) scheduleRecheck(r *request, a *attempt) {
	if at := g.now + (g.now-a.sentAt)/2; at < r.usefulUntil && !r.finished {
		g.setTimer(r.ID, a.number, at)
	}
}

// retry sends another attempt if the limits, the remaining time and the retry budget allow it, and reports
// whether it did. lastFailed is the server whose attempt has failed or is overdue; a hedged request is not
// sent to it. The cost is the number of tokens that the attempt takes from the budget.
func (g *Gateway) retry(r *request, lastFailed *endpoint, cost float64) bool {
	if !g.retryBudget.has(cost) || len(r.attempts) >= g.cfg.Limits.MaxAttempts {
		return false
	}
	if r.inFlight > 0 && !g.cfg.Limits.Hedging {
		return false
	}
	s, expected := g.selectEndpoint(r, lastFailed)
	if s == nil || expected > (r.usefulUntil-g.now).Seconds() || (r.inFlight > 0 && s == lastFailed) {
		return false
	}
	g.retryBudget.spend(cost)
	g.send(r, s)
	return true
}

// mayResendTo reports whether the request may be sent to the server, given its previous attempts that may
// have run. This prevents a request that must not run twice from running twice.
func (g *Gateway) mayResendTo(r *request, s *endpoint) bool {
	k := r.class
	if k.Idempotency == Idempotent {
		return true
	}
	for _, a := range r.attempts {
		if !a.mayHaveRun {
			continue
		}
		if k.Idempotency == NotIdempotent || !k.sharesDedupScope(a.endpoint, s) {
			return false
		}
		if g.now-a.sentAt >= k.DedupWindow-objectiveMargin {
			return false
		}
	}
	return true
}

// sharesDedupScope reports whether the second server drops a duplicate of a request that the first one has
// received.
func (k *class) sharesDedupScope(first, second *endpoint) bool {
	switch k.DedupScope {
	case DedupInFleet:
		return true
	case DedupInZone:
		return first.Zone == second.Zone
	}
	return first.Cell == second.Cell
}

// writeBefore returns the time after which the last attempt must not be written to a connection any more,
// or 0 if there is no such bound. Servers forget a request when the dedup window after the first attempt
// that may have run ends. An attempt that waits for its connection and is written later would run a second
// time.
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

// reject gives the final answer that the client can safely send the request again, with a Retry-After if
// configured.
func (g *Gateway) reject(id string, reason RejectReason) {
	a := Reject{ID: id, Reason: reason}
	if g.cfg.Limits.RetryAfter {
		a.RetryAfter = min(g.cfg.Limits.MaxRetryAfter, g.objectiveMultiple(retryAfterObjectives))
	}
	g.emit(a)
}
