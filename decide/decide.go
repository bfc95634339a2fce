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
	demandMemory            = 2 * time.Second  // memory of asked units: long against gaps, short against shifts
	demandPrior             = 0.05             // seconds of the even slice mixed in: steadies rare askers
	initialLevel            = 0.5              // of the mark: level after a start, as the past is unknown
	peerStaleAfter          = 1 * time.Second  // a peer not heard for this long no longer settles buckets
	meterStaleAfter         = 3 * time.Second  // the meter is late; older totals say nothing
	meterFactorGrowth       = 1.02             // of the factor on the part, a report ...
	meterFactorShrink       = 0.95             // ... while the metered total exceeds the rate
	demandRatioMemory       = 30 * time.Second // metered demand fades to the usual one in this
	initialDemandPerRequest = 0.25             // of a quota is what an ask stands for until the meter tells
	minDemandRatio          = 0.25             // who asks for little is let in again at once
	planDemandGain          = 0.2              // of a customer's in its plan's usual one
	customerIdleTimeout     = time.Minute      // idle customers are dropped; every bucket and store is as new by then
	ceilingSlackUsed        = 0.9              // of the ceiling's slack is used: the rest is for rounding
)

// Sharing.
const (
	gossipCapacityUsed = 0.8                    // of the stated intake is used by all peers together
	demandGossipStep   = 0.25                   // of the burst: asked units that are worth telling
	keepaliveInterval  = 400 * time.Millisecond // an idle peer still says that it lives
)

// Homes, where the intake is too small for telling everyone.
const (
	minFullGossipRate      = 2.0                    // messages a second between any two: under it customers have homes
	ownersPerCustomer      = 2                      // of a customer; the second stands in for a silent first
	grantRequestCapacity   = 0.4                    // of the intake is for questions; beyond it refused ones wait longer
	initialGrantRoundTrip  = 30 * time.Millisecond  // wait for a home's word, until round trips were seen ...
	grantTimeoutFactor     = 2.0                    // ... then so many times the usual one, and askLeast more
	grantTimeoutMargin     = 12 * time.Millisecond  // a turn or two of either side
	ownerUnresponsiveFor   = 300 * time.Millisecond // a home that twice gave no answer is not asked for so long
	grantRetention         = 3 * time.Second        // a home knows for so long what it granted
	ceilingGrantLifetime   = 100 * time.Millisecond // a grant under a ceiling is used within this, which the slack bears
	maxRejectWait          = 30 * time.Second       // longest wait that a home puts on those it refuses
	minRejectWait          = 0.1                    // seconds that refused ones wait where questions fill the intake ...
	rejectWaitGrowth       = 1.15                   // ... and longer with each ...
	rejectWaitShrink       = 0.9                    // ... and less where they don't
	ownerHeartbeatInterval = 100 * time.Millisecond // pace of the upkeep
)

// Servers.
const (
	usualLatencyGain       = 0.03             // gain of a class's usual time: slow, it is the fleet's yardstick
	slownessGain           = 0.2              // gain of a server's slowness against that: a few answers tell
	initialLatencyFraction = 0.2              // of the aim: the usual time before any answer
	minEvidenceMemory      = 2 * time.Second  // slowness fades at least so slowly: the unused get another look
	crossZoneFactor        = 1.03             // factor on the estimate of a server in another zone
	slowStartMargin        = 0.5              // of the cold budget is used: costs vary and others' traffic is guessed
	evidenceResponses      = 4.0              // answers of a server are how long its slowness is known ...
	maxEvidenceMemory      = 20.0             // ... in seconds, this at most
	failureMemoryFactor    = 2.0              // times that: known of a class's failures
	failureGain            = 0.25             // gain of a server's share of a class's requests that it leaves or fails
	observationsPerMessage = 3                // sights that a word carries
	ejectionMargin         = 0.2              // over the least such share: as good as the best
	endpointActiveFor      = 20 * time.Second // what was sent longer ago is nothing in the sum of what is sent
	maxCandidates          = 16               // servers, from a random one on, are looked at for a request
)

// Attempts.
const (
	stallThreshold       = 100 * time.Millisecond // and two beats without any event: this gateway stood still
	queueingTarget       = 0.7                    // work that nobody waits for counts as load for so long
	minInFlightPerServer = 3.0                    // attempts out a server, of all gateways, that are always allowed
	objectiveMargin      = 6 * time.Millisecond   // an answer must be back at the client within the aim
	timeLeftNoise        = 20 * time.Millisecond  // between the times that two tries have left: less says nothing

	overdueFactor                = 4.0  // times its estimate: an attempt is overdue
	minMissingResponses          = 2.0  // answers that should have come from a server which gave none: it may be silent
	cancelFailureRatio           = 0.3  // share missed: on thin evidence only a server known for it is given up on early
	retryBudgetGain              = 0.15 // further attempts a first attempt, by this much the retry budget grows ...
	maxRetryBudget               = 10.0 // ... up to this many
	freeInFlight                 = 4.0  // own attempts out that press nobody where evidence is thin: one alone says nothing
	minReportedInFlightPerServer = 6.0  // attempts out a server, by the mean told, that are always allowed
	reportedLoadGain             = 0.1  // gain of a told figure in that mean: ten words are a picture of the fleet ...
	ownLoadGain                  = 0.03 // ... and of the own at each beat: without words the mean is the own in some seconds
	shedThreshold                = 0.25 // of the cap on open work, where the least worth work is shed
	reservedShedFactor           = 1.25 // times as much pressure: reserved work goes before other of the same worth
	maxDeadlineFraction          = 0.8  // of the time left: an estimate over it is hopeless
)

// Times of a request, in the quickest aim of a class, as sites differ in scale. Told in milliseconds they
// let customers of a site of short aims come back too late, and ghosts fill its cap.
const (
	orphanLifetime   = 3.0 // work that nobody waits for counts as load no longer than this
	minOverdue       = 0.3
	retryAfterAdvice = 0.4
)

