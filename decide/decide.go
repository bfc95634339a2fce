// This file holds every decision and every tuned constant; decide/api.go the interface, state.go what a
// gateway keeps, codec.go the digits of messages. Read it in this order: constants; how events are taken;
// quota; sharing; homes; choice and health of servers; attempts and deadlines; guards of the rules.

package decide

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Quota.
const (
	partMemory  = 2 * time.Second  // memory of asked units: long against gaps, short against shifts
	partPrior   = 0.05             // seconds of the even slice mixed in: steadies rare askers
	startLevel  = 0.5              // of the mark: level after a start, as the past is unknown
	peerStale   = 1 * time.Second  // a peer not heard for this long no longer settles buckets
	meterStale  = 3 * time.Second  // the meter is late; older totals say nothing
	meterGrow   = 1.02             // of the factor on the part, a report ...
	meterShrink = 0.95             // ... while the metered total exceeds the rate
	demandFor   = 30 * time.Second // metered demand fades to the usual one in this
	askAtStart  = 0.25             // of a quota is what an ask stands for until the meter tells
	demandLeast = 0.25             // who asks for little is let in again at once
	demandGain  = 0.2              // of a customer's in its plan's usual one
	forgetAfter = time.Minute      // idle customers are dropped; every bucket and store is as new by then
	slackPart   = 0.9              // of the ceiling's slack is used: the rest is for rounding
)

// Sharing.
const (
	intakePart = 0.8                    // of the stated intake is used by all peers together
	askedStep  = 0.25                   // of the burst: asked units that are worth telling
	quietBeat  = 400 * time.Millisecond // an idle peer still says that it lives
)

// Homes, where the intake is too small for telling everyone.
const (
	meshPace   = 2.0                    // messages a second between any two: under it customers have homes
	homes      = 2                      // of a customer; the second stands in for a silent first
	askIntake  = 0.4                    // of the intake is for questions; beyond it refused ones wait longer
	askFirst   = 30 * time.Millisecond  // wait for a home's word, until round trips were seen ...
	askWaits   = 2.0                    // ... then so many times the usual one, and askLeast more
	askLeast   = 12 * time.Millisecond  // a turn or two of either side
	homeSilent = 300 * time.Millisecond // a home that twice gave no answer is not asked for so long
	grantsKept = 3 * time.Second        // a home knows for so long what it granted
	grantUse   = 100 * time.Millisecond // a grant under a ceiling is used within this, which the slack bears
	waitMost   = 30 * time.Second       // longest wait that a home puts on those it refuses
	waitLeast  = 0.1                    // seconds that refused ones wait where questions fill the intake ...
	waitGrow   = 1.15                   // ... and longer with each ...
	waitShrink = 0.9                    // ... and less where they don't
	homeBeat   = 100 * time.Millisecond // pace of the upkeep
)

// Servers.
const (
	baseGain   = 0.03             // gain of a class's usual time: slow, it is the fleet's yardstick
	slowGain   = 0.2              // gain of a server's slowness against that: a few answers tell
	firstGuess = 0.2              // of the aim: the usual time before any answer
	slowMemory = 2 * time.Second  // slowness fades at least so slowly: the unused get another look
	crossZone  = 1.03             // factor on the estimate of a server in another zone
	coldMargin = 0.5              // of the cold budget is used: costs vary and others' traffic is guessed
	memoryOf   = 4.0              // answers of a server are how long its slowness is known ...
	memoryMost = 20.0             // ... in seconds, this at most
	missFades  = 2.0              // times that: known of a class's failures
	missGain   = 0.25             // gain of a server's share of a class's requests that it leaves or fails
	newsOf     = 3                // sights that a word carries
	missNear   = 0.2              // over the least such share: as good as the best
	usedFor    = 20 * time.Second // what was sent longer ago is nothing in the sum of what is sent
	lookAt     = 16               // servers, from a random one on, are looked at for a request
)

// Attempts.
const (
	stoodFrom = 100 * time.Millisecond // and two beats without any event: this gateway stood still
	waitPart  = 0.7                    // work that nobody waits for counts as load for so long
	openLeast = 3.0                    // attempts out a server, of all gateways, that are always allowed
	aimMargin = 6 * time.Millisecond   // an answer must be back at the client within the aim
	leftNoise = 20 * time.Millisecond  // between the times that two tries have left: less says nothing

	overdueX    = 4.0  // times its estimate: an attempt is overdue
	silentFrom  = 2.0  // answers that should have come from a server which gave none: it may be silent
	callOffFrom = 0.3  // share missed: on thin evidence only a server known for it is given up on early
	budgetPart  = 0.15 // further attempts a first attempt, by this much the retry budget grows ...
	budgetMost  = 10.0 // ... up to this many
	openFree    = 4.0  // own attempts out that press nobody where evidence is thin: one alone says nothing
	openTold    = 6.0  // attempts out a server, by the mean told, that are always allowed
	toldGain    = 0.1  // gain of a told figure in that mean: ten words are a picture of the fleet ...
	ownGain     = 0.03 // ... and of the own at each beat: without words the mean is the own in some seconds
	shedFrom    = 0.25 // of the cap on open work, where the least worth work is shed
	reservedTo  = 1.25 // times as much pressure: reserved work goes before other of the same worth
	shedTo      = 0.8  // of the time left: an estimate over it is hopeless
)

// Times of a request, in the quickest aim of a class, as sites differ in scale. Told in milliseconds they
// let customers of a site of short aims come back too late, and ghosts fill its cap.
const (
	ghostFor    = 3.0 // work that nobody waits for counts as load no longer than this
	overdueMin  = 0.3
	retryAdvice = 0.4
)

