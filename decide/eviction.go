package decide

import (
	"math"
	"slices"
	"time"
	"unsafe"
)

const (
	// DefaultMaxCustomers is the limit on customers that applies if Config.MaxCustomers is 0.
	DefaultMaxCustomers = 1 << 16

	// customerIdleTimeout is the time after which an idle customer is removed. Its buckets need not have
	// leaked by then, see removedBuckets.
	customerIdleTimeout = time.Minute

	// idleCheckDivisor bounds the work of a heartbeat: it removes at most the number of all customers divided
	// by idleCheckDivisor. A fixed number per heartbeat would let the table grow without bound when more new
	// customers come.
	idleCheckDivisor = 16

	// maxEvictionChecks is the number of customers that are checked for eviction when a new one is added at
	// the limit. It is more than 1, so that the table shrinks again after customers could not be evicted.
	maxEvictionChecks = 4

	// removedBucketSlots is the number of slots for the buckets of removed customers. With fewer, more
	// customers share a slot and find their buckets fuller than they left them.
	removedBucketSlots = 1 << 13

	// maxLeakTime bounds the time for which the bucket of a removed customer counts as filled.
	maxLeakTime = 24 * time.Hour

	// customerMapBytes is the memory that a map entry takes per customer: key, pointer and control byte at
	// the lowest load that a map has after it has grown.
	customerMapBytes = 40

	// allocationRounding is the largest factor by which the Go runtime rounds up the size of an allocation.
	allocationRounding = 1.125
)

// CustomerBytes returns the largest memory in bytes that the state of a customer takes, without its open
// requests and without the grants that this gateway has decided on as an owner.
func (c *Config) CustomerBytes() int {
	bytes := unsafe.Sizeof(customer{})
	if supportsFullGossip(*c) && c.Limits.Gossip {
		// Slices that grow by appending may have twice the capacity that they need.
		peers := uintptr(c.Gateways - 1)
		bytes += 2*peers*unsafe.Sizeof(peerTotals{}) + (peers+1)*unsafe.Sizeof(false)
	}
	return customerMapBytes + int(math.Ceil(allocationRounding*float64(bytes)))
}

// dropIdleCustomers removes customers that have not been used for customerIdleTimeout.
func (g *Gateway) dropIdleCustomers() {
	t := &g.customers
	for n := len(t.byKey)/idleCheckDivisor + 1; n > 0; n-- {
		c := t.list.oldest
		if c == nil || g.now-c.lastUsed <= customerIdleTimeout {
			return
		}
		g.removeCustomer(c)
	}
}

// evictCustomers makes room for a new customer by removing those that were used least recently. The table
// grows beyond its limit only by customers whose state can't be removed yet.
func (g *Gateway) evictCustomers() {
	t := &g.customers
	for n := 0; n < maxEvictionChecks && len(t.byKey) >= t.max; n++ {
		if g.removeCustomer(t.list.oldest) {
			t.evictions++
		}
	}
}

// removeCustomer removes a customer unless its state is still needed; then it counts as used last. What its
// buckets hold is kept in removedBuckets.
func (g *Gateway) removeCustomer(c *customer) (removed bool) {
	t := &g.customers
	if g.isNeeded(c) {
		t.list.moveToNewest(c)
		return false
	}
	g.refresh(c)
	t.removed.add(c.key, g.now, g.leakTimes(c))
	t.list.remove(c)
	delete(t.byKey, c.key)
	return true
}

// isNeeded reports whether a customer must not be removed: it has open requests, an entry about it waits to
// be sent, or a removal could be mistaken by others. Peers compare totals with those of the last
// totalsLifetime, and repeated grant requests must find the decision on the first one. The number of such
// customers is bounded by the requests and messages of these short times.
func (g *Gateway) isNeeded(c *customer) bool {
	return c.openRequests > 0 ||
		slices.Contains(c.gossip.queuedFor, true) ||
		g.now-c.gossip.sentAt < reportRetention ||
		g.hasRecentGrant(c)
}

// hasRecentGrant reports whether this gateway, as an owner, has decided on a grant that may still be in use
// or requested again.
func (g *Gateway) hasRecentGrant(c *customer) bool {
	grants := c.ownedBucket.grants
	if len(grants) == 0 {
		return false
	}
	age := g.now - grants[len(grants)-1].decidedAt // the last one is the most recent
	return age < max(grantRetention, g.classes.longestObjective)
}

// leakTimes is the time that each bucket of a customer takes to be as if it had never been used. Times
// instead of units let customers on different plans share a slot of removedBuckets.
type leakTimes struct {
	own     time.Duration // of bucket.level
	fleet   time.Duration // of bucket.fleetLevel
	ceiling time.Duration // until bucket.ceilingTokens are complete
	// demand is the time until usage.demandRatio has decayed to 1, at which all requests are admitted.
	demand time.Duration
}

