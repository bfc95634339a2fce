package decide

import (
	"math"
	"slices"
	"time"
)

const (
	// usageStaleAfter is the age at which a usage report expires.
	usageStaleAfter = 3 * time.Second

	// The factor on the share grows with each report, and shrinks with each report of a usage above the
	// rate.
	usageFactorGrowth = 1.02
	usageFactorShrink = 0.95

	// demandRatioTimeConstant is the time constant with which a reported demand ratio decays to the typical
	// one of the plan.
	demandRatioTimeConstant = 30 * time.Second

	// initialDemandPerRequest is the demand ratio per recent request that is assumed before any report.
	initialDemandPerRequest = 0.25

	// minDemandRatio is the lower bound of the demand ratio. A customer whose demand is low is admitted
	// again at once.
	minDemandRatio = 0.25

	// planDemandGain is the weight of one customer's ratio in the typical ratio of its plan.
	planDemandGain = 0.2

	// maxPlanDemandWeight bounds the additional weight of customers that are rarely admitted and thus
	// rarely reported.
	maxPlanDemandWeight = 4
)

// usage is a customer's use of its quota according to usage reports and own charges. It determines the
// share of customers whose gateways exchange no gossip.
type usage struct {
	rate       rate    // units per second charged at this gateway
	reported   float64 // usage in the whole fleet, in units per second
	reportedAt time.Duration
	factor     float64 // multiplies the share that follows from the report, at most 1

	// The customer's demand divided by what its quota allows, as of demandRatioAt.
	demandRatio   float64
	demandRatioAt time.Duration

	// The number of requests received at this gateway, decaying with the time constant
	// demandRatioTimeConstant.
	recentRequests   float64
	recentRequestsAt time.Duration
}

func newUsage() usage {
	return usage{factor: 1, demandRatioAt: -time.Hour} // before any possible report
}

// planDemand holds, by plan index, the natural logarithm of the typical demand ratio per recent request of
// a customer.
type planDemand []float64

func newPlanDemand(plans int) planDemand {
	return slices.Repeat(planDemand{math.Log(initialDemandPerRequest)}, plans)
}

// countRequest counts a request in recentRequests.
func (u *usage) countRequest(now time.Duration) {
	u.recentRequests = 1 + u.recentRequests*
		math.Exp(-(now-u.recentRequestsAt).Seconds()/demandRatioTimeConstant.Seconds())
	u.recentRequestsAt = now
}

// hasOnlyUsageReports reports whether usage reports are the only information that the customer's gateways
// have about each other.
func (g *Gateway) hasOnlyUsageReports(c *customer) bool {
	return g.cfg.UsageReportPeriod > 0 && c.gatewayCount > 1 && g.gossip.full && len(g.gossip.peers) == 0
}

// demandRatio returns a customer's demand in the whole fleet divided by what its quota allows. Its inverse
// is the fraction of the customer's requests to admit. They are selected at random, because a gateway's
// share of a high-water mark or limit may be less than one request: one request at each of hundreds of
// gateways exceeds the quota by far, and none of the gateways sees the others' requests.
//
// A customer without a recent report is assumed to be like the customers of its plan that send requests as
// often. If most of these exceed their quota, a customer that stays within its quota is rejected too often
// until there is a report about it.
func (g *Gateway) demandRatio(c *customer) float64 {
	u := &c.usage
	typical := u.recentRequests * math.Exp(g.planDemand[c.planIndex])
	decay := math.Exp(-(g.now - u.demandRatioAt).Seconds() / demandRatioTimeConstant.Seconds())
	return typical + (u.demandRatio-typical)*decay
}

// updateUsage applies a usage report. The usage is in percent of the plan's rate or, for plans without a
// rate, of the limit of attempts in flight.
func (g *Gateway) updateUsage(c *customer, percent float64) {
	if g.hasOnlyUsageReports(c) && c.usage.recentRequests > 0 {
		g.updateDemandRatio(c, percent)
	}
	u := &c.usage
	u.reported, u.reportedAt = percent/100*c.plan.Rate, g.now
	u.factor = min(1, u.factor*usageFactorGrowth)
	if u.reported > c.plan.Rate {
		u.factor *= usageFactorShrink
	}
}

// updateDemandRatio moves the demand ratio towards the value of a usage report. Since a report is older
// than the most recent decisions, the size of the step depends on the time since the last step, not on the
// number of responses that carry the same report.
func (g *Gateway) updateDemandRatio(c *customer, percent float64) {
	u := &c.usage
	previous := g.demandRatio(c)
	gain := min(1, float64(g.now-u.demandRatioAt)/float64(usageStaleAfter))
	if c.plan.Rate > 0 { // a burst within the quota does not show excess demand
		gain *= min(1, g.cfg.UsageReportPeriod.Seconds()*c.plan.Rate/c.plan.Burst)
	}
	admitted := min(1, 1/previous) // fraction of requests admitted in the period of the report
	u.demandRatio = max(minDemandRatio, previous+gain*(percent/100/admitted-previous))
	u.demandRatioAt = g.now
	logTypical := &g.planDemand[c.planIndex]
	logPerRequest := math.Log(u.demandRatio / u.recentRequests)
	*logTypical += planDemandGain * min(1/admitted, maxPlanDemandWeight) * (logPerRequest - *logTypical)
}

// shareFromUsageReports returns the share of a customer whose other gateways send no gossip: this gateway's
// fraction of the reported usage, reduced while that usage exceeds the rate. Without a recent report, it is
// the even share.
func (g *Gateway) shareFromUsageReports(c *customer, even float64) float64 {
	u := &c.usage
	if u.reported > 0 && g.now-u.reportedAt < usageStaleAfter {
		return max(even, min(1, u.factor*u.rate.perSecond(g.now)/u.reported))
	}
	return even
}