// Handle takes one event at the time now and returns what is to be done, in order.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.out = nil
	if gap := now - g.now; g.begun && gap > stoodFrom+2*g.beatEvery() {
		g.stoodAt, g.stood = now, gap
	}
	g.now = max(now, g.now)
	if !g.begun {
		g.begun, g.started = true, g.now
		g.do(SetTimer{g.now + g.beatEvery(), beatToken})
	}
	switch e := ev.(type) {
	case EndpointUpdate:
		g.fleet(e)
	case Request:
		g.request(e)
	case ResponseStarted:
		if a := g.attempt(e.ID, e.Attempt); a != nil {
			g.requests[e.ID].streaming = true
			a.server.lastGood = g.now
		}
	case AttemptEnded:
		g.ended(e)
	case ClientDisconnected:
		g.finish(g.requests[e.ID])
	case TimerFired:
		g.timer(e.Token)
	case GossipReceived:
		g.heard(e)
	case PlanChange:
		g.newTerms(e)
	}
	return g.out
}

func (g *Gateway) timer(token uint64) {
	if token == beatToken {
		g.beat()
		return
	}
	ref, ok := g.timers[token]
	delete(g.timers, token)
	if r := g.requests[ref.id]; ok && ref.n < 0 && r != nil && r.asking {
		g.unheard(r, ref.due)
	} else if a := g.attempt(ref.id, ref.n); ok && a != nil && !a.over {
		g.overdue(r, a)
	}
}

// ---- Quota.

// leak brings a customer's buckets, store and part up to now.
func (g *Gateway) leak(c *customer) {
	dt := (g.now - c.at).Seconds()
	c.at = g.now
	c.level = max(0, c.level-c.part*c.plan.Rate*dt)
	c.whole = max(0, c.whole-c.plan.Rate*dt)
	even := 1 / float64(c.spread)
	slice := even
	if !g.mesh {
		slice = 1.0 / homes
	}
	c.store = min(c.store+c.plan.CeilingRate*slice*dt, c.plan.CeilingBurst*slice)
	own := c.asked.get(g.now) + partPrior*c.plan.Rate*even
	if !g.mesh && g.now-c.toldAt < partMemory {
		c.part = min(1, max(even, own/max(own, c.asksAll)))
		return
	}
	all := own
	oldest := g.now
	for i := range g.peers {
		if i != g.cfg.Rank && g.inSet(c, i) {
			all += c.told[i].rate.get(g.now) + partPrior*c.plan.Rate*even
			if oldest = min(oldest, g.peers[i].heard); !g.peers[i].known {
				oldest = g.now - peerStale
			}
		}
	}
	c.part = even
	if g.now-oldest >= peerStale || all == 0 || (len(g.peers) == 0 && c.spread > 1) {
		if c.metered > 0 && g.now-c.meteredAt < meterStale {
			c.part = max(even, min(1, c.factor*c.used.get(g.now)/c.metered))
		}
		return
	}
	c.part = max(even, own/all)
	if c.spread > 1 && oldest > c.settled {
		if c.settled = oldest; all <= c.plan.Rate {
			c.level = 0 // else all contend for what leaks: each takes its part alone
		}
		c.level = max(c.level, c.part*c.whole)
	}
}

// admit decides whether the quota has room.
func (g *Gateway) admit(c *customer, r *request) bool {
	g.leak(c)
	c.asked.add(g.now, r.units)
	if c.askedSum += r.units; c.askedSum-c.askedTold > askedStep*c.plan.Burst {
		c.askedTold = c.askedSum
		g.tellSoon(c, 0, len(g.peers)) // what was sent on is told at once, what was only asked by the step
	}
	if r.why = c.lacks(r.units); r.why == "" && c.plan.CeilingRate > 0 && // an even slice, empty at a start
		c.store+slackPart*c.plan.CeilingSlack/float64(c.spread) < r.units {
		r.why = ReasonOverCeiling
	}
	if g.alone(c) {
		c.asks = 1 + c.asks*math.Exp(-(g.now-c.askedAt).Seconds()/demandFor.Seconds())
		c.askedAt = g.now
		if r.why == "" && g.rng.Float64()*g.demand(c) >= 1 {
			r.why = ReasonOverQuota
		}
	}
	return r.why == ""
}

// alone reports that a customer's gateways hear nothing of each other but by the meter.
func (g *Gateway) alone(c *customer) bool {
	return g.cfg.UsageReportPeriod > 0 && c.spread > 1 && g.mesh && len(g.peers) == 0
}

// demand is what a customer asks for over what its quota allows, as the meter tells of all gateways. Its
// inverse is the share of its requests that is let in. Where a part of a mark or cap is under one request,
// only chance can keep it: one request at each of hundreds is far beyond it. Of a customer not metered for
// long, what others of its plan that ask as often have tells. It should catch any quota that is small
// against the gateways; it harms those that keep theirs where most that ask as often don't.
func (g *Gateway) demand(c *customer) float64 {
	usual := c.asks * math.Exp(g.perAsk[c.planNo])
	return usual + (c.demand-usual)*math.Exp(-(g.now-c.demandAt).Seconds()/demandFor.Seconds())
}

// lacks tells what of this gateway's part, of rate or cap, does not bear the units. Its part of the cap on
// attempts out is rounded down, though one may always be out: rounded up, all gateways are far beyond it.
func (c *customer) lacks(units float64) RejectReason {
	switch {
	case c.plan.Rate > 0 && c.level+c.part*units > c.part*c.plan.Burst:
		return ReasonOverQuota
	case c.plan.MaxInFlight > 0 && float64(c.open) >= max(1, math.Floor(c.part*float64(c.plan.MaxInFlight))):
		return ReasonTooManyInFlight
	}
	return ""
}