// Handle takes one event at the time now and returns what is to be done, in order.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.actions = nil
	if gap := now - g.now; g.running && gap > stallThreshold+2*g.heartbeatInterval() {
		g.stallEndedAt, g.stallDuration = now, gap
	}
	g.now = max(now, g.now)
	if !g.running {
		g.running, g.startedAt = true, g.now
		g.emit(SetTimer{g.now + g.heartbeatInterval(), heartbeatToken})
	}
	switch e := ev.(type) {
	case EndpointUpdate:
		g.updateEndpoints(e)
	case Request:
		g.receiveRequest(e)
	case ResponseStarted:
		if a := g.findAttempt(e.ID, e.Attempt); a != nil {
			g.requests[e.ID].streaming = true
			a.endpoint.lastResponse = g.now
		}
	case AttemptEnded:
		g.attemptEnded(e)
	case ClientDisconnected:
		g.finish(g.requests[e.ID])
	case TimerFired:
		g.timerFired(e.Token)
	case GossipReceived:
		g.receiveGossip(e)
	case PlanChange:
		g.changePlan(e)
	}
	return g.actions
}

func (g *Gateway) timerFired(token uint64) {
	if token == heartbeatToken {
		g.heartbeat()
		return
	}
	ref, ok := g.timers[token]
	delete(g.timers, token)
	if r := g.requests[ref.requestID]; ok && ref.attempt < 0 && r != nil && r.awaitingGrant {
		g.grantTimedOut(r, ref.dueAt)
	} else if a := g.findAttempt(ref.requestID, ref.attempt); ok && a != nil && !a.ended {
		g.attemptOverdue(r, a)
	}
}

// ---- Quota.

// leak brings a customer's buckets, store and part up to now.
func (g *Gateway) leak(c *customer) {
	dt := (g.now - c.leakedAt).Seconds()
	c.leakedAt = g.now
	c.level = max(0, c.level-c.share*c.plan.Rate*dt)
	c.fleetLevel = max(0, c.fleetLevel-c.plan.Rate*dt)
	even := 1 / float64(c.gatewayCount)
	slice := even
	if !g.fullGossip {
		slice = 1.0 / ownersPerCustomer
	}
	c.ceilingTokens = min(c.ceilingTokens+c.plan.CeilingRate*slice*dt, c.plan.CeilingBurst*slice)
	own := c.demandRate.perSecond(g.now) + demandPrior*c.plan.Rate*even
	if !g.fullGossip && g.now-c.fleetDemandAt < demandMemory {
		c.share = min(1, max(even, own/max(own, c.fleetDemand)))
		return
	}
	all := own
	oldest := g.now
	for i := range g.peers {
		if i != g.cfg.Rank && g.servesCustomer(c, i) {
			all += c.peerTotals[i].demandRate.perSecond(g.now) + demandPrior*c.plan.Rate*even
			if oldest = min(oldest, g.peers[i].lastHeard); !g.peers[i].known {
				oldest = g.now - peerStaleAfter
			}
		}
	}
	c.share = even
	if g.now-oldest >= peerStaleAfter || all == 0 || (len(g.peers) == 0 && c.gatewayCount > 1) {
		if c.meteredUsage > 0 && g.now-c.meteredAt < meterStaleAfter {
			c.share = max(even, min(1, c.meterFactor*c.usageRate.perSecond(g.now)/c.meteredUsage))
		}
		return
	}
	c.share = max(even, own/all)
	if c.gatewayCount > 1 && oldest > c.reconciledAt {
		if c.reconciledAt = oldest; all <= c.plan.Rate {
			c.level = 0 // else all contend for what leaks: each takes its part alone
		}
		c.level = max(c.level, c.share*c.fleetLevel)
	}
}

// admit decides whether the quota has room.
func (g *Gateway) admitByQuota(c *customer, r *request) bool {
	g.leak(c)
	c.demandRate.add(g.now, r.units)
	if c.demandTotal += r.units; c.demandTotal-c.demandTotalSent > demandGossipStep*c.plan.Burst {
		c.demandTotalSent = c.demandTotal
		g.queueGossip(c, 0, len(g.peers)) // what was sent on is told at once, what was only asked by the step
	}
	if r.rejectReason = c.exceeded(r.units); r.rejectReason == "" && c.plan.CeilingRate > 0 && // an even slice, empty at a start
		c.ceilingTokens+ceilingSlackUsed*c.plan.CeilingSlack/float64(c.gatewayCount) < r.units {
		r.rejectReason = ReasonOverCeiling
	}
	if g.onlyMetered(c) {
		c.recentRequests = 1 + c.recentRequests*math.Exp(-(g.now-c.recentRequestsAt).Seconds()/demandRatioMemory.Seconds())
		c.recentRequestsAt = g.now
		if r.rejectReason == "" && g.rng.Float64()*g.demandRatio(c) >= 1 {
			r.rejectReason = ReasonOverQuota
		}
	}
	return r.rejectReason == ""
}

// alone reports that a customer's gateways hear nothing of each other but by the meter.
func (g *Gateway) onlyMetered(c *customer) bool {
	return g.cfg.UsageReportPeriod > 0 && c.gatewayCount > 1 && g.fullGossip && len(g.peers) == 0
}

// demand is what a customer asks for over what its quota allows, as the meter tells of all gateways. Its
// inverse is the share of its requests that is let in. Where a part of a mark or cap is under one request,
// only chance can keep it: one request at each of hundreds is far beyond it. Of a customer not metered for
// long, what others of its plan that ask as often have tells. It should catch any quota that is small
// against the gateways; it harms those that keep theirs where most that ask as often don't.
func (g *Gateway) demandRatio(c *customer) float64 {
	usual := c.recentRequests * math.Exp(g.logDemandPerRequest[c.planNo])
	return usual + (c.demandRatio-usual)*math.Exp(-(g.now-c.demandRatioAt).Seconds()/demandRatioMemory.Seconds())
}

// lacks tells what of this gateway's part, of rate or cap, does not bear the units. Its part of the cap on
// attempts out is rounded down, though one may always be out: rounded up, all gateways are far beyond it.
func (c *customer) exceeded(units float64) RejectReason {
	switch {
	case c.plan.Rate > 0 && c.level+c.share*units > c.share*c.plan.Burst:
		return ReasonOverQuota
	case c.plan.MaxInFlight > 0 && float64(c.inFlight) >= max(1, math.Floor(c.share*float64(c.plan.MaxInFlight))):
		return ReasonTooManyInFlight
	}
	return ""
}

