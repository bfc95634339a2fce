package decide

import (
	"math"
	"time"
)

const (
	// queueingTarget is the mean time that requests should be in flight, in units of the shortest latency
	// objective.
	queueingTarget = 0.7

	// minInFlightPerServer is the number of attempts in flight per server, summed over all gateways, that
	// is always allowed. These attempts show when an overload has ended.
	minInFlightPerServer = 3.0

	// freeInFlight is the number of this gateway's attempts in flight that do not count as pressure where
	// observations are sparse. With hundreds of gateways, a single attempt at each of them says nothing
	// about the load.
	freeInFlight = 4.0

	// minReportedInFlightPerServer replaces minInFlightPerServer in the comparison with the load that
	// gateways report.
	minReportedInFlightPerServer = 6.0

	// Weights of a new value in the moving averages of fleetLoad: of the load that another gateway reports,
	// and of this gateway's load at each heartbeat. If no gateway reports its load, the averages converge
	// to this gateway's own load within seconds.
	reportedLoadGain = 0.1
	ownLoadGain      = 0.03

	// shedThreshold is the pressure above which requests of the lowest value density are shed. The value
	// density of a request is its value per second of server time. Requests whose value density is at least
	// the average are shed above a pressure of 1. Between these two, the threshold rises with the density.
	shedThreshold = 0.25

	// reservedShedFactor multiplies the pressure above which a request is shed if its units are reserved.
	reservedShedFactor = 1.25

	// valueDensityGain is the weight of one request in the average value density.
	valueDensityGain = 0.01

	// maxDeadlineFraction is the largest fraction of the remaining time that the expected latency may take.
	maxDeadlineFraction = 0.8

	// objectiveMargin is the time reserved for a response to travel from this gateway to the client.
	// Latency objectives and deduplication windows are shortened by it.
	objectiveMargin = 6 * time.Millisecond

	// remainingTimeTolerance is the largest difference in remaining time at which two requests count as
	// equally old.
	remainingTimeTolerance = 20 * time.Millisecond

	// minRateAge is the least time since the start that is used to correct the response rate. Right after
	// the start, the correction would divide by nearly 0.
	minRateAge = time.Second / 4

	// minValueDensity is the lower bound of the average value density that is used as a divisor.
	minValueDensity = 1e-9
)

// fleetLoad holds moving averages of the load per gateway, over the reports of other gateways and this
// gateway's own load.
type fleetLoad struct {
	inFlight     float64 // attempts in flight, including orphans; see endpoint.orphans
	responseRate float64 // successful responses per second

	// valueDensity is the average value, per second of server time, of the requests at this gateway alone.
	valueDensity float64
}

// update adds the load of one gateway to the averages, with the weight gain.
func (l *fleetLoad) update(inFlight, responseRate, gain float64) {
	l.inFlight += gain * (inFlight - l.inFlight)
	l.responseRate += gain * (responseRate - l.responseRate)
}