// meter takes what an answer tells of the customer's use; it decides the part where peers are silent. What it
// tells is older than what was done since: demand moves by the time since it last did, not by each answer.
func (g *Gateway) meter(c *customer, percent int) {
	if was := g.demand(c); g.alone(c) && c.asks > 0 {
		gain := min(1, float64(g.now-c.demandAt)/float64(meterStale))
		if c.plan.Rate > 0 { // a burst is no more than the mark bears
			gain *= min(1, g.cfg.UsageReportPeriod.Seconds()*c.plan.Rate/c.plan.Burst)
		}
		let := min(1, 1/was) // of what it asked for, while that was metered
		c.demand = max(demandLeast, was+gain*(float64(percent-1)/100/let-was))
		c.demandAt = g.now
		usual := &g.perAsk[c.planNo]
		*usual += demandGain * min(1/let, 4) * (math.Log(c.demand/c.asks) - *usual)
	}
	c.metered, c.meteredAt = float64(percent-1)/100*c.plan.Rate, g.now
	c.factor = min(1, c.factor*meterGrow)
	if c.metered > c.plan.Rate {
		c.factor *= meterShrink
	}
}

func (g *Gateway) charge(c *customer, units float64) {
	c.level += units
	if g.mesh {
		c.whole += units
	}
	c.usedSum += units
	c.used.add(g.now, units)
	g.tellSoon(c, 0, len(g.peers))
}

// newTerms changes a customer's plan. Used units stay in its buckets: over a lower mark nothing passes until
// they have leaked at the new rate, under a higher one only the difference is new, and a change there and
// back gives nothing. Without a rate nothing leaks, so a level from then counts up to the mark. Attempts out
// go on and count under the new cap, a home's grants stay. A store under a ceiling is cut, never filled.
func (g *Gateway) newTerms(e PlanChange) {
	no, ok := g.plans[e.Plan.Name]
	if !ok || e.Plan.validate("Terms") != nil {
		return
	}
	t := &terms{e.Plan, no}
	g.terms[shortKey(e.Customer)] = t
	c := g.customers[shortKey(e.Customer)]
	if c == nil {
		return
	}
	g.leak(c) // by the old terms up to now
	had := c.plan.Rate > 0
	if c.plan, c.planNo = &t.Plan, no; !had {
		c.level, c.whole = min(c.level, c.part*c.plan.Burst), min(c.whole, c.plan.Burst)
	}
	c.level, c.whole = max(0, c.level-e.ReturnedUnits), max(0, c.whole-e.ReturnedUnits)
	g.leak(c)
}

// ---- Sharing.

// tellsAll reports whether the intake lets every gateway tell every other often enough.
func (g *Gateway) tellsAll() bool {
	return !g.cfg.Limits.Gossip || intakePart*g.cfg.GossipCapacity >= meshPace*float64(g.cfg.Gateways-1)
}

func (g *Gateway) beatEvery() time.Duration {
	if !g.mesh {
		return homeBeat
	}
	perS := intakePart * g.cfg.GossipCapacity / float64(max(1, g.cfg.Gateways-1))
	return time.Duration(float64(time.Second) / max(perS, 1))
}

// tellSoon queues what is known of a customer for the gateways of those numbers that are in its set.
func (g *Gateway) tellSoon(c *customer, from, to int) {
	for i := from; i < to; i++ {
		if i != g.cfg.Rank && g.inSet(c, i) && !c.queued[i] {
			c.queued[i] = true
			g.peers[i].queue = append(g.peers[i].queue, c)
		}
	}
}

func (g *Gateway) beat() {
	g.do(SetTimer{g.now + g.beatEvery(), beatToken})
	for i := range g.peers {
		p := &g.peers[i]
		if i == g.cfg.Rank || (len(p.queue) == 0 && g.now-p.sent < quietBeat) {
			continue
		}
		p.sent, p.mySeq = g.now, (p.mySeq+1)%4096
		g.do(SendGossip{i, g.message(i, p)})
	}
	g.forgetGone()
	g.survey()
	g.mix(g.all.open, g.done.get(g.now), ownGain)
	g.sweep()
}

func (g *Gateway) message(i int, p *peer) string {
	var b strings.Builder
	encodeHead(&b, g.epoch, p.mySeq)
	n := min(len(p.queue), (maxMessage-msgHead)/msgEntry)
	for _, c := range p.queue[:n] {
		c.queued[i] = false
		g.leak(c)
		c.encode(&b)
	}
	p.queue = append([]*customer(nil), p.queue[n:]...)
	return b.String()
}

// heard takes a peer's message. Totals make lost and repeated messages harmless, the number makes late
// ones so, the epoch a restart of the peer.
func (g *Gateway) heard(e GossipReceived) {
	epoch, seq, ok := parseHead(e.Text)
	other := e.From >= 0 && e.From < g.cfg.Gateways && e.From != g.cfg.Rank
	if other && !g.mesh {
		g.word(e.From, e.Text)
	}
	if !ok || !other || len(g.peers) == 0 {
		return
	}
	p := &g.peers[e.From]
	if p.known && p.epoch == epoch && diff(p.seq, seq) <= 0 {
		return
	}
	if !p.known || p.epoch != epoch {
		g.greet(e.From, p)
	}
	p.epoch, p.seq, p.known, p.heard = epoch, seq, true, g.now
	for s := e.Text[msgHead:]; s != ""; s = s[msgEntry:] {
		g.learn(e.From, p, s[:msgEntry])
	}
}

// greet meets a new life of a peer: its totals begin anew, and it is told all there is to tell.
func (g *Gateway) greet(i int, p *peer) {
	p.younger = p.known
	for _, c := range g.queue {
		c.told[i].have = false
		g.tellSoon(c, i, i+1)
	}
}

