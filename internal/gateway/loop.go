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
	upstreamws "winghatch/internal/upstream/websocket"
	"winghatch/internal/usage/outbox"
)

// Nodes carries attempts to nodes; package upstream does.
type Nodes interface {
	Send(*upstreamws.Call)
	Abandon(*upstreamws.Call) upstreamws.Given
	CloseIdle(node string)
}

// Peers carries messages to other gateways; package peer does.
type Peers interface{ Send(to int, text string) }

type input any

// The inputs of the loop.
type (
	inCall struct{ call *frontend.Call }
	inGone struct{ id string }
	inEnd  struct {
		try *try
		res upstreamws.Result
	}
	inPeer struct {
		from int
		text string
	}
	inAsk  struct{ f func() }
	inKept struct{ rec uint64 } // the books' log is durable up to there
	// the books' log failed, or works again
	inBookLog struct{ err error }
	inNotKept struct {
		number uint64
		why    string
	}
	inUnreserve struct{ id string } // a call was let pass by its reservation after it was over
)

// open is a call that has no final answer yet, or attempts out.
type open struct {
	*frontend.Call
	tries    []*try
	out      int
	finished bool
	at       time.Duration

	reserving bool // it waits for units that are set aside; the core does not know it yet
	// Of its trace, if there are traces.
	trace    tracing.Context
	sampled  bool
	end      time.Duration
	outcome  string
	reason   string
	answered float64

	used float64 // of units set aside, by the tries that have ended
}

// try is an attempt.
type try struct {
	o    *open
	n    int
	node string
	at   time.Duration
	over bool
	call *upstreamws.Call

	owe   outbox.ID // its name at the export's desk; 0: nothing is exported of it
	took  time.Duration
	ended string // its outcome
	span  trace.SpanID

	held   bool // it is not handed to the nodes' connections yet, as its intent is not durable
	denied bool // it never will be; its end is on its way

	due   time.Duration // its time-out; see timers
	no    uint64
	index int
}

// Core decides; *decide.Gateway does. Measurements put one that decides nothing in its place.
type Core interface {
	Handle(now time.Duration, ev decide.Event) []decide.Action
	Status() decide.Status
}

// Tamper breaks a gateway on purpose, to try the judge of the rules; nothing else sets it.
type Tamper struct {
	Event   func(decide.Event) decide.Event // nil: the core is not told
	Actions func(decide.Event, []decide.Action) []decide.Action
	Final   func(f frontend.Final, done func(frontend.Final))
}

// Counters are read by anyone.
type Counters struct {
	Open    atomic.Int64 // calls in the front's and the loop's hands
	Served  atomic.Int64
	Refused atomic.Int64
	Failed  atomic.Int64
	Gone    atomic.Int64 // clients that left before an answer
	Tries   atomic.Int64
	Late    atomic.Int64 // answers to attempts that were over
}

// Loop owns the core.
type Loop struct {
	Counters
	cfg      decide.Config
	core     Core
	clock    func() time.Duration
	nodes    Nodes
	peers    Peers
	tape     *recording.Writer
	log      *slog.Logger
	chatty   bool // the log takes debug lines
	q        *queue
	timers   timers
	opens    map[string]*open
	now      time.Duration
	reasons  map[string]int64 // refusals
	ends     map[string]int64 // outcomes of attempts
	turns    int64
	lag      time.Duration // see Brief
	turn     time.Duration
	limit    int64 // calls open at once
	tamper   Tamper
	books    *books            // nil: no changes in service
	owed     *owed             // nil: nothing is exported
	measures *metrics.Set      // nil: nothing is measured
	sums     *aggregate.Summer // nil as measures
	traces   *traced           // nil: no traces
	homes    bool              // customers have homes
	done     chan struct{}
	quit     chan struct{}
}

// NewLoop returns a loop that Run starts. tape may be nil.
func NewLoop(cfg decide.Config, core Core, clock func() time.Duration, nodes Nodes, peers Peers, tp *recording.Writer,
	log *slog.Logger) *Loop {
	l := &Loop{cfg: cfg, core: core, clock: clock, nodes: nodes, peers: peers, tape: tp, log: log, q: newQueue(),
		opens: map[string]*open{}, reasons: map[string]int64{}, ends: map[string]int64{},
		done: make(chan struct{}), quit: make(chan struct{}), chatty: log.Enabled(context.Background(), slog.LevelDebug)}
	return l
}