// leakTimes returns the leak times of a customer, whose bucket must be up to date.
func (g *Gateway) leakTimes(c *customer) (l leakTimes) {
	b, plan := &c.bucket, c.plan
	if plan.Rate > 0 {
		// A customer that returns starts with the even share. Where no peers correct its level, the level
		// must not shrink with the share.
		share := c.evenShare()
		if len(g.gossip.peers) > 0 && c.gatewayCount > 1 {
			share = b.share
		}
		l.own = leakTime(b.level, share*plan.Rate)
		l.fleet = leakTime(b.fleetLevel, plan.Rate)
	}
	if plan.CeilingRate > 0 {
		slice := g.ceilingSlice(c)
		l.ceiling = leakTime(plan.CeilingBurst*slice-b.ceilingTokens, plan.CeilingRate*slice)
	}
	if ratio := g.demandRatio(c); g.hasOnlyUsageReports(c) && ratio > 1 {
		l.demand = time.Duration(math.Log(ratio) * float64(demandRatioTimeConstant))
	}
	return l
}

// leakTime returns the time in which the units leak at the rate.
func leakTime(units, rate float64) time.Duration {
	seconds := min(max(0, units)/rate, maxLeakTime.Seconds())
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// restoreBucket fills the buckets of a customer that is being added with what they held when the customer
// was removed, as far as it has not leaked since.
func (g *Gateway) restoreBucket(c *customer) {
	left := g.customers.removed.find(c.key, g.now)
	if left == (leakTimes{}) {
		return
	}
	b, plan, slice := &c.bucket, c.plan, g.ceilingSlice(c)
	c.leak(g.now, slice)
	b.level = max(b.level, b.share*plan.Rate*left.own.Seconds())
	b.fleetLevel = max(b.fleetLevel, plan.Rate*left.fleet.Seconds())
	b.ceilingTokens = min(b.ceilingTokens, slice*(plan.CeilingBurst-plan.CeilingRate*left.ceiling.Seconds()))
	if left.demand > 0 {
		c.usage.demandRatio = math.Exp(left.demand.Seconds() / demandRatioTimeConstant.Seconds())
		c.usage.demandRatioAt = g.now
	}
}

// changePlanOfRemoved lengthens the leak times of a customer that has been removed, if its new plan leaks
// slower than the one before. The plan before is not known unless a PlanChange assigned it, so the fastest
// one is assumed.
func (g *Gateway) changePlanOfRemoved(key uint64, plan *Plan) {
	left := g.customers.removed.find(key, g.now)
	if left == (leakTimes{}) {
		return
	}
	var rate, ceilingRate float64
	for i := range g.cfg.Plans {
		rate = max(rate, g.cfg.Plans[i].Rate)
		ceilingRate = max(ceilingRate, g.cfg.Plans[i].CeilingRate)
	}
	if before := g.customers.overrides[key]; before != nil {
		rate, ceilingRate = before.Rate, before.CeilingRate
	}
	if plan.Rate > 0 {
		left.own = leakTime(rate*left.own.Seconds(), plan.Rate)
		left.fleet = leakTime(rate*left.fleet.Seconds(), plan.Rate)
	}
	if plan.CeilingRate > 0 {
		left.ceiling = leakTime(ceilingRate*left.ceiling.Seconds(), plan.CeilingRate)
	}
	g.customers.removed.add(key, g.now, left)
}

// removedBuckets keeps for how long the buckets of removed customers leak, so that a customer gains no units
// by the removal of its state. Its memory is bounded: customers whose keys fall into the same slot share the
// longest of their times. A customer that returns, or a new one, may thus find its bucket fuller than it left
// it, but never emptier. The zero value is ready to use.
type removedBuckets struct {
	slots []leakTimes // times at which the buckets are empty, by slot; nil while no bucket was filled
}

// add records the leak times of a customer that is removed at the time now.
func (r *removedBuckets) add(key uint64, now time.Duration, left leakTimes) {
	if left == (leakTimes{}) {
		return
	}
	if r.slots == nil {
		r.slots = make([]leakTimes, removedBucketSlots)
	}
	until := &r.slots[key%removedBucketSlots]
	until.own = max(until.own, now+left.own)
	until.fleet = max(until.fleet, now+left.fleet)
	until.ceiling = max(until.ceiling, now+left.ceiling)
	until.demand = max(until.demand, now+left.demand)
}

// find returns the leak times that are left for the slot of a key.
func (r *removedBuckets) find(key uint64, now time.Duration) leakTimes {
	if r.slots == nil {
		return leakTimes{}
	}
	until := r.slots[key%removedBucketSlots]
	return leakTimes{
		own:     max(0, until.own-now),
		fleet:   max(0, until.fleet-now),
		ceiling: max(0, until.ceiling-now),
		demand:  max(0, until.demand-now),
	}
}
