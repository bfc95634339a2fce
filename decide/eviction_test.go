package decide

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
)

// crowd lets customers who send one request, or about whom a peer reports once, come to a gateway.
type crowd struct {
	*harness
	customers int
	sequence  int // of the peer's datagrams
}

// newCrowd returns a crowd at one of four gateways with at most limit customers; 0 means the default. All
// peers of the gateway are known to it.
func newCrowd(t *testing.T, limit int) *crowd {
	t.Helper()
	edit := func(c *Config) { c.Gateways, c.MaxCustomers = 4, limit }
	c := &crowd{harness: newHarness(t, edit)}
	for peer := 1; peer < 4; peer++ {
		c.handle(GossipReceived{From: peer, Text: gossipText(1, 0)})
	}
	return c
}

// next returns the name of a customer that has not come before.
func (c *crowd) next() string {
	c.customers++
	return fmt.Sprint("once-", c.customers)
}

// run lets time pass in steps of a tenth of a second, each with a heartbeat, while customers come: own ones
// per step with a request, and others in a report of a peer.
func (c *crowd) run(d time.Duration, own, reported int, check func(Summary)) {
	for end := c.now + d; c.now < end; c.now += 100 * ms {
		for range own {
			c.serve("get", "wide", c.next(), 1)
		}
		for range reported {
			c.sequence++
			entry := entryText(c.next(), 0, 1, 1, 1)
			c.handle(GossipReceived{From: 1, Text: gossipText(1, c.sequence%sequenceNumbers, entry)})
		}
		c.handle(TimerFired{heartbeatToken})
		check(c.g.Summary())
	}
}

// Guards against memory that grows for as long as new customers come: idle customers must be removed as fast
// as new ones come. Customers of all four gateways come to each of them.
func TestIdleCustomersAreRemovedAsFastAsTheyCome(t *testing.T) {
	c := newCrowd(t, 0)
	const own, reported = 14, 42 // 140 and 3 * 140 customers per second
	const checkDelay = idleCheckDivisor * 100 * ms
	limit := (own + reported) * int((customerIdleTimeout+checkDelay)/(100*ms)+1)
	c.run(3*time.Minute, own, reported, func(s Summary) {
		if s.Customers > limit {
			t.Fatalf("%d customers are kept after %d came, want at most %d: those of the last minute",
				s.Customers, c.customers, limit)
		}
	})
}

// Guards against memory that depends on the rate at which customers come. Beyond the limit, only customers
// may be kept about whom entries wait or were sent within reportRetention, and these are bounded by the
// capacity for gossip.
func TestCustomersStayWithinLimit(t *testing.T) {
	const limit = 1000
	for _, forwarded := range []bool{false, true} {
		c := newCrowd(t, limit)
		peers := c.g.cfg.Gateways - 1
		most := limit
		if forwarded {
			entriesPerSecond := maxGossipEntries * gossipRate(c.g.cfg) * float64(peers)
			most += peers*c.g.gossip.maxPending + int(entriesPerSecond*reportRetention.Seconds())
		} else {
			c.handle(EndpointUpdate{Kind: FullUpdate}) // without servers, all requests are rejected
		}
		c.run(30*time.Second, 300, 300, func(s Summary) {
			if s.Customers > most {
				t.Fatalf("forwarded %t: %d customers are kept after %d came, want at most %d",
					forwarded, s.Customers, c.customers, most)
			}
			if s.GossipQueue > peers*c.g.gossip.maxPending {
				t.Fatalf("forwarded %t: %d entries wait to be sent, want at most %d",
					forwarded, s.GossipQueue, peers*c.g.gossip.maxPending)
			}
		})
		if c.g.Summary().Evictions == 0 {
			t.Errorf("forwarded %t: no customer was evicted", forwarded)
		}
	}
}

