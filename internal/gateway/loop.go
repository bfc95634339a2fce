// Package gateway is the runtime: one loop goroutine that owns the core, the open calls and the timers.
// Sockets post to its queue; it turns what they bring into events, hands them to the core and carries out the
// actions that come back, in order. It holds no threshold and makes no choice.
package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"winghatch/decide"
	"winghatch/internal/aggregate"
	"winghatch/internal/frontend"
	"winghatch/internal/metrics"
	"winghatch/internal/quotaplan"
	"winghatch/internal/recording"
	"winghatch/internal/reservation"
	"winghatch/internal/tracing"
	"winghatch/internal/upstream"
	"winghatch/internal/usage/outbox"
)

// Nodes carries attempts to nodes; package upstream does.
type Upstream interface {
	Send(*upstream.Call)
	Abandon(*upstream.Call) upstream.AbandonResult
	CloseIdle(node string)
}

// Peers carries messages to other gateways; package peer does.
type Peers interface{ Send(to int, text string) }

type loopInput any

// The inputs of the loop.
type (
	requestReceived    struct{ request *frontend.Request }
	clientDisconnected struct{ id string }
	attemptResult      struct {
		attempt *attempt
		result  upstream.Result
	}
	gossipMessage struct {
		from int
		text string
	}
	funcCall           struct{ run func() }
	planRecordsDurable struct{ record uint64 } // the books' log is durable up to there
	// the books' log failed, or works again
	planLogStatus      struct{ err error }
	changeNotPersisted struct {
		number uint64
		reason string
	}
	reservationReleased struct{ id string } // a call was let pass by its reservation after it was over
)

// open is a call that has no final answer yet, or attempts out.
type openRequest struct {
	*frontend.Request
	attempts  []*attempt
	inFlight  int
	finished  bool
	arrivedAt time.Duration

	awaitingReservation bool // it waits for units that are set aside; the core does not know it yet
	// Of its trace, if there are traces.
	trace         tracing.Context
	sampled       bool
	finishedAt    time.Duration
	outcome       string
	reason        string
	responseUnits float64

	reservedUsed float64 // of units set aside, by the tries that have ended
}

// try is an attempt.
type attempt struct {
	request   *openRequest
	number    int
	server    string
	startedAt time.Duration
	ended     bool
	call      *upstream.Call

	usageID  outbox.ID // its name at the export's desk; 0: nothing is exported of it
	duration time.Duration
	outcome  string // its outcome
	span     trace.SpanID

	awaitingIntent bool // it is not handed to the nodes' connections yet, as its intent is not durable
	denied         bool // it never will be; its end is on its way

	timeoutAt     time.Duration // its time-out; see timers
	timerSequence uint64
	heapIndex     int
}

// Core decides; *decide.Gateway does. Measurements put one that decides nothing in its place.
type Core interface {
	Handle(now time.Duration, ev decide.Event) []decide.Action
	Status() decide.Status
}

// Tamper breaks a gateway on purpose, to try the judge of the rules; nothing else sets it.
type Tamper struct {
	Event    func(decide.Event) decide.Event // nil: the core is not told
	Actions  func(decide.Event, []decide.Action) []decide.Action
	Response func(f frontend.Response, done func(frontend.Response))
}

// Counters are read by anyone.
type Counters struct {
	OpenRequests  atomic.Int64 // calls in the front's and the loop's hands
	Served        atomic.Int64
	Rejected      atomic.Int64
	Failed        atomic.Int64
	Abandoned     atomic.Int64 // clients that left before an answer
	Attempts      atomic.Int64
	LateResponses atomic.Int64 // answers to attempts that were over
}

// Loop owns the core.
type Loop struct {
	Counters
	cfg             decide.Config
	core            Core
	clock           func() time.Duration
	upstream        Upstream
	peers           Peers
	recorder        *recording.Writer
	log             *slog.Logger
	debug           bool // the log takes debug lines
	queue           *queue
	timers          timers
	requests        map[string]*openRequest
	now             time.Duration
	rejections      map[string]int64 // refusals
	outcomes        map[string]int64 // outcomes of attempts
	turns           int64
	timerLag        time.Duration // see Brief
	longestTurn     time.Duration
	maxOpenRequests int64 // calls open at once
	tamper          Tamper
	plans           *quotaPlans           // nil: no changes in service
	usage           *usageOutbox          // nil: nothing is exported
	metrics         *metrics.Set          // nil: nothing is measured
	totals          *aggregate.Aggregator // nil as measures
	tracer          *requestTracer        // nil: no traces
	hasQuotaOwners  bool                  // customers have homes
	stopped         chan struct{}
	stopping        chan struct{}
}