// meter takes what an answer tells of the customer's use; it decides the part where peers are silent. What it
// tells is older than what was done since: demand moves by the time since it last did, not by each answer.
func (g *Gateway) updateFromMeter(c *customer, percent int) {
	if was := g.demandRatio(c); g.onlyMetered(c) && c.recentRequests > 0 {
		gain := min(1, float64(g.now-c.demandRatioAt)/float64(meterStaleAfter))
		if c.plan.Rate > 0 { // a burst is no more than the mark bears
			gain *= min(1, g.cfg.UsageReportPeriod.Seconds()*c.plan.Rate/c.plan.Burst)
		}
		let := min(1, 1/was) // of what it asked for, while that was metered
		c.demandRatio = max(minDemandRatio, was+gain*(float64(percent-1)/100/let-was))
		c.demandRatioAt = g.now
		usual := &g.logDemandPerRequest[c.planNo]
		*usual += planDemandGain * min(1/let, 4) * (math.Log(c.demandRatio/c.recentRequests) - *usual)
	}
	c.meteredUsage, c.meteredAt = float64(percent-1)/100*c.plan.Rate, g.now
	c.meterFactor = min(1, c.meterFactor*meterFactorGrowth)
	if c.meteredUsage > c.plan.Rate {
		c.meterFactor *= meterFactorShrink
	}
}

func (g *Gateway) charge(c *customer, units float64) {
	c.level += units
	if g.fullGossip {
		c.fleetLevel += units
	}
	c.usedTotal += units
	c.usageRate.add(g.now, units)
	g.queueGossip(c, 0, len(g.peers))
}

// newTerms changes a customer's plan. Used units stay in its buckets: over a lower mark nothing passes until
// they have leaked at the new rate, under a higher one only the difference is new, and a change there and
// back gives nothing. Without a rate nothing leaks, so a level from then counts up to the mark. Attempts out
// go on and count under the new cap, a home's grants stay. A store under a ceiling is cut, never filled.
func (g *Gateway) changePlan(e PlanChange) {
	no, ok := g.planIndex[e.Plan.Name]
	if !ok || e.Plan.validate("Terms") != nil {
		return
	}
	t := &planOverride{e.Plan, no}
	g.planOverrides[hashKey(e.Customer)] = t
	c := g.customers[hashKey(e.Customer)]
	if c == nil {
		return
	}
	g.leak(c) // by the old terms up to now
	had := c.plan.Rate > 0
	if c.plan, c.planNo = &t.Plan, no; !had {
		c.level, c.fleetLevel = min(c.level, c.share*c.plan.Burst), min(c.fleetLevel, c.plan.Burst)
	}
	c.level, c.fleetLevel = max(0, c.level-e.ReturnedUnits), max(0, c.fleetLevel-e.ReturnedUnits)
	g.leak(c)
}

// ---- Sharing.

// tellsAll reports whether the intake lets every gateway tell every other often enough.
func (g *Gateway) supportsFullGossip() bool {
	return !g.cfg.Limits.Gossip || gossipCapacityUsed*g.cfg.GossipCapacity >= minFullGossipRate*float64(g.cfg.Gateways-1)
}

func (g *Gateway) heartbeatInterval() time.Duration {
	if !g.fullGossip {
		return ownerHeartbeatInterval
	}
	perS := gossipCapacityUsed * g.cfg.GossipCapacity / float64(max(1, g.cfg.Gateways-1))
	return time.Duration(float64(time.Second) / max(perS, 1))
}

// tellSoon queues what is known of a customer for the gateways of those numbers that are in its set.
func (g *Gateway) queueGossip(c *customer, from, to int) {
	for i := from; i < to; i++ {
		if i != g.cfg.Rank && g.servesCustomer(c, i) && !c.queuedFor[i] {
			c.queuedFor[i] = true
			g.peers[i].pending = append(g.peers[i].pending, c)
		}
	}
}

func (g *Gateway) heartbeat() {
	g.emit(SetTimer{g.now + g.heartbeatInterval(), heartbeatToken})
	for i := range g.peers {
		p := &g.peers[i]
		if i == g.cfg.Rank || (len(p.pending) == 0 && g.now-p.lastSent < keepaliveInterval) {
			continue
		}
		p.lastSent, p.sentSeq = g.now, (p.sentSeq+1)%4096
		g.emit(SendGossip{i, g.nextGossipMessage(i, p)})
	}
	g.dropRemovedEndpoints()
	g.sumEndpoints()
	g.updateFleetLoad(g.totals.inFlight, g.responseRate.perSecond(g.now), ownLoadGain)
	g.dropIdleCustomers()
}

func (g *Gateway) nextGossipMessage(i int, p *peer) string {
	var b strings.Builder
	encodeGossipHead(&b, g.epoch, p.sentSeq)
	n := min(len(p.pending), (maxGossipBytes-gossipHeadLength)/gossipEntryLength)
	for _, c := range p.pending[:n] {
		c.queuedFor[i] = false
		g.leak(c)
		c.encodeGossipEntry(&b)
	}
	p.pending = append([]*customer(nil), p.pending[n:]...)
	return b.String()
}

// heard takes a peer's message. Totals make lost and repeated messages harmless, the number makes late
// ones so, the epoch a restart of the peer.
func (g *Gateway) receiveGossip(e GossipReceived) {
	epoch, seq, ok := parseGossipHead(e.Text)
	other := e.From >= 0 && e.From < g.cfg.Gateways && e.From != g.cfg.Rank
	if other && !g.fullGossip {
		g.receiveGrantMessage(e.From, e.Text)
	}
	if !ok || !other || len(g.peers) == 0 {
		return
	}
	p := &g.peers[e.From]
	if p.known && p.epoch == epoch && wrappedDifference(p.seq, seq) <= 0 {
		return
	}
	if !p.known || p.epoch != epoch {
		g.startIncarnation(e.From, p)
	}
	p.epoch, p.seq, p.known, p.lastHeard = epoch, seq, true, g.now
	for s := e.Text[gossipHeadLength:]; s != ""; s = s[gossipEntryLength:] {
		g.mergeEntry(e.From, p, s[:gossipEntryLength])
	}
}

