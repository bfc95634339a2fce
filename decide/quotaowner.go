package decide

import (
	"math/rand"
	"slices"
	"time"
)

// In a large fleet, a gateway's share of a high-water mark is less than one request, and gossip would arrive
// too late to describe the bucket. There, an owner gateway keeps the bucket of the whole customer, and each
// request waits for a grant of the owner before it is forwarded. A second owner, the standby, takes over
// while the first one is unresponsive. If neither replies, the gateway decides by its own share.

const (
	// ownersPerCustomer is the number of owners of a customer: the quota owner and the standby owner.
	ownersPerCustomer = 2

	// requestsPerOwner is the number of times that an owner is asked for one grant. It is more than 1
	// because datagrams may be lost.
	requestsPerOwner = 2

	// grantRequestCapacity is the fraction of the gossip capacity that grant requests may use. An owner
	// that receives more makes gateways wait longer before they ask again for a customer that is over its
	// quota.
	grantRequestCapacity = 0.4

	// The timeout of a grant request is grantTimeoutFactor times the average round trip, plus
	// grantTimeoutMargin, which covers one or two iterations of either gateway's event loop. The average
	// starts as initialGrantRoundTrip; roundTripGain is the weight of one reply in it.
	initialGrantRoundTrip = 30 * time.Millisecond
	grantTimeoutFactor    = 2.0
	grantTimeoutMargin    = 12 * time.Millisecond
	roundTripGain         = 0.1

	// ownerUnresponsiveFor is the time for which an owner is not asked after it has left all requests for a
	// grant unanswered.
	ownerUnresponsiveFor = 300 * time.Millisecond

	// grantRetention is the time for which an owner remembers its decisions, so that a repeated request
	// gets the same reply.
	grantRetention = 3 * time.Second

	// ceilingGrantLifetime is the time within which a grant under a ceiling must be used. What leaks within
	// this time is covered by the slack of the ceiling.
	ceilingGrantLifetime = 100 * time.Millisecond

	// An owner that receives too many grant requests raises the wait that it imposes on customers it
	// rejects: from minRejectWait, by the factor rejectWaitGrowth with each rejection, up to maxRejectWait.
	// Any other decision reduces the wait by the factor rejectWaitShrink. The waits are in seconds.
	minRejectWait    = 0.1
	maxRejectWait    = 30.0
	rejectWaitGrowth = 1.15
	rejectWaitShrink = 0.9

	// maxLeakWait is the longest time in seconds for which a gateway rejects requests by itself while the
	// bucket leaks.
	maxLeakWait = 1.0

	// minLeakRate, in units per second, keeps the computed wait finite for a bucket that does not leak.
	minLeakRate = 1e-9

	// ownerHeartbeatInterval is the heartbeat interval in fleets without full gossip.
	ownerHeartbeatInterval = 100 * time.Millisecond

	// noGateway stands for the rank of no gateway.
	noGateway = -1
)

// ownerState is the state of the grant protocol at this gateway, both as a requester and as an owner.
type ownerState struct {
	// Requests that wait for a grant reply, by the number of the grant request.
	pending           map[uint64]*request
	lastRequestNumber uint64
	roundTrip         time.Duration // moving average of the time from a grant request to its reply
	// unresponsiveUntil holds, by rank, the time until which an owner is not asked because it left grant
	// requests unanswered.
	unresponsiveUntil map[int]time.Duration

	requestRate rate // grant requests received per second
}

func newOwnerState(rng *rand.Rand) ownerState {
	return ownerState{
		pending:           map[uint64]*request{},
		lastRequestNumber: uint64(rng.Intn(maxGrantNumber + 1)),
		roundTrip:         initialGrantRoundTrip,
		unresponsiveUntil: map[int]time.Duration{},
	}
}

// nextRequestNumber returns the number of the next grant request.
func (s *ownerState) nextRequestNumber() uint64 {
	s.lastRequestNumber = s.lastRequestNumber%maxGrantNumber + 1
	return s.lastRequestNumber
}

// ownedBucket is the state that an owner keeps for a customer, in addition to bucket.fleetLevel.
type ownedBucket struct {
	grants     []grant
	demandRate rate    // units per second that all gateways demand
	rejectWait float64 // time in seconds for which gateways must reject requests by themselves
}