// NewLoop returns a loop that Run starts. tape may be nil.
func NewLoop(cfg decide.Config, core Core, clock func() time.Duration, upstream Upstream, peers Peers, recorder *recording.Writer,
	log *slog.Logger) *Loop {
	l := &Loop{cfg: cfg, core: core, clock: clock, upstream: upstream, peers: peers, recorder: recorder, log: log, queue: newQueue(),
		requests: map[string]*openRequest{}, rejections: map[string]int64{}, outcomes: map[string]int64{},
		stopped: make(chan struct{}), stopping: make(chan struct{}), debug: log.Enabled(context.Background(), slog.LevelDebug)}
	return l
}

// Limit bounds the calls that are open at once; it is set before Run.
func (l *Loop) SetMaxOpenRequests(requests int) { l.maxOpenRequests = int64(requests) }

// Enter counts a call in, or reports that the cap on open calls is reached. That also bounds the queue.
func (l *Loop) Reserve() bool {
	if l.OpenRequests.Add(1) > l.maxOpenRequests {
		l.OpenRequests.Add(-1)
		return false
	}
	return true
}

// Call hands a call to the loop.
func (l *Loop) Submit(c *frontend.Request) { l.queue.post(requestReceived{c}) }

// Gone says that the client of a call left.
func (l *Loop) Disconnected(id string) { l.queue.post(clientDisconnected{id}) }

// Peer hands on a peer's message.
func (l *Loop) ReceiveGossip(from int, text string) { l.queue.post(gossipMessage{from, text}) }

// Fleet hands on news of the list of nodes and returns when it is taken: a list that talks without end waits
// for the loop and does not fill its queue.
func (l *Loop) UpdateEndpoints(ev decide.EndpointUpdate) { l.Do(func() { l.handleEvent(ev) }) }

// Ask runs f in the loop and returns after it; false if the loop has ended.
func (l *Loop) Do(f func()) bool {
	ready := make(chan struct{})
	l.queue.post(funcCall{func() { f(); close(ready) }})
	select {
	case <-ready:
		return true
	case <-l.stopped:
		return false
	}
}

// Stop ends Run after the turn under way.
func (l *Loop) Stop() {
	select {
	case <-l.stopping:
	default:
		close(l.stopping)
	}
	<-l.stopped
}

// Run turns until Stop.
func (l *Loop) Run() {
	defer close(l.stopped)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		// Answers come before the time-outs of the same turn: what has come counts as come.
		l.now = l.clock()
		l.turns++
		for _, in := range l.queue.take() {
			l.handleInput(in)
		}
		if at, ok := l.timers.next(); ok {
			l.timerLag = max(l.timerLag, l.now-at)
		}
		for {
			token, t, ok := l.timers.popDue(l.now)
			if !ok {
				break
			}
			l.fireTimer(token, t)
		}
		l.longestTurn = max(l.longestTurn, l.clock()-l.now)
		if l.recorder != nil && l.queue.len() == 0 {
			l.flushRecording()
		}
		if l.metrics != nil {
			l.metrics.LoopTurn(l.clock() - l.now)
		}
		wait := time.Hour
		if l.plans != nil {
			wait = l.plans.tick()
		}
		if l.totals != nil {
			l.sendTotals()
			wait = min(wait, max(time.Millisecond, l.totals.NextTick()-l.now))
		}
		if at, ok := l.timers.next(); ok {
			wait = max(0, min(wait, at-l.clock()))
		}
		if l.queue.len() > 0 {
			wait = 0
		}
		alarm.Reset(wait)
		select {
		case <-l.stopping:
			l.flushRecording()
			return
		case <-l.queue.wake:
		case <-alarm.C:
		}
	}
}

func (l *Loop) flushRecording() {
	if l.recorder != nil {
		if err := l.recorder.Flush(); err != nil {
			l.log.Error("the tape can't be written, recording ends", "err", err)
			l.recorder = nil
		}
	}
}