// greet meets a new life of a peer: its totals begin anew, and it is told all there is to tell.
func (g *Gateway) startIncarnation(i int, p *peer) {
	p.startedLater = p.known
	for _, c := range g.customerOrder {
		c.peerTotals[i].known = false
		g.queueGossip(c, i, i+1)
	}
}

func (g *Gateway) mergeEntry(from int, p *peer, s string) {
	key, planNo, used, asked, level := parseGossipEntry(s)
	if planNo >= len(g.cfg.Plans) {
		return
	}
	c := g.findOrAddCustomer(key, planNo)
	g.leak(c)
	t := &c.peerTotals[from]
	if !t.known {
		t.known = true
		if p.startedLater {
			t.used, t.demanded = 0, 0
		} else {
			t.used, t.demanded = used, asked
			c.fleetLevel = max(c.fleetLevel, level*c.plan.Burst)
		}
	}
	c.fleetLevel = max(0, c.fleetLevel+wrappedDifference(t.used, used))
	t.demandRate.add(g.now, max(0, wrappedDifference(t.demanded, asked)))
	t.used, t.demanded = used, asked
}

// ---- Homes. Where the intake is too small for telling everyone, a gateway's part of a mark is less than one
// request and what it last heard is older than the bucket. There the bucket of the whole customer stands at
// its home, and a request waits for the home's word, a few turns, before this gateway's bucket decides.

// home is the number of the nth gateway that keeps the customer's bucket, the same at every gateway.
func (g *Gateway) owner(key uint64, n int) int {
	first := int(key % uint64(g.cfg.Gateways))
	if n == 0 {
		return first
	}
	return (first + 1 + int(key>>18%uint64(g.cfg.Gateways-1))) % g.cfg.Gateways
}

// startsAt is how full the bucket of a customer not seen before is taken to be. A standby, asked as the first
// home seems silent, may know nothing of what that granted: it passes on only what leaks from a full bucket.
// It guards against homes that die, stand still or drop words in a rush; it harms those that had room.
func (g *Gateway) initialFleetLevel(c *customer) float64 {
	if !g.fullGossip && g.owner(c.key, 0) != g.cfg.Rank {
		return c.plan.Burst
	}
	return initialLevel * c.plan.Burst
}

// ask gets the home's word on a request. Each home is asked twice, as words may be lost; one that was silent
// is left out for a while. Without any word the gateway's own bucket decides, but nothing passes a ceiling.
func (g *Gateway) requestGrant(r *request) {
	c := r.customer
	for ; r.grantRequests < 2*ownersPerCustomer && g.now < r.usefulUntil; r.grantRequests++ {
		i := g.owner(c.key, r.grantRequests/2)
		if i == g.cfg.Rank {
			ok, _ := g.decideGrant(c, i, r.grantNo, r.units)
			r.grantedBy = i
			g.dispatchOrReject(r, ok)
			return
		}
		if g.unresponsiveUntil[i] > g.now {
			continue
		}
		r.grantRequests++
		if r.awaitingGrant = true; r.grantRequestedAt == 0 {
			r.grantRequestedAt = g.now
		}
		g.pendingGrants[r.grantNo] = r
		g.sendGrantMessage(i, 'a', c, r.grantNo, r.units)
		g.setTimer(r.ID, -1, min(r.usefulUntil, g.now+grantTimeoutMargin+time.Duration(grantTimeoutFactor*float64(g.grantRoundTrip))))
		return
	}
	r.awaitingGrant = false
	g.leak(c)
	if r.rejectReason = c.exceeded(r.units); c.plan.CeilingRate > 0 {
		r.rejectReason = ReasonOverCeiling
	}
	g.dispatchOrReject(r, r.rejectReason == "")
}

// unheard takes that a home gave no answer in time. A gateway that itself stood still waits a little more:
// the answer may be among all that it finds now.
func (g *Gateway) grantTimedOut(r *request, due time.Duration) {
	if g.now-due > grantTimeoutMargin && g.now < r.usefulUntil {
		g.setTimer(r.ID, -1, min(r.usefulUntil, g.now+grantTimeoutMargin))
		return
	}
	if r.grantRequests%2 == 0 {
		g.unresponsiveUntil[g.owner(r.customer.key, r.grantRequests/2-1)] = g.now + ownerUnresponsiveFor
	}
	delete(g.pendingGrants, r.grantNo)
	g.requestGrant(r)
}

// grant decides as a home, by the bucket of the whole customer, and tells how long those refused may wait.
// It guards quota, cap on attempts out and ceiling; a question that comes twice gets the same answer once.
func (g *Gateway) decideGrant(c *customer, from int, no uint64, units float64) (ok bool, wait float64) {
	g.leak(c)
	out := 0
	for i := range c.grants {
		d := &c.grants[i]
		if d.from == from && d.number == no {
			return d.granted, c.rejectWait
		}
		d.inFlight = d.inFlight && g.now-d.decidedAt < g.longestObjective // it is given up on by then
		out += boolToInt(d.inFlight)
	}
	c.grants = slices.DeleteFunc(c.grants, func(d grant) bool { return g.now-d.decidedAt > grantRetention })
	c.ownerDemandRate.add(g.now, units)
	ok = (c.plan.Rate == 0 || c.fleetLevel+units <= c.plan.Burst) &&
		(c.plan.MaxInFlight == 0 || out < c.plan.MaxInFlight) && (c.plan.CeilingRate == 0 || c.ceilingTokens >= units)
	if ok {
		c.fleetLevel += units
		c.ceilingTokens -= units
	}
	if !ok && g.grantRequestRate.perSecond(g.now) > grantRequestCapacity*g.cfg.GossipCapacity {
		c.rejectWait = min(maxRejectWait.Seconds(), max(c.rejectWait, minRejectWait)*rejectWaitGrowth)
	} else {
		c.rejectWait *= rejectWaitShrink
	}
	c.grants = append(c.grants, grant{from, no, g.now, ok, ok && c.plan.MaxInFlight > 0})
	return ok, c.rejectWait
}