// receiveRequest handles a new request. It forwards or rejects the request at once, or sends a grant
// request to an owner gateway and waits for the reply.
func (g *Gateway) receiveRequest(e Request) {
	if g.requests[e.ID] != nil {
		return // a duplicate event; the open request will get the answer
	}
	k := g.classes.byName[e.Class]
	planIndex, ok := g.customers.planIndexByName[e.Plan]
	if k == nil || !ok {
		g.emit(Reject{ID: e.ID, Reason: ReasonUnknownClassOrPlan})
		return
	}
	usefulUntil := g.usefulUntil(k, e)
	c := g.findOrAddCustomer(hashKey(e.Customer), planIndex)
	g.setGateways(c, e.FirstGateway, e.GatewayCount)
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
	c.openRequests++
	switch {
	case r.usefulUntil <= g.now && e.IsRetry:
		// No time is left. The retry is rejected before it counts as demand or loads an owner.
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

// admitByOwner requests a grant from the customer's owner. Requests that would be rejected anyway are
// rejected first, so that they neither load the owner nor charge the customer.
func (g *Gateway) admitByOwner(c *customer, r *request) {
	c.demand.rate.add(g.now, r.units)
	if c.ownerReport.rejectUntil > g.now {
		g.forwardOrReject(r, false)
		return
	}
	if g.shouldShed(r) {
		r.rejectReason = ReasonLoadShed
		g.forwardOrReject(r, false)
		return
	}
	r.grant.number = g.owners.nextRequestNumber()
	g.requestGrant(r)
}

// usefulUntil returns the time after which a response to the request has no value. That is the client's
// deadline or, for classes whose responses have no value after the latency objective, the end of the
// objective if it comes first.
func (g *Gateway) usefulUntil(k *class, e Request) time.Duration {
	if k.LateWeight != 0 || k.Streaming || k.ObjectiveStretch != 0 {
		return e.Deadline
	}
	return min(e.Deadline, g.now+max(0, k.LatencyObjective-objectiveMargin-g.requestAge(k, e)))
}

// requestAge returns how much of its latency objective a request had used up before it arrived at this
// gateway. A request without any time left is rejected before it uses quota or server capacity.
//
// After a stall, the gateway finds the requests of the whole stall at once. The age of each one follows
// from its remaining time, compared with the most that a first request of the class had. A retry is as old
// as the first request that it repeats: the class's deadline covers the first request and all its retries,
// so if a retry has less time left than a first request, its client has already waited for the difference.
// The estimate is wrong for clients that set different deadlines on their requests.
func (g *Gateway) requestAge(k *class, e Request) time.Duration {
	left := e.Deadline - g.now
	if e.IsRetry {
		if k.maxRemainingTime-left > remainingTimeTolerance {
			return max(0, k.Deadline-left)
		}
		return 0
	}
	k.maxRemainingTime = max(k.maxRemainingTime, left)
	if !g.atStallEnd() {
		return 0
	}
	return min(g.stallDuration, k.maxRemainingTime-left)
}

// forwardOrReject completes admission: it forwards the request if the quota has room, a server is
// available, a response can be expected in time and the request is not shed. Otherwise it rejects the
// request. If the quota has no room, the caller has already set rejectReason. Requests that waited for a
// grant are not considered for shedding again, because admitByOwner has done so.
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
		r.extraUnits = -r.units // returns the units that an owner may have granted
		g.reject(r.ID, r.rejectReason)
		g.finish(r)
		return
	}
	g.chargeForwarded(r)
	g.retryBudget.earn()
	g.send(r, s)
}

// queueingPressure returns the work in flight divided by the allowed work in flight. At values above 1 the
// gateway is overloaded.
//
// By Little's law, the work in flight equals the response rate times the latency. The allowed work is
// therefore the observed response rate times the target latency. This bounds the queueing time whatever the
// capacity of the servers, and when responses cease to arrive the bound shrinks to its minimum. It covers a
// slow dependency that all servers share, a shrinking number of servers, and a surge at startup.
//
// Where observations are sparse, a few attempts at each of hundreds of gateways can overload the servers
// without any gateway noticing. In fleets without full gossip the bound therefore also applies to the
// average load that gateways report.
func (g *Gateway) queueingPressure() float64 {
	servers, gateways := g.endpoints.totals.serving, float64(g.cfg.Gateways)
	sinceStart := max(g.now-g.startedAt, minRateAge).Seconds()
	observedFraction := 1 - math.Exp(-sinceStart/rateTimeConstant.Seconds()) // the rate starts from 0
	responseRate := g.responseStats.responseRate.perSecond(g.now) / observedFraction
	allowed := responseRate * queueingTarget * g.classes.shortestObjective
	inFlight := max(0, g.endpoints.totals.inFlight-freeInFlight*g.observationSparsity())
	ownPressure := inFlight / max(allowed, minInFlightPerServer*servers/gateways)
	if g.gossip.full {
		return ownPressure
	}
	allowedReported := g.load.responseRate * queueingTarget * g.classes.shortestObjective
	return max(ownPressure,
		g.load.inFlight/max(allowedReported, minReportedInFlightPerServer*servers/gateways))
}

// shouldShed reports whether the pressure is too high for the value of a request. Requests with little
// value per second of server time are shed first. Each call also adds the request to the average value
// density.
func (g *Gateway) shouldShed(r *request) bool {
	value := r.class.PriorityWeight * r.customer.plan.PriorityWeight * r.units
	density := value / max(r.class.baselineLatency, minBaselineLatency)
	g.load.valueDensity += valueDensityGain * (density - g.load.valueDensity)
	allowedPressure := shedThreshold +
		(1-shedThreshold)*min(1, density/max(g.load.valueDensity, minValueDensity))
	if r.Reserved {
		allowedPressure *= reservedShedFactor
	}
	return g.queueingPressure() > allowedPressure
}
