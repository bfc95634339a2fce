package decide

import (
	"math/rand"
	"slices"
	"time"
)

// In a large fleet a gateway's share of a mark is less than one request, and gossip about it would be
// older than the bucket. There the bucket of the whole customer is kept by its owner gateway, and each
// request waits for a grant of the owner before it is forwarded. A second owner, the standby, takes over
// while the first is unresponsive. Without any reply the gateway's own share decides.

const (
	// ownersPerCustomer counts the owner and its standby.
	ownersPerCustomer = 2

	// requestsPerOwner is how often an owner is asked for one grant, as datagrams may be lost.
	requestsPerOwner = 2

	// grantRequestCapacity is the part of the gossip capacity that grant requests may take. Beyond it an
	// owner lets gateways wait longer before they ask again for a customer that is over its quota.
	grantRequestCapacity = 0.4

	// A grant reply is waited for as long as grantTimeoutFactor times the usual round trip, and
	// grantTimeoutMargin, a turn or two of either event loop.
	initialGrantRoundTrip = 30 * time.Millisecond
	grantTimeoutFactor    = 2.0
	grantTimeoutMargin    = 12 * time.Millisecond
	roundTripGain         = 0.1

	// ownerUnresponsiveFor is how long an owner is not asked that left all requests for a grant unanswered.
	ownerUnresponsiveFor = 300 * time.Millisecond

	// grantRetention is how long an owner remembers its decisions, to answer a repeated request alike.
	grantRetention = 3 * time.Second

	// ceilingGrantLifetime is the time within which a grant under a ceiling must be used. What leaks
	// meanwhile is within the ceiling's slack.
	ceilingGrantLifetime = 100 * time.Millisecond

	// An owner that gets too many grant requests raises the wait of those it rejects, from minRejectWait
	// by rejectWaitGrowth each up to maxRejectWait; otherwise it lowers it by rejectWaitShrink each. The
	// waits are seconds.
	minRejectWait    = 0.1
	maxRejectWait    = 30.0
	rejectWaitGrowth = 1.15
	rejectWaitShrink = 0.9

	// maxLeakWait is the longest, in seconds, that a gateway rejects by itself until the bucket has leaked.
	maxLeakWait = 1.0

	// minLeakRate, in units a second, keeps the wait for a bucket that does not leak finite.
	minLeakRate = 1e-9

	// ownerHeartbeatInterval is the time between two heartbeats where there is no full gossip.
	ownerHeartbeatInterval = 100 * time.Millisecond

	// noGateway is the rank of no gateway.
	noGateway = -1
)

// ownerState is what the exchange with owners needs, on either side.
type ownerState struct {
	pending    map[uint64]*request // that wait for a grant reply, by the number of the grant request
	lastNumber uint64
	roundTrip  time.Duration // usual time from a grant request to its reply
	// By rank: an owner that left grant requests unanswered is not asked until then.
	unresponsiveUntil map[int]time.Duration

	requestRate rate // grant requests that this gateway gets, a second
}

func newOwnerState(rng *rand.Rand) ownerState {
	return ownerState{
		pending:           map[uint64]*request{},
		lastNumber:        uint64(rng.Intn(maxGrantNumber + 1)),
		roundTrip:         initialGrantRoundTrip,
		unresponsiveUntil: map[int]time.Duration{},
	}
}

func (s *ownerState) nextNumber() uint64 {
	s.lastNumber = s.lastNumber%maxGrantNumber + 1
	return s.lastNumber
}

// ownedBucket is what a gateway keeps of a customer that it owns, beside the bucket's fleet level.
type ownedBucket struct {
	grants     []grant
	demandRate rate    // units that all gateways demand
	rejectWait float64 // seconds for which gateways are to reject requests by themselves
}

// grant is an owner's decision on one grant request.
type grant struct {
	from      int    // rank of the gateway that asked
	number    uint64 // of the grant request
	decidedAt time.Duration
	granted   bool
	inFlight  bool // an attempt counts against the plan's limit
}

// ownerReport is what a customer's owner last replied.
type ownerReport struct {
	fleetDemand float64 // units a second that all gateways demand
	repliedAt   time.Duration
	rejectUntil time.Duration // requests are rejected without a grant request until then
}

// grantState is a request's exchange with the owners of its customer.
type grantState struct {
	number      uint64 // of its grant request
	requests    int    // grant requests sent, those skipped for an unresponsive owner included
	requestedAt time.Duration
	awaited     bool
	grantedBy   int // rank of the owner that admitted it, or noGateway
}

// owner is the rank of a customer's nth owner. It is the same at every gateway. A fleet of one gateway has
// full gossip and thus no owners, so there is no division by 0.
func (g *Gateway) owner(key uint64, n int) int {
	first := int(key % uint64(g.cfg.Gateways))
	if n == 0 {
		return first
	}
	return (first + 1 + int(key>>18%uint64(g.cfg.Gateways-1))) % g.cfg.Gateways
}

