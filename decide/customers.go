package decide

import (
	"slices"
	"time"
)

// customerIdleTimeout is after how long an idle customer is dropped. It must be long enough that each
// bucket has leaked and each ceiling has filled by then.
const customerIdleTimeout = time.Minute

// idleChecksPerHeartbeat bounds the work of dropping idle customers.
const idleChecksPerHeartbeat = 4

// customer is what a gateway knows of a customer that it has had a request of, or gossip about.
type customer struct {
	key    uint64 // see hashKey
	plan   *Plan
	planNo int // of the plan, in messages

	firstGateway, gatewayCount int // the gateways through which its requests come

	lastUsed time.Duration
	inFlight int // attempts

	bucket    bucket
	demand    demand
	usage     usage
	gossip    customerGossip
	asOwner   ownedBucket // where this gateway is one of the customer's owners
	fromOwner ownerReport // elsewhere: what an owner replied
}

// planOverride is the plan that a PlanChange put a customer on.
type planOverride struct {
	Plan
	planNo int
}

// customerTable holds the customers and their plans.
type customerTable struct {
	byKey     map[uint64]*customer
	order     []*customer // the head is the next one that dropIdle looks at
	overrides map[uint64]*planOverride

	planIndex map[string]int // by name
}

func newCustomerTable(plans []Plan) customerTable {
	t := customerTable{
		byKey:     map[uint64]*customer{},
		overrides: map[uint64]*planOverride{},
		planIndex: map[string]int{},
	}
	for i, p := range plans {
		t.planIndex[p.Name] = i
	}
	return t
}

// findOrAddCustomer returns the customer of the key. A new one is put on the plan of that number, unless a
// PlanChange has named another.
func (g *Gateway) findOrAddCustomer(key uint64, planNo int) *customer {
	if c := g.customers.byKey[key]; c != nil {
		c.lastUsed = g.now
		return c
	}
	plan := &g.cfg.Plans[planNo]
	if o := g.customers.overrides[key]; o != nil {
		plan, planNo = &o.Plan, o.planNo
	}
	c := &customer{key: key, plan: plan, planNo: planNo, gatewayCount: g.cfg.Gateways, lastUsed: g.now}
	c.gossip = newCustomerGossip(len(g.gossip.peers))
	c.usage = newUsage()
	c.fromOwner.repliedAt = -demandMemory // never
	c.bucket.leakedAt = g.startedAt       // the bucket leaks, and the ceiling fills, from the start on
	c.bucket.share = c.evenShare()
	if !g.gossip.full {
		c.bucket.fleetLevel = g.initialFleetLevel(c)
	}
	c.bucket.level = c.bucket.share * initialLevel * plan.Burst
	g.customers.byKey[key] = c
	g.customers.order = append(g.customers.order, c)
	return c
}

// setGateways sets through which gateways the customer's requests come, as a request says. A set that is
// empty or larger than the fleet is ignored.
func (c *customer) setGateways(first, count, fleet int) {
	if count <= 0 || count > fleet || (c.gatewayCount == count && c.firstGateway == first) {
		return
	}
	c.firstGateway, c.gatewayCount = first%fleet, count
	c.bucket.ceilingTokens = min(c.bucket.ceilingTokens, c.plan.CeilingBurst/float64(count))
}

// servesCustomer reports whether the customer's requests may come through the gateway of that rank.
func (g *Gateway) servesCustomer(c *customer, rank int) bool {
	return (rank-c.firstGateway+g.cfg.Gateways)%g.cfg.Gateways < c.gatewayCount
}

// changePlan puts a customer on another plan. Used units stay in its buckets: over a lower high-water
// mark nothing passes until they have leaked at the new rate, under a higher one only the difference is
// new, so a change there and back gives nothing away. A plan without a rate does not leak, so a level
// from its time counts up to the mark only. Attempts in flight go on and count under the new limit, an
// owner's grants stay. Ceiling tokens are cut to the new ceiling and never added. A plan
// that is not configured or not valid changes nothing.
func (g *Gateway) changePlan(e PlanChange) {
	planNo, ok := g.customers.planIndex[e.Plan.Name]
	if !ok || e.Plan.validate("Plan") != nil {
		return
	}
	key := hashKey(e.Customer)
	override := &planOverride{e.Plan, planNo}
	g.customers.overrides[key] = override
	c := g.customers.byKey[key]
	if c == nil {
		return
	}
	g.refresh(c) // by the old plan up to now
	hadRate := c.plan.Rate > 0
	c.plan, c.planNo = &override.Plan, planNo
	b := &c.bucket
	if !hadRate {
		b.level = min(b.level, b.share*c.plan.Burst)
		b.fleetLevel = min(b.fleetLevel, c.plan.Burst)
	}
	b.level = max(0, b.level-e.ReturnedUnits)
	b.fleetLevel = max(0, b.fleetLevel-e.ReturnedUnits)
	g.refresh(c)
}

// dropIdle drops customers that have been idle for long. It looks at a few of them each time.
func (t *customerTable) dropIdle(now time.Duration) {
	for n := 0; n < idleChecksPerHeartbeat && len(t.order) > 0; n++ {
		c := t.order[0]
		t.order = t.order[1:]
		idle := c.inFlight == 0 && now-c.lastUsed > customerIdleTimeout
		if idle && !slices.Contains(c.gossip.queuedFor, true) {
			delete(t.byKey, c.key)
			continue
		}
		t.order = append(t.order, c)
	}
}