// tellEnd settles a request with the home that granted it: true units, and that its attempt is over.
func (g *Gateway) releaseGrant(r *request, more float64) {
	if r.grantedBy < 0 || (more == 0 && r.customer.plan.MaxInFlight == 0) {
		return
	}
	if r.grantedBy == g.cfg.Rank {
		g.settleGrant(r.customer, g.cfg.Rank, r.grantNo, more)
	} else {
		g.sendGrantMessage(r.grantedBy, 'd', r.customer, r.grantNo, more)
	}
}

func (g *Gateway) settleGrant(c *customer, from int, no uint64, more float64) {
	for i := range c.grants {
		if d := &c.grants[i]; d.from == from && d.number == no && d.granted {
			g.leak(c)
			c.fleetLevel = max(0, c.fleetLevel+more)
			d.inFlight = false
		}
	}
}

// word takes a word of another gateway. What is malformed, unknown or comes to the wrong home is dropped.
func (g *Gateway) receiveGrantMessage(from int, text string) {
	w, ok := parseGrantMessage(text)
	if !ok || w.plan >= len(g.cfg.Plans) {
		return
	}
	for _, v := range w.observations[:w.observationCount] {
		if s := g.endpointByShortID[v.endpoint]; s != nil && v.class < len(g.cfg.Classes) {
			g.observe(s, g.classes[g.cfg.Classes[v.class].Name], v.relativeLatency, v.failed)
		}
	}
	g.updateFleetLoad(w.inFlight, w.responseRate, reportedLoadGain)
	delete(g.unresponsiveUntil, from)
	mine := g.owner(w.key, 0) == g.cfg.Rank || g.owner(w.key, 1) == g.cfg.Rank
	switch {
	case w.kind == 'a' && w.figureCount == 1 && w.figures[0] >= 0 && mine:
		g.grantRequestRate.add(g.now, 1)
		c := g.findOrAddCustomer(w.key, w.plan)
		ok, wait := g.decideGrant(c, from, w.number, w.figures[0])
		g.sendGrantMessage(from, 'r', c, w.number, float64(boolToInt(ok)), c.fleetLevel, c.ownerDemandRate.perSecond(g.now), wait)
	case w.kind == 'd' && w.figureCount == 1 && mine:
		g.settleGrant(g.findOrAddCustomer(w.key, w.plan), from, w.number, w.figures[0])
	case w.kind == 'r' && w.figureCount == 4:
		g.receiveGrantReply(from, w)
	}
}

// answer takes the home's word: it settles part and level, and then the bucket decides.
func (g *Gateway) receiveGrantReply(from int, w grantMessage) {
	r := g.pendingGrants[w.number]
	if r == nil || r.customer.key != w.key {
		return
	}
	ok, whole := w.figures[0] > 0, w.figures[1]
	delete(g.pendingGrants, w.number)
	if r.grantRequests == 1 {
		g.grantRoundTrip += time.Duration(0.1 * float64(g.now-r.grantRequestedAt-g.grantRoundTrip))
	}
	r.awaitingGrant = false
	c := r.customer
	ok = ok && (c.plan.CeilingRate == 0 || g.now-r.grantRequestedAt <= ceilingGrantLifetime)
	c.fleetDemand, c.fleetDemandAt = w.figures[2], g.now
	g.leak(c)
	c.level = c.share * whole
	if ok {
		r.grantedBy = from
	} else {
		leaks := min(1, (whole+r.units-c.plan.Burst)/max(c.plan.Rate, 1e-9))
		c.rejectUntil = g.now + time.Duration(max(w.figures[3], leaks)*float64(time.Second))
	}
	g.dispatchOrReject(r, ok)
}

// ---- Choice and health of servers.

func (g *Gateway) updateEndpoints(e EndpointUpdate) {
	if e.Kind == FailedUpdate {
		return
	}
	listed := map[string]bool{}
	for _, s := range e.Servers {
		listed[s.ID] = true
		g.updateEndpoint(s, e.Kind == StaleUpdate)
	}
	g.servingEndpoints = 0
	for _, s := range g.endpoints {
		if e.Kind != DeltaUpdate && !listed[s.ID] {
			s.State = Removed
		}
		switch s.State {
		case Serving:
			g.servingEndpoints++
		case Removed:
			g.hasRemoved = true
		}
	}
	g.sumEndpoints()
}

func (g *Gateway) updateEndpoint(e Server, stale bool) {
	s := g.findOrAddEndpoint(e.ID)
	if e.StartedAt > s.StartedAt && e.StartedAt+g.cfg.Safety.SlowStartDuration > g.now {
		s.slowStartUntil, s.warmUpBudget, s.warmUpBudgetAt = e.StartedAt+g.cfg.Safety.SlowStartDuration, g.rng.Float64(), g.now
		s.slowness = 1
		clear(s.failureRatio)
		g.markActive(s)
	} else if e.StartedAt > 0 && e.StartedAt < s.StartedAt { // it is older than was known at first
		s.slowStartUntil = min(s.slowStartUntil, e.StartedAt+g.cfg.Safety.SlowStartDuration)
	}
	s.Server = e
}

// estimate is the time in seconds that an answer of the server to a request of the class should take.
func (g *Gateway) expectedLatency(s *endpoint, k *class) float64 {
	return g.usualLatency(k) * g.slowness(s) * (1 + g.outstanding(s)) / (1 + s.meanInFlight)
}

// base is a class's usual time. A long one fades without new answers: once it makes every request hopeless,
// none come, and the gateway would turn the class away for good. It guards against any spell that ended.
func (g *Gateway) usualLatency(k *class) float64 {
	first := initialLatencyFraction * k.LatencyObjective.Seconds()
	return min(k.usualLatency, first+(k.usualLatency-first)*math.Exp(-(g.now-k.lastResponse).Seconds()/g.evidenceMemory()))
}

// slowness is a server's, faded by the time since its last answer.
func (g *Gateway) slowness(s *endpoint) float64 {
	return 1 + (s.slowness-1)*math.Exp(-(g.now-s.slownessAt).Seconds()/g.evidenceMemory())
}

