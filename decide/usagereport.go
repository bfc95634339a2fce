package decide

import (
	"math"
	"time"
)

const (
	// the meter is late; older totals say nothing
	meterStaleAfter = 3 * time.Second
	// of the factor on the part, a report ...
	meterFactorGrowth = 1.02
	// ... while the metered total exceeds the rate
	meterFactorShrink = 0.95
	// metered demand fades to the usual one in this
	demandRatioMemory = 30 * time.Second
	// of a quota is what an ask stands for until the meter tells
	initialDemandPerRequest = 0.25
	// who asks for little is let in again at once
	minDemandRatio = 0.25
	// of a customer's in its plan's usual one
	planDemandGain = 0.2
)

// alone reports that a customer's gateways hear nothing of each other but by the meter.
func (g *Gateway) onlyMetered(c *customer) bool {
	return g.cfg.UsageReportPeriod > 0 && c.gatewayCount > 1 && g.fullGossip && len(g.peers) == 0
}

// demand is what a customer asks for over what its quota allows, as the meter tells of all gateways. Its
// inverse is the share of its requests that is let in. Where a part of a mark or cap is under one request,
// only chance can keep it: one request at each of hundreds is far beyond it. Of a customer not metered for
// long, what others of its plan that ask as often have tells. It should catch any quota that is small
// against the gateways; it harms those that keep theirs where most that ask as often don't.
func (g *Gateway) demandRatio(c *customer) float64 {
	usual := c.recentRequests * math.Exp(g.logDemandPerRequest[c.planNo])
	return usual + (c.demandRatio-usual)*math.Exp(-(g.now-c.demandRatioAt).Seconds()/
		demandRatioMemory.Seconds())
}

// meter takes what an answer tells of the customer's use; it decides the part where peers are silent. What it
// tells is older than what was done since: demand moves by the time since it last did, not by each answer.
func (g *Gateway) updateFromMeter(c *customer, percent int) {
	if was := g.demandRatio(c); g.onlyMetered(c) && c.recentRequests > 0 {
		gain := min(1, float64(g.now-c.demandRatioAt)/float64(meterStaleAfter))
		if c.plan.Rate > 0 { // a burst is no more than the mark bears
			gain *= min(1, g.cfg.UsageReportPeriod.Seconds()*c.plan.Rate/c.plan.Burst)
		}
		let := min(1, 1/was) // of what it asked for, while that was metered
		c.demandRatio = max(minDemandRatio, was+gain*(float64(percent-1)/100/let-was))
		c.demandRatioAt = g.now
		usual := &g.logDemandPerRequest[c.planNo]
		*usual += planDemandGain * min(1/let, 4) * (math.Log(c.demandRatio/c.recentRequests) - *usual)
	}
	c.meteredUsage, c.meteredAt = float64(percent-1)/100*c.plan.Rate, g.now
	c.meterFactor = min(1, c.meterFactor*meterFactorGrowth)
	if c.meteredUsage > c.plan.Rate {
		c.meterFactor *= meterFactorShrink
	}
}
