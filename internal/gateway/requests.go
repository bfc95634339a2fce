package gateway

import (
	"maps"
	"slices"
	"time"

	"winghatch/decide"
	"winghatch/internal/frontend"
	"winghatch/internal/metrics"
	"winghatch/internal/reservation"
	"winghatch/internal/tracing"
	"winghatch/internal/upstream"
)

// responseMargin is the time before the deadline at which a request stops waiting for reserved units, so that
// its rejection reaches the client in time.
const responseMargin = 5 * time.Millisecond

// openRequest is a request that has no final answer yet or still has attempts in flight. It is owned by the
// loop.
type openRequest struct {
	*frontend.Request
	arrivedAt time.Duration // on the clock of the loop
	attempts  []*attempt    // by attempt number, including those that have ended
	inFlight  int           // number of attempts in flight
	finished  bool          // whether the request has its final answer or its client disconnected
	writes    attemptWrites // which of its attempts were written

	awaitingReservation bool    // whether it waits for reserved units; the core does not know it yet
	reservedUsed        float64 // reserved units that its ended attempts used

	trace   tracing.Context // set only if the loop has a tracer
	sampled bool            // whether the trace is exported
	// Properties of the final answer, for the trace.
	finishedAt    time.Duration // on the clock of the loop
	outcome       string
	reason        string  // of a rejection; empty otherwise
	responseUnits float64 // units that the server reported; 0 if it reported none
}

// Reserve adds a request to the open requests. It returns false if that would exceed the cap on open
// requests, which also bounds the length of the queue.
func (l *Loop) Reserve() bool {
	if l.OpenRequests.Add(1) > l.maxOpenRequests {
		l.OpenRequests.Add(-1)
		return false
	}
	return true
}

// Submit posts a request to the loop. Reserve must have returned true for it.
func (l *Loop) Submit(r *frontend.Request) { l.queue.post(requestReceived{r}) }

// Disconnected reports to the loop that the client of a request has disconnected.
func (l *Loop) Disconnected(id string) { l.queue.post(clientDisconnected{id}) }

// FailOpenRequests answers every open request as failed and returns once that is done. It is called when the
// process is about to be killed.
func (l *Loop) FailOpenRequests() {
	l.Do(func() {
		for _, id := range slices.Sorted(maps.Keys(l.requests)) {
			if r := l.requests[id]; r != nil && !r.finished {
				l.respond(r, frontend.Response{Kind: frontend.Failed})
				l.abandonRequest(r)
			}
		}
	})
}

// startRequest registers a new request and passes it to the core or, if it uses reserved units, to the ledger
// of reservations first. It rejects the request if usage can't be recorded, or if it uses reserved units but
// this loop has no ledger of reservations.
func (l *Loop) startRequest(received *frontend.Request) {
	r := &openRequest{Request: received, arrivedAt: l.now}
	r.writes.guard = l.cfg.WriteGuard(r.Class)
	l.requests[r.ID] = r
	if l.tracer != nil {
		r.trace = tracing.StartContext(r.TraceParent, l.tracer.random)
	}
	if l.usage != nil && l.usage.rejecting() {
		l.finish(r, frontend.Response{
			Kind:       frontend.Rejected,
			Reason:     reasonUsageNotRecordable,
			RetryAfter: l.cfg.Limits.MaxRetryAfter,
		})
		return
	}
	if !r.Reserved {
		l.admit(r)
		return
	}
	if l.plans == nil {
		l.finish(r, frontend.Response{Kind: frontend.Rejected, Reason: string(reservation.NoReservation)})
		return
	}
	r.awaitingReservation = true
	l.plans.handleReservationEvent(reservation.Request{
		ID:       r.ID,
		Member:   r.Customer,
		Units:    r.Units,
		Deadline: r.Deadline - responseMargin,
	})
}

