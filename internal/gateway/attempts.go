package gateway

import (
	"time"

	"go.opentelemetry.io/otel/trace"

	"winghatch/decide"
	"winghatch/internal/frontend"
	"winghatch/internal/metrics"
	"winghatch/internal/tracing"
	"winghatch/internal/upstream"
	"winghatch/internal/usage/outbox"
)

// Upstream carries attempts to servers. Its methods don't block; the results of calls come through their Done.
type Upstream interface {
	Send(*upstream.Call)
	Abandon(*upstream.Call) upstream.AbandonResult
}

// minAttemptTimeout is the least time left that an attempt can pass on to its server, in whole milliseconds. An attempt
// with less is not written.
const minAttemptTimeout = time.Millisecond

// outcomeNames are the outcomes of attempts in logs, metrics, traces and the state. Operators' tools know them, so they
// stay as they are.
var outcomeNames = map[decide.Outcome]string{
	decide.OutcomeOK:            metrics.AttemptOK,
	decide.OutcomeError:         "error",
	decide.OutcomeRejected:      "full",
	decide.OutcomeTimedOut:      "timed_out",
	decide.OutcomeConnectFailed: "no_connection",
	decide.OutcomeReset:         "reset",
	decide.OutcomeCancelled:     "cancelled",
	decide.OutcomeNotDispatched: "moot",
}

// attempt is one dispatch of a request to a server. The loop owns it.
type attempt struct {
	request   *openRequest
	number    int // from 0
	server    string
	startedAt time.Duration
	call      *upstream.Call // nil: it was never dispatched

	ended    bool
	duration time.Duration // once it has ended
	outcome  string        // of outcomeNames, once it has ended
	span     trace.SpanID

	usageID        outbox.AttemptID // 0: its use is not exported
	awaitingIntent bool             // not given to upstream yet, as its intent is not durable
	denied         bool             // its intent can't be written, so it is never sent; its result is in the queue

	// Of its time-out; see timers.
	timeoutAt     time.Duration
	timerSequence uint64
	heapIndex     int // place in attemptTimerHeap, from 1; 0: not in it
}

// dispatch starts an attempt. One that can't be dispatched any more ends through the queue, behind the actions under
// way.
func (l *Loop) dispatch(action decide.Send) {
	r := l.requests[action.ID]
	if r == nil {
		return
	}
	l.countRetry(r)
	a := &attempt{request: r, number: len(r.attempts), server: action.Server, startedAt: l.now}
	r.attempts = append(r.attempts, a)
	if l.tracer != nil {
		a.span = tracing.NewSpanID(l.tracer.random)
	}
	r.inFlight++
	timeLeft := r.Deadline - l.now
	if action.Timeout > 0 {
		timeLeft = min(timeLeft, action.Timeout)
	}
	if r.finished || timeLeft <= 0 || len(r.attempts) > l.cfg.Limits.MaxAttempts {
		l.queue.post(attemptResult{a, upstream.Result{Outcome: decide.OutcomeNotDispatched}})
		return
	}
	l.Attempts.Add(1)
	a.call = l.newCall(a, timeLeft, action.WriteBefore)
	l.timers.setTimeout(a, l.now+timeLeft)
	if l.usage != nil {
		l.usage.recordIntent(a)
		return
	}
	l.upstream.Send(a.call)
}

// newCall returns the call of an attempt. Connecting takes time, so whether it may leave at all, and the time left that
// its server gets where the front end encodes it, are determined when it is written. writeBefore is 0 for no bound.
func (l *Loop) newCall(a *attempt, timeLeft, writeBefore time.Duration) *upstream.Call {
	r := a.request
	timeoutAt := l.now + timeLeft
	call := &upstream.Call{
		Server: a.server,
		Method: r.Class,
		Done:   func(result upstream.Result) { l.queue.post(attemptResult{a, result}) },
		Cancelled: func() bool {
			now := l.clock()
			return timeoutAt-now < minAttemptTimeout ||
				writeBefore > 0 && now >= writeBefore ||
				r.ClientGone != nil && r.ClientGone()
		},
	}
	if r.EncodeAttempt != nil {
		call.BuildParams = func() []byte { return r.EncodeAttempt(a.number, timeoutAt-l.clock()) }
	} else {
		call.Params = r.attemptParams(a.number, timeLeft)
	}
	return call
}

func (l *Loop) cancelAttempt(action decide.Cancel) {
	r := l.requests[action.ID]
	if r == nil || action.Attempt < 0 || action.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[action.Attempt]
	if a.ended || a.call == nil {
		return
	}
	if result, ok := l.abandonAttempt(a, decide.OutcomeCancelled); ok {
		l.queue.post(attemptResult{a, result}) // its end is an event of its own, behind the actions under way
	}
}

// abandonAttempt gives an attempt up that has timed out or is cancelled. One that provably never left did not run,
// whatever the clock says. It returns false for one whose result is in the queue already, which then counts.
func (l *Loop) abandonAttempt(a *attempt, outcome decide.Outcome) (upstream.Result, bool) {
	switch {
	case a.awaitingIntent:
		a.awaitingIntent = false
		return upstream.Result{Outcome: decide.OutcomeConnectFailed}, true
	case a.denied:
		return upstream.Result{}, false
	}
	switch l.upstream.Abandon(a.call) {
	case upstream.NotSent:
		return upstream.Result{Outcome: decide.OutcomeConnectFailed}, true
	case upstream.MayHaveRun:
		return upstream.Result{Outcome: outcome}, true
	}
	return upstream.Result{}, false
}

// attemptEnded takes the end of an attempt. The first OK becomes the request's final answer.
func (l *Loop) attemptEnded(a *attempt, result upstream.Result) {
	if a.ended {
		l.LateResponses.Add(1)
		return
	}
	a.ended = true
	l.timers.cancelTimeout(a)
	r := a.request
	r.inFlight--
	l.countAttemptEnd(a, result)
	l.outcomes[outcomeNames[result.Outcome]]++
	if l.debug { // asked first, as the fields alone cost an allocation each
		l.log.Debug("Attempt ended", "request", r.ID, "attempt", a.number, "member", r.Customer, "server", a.server,
			"class", r.Class, "outcome", outcomeNames[result.Outcome], "duration", l.now-a.startedAt,
			"load_report", result.LoadReport)
	}
	ev := decide.AttemptEnded{
		ID:            r.ID,
		Server:        a.server,
		Attempt:       a.number,
		Outcome:       result.Outcome,
		Duration:      l.now - a.startedAt,
		ReportedUsage: result.ReportedUsage,
		LoadReport:    result.LoadReport,
		RequestDone:   r.finished,
	}
	if a.usageID != 0 {
		l.usage.settle(a, result)
	}
	if r.Reserved {
		r.settleReserved(result, l.cfg.SettledOnResponse)
	}
	if result.Outcome == decide.OutcomeOK && !r.finished {
		ev.RequestDone = true
		if l.cfg.SettledOnResponse {
			ev.ActualUnits = result.ActualUnits
		}
		l.respond(r, frontend.Response{Kind: frontend.Served, Body: result.Body, Units: result.ActualUnits})
	}
	l.handleEvent(ev)
	l.release(r)
}
