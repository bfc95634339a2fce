// Package gateway is the runtime of a gateway: an event loop that owns the decision core of package decide,
// the requests in flight and the timers.
//
// # The loop
//
// One goroutine runs Loop.Run. Only this goroutine accesses the core, the open requests, the timers, the
// quota plans and the usage outbox, so none of them needs a lock. All other goroutines, such as those of
// sockets, logs and the delivery worker, post inputs to the queue of the loop, which never blocks them. In
// each turn the loop reads the clock once, handles the results of attempts and then a bounded number of other
// queued inputs, each in order, fires the timers that are due, and sleeps until an input arrives or the next
// timer is due. An input becomes an event of the core. The resulting actions of the core are carried out in
// order before the next input is handled. An immediate result of an action, such as the end of an attempt that
// can't be dispatched, goes through the queue like any other input.
//
// Code that runs in the loop must not block: disks and sockets are accessed through queues of their own.
//
// This package defines no thresholds and makes no decisions about requests; both belong to package decide.
//
// # Gateways
//
// Start runs a complete gateway with a WebSocket frontend and, depending on the settings, gossip, control
// API, plan changes, usage export, metrics and tracing. Package platform instead combines a Loop with a front
// end of its own; that loop has no plans, usage export, metrics or tracer.
package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"winghatch/decide"
	"winghatch/internal/aggregate"
	"winghatch/internal/frontend"
	"winghatch/internal/metrics"
	"winghatch/internal/recording"
)

// Core makes the decisions about requests. Gateways use *decide.Gateway; measurements replace it with a core
// that decides nothing. Only the goroutine of the loop calls its methods.
type Core interface {
	Handle(now time.Duration, ev decide.Event) []decide.Action
	Status() decide.Status
	Summary() decide.Summary
}

// TestHooks are hooks that make a gateway misbehave on purpose, so that tests can check whether package
// invariant detects it. Nothing else sets them. A nil hook changes nothing.
type TestHooks struct {
	// Event replaces an event before the core handles it; a nil result drops the event.
	Event func(decide.Event) decide.Event
	// Actions replaces the actions that the core returned for an event.
	Actions func(decide.Event, []decide.Action) []decide.Action
	// Response replaces the call to done that delivers a final answer.
	Response func(f frontend.Response, done func(frontend.Response))
}

// Counters counts requests and attempts since the start. Any goroutine may read it.
type Counters struct {
	OpenRequests  atomic.Int64 // requests without a final answer, at the frontend or in the loop
	Served        atomic.Int64
	Rejected      atomic.Int64 // requests rejected by the loop, not those rejected by the front end
	Failed        atomic.Int64
	Abandoned     atomic.Int64 // requests whose client disconnected before the final answer
	Attempts      atomic.Int64 // dispatched attempts
	LateResponses atomic.Int64 // results of attempts that had already ended
	LateAnswers   atomic.Int64 // final answers later than lateAnswerTolerance after the deadline
}

// Loop owns the core, the requests in flight and the timers; see the package comment. Run is the body of its
// goroutine, which Stop ends. Exported methods may be called from any goroutine, all others only from the
// goroutine of the loop.
type Loop struct {
	Counters
	cfg   decide.Config
	core  Core
	clock func() time.Duration // monotonic
	log   *slog.Logger
	debug bool // whether log emits debug lines

	upstream Upstream
	peers    Peers             // nil if there are no other gateways
	recorder *recording.Writer // nil if events are not recorded or writing them has failed
	hooks    TestHooks

	// The fields below are set before Run; they are nil or false if the settings do not enable the feature.
	plans   *quotaPlans
	usage   *usageOutbox
	metrics *metrics.Set
	totals  *aggregate.Aggregator // set if and only if metrics is set
	tracer  *requestTracer
	// hasQuotaOwners reports that the core asks quota owners, because gossip has no capacity for all
	// customers.
	hasQuotaOwners bool

	queue           *queue
	timers          timers
	requests        map[string]*openRequest // by request ID
	maxOpenRequests int64

	now         time.Duration    // reading of clock at the start of the turn
	turns       int64            // number of turns since Run was called
	rejections  map[string]int64 // number of rejected requests by reason
	outcomes    map[string]int64 // number of ended attempts by outcome
	timerLag    time.Duration    // see LoopSummary.TimerLag
	longestTurn time.Duration
	queueWait   time.Duration // see LoopSummary.QueueWait
	lateLog     lateAnswerLog // limits the log lines of noteLateAnswer

	stopping chan struct{} // closed by Stop
	stopped  chan struct{} // closed by Run
}

