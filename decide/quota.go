package decide

import (
	"math"
)

const (
	// of the mark: level after a start, as the past is unknown
	initialLevel = 0.5
	// of the ceiling's slack is used: the rest is for rounding
	ceilingSlackUsed = 0.9
)

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
	// an even slice, empty at a start
	if r.rejectReason = c.exceeded(r.units); r.rejectReason == "" && c.plan.CeilingRate > 0 &&
		c.ceilingTokens+ceilingSlackUsed*c.plan.CeilingSlack/float64(c.gatewayCount) < r.units {
		r.rejectReason = ReasonOverCeiling
	}
	if g.onlyMetered(c) {
		c.recentRequests = 1 + c.recentRequests*math.Exp(-(g.now-c.recentRequestsAt).Seconds()/
			demandRatioMemory.Seconds())
		c.recentRequestsAt = g.now
		if r.rejectReason == "" && g.rng.Float64()*g.demandRatio(c) >= 1 {
			r.rejectReason = ReasonOverQuota
		}
	}
	return r.rejectReason == ""
}

// lacks tells what of this gateway's part, of rate or cap, does not bear the units. Its part of the cap on
// attempts out is rounded down, though one may always be out: rounded up, all gateways are far beyond it.
func (c *customer) exceeded(units float64) RejectReason {
	switch {
	case c.plan.Rate > 0 && c.level+c.share*units > c.share*c.plan.Burst:
		return ReasonOverQuota
	case c.plan.MaxInFlight > 0 && float64(c.inFlight) >= max(1, math.Floor(c.share*float64(
		c.plan.MaxInFlight))):
		return ReasonTooManyInFlight
	}
	return ""
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