func (l *Loop) handleInput(in loopInput) {
	switch in := in.(type) {
	case requestReceived:
		l.startRequest(in.request)
	case clientDisconnected:
		if o := l.requests[in.id]; o != nil && !o.finished {
			o.finished = true
			l.Counters.Abandoned.Add(1)
			l.OpenRequests.Add(-1)
			l.sampleTrace(o, "gone", "", 0)
			l.countResponse(o, "gone", frontend.Response{})
			l.abandonRequest(o)
		}
	case attemptResult:
		l.attemptEnded(in.attempt, in.result)
	case gossipMessage:
		l.receiveFromPeer(in.from, in.text)
	case funcCall:
		in.run()
	case planRecordsDurable:
		l.plans.recordsDurable(in.record)
	case changeNotPersisted:
		l.plans.handlePlanEvent(quotaplan.PersistFailed{Number: in.number, Reason: in.reason})
	case planLogStatus:
		if l.plans.failure = ""; in.err != nil {
			l.plans.failure = in.err.Error()
			l.log.Error("the books' log can't be written, changes and reservations wait", "err", in.err)
		} else {
			l.log.Info("the books' log works again")
		}
	case outboxRecordsDurable:
		l.usage.recordsDurable(in.record)
	case outboxLogStatus:
		l.usage.logStatusChanged(in.err)
	case outboxSnapshotDone:
		l.usage.snapshotDone(in.err)
	case usageAcknowledged:
		l.usage.acknowledged(in.record)
	case reservationReleased:
		l.plans.handleReservationEvent(reservation.RequestEnded{ID: in.id})
	}
}

// callOff ends what the core still does for a finished call.
func (l *Loop) abandonRequest(o *openRequest) {
	if !o.awaitingReservation {
		l.handleEvent(decide.ClientDisconnected{ID: o.ID})
	}
	l.release(o)
}

// FailOpen gives every open call its final answer at once, as failed, and returns after it: the process is about to end.
func (l *Loop) FailOpenRequests() {
	l.Do(func() {
		for _, id := range slices.Sorted(maps.Keys(l.requests)) {
			if o := l.requests[id]; o != nil && !o.finished {
				l.respond(o, frontend.Response{Kind: frontend.Failed})
				l.abandonRequest(o)
			}
		}
	})
}

func (l *Loop) fireTimer(token uint64, t *attempt) {
	if t == nil {
		l.handleEvent(decide.TimerFired{Token: token})
		return
	}
	if res, ok := l.abandonAttempt(t, decide.OutcomeTimedOut); ok {
		l.attemptEnded(t, res)
	}
}

// abandon gives an attempt up. One that provably never left did not run, whatever the clock says. One whose
// end is on its way through the queue is left to that: what has come counts as come.
func (l *Loop) abandonAttempt(t *attempt, outcome decide.Outcome) (upstream.Result, bool) {
	switch {
	case t.awaitingIntent:
		t.awaitingIntent = false
		return upstream.Result{Outcome: decide.OutcomeConnectFailed}, true
	case t.denied:
		return upstream.Result{}, false
	}
	switch l.upstream.Abandon(t.call) {
	case upstream.NotSent:
		return upstream.Result{Outcome: decide.OutcomeConnectFailed}, true
	case upstream.MayHaveRun:
		return upstream.Result{Outcome: outcome}, true
	}
	return upstream.Result{}, false
}

func (l *Loop) startRequest(c *frontend.Request) {
	o := &openRequest{Request: c, arrivedAt: l.now}
	l.requests[c.ID] = o
	if l.tracer != nil {
		o.trace = tracing.StartContext(c.TraceParent, l.tracer.random)
	}
	if l.rejectUncovered(o) {
		return
	}
	if c.Reserved {
		if l.plans == nil {
			l.respond(o, frontend.Response{Kind: frontend.Rejected, Reason: string(reservation.NoReservation)})
			l.release(o)
			return
		}
		o.awaitingReservation = true
		l.plans.handleReservationEvent(reservation.Request{ID: c.ID, Member: c.Customer, Units: c.Units, Deadline: c.Deadline - responseMargin})
		return
	}
	l.admit(o)
}

// answerMargin is kept for a refusal's way to the client.
const responseMargin = 5 * time.Millisecond

// admit hands a call to the core; a reserved one only once its units are there.
func (l *Loop) admit(o *openRequest) {
	c := o.Request
	o.awaitingReservation = false
	l.handleEvent(decide.Request{ID: c.ID, Class: c.Class, Plan: c.Plan, Customer: c.Customer, Units: c.Units,
		Deadline: c.Deadline, FirstGateway: c.FirstGateway, GatewayCount: c.GatewayCount, IsRetry: c.IsRetry, Mutates: c.Mutates,
		Reserved: c.Reserved})
}

