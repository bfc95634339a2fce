package decide

import (
	"slices"
	"time"
)

const (
	// idle customers are dropped; every bucket and store is as new by then
	customerIdleTimeout = time.Minute
)

// terms are a customer's own; no is the plan's number in messages.
type planOverride struct {
	Plan
	planNo int
}

type customer struct {
	key                        uint64
	plan                       *Plan
	planNo                     int
	firstGateway, gatewayCount int
	leakedAt, lastUsed         time.Duration // of the last leak, of the last use
	level, share               float64       // of this gateway's bucket; its part of rate and mark
	fleetLevel                 float64       // of the bucket that all gateways together fill, as far as told
	reconciledAt               time.Duration // the level follows what peers told up to then
	demandRate                 rate

	usedTotal, demandTotal, demandTotalSent float64

	usageRate rate
	// what the meter last told, units a second; factor on the part by it
	meteredUsage, meterFactor       float64
	meteredAt                       time.Duration
	demandRatio, recentRequests     float64 // see Gateway.demand; at demandAt, askedAt
	demandRatioAt, recentRequestsAt time.Duration
	peerTotals                      []peerTotals
	queuedFor                       []bool
	inFlight                        int
	ceilingTokens                   float64 // units of this gateway's slice of the ceiling

	ownerDemandRate            rate          // units that all gateways ask of this home
	fleetDemand                float64       // units a second that all gateways ask, as the home told ...
	fleetDemandAt, rejectUntil time.Duration // ... then; refused at once until then, by the home's word
	grants                     []grant       // of the home
	rejectWait                 float64       // seconds that the home lets refused ones wait
}

// inSet reports whether a customer's requests may come in through the gateway of that number.
func (g *Gateway) servesCustomer(c *customer, rank int) bool {
	return (rank-c.firstGateway+g.cfg.Gateways)%g.cfg.Gateways < c.gatewayCount
}

func (g *Gateway) findOrAddCustomer(key uint64, planNo int) *customer {
	if c := g.customers[key]; c != nil {
		c.lastUsed = g.now
		return c
	}
	p := &g.cfg.Plans[planNo]
	if t := g.planOverrides[key]; t != nil {
		p, planNo = &t.Plan, t.planNo
	}
	c := &customer{key: key, plan: p, planNo: planNo, gatewayCount: g.cfg.Gateways,
		leakedAt: g.startedAt, lastUsed: g.now,
		peerTotals: make([]peerTotals, len(g.peers)), queuedFor: make([]bool, len(g.peers))}
	c.share, c.meterFactor, c.fleetDemandAt = 1/float64(c.gatewayCount), 1, -demandMemory
	c.demandRatioAt = -time.Hour // never
	if !g.fullGossip {
		c.fleetLevel = g.initialFleetLevel(c)
	}
	c.level = c.share * initialLevel * p.Burst // leaks, and the store fills, from the start on
	g.customers[key] = c
	g.customerOrder = append(g.customerOrder, c)
	return c
}

// sweep drops customers that have been idle for long, a few at each beat.
func (g *Gateway) dropIdleCustomers() {
	for n := 0; n < 4 && len(g.customerOrder) > 0; n++ {
		c := g.customerOrder[0]
		g.customerOrder = g.customerOrder[1:]
		if c.inFlight == 0 && g.now-c.lastUsed > customerIdleTimeout && !slices.Contains(c.queuedFor, true) {
			delete(g.customers, c.key)
			continue
		}
		g.customerOrder = append(g.customerOrder, c)
	}
}

// newTerms changes a customer's plan. Used units stay in its buckets: over a lower mark nothing passes until
// they have leaked at the new rate, under a higher one only the difference is new, and a change there and
// back gives nothing. Without a rate nothing leaks, so a level from then counts up to the mark. Attempts out
// go on and count under the new cap, a home's grants stay. A store under a ceiling is cut, never filled.
func (g *Gateway) changePlan(e PlanChange) {
	no, ok := g.planIndex[e.Plan.Name]
	if !ok || e.Plan.validate("Terms") != nil {
		return
	}
	t := &planOverride{e.Plan, no}
	g.planOverrides[hashKey(e.Customer)] = t
	c := g.customers[hashKey(e.Customer)]
	if c == nil {
		return
	}
	g.leak(c) // by the old terms up to now
	had := c.plan.Rate > 0
	if c.plan, c.planNo = &t.Plan, no; !had {
		c.level, c.fleetLevel = min(c.level, c.share*c.plan.Burst), min(c.fleetLevel, c.plan.Burst)
	}
	c.level, c.fleetLevel = max(0, c.level-e.ReturnedUnits), max(0, c.fleetLevel-e.ReturnedUnits)
	g.leak(c)
}