// NewLoop returns a loop; Run starts it. clock is monotonic and shared with the frontend. peers and recorder
// may be nil.
func NewLoop(cfg decide.Config, core Core, clock func() time.Duration, upstream Upstream, peers Peers,
	recorder *recording.Writer, log *slog.Logger) *Loop {
	return &Loop{
		cfg:        cfg,
		core:       core,
		clock:      clock,
		log:        log,
		debug:      log.Enabled(context.Background(), slog.LevelDebug),
		upstream:   upstream,
		peers:      peers,
		recorder:   recorder,
		queue:      newQueue(clock),
		requests:   map[string]*openRequest{},
		rejections: map[string]int64{},
		outcomes:   map[string]int64{},
		stopping:   make(chan struct{}),
		stopped:    make(chan struct{}),
	}
}

// SetMaxOpenRequests limits the number of requests that are open at the same time. It must be called before
// Run. Without it the limit is 0 and Reserve rejects every request.
func (l *Loop) SetMaxOpenRequests(requests int) { l.maxOpenRequests = int64(requests) }

// Do runs f in the goroutine of the loop and waits until f has returned. It returns false if the loop has
// ended, in which case f may not have run. The goroutine of the loop must not call Do, as it would wait for
// itself.
func (l *Loop) Do(f func()) bool {
	done := make(chan struct{})
	l.queue.post(funcCall{func() { f(); close(done) }})
	select {
	case <-done:
		return true
	case <-l.stopped:
		return false
	}
}

// UpdateEndpoints passes an endpoint list or a watch event to the core and returns once the core has handled
// it. A discovery service that sends without pause therefore waits for the loop and can't fill its queue.
func (l *Loop) UpdateEndpoints(ev decide.EndpointUpdate) { l.Do(func() { l.handleEvent(ev) }) }

// Stop ends Run after the current turn and waits until it has returned. Requests in flight get no answer.
// Stop must not be called by two goroutines at the same time.
func (l *Loop) Stop() {
	select {
	case <-l.stopping:
	default:
		close(l.stopping)
	}
	<-l.stopped
}

// maxSleep is the longest time that the loop sleeps while nothing is due.
const maxSleep = time.Hour

// Run runs the loop in the calling goroutine. It returns after Stop is called.
func (l *Loop) Run() {
	defer close(l.stopped)
	sleepTimer := time.NewTimer(maxSleep)
	defer sleepTimer.Stop()
	for {
		l.turn()
		sleepTimer.Reset(l.sleepTime())
		select {
		case <-l.stopping:
			l.flushRecording()
			return
		case <-l.queue.wake:
		case <-sleepTimer.C:
		}
	}
}

// maxTurnInputs limits the inputs, other than results of attempts, that are handled before the timers.
const maxTurnInputs = 32

// turn handles the results of attempts and some of the other queued inputs, then fires the timers that are due.
// The remaining inputs follow in the next turn, so that timers never wait for more than maxTurnInputs of them. If
// the answer to an attempt and its timeout are handled in the same turn, the attempt counts as answered: the loop
// may have been late, but the server was not.
func (l *Loop) turn() {
	l.now = l.clock()
	l.turns++
	results, inputs := l.queue.take(maxTurnInputs)
	l.handleInputs(results)
	l.handleInputs(inputs)
	if at, ok := l.timers.next(); ok {
		l.timerLag = max(l.timerLag, l.now-at)
	}
	for {
		token, a, ok := l.timers.popDue(l.now)
		if !ok {
			break
		}
		l.fireTimer(token, a)
	}
	l.longestTurn = max(l.longestTurn, l.clock()-l.now)
	if l.recorder != nil && l.queue.len() == 0 {
		l.flushRecording()
	}
	if l.metrics != nil {
		l.metrics.LoopTurn(l.clock() - l.now)
	}
}