// admit passes a request to the core. A request that uses reserved units is admitted only once these are
// drawn.
func (l *Loop) admit(r *openRequest) {
	r.awaitingReservation = false
	l.handleEvent(decide.Request{
		ID:           r.ID,
		Class:        r.Class,
		Plan:         r.Plan,
		Customer:     r.Customer,
		Units:        r.Units,
		Deadline:     r.Deadline,
		FirstGateway: r.FirstGateway,
		GatewayCount: r.GatewayCount,
		IsRetry:      r.IsRetry,
		Mutates:      r.Mutates,
		Reserved:     r.Reserved,
	})
}

// disconnect ends a request whose client has disconnected.
func (l *Loop) disconnect(id string) {
	r := l.requests[id]
	if r == nil || r.finished {
		return
	}
	r.finished = true
	l.Abandoned.Add(1)
	l.OpenRequests.Add(-1)
	l.sampleTrace(r, metrics.OutcomeAbandoned, "", 0)
	l.countResponse(r, metrics.OutcomeAbandoned, frontend.Response{})
	l.abandonRequest(r)
}

// abandonRequest makes the core cancel the remaining work for a finished request.
func (l *Loop) abandonRequest(r *openRequest) {
	if !r.awaitingReservation {
		l.handleEvent(decide.ClientDisconnected{ID: r.ID})
	}
	l.release(r)
}

// finish answers and releases a request. It does nothing if r is nil, which means that the request is no
// longer known.
func (l *Loop) finish(r *openRequest, response frontend.Response) {
	if r == nil {
		return
	}
	l.respond(r, response)
	l.release(r)
}

// respond gives a request its only final answer. A second one is dropped and logged, because the client would
// take it for the answer to another request.
func (l *Loop) respond(r *openRequest, response frontend.Response) {
	if r.finished {
		l.log.Error("Dropped second final answer", "request", r.ID, "kind", response.Kind.String())
		return
	}
	r.finished = true
	l.OpenRequests.Add(-1)
	switch response.Kind {
	case frontend.Served:
		l.Served.Add(1)
	case frontend.Rejected:
		l.Rejected.Add(1)
		l.rejections[response.Reason]++
	case frontend.Failed:
		l.Failed.Add(1)
	}
	l.sampleTrace(r, response.Kind.String(), response.Reason, response.Units)
	l.countResponse(r, response.Kind.String(), response)
	if l.debug {
		l.log.Debug("Request finished", "request", r.ID, "member", r.Customer, "class", r.Class,
			"plan", r.Plan, "retry", r.IsRetry, "kind", response.Kind.String(),
			"reason", response.Reason, "attempts", len(r.attempts),
			"duration", l.now-r.arrivedAt, "time_left", r.Deadline-r.arrivedAt, "units", r.Units)
	}
	if l.hooks.Response != nil {
		l.hooks.Response(response, r.Done)
	} else {
		r.Done(response)
	}
	if l.now-r.Deadline > lateAnswerTolerance {
		l.noteLateAnswer(r, response)
	}
}

// release removes a finished request once none of its attempts is in flight.
func (l *Loop) release(r *openRequest) {
	if !r.finished || r.inFlight > 0 || l.requests[r.ID] != r {
		return
	}
	delete(l.requests, r.ID)
	if r.Released != nil {
		r.Released()
	}
	l.exportTrace(r)
	if r.Reserved && l.plans != nil {
		l.plans.handleReservationEvent(reservation.RequestEnded{ID: r.ID, Used: r.reservedUsed})
	}
}

// settleReserved records how many reserved units an attempt used. For a successful attempt these are the
// units that its answer reports, if the settings let answers settle requests, and otherwise the estimate. For
// an attempt that failed but may have run, it is the estimate.
func (r *openRequest) settleReserved(result upstream.Result, settledOnResponse bool) {
	switch result.Outcome {
	case decide.OutcomeRejected, decide.OutcomeConnectFailed, decide.OutcomeNotDispatched:
		// The attempt did not run and used no units.
	case decide.OutcomeOK:
		r.reservedUsed = r.Units
		if settledOnResponse && result.ActualUnits > 0 {
			r.reservedUsed = result.ActualUnits
		}
	default:
		r.reservedUsed = max(r.reservedUsed, r.Units)
	}
}