// memory is how long, in seconds, what is known of a server holds: longer where answers of it are rare.
func (g *Gateway) evidenceMemory() float64 {
	return min(maxEvidenceMemory, max(minEvidenceMemory.Seconds(), evidenceResponses*g.totals.serving/max(g.observationRate.perSecond(g.now), 1e-3)))
}

// missed is the share of a class's requests that a server leaves unanswered or fails.
func (g *Gateway) failureRatio(s *endpoint, k *class) float64 {
	m := &s.failureRatio[k.index]
	return m.value * math.Exp(-(g.now-m.updatedAt).Seconds()/(failureMemoryFactor*g.evidenceMemory()))
}

// note takes how a request of a class fared at a server, here or at a gateway that told it: x times the usual
// time, answered or not. It guards against servers that are slow or fail one class and serve the
// others; it should catch what a server's age, a bad disk or a lost dependency do too, whoever met it first.
// It could harm a server that only costly requests went to.
func (g *Gateway) observe(s *endpoint, k *class, x float64, missed bool) {
	g.observationRate.add(g.now, 1)
	v, to := g.failureRatio(s, k), 0.0
	if missed {
		to = 1
	}
	s.failureRatio[k.index] = rate{v + failureGain*(1+g.evidenceScarcity())*(to-v), g.now}
	s.slowness, s.slownessAt = g.slowness(s), g.now
	if !missed || x > s.slowness {
		s.slowness += slownessGain * (min(x, 20) - s.slowness)
	}
}

// saw notes how an own request fared and keeps it to be told.
func (g *Gateway) observeOwn(s *endpoint, k *class, took time.Duration, missed bool) {
	if g.now == g.stallEndedAt {
		return // what was late here is not the server's fault
	}
	x := took.Seconds() / max(k.usualLatency, 1e-6)
	g.observe(s, k, x, missed)
	g.recent.add(observation{s.shortID, k.index, x, missed})
	if !missed {
		k.responses, k.lastResponse = k.responses+1, g.now
		k.usualLatency += max(usualLatencyGain, 1/k.responses) * (took.Seconds() - k.usualLatency)
	}
}

// load is what this gateway has at the server: attempts out, and ghosts. A jammed server works on what has
// timed out while its attempts out look few; without ghosts the jam feeds itself. Where a server drops such
// work the first later answer clears them, so they cost little.
func (g *Gateway) outstanding(s *endpoint) float64 {
	for len(s.orphans) > 0 && g.now-s.orphans[0] > g.timesObjective(orphanLifetime) {
		s.orphans = s.orphans[1:]
		g.totals.inFlight--
	}
	return float64(s.inFlight + len(s.orphans))
}

// coldRate guards the rule on cold servers: requests a second that this gateway may send to it. What this
// gateway sends a usual server is its own share of the fleet's traffic, so that all gateways together stay
// within the multiple without agreement.
func (g *Gateway) slowStartRate(s *endpoint) float64 {
	warm := g.totals.sendRate / max(g.totals.warm, 1)
	f := g.cfg.Safety.SlowStartCapacity
	age := 1 - (s.slowStartUntil-g.now).Seconds()/g.cfg.Safety.SlowStartDuration.Seconds()
	return slowStartMargin * g.cfg.Safety.OverloadMultiple * (f + (1-f)*age) * warm
}

// survey sums up the servers, by those that were used of late or are cold: of thousands a gateway uses few.
func (g *Gateway) sumEndpoints() {
	all := endpointTotals{serving: g.servingEndpoints, warm: g.servingEndpoints}
	g.activeEndpoints = slices.DeleteFunc(g.activeEndpoints, func(s *endpoint) bool {
		load, cold := g.outstanding(s), s.slowStartUntil > g.now
		if s.State == Serving {
			all.inFlight += load
			if cold {
				all.warm--
			} else {
				all.sendRate += s.sendRate.perSecond(g.now)
			}
		}
		s.active = load > 0 || cold || g.now-s.sendRate.updatedAt < endpointActiveFor
		return !s.active
	})
	g.totals = all
}

// uses notes that a server has to be looked at by survey.
func (g *Gateway) markActive(s *endpoint) {
	if !s.active {
		s.active = true
		g.activeEndpoints = append(g.activeEndpoints, s)
	}
}

func (g *Gateway) heldBySlowStart(s *endpoint) bool {
	if s.slowStartUntil <= g.now {
		return false
	}
	s.warmUpBudget = min(1, s.warmUpBudget+g.slowStartRate(s)*(g.now-s.warmUpBudgetAt).Seconds())
	s.warmUpBudgetAt = g.now
	return s.warmUpBudget < 1
}

// usable reports whether a request may go to the server by health and by the rules.
func (g *Gateway) eligible(s *endpoint, r *request) bool {
	return s.State == Serving && !g.heldBySlowStart(s) && g.repeatAllowedAt(r, s)
}