// grant is an owner's decision on one grant request, positive or negative.
type grant struct {
	from      int           // rank of the gateway that sent the request
	number    uint64        // number of the grant request
	decidedAt time.Duration // time of the decision
	granted   bool
	inFlight  bool // whether an attempt still counts towards the plan's limit
}

// ownerReport is the last reply of a customer's owner.
type ownerReport struct {
	fleetDemand float64 // units per second that all gateways demand
	repliedAt   time.Duration
	// rejectUntil is the time until which requests are rejected without asking an owner.
	rejectUntil time.Duration
}

// grantState is the state of a request's grant.
type grantState struct {
	number uint64 // number of the grant request
	// requests is the number of grant requests sent, or skipped because the owner was unresponsive.
	requests      int
	requestedAt   time.Duration // time of the first grant request; 0: none was sent
	awaitingReply bool          // whether a reply is expected
	grantedBy     int           // rank of the owner that admitted the request, or noGateway
}

// owner returns the rank of a customer's owner for n = 0, and of its standby for n = 1. All gateways
// compute the same ranks. It must not be called in a fleet of one gateway, where the computation would
// divide by 0; such a fleet has full gossip and no owners.
func (g *Gateway) owner(key uint64, n int) int {
	first := int(key % uint64(g.cfg.Gateways))
	if n == 0 {
		return first
	}
	return (first + 1 + int(key>>18%uint64(g.cfg.Gateways-1))) % g.cfg.Gateways
}

// initialFleetLevel returns the fleet level of a new customer. A standby does not know what the owner has
// granted, so its bucket starts full and it grants only what leaks. Otherwise the standby would grant a
// second quota whenever the owner fails, stalls or is partitioned, and customers would get up to twice
// their quota.
func (g *Gateway) initialFleetLevel(c *customer) float64 {
	if !g.gossip.full && g.owner(c.key, 0) != g.cfg.Rank {
		return c.plan.Burst
	}
	return initialLevel * c.plan.Burst
}

// requestGrant asks the next owner for a grant. If this gateway is that owner, or if no owner is left to
// ask, it decides by itself. Without any reply, this gateway's share of the bucket decides, but requests
// under a ceiling are rejected.
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
	r.grant.awaitingReply = false
	g.refresh(c)
	if r.rejectReason = c.exceededLimit(r.units); c.plan.CeilingRate > 0 {
		r.rejectReason = ReasonOverCeiling
	}
	g.forwardOrReject(r, r.rejectReason == "")
}

// sendGrantRequest sends a grant request to an owner and sets the timer for its reply.
func (g *Gateway) sendGrantRequest(r *request, owner int) {
	r.grant.requests++
	r.grant.awaitingReply = true
	if r.grant.requestedAt == 0 {
		r.grant.requestedAt = g.now
	}
	g.owners.pending[r.grant.number] = r
	g.sendGrantMessage(owner, grantRequest, r.customer, r.grant.number, r.units)
	wait := grantTimeoutMargin + time.Duration(grantTimeoutFactor*float64(g.owners.roundTrip))
	g.setTimer(r.ID, grantTimer, min(r.usefulUntil, g.now+wait))
}

// grantTimedOut handles a missing grant reply. If the timer fired late, this gateway has stalled and the
// reply may be among the events that are still queued, so it waits a little longer. Otherwise a stall of
// this gateway would mark every owner as unresponsive.
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

