// Package gateway is the runtime of a gateway: an event loop that owns the decision core of package decide, the
// requests in flight and the timers.
//
// # The loop
//
// One goroutine runs Loop.Run. It alone touches the core, the open requests, the timers, the quota plans and the
// usage outbox, so none of them has a lock. All other goroutines (sockets, logs, the delivery worker) post inputs to
// the loop's queue, which never blocks them. In one turn the loop reads the clock once, takes all inputs in their
// order, fires the timers that are due, and sleeps until an input arrives or the next timer is due. An input becomes
// an event of the core; the core's actions are carried out in their order before the next input is taken. What an
// action brings about at once, such as the end of an attempt that can't be dispatched, goes through the queue like
// any other input.
//
// Nothing that the loop does may block: disks and sockets are reached through queues of their own.
//
// The package holds no threshold and makes no choice about requests; these are in package decide.
//
// # Gateways
//
// Start runs a whole gateway with WebSocket front end, gossip, control API, plan changes, usage export, metrics and
// tracing as the settings name them. Package platform composes a Loop with its own front end instead; its loop has no
// plans, usage, metrics or tracer.
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

// Core decides; *decide.Gateway is the one in use, measurements put one that decides nothing in its place. It is called
// by the loop's goroutine only.
type Core interface {
	Handle(now time.Duration, ev decide.Event) []decide.Action
	Status() decide.Status
}

// TestHooks break a gateway on purpose, so that tests can check whether package invariant finds it. Nothing else
// sets them.
type TestHooks struct {
	Event    func(decide.Event) decide.Event // replaces an event; a nil result keeps it from the core
	Actions  func(decide.Event, []decide.Action) []decide.Action
	Response func(f frontend.Response, done func(frontend.Response))
}

// Counters may be read by any goroutine.
type Counters struct {
	OpenRequests  atomic.Int64 // without a final answer, at the front end or in the loop
	Served        atomic.Int64
	Rejected      atomic.Int64
	Failed        atomic.Int64
	Abandoned     atomic.Int64 // requests whose client left before the final answer
	Attempts      atomic.Int64 // dispatched attempts
	LateResponses atomic.Int64 // ends of attempts that had ended already
}

// Loop owns the core, the requests in flight and the timers; see the package comment. Run is its goroutine, which Stop
// ends. Methods that are exported may be called from any goroutine, all others from the loop's own.
type Loop struct {
	Counters
	cfg   decide.Config
	core  Core
	clock func() time.Duration // monotonic
	log   *slog.Logger
	debug bool // log takes debug lines

	upstream Upstream
	peers    Peers             // nil: there are none
	recorder *recording.Writer // nil: events are not recorded, or writing them failed
	hooks    TestHooks

	// Before Run; nil or false where the settings do not ask for it.
	plans          *quotaPlans
	usage          *usageOutbox
	metrics        *metrics.Set
	totals         *aggregate.Aggregator // set if metrics is
	tracer         *requestTracer
	hasQuotaOwners bool // the core asks quota owners, as gossip has no room for all customers

	queue           *queue
	timers          timers
	requests        map[string]*openRequest // by id
	maxOpenRequests int64

	now         time.Duration    // of the clock, as of the start of the turn
	turns       int64            // since Run
	rejections  map[string]int64 // rejected requests by reason
	outcomes    map[string]int64 // ended attempts by outcome
	timerLag    time.Duration    // see LoopSummary
	longestTurn time.Duration

	stopping chan struct{} // closed by Stop
	stopped  chan struct{} // closed by Run
}

// NewLoop returns a loop that Run starts. clock is monotonic and shared with the front end. peers and recorder may be
// nil.
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
		queue:      newQueue(),
		requests:   map[string]*openRequest{},
		rejections: map[string]int64{},
		outcomes:   map[string]int64{},
		stopping:   make(chan struct{}),
		stopped:    make(chan struct{}),
	}
}

// SetMaxOpenRequests bounds the requests that are open at once. It is called before Run.
func (l *Loop) SetMaxOpenRequests(requests int) { l.maxOpenRequests = int64(requests) }

// Do runs f in the loop and returns after it. It returns false if the loop has ended, in which case f may not have run.
// It must not be called from the loop's own goroutine, which would wait for itself.
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

// UpdateEndpoints gives an endpoint list or a watch event to the core and returns once the core has handled it:
// discovery that sends without pause waits for the loop and can't fill its queue.
func (l *Loop) UpdateEndpoints(ev decide.EndpointUpdate) { l.Do(func() { l.handleEvent(ev) }) }

// Stop ends Run after the turn under way and waits for that. Requests in flight stay without an answer. It is called by
// one goroutine at a time.
func (l *Loop) Stop() {
	select {
	case <-l.stopping:
	default:
		close(l.stopping)
	}
	<-l.stopped
}

// maxSleep bounds how long the loop sleeps when nothing is due.
const maxSleep = time.Hour

// Run is the loop. It returns after Stop.
func (l *Loop) Run() {
	defer close(l.stopped)
	alarm := time.NewTimer(maxSleep)
	defer alarm.Stop()
	for {
		l.turn()
		alarm.Reset(l.sleepTime())
		select {
		case <-l.stopping:
			l.flushRecording()
			return
		case <-l.queue.wake:
		case <-alarm.C:
		}
	}
}

// turn takes all inputs that wait, then fires the timers that are due. An attempt whose answer and time-out meet in one
// turn counts as answered: the loop may have been late, the server was not.
func (l *Loop) turn() {
	l.now = l.clock()
	l.turns++
	for _, in := range l.queue.take() {
		l.handleInput(in)
	}
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

// minTickInterval is the least time between two turns for the periodic work of plans and totals: work that calls itself
// due each time must not keep the loop from sleeping.
const minTickInterval = time.Millisecond

// sleepTime does the periodic work of plans and totals that is due and returns how long the loop may sleep.
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

// fireTimer gives the core its own timer, or ends an attempt that has timed out.
func (l *Loop) fireTimer(token uint64, a *attempt) {
	if a == nil {
		l.handleEvent(decide.TimerFired{Token: token})
		return
	}
	if result, ok := l.abandonAttempt(a, decide.OutcomeTimedOut); ok {
		l.attemptEnded(a, result)
	}
}

// handleEvent gives an event to the core, records both sides and carries the actions out.
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
		l.log.Error("Unexpected action of the core, ignored", "action", action)
	}
}

// flushRecording writes out what was recorded, so that a recording is complete up to the last idle moment.
func (l *Loop) flushRecording() {
	if l.recorder == nil {
		return
	}
	if err := l.recorder.Flush(); err != nil {
		l.stopRecording(err)
	}
}

func (l *Loop) stopRecording(err error) {
	l.log.Error("Failed to write the recording, recording stopped", "err", err)
	l.recorder = nil
}
