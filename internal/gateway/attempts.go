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

// Upstream sends attempts to servers. Its methods do not block; the result of a call is passed to its Done
// function.
type Upstream interface {
	Send(*upstream.Call)
	Abandon(*upstream.Call) upstream.AbandonResult
}

// minAttemptTimeout is the shortest remaining time that can be passed on to a server, because calls state it
// in whole milliseconds. An attempt with less time left is not written to its connection.
const minAttemptTimeout = time.Millisecond

// outcomeNames maps the outcomes of attempts to their names in logs, metrics, traces and the state.
// Operators' tools match these names, so they must not change.
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

// attempt is one dispatch of a request to a server. It is owned by the loop.
type attempt struct {
	request   *openRequest
	number    int // zero-based
	server    string
	startedAt time.Duration  // on the clock of the loop
	call      *upstream.Call // nil if the attempt was not dispatched

	ended    bool
	duration time.Duration // time from start to end; 0 until the attempt has ended
	outcome  string        // a value of outcomeNames; empty until the attempt has ended
	span     trace.SpanID

	usageID outbox.AttemptID // ID in the usage outbox; 0 if the usage is not exported
	// awaitingIntent is set while the call is held back because the intent of the attempt, the record of the
	// usage outbox that announces it, is not durable yet.
	awaitingIntent bool
	// intentDenied is set if the intent can't be written and the policy of the outbox forbids attempts
	// without one: the call is never sent, and the result of the attempt is already in the queue.
	intentDenied bool

	// The timeout of the attempt, maintained by timers.
	timeoutAt     time.Duration // on the clock of the loop
	timerSequence uint64        // order in which the timeout was set, see timers.sequence
	heapIndex     int           // position in attemptTimerHeap, counted from 1; 0 if not in the heap
}

// dispatch starts an attempt. If the attempt can't be dispatched, because its request is finished, no time is
// left or the request would exceed Limits.MaxAttempts, its end is posted to the queue, so that it is handled
// after the remaining actions of the current event.
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

// newCall returns the upstream call of an attempt. Connecting takes time, so two things are determined only
// when the call is written to its connection: whether it may still be sent, which also depends on the other
// attempts that were written by then, and, if the frontend encodes attempts itself, the remaining time that
// the call states. writeBefore is the time by which the call must be written; 0 means no bound.
func (l *Loop) newCall(a *attempt, timeLeft, writeBefore time.Duration) *upstream.Call {
	r := a.request
	timeoutAt := l.now + timeLeft
	call := &upstream.Call{
		Server:  a.server,
		Method:  r.Class,
		Content: r.Content,
		Memory:  r.Memory,
		Done:    func(result upstream.Result) { l.queue.post(attemptResult{a, result}) },
		Cancelled: func() bool {
			now := l.clock()
			return timeoutAt-now < minAttemptTimeout ||
				writeBefore > 0 && now >= writeBefore ||
				!r.writes.mayWrite(a.number, now) ||
				r.ClientGone != nil && r.ClientGone()
		},
		WriteStarts: func() {
			r.writes.start(a.number, l.clock())
			if r.Forwarded != nil {
				r.Forwarded()
			}
		},
	}
	if r.EncodeAttempt != nil {
		call.BuildParams = func() []byte { return r.EncodeAttempt(a.number, timeoutAt-l.clock()) }
	} else {
		call.Params = r.attemptParams(a.number, timeLeft)
	}
	return call
}

// cancelAttempt gives up an attempt that the core no longer needs. It does nothing if the attempt has ended.
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
		l.queue.post(attemptResult{a, result}) // handled as a separate event, after the current actions
	}
}

// abandonAttempt gives up an attempt that timed out or was cancelled and returns its result with the given
// outcome. An attempt that was provably never sent did not run, so its outcome is OutcomeConnectFailed
// instead. abandonAttempt returns false if the result of the attempt is already in the queue; that result
// then counts.
func (l *Loop) abandonAttempt(a *attempt, outcome decide.Outcome) (upstream.Result, bool) {
	switch {
	case a.awaitingIntent:
		a.awaitingIntent = false
		return upstream.Result{Outcome: decide.OutcomeConnectFailed}, true
	case a.intentDenied:
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

// attemptEnded handles the end of an attempt. The first successful attempt of a request provides its final
// answer.
func (l *Loop) attemptEnded(a *attempt, result upstream.Result) {
	if a.ended {
		l.LateResponses.Add(1)
		result.Memory.Release()
		return
	}
	a.ended = true
	l.timers.cancelTimeout(a)
	r := a.request
	r.inFlight--
	r.writes.attemptEnded(a.number, result.Outcome)
	l.countAttemptEnd(a, result)
	l.outcomes[outcomeNames[result.Outcome]]++
	if l.debug { // checked first, because each field costs an allocation
		l.log.Debug("Attempt ended", "request", r.ID, "attempt", a.number, "member", r.Customer,
			"server", a.server, "class", r.Class, "outcome", outcomeNames[result.Outcome],
			"duration", l.now-a.startedAt, "load_report", result.LoadReport)
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
		l.respond(r, frontend.Response{Kind: frontend.Served, Body: result.Body, Rest: result.Rest,
			Memory: result.Memory, Units: result.ActualUnits})
	} else {
		result.Memory.Release()
	}
	l.handleEvent(ev)
	l.release(r)
}