// The memory limit of a deployment is divided by CustomerBytes, so a customer must not take more.
func TestCustomerBytes(t *testing.T) {
	for _, gateways := range []int{1, 4, 16, 300} {
		h := newHarness(t, func(c *Config) { c.Gateways, c.Limits.Gossip = gateways, gateways > 1 })
		const customers = 20000
		before := heapBytes()
		for i := range customers {
			key := hashKey(fmt.Sprint("c", i))
			c := h.g.findOrAddCustomer(key, 0)
			for rank := range h.g.gossip.peers {
				if rank != h.g.cfg.Rank {
					c.gossip.findOrAddReport(rank)
				}
			}
			h.g.queueGossip(c)
		}
		queue := h.g.Summary().GossipQueue * 16 // pointers, in slices with at most twice the capacity
		got := (heapBytes() - before - queue) / customers
		if want := h.g.cfg.CustomerBytes(); got > want {
			t.Errorf("%d gateways: a customer takes %d bytes, want at most %d", gateways, got, want)
		}
		runtime.KeepAlive(h)
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// evict removes the state of a customer by lack of room.
func (h *harness) evict(customer string) {
	h.t.Helper()
	for i := 0; h.customerOf(customer) != nil; i++ {
		if i > 10*h.g.customers.max {
			h.t.Fatalf("%s is not evicted", customer)
		}
		h.g.findOrAddCustomer(hashKey(fmt.Sprint("other-", i)), 0)
	}
}

// A customer whose state is removed for lack of room must not get the units that it has used a second time,
// and must get them again once they have leaked.
func TestEvictionGrantsNoUnits(t *testing.T) {
	for _, plan := range []string{"small", "hard", "ceiling"} {
		h := newHarness(t, func(c *Config) {
			singleGateway(c)
			c.MaxCustomers = 10
			onlyCeiling := planNamed("hard", func(p *Plan) { p.Name, p.Rate, p.Burst = "ceiling", 0, 0 })
			c.Plans = append(c.Plans, onlyCeiling)
		})
		h.now += time.Minute // the bucket that starts half full has leaked
		admitted := 0
		for h.serve("get", plan, "x", 1) {
			admitted++
		}
		h.evict("x")
		if h.serve("get", plan, "x", 1) {
			t.Errorf("%s: a request was admitted right after an eviction, with %d units used", plan, admitted)
		}
		h.evict("x")
		h.now += time.Minute
		for n := range admitted {
			if !h.serve("get", plan, "x", 1) {
				t.Errorf("%s: %d units admitted after the bucket has leaked, want %d", plan, n, admitted)
				break
			}
		}
	}
}

// A customer whose bucket leaks for longer than idle customers are kept must not find it empty. It returns
// again and again to a fleet that has removed its state.
func TestRemovalGrantsNoUnitsAcrossGateways(t *testing.T) {
	slow := planNamed("small", func(p *Plan) { p.Rate, p.Burst = 0.1, 12 })
	for _, limit := range []int{0, 20} { // idle customers are removed; all are evicted soon
		fleet := newCluster(t, 4, func(c *Config) { c.Plans[1], c.MaxCustomers = slow, limit })
		fleet.run(3*time.Second, 100*ms, "small", 0, func(int) int { return 0 })
		start := fleet.now
		const visits, away = 8, 70 * time.Second
		for visit := range visits {
			fleet.run(time.Second, 50*ms, "small", 1, func(int) int { return visit % 4 })
			for end := fleet.now + away; fleet.now < end; {
				for i := range fleet.gateways {
					fleet.handle(i, Request{ID: fmt.Sprint(fleet.now, "once", i), Class: "get",
						Plan: "wide", Customer: fmt.Sprint(fleet.now, i), Units: 1,
						Deadline: fleet.now + time.Second, GatewayCount: 4})
				}
				fleet.wait(100 * ms)
			}
			for _, g := range fleet.gateways {
				if g.customers.byKey[hashKey("x")] != nil && limit > 0 {
					t.Fatalf("visit %d: the customer was not evicted", visit)
				}
			}
		}
		elapsed := (fleet.now - start).Seconds()
		if most := 1.15 * (slow.Rate*elapsed + slow.Burst); fleet.used > most {
			t.Errorf("at most %d customers: used %v units in %.0f s, want at most %.0f",
				limit, fleet.used, elapsed, most)
		}
	}
}

// While customers who come once fill the tables of all gateways, a customer far over its quota must get its
// quota and no more. The bound is that of TestQuotaAcrossGateways.
func TestQuotaWhileCustomersAreEvicted(t *testing.T) {
	fleet := newCluster(t, 4, func(c *Config) { c.MaxCustomers = 40 })
	fleet.run(3*time.Second, 100*ms, "small", 0, func(int) int { return 0 })
	const rate, burst, units, seconds = 3.0, 12.0, 2.0, 24.0
	for end := fleet.now + seconds*time.Second; fleet.now < end; {
		for i := range fleet.gateways {
			for n := range 14 {
				id := fmt.Sprint(fleet.now, "once", i, n)
				fleet.handle(i, Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1,
					Deadline: fleet.now + time.Second, GatewayCount: 4})
			}
		}
		fleet.run(100*ms, 50*ms, "small", units, func(int) int { return fleet.rng.Intn(4) })
	}
	most, least := 1.15*(rate*seconds+burst+2*units), 0.8*rate*seconds
	if fleet.used > most || fleet.used < least {
		t.Errorf("used %v units in %v s, want %v to %v", fleet.used, seconds, least, most)
	}
	for i, g := range fleet.gateways {
		if g.Summary().Evictions == 0 {
			t.Errorf("gateway %d has evicted no customer", i)
		}
	}
}

// A customer whose state a gateway has removed may return with another plan. What it has used counts by the
// slower rate, or changing the plan would grant units.
func TestPlanChangeOfRemovedCustomer(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		singleGateway(c)
		c.MaxCustomers = 10
	})
	h.now += time.Minute
	h.fillQuota("x")
	h.evict("x")
	h.handle(PlanChange{Customer: "x", Plan: planNamed("small", func(p *Plan) { p.Rate = 0.1 })})
	h.now += 5 * time.Second // at the old rate, 15 units would have leaked
	if h.serve("get", "small", "x", 1) {
		t.Error("a request was admitted before the used units have leaked at the new rate")
	}
}

