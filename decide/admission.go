package decide

import (
	"math"
	"time"
)

const (
	// queueingTarget is the time that requests should be in flight on average, in shortest latency
	// objectives.
	queueingTarget = 0.7

	// minInFlightPerServer is the number of attempts in flight at a server, of all gateways together,
	// that is always allowed, to find out that a jam is over.
	minInFlightPerServer = 3.0

	// freeInFlight is the number of own attempts in flight that are no pressure where evidence is scarce:
	// a single attempt at each of hundreds of gateways says nothing.
	freeInFlight = 4.0

	// minReportedInFlightPerServer is minInFlightPerServer for the load that gateways report.
	minReportedInFlightPerServer = 6.0

	// Gains in the mean load: of a gateway that reports its load, and of this gateway at each heartbeat.
	// Where none reports, the mean becomes this gateway's own load within seconds.
	reportedLoadGain = 0.1
	ownLoadGain      = 0.03

	// shedThreshold is the pressure from which requests of the least value are shed. Those of the usual
	// value and more are shed at a pressure of 1.
	shedThreshold = 0.25

	// reservedShedFactor is the factor on that pressure for requests whose units are reserved.
	reservedShedFactor = 1.25

	// valueDensityGain is the gain of one request in the usual value.
	valueDensityGain = 0.01

	// maxDeadlineFraction is the part of the time left that the expected latency may take.
	maxDeadlineFraction = 0.8

	// objectiveMargin is the time that a response needs from here to the client.
	objectiveMargin = 6 * time.Millisecond

	// timeLeftNoise is the difference between the time that two requests have left which says nothing.
	timeLeftNoise = 20 * time.Millisecond

	// minRateAge is the least age at which the rate of responses is corrected for its youth: right after
	// the start the correction would divide by nearly 0.
	minRateAge = time.Second / 4

	// minValueDensity keeps the quotient by the usual value density finite.
	minValueDensity = 1e-9
)

// fleetLoad is the mean load of a gateway, from what others report and from this one.
type fleetLoad struct {
	inFlight     float64 // attempts in flight, and orphans
	responseRate float64 // successful responses a second

	valueDensity float64 // usual value of a request for a second of a server's work
}

// update adds a gateway's load to the mean.
func (l *fleetLoad) update(inFlight, responseRate, gain float64) {
	l.inFlight += gain * (inFlight - l.inFlight)
	l.responseRate += gain * (responseRate - l.responseRate)
}

// receiveRequest handles a new request. It is decided at once, or when an owner replies.
func (g *Gateway) receiveRequest(e Request) {
	if g.requests[e.ID] != nil {
		return // a repeated event: the request that is open gets the answer
	}
	k := g.classes.byName[e.Class]
	planNo, ok := g.customers.planIndex[e.Plan]
	if k == nil || !ok {
		g.emit(Reject{ID: e.ID, Reason: ReasonUnknownClassOrPlan})
		return
	}
	usefulUntil := g.usefulUntil(k, e)
	c := g.findOrAddCustomer(hashKey(e.Customer), planNo)
	c.setGateways(e.FirstGateway, e.GatewayCount, g.cfg.Gateways)
	r := &request{
		Request:      e,
		class:        k,
		customer:     c,
		units:        max(0, e.Units),
		usefulUntil:  usefulUntil,
		grant:        grantState{grantedBy: noGateway},
		rejectReason: ReasonOverQuota,
	}
	g.requests[e.ID] = r
	switch {
	case r.usefulUntil <= g.now && e.IsRetry:
		r.rejectReason = ReasonDeadlineUnreachable
		g.forwardOrReject(r, false)
	case e.Reserved:
		g.forwardOrReject(r, true)
	case g.gossip.full:
		g.forwardOrReject(r, g.admitByQuota(c, r))
	default:
		g.admitByOwner(c, r)
	}
}

// admitByOwner asks the customer's owner for a grant, unless the request is rejected anyway: the owner is
// not to be asked, nor the customer charged, in vain.
func (g *Gateway) admitByOwner(c *customer, r *request) {
	c.demand.rate.add(g.now, r.units)
	if c.fromOwner.rejectUntil > g.now {
		g.forwardOrReject(r, false)
		return
	}
	if g.shouldShed(r) {
		r.rejectReason = ReasonLoadShed
		g.forwardOrReject(r, false)
		return
	}
	r.grant.number = g.owners.nextNumber()
	g.requestGrant(r)
}

