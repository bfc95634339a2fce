package decide

import (
	"slices"
	"time"
)

type attempt struct {
	endpoint          *endpoint
	number            int
	sentAt            time.Duration
	ended, mayHaveRun bool // ran: it may have run
}

type request struct {
	Request
	class               *class
	customer            *customer
	units               float64
	usefulUntil         time.Duration // no use after this
	attempts            []*attempt
	inFlight            int
	streaming, finished bool
	grantNo             uint64 // of the question to the home
	grantRequests       int    // questions put
	grantRequestedAt    time.Duration
	awaitingGrant       bool
	grantedBy           int          // the home that let it in, or -1
	extraUnits          float64      // units used beyond those told at first
	rejectReason        RejectReason // of its refusal, if it comes to that
}

func (g *Gateway) findAttempt(id string, n int) *attempt {
	if r := g.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		return r.attempts[n]
	}
	return nil
}

func (g *Gateway) send(r *request, s *endpoint) {
	a := &attempt{endpoint: s, number: len(r.attempts), sentAt: g.now, mayHaveRun: true}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	r.customer.inFlight++
	s.meanInFlight += 0.05 * (g.outstanding(s) - s.meanInFlight)
	if s.slowStartUntil > g.now {
		s.warmUpBudget--
	}
	wait := max(g.timesObjective(minOverdue), time.Duration(overdueFactor*g.expectedLatency(s,
		r.class)*float64(time.Second)))
	s.inFlight++
	g.totals.inFlight++
	s.sendRate.add(g.now, 1)
	g.markActive(s)
	g.emit(Send{r.ID, s.ID, max(r.usefulUntil-g.now, time.Millisecond), r.repeatWriteDeadline()})
	if g.now+wait < r.usefulUntil {
		g.setTimer(r.ID, a.number, g.now+wait)
	}
}

func (g *Gateway) attemptEnded(e AttemptEnded) {
	r, a := g.requests[e.ID], g.findAttempt(e.ID, e.Attempt)
	if a == nil || a.ended {
		return
	}
	a.ended = true
	a.mayHaveRun = !e.Outcome.neverRan()
	r.inFlight--
	a.endpoint.inFlight--
	g.totals.inFlight--
	r.customer.inFlight--
	g.recordOutcome(r, a, e)
	if e.ActualUnits > 0 && g.cfg.SettledOnResponse && !r.Reserved {
		g.charge(r.customer, e.ActualUnits-r.units)
		r.extraUnits += e.ActualUnits - r.units
		r.units = e.ActualUnits
	}
	if e.ReportedUsage > 0 {
		g.updateFromMeter(r.customer, e.ReportedUsage)
	}
	if e.RequestDone {
		g.finish(r)
	}
	if r.finished {
		g.release(r)
		return
	}
	if e.Outcome == OutcomeNotDispatched && len(r.attempts) == 1 && !r.Reserved {
		g.charge(r.customer, -r.units) // nothing was sent, so the quota took nothing
		r.customer.ceilingTokens += r.units
		r.extraUnits = -r.units
	}
	price := 1.0
	if e.Outcome == OutcomeConnectFailed {
		price = 0 // it cost no server anything
	}
	if r.inFlight > 0 || (e.Outcome != OutcomeNotDispatched && g.retry(r, a.endpoint, price)) {
		return
	}
	g.giveUp(r)
}

// giveUp gives the final answer: a refusal where that may be promised, else a failure.
func (g *Gateway) giveUp(r *request) {
	mayRun := func(a *attempt) bool { return a.mayHaveRun }
	promise := r.class.Idempotency == Idempotent || !slices.ContainsFunc(r.attempts, mayRun) ||
		(r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupInFleet)
	if promise && r.inFlight == 0 {
		g.reject(r.ID, ReasonNeverExecuted)
	} else {
		g.emit(Fail{r.ID})
	}
	g.finish(r)
}

// finish ends a request; what is still out is called off.
func (g *Gateway) finish(r *request) {
	if r == nil {
		return
	}
	r.finished, r.awaitingGrant = true, false
	delete(g.pendingGrants, r.grantNo)
	for _, a := range r.attempts {
		if !a.ended && g.cfg.Limits.Cancel && !r.streaming {
			g.emit(Cancel{r.ID, a.number})
		}
	}
	g.release(r)
}

// forget drops a finished request once nothing of it is out.
func (g *Gateway) release(r *request) {
	if r.finished && r.inFlight == 0 && g.requests[r.ID] != nil {
		g.releaseGrant(r, r.extraUnits)
		delete(g.requests, r.ID)
	}
}