// Limit bounds the calls that are open at once; it is set before Run.
func (l *Loop) Limit(calls int) { l.limit = int64(calls) }

// Enter counts a call in, or reports that the cap on open calls is reached. That also bounds the queue.
func (l *Loop) Enter() bool {
	if l.Open.Add(1) > l.limit {
		l.Open.Add(-1)
		return false
	}
	return true
}

// Call hands a call to the loop.
func (l *Loop) Call(c *frontend.Call) { l.q.post(inCall{c}) }

// Gone says that the client of a call left.
func (l *Loop) Gone(id string) { l.q.post(inGone{id}) }

// Peer hands on a peer's message.
func (l *Loop) Peer(from int, text string) { l.q.post(inPeer{from, text}) }

// Fleet hands on news of the list of nodes and returns when it is taken: a list that talks without end waits
// for the loop and does not fill its queue.
func (l *Loop) Fleet(ev decide.EndpointUpdate) { l.Ask(func() { l.handle(ev) }) }

// Ask runs f in the loop and returns after it; false if the loop has ended.
func (l *Loop) Ask(f func()) bool {
	ready := make(chan struct{})
	l.q.post(inAsk{func() { f(); close(ready) }})
	select {
	case <-ready:
		return true
	case <-l.done:
		return false
	}
}

// Stop ends Run after the turn under way.
func (l *Loop) Stop() {
	select {
	case <-l.quit:
	default:
		close(l.quit)
	}
	<-l.done
}

// Run turns until Stop.
func (l *Loop) Run() {
	defer close(l.done)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		// Answers come before the time-outs of the same turn: what has come counts as come.
		l.now = l.clock()
		l.turns++
		for _, in := range l.q.take() {
			l.input(in)
		}
		if at, ok := l.timers.next(); ok {
			l.lag = max(l.lag, l.now-at)
		}
		for {
			token, t, ok := l.timers.due(l.now)
			if !ok {
				break
			}
			l.fire(token, t)
		}
		l.turn = max(l.turn, l.clock()-l.now)
		if l.tape != nil && l.q.len() == 0 {
			l.flushTape()
		}
		if l.measures != nil {
			l.measures.Turn(l.clock() - l.now)
		}
		wait := time.Hour
		if l.books != nil {
			wait = l.books.due()
		}
		if l.sums != nil {
			l.tellSums()
			wait = min(wait, max(time.Millisecond, l.sums.Next()-l.now))
		}
		if at, ok := l.timers.next(); ok {
			wait = max(0, min(wait, at-l.clock()))
		}
		if l.q.len() > 0 {
			wait = 0
		}
		alarm.Reset(wait)
		select {
		case <-l.quit:
			l.flushTape()
			return
		case <-l.q.wake:
		case <-alarm.C:
		}
	}
}

func (l *Loop) flushTape() {
	if l.tape != nil {
		if err := l.tape.Flush(); err != nil {
			l.log.Error("the tape can't be written, recording ends", "err", err)
			l.tape = nil
		}
	}
}

func (l *Loop) input(in input) {
	switch in := in.(type) {
	case inCall:
		l.request(in.call)
	case inGone:
		if o := l.opens[in.id]; o != nil && !o.finished {
			o.finished = true
			l.Counters.Gone.Add(1)
			l.Open.Add(-1)
			l.finalTrace(o, "gone", "", 0)
			l.measureFinal(o, "gone", frontend.Final{})
			l.callOff(o)
		}
	case inEnd:
		l.ended(in.try, in.res)
	case inPeer:
		l.heard(in.from, in.text)
	case inAsk:
		in.f()
	case inKept:
		l.books.durable(in.rec)
	case inNotKept:
		l.books.toBook(quotaplan.NotKept{Number: in.number, Why: in.why})
	case inBookLog:
		if l.books.failure = ""; in.err != nil {
			l.books.failure = in.err.Error()
			l.log.Error("the books' log can't be written, changes and reservations wait", "err", in.err)
		} else {
			l.log.Info("the books' log works again")
		}
	case inOwed:
		l.owed.durable(in.rec)
	case inOwedLog:
		l.owed.logFailed(in.err)
	case inSnapped:
		l.owed.snapped(in.err)
	case inAcked:
		l.owed.acked(in.rec)
	case inUnreserve:
		l.books.toLedger(reservation.Ended{ID: in.id})
	}
}