func (g *Gateway) learn(from int, p *peer, s string) {
	key, planNo, used, asked, level := parseEntry(s)
	if planNo >= len(g.cfg.Plans) {
		return
	}
	c := g.customer(key, planNo)
	g.leak(c)
	t := &c.told[from]
	if !t.have {
		t.have = true
		if p.younger {
			t.used, t.asked = 0, 0
		} else {
			t.used, t.asked = used, asked
			c.whole = max(c.whole, level*c.plan.Burst)
		}
	}
	c.whole = max(0, c.whole+diff(t.used, used))
	t.rate.add(g.now, max(0, diff(t.asked, asked)))
	t.used, t.asked = used, asked
}

// ---- Homes. Where the intake is too small for telling everyone, a gateway's part of a mark is less than one
// request and what it last heard is older than the bucket. There the bucket of the whole customer stands at
// its home, and a request waits for the home's word, a few turns, before this gateway's bucket decides.

// home is the number of the nth gateway that keeps the customer's bucket, the same at every gateway.
func (g *Gateway) home(key uint64, n int) int {
	first := int(key % uint64(g.cfg.Gateways))
	if n == 0 {
		return first
	}
	return (first + 1 + int(key>>18%uint64(g.cfg.Gateways-1))) % g.cfg.Gateways
}

// startsAt is how full the bucket of a customer not seen before is taken to be. A standby, asked as the first
// home seems silent, may know nothing of what that granted: it passes on only what leaks from a full bucket.
// It guards against homes that die, stand still or drop words in a rush; it harms those that had room.
func (g *Gateway) startsAt(c *customer) float64 {
	if !g.mesh && g.home(c.key, 0) != g.cfg.Rank {
		return c.plan.Burst
	}
	return startLevel * c.plan.Burst
}

// ask gets the home's word on a request. Each home is asked twice, as words may be lost; one that was silent
// is left out for a while. Without any word the gateway's own bucket decides, but nothing passes a ceiling.
func (g *Gateway) ask(r *request) {
	c := r.cust
	for ; r.asked < 2*homes && g.now < r.until; r.asked++ {
		i := g.home(c.key, r.asked/2)
		if i == g.cfg.Rank {
			ok, _ := g.grant(c, i, r.no, r.units)
			r.granted = i
			g.decide(r, ok)
			return
		}
		if g.silent[i] > g.now {
			continue
		}
		r.asked++
		if r.asking = true; r.askedAt == 0 {
			r.askedAt = g.now
		}
		g.asks[r.no] = r
		g.tell(i, 'a', c, r.no, r.units)
		g.wake(r.ID, -1, min(r.until, g.now+askLeast+time.Duration(askWaits*float64(g.trip))))
		return
	}
	r.asking = false
	g.leak(c)
	if r.why = c.lacks(r.units); c.plan.CeilingRate > 0 {
		r.why = ReasonOverCeiling
	}
	g.decide(r, r.why == "")
}

// unheard takes that a home gave no answer in time. A gateway that itself stood still waits a little more:
// the answer may be among all that it finds now.
func (g *Gateway) unheard(r *request, due time.Duration) {
	if g.now-due > askLeast && g.now < r.until {
		g.wake(r.ID, -1, min(r.until, g.now+askLeast))
		return
	}
	if r.asked%2 == 0 {
		g.silent[g.home(r.cust.key, r.asked/2-1)] = g.now + homeSilent
	}
	delete(g.asks, r.no)
	g.ask(r)
}

// grant decides as a home, by the bucket of the whole customer, and tells how long those refused may wait.
// It guards quota, cap on attempts out and ceiling; a question that comes twice gets the same answer once.
func (g *Gateway) grant(c *customer, from int, no uint64, units float64) (ok bool, wait float64) {
	g.leak(c)
	out := 0
	for i := range c.grants {
		d := &c.grants[i]
		if d.from == from && d.no == no {
			return d.ok, c.wait
		}
		d.out = d.out && g.now-d.at < g.longest // it is given up on by then
		out += b2i(d.out)
	}
	c.grants = slices.DeleteFunc(c.grants, func(d grant) bool { return g.now-d.at > grantsKept })
	c.fleet.add(g.now, units)
	ok = (c.plan.Rate == 0 || c.whole+units <= c.plan.Burst) &&
		(c.plan.MaxInFlight == 0 || out < c.plan.MaxInFlight) && (c.plan.CeilingRate == 0 || c.store >= units)
	if ok {
		c.whole += units
		c.store -= units
	}
	if !ok && g.askRate.get(g.now) > askIntake*g.cfg.GossipCapacity {
		c.wait = min(waitMost.Seconds(), max(c.wait, waitLeast)*waitGrow)
	} else {
		c.wait *= waitShrink
	}
	c.grants = append(c.grants, grant{from, no, g.now, ok, ok && c.plan.MaxInFlight > 0})
	return ok, c.wait
}

// tellEnd settles a request with the home that granted it: true units, and that its attempt is over.
func (g *Gateway) tellEnd(r *request, more float64) {
	if r.granted < 0 || (more == 0 && r.cust.plan.MaxInFlight == 0) {
		return
	}
	if r.granted == g.cfg.Rank {
		g.settle(r.cust, g.cfg.Rank, r.no, more)
	} else {
		g.tell(r.granted, 'd', r.cust, r.no, more)
	}
}

func (g *Gateway) settle(c *customer, from int, no uint64, more float64) {
	for i := range c.grants {
		if d := &c.grants[i]; d.from == from && d.no == no && d.ok {
			g.leak(c)
			c.whole = max(0, c.whole+more)
			d.out = false
		}
	}
}

