package decide

import (
	"math"
	"time"
)

const (
	// initialLevel is the part of the high-water mark that a new bucket holds. What passed before a start
	// is not known: an empty bucket would hand out the whole burst again at each restart.
	initialLevel = 0.5

	// ceilingSlackUsed is the part of a ceiling's slack that is used. The rest is for rounding.
	ceilingSlackUsed = 0.9
)

// bucket is this gateway's part of a customer's leaky bucket. A request is charged on forwarding; the
// charge leaks away at the plan's rate.
type bucket struct {
	share float64 // part of rate and burst that this gateway may use, more than 0 and at most 1
	// Units charged here that have not leaked. They leak at share x rate; the high-water mark is share x
	// burst. Settlement may lift the level over the mark.
	level float64
	// Units in the bucket that all gateways fill together, as far as known here; at an owner, as granted.
	// They leak at the whole rate.
	fleetLevel    float64
	ceilingTokens float64       // units that this gateway's slice of the ceiling still lets pass
	leakedAt      time.Duration // the above are as of this time
	reconciledAt  time.Duration // level includes what all peers reported up to this time
}

// refresh brings a customer's bucket and its share up to now.
func (g *Gateway) refresh(c *customer) {
	c.leak(g.now, g.ceilingSlice(c))
	g.updateShare(c)
}

// leak lets the bucket leak, and this gateway's slice of the ceiling fill, up to now.
func (c *customer) leak(now time.Duration, ceilingSlice float64) {
	b := &c.bucket
	elapsed := (now - b.leakedAt).Seconds()
	b.leakedAt = now
	b.level = max(0, b.level-b.share*c.plan.Rate*elapsed)
	b.fleetLevel = max(0, b.fleetLevel-c.plan.Rate*elapsed)
	filled := b.ceilingTokens + c.plan.CeilingRate*ceilingSlice*elapsed
	b.ceilingTokens = min(filled, c.plan.CeilingBurst*ceilingSlice)
}

// ceilingSlice is the part of a customer's ceiling that one gateway keeps: an even one of all its
// gateways, or of its owners. Unlike the share it does not follow demand, as a ceiling must not be
// exceeded while gateways disagree.
func (g *Gateway) ceilingSlice(c *customer) float64 {
	if !g.gossip.full {
		return 1.0 / ownersPerCustomer
	}
	return c.evenShare()
}

// admitByQuota decides by this gateway's bucket whether the quota has room for a request. If not, the
// request has the reason.
func (g *Gateway) admitByQuota(c *customer, r *request) bool {
	g.refresh(c)
	g.countDemand(c, r.units)
	r.rejectReason = c.exceeded(r.units)
	if r.rejectReason == "" && c.plan.CeilingRate > 0 && c.ceilingExceeded(r.units) {
		r.rejectReason = ReasonOverCeiling
	}
	if g.onlyUsageReports(c) {
		c.usage.countRequest(g.now)
		if r.rejectReason == "" && g.rng.Float64()*g.demandRatio(c) >= 1 {
			r.rejectReason = ReasonOverQuota
		}
	}
	return r.rejectReason == ""
}

// exceeded returns the limit, of rate or attempts in flight, in which this gateway's share has no room
// for the units, or "". A request needs only its share of room and is charged whole, so the level may
// pass the high-water mark by less than a request: the share of a small plan's mark is less than one
// request.
//
// The share of the attempts in flight is rounded down, since rounded up all gateways together would be
// far over the limit. One may always be in flight, or a customer of many gateways would get nothing.
func (c *customer) exceeded(units float64) RejectReason {
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

// charge adds units to a customer's bucket: on forwarding those of the request, on settlement the
// difference to the actual ones. A failed attempt keeps its charge. Units may be negative.
func (g *Gateway) charge(c *customer, units float64) {
	c.bucket.level += units
	if g.gossip.full {
		c.bucket.fleetLevel += units
	}
	c.gossip.usedTotal += units
	c.usage.rate.add(g.now, units)
	g.queueGossip(c)
}

// chargeForwarded charges a request that is forwarded for the first time.
func (g *Gateway) chargeForwarded(r *request) {
	if r.Reserved {
		return
	}
	r.customer.bucket.ceilingTokens -= r.units
	g.charge(r.customer, r.units)
}

// settle replaces the estimated units of a request by the actual ones.
func (g *Gateway) settle(r *request, actual float64) {
	if actual <= 0 || !g.cfg.SettledOnResponse || r.Reserved {
		return
	}
	g.charge(r.customer, actual-r.units)
	r.extraUnits += actual - r.units
	r.units = actual
}

// refund gives back the charge of a request of which nothing was sent, also to an owner that granted it.
func (g *Gateway) refund(r *request) {
	if r.Reserved {
		return
	}
	g.charge(r.customer, -r.units)
	r.customer.bucket.ceilingTokens += r.units
	r.extraUnits = -r.units
}