// choose takes the server with the least estimate; last is the one that failed the request before. Where
// answers of a server are too rare to know its load, it draws among those that fail the class little more
// than the best looked at, each in proportion to the inverse of its estimate: all would else run to the same
// few servers, or slow ones get the same share as quick ones and jam.
func (g *Gateway) selectEndpoint(r *request, last *endpoint) (*endpoint, float64) {
	var found [maxCandidates]*endpoint
	best, n, least, cost := (*endpoint)(nil), 0, 1.0, 0.0
	for i, from := 0, g.rng.Intn(max(1, len(g.endpoints))); i < len(g.endpoints) && n < maxCandidates; i++ {
		s := g.endpoints[(from+i)%len(g.endpoints)]
		if !g.eligible(s, r) {
			continue
		}
		found[n] = s
		n++
		least = min(least, g.failureRatio(s, r.class))
	}
	for _, s := range found[:n] {
		miss := g.failureRatio(s, r.class)
		if miss > least+ejectionMargin {
			continue
		}
		c := g.expectedLatency(s, r.class) / max(0.2, 1-miss) * (1 + 0.02*g.rng.Float64())
		if g.evidenceScarcity() == 1 {
			c *= g.rng.ExpFloat64() // the least of these is each one's with a chance of 1/c
		}
		if s.Zone != g.cfg.Zone {
			c *= crossZoneFactor
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
	return best, g.expectedLatency(best, r.class)
}

// thin is 1 where this gateway sees fewer answers in its memory than there are servers, and less where more.
func (g *Gateway) evidenceScarcity() float64 {
	return min(1, g.totals.serving/max(g.responseRate.perSecond(g.now)*demandMemory.Seconds(), 1))
}

// ---- Attempts and deadlines.

func (g *Gateway) receiveRequest(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	k, planNo, ok := g.classes[e.Class], 0, false
	if planNo, ok = g.planIndex[e.Plan]; k == nil || !ok {
		g.emit(Reject{ID: e.ID, Reason: ReasonUnknownClassOrPlan})
		return
	}
	r := &request{Request: e, class: k, units: max(0, e.Units), usefulUntil: e.Deadline, rejectReason: ReasonOverQuota}
	if k.LateWeight == 0 && !k.Streaming && k.ObjectiveStretch == 0 {
		r.usefulUntil = min(e.Deadline, g.now+max(0, k.LatencyObjective-objectiveMargin-g.requestAge(k, e)))
	}
	c := g.findOrAddCustomer(hashKey(e.Customer), planNo)
	if e.GatewayCount > 0 && e.GatewayCount <= g.cfg.Gateways &&
		(c.gatewayCount != e.GatewayCount || c.firstGateway != e.FirstGateway) {
		c.firstGateway, c.gatewayCount = e.FirstGateway%g.cfg.Gateways, e.GatewayCount
		c.ceilingTokens = min(c.ceilingTokens, c.plan.CeilingBurst/float64(c.gatewayCount))
	}
	r.customer, r.grantedBy = c, -1
	g.requests[e.ID] = r
	switch {
	case r.usefulUntil <= g.now && e.IsRetry:
		r.rejectReason = ReasonDeadlineUnreachable
		g.dispatchOrReject(r, false)
	case e.Reserved:
		g.dispatchOrReject(r, true)
	case g.fullGossip:
		g.dispatchOrReject(r, g.admitByQuota(c, r))
	case c.rejectUntil > g.now || g.shouldShed(r): // a home is not asked in vain
		if c.demandRate.add(g.now, r.units); c.rejectUntil <= g.now {
			r.rejectReason = ReasonLoadShed
		}
		g.dispatchOrReject(r, false)
	default:
		c.demandRate.add(g.now, r.units)
		g.lastGrantNo = g.lastGrantNo%4095 + 1
		r.grantNo = g.lastGrantNo
		g.requestGrant(r)
	}
}

// age is how much of its wanted time a request has used up before it came. A gateway that stood still finds
// all of that time's requests at once, and the time a first try has left, against the most that one had,
// tells how old each is. A repeat belongs to its first try, and all tries of a request end with its class's
// deadline: one that has less left than a first try has waited for the rest. What can't make its aim any more
// is refused at once and singly, and costs neither quota nor servers. It should also catch a paused process
// and clients that repeat for long; it could harm where clients give their tries unequal times.
func (g *Gateway) requestAge(k *class, e Request) time.Duration {
	left := e.Deadline - g.now
	if e.IsRetry {
		if k.maxTimeLeft-left > timeLeftNoise {
			return max(0, k.Deadline-left)
		}
		return 0
	}
	k.maxTimeLeft = max(k.maxTimeLeft, left)
	if g.now != g.stallEndedAt {
		return 0
	}
	return min(g.stallDuration, k.maxTimeLeft-left)
}

// decide ends the wait of a request: it is sent on if the quota has room and the servers have.
func (g *Gateway) dispatchOrReject(r *request, room bool) {
	s, cost := (*endpoint)(nil), 0.0
	if room {
		s, cost = g.selectEndpoint(r, nil)
	}
	switch {
	case !room:
	case s == nil:
		r.rejectReason = ReasonNoServer
	case cost > maxDeadlineFraction*(r.usefulUntil-g.now).Seconds():
		r.rejectReason, s = ReasonDeadlineUnreachable, nil
	case (g.fullGossip || r.Reserved) && g.shouldShed(r):
		r.rejectReason, s = ReasonLoadShed, nil
	}
	if s == nil {
		r.extraUnits = -r.units
		g.reject(r.ID, r.rejectReason)
		g.finish(r)
		return
	}
	if !r.Reserved {
		r.customer.ceilingTokens -= r.units
		g.charge(r.customer, r.units)
	}
	g.retryBudget = min(maxRetryBudget, g.retryBudget+retryBudgetGain)
	g.send(r, s)
}

// pressed is the open work over its cap. By Little's law open work is the answers a second times their time,
// so a cap at the answers that do come times the time they should take holds the wait down whatever the
// servers can do, and closes when they jam. A few may always be out, to find out that a jam is over. On thin
// evidence a few at each of hundreds of gateways are a jam by themselves, which none of them sees: there the
// cap is put on the mean of what gateways tell. It should also catch a slow shared dependency, a fleet that
// shrinks and a rush at the start; it could harm where few words come, so own figures take their place by
// and by.
func (g *Gateway) queueingPressure() float64 {
	n, all := g.totals.serving, float64(g.cfg.Gateways)
	seen := 1 - math.Exp(-max(g.now-g.startedAt, time.Second/4).Seconds()/demandMemory.Seconds())
	mine := g.responseRate.perSecond(g.now) / seen * queueingTarget * g.shortestObjective
	own := max(0, g.totals.inFlight-freeInFlight*g.evidenceScarcity()) / max(mine, minInFlightPerServer*n/all)
	if g.fullGossip {
		return own
	}
	return max(own, g.fleetLoad.open/max(g.fleetLoad.done*queueingTarget*g.shortestObjective, minReportedInFlightPerServer*n/all))
}

// mix takes a gateway's open work and answers a second, told or own, into the mean of the fleet.
func (g *Gateway) updateFleetLoad(open, done, gain float64) {
	g.fleetLoad.open += gain * (open - g.fleetLoad.open)
	g.fleetLoad.done += gain * (done - g.fleetLoad.done)
}

// shed decides whether the wait is too long for what the request is worth.
func (g *Gateway) shouldShed(r *request) bool {
	value := r.class.PriorityWeight * r.customer.plan.PriorityWeight * r.units / max(r.class.usualLatency, 1e-6)
	g.meanValueDensity += 0.01 * (value - g.meanValueDensity)
	bears := shedThreshold + (1-shedThreshold)*min(1, value/max(g.meanValueDensity, 1e-9))
	if r.Reserved {
		bears *= reservedShedFactor
	}
	return g.queueingPressure() > bears
}

func (g *Gateway) reject(id string, why RejectReason) {
	a := Reject{ID: id, Reason: why}
	if g.cfg.Limits.RetryAfter {
		a.RetryAfter = min(g.cfg.Limits.MaxRetryAfter, g.timesObjective(retryAfterAdvice))
	}
	g.emit(a)
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
	wait := max(g.timesObjective(minOverdue), time.Duration(overdueFactor*g.expectedLatency(s, r.class)*float64(time.Second)))
	s.inFlight++
	g.totals.inFlight++
	s.sendRate.add(g.now, 1)
	g.markActive(s)
	g.emit(Send{r.ID, s.ID, max(r.usefulUntil-g.now, time.Millisecond), r.repeatWriteDeadline()})
	if g.now+wait < r.usefulUntil {
		g.setTimer(r.ID, a.number, g.now+wait)
	}
}

// overdue looks at an attempt that should have been answered. If the server has answered others since, the
// request is merely costly; if it has not, the server may be silent. A gateway that meets a server rarely
// sees no such answer either way: until a few should have come, only what is known of the server may speak
// against it. Else all gateways call off what is merely costly or waits, servers work on it all the same, and
// the fleet jams by its own further attempts: of 544 called off on a day of 5 requests a second and server,
// 541 were at servers that answered others. It should also catch slow spells and heavy tails; it could harm
// where a server has just gone silent.
func (g *Gateway) attemptOverdue(r *request, a *attempt) {
	s := a.endpoint
	known := g.failureRatio(s, r.class) >= cancelFailureRatio
	if g.evidenceScarcity() == 1 && !known {
		return
	}
	g.observeOwn(s, r.class, g.now-a.sentAt, true)
	if s.lastResponse > a.sentAt {
		return
	}
	quiet := s.sendRate.perSecond(g.now) * (g.now - max(s.lastResponse, g.startedAt)).Seconds()
	if quiet < minMissingResponses && !known { // it is looked at again
		if again := g.now + (g.now-a.sentAt)/2; again < r.usefulUntil && !r.finished {
			g.setTimer(r.ID, a.number, again)
		}
		return
	}
	if r.finished || r.streaming || g.retryBudget < 1 || r.class.Idempotency == NotIdempotent {
		return
	}
	if !g.cfg.Limits.Hedging {
		if g.cfg.Limits.Cancel {
			g.emit(Cancel{r.ID, a.number}) // its end, as Cancelled, brings the next attempt
		}
		return
	}
	g.retry(r, s, 1)
}

// again sends a further attempt if the rules, the time left and the retry budget, of which it takes the
// price, allow one. The budget guards servers against work done twice; where none got any, the next attempt
// is free. This should catch servers that are down, full of connections or behind a cut link.
func (g *Gateway) retry(r *request, last *endpoint, price float64) bool {
	most, overlaps := g.cfg.Limits.MaxAttempts, r.inFlight > 0 && !g.cfg.Limits.Hedging
	if g.retryBudget < price || len(r.attempts) >= most || overlaps {
		return false
	}
	s, cost := g.selectEndpoint(r, last)
	if s == nil || cost > (r.usefulUntil-g.now).Seconds() || (r.inFlight > 0 && s == last) {
		return false
	}
	g.retryBudget -= price
	g.send(r, s)
	return true
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

// judge takes what an outcome says of its server.
func (g *Gateway) recordOutcome(r *request, a *attempt, e AttemptEnded) {
	s := a.endpoint
	switch e.Outcome {
	case OutcomeOK:
		s.lastResponse = g.now
		g.responseRate.add(g.now, 1)
		before := len(s.orphans)
		s.orphans = slices.DeleteFunc(s.orphans, func(at time.Duration) bool { return at < a.sentAt })
		g.totals.inFlight -= float64(before - len(s.orphans))
		g.observeOwn(s, r.class, e.Duration, false)
	case OutcomeError:
		g.observeOwn(s, r.class, e.Duration, true)
		s.lastResponse = g.now
	case OutcomeRejected:
		g.observeOwn(s, r.class, e.Duration, true)
		s.lastResponse = g.now
	case OutcomeConnectFailed, OutcomeReset:
		g.observeOwn(s, r.class, e.Duration, true)
	case OutcomeTimedOut, OutcomeCancelled:
		if e.Outcome == OutcomeTimedOut {
			g.observeOwn(s, r.class, e.Duration, true)
		}
		s.orphans = append(s.orphans, a.sentAt)
		g.totals.inFlight++
	}
}

// ---- Guards of the rules.

// mayRepeatAt guards the rule on effects: whether the server may get the request, given the attempts that
// may have run.
func (g *Gateway) repeatAllowedAt(r *request, s *endpoint) bool {
	for _, a := range r.attempts {
		if r.class.Idempotency == Idempotent || !a.mayHaveRun {
			continue
		}
		same := r.class.DedupScope == DedupInFleet ||
			(r.class.DedupScope == DedupInZone && s.Zone == a.endpoint.Zone) ||
			(r.class.DedupScope == DedupInCell && s.Cell == a.endpoint.Cell)
		if r.class.Idempotency == NotIdempotent || !same || g.now-a.sentAt >= r.class.DedupWindow-objectiveMargin {
			return false
		}
	}
	return true
}

// repeatBefore guards the same rule where an attempt waits for its connection: servers forget a request a
// window after the first attempt that may have run; one written later runs again. 0: no such bound.
func (r *request) repeatWriteDeadline() time.Duration {
	for _, a := range r.attempts[:len(r.attempts)-1] {
		if a.mayHaveRun && r.class.Idempotency == IdempotentByKey {
			return a.sentAt + r.class.DedupWindow - objectiveMargin
		}
	}
	return 0
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
