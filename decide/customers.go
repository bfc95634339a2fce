package decide

import (
	"cmp"
	"iter"
	"time"
)

// customer is the state of a customer from which this gateway has received a request, or about which it has
// received gossip or a grant message.
type customer struct {
	key       uint64 // hash of its name, see hashKey
	plan      *Plan
	planIndex int // index of the plan in Config.Plans, sent in messages

	// The gateways through which the customer's requests come: rank of the first, and number.
	firstGateway, gatewayCount int

	lastUsed     time.Duration // time of the last request, gossip entry or grant message
	older, newer *customer     // neighbors in customerList
	openRequests int           // requests in Gateway.requests
	inFlight     int           // attempts of this gateway in flight

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

// customerTable holds the known customers and their plans. Customers that are idle, or for which there is no
// room, are removed; see eviction.go.
type customerTable struct {
	byKey     map[uint64]*customer
	list      customerList // all customers
	max       int          // number of customers beyond which the least recently used ones are evicted
	evictions int64        // customers removed for lack of room
	removed   removedBuckets
	// overrides holds the plans that PlanChange events assigned, by customer key.
	overrides map[uint64]*planOverride

	planIndexByName map[string]int // index in Config.Plans by name
}

func newCustomerTable(cfg *Config) customerTable {
	t := customerTable{
		byKey:           map[uint64]*customer{},
		max:             cmp.Or(cfg.MaxCustomers, DefaultMaxCustomers),
		overrides:       map[uint64]*planOverride{},
		planIndexByName: map[string]int{},
	}
	for i, p := range cfg.Plans {
		t.planIndexByName[p.Name] = i
	}
	return t
}

// customerList is a doubly linked list of customers, ordered by their last use.
type customerList struct{ oldest, newest *customer }

// add adds a customer as the one that was used last.
func (l *customerList) add(c *customer) {
	c.older, c.newer = l.newest, nil
	if l.newest != nil {
		l.newest.newer = c
	} else {
		l.oldest = c
	}
	l.newest = c
}

// remove removes a customer from the list.
func (l *customerList) remove(c *customer) {
	if c.older != nil {
		c.older.newer = c.newer
	} else {
		l.oldest = c.newer
	}
	if c.newer != nil {
		c.newer.older = c.older
	} else {
		l.newest = c.older
	}
	c.older, c.newer = nil, nil
}

// moveToNewest makes a customer the one that was used last.
func (l *customerList) moveToNewest(c *customer) {
	if l.newest != c {
		l.remove(c)
		l.add(c)
	}
}

// fromNewest iterates over the customers, beginning with the one that was used last.
func (l *customerList) fromNewest() iter.Seq[*customer] {
	return func(yield func(*customer) bool) {
		for c := l.newest; c != nil; c = c.older {
			if !yield(c) {
				return
			}
		}
	}
}

// findOrAddCustomer returns the customer with the key. A new customer is put on the plan with the index
// planIndex, unless a PlanChange has assigned another one.
func (g *Gateway) findOrAddCustomer(key uint64, planIndex int) *customer {
	if c := g.customers.byKey[key]; c != nil {
		c.lastUsed = g.now
		g.customers.list.moveToNewest(c)
		return c
	}
	g.evictCustomers()
	plan := &g.cfg.Plans[planIndex]
	if o := g.customers.overrides[key]; o != nil {
		plan, planIndex = &o.Plan, o.planIndex
	}
	c := &customer{key: key, plan: plan, planIndex: planIndex, gatewayCount: g.cfg.Gateways, lastUsed: g.now}
	c.gossip.sentAt = -reportRetention // before any possible entry
	c.usage = newUsage()
	c.ownerReport.repliedAt = -rateTimeConstant // before any possible reply
	// The bucket leaks, and its ceiling tokens grow from 0, from the start of this gateway on.
	c.bucket.leakedAt = g.startedAt
	c.bucket.share = c.evenShare()
	if !g.gossip.full {
		c.bucket.fleetLevel = g.initialFleetLevel(c)
	}
	c.bucket.level = c.bucket.share * initialLevel * plan.Burst
	g.restoreBucket(c)
	g.customers.byKey[key] = c
	g.customers.list.add(c)
	return c
}

// setGateways sets the gateways through which the customer's requests come, as stated by a request. A set
// that is empty or larger than the fleet is ignored. In a smaller set, each gateway has a larger part of what
// the fleet has used.
func (g *Gateway) setGateways(c *customer, first, count int) {
	fleet := g.cfg.Gateways
	if count <= 0 || count > fleet || (c.gatewayCount == count && c.firstGateway == first) {
		return
	}
	c.firstGateway, c.gatewayCount = first%fleet, count
	c.bucket.ceilingTokens = min(c.bucket.ceilingTokens, c.plan.CeilingBurst/float64(count))
	if g.gossip.full {
		c.bucket.level = max(c.bucket.level, c.evenShare()*c.bucket.fleetLevel)
	}
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
	c := g.customers.byKey[key]
	if c == nil {
		g.changePlanOfRemoved(key, &override.Plan)
		g.customers.overrides[key] = override
		return
	}
	g.customers.overrides[key] = override
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