// word takes a word of another gateway. What is malformed, unknown or comes to the wrong home is dropped.
func (g *Gateway) word(from int, text string) {
	w, ok := parseWord(text)
	if !ok || w.plan >= len(g.cfg.Plans) {
		return
	}
	for _, v := range w.sights[:w.seen] {
		if s := g.shorts[v.server]; s != nil && v.class < len(g.cfg.Classes) {
			g.note(s, g.classes[g.cfg.Classes[v.class].Name], v.x, v.missed)
		}
	}
	g.mix(w.open, w.done, toldGain)
	delete(g.silent, from)
	mine := g.home(w.key, 0) == g.cfg.Rank || g.home(w.key, 1) == g.cfg.Rank
	switch {
	case w.kind == 'a' && w.n == 1 && w.v[0] >= 0 && mine:
		g.askRate.add(g.now, 1)
		c := g.customer(w.key, w.plan)
		ok, wait := g.grant(c, from, w.no, w.v[0])
		g.tell(from, 'r', c, w.no, float64(b2i(ok)), c.whole, c.fleet.get(g.now), wait)
	case w.kind == 'd' && w.n == 1 && mine:
		g.settle(g.customer(w.key, w.plan), from, w.no, w.v[0])
	case w.kind == 'r' && w.n == 4:
		g.answer(from, w)
	}
}

// answer takes the home's word: it settles part and level, and then the bucket decides.
func (g *Gateway) answer(from int, w word) {
	r := g.asks[w.no]
	if r == nil || r.cust.key != w.key {
		return
	}
	ok, whole := w.v[0] > 0, w.v[1]
	delete(g.asks, w.no)
	if r.asked == 1 {
		g.trip += time.Duration(0.1 * float64(g.now-r.askedAt-g.trip))
	}
	r.asking = false
	c := r.cust
	ok = ok && (c.plan.CeilingRate == 0 || g.now-r.askedAt <= grantUse)
	c.asksAll, c.toldAt = w.v[2], g.now
	g.leak(c)
	c.level = c.part * whole
	if ok {
		r.granted = from
	} else {
		leaks := min(1, (whole+r.units-c.plan.Burst)/max(c.plan.Rate, 1e-9))
		c.shut = g.now + time.Duration(max(w.v[3], leaks)*float64(time.Second))
	}
	g.decide(r, ok)
}

// ---- Choice and health of servers.

func (g *Gateway) fleet(e EndpointUpdate) {
	if e.Kind == FailedUpdate {
		return
	}
	listed := map[string]bool{}
	for _, s := range e.Servers {
		listed[s.ID] = true
		g.listed(s, e.Kind == StaleUpdate)
	}
	g.serving = 0
	for _, s := range g.order {
		if e.Kind != DeltaUpdate && !listed[s.ID] {
			s.State = Removed
		}
		switch s.State {
		case Serving:
			g.serving++
		case Removed:
			g.leaving = true
		}
	}
	g.survey()
}

func (g *Gateway) listed(e Server, stale bool) {
	s := g.server(e.ID)
	if e.StartedAt > s.StartedAt && e.StartedAt+g.cfg.Safety.SlowStartDuration > g.now {
		s.coldUntil, s.budget, s.budgetAt = e.StartedAt+g.cfg.Safety.SlowStartDuration, g.rng.Float64(), g.now
		s.slow = 1
		clear(s.miss)
		g.uses(s)
	} else if e.StartedAt > 0 && e.StartedAt < s.StartedAt { // it is older than was known at first
		s.coldUntil = min(s.coldUntil, e.StartedAt+g.cfg.Safety.SlowStartDuration)
	}
	s.Server = e
}

// estimate is the time in seconds that an answer of the server to a request of the class should take.
func (g *Gateway) estimate(s *server, k *class) float64 {
	return g.base(k) * g.slowness(s) * (1 + g.load(s)) / (1 + s.outAvg)
}

// base is a class's usual time. A long one fades without new answers: once it makes every request hopeless,
// none come, and the gateway would turn the class away for good. It guards against any spell that ended.
func (g *Gateway) base(k *class) float64 {
	first := firstGuess * k.LatencyObjective.Seconds()
	return min(k.base, first+(k.base-first)*math.Exp(-(g.now-k.at).Seconds()/g.memory()))
}

// slowness is a server's, faded by the time since its last answer.
func (g *Gateway) slowness(s *server) float64 {
	return 1 + (s.slow-1)*math.Exp(-(g.now-s.slowAt).Seconds()/g.memory())
}

// memory is how long, in seconds, what is known of a server holds: longer where answers of it are rare.
func (g *Gateway) memory() float64 {
	return min(memoryMost, max(slowMemory.Seconds(), memoryOf*g.all.serving/max(g.seen.get(g.now), 1e-3)))
}

// missed is the share of a class's requests that a server leaves unanswered or fails.
func (g *Gateway) missed(s *server, k *class) float64 {
	m := &s.miss[k.no]
	return m.v * math.Exp(-(g.now-m.at).Seconds()/(missFades*g.memory()))
}

// note takes how a request of a class fared at a server, here or at a gateway that told it: x times the usual
// time, answered or not. It guards against servers that are slow or fail one class and serve the
// others; it should catch what a server's age, a bad disk or a lost dependency do too, whoever met it first.
// It could harm a server that only costly requests went to.
func (g *Gateway) note(s *server, k *class, x float64, missed bool) {
	g.seen.add(g.now, 1)
	v, to := g.missed(s, k), 0.0
	if missed {
		to = 1
	}
	s.miss[k.no] = rate{v + missGain*(1+g.thin())*(to-v), g.now}
	s.slow, s.slowAt = g.slowness(s), g.now
	if !missed || x > s.slow {
		s.slow += slowGain * (min(x, 20) - s.slow)
	}
}

// saw notes how an own request fared and keeps it to be told.
func (g *Gateway) saw(s *server, k *class, took time.Duration, missed bool) {
	if g.now == g.stoodAt {
		return // what was late here is not the server's fault
	}
	x := took.Seconds() / max(k.base, 1e-6)
	g.note(s, k, x, missed)
	g.news.add(sight{s.short, k.no, x, missed})
	if !missed {
		k.n, k.at = k.n+1, g.now
		k.base += max(baseGain, 1/k.n) * (took.Seconds() - k.base)
	}
}

