package decide

import "time"

const (
	// rateTimeConstant is the time constant with which rates of units and attempts decay. It is long compared
	// with the gaps between requests, and short compared with the time in which demand shifts between
	// gateways.
	rateTimeConstant = 2 * time.Second

	// demandPrior is the fraction of the evenly divided rate that is added to the demand of each gateway. It
	// stabilizes the share of customers with little demand.
	demandPrior = 0.05

	// peerStaleAfter is the time without gossip from a peer after which the peer's demand is unknown.
	peerStaleAfter = 1 * time.Second

	// demandGossipStep is the growth of demand, as a fraction of the burst, after which a gossip entry is
	// queued.
	demandGossipStep = 0.25
)

// demand tracks the units that requests at this gateway ask for, whether they are admitted or not.
type demand struct {
	rate      rate
	total     float64 // units since this gateway has known the customer
	totalSent float64 // total when gossip about it was last queued
}

// countDemand adds the units of a request to the demand, and queues gossip once the demand has grown by
// demandGossipStep. Used units need no such step: charge queues gossip about them at once.
func (g *Gateway) countDemand(c *customer, units float64) {
	d := &c.demand
	d.rate.add(g.now, units)
	d.total += units
	if d.total-d.totalSent > demandGossipStep*c.plan.Burst {
		d.totalSent = d.total
		g.queueGossip(c)
	}
}

// evenShare returns the share of each of the customer's gateways if the quota is divided evenly.
func (c *customer) evenShare() float64 { return 1 / float64(c.gatewayCount) }

// updateShare sets a customer's share to this gateway's fraction of the fleet's demand, but not below the
// even share. A gateway at which demand begins must not have to wait for gossip before it admits its first
// requests.
//
// In fleets with owner gateways, the fleet's demand is the one in a recent reply of an owner. Otherwise it
// is the sum of the demands in recent gossip. If the fleet's demand is unknown, the share follows usage
// reports or, without these, is the even share.
func (g *Gateway) updateShare(c *customer) {
	b := &c.bucket
	even := c.evenShare()
	prior := demandPrior * c.plan.Rate * even
	own := c.demand.rate.perSecond(g.now) + prior
	if !g.gossip.full && g.now-c.ownerReport.repliedAt < rateTimeConstant {
		b.share = min(1, max(even, own/max(own, c.ownerReport.fleetDemand)))
		return
	}
	total, reportedUpTo := g.fleetDemand(c, own, prior)
	noGossip := len(g.gossip.peers) == 0 && c.gatewayCount > 1
	if g.now-reportedUpTo >= peerStaleAfter || total == 0 || noGossip {
		b.share = g.shareFromUsageReports(c, even)
		return
	}
	b.share = max(even, own/total)
	if c.gatewayCount > 1 && reportedUpTo > b.reconciledAt {
		b.reconciledAt = reportedUpTo
		g.reconcileLevel(c, total)
	}
}

// fleetDemand returns the demand at all the customer's gateways in units per second: the demand at this
// gateway, given as own, and the demand that peers reported, each with the prior. All these peers have
// reported up to the time reportedUpTo. If a peer has never reported, reportedUpTo is so early that the
// fleet's demand counts as unknown.
func (g *Gateway) fleetDemand(c *customer, own, prior float64) (total float64, reportedUpTo time.Duration) {
	total, reportedUpTo = own, g.now
	for i := range g.gossip.peers {
		if i == g.cfg.Rank || !g.servesCustomer(c, i) {
			continue
		}
		if t := c.gossip.findReport(i); t != nil {
			total += t.demandRate.perSecond(g.now)
		}
		total += prior
		p := &g.gossip.peers[i]
		reportedUpTo = min(reportedUpTo, p.lastReceived)
		if !p.known {
			reportedUpTo = g.now - peerStaleAfter
		}
	}
	return total, reportedUpTo
}

// reconcileLevel sets the level to this gateway's share of the fleet level after each peer has reported
// again, because the level itself assumes that peers use exactly their shares. While the demand exceeds the
// rate, the level is only raised: all gateways compete for the same room in the bucket, and lowering the
// level would let each of them use the room at once.
func (g *Gateway) reconcileLevel(c *customer, fleetDemand float64) {
	b := &c.bucket
	if fleetDemand <= c.plan.Rate {
		b.level = 0
	}
	b.level = max(b.level, b.share*b.fleetLevel)
}