// usefulUntil is the time until which a response to a request has a value. For classes whose responses have
// none after the objective that is the objective's end.
func (g *Gateway) usefulUntil(k *class, e Request) time.Duration {
	if k.LateWeight != 0 || k.Streaming || k.ObjectiveStretch != 0 {
		return e.Deadline
	}
	return min(e.Deadline, g.now+max(0, k.LatencyObjective-objectiveMargin-g.requestAge(k, e)))
}

// requestAge is how much of its objective a request has used up before it came here. What has no time left
// is rejected before it costs quota or servers.
//
// After a stall, requests of the whole stall are found at once; the time that each has left, compared
// with the most that a first request had, gives its age. A retry belongs to its first request, and all of
// a client's retries end with the class's deadline: one that has less time left than a first request has
// waited for the rest. This is wrong for clients that give their requests unequal times.
func (g *Gateway) requestAge(k *class, e Request) time.Duration {
	left := e.Deadline - g.now
	if e.IsRetry {
		if k.maxTimeLeft-left > timeLeftNoise {
			return max(0, k.Deadline-left)
		}
		return 0
	}
	k.maxTimeLeft = max(k.maxTimeLeft, left)
	if !g.endsStall() {
		return 0
	}
	return min(g.stallDuration, k.maxTimeLeft-left)
}

// forwardOrReject ends the wait of a request: it is forwarded if the quota has room and a server can
// respond in time, else rejected.
func (g *Gateway) forwardOrReject(r *request, quotaHasRoom bool) {
	var s *endpoint
	var expected float64
	if quotaHasRoom {
		s, expected = g.selectEndpoint(r, nil)
	}
	switch {
	case !quotaHasRoom:
	case s == nil:
		r.rejectReason = ReasonNoServer
	case expected > maxDeadlineFraction*(r.usefulUntil-g.now).Seconds():
		r.rejectReason, s = ReasonDeadlineUnreachable, nil
	case (g.gossip.full || r.Reserved) && g.shouldShed(r):
		r.rejectReason, s = ReasonLoadShed, nil
	}
	if s == nil {
		r.extraUnits = -r.units // an owner may have granted them
		g.reject(r.ID, r.rejectReason)
		g.finish(r)
		return
	}
	g.chargeForwarded(r)
	g.retryBudget.earn()
	g.send(r, s)
}

// queueingPressure is the work in flight over what is allowed.
//
// By Little's law the work in flight is the responses a second times their latency. The responses that do
// come, times the latency that they should have, thus bound the wait whatever the servers can do, and
// when they jam the bound closes. It covers a slow dependency that all servers share, a fleet that
// shrinks, and a rush at the start.
//
// Where evidence is scarce a few attempts at each of hundreds of gateways are a jam that none of them
// sees. There the bound is on the mean of the load that gateways report, too.
func (g *Gateway) queueingPressure() float64 {
	servers, gateways := g.endpoints.totals.serving, float64(g.cfg.Gateways)
	sinceStart := max(g.now-g.startedAt, minRateAge).Seconds()
	observed := 1 - math.Exp(-sinceStart/demandMemory.Seconds()) // the part that a young rate has seen
	responseRate := g.evidence.responseRate.perSecond(g.now) / observed
	allowed := responseRate * queueingTarget * g.classes.shortestObjective
	inFlight := max(0, g.endpoints.totals.inFlight-freeInFlight*g.evidenceScarcity())
	own := inFlight / max(allowed, minInFlightPerServer*servers/gateways)
	if g.gossip.full {
		return own
	}
	reported := g.load.responseRate * queueingTarget * g.classes.shortestObjective
	return max(own, g.load.inFlight/max(reported, minReportedInFlightPerServer*servers/gateways))
}

// shouldShed decides whether the pressure is too high for the value of a request. Requests of little
// value for their work are shed first.
func (g *Gateway) shouldShed(r *request) bool {
	value := r.class.PriorityWeight * r.customer.plan.PriorityWeight * r.units
	density := value / max(r.class.usualLatency, minUsualLatency)
	g.load.valueDensity += valueDensityGain * (density - g.load.valueDensity)
	bearable := shedThreshold + (1-shedThreshold)*min(1, density/max(g.load.valueDensity, minValueDensity))
	if r.Reserved {
		bearable *= reservedShedFactor
	}
	return g.queueingPressure() > bearable
}