// callOff ends what the core still does for a finished call.
func (l *Loop) callOff(o *open) {
	if !o.reserving {
		l.handle(decide.ClientDisconnected{ID: o.ID})
	}
	l.forget(o)
}

// FailOpen gives every open call its final answer at once, as failed, and returns after it: the process is about to end.
func (l *Loop) FailOpen() {
	l.Ask(func() {
		for _, id := range slices.Sorted(maps.Keys(l.opens)) {
			if o := l.opens[id]; o != nil && !o.finished {
				l.final(o, frontend.Final{Kind: frontend.Failed})
				l.callOff(o)
			}
		}
	})
}

func (l *Loop) fire(token uint64, t *try) {
	if t == nil {
		l.handle(decide.TimerFired{Token: token})
		return
	}
	if res, ok := l.abandon(t, decide.OutcomeTimedOut); ok {
		l.ended(t, res)
	}
}

// abandon gives an attempt up. One that provably never left did not run, whatever the clock says. One whose
// end is on its way through the queue is left to that: what has come counts as come.
func (l *Loop) abandon(t *try, as decide.Outcome) (upstreamws.Result, bool) {
	switch {
	case t.held:
		t.held = false
		return upstreamws.Result{Outcome: decide.OutcomeConnectFailed}, true
	case t.denied:
		return upstreamws.Result{}, false
	}
	switch l.nodes.Abandon(t.call) {
	case upstreamws.NeverLeft:
		return upstreamws.Result{Outcome: decide.OutcomeConnectFailed}, true
	case upstreamws.MayRun:
		return upstreamws.Result{Outcome: as}, true
	}
	return upstreamws.Result{}, false
}

func (l *Loop) request(c *frontend.Call) {
	o := &open{Call: c, at: l.now}
	l.opens[c.ID] = o
	if l.traces != nil {
		o.trace = tracing.Accept(c.TraceParent, l.traces.rng)
	}
	if l.refuseUncovered(o) {
		return
	}
	if c.Reserved {
		if l.books == nil {
			l.final(o, frontend.Final{Kind: frontend.Refused, Reason: string(reservation.None)})
			l.forget(o)
			return
		}
		o.reserving = true
		l.books.toLedger(reservation.Call{ID: c.ID, Member: c.Member, Units: c.Units, Until: c.Deadline - answerMargin})
		return
	}
	l.admit(o)
}

// answerMargin is kept for a refusal's way to the client.
const answerMargin = 5 * time.Millisecond

// admit hands a call to the core; a reserved one only once its units are there.
func (l *Loop) admit(o *open) {
	c := o.Call
	o.reserving = false
	l.handle(decide.Request{ID: c.ID, Class: c.Class, Plan: c.Plan, Customer: c.Member, Units: c.Units,
		Deadline: c.Deadline, FirstGateway: c.First, GatewayCount: c.Spread, IsRetry: c.Again, Mutates: c.Write,
		Reserved: c.Reserved})
}

