package decide

import (
	"slices"
	"time"
)

// minAttemptTimeout keeps Send.Timeout above 0, because a timeout of 0 means the request's deadline.
const minAttemptTimeout = time.Millisecond

// request is a request that has no final answer yet or still has an attempt in flight.
type request struct {
	Request
	class        *class
	customer     *customer
	units        float64       // charged units: the estimate, after settlement the actual units
	extraUnits   float64       // units used beyond those that an owner granted; may be negative
	usefulUntil  time.Duration // time after which a response has no value
	attempts     []*attempt
	inFlight     int  // number of attempts in flight
	streaming    bool // whether a streamed response has started
	finished     bool // whether the final answer was given or the client has disconnected
	grant        grantState
	rejectReason RejectReason // reason to give if the request is rejected
}

// attempt is one attempt to get a response to a request from a server.
type attempt struct {
	endpoint   *endpoint
	number     int
	sentAt     time.Duration
	ended      bool
	mayHaveRun bool // true until an outcome proves that the attempt never ran
}

// findAttempt returns an attempt of an open request, or nil if there is none with that number.
func (g *Gateway) findAttempt(id string, number int) *attempt {
	if r := g.requests[id]; r != nil && number >= 0 && number < len(r.attempts) {
		return r.attempts[number]
	}
	return nil
}

// send starts an attempt at a server. The attempt may take until the response would have no value.
func (g *Gateway) send(r *request, s *endpoint) {
	a := &attempt{endpoint: s, number: len(r.attempts), sentAt: g.now, mayHaveRun: true}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	r.customer.inFlight++
	s.meanInFlight += meanInFlightGain * (g.endpoints.outstanding(s, g.now) - s.meanInFlight)
	s.slowStart.spend(g.now)
	overdue := time.Duration(overdueFactor * g.expectedLatency(s, r.class) * float64(time.Second))
	overdueAt := g.now + max(g.objectiveMultiple(minOverdue), overdue)
	g.endpoints.attemptSent(s, g.now)
	g.emit(Send{r.ID, s.ID, max(r.usefulUntil-g.now, minAttemptTimeout), r.writeBefore()})
	if overdueAt < r.usefulUntil {
		g.setTimer(r.ID, a.number, overdueAt)
	}
}

// responseStarted handles the start of a streamed response.
func (g *Gateway) responseStarted(e ResponseStarted) {
	if a := g.findAttempt(e.ID, e.Attempt); a != nil {
		g.requests[e.ID].streaming = true
		a.endpoint.lastResponse = g.now
	}
}

// attemptEnded handles the end of an attempt. If the response is not the final answer and no other attempt
// is in flight, it retries the request or, where no retry is possible, gives the final answer itself.
func (g *Gateway) attemptEnded(e AttemptEnded) {
	r, a := g.requests[e.ID], g.findAttempt(e.ID, e.Attempt)
	if a == nil || a.ended {
		return
	}
	a.ended = true
	a.mayHaveRun = !e.Outcome.neverRan()
	r.inFlight--
	r.customer.inFlight--
	g.endpoints.attemptEnded(a.endpoint)
	g.recordOutcome(r, a, e)
	g.settle(r, e.ActualUnits)
	if e.ReportedUsage > 0 {
		g.updateUsage(r.customer, float64(e.ReportedUsage-1))
	}
	if e.RequestDone {
		g.finish(r)
	}
	if r.finished {
		g.forget(r)
		return
	}
	if e.Outcome == OutcomeNotDispatched && len(r.attempts) == 1 {
		g.refund(r)
	}
	if r.inFlight > 0 {
		return
	}
	if e.Outcome != OutcomeNotDispatched && g.retry(r, a.endpoint, retryCost(e.Outcome)) {
		return
	}
	g.giveUp(r)
}

// retryCost returns the number of retry budget tokens that a retry after the outcome costs. A retry after
// a failed connect is free, because the failed attempt cost no server any work.
func retryCost(o Outcome) float64 {
	if o == OutcomeConnectFailed {
		return 0
	}
	return 1
}

// giveUp gives the final answer to a request without a response: a rejection if the client can safely send
// the request again, otherwise a failure.
func (g *Gateway) giveUp(r *request) {
	k := r.class
	mayHaveRun := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
	repeatable := !mayHaveRun || k.Idempotency == Idempotent ||
		(k.Idempotency == IdempotentByKey && k.DedupScope == DedupInFleet)
	if repeatable && r.inFlight == 0 {
		g.reject(r.ID, ReasonAttemptsFailed)
	} else {
		g.emit(Fail{r.ID})
	}
	g.finish(r)
}

// finish marks a request as finished once it has its final answer or its client has disconnected. It
// cancels the attempts that are still in flight, except when a response is being streamed. A nil request is
// ignored.
func (g *Gateway) finish(r *request) {
	if r == nil {
		return
	}
	r.finished, r.grant.awaitingReply = true, false
	delete(g.owners.pending, r.grant.number)
	for _, a := range r.attempts {
		if !a.ended && g.cfg.Limits.Cancel && !r.streaming {
			g.emit(Cancel{r.ID, a.number})
		}
	}
	g.forget(r)
}

// forget releases and removes a finished request once none of its attempts is in flight.
func (g *Gateway) forget(r *request) {
	if r.finished && r.inFlight == 0 && g.requests[r.ID] != nil {
		g.releaseGrant(r)
		delete(g.requests, r.ID)
		r.customer.openRequests--
	}
}