// ended takes the end of an attempt. The first OK is the call's final answer.
func (l *Loop) attemptEnded(t *attempt, res upstream.Result) {
	if t.ended {
		l.LateResponses.Add(1)
		return
	}
	t.ended = true
	l.timers.cancelTimeout(t)
	o := t.request
	o.inFlight--
	l.countAttemptEnd(t, res)
	l.outcomes[outcomeNames[res.Outcome]]++
	if l.debug { // asked first: the fields alone cost an allocation each
		l.log.Debug("attempt", "request", o.ID, "attempt", t.number, "member", o.Customer, "server", t.server,
			"class", o.Class, "outcome", outcomeNames[res.Outcome], "took", l.now-t.startedAt, "report", res.LoadReport)
	}
	ev := decide.AttemptEnded{ID: o.ID, Server: t.server, Attempt: t.number, Outcome: res.Outcome, Duration: l.now - t.startedAt,
		ReportedUsage: res.ReportedUsage, LoadReport: res.LoadReport, RequestDone: o.finished}
	if t.usageID != 0 {
		l.usage.settle(t, res)
	}
	if o.Reserved {
		o.settleReserved(res, l.cfg.SettledOnResponse)
	}
	if res.Outcome == decide.OutcomeOK && !o.finished {
		ev.RequestDone = true
		if l.cfg.SettledOnResponse {
			ev.ActualUnits = res.ActualUnits
		}
		l.respond(o, frontend.Response{Kind: frontend.Served, Body: res.Body, Units: res.ActualUnits})
	}
	l.handleEvent(ev)
	l.release(o)
}

// settle notes what a try took of units set aside: what its answer told, or its guess where it may have run.
func (o *openRequest) settleReserved(res upstream.Result, told bool) {
	switch res.Outcome {
	case decide.OutcomeRejected, decide.OutcomeConnectFailed, decide.OutcomeNotDispatched:
	case decide.OutcomeOK:
		if o.reservedUsed = o.Units; told && res.ActualUnits > 0 {
			o.reservedUsed = res.ActualUnits
		}
	default:
		o.reservedUsed = max(o.reservedUsed, o.Units)
	}
}

// final gives the one final answer; a second one is dropped and said.
func (l *Loop) respond(o *openRequest, f frontend.Response) {
	if o.finished {
		l.log.Error("a second final answer was held back", "request", o.ID, "kind", f.Kind.String())
		return
	}
	o.finished = true
	l.OpenRequests.Add(-1)
	switch f.Kind {
	case frontend.Served:
		l.Served.Add(1)
	case frontend.Rejected:
		l.Rejected.Add(1)
		l.rejections[f.Reason]++
	case frontend.Failed:
		l.Failed.Add(1)
	}
	l.sampleTrace(o, f.Kind.String(), f.Reason, f.Units)
	l.countResponse(o, f.Kind.String(), f)
	if l.debug {
		l.log.Debug("final", "request", o.ID, "member", o.Customer, "class", o.Class, "plan", o.Plan, "again", o.IsRetry, "kind", f.Kind.String(), "reason", f.Reason,
			"attempts", len(o.attempts), "took", l.now-o.arrivedAt, "left", o.Deadline-o.arrivedAt, "units", o.Units)
	}
	if l.tamper.Response != nil {
		l.tamper.Response(f, o.Done)
		return
	}
	o.Done(f)
}

// forget drops a finished call once none of its attempts is out.
func (l *Loop) release(o *openRequest) {
	if o.finished && o.inFlight == 0 && l.requests[o.ID] == o {
		delete(l.requests, o.ID)
		l.exportTrace(o)
		if o.Reserved && l.plans != nil {
			l.plans.handleReservationEvent(reservation.RequestEnded{ID: o.ID, Used: o.reservedUsed})
		}
	}
}

func (l *Loop) handleEvent(ev decide.Event) {
	if l.tamper.Event != nil {
		if ev = l.tamper.Event(ev); ev == nil {
			return
		}
	}
	actions := l.core.Handle(l.now, ev)
	if l.tamper.Actions != nil {
		actions = l.tamper.Actions(ev, actions)
	}
	if l.recorder != nil {
		if err := l.recorder.Write(l.now, ev, actions); err != nil {
			l.log.Error("the tape can't be written, recording ends", "err", err)
			l.recorder = nil
		}
	}
	for _, a := range actions {
		l.execute(a)
	}
}

func (l *Loop) execute(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		l.dispatch(a)
	case decide.Cancel:
		l.cancelAttempt(a)
	case decide.Reject:
		if o := l.requests[a.ID]; o != nil {
			l.respond(o, frontend.Response{Kind: frontend.Rejected, RetryAfter: a.RetryAfter, Reason: string(a.Reason)})
			l.release(o)
		}
	case decide.Fail:
		if o := l.requests[a.ID]; o != nil {
			l.respond(o, frontend.Response{Kind: frontend.Failed})
			l.release(o)
		}
	case decide.SetTimer:
		l.timers.setTimer(a.At, a.Token)
	case decide.CloseIdle:
		l.upstream.CloseIdle(a.Server)
	case decide.SendGossip:
		if l.peers != nil {
			if l.metrics != nil {
				l.metrics.GrantMessage(a.Text, "out")
			}
			l.peers.Send(a.To, a.Text)
		}
	case decide.Log:
		l.log.Info(a.Text)
	default:
		// Probe, Subscribe, FetchList and Count can't come: no setting of the program lets the core use them.
		l.log.Error("an action that this gateway does not carry", "action", a)
	}
}