// initialFleetLevel is the level that the bucket of a new customer is taken to have. A standby may know
// nothing of what the owner granted, so its bucket starts full: it grants only what leaks. Otherwise the
// standby would hand out a second quota each time that the owner dies, stalls or is cut off, and
// customers would get up to twice their quota.
func (g *Gateway) initialFleetLevel(c *customer) float64 {
	if !g.gossip.full && g.owner(c.key, 0) != g.cfg.Rank {
		return c.plan.Burst
	}
	return initialLevel * c.plan.Burst
}

// requestGrant asks the next owner for a grant, or decides where there is none left to ask. Without any
// reply this gateway's own share of the bucket decides, but nothing passes a ceiling.
func (g *Gateway) requestGrant(r *request) {
	c := r.customer
	for ; r.grant.requests < requestsPerOwner*ownersPerCustomer && g.now < r.usefulUntil; r.grant.requests++ {
		owner := g.owner(c.key, r.grant.requests/requestsPerOwner)
		if owner == g.cfg.Rank {
			granted := g.decideGrant(c, owner, r.grant.number, r.units)
			r.grant.grantedBy = owner
			g.forwardOrReject(r, granted)
			return
		}
		if g.owners.unresponsiveUntil[owner] <= g.now {
			g.sendGrantRequest(r, owner)
			return
		}
	}
	r.grant.awaited = false
	g.refresh(c)
	if r.rejectReason = c.exceeded(r.units); c.plan.CeilingRate > 0 {
		r.rejectReason = ReasonOverCeiling
	}
	g.forwardOrReject(r, r.rejectReason == "")
}

func (g *Gateway) sendGrantRequest(r *request, owner int) {
	r.grant.requests++
	r.grant.awaited = true
	if r.grant.requestedAt == 0 {
		r.grant.requestedAt = g.now
	}
	g.owners.pending[r.grant.number] = r
	g.sendGrantMessage(owner, grantRequest, r.customer, r.grant.number, r.units)
	wait := grantTimeoutMargin + time.Duration(grantTimeoutFactor*float64(g.owners.roundTrip))
	g.setTimer(r.ID, grantTimer, min(r.usefulUntil, g.now+wait))
}

// grantTimedOut handles a reply that did not come in time. If the timer itself is late, this gateway
// stalled and the reply may be among the events that it finds now: it waits a little more. Otherwise a
// stall of this gateway would mark each owner as unresponsive.
func (g *Gateway) grantTimedOut(r *request, dueAt time.Duration) {
	if g.now-dueAt > grantTimeoutMargin && g.now < r.usefulUntil {
		g.setTimer(r.ID, grantTimer, min(r.usefulUntil, g.now+grantTimeoutMargin))
		return
	}
	if r.grant.requests%requestsPerOwner == 0 {
		owner := g.owner(r.customer.key, r.grant.requests/requestsPerOwner-1)
		g.owners.unresponsiveUntil[owner] = g.now + ownerUnresponsiveFor
	}
	delete(g.owners.pending, r.grant.number)
	g.requestGrant(r)
}

// decideGrant decides as an owner, by the customer's whole bucket: rate, attempts in flight and ceiling. A
// request that comes twice gets the same answer, and is charged once.
func (g *Gateway) decideGrant(c *customer, from int, number uint64, units float64) bool {
	g.refresh(c)
	o, b := &c.asOwner, &c.bucket
	inFlight := 0
	for i := range o.grants {
		d := &o.grants[i]
		if d.from == from && d.number == number {
			return d.granted
		}
		d.inFlight = d.inFlight && g.now-d.decidedAt < g.classes.longestObjective // it is given up by then
		inFlight += boolToInt(d.inFlight)
	}
	o.grants = slices.DeleteFunc(o.grants, func(d grant) bool { return g.now-d.decidedAt > grantRetention })
	o.demandRate.add(g.now, units)
	granted := (c.plan.Rate == 0 || b.fleetLevel+units <= c.plan.Burst) &&
		(c.plan.MaxInFlight == 0 || inFlight < c.plan.MaxInFlight) &&
		(c.plan.CeilingRate == 0 || b.ceilingTokens >= units)
	if granted {
		b.fleetLevel += units
		b.ceilingTokens -= units
	}
	g.updateRejectWait(o, granted)
	o.grants = append(o.grants, grant{from, number, g.now, granted, granted && c.plan.MaxInFlight > 0})
	return granted
}

// updateRejectWait keeps a customer far over its quota from filling the capacity of its owner with requests
// that are all rejected.
func (g *Gateway) updateRejectWait(o *ownedBucket, granted bool) {
	if !granted && g.owners.requestRate.perSecond(g.now) > grantRequestCapacity*g.cfg.GossipCapacity {
		o.rejectWait = min(maxRejectWait, max(o.rejectWait, minRejectWait)*rejectWaitGrowth)
	} else {
		o.rejectWait *= rejectWaitShrink
	}
}