// decideGrant decides on a grant request as an owner, by the customer's whole bucket: rate, attempts in
// flight and ceiling. A repeated request gets the same decision and is charged only once. A grant counts as
// in flight until it is released, but at most for the longest latency objective: the request is assumed to
// have been given up by then.
func (g *Gateway) decideGrant(c *customer, from int, number uint64, units float64) bool {
	g.refresh(c)
	o, b := &c.ownedBucket, &c.bucket
	inFlight := 0
	for i := range o.grants {
		d := &o.grants[i]
		if d.from == from && d.number == number {
			return d.granted
		}
		d.inFlight = d.inFlight && g.now-d.decidedAt < g.classes.longestObjective
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

// updateRejectWait adapts the wait that an owner imposes on gateways. Without it, a customer far over its
// quota could exhaust the capacity of its owner with requests that are all rejected.
func (g *Gateway) updateRejectWait(o *ownedBucket, granted bool) {
	if !granted && g.owners.requestRate.perSecond(g.now) > grantRequestCapacity*g.cfg.GossipCapacity {
		o.rejectWait = min(maxRejectWait, max(o.rejectWait, minRejectWait)*rejectWaitGrowth)
	} else {
		o.rejectWait *= rejectWaitShrink
	}
}

// releaseGrant reports to the owner that granted a request that its attempts have ended, and the units used
// beyond those granted. It sends nothing if the owner would have nothing to change.
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
	for i := range c.ownedBucket.grants {
		if d := &c.ownedBucket.grants[i]; d.from == from && d.number == number && d.granted {
			g.refresh(c)
			c.bucket.fleetLevel = max(0, c.bucket.fleetLevel+extraUnits)
			d.inFlight = false
		}
	}
}

// receiveGrantMessage handles a grant message from another gateway. Messages that are malformed or for an
// unknown plan are dropped. Of a request or release that was sent to the wrong owner, only the load and the
// observations are used.
func (g *Gateway) receiveGrantMessage(from int, text string) {
	m, ok := parseGrantMessage(text)
	if !ok || m.planIndex >= len(g.cfg.Plans) {
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
		c := g.findOrAddCustomer(m.key, m.planIndex)
		granted := g.decideGrant(c, from, m.number, units)
		g.sendGrantMessage(from, grantReply, c, m.number, float64(boolToInt(granted)),
			c.bucket.fleetLevel, c.ownedBucket.demandRate.perSecond(g.now), c.ownedBucket.rejectWait)
	}
	if extra, ok := m.releasedUnits(); ok && owned {
		if c := g.customers.byKey[m.key]; c != nil { // otherwise there is no grant to end
			g.endGrant(c, from, m.number, extra)
		}
	}
	if a, ok := m.answer(); ok {
		g.receiveGrantReply(from, &m, a)
	}
}

// receiveGrantReply handles an owner's reply: it updates the share and the level of the customer, and
// decides on the request.
func (g *Gateway) receiveGrantReply(from int, m *grantMessage, a grantAnswer) {
	r := g.owners.pending[m.number]
	if r == nil || r.customer.key != m.key {
		return
	}
	delete(g.owners.pending, m.number)
	waited := g.now - r.grant.requestedAt
	if r.grant.requests == 1 { // otherwise the reply may be to any of them
		g.owners.roundTrip += time.Duration(roundTripGain * float64(waited-g.owners.roundTrip))
	}
	r.grant.awaitingReply = false
	c := r.customer
	granted := a.granted && (c.plan.CeilingRate == 0 || waited <= ceilingGrantLifetime)
	c.ownerReport.fleetDemand, c.ownerReport.repliedAt = a.fleetDemand, g.now
	g.refresh(c)
	c.bucket.level = c.bucket.share * a.fleetLevel
	if granted {
		r.grant.grantedBy = from
	} else {
		c.rejectUntilLeaked(g.now, r.units, a)
	}
	g.forwardOrReject(r, granted)
}

// rejectUntilLeaked makes this gateway reject requests by itself until the bucket can have leaked enough
// for the units, or for as long as the owner demands if that is longer.
func (c *customer) rejectUntilLeaked(now time.Duration, units float64, a grantAnswer) {
	leakWait := min(maxLeakWait, (a.fleetLevel+units-c.plan.Burst)/max(c.plan.Rate, minLeakRate))
	c.ownerReport.rejectUntil = now + time.Duration(max(a.rejectWait, leakWait)*float64(time.Second))
}

// sendGrantMessage sends a grant message with the given values, and with the load and the recent
// observations of this gateway.
func (g *Gateway) sendGrantMessage(to int, kind grantKind, c *customer, number uint64, values ...float64) {
	m := grantMessage{
		kind:             kind,
		key:              c.key,
		planIndex:        c.planIndex,
		number:           number,
		inFlight:         g.endpoints.totals.inFlight,
		responseRate:     g.responseStats.responseRate.perSecond(g.now),
		observations:     g.responseStats.recent.entries,
		observationCount: g.responseStats.recent.count,
	}
	m.setValues(values...)
	g.emit(SendGossip{to, m.encode()})
}