// load is what this gateway has at the server: attempts out, and ghosts. A jammed server works on what has
// timed out while its attempts out look few; without ghosts the jam feeds itself. Where a server drops such
// work the first later answer clears them, so they cost little.
func (g *Gateway) load(s *server) float64 {
	for len(s.ghosts) > 0 && g.now-s.ghosts[0] > g.aims(ghostFor) {
		s.ghosts = s.ghosts[1:]
		g.all.open--
	}
	return float64(s.out + len(s.ghosts))
}

// coldRate guards the rule on cold servers: requests a second that this gateway may send to it. What this
// gateway sends a usual server is its own share of the fleet's traffic, so that all gateways together stay
// within the multiple without agreement.
func (g *Gateway) coldRate(s *server) float64 {
	warm := g.all.sends / max(g.all.warm, 1)
	f := g.cfg.Safety.SlowStartCapacity
	age := 1 - (s.coldUntil-g.now).Seconds()/g.cfg.Safety.SlowStartDuration.Seconds()
	return coldMargin * g.cfg.Safety.OverloadMultiple * (f + (1-f)*age) * warm
}

// survey sums up the servers, by those that were used of late or are cold: of thousands a gateway uses few.
func (g *Gateway) survey() {
	all := survey{serving: g.serving, warm: g.serving}
	g.used = slices.DeleteFunc(g.used, func(s *server) bool {
		load, cold := g.load(s), s.coldUntil > g.now
		if s.State == Serving {
			all.open += load
			if cold {
				all.warm--
			} else {
				all.sends += s.sends.get(g.now)
			}
		}
		s.used = load > 0 || cold || g.now-s.sends.at < usedFor
		return !s.used
	})
	g.all = all
}

// uses notes that a server has to be looked at by survey.
func (g *Gateway) uses(s *server) {
	if !s.used {
		s.used = true
		g.used = append(g.used, s)
	}
}

func (g *Gateway) cold(s *server) bool {
	if s.coldUntil <= g.now {
		return false
	}
	s.budget = min(1, s.budget+g.coldRate(s)*(g.now-s.budgetAt).Seconds())
	s.budgetAt = g.now
	return s.budget < 1
}

// usable reports whether a request may go to the server by health and by the rules.
func (g *Gateway) usable(s *server, r *request) bool {
	return s.State == Serving && !g.cold(s) && g.mayRepeatAt(r, s)
}