func (l *Loop) dispatch(a decide.Send) {
	o := l.requests[a.ID]
	if o == nil {
		return
	}
	l.countRetry(o)
	t := &attempt{request: o, number: len(o.attempts), server: a.Server, startedAt: l.now}
	o.attempts = append(o.attempts, t)
	if l.tracer != nil {
		t.span = tracing.NewSpanID(l.tracer.random)
	}
	o.inFlight++
	left := o.Deadline - l.now
	if a.Timeout > 0 {
		left = min(left, a.Timeout)
	}
	if o.finished || left <= 0 || len(o.attempts) > l.cfg.Limits.MaxAttempts {
		l.queue.post(attemptResult{t, upstream.Result{Outcome: decide.OutcomeNotDispatched}})
		return
	}
	l.Attempts.Add(1)
	t.call = &upstream.Call{Server: a.Server, Method: o.Class,
		Done: func(r upstream.Result) { l.queue.post(attemptResult{t, r}) }}
	due := l.now + left
	t.call.Cancelled = func() bool {
		now := l.clock()
		return due-now < minAttemptTimeout || a.WriteBefore > 0 && now >= a.WriteBefore || o.ClientGone != nil && o.ClientGone()
	}
	if o.EncodeAttempt != nil {
		t.call.BuildParams = func() []byte { return o.EncodeAttempt(t.number, due-l.clock()) }
	} else {
		t.call.Params = o.attemptParams(t.number, left)
	}
	l.timers.setTimeout(t, due)
	if l.usage != nil {
		l.usage.recordIntent(t)
		return
	}
	l.upstream.Send(t.call)
}

// leastTold is the least time that an attempt can tell its server, in whole milliseconds; with less left it is not written.
const minAttemptTimeout = time.Millisecond

// params is what a node is told of an attempt.
func (o *openRequest) attemptParams(n int, left time.Duration) []byte {
	b := make([]byte, 0, 160+len(o.Payload))
	b = append(b, `{"request":`...)
	b = strconv.AppendQuote(b, o.ID)
	b = append(b, `,"attempt":`...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, `,"member":`...)
	b = appendJSONString(b, o.Customer)
	if o.IdempotencyKey != "" {
		b = append(b, `,"key":`...)
		b = appendJSONString(b, o.IdempotencyKey)
	}
	b = append(b, `,"units":`...)
	b = strconv.AppendFloat(b, o.Units, 'g', -1, 64)
	b = append(b, `,"timeout_ms":`...)
	b = strconv.AppendFloat(b, float64(left)/float64(time.Millisecond), 'f', 3, 64)
	if o.trace.Span.IsValid() {
		b = append(append(append(b, `,"traceparent":"`...), o.trace.Traceparent(o.attempts[n].span)...), '"')
	}
	if len(o.Payload) > 0 {
		b = append(append(b, `,"work":`...), o.Payload...)
	}
	return append(b, '}')
}

func appendJSONString(dst []byte, s string) []byte {
	if !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == '"' || r == '\\' || r > '~' }) {
		return append(append(append(dst, '"'), s...), '"') // which names and keys nearly always are
	}
	raw, _ := json.Marshal(s) // a string always can be
	return append(dst, raw...)
}

func (l *Loop) cancelAttempt(a decide.Cancel) {
	o := l.requests[a.ID]
	if o == nil || a.Attempt < 0 || a.Attempt >= len(o.attempts) {
		return
	}
	t := o.attempts[a.Attempt]
	if t.ended || t.call == nil {
		return
	}
	if res, ok := l.abandonAttempt(t, decide.OutcomeCancelled); ok {
		l.queue.post(attemptResult{t, res}) // its end comes in an event of its own, behind the actions under way
	}
}

var outcomeNames = map[decide.Outcome]string{decide.OutcomeOK: "ok", decide.OutcomeError: "error", decide.OutcomeRejected: "full",
	decide.OutcomeTimedOut: "timed_out", decide.OutcomeConnectFailed: "no_connection", decide.OutcomeReset: "reset",
	decide.OutcomeCancelled: "cancelled", decide.OutcomeNotDispatched: "moot"}
