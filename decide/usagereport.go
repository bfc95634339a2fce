package decide

import (
	"math"
	"slices"
	"time"
)

const (
	// usageStaleAfter is the age from which a usage report says nothing any more.
	usageStaleAfter = 3 * time.Second

	// The factor on the share grows with each report, and shrinks with each that exceeds the rate.
	usageFactorGrowth = 1.02
	usageFactorShrink = 0.95

	// demandRatioMemory is how fast a reported demand ratio fades to the usual one of the plan.
	demandRatioMemory = 30 * time.Second

	// initialDemandPerRequest is the demand ratio that one recent request counts for before any report.
	initialDemandPerRequest = 0.25

	// minDemandRatio is the least demand ratio. A customer that demands little is admitted again at once.
	minDemandRatio = 0.25

	// planDemandGain is the gain of one customer's ratio in the usual one of its plan.
	planDemandGain = 0.2

	// maxPlanDemandWeight bounds how much more a customer counts that is admitted rarely, and so reported
	// rarely.
	maxPlanDemandWeight = 4
)

// usage is what usage reports and own charges say of a customer's use of its quota. It decides where the
// customer's gateways exchange no gossip.
type usage struct {
	rate       rate    // units charged here
	reported   float64 // fleet-wide, units a second
	reportedAt time.Duration
	factor     float64 // on the share that follows from the report, at most 1

	// What the customer demands over what its quota allows, as of demandRatioAt.
	demandRatio   float64
	demandRatioAt time.Duration

	// Requests received here, as a count that fades with demandRatioMemory.
	recentRequests   float64
	recentRequestsAt time.Duration
}

func newUsage() usage {
	return usage{factor: 1, demandRatioAt: -time.Hour} // never
}

// planDemand is, by plan, the natural logarithm of the usual demand ratio that one recent request of a
// customer counts for.
type planDemand []float64

func newPlanDemand(plans int) planDemand {
	return slices.Repeat(planDemand{math.Log(initialDemandPerRequest)}, plans)
}

func (u *usage) countRequest(now time.Duration) {
	u.recentRequests = 1 + u.recentRequests*
		math.Exp(-(now-u.recentRequestsAt).Seconds()/demandRatioMemory.Seconds())
	u.recentRequestsAt = now
}

// onlyUsageReports reports whether usage reports are all that a customer's gateways know of each other.
func (g *Gateway) onlyUsageReports(c *customer) bool {
	return g.cfg.UsageReportPeriod > 0 && c.gatewayCount > 1 && g.gossip.full && len(g.gossip.peers) == 0
}

// demandRatio is what a customer demands over what its quota allows, fleet-wide. Its inverse is the part
// of its requests that is admitted. Chance has to decide where one gateway's share of a mark or a limit
// is less than a request: one request at each of hundreds of gateways is far beyond it, and each of them
// sees no other.
//
// A customer without a recent report is taken to be like those of its plan that send as often. Where most
// of these exceed their quota, one that keeps it is rejected too often until it is reported on.
func (g *Gateway) demandRatio(c *customer) float64 {
	u := &c.usage
	usual := u.recentRequests * math.Exp(g.planDemand[c.planNo])
	fade := math.Exp(-(g.now - u.demandRatioAt).Seconds() / demandRatioMemory.Seconds())
	return usual + (u.demandRatio-usual)*fade
}

// updateUsage applies a usage report, in percent of the rate or, for plans without one, of the attempts
// in flight.
func (g *Gateway) updateUsage(c *customer, percent float64) {
	if g.onlyUsageReports(c) && c.usage.recentRequests > 0 {
		g.updateDemandRatio(c, percent)
	}
	u := &c.usage
	u.reported, u.reportedAt = percent/100*c.plan.Rate, g.now
	u.factor = min(1, u.factor*usageFactorGrowth)
	if u.reported > c.plan.Rate {
		u.factor *= usageFactorShrink
	}
}

// updateDemandRatio moves the demand ratio towards what a report says. A report is older than what was done
// since: the ratio moves by the time since it last did, not by each response that carries the same report.
func (g *Gateway) updateDemandRatio(c *customer, percent float64) {
	u := &c.usage
	last := g.demandRatio(c)
	gain := min(1, float64(g.now-u.demandRatioAt)/float64(usageStaleAfter))
	if c.plan.Rate > 0 { // a burst that the quota allows is not yet demand beyond it
		gain *= min(1, g.cfg.UsageReportPeriod.Seconds()*c.plan.Rate/c.plan.Burst)
	}
	admitted := min(1, 1/last) // part of its requests, in the period of the report
	u.demandRatio = max(minDemandRatio, last+gain*(percent/100/admitted-last))
	u.demandRatioAt = g.now
	usual := &g.planDemand[c.planNo]
	perRequest := math.Log(u.demandRatio / u.recentRequests)
	*usual += planDemandGain * min(1/admitted, maxPlanDemandWeight) * (perRequest - *usual)
}

// shareByUsage is the share of a customer whose other gateways send no gossip: its part of the reported
// usage, less while that exceeds the rate, or the even share without a recent report.
func (g *Gateway) shareByUsage(c *customer, even float64) float64 {
	u := &c.usage
	if u.reported > 0 && g.now-u.reportedAt < usageStaleAfter {
		return max(even, min(1, u.factor*u.rate.perSecond(g.now)/u.reported))
	}
	return even
}