// handleInputs handles inputs in order.
func (l *Loop) handleInputs(inputs []queuedInput) {
	if len(inputs) > 0 {
		l.queueWait = max(l.queueWait, l.now-inputs[0].postedAt)
	}
	for i, in := range inputs {
		inputs[i].input = nil // a long turn must not keep the bodies of requests that it has handled
		l.handleInput(in.input)
	}
}

// minTickInterval is the minimum time between two turns for the periodic work of plans and totals. It lets
// the loop sleep even if that work reports itself due every time.
const minTickInterval = time.Millisecond

// sleepTime does the periodic work of plans and totals that is due, and returns how long the loop may sleep.
func (l *Loop) sleepTime() time.Duration {
	wait := maxSleep
	if l.plans != nil {
		wait = l.plans.tick()
	}
	if l.totals != nil {
		l.sendTotals()
		wait = min(wait, max(minTickInterval, l.totals.NextTick()-l.now))
	}
	if at, ok := l.timers.next(); ok {
		wait = max(0, min(wait, at-l.clock()))
	}
	if l.queue.len() > 0 {
		wait = 0
	}
	return wait
}

// fireTimer reports a fired core timer to the core or, if a is not nil, ends an attempt that has timed out.
func (l *Loop) fireTimer(token uint64, a *attempt) {
	if a == nil {
		l.handleEvent(decide.TimerFired{Token: token})
		return
	}
	if result, ok := l.abandonAttempt(a, decide.OutcomeTimedOut); ok {
		l.attemptEnded(a, result)
	}
}

// handleEvent passes an event to the core, records the event and the resulting actions, and carries out the
// actions.
func (l *Loop) handleEvent(ev decide.Event) {
	if l.hooks.Event != nil {
		if ev = l.hooks.Event(ev); ev == nil {
			return
		}
	}
	actions := l.core.Handle(l.now, ev)
	if l.hooks.Actions != nil {
		actions = l.hooks.Actions(ev, actions)
	}
	if l.recorder != nil {
		if err := l.recorder.Write(l.now, ev, actions); err != nil {
			l.stopRecording(err)
		}
	}
	for _, action := range actions {
		l.execute(action)
	}
}

// execute carries out an action of the core.
func (l *Loop) execute(action decide.Action) {
	switch action := action.(type) {
	case decide.Send:
		l.dispatch(action)
	case decide.Cancel:
		l.cancelAttempt(action)
	case decide.Reject:
		l.finish(l.requests[action.ID], frontend.Response{
			Kind:       frontend.Rejected,
			RetryAfter: action.RetryAfter,
			Reason:     string(action.Reason),
		})
	case decide.Fail:
		l.finish(l.requests[action.ID], frontend.Response{Kind: frontend.Failed})
	case decide.SetTimer:
		l.timers.setTimer(action.At, action.Token)
	case decide.SendGossip:
		l.sendGossip(action)
	default:
		l.log.Error("Ignored unexpected action of the core", "action", action)
	}
}

// flushRecording flushes the recording, so that it is complete up to the last idle moment of the loop.
func (l *Loop) flushRecording() {
	if l.recorder == nil {
		return
	}
	if err := l.recorder.Flush(); err != nil {
		l.stopRecording(err)
	}
}

// stopRecording logs a failed write and disables recording.
func (l *Loop) stopRecording(err error) {
	l.log.Error("Failed to write recording, recording stopped", "err", err)
	l.recorder = nil
}