// A customer that was known to demand a multiple of its quota must not be admitted like an unknown one after
// its state was removed.
func TestEvictionKeepsDemandRatio(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Gateways, c.Limits.Gossip, c.UsageReportPeriod, c.MaxCustomers = 80, false, time.Second, 10
	})
	h.serve("get", "small", "x", 1)
	c := h.customerOf("x")
	c.usage.demandRatio, c.usage.demandRatioAt = 20, h.now
	h.evict("x")
	h.now += demandRatioTimeConstant
	h.handle(TimerFired{heartbeatToken})
	c = h.g.findOrAddCustomer(hashKey("x"), 1)
	if got, want := h.g.demandRatio(c), 20/math.E; math.Abs(got-want) > 0.1 {
		t.Errorf("demand ratio is %v a time constant after 20, want %v", got, want)
	}
}

// A peer that has removed a customer reports totals that begin at 0 again. They must not lower the level that
// this gateway knows, which would grant units; the level that the peer reports counts.
func TestPeerRemovesCustomer(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Plans[0].Rate = 0.01 })
	h.handle(GossipReceived{From: 1, Text: gossipText(1, 1, entryText("x", 0, 50, 50, 1))})
	h.handle(GossipReceived{From: 1, Text: gossipText(1, 2, entryText("x", 0, 450, 450, 5))})
	h.now += 30 * time.Second
	before := h.customerOf("x").bucket.fleetLevel
	h.handle(GossipReceived{From: 1, Text: gossipText(1, 3, entryText("x", 0, 1, 1, 6))})
	want := stepsToLevel(6, 3000)
	if got := h.customerOf("x").bucket.fleetLevel; got != want || got < before {
		t.Errorf("fleet level is %v, was %v; want %v as reported", got, before, want)
	}
}

// Totals that this gateway has not followed must not count as used now, even if the peer has restarted some
// time ago. Otherwise the customer would be rejected for units that have long leaked.
func TestTotalsOfRestartedPeerAreNotCountedLate(t *testing.T) {
	h := newHarness(t, nil)
	h.handle(GossipReceived{From: 1, Text: gossipText(1, 1)})
	h.handle(GossipReceived{From: 1, Text: gossipText(2, 1)}) // restarted
	h.now += 30 * time.Second
	h.handle(GossipReceived{From: 1, Text: gossipText(2, 2, entryText("x", 1, 700, 700, 5))})
	if got, want := h.customerOf("x").bucket.fleetLevel, stepsToLevel(5, 12); got != want {
		t.Errorf("fleet level is %v, want %v as reported", got, want)
	}
}

// The state of a customer must not be removed while peers may compare its totals, or while it has an open
// request whose end would be counted for nobody.
func TestNeededCustomerIsNotEvicted(t *testing.T) {
	c := newCrowd(t, 10)
	id, acts := c.request("get", "wide", "open", 1)
	server := actionsOf[Send](acts)[0].Server
	c.serve("get", "wide", "told", 1)
	c.handle(EndpointUpdate{Kind: FullUpdate}) // no further request is forwarded
	c.run(reportRetention-time.Second, 5, 0, func(Summary) {})
	if c.customerOf("open") == nil || c.customerOf("told") == nil {
		t.Error("a customer with an open request or about whom peers were told is gone")
	}
	c.run(2*reportRetention, 5, 0, func(Summary) {})
	if c.customerOf("open") == nil {
		t.Error("a customer with an open request is gone after peers have forgotten its totals")
	}
	if c.customerOf("told") != nil {
		t.Error("a customer without open requests is still there after peers have forgotten its totals")
	}
	c.endAttempt(id, 0, server, OutcomeOK)
	c.run(2*reportRetention, 5, 0, func(Summary) {})
	if c.customerOf("open") != nil {
		t.Error("a customer is still there after its request has ended")
	}
	if n := c.g.Summary().Customers; n > 10 {
		t.Errorf("%d customers are kept, want at most 10", n)
	}
}
