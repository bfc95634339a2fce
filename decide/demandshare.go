package decide

import "time"

const (
	// demandMemory is the memory of rates of units: long against the gaps between requests, short against
	// the shifts of demand between gateways.
	demandMemory = 2 * time.Second

	// demandPrior is how many seconds of the even share of the rate count as demand of each gateway. It
	// steadies the share where demand is rare.
	demandPrior = 0.05

	// peerStaleAfter is after how long without gossip a peer's demand counts as unknown.
	peerStaleAfter = 1 * time.Second

	// demandGossipStep is the part of the burst by which demand must grow to be worth a gossip entry.
	demandGossipStep = 0.25
)

// demand is what requests at this gateway demand of a customer's quota, admitted or not.
type demand struct {
	rate      rate
	total     float64 // units since the customer is known here
	totalSent float64 // the total that was last queued as gossip
}

// countDemand counts the units of a request, and queues gossip about them once they are worth it. Used
// units are gossiped at once, see charge.
func (g *Gateway) countDemand(c *customer, units float64) {
	d := &c.demand
	d.rate.add(g.now, units)
	d.total += units
	if d.total-d.totalSent > demandGossipStep*c.plan.Burst {
		d.totalSent = d.total
		g.queueGossip(c)
	}
}

// evenShare is the share of one of the customer's gateways if all have the same.
func (c *customer) evenShare() float64 { return 1 / float64(c.gatewayCount) }

// updateShare sets a customer's share to this gateway's part of the fleet's demand, but never below the
// even share: a gateway whose demand begins must not wait for gossip to admit its first requests.
//
// Where the fleet's demand is not known the share is the even one, or that by the usage reports.
func (g *Gateway) updateShare(c *customer) {
	b := &c.bucket
	even := c.evenShare()
	prior := demandPrior * c.plan.Rate * even
	own := c.demand.rate.perSecond(g.now) + prior
	if !g.gossip.full && g.now-c.fromOwner.repliedAt < demandMemory {
		b.share = min(1, max(even, own/max(own, c.fromOwner.fleetDemand)))
		return
	}
	all, reportedUpTo := g.fleetDemand(c, own, prior)
	noGossip := len(g.gossip.peers) == 0 && c.gatewayCount > 1
	if g.now-reportedUpTo >= peerStaleAfter || all == 0 || noGossip {
		b.share = g.shareByUsage(c, even)
		return
	}
	b.share = max(even, own/all)
	if c.gatewayCount > 1 && reportedUpTo > b.reconciledAt {
		b.reconciledAt = reportedUpTo
		g.reconcileLevel(c, all)
	}
}

// fleetDemand is the demand of all the customer's gateways, in units a second: this one's, and what peers
// report. All peers have reported up to the time reportedUpTo.
func (g *Gateway) fleetDemand(c *customer, own, prior float64) (all float64, reportedUpTo time.Duration) {
	all, reportedUpTo = own, g.now
	for i := range g.gossip.peers {
		if i == g.cfg.Rank || !g.servesCustomer(c, i) {
			continue
		}
		all += c.gossip.totals[i].demandRate.perSecond(g.now) + prior
		p := &g.gossip.peers[i]
		reportedUpTo = min(reportedUpTo, p.lastReceived)
		if !p.known {
			reportedUpTo = g.now - peerStaleAfter
		}
	}
	return all, reportedUpTo
}

// reconcileLevel sets the level to this gateway's share of the fleet's, once each peer has reported
// again: the level assumes that peers use just their shares. While more is demanded than leaks the
// level is only raised: all contend for the same room, and each would take it at once.
func (g *Gateway) reconcileLevel(c *customer, fleetDemand float64) {
	b := &c.bucket
	if fleetDemand <= c.plan.Rate {
		b.level = 0
	}
	b.level = max(b.level, b.share*b.fleetLevel)
}