// ended takes the end of an attempt. The first OK is the call's final answer.
func (l *Loop) ended(t *try, res upstreamws.Result) {
	if t.over {
		l.Late.Add(1)
		return
	}
	t.over = true
	l.timers.withdraw(t)
	o := t.o
	o.out--
	l.measureEnd(t, res)
	l.ends[outcomeNames[res.Outcome]]++
	if l.chatty { // asked first: the fields alone cost an allocation each
		l.log.Debug("attempt", "request", o.ID, "attempt", t.n, "member", o.Member, "server", t.node,
			"class", o.Class, "outcome", outcomeNames[res.Outcome], "took", l.now-t.at, "report", res.Report)
	}
	ev := decide.AttemptEnded{ID: o.ID, Server: t.node, Attempt: t.n, Outcome: res.Outcome, Duration: l.now - t.at,
		ReportedUsage: res.Metered, LoadReport: res.Report, RequestDone: o.finished}
	if t.owe != 0 {
		l.owed.settle(t, res)
	}
	if o.Reserved {
		o.settle(res, l.cfg.SettledOnResponse)
	}
	if res.Outcome == decide.OutcomeOK && !o.finished {
		ev.RequestDone = true
		if l.cfg.SettledOnResponse {
			ev.ActualUnits = res.TrueUnits
		}
		l.final(o, frontend.Final{Kind: frontend.Served, Body: res.Body, Units: res.TrueUnits})
	}
	l.handle(ev)
	l.forget(o)
}

// settle notes what a try took of units set aside: what its answer told, or its guess where it may have run.
func (o *open) settle(res upstreamws.Result, told bool) {
	switch res.Outcome {
	case decide.OutcomeRejected, decide.OutcomeConnectFailed, decide.OutcomeNotDispatched:
	case decide.OutcomeOK:
		if o.used = o.Units; told && res.TrueUnits > 0 {
			o.used = res.TrueUnits
		}
	default:
		o.used = max(o.used, o.Units)
	}
}

// final gives the one final answer; a second one is dropped and said.
func (l *Loop) final(o *open, f frontend.Final) {
	if o.finished {
		l.log.Error("a second final answer was held back", "request", o.ID, "kind", f.Kind.String())
		return
	}
	o.finished = true
	l.Open.Add(-1)
	switch f.Kind {
	case frontend.Served:
		l.Served.Add(1)
	case frontend.Refused:
		l.Refused.Add(1)
		l.reasons[f.Reason]++
	case frontend.Failed:
		l.Failed.Add(1)
	}
	l.finalTrace(o, f.Kind.String(), f.Reason, f.Units)
	l.measureFinal(o, f.Kind.String(), f)
	if l.chatty {
		l.log.Debug("final", "request", o.ID, "member", o.Member, "class", o.Class, "plan", o.Plan, "again", o.Again, "kind", f.Kind.String(), "reason", f.Reason,
			"attempts", len(o.tries), "took", l.now-o.at, "left", o.Deadline-o.at, "units", o.Units)
	}
	if l.tamper.Final != nil {
		l.tamper.Final(f, o.Done)
		return
	}
	o.Done(f)
}

// forget drops a finished call once none of its attempts is out.
func (l *Loop) forget(o *open) {
	if o.finished && o.out == 0 && l.opens[o.ID] == o {
		delete(l.opens, o.ID)
		l.tellTrace(o)
		if o.Reserved && l.books != nil {
			l.books.toLedger(reservation.Ended{ID: o.ID, Used: o.used})
		}
	}
}

func (l *Loop) handle(ev decide.Event) {
	if l.tamper.Event != nil {
		if ev = l.tamper.Event(ev); ev == nil {
			return
		}
	}
	acts := l.core.Handle(l.now, ev)
	if l.tamper.Actions != nil {
		acts = l.tamper.Actions(ev, acts)
	}
	if l.tape != nil {
		if err := l.tape.Write(l.now, ev, acts); err != nil {
			l.log.Error("the tape can't be written, recording ends", "err", err)
			l.tape = nil
		}
	}
	for _, a := range acts {
		l.carry(a)
	}
}

