package decide

import (
	"slices"
	"time"
)

const (
	// of a customer; the second stands in for a silent first
	ownersPerCustomer = 2
	// of the intake is for questions; beyond it refused ones wait longer
	grantRequestCapacity = 0.4
	// wait for a home's word, until round trips were seen ...
	initialGrantRoundTrip = 30 * time.Millisecond
	// ... then so many times the usual one, and askLeast more
	grantTimeoutFactor = 2.0
	// a turn or two of either side
	grantTimeoutMargin = 12 * time.Millisecond
	// a home that twice gave no answer is not asked for so long
	ownerUnresponsiveFor = 300 * time.Millisecond
	// a home knows for so long what it granted
	grantRetention = 3 * time.Second
	// a grant under a ceiling is used within this, which the slack bears
	ceilingGrantLifetime = 100 * time.Millisecond
	// longest wait that a home puts on those it refuses
	maxRejectWait = 30 * time.Second
	// seconds that refused ones wait where questions fill the intake ...
	minRejectWait = 0.1
	// ... and longer with each ...
	rejectWaitGrowth = 1.15
	// ... and less where they don't
	rejectWaitShrink = 0.9
	// pace of the upkeep
	ownerHeartbeatInterval = 100 * time.Millisecond
)

// grant is what a home let one gateway pass on.
type grant struct {
	from      int
	number    uint64
	decidedAt time.Duration
	granted   bool
	inFlight  bool // an attempt is out
}

func (g *Gateway) sendGrantMessage(to int, kind byte, c *customer, no uint64, v ...float64) {
	w := grantMessage{kind: kind, key: c.key, plan: c.planNo, number: no, figureCount: len(v)}
	copy(w.figures[:], v)
	w.observations, w.observationCount = g.recent.entries, g.recent.count
	w.inFlight, w.responseRate = g.totals.inFlight, g.responseRate.perSecond(g.now)
	g.emit(SendGossip{to, w.encode()})
}

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
		g.setTimer(r.ID, -1, min(r.usefulUntil, g.now+grantTimeoutMargin+time.Duration(
			grantTimeoutFactor*float64(g.grantRoundTrip))))
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
		(c.plan.MaxInFlight == 0 || out < c.plan.MaxInFlight) && (c.plan.CeilingRate == 0 ||
		c.ceilingTokens >= units)
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
		g.sendGrantMessage(from, 'r', c, w.number, float64(boolToInt(ok)), c.fleetLevel,
			c.ownerDemandRate.perSecond(g.now), wait)
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