// releaseGrant reports to the owner that granted a request that its attempts are over, and the units used
// beyond those granted.
func (g *Gateway) releaseGrant(r *request) {
	owner := r.grant.grantedBy
	switch {
	case owner == noGateway:
	case r.extraUnits == 0 && r.customer.plan.MaxInFlight == 0:
	case owner == g.cfg.Rank:
		g.endGrant(r.customer, owner, r.grant.number, r.extraUnits)
	default:
		g.sendGrantMessage(owner, grantRelease, r.customer, r.grant.number, r.extraUnits)
	}
}

// endGrant ends a grant as its owner.
func (g *Gateway) endGrant(c *customer, from int, number uint64, extraUnits float64) {
	for i := range c.asOwner.grants {
		if d := &c.asOwner.grants[i]; d.from == from && d.number == number && d.granted {
			g.refresh(c)
			c.bucket.fleetLevel = max(0, c.bucket.fleetLevel+extraUnits)
			d.inFlight = false
		}
	}
}

// receiveGrantMessage handles a grant message of another gateway. What is malformed, of an unknown plan
// or sent to the wrong owner is dropped.
func (g *Gateway) receiveGrantMessage(from int, text string) {
	m, ok := parseGrantMessage(text)
	if !ok || m.planNo >= len(g.cfg.Plans) {
		return
	}
	for _, o := range m.observations[:m.observationCount] {
		g.observeReported(o)
	}
	g.load.update(m.inFlight, m.responseRate, reportedLoadGain)
	delete(g.owners.unresponsiveUntil, from)
	owned := g.owner(m.key, 0) == g.cfg.Rank || g.owner(m.key, 1) == g.cfg.Rank
	if units, ok := m.requestedUnits(); ok && owned {
		g.owners.requestRate.add(g.now, 1)
		c := g.findOrAddCustomer(m.key, m.planNo)
		granted := g.decideGrant(c, from, m.number, units)
		g.sendGrantMessage(from, grantReply, c, m.number, float64(boolToInt(granted)),
			c.bucket.fleetLevel, c.asOwner.demandRate.perSecond(g.now), c.asOwner.rejectWait)
	}
	if extra, ok := m.releasedUnits(); ok && owned {
		g.endGrant(g.findOrAddCustomer(m.key, m.planNo), from, m.number, extra)
	}
	if a, ok := m.answer(); ok {
		g.receiveGrantReply(from, &m, a)
	}
}

// receiveGrantReply handles an owner's reply: it corrects share and level, and decides on the request.
func (g *Gateway) receiveGrantReply(from int, m *grantMessage, a grantAnswer) {
	r := g.owners.pending[m.number]
	if r == nil || r.customer.key != m.key {
		return
	}
	delete(g.owners.pending, m.number)
	waited := g.now - r.grant.requestedAt
	if r.grant.requests == 1 { // else it is not known which request was answered
		g.owners.roundTrip += time.Duration(roundTripGain * float64(waited-g.owners.roundTrip))
	}
	r.grant.awaited = false
	c := r.customer
	granted := a.granted && (c.plan.CeilingRate == 0 || waited <= ceilingGrantLifetime)
	c.fromOwner.fleetDemand, c.fromOwner.repliedAt = a.fleetDemand, g.now
	g.refresh(c)
	c.bucket.level = c.bucket.share * a.fleetLevel
	if granted {
		r.grant.grantedBy = from
	} else {
		c.rejectUntilLeaked(g.now, r.units, a)
	}
	g.forwardOrReject(r, granted)
}

// rejectUntilLeaked has this gateway reject requests by itself until the bucket can have leaked, or for
// as long as the owner asks for.
func (c *customer) rejectUntilLeaked(now time.Duration, units float64, a grantAnswer) {
	leaks := min(maxLeakWait, (a.fleetLevel+units-c.plan.Burst)/max(c.plan.Rate, minLeakRate))
	c.fromOwner.rejectUntil = now + time.Duration(max(a.rejectWait, leaks)*float64(time.Second))
}

// sendGrantMessage sends a message of the kind and figures, with the load and the observations of this
// gateway.
func (g *Gateway) sendGrantMessage(to int, kind grantKind, c *customer, number uint64, figures ...float64) {
	m := grantMessage{
		kind:             kind,
		key:              c.key,
		planNo:           c.planNo,
		number:           number,
		inFlight:         g.endpoints.totals.inFlight,
		responseRate:     g.evidence.responseRate.perSecond(g.now),
		observations:     g.evidence.recent.entries,
		observationCount: g.evidence.recent.count,
	}
	m.setFigures(figures...)
	g.emit(SendGossip{to, m.encode()})
}
