package decide

import (
	"math"
	"time"
)

const (
	// initialLevel is the fraction of the high-water mark to which a new bucket is filled. The usage before
	// a start is unknown, and an empty bucket would grant the whole burst again at each restart.
	initialLevel = 0.5

	// ceilingSlackUsed is the fraction of a ceiling's slack that is used. The rest allows for rounding.
	ceilingSlackUsed = 0.9
)

// bucket is this gateway's part of a customer's leaky bucket. A request is charged when it is forwarded,
// and the charge leaks at the plan's rate.
type bucket struct {
	share float64 // fraction of rate and burst that this gateway may use, in (0, 1]
	// Units charged at this gateway that have not leaked yet. They leak at share * rate, and the high-water
	// mark is share * burst. Settlement may raise the level above the mark.
	level float64
	// Units in the bucket that all gateways fill together, as far as known at this gateway. At an owner,
	// these are the granted units. They leak at the full rate.
	fleetLevel    float64
	ceilingTokens float64       // units that this gateway's slice of the ceiling still admits
	leakedAt      time.Duration // time up to which level, fleetLevel and ceilingTokens are computed
	reconciledAt  time.Duration // level includes the usage that all peers reported up to this time
}

// refresh updates a customer's bucket and share to the current time.
func (g *Gateway) refresh(c *customer) {
	c.leak(g.now, g.ceilingSlice(c))
	g.updateShare(c)
}

// leak drains the bucket, and refills this gateway's slice of the ceiling, up to now.
func (c *customer) leak(now time.Duration, ceilingSlice float64) {
	b := &c.bucket
	elapsed := (now - b.leakedAt).Seconds()
	b.leakedAt = now
	b.level = max(0, b.level-b.share*c.plan.Rate*elapsed)
	b.fleetLevel = max(0, b.fleetLevel-c.plan.Rate*elapsed)
	filled := b.ceilingTokens + c.plan.CeilingRate*ceilingSlice*elapsed
	b.ceilingTokens = min(filled, c.plan.CeilingBurst*ceilingSlice)
}

// ceilingSlice returns the fraction of a customer's ceiling that one gateway holds: the ceiling is divided
// evenly among the customer's gateways, or among its owners. Unlike the share, the slice does not follow
// demand, because the ceiling must not be exceeded while gateways disagree about demand.
func (g *Gateway) ceilingSlice(c *customer) float64 {
	if !g.gossip.full {
		return 1.0 / ownersPerCustomer
	}
	return c.evenShare()
}

// admitByQuota reports whether this gateway's bucket has room for a request. If not, it sets the
// rejectReason of the request.
func (g *Gateway) admitByQuota(c *customer, r *request) bool {
	g.refresh(c)
	g.countDemand(c, r.units)
	r.rejectReason = c.exceededLimit(r.units)
	if r.rejectReason == "" && c.plan.CeilingRate > 0 && c.ceilingExceeded(r.units) {
		r.rejectReason = ReasonOverCeiling
	}
	if g.hasOnlyUsageReports(c) {
		c.usage.countRequest(g.now)
		if r.rejectReason == "" && g.rng.Float64()*g.demandRatio(c) >= 1 {
			r.rejectReason = ReasonOverQuota
		}
	}
	return r.rejectReason == ""
}

// exceededLimit returns the reason for which this gateway's share of the rate or of the attempts in flight
// has no room for the units, or "". A request needs room only for its share of the units but is charged in
// full, so the level may exceed the high-water mark by less than one request. Otherwise small plans could
// never admit a request, because a gateway's share of their mark is less than one request.
//
// The share of the attempts in flight is rounded down, because all gateways together would exceed the limit
// by far if each rounded up. One attempt is always allowed. Otherwise a customer of many gateways could
// never have a request forwarded.
func (c *customer) exceededLimit(units float64) RejectReason {
	b := &c.bucket
	switch {
	case c.plan.Rate > 0 && b.level+b.share*units > b.share*c.plan.Burst:
		return ReasonOverQuota
	case c.plan.MaxInFlight > 0 &&
		float64(c.inFlight) >= max(1, math.Floor(b.share*float64(c.plan.MaxInFlight))):
		return ReasonTooManyInFlight
	}
	return ""
}

// ceilingExceeded reports whether this gateway's slice of the ceiling has no room for the units.
func (c *customer) ceilingExceeded(units float64) bool {
	slack := ceilingSlackUsed * c.plan.CeilingSlack / float64(c.gatewayCount)
	return c.bucket.ceilingTokens+slack < units
}

// charge adds units to a customer's bucket: those of a request when it is forwarded, and at settlement the
// difference to the actual units. A failed attempt remains charged. Units may be negative. In fleets with
// owner gateways the fleet level is not charged here, because it counts the units that the owner has
// granted.
func (g *Gateway) charge(c *customer, units float64) {
	c.bucket.level += units
	if g.gossip.full {
		c.bucket.fleetLevel += units
	}
	c.gossip.usedTotal += units
	c.usage.rate.add(g.now, units)
	g.queueGossip(c)
}

// chargeForwarded charges a request when it is forwarded for the first time, unless its units are reserved.
func (g *Gateway) chargeForwarded(r *request) {
	if r.Reserved {
		return
	}
	r.customer.bucket.ceilingTokens -= r.units
	g.charge(r.customer, r.units)
}

// settle replaces the estimated units of a request by the actual units.
func (g *Gateway) settle(r *request, actual float64) {
	if actual <= 0 || !g.cfg.SettledOnResponse || r.Reserved {
		return
	}
	g.charge(r.customer, actual-r.units)
	r.extraUnits += actual - r.units
	r.units = actual
}

// refund returns the charge of a request of which nothing was sent, including the units that an owner
// granted.
func (g *Gateway) refund(r *request) {
	if r.Reserved {
		return
	}
	g.charge(r.customer, -r.units)
	r.customer.bucket.ceilingTokens += r.units
	r.extraUnits = -r.units
}