func (l *Loop) carry(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		l.send(a)
	case decide.Cancel:
		l.cancel(a)
	case decide.Reject:
		if o := l.opens[a.ID]; o != nil {
			l.final(o, frontend.Final{Kind: frontend.Refused, RetryAfter: a.RetryAfter, Reason: string(a.Reason)})
			l.forget(o)
		}
	case decide.Fail:
		if o := l.opens[a.ID]; o != nil {
			l.final(o, frontend.Final{Kind: frontend.Failed})
			l.forget(o)
		}
	case decide.SetTimer:
		l.timers.set(a.At, a.Token)
	case decide.CloseIdle:
		l.nodes.CloseIdle(a.Server)
	case decide.SendGossip:
		if l.peers != nil {
			if l.measures != nil {
				l.measures.Word(a.Text, "out")
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

func (l *Loop) send(a decide.Send) {
	o := l.opens[a.ID]
	if o == nil {
		return
	}
	l.measureSend(o)
	t := &try{o: o, n: len(o.tries), node: a.Server, at: l.now}
	o.tries = append(o.tries, t)
	if l.traces != nil {
		t.span = tracing.NewSpan(l.traces.rng)
	}
	o.out++
	left := o.Deadline - l.now
	if a.Timeout > 0 {
		left = min(left, a.Timeout)
	}
	if o.finished || left <= 0 || len(o.tries) > l.cfg.Limits.MaxAttempts {
		l.q.post(inEnd{t, upstreamws.Result{Outcome: decide.OutcomeNotDispatched}})
		return
	}
	l.Tries.Add(1)
	t.call = &upstreamws.Call{Node: a.Server, Method: o.Class,
		Done: func(r upstreamws.Result) { l.q.post(inEnd{t, r}) }}
	due := l.now + left
	t.call.Late = func() bool {
		now := l.clock()
		return due-now < leastTold || a.WriteBefore > 0 && now >= a.WriteBefore || o.Left != nil && o.Left()
	}
	if o.Form != nil {
		t.call.Form = func() []byte { return o.Form(t.n, due-l.clock()) }
	} else {
		t.call.Params = o.params(t.n, left)
	}
	l.timers.timeOut(t, due)
	if l.owed != nil {
		l.owed.intend(t)
		return
	}
	l.nodes.Send(t.call)
}

// leastTold is the least time that an attempt can tell its server, in whole milliseconds; with less left it is not written.
const leastTold = time.Millisecond

// params is what a node is told of an attempt.
func (o *open) params(n int, left time.Duration) []byte {
	b := make([]byte, 0, 160+len(o.Work))
	b = append(b, `{"request":`...)
	b = strconv.AppendQuote(b, o.ID)
	b = append(b, `,"attempt":`...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, `,"member":`...)
	b = appendJSON(b, o.Member)
	if o.Key != "" {
		b = append(b, `,"key":`...)
		b = appendJSON(b, o.Key)
	}
	b = append(b, `,"units":`...)
	b = strconv.AppendFloat(b, o.Units, 'g', -1, 64)
	b = append(b, `,"timeout_ms":`...)
	b = strconv.AppendFloat(b, float64(left)/float64(time.Millisecond), 'f', 3, 64)
	if o.trace.Span.IsValid() {
		b = append(append(append(b, `,"traceparent":"`...), o.trace.Parentage(o.tries[n].span)...), '"')
	}
	if len(o.Work) > 0 {
		b = append(append(b, `,"work":`...), o.Work...)
	}
	return append(b, '}')
}

func appendJSON(dst []byte, s string) []byte {
	if !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == '"' || r == '\\' || r > '~' }) {
		return append(append(append(dst, '"'), s...), '"') // which names and keys nearly always are
	}
	raw, _ := json.Marshal(s) // a string always can be
	return append(dst, raw...)
}

func (l *Loop) cancel(a decide.Cancel) {
	o := l.opens[a.ID]
	if o == nil || a.Attempt < 0 || a.Attempt >= len(o.tries) {
		return
	}
	t := o.tries[a.Attempt]
	if t.over || t.call == nil {
		return
	}
	if res, ok := l.abandon(t, decide.OutcomeCancelled); ok {
		l.q.post(inEnd{t, res}) // its end comes in an event of its own, behind the actions under way
	}
}

var outcomeNames = map[decide.Outcome]string{decide.OutcomeOK: "ok", decide.OutcomeError: "error", decide.OutcomeRejected: "full",
	decide.OutcomeTimedOut: "timed_out", decide.OutcomeConnectFailed: "no_connection", decide.OutcomeReset: "reset",
	decide.OutcomeCancelled: "cancelled", decide.OutcomeNotDispatched: "moot"}
