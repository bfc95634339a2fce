package decide

import (
	"math"
	"time"
)

const (
	// work that nobody waits for counts as load for so long
	queueingTarget = 0.7
	// attempts out a server, of all gateways, that are always allowed
	minInFlightPerServer = 3.0
	// an answer must be back at the client within the aim
	objectiveMargin = 6 * time.Millisecond
	// between the times that two tries have left: less says nothing
	timeLeftNoise = 20 * time.Millisecond
	// own attempts out that press nobody where evidence is thin: one alone says nothing
	freeInFlight = 4.0
	// attempts out a server, by the mean told, that are always allowed
	minReportedInFlightPerServer = 6.0
	// gain of a told figure in that mean: ten words are a picture of the fleet ...
	reportedLoadGain = 0.1
	// ... and of the own at each beat: without words the mean is the own in some seconds
	ownLoadGain = 0.03
	// of the cap on open work, where the least worth work is shed
	shedThreshold = 0.25
	// times as much pressure: reserved work goes before other of the same worth
	reservedShedFactor = 1.25
	// of the time left: an estimate over it is hopeless
	maxDeadlineFraction = 0.8
)

func (g *Gateway) receiveRequest(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	k, planNo, ok := g.classes[e.Class], 0, false
	if planNo, ok = g.planIndex[e.Plan]; k == nil || !ok {
		g.emit(Reject{ID: e.ID, Reason: ReasonUnknownClassOrPlan})
		return
	}
	r := &request{Request: e, class: k, units: max(0, e.Units), usefulUntil: e.Deadline,
		rejectReason: ReasonOverQuota}
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
	return max(own, g.fleetLoad.open/max(g.fleetLoad.done*queueingTarget*g.shortestObjective,
		minReportedInFlightPerServer*n/all))
}

// mix takes a gateway's open work and answers a second, told or own, into the mean of the fleet.
func (g *Gateway) updateFleetLoad(open, done, gain float64) {
	g.fleetLoad.open += gain * (open - g.fleetLoad.open)
	g.fleetLoad.done += gain * (done - g.fleetLoad.done)
}

// shed decides whether the wait is too long for what the request is worth.
func (g *Gateway) shouldShed(r *request) bool {
	value := r.class.PriorityWeight * r.customer.plan.PriorityWeight * r.units / max(
		r.class.usualLatency, 1e-6)
	g.meanValueDensity += 0.01 * (value - g.meanValueDensity)
	bears := shedThreshold + (1-shedThreshold)*min(1, value/max(g.meanValueDensity, 1e-9))
	if r.Reserved {
		bears *= reservedShedFactor
	}
	return g.queueingPressure() > bears
}
