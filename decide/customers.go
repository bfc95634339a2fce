package decide

import (
	"slices"
	"time"
)

// customerIdleTimeout is the time after which an idle customer is removed. It must be long enough for each
// bucket to have leaked completely and each ceiling to have refilled.
const customerIdleTimeout = time.Minute

// idleChecksPerHeartbeat bounds the work of removing idle customers.
const idleChecksPerHeartbeat = 4

// customer is the state of a customer from which this gateway has received a request, or about which it has
// received gossip or a grant message.
type customer struct {
	key       uint64 // hash of its name, see hashKey
	plan      *Plan
	planIndex int // index of the plan in Config.Plans, sent in messages

	// The gateways through which the customer's requests come: rank of the first, and number.
	firstGateway, gatewayCount int

	lastUsed time.Duration // time of the last request, gossip entry or grant message
	inFlight int           // attempts of this gateway in flight

	bucket      bucket
	demand      demand
	usage       usage
	gossip      customerGossip
	ownedBucket ownedBucket // used if this gateway is an owner of the customer
	ownerReport ownerReport // the last reply of an owner to this gateway
}

// planOverride is the plan that a PlanChange assigned to a customer.
type planOverride struct {
	Plan
	planIndex int
}

// customerTable holds the known customers and their plans.
type customerTable struct {
	byKey map[uint64]*customer
	order []*customer // all customers; dropIdle checks the first one next and moves it to the end
	// overrides holds the plans that PlanChange events assigned, by customer key.
	overrides map[uint64]*planOverride

	planIndexByName map[string]int // index in Config.Plans by name
}

func newCustomerTable(plans []Plan) customerTable {
	t := customerTable{
		byKey:           map[uint64]*customer{},
		overrides:       map[uint64]*planOverride{},
		planIndexByName: map[string]int{},
	}
	for i, p := range plans {
		t.planIndexByName[p.Name] = i
	}
	return t
}

// findOrAddCustomer returns the customer with the key. A new customer is put on the plan with the index
// planIndex, unless a PlanChange has assigned another one.
func (g *Gateway) findOrAddCustomer(key uint64, planIndex int) *customer {
	if c := g.customers.byKey[key]; c != nil {
		c.lastUsed = g.now
		return c
	}
	plan := &g.cfg.Plans[planIndex]
	if o := g.customers.overrides[key]; o != nil {
		plan, planIndex = &o.Plan, o.planIndex
	}
	c := &customer{key: key, plan: plan, planIndex: planIndex, gatewayCount: g.cfg.Gateways, lastUsed: g.now}
	c.gossip = newCustomerGossip(len(g.gossip.peers))
	c.usage = newUsage()
	c.ownerReport.repliedAt = -rateTimeConstant // before any possible reply
	// The bucket leaks, and its ceiling tokens grow from 0, from the start of this gateway on.
	c.bucket.leakedAt = g.startedAt
	c.bucket.share = c.evenShare()
	if !g.gossip.full {
		c.bucket.fleetLevel = g.initialFleetLevel(c)
	}
	c.bucket.level = c.bucket.share * initialLevel * plan.Burst
	g.customers.byKey[key] = c
	g.customers.order = append(g.customers.order, c)
	return c
}

// setGateways sets the gateways through which the customer's requests come, as stated by a request. A set
// that is empty or larger than the fleet is ignored.
func (c *customer) setGateways(first, count, fleet int) {
	if count <= 0 || count > fleet || (c.gatewayCount == count && c.firstGateway == first) {
		return
	}
	c.firstGateway, c.gatewayCount = first%fleet, count
	c.bucket.ceilingTokens = min(c.bucket.ceilingTokens, c.plan.CeilingBurst/float64(count))
}

// servesCustomer reports whether requests of the customer may come through the gateway with the rank.
func (g *Gateway) servesCustomer(c *customer, rank int) bool {
	return (rank-c.firstGateway+g.cfg.Gateways)%g.cfg.Gateways < c.gatewayCount
}

// changePlan puts a customer on another plan. The effects are:
//
//   - Used units stay in the buckets. Over a lower high-water mark, nothing is admitted until the excess
//     has leaked at the new rate; under a higher mark, only the difference becomes available. Changing a
//     plan back and forth therefore grants no units.
//   - A plan without a rate does not leak. When it is replaced, the level is limited to the high-water
//     mark.
//   - Attempts in flight continue and count towards the new limit. Grants of an owner remain valid.
//   - Ceiling tokens are cut to the new ceiling and never added.
//
// A plan that is not configured or not valid changes nothing.
func (g *Gateway) changePlan(e PlanChange) {
	planIndex, ok := g.customers.planIndexByName[e.Plan.Name]
	if !ok || e.Plan.validate("Plan") != nil {
		return
	}
	key := hashKey(e.Customer)
	override := &planOverride{e.Plan, planIndex}
	g.customers.overrides[key] = override
	c := g.customers.byKey[key]
	if c == nil {
		return
	}
	g.refresh(c) // apply the old plan up to now
	hadRate := c.plan.Rate > 0
	c.plan, c.planIndex = &override.Plan, planIndex
	b := &c.bucket
	if !hadRate {
		b.level = min(b.level, b.share*c.plan.Burst)
		b.fleetLevel = min(b.fleetLevel, c.plan.Burst)
	}
	b.level = max(0, b.level-e.ReturnedUnits)
	b.fleetLevel = max(0, b.fleetLevel-e.ReturnedUnits)
	g.refresh(c)
}

// dropIdle removes customers that have been idle for customerIdleTimeout and about which no gossip entry is
// queued. Each call checks only the next few customers.
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