// choose takes the server with the least estimate; last is the one that failed the request before. Where
// answers of a server are too rare to know its load, it draws among those that fail the class little more
// than the best looked at, each in proportion to the inverse of its estimate: all would else run to the same
// few servers, or slow ones get the same share as quick ones and jam.
func (g *Gateway) choose(r *request, last *server) (*server, float64) {
	var found [lookAt]*server
	best, n, least, cost := (*server)(nil), 0, 1.0, 0.0
	for i, from := 0, g.rng.Intn(max(1, len(g.order))); i < len(g.order) && n < lookAt; i++ {
		s := g.order[(from+i)%len(g.order)]
		if !g.usable(s, r) {
			continue
		}
		found[n] = s
		n++
		least = min(least, g.missed(s, r.class))
	}
	for _, s := range found[:n] {
		miss := g.missed(s, r.class)
		if miss > least+missNear {
			continue
		}
		c := g.estimate(s, r.class) / max(0.2, 1-miss) * (1 + 0.02*g.rng.Float64())
		if g.thin() == 1 {
			c *= g.rng.ExpFloat64() // the least of these is each one's with a chance of 1/c
		}
		if s.Zone != g.cfg.Zone {
			c *= crossZone
		}
		if s == last {
			c *= 3
		}
		if best == nil || c < cost {
			best, cost = s, c
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, g.estimate(best, r.class)
}

// thin is 1 where this gateway sees fewer answers in its memory than there are servers, and less where more.
func (g *Gateway) thin() float64 {
	return min(1, g.all.serving/max(g.done.get(g.now)*partMemory.Seconds(), 1))
}

// ---- Attempts and deadlines.

func (g *Gateway) request(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	k, planNo, ok := g.classes[e.Class], 0, false
	if planNo, ok = g.plans[e.Plan]; k == nil || !ok {
		g.do(Reject{ID: e.ID, Reason: ReasonUnknownClassOrPlan})
		return
	}
	r := &request{Request: e, class: k, units: max(0, e.Units), until: e.Deadline, why: ReasonOverQuota}
	if k.LateWeight == 0 && !k.Streaming && k.ObjectiveStretch == 0 {
		r.until = min(e.Deadline, g.now+max(0, k.LatencyObjective-aimMargin-g.age(k, e)))
	}
	c := g.customer(shortKey(e.Customer), planNo)
	if e.GatewayCount > 0 && e.GatewayCount <= g.cfg.Gateways &&
		(c.spread != e.GatewayCount || c.first != e.FirstGateway) {
		c.first, c.spread = e.FirstGateway%g.cfg.Gateways, e.GatewayCount
		c.store = min(c.store, c.plan.CeilingBurst/float64(c.spread))
	}
	r.cust, r.granted = c, -1
	g.requests[e.ID] = r
	switch {
	case r.until <= g.now && e.IsRetry:
		r.why = ReasonDeadlineUnreachable
		g.decide(r, false)
	case e.Reserved:
		g.decide(r, true)
	case g.mesh:
		g.decide(r, g.admit(c, r))
	case c.shut > g.now || g.shed(r): // a home is not asked in vain
		if c.asked.add(g.now, r.units); c.shut <= g.now {
			r.why = ReasonLoadShed
		}
		g.decide(r, false)
	default:
		c.asked.add(g.now, r.units)
		g.askNo = g.askNo%4095 + 1
		r.no = g.askNo
		g.ask(r)
	}
}

// age is how much of its wanted time a request has used up before it came. A gateway that stood still finds
// all of that time's requests at once, and the time a first try has left, against the most that one had,
// tells how old each is. A repeat belongs to its first try, and all tries of a request end with its class's
// deadline: one that has less left than a first try has waited for the rest. What can't make its aim any more
// is refused at once and singly, and costs neither quota nor servers. It should also catch a paused process
// and clients that repeat for long; it could harm where clients give their tries unequal times.
func (g *Gateway) age(k *class, e Request) time.Duration {
	left := e.Deadline - g.now
	if e.IsRetry {
		if k.left-left > leftNoise {
			return max(0, k.Deadline-left)
		}
		return 0
	}
	k.left = max(k.left, left)
	if g.now != g.stoodAt {
		return 0
	}
	return min(g.stood, k.left-left)
}

// decide ends the wait of a request: it is sent on if the quota has room and the servers have.
func (g *Gateway) decide(r *request, room bool) {
	s, cost := (*server)(nil), 0.0
	if room {
		s, cost = g.choose(r, nil)
	}
	switch {
	case !room:
	case s == nil:
		r.why = ReasonNoServer
	case cost > shedTo*(r.until-g.now).Seconds():
		r.why, s = ReasonDeadlineUnreachable, nil
	case (g.mesh || r.Reserved) && g.shed(r):
		r.why, s = ReasonLoadShed, nil
	}
	if s == nil {
		r.more = -r.units
		g.refuse(r.ID, r.why)
		g.finish(r)
		return
	}
	if !r.Reserved {
		r.cust.store -= r.units
		g.charge(r.cust, r.units)
	}
	g.budget = min(budgetMost, g.budget+budgetPart)
	g.send(r, s)
}

// pressed is the open work over its cap. By Little's law open work is the answers a second times their time,
// so a cap at the answers that do come times the time they should take holds the wait down whatever the
// servers can do, and closes when they jam. A few may always be out, to find out that a jam is over. On thin
// evidence a few at each of hundreds of gateways are a jam by themselves, which none of them sees: there the
// cap is put on the mean of what gateways tell. It should also catch a slow shared dependency, a fleet that
// shrinks and a rush at the start; it could harm where few words come, so own figures take their place by
// and by.
func (g *Gateway) pressed() float64 {
	n, all := g.all.serving, float64(g.cfg.Gateways)
	seen := 1 - math.Exp(-max(g.now-g.started, time.Second/4).Seconds()/partMemory.Seconds())
	mine := g.done.get(g.now) / seen * waitPart * g.quickest
	own := max(0, g.all.open-openFree*g.thin()) / max(mine, openLeast*n/all)
	if g.mesh {
		return own
	}
	return max(own, g.usual.open/max(g.usual.done*waitPart*g.quickest, openTold*n/all))
}

// mix takes a gateway's open work and answers a second, told or own, into the mean of the fleet.
func (g *Gateway) mix(open, done, gain float64) {
	g.usual.open += gain * (open - g.usual.open)
	g.usual.done += gain * (done - g.usual.done)
}

// shed decides whether the wait is too long for what the request is worth.
func (g *Gateway) shed(r *request) bool {
	value := r.class.PriorityWeight * r.cust.plan.PriorityWeight * r.units / max(r.class.base, 1e-6)
	g.value += 0.01 * (value - g.value)
	bears := shedFrom + (1-shedFrom)*min(1, value/max(g.value, 1e-9))
	if r.Reserved {
		bears *= reservedTo
	}
	return g.pressed() > bears
}

func (g *Gateway) refuse(id string, why RejectReason) {
	a := Reject{ID: id, Reason: why}
	if g.cfg.Limits.RetryAfter {
		a.RetryAfter = min(g.cfg.Limits.MaxRetryAfter, g.aims(retryAdvice))
	}
	g.do(a)
}

func (g *Gateway) send(r *request, s *server) {
	a := &attempt{server: s, n: len(r.attempts), at: g.now, ran: true}
	r.attempts = append(r.attempts, a)
	r.out++
	r.cust.open++
	s.outAvg += 0.05 * (g.load(s) - s.outAvg)
	if s.coldUntil > g.now {
		s.budget--
	}
	wait := max(g.aims(overdueMin), time.Duration(overdueX*g.estimate(s, r.class)*float64(time.Second)))
	s.out++
	g.all.open++
	s.sends.add(g.now, 1)
	g.uses(s)
	g.do(Send{r.ID, s.ID, max(r.until-g.now, time.Millisecond), r.repeatBefore()})
	if g.now+wait < r.until {
		g.wake(r.ID, a.n, g.now+wait)
	}
}

// overdue looks at an attempt that should have been answered. If the server has answered others since, the
// request is merely costly; if it has not, the server may be silent. A gateway that meets a server rarely
// sees no such answer either way: until a few should have come, only what is known of the server may speak
// against it. Else all gateways call off what is merely costly or waits, servers work on it all the same, and
// the fleet jams by its own further attempts: of 544 called off on a day of 5 requests a second and server,
// 541 were at servers that answered others. It should also catch slow spells and heavy tails; it could harm
// where a server has just gone silent.
func (g *Gateway) overdue(r *request, a *attempt) {
	s := a.server
	known := g.missed(s, r.class) >= callOffFrom
	if g.thin() == 1 && !known {
		return
	}
	g.saw(s, r.class, g.now-a.at, true)
	if s.lastGood > a.at {
		return
	}
	quiet := s.sends.get(g.now) * (g.now - max(s.lastGood, g.started)).Seconds()
	if quiet < silentFrom && !known { // it is looked at again
		if again := g.now + (g.now-a.at)/2; again < r.until && !r.finished {
			g.wake(r.ID, a.n, again)
		}
		return
	}
	if r.finished || r.streaming || g.budget < 1 || r.class.Idempotency == NotIdempotent {
		return
	}
	if !g.cfg.Limits.Hedging {
		if g.cfg.Limits.Cancel {
			g.do(Cancel{r.ID, a.n}) // its end, as Cancelled, brings the next attempt
		}
		return
	}
	g.again(r, s, 1)
}

// again sends a further attempt if the rules, the time left and the retry budget, of which it takes the
// price, allow one. The budget guards servers against work done twice; where none got any, the next attempt
// is free. This should catch servers that are down, full of connections or behind a cut link.
func (g *Gateway) again(r *request, last *server, price float64) bool {
	most, overlaps := g.cfg.Limits.MaxAttempts, r.out > 0 && !g.cfg.Limits.Hedging
	if g.budget < price || len(r.attempts) >= most || overlaps {
		return false
	}
	s, cost := g.choose(r, last)
	if s == nil || cost > (r.until-g.now).Seconds() || (r.out > 0 && s == last) {
		return false
	}
	g.budget -= price
	g.send(r, s)
	return true
}

func (g *Gateway) ended(e AttemptEnded) {
	r, a := g.requests[e.ID], g.attempt(e.ID, e.Attempt)
	if a == nil || a.over {
		return
	}
	a.over = true
	a.ran = !e.Outcome.neverRan()
	r.out--
	a.server.out--
	g.all.open--
	r.cust.open--
	g.judge(r, a, e)
	if e.ActualUnits > 0 && g.cfg.SettledOnResponse && !r.Reserved {
		g.charge(r.cust, e.ActualUnits-r.units)
		r.more += e.ActualUnits - r.units
		r.units = e.ActualUnits
	}
	if e.ReportedUsage > 0 {
		g.meter(r.cust, e.ReportedUsage)
	}
	if e.RequestDone {
		g.finish(r)
	}
	if r.finished {
		g.forget(r)
		return
	}
	if e.Outcome == OutcomeNotDispatched && len(r.attempts) == 1 && !r.Reserved {
		g.charge(r.cust, -r.units) // nothing was sent, so the quota took nothing
		r.cust.store += r.units
		r.more = -r.units
	}
	price := 1.0
	if e.Outcome == OutcomeConnectFailed {
		price = 0 // it cost no server anything
	}
	if r.out > 0 || (e.Outcome != OutcomeNotDispatched && g.again(r, a.server, price)) {
		return
	}
	g.giveUp(r)
}

// judge takes what an outcome says of its server.
func (g *Gateway) judge(r *request, a *attempt, e AttemptEnded) {
	s := a.server
	switch e.Outcome {
	case OutcomeOK:
		s.lastGood = g.now
		g.done.add(g.now, 1)
		before := len(s.ghosts)
		s.ghosts = slices.DeleteFunc(s.ghosts, func(at time.Duration) bool { return at < a.at })
		g.all.open -= float64(before - len(s.ghosts))
		g.saw(s, r.class, e.Duration, false)
	case OutcomeError:
		g.saw(s, r.class, e.Duration, true)
		s.lastGood = g.now
	case OutcomeRejected:
		g.saw(s, r.class, e.Duration, true)
		s.lastGood = g.now
	case OutcomeConnectFailed, OutcomeReset:
		g.saw(s, r.class, e.Duration, true)
	case OutcomeTimedOut, OutcomeCancelled:
		if e.Outcome == OutcomeTimedOut {
			g.saw(s, r.class, e.Duration, true)
		}
		s.ghosts = append(s.ghosts, a.at)
		g.all.open++
	}
}

// ---- Guards of the rules.

// mayRepeatAt guards the rule on effects: whether the server may get the request, given the attempts that
// may have run.
func (g *Gateway) mayRepeatAt(r *request, s *server) bool {
	for _, a := range r.attempts {
		if r.class.Idempotency == Idempotent || !a.ran {
			continue
		}
		same := r.class.DedupScope == DedupInFleet ||
			(r.class.DedupScope == DedupInZone && s.Zone == a.server.Zone) ||
			(r.class.DedupScope == DedupInCell && s.Cell == a.server.Cell)
		if r.class.Idempotency == NotIdempotent || !same || g.now-a.at >= r.class.DedupWindow-aimMargin {
			return false
		}
	}
	return true
}

// repeatBefore guards the same rule where an attempt waits for its connection: servers forget a request a
// window after the first attempt that may have run; one written later runs again. 0: no such bound.
func (r *request) repeatBefore() time.Duration {
	for _, a := range r.attempts[:len(r.attempts)-1] {
		if a.ran && r.class.Idempotency == IdempotentByKey {
			return a.at + r.class.DedupWindow - aimMargin
		}
	}
	return 0
}

// giveUp gives the final answer: a refusal where that may be promised, else a failure.
func (g *Gateway) giveUp(r *request) {
	mayRun := func(a *attempt) bool { return a.ran }
	promise := r.class.Idempotency == Idempotent || !slices.ContainsFunc(r.attempts, mayRun) ||
		(r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupInFleet)
	if promise && r.out == 0 {
		g.refuse(r.ID, ReasonNeverExecuted)
	} else {
		g.do(Fail{r.ID})
	}
	g.finish(r)
}

// finish ends a request; what is still out is called off.
func (g *Gateway) finish(r *request) {
	if r == nil {
		return
	}
	r.finished, r.asking = true, false
	delete(g.asks, r.no)
	for _, a := range r.attempts {
		if !a.over && g.cfg.Limits.Cancel && !r.streaming {
			g.do(Cancel{r.ID, a.n})
		}
	}
	g.forget(r)
}

// forget drops a finished request once nothing of it is out.
func (g *Gateway) forget(r *request) {
	if r.finished && r.out == 0 && g.requests[r.ID] != nil {
		g.tellEnd(r, r.more)
		delete(g.requests, r.ID)
	}
}
