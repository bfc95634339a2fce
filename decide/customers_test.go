package decide

import (
	"fmt"
	"testing"
	"time"
)

// A request may name a set of gateways that the fleet does not have. An empty or too large set must be
// ignored and a first rank beyond the last must wrap around. Otherwise shares would be computed for
// gateways that do not exist, or with a division by 0.
func TestGatewaySetOutsideFleet(t *testing.T) {
	h := newHarness(t, nil)
	for i, set := range [][2]int{{0, 0}, {1, -2}, {2, 9}, {7, 2}} {
		id := fmt.Sprint("set", i)
		acts := h.handle(Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1,
			Deadline:     h.now + 2*time.Second,
			FirstGateway: set[0], GatewayCount: set[1]})
		c := h.g.customers.byKey[hashKey(id)]
		if c.gatewayCount < 1 || c.gatewayCount > 3 || c.firstGateway < 0 || c.firstGateway > 2 ||
			len(actionsOf[Send](acts)) != 1 {
			t.Errorf("first gateway %d, count %d: got count %d and first gateway %d, actions %#v",
				set[0], set[1], c.gatewayCount, c.firstGateway,
				acts)
		}
	}
}

// A customer that has used more than the high-water mark of its new plan must be rejected until the excess
// has leaked at the new rate. If units were returned, a change of plan would grant additional quota.
func TestPlanChangeToSmallerPlan(t *testing.T) {
	h := newHarness(t, singleGateway)
	h.handle(PlanChange{Customer: "x", Plan: planNamed("wide", nil)})
	h.serve("get", "small", "x", 1)
	c := h.customerOf("x")
	c.bucket.level = 100
	h.handle(PlanChange{Customer: "x", Plan: planNamed("small", nil)})
	if c.bucket.level != 100 || c.plan.Name != "small" {
		t.Fatalf("level %v on plan %s, want level 100 on plan small", c.bucket.level, c.plan.Name)
	}
	rejected := 0.0
	for ; !h.serve("get", "wide", "x", 1) && rejected < 100; rejected += 0.5 {
		h.now += 500 * ms
	}
	if want := (100 - 12 + 1) / 3.0; rejected < want-0.5 || rejected > want+1 {
		t.Errorf("rejected for %v s, want about %v s: the excess leaks at 3 units per second", rejected, want)
	}
}

// Changing a plan back and forth must leave the level unchanged. Otherwise each pair of changes would grant
// units.
func TestPlanChangeRoundTripKeepsLevel(t *testing.T) {
	for _, up := range []Plan{planNamed("wide", nil),
		planNamed("wide", func(p *Plan) { p.Rate, p.Burst = 0, 0 })} {
		h := newHarness(t, singleGateway)
		h.fillQuota("x")
		c := h.customerOf("x")
		before := c.bucket.level
		for range 20 {
			up := up
			up.Name = "small"
			h.handle(PlanChange{Customer: "x", Plan: up})
			h.handle(PlanChange{Customer: "x", Plan: planNamed("small", nil)})
		}
		if c.bucket.level != before || h.serve("get", "small", "x", 1) {
			t.Errorf("changing to rate %v and back changed the level from %v to %v, or admitted a request",
				up.Rate, before, c.bucket.level)
		}
	}
}

// A plan without a rate does not leak, so its level may be arbitrarily high. After a change to a plan with
// a rate, the level counts only up to the high-water mark. Otherwise the customer would be rejected for
// much too long.
func TestPlanChangeFromUnlimitedRate(t *testing.T) {
	h := newHarness(t, singleGateway)
	h.handle(PlanChange{Customer: "x", Plan: planNamed("small", func(p *Plan) { p.Rate, p.Burst = 0, 0 })})
	for range 500 {
		h.serve("get", "small", "x", 1)
	}
	h.handle(PlanChange{Customer: "x", Plan: planNamed("small", nil)})
	if c := h.customerOf("x"); c.bucket.level != 12 {
		t.Errorf("level is %v, want the high-water mark of 12", c.bucket.level)
	}
}

// Returned units must not make a level negative, which would grant quota, and a plan that is unknown or
// invalid must change nothing. A plan change also holds for a customer that sends its first request later.
func TestPlanChangeReturnsUnits(t *testing.T) {
	h := newHarness(t, singleGateway)
	h.fillQuota("x")
	c := h.customerOf("x")
	before := c.bucket.level
	h.handle(PlanChange{Customer: "x", Plan: planNamed("small", nil), ReturnedUnits: 2})
	if c.bucket.level != before-2 {
		t.Errorf("level is %v, want %v", c.bucket.level, before-2)
	}
	h.handle(PlanChange{Customer: "x", Plan: planNamed("small", nil), ReturnedUnits: 1e9})
	if c.bucket.level != 0 || c.bucket.fleetLevel < 0 {
		t.Errorf("level is %v and fleet level is %v, want 0 and at least 0",
			c.bucket.level, c.bucket.fleetLevel)
	}
	for _, p := range []Plan{{Name: "unknown", Rate: 1, Burst: 1}, {Name: "small", Rate: -1}} {
		h.handle(PlanChange{Customer: "x", Plan: p})
		if c.plan.Name != "small" || c.plan.Rate != 3 {
			t.Errorf("invalid plan %+v changed the customer's plan", p)
		}
	}
	h.handle(PlanChange{Customer: "new", Plan: planNamed("hard", nil)})
	h.serve("get", "small", "new", 1)
	if c := h.customerOf("new"); c.plan.Name != "hard" {
		t.Errorf("customer first seen after its plan change is on plan %s, want hard", c.plan.Name)
	}
}

// A plan change must cut the ceiling tokens to a lower ceiling and must not add any under a higher one.
// Otherwise the ceiling could be exceeded by changing the plan.
func TestPlanChangeCutsCeilingTokens(t *testing.T) {
	h := newHarness(t, singleGateway)
	h.serve("get", "hard", "x", 1)
	h.now += 10 * time.Second
	h.serve("get", "hard", "x", 1)
	c := h.customerOf("x")
	full := c.bucket.ceilingTokens
	h.handle(PlanChange{Customer: "x", Plan: planNamed("hard", func(p *Plan) { p.CeilingBurst = 20 })})
	if c.bucket.ceilingTokens != 20 {
		t.Errorf("ceiling tokens are %v, want 20", c.bucket.ceilingTokens)
	}
	h.handle(PlanChange{Customer: "x", Plan: planNamed("hard", func(p *Plan) { p.CeilingBurst = 500 })})
	if c.bucket.ceilingTokens > 20 || full < 50 {
		t.Errorf("ceiling tokens are %v under a higher ceiling, want at most 20; at least 50 before",
			c.bucket.ceilingTokens)
	}
}

// Gateways receive a plan change at different times: one after another, or half of the fleet only after a
// partition has healed. While more is demanded than either plan allows, the units admitted beyond the new
// plan must stay within a bound: the difference of the bursts, plus the difference of the rates for the
// duration of the rollout, both with shares that add up to at most 1.15 (the bound of
// TestQuotaAcrossGateways).
func TestOverspendDuringPlanRollout(t *testing.T) {
	const rollout = 2 * time.Second // time until the last gateway has received the change
	for _, n := range []int{3, 50} {
		for _, partitioned := range []bool{false, true} {
			big := planNamed("small", func(p *Plan) { p.Rate, p.Burst = 30, 60 })
			low := planNamed("small", nil)
			fleet := newCluster(t, n, func(c *Config) { c.Plans[1] = big })
			pick := func(int) int { return fleet.rng.Intn(n) }
			fleet.run(6*time.Second, 20*ms, "small", 2, pick)
			before := fleet.used
			change := func(from, to int) {
				for k := from; k < to; k++ {
					fleet.handle(k, PlanChange{Customer: "x", Plan: low})
					if !partitioned {
						fleet.run(rollout/time.Duration(n), 20*ms, "small", 2, pick)
					}
				}
			}
			if partitioned {
				fleet.partitioned = func(a, b int) bool { return (a < n/2) != (b < n/2) }
				change(0, n/2)
				fleet.run(rollout, 20*ms, "small", 2, pick)
				fleet.partitioned = nil
				change(n/2, n)
			} else {
				change(0, n)
			}
			fleet.run(10*time.Second, 20*ms, "small", 2, pick)
			elapsed := rollout.Seconds() + 10
			over := fleet.used - before - (low.Rate*elapsed + low.Burst)
			bound := 1.15*((big.Rate-low.Rate)*rollout.Seconds()+big.Burst-low.Burst) +
				0.15*(low.Rate*elapsed+low.Burst)
			if over > bound {
				t.Errorf("%d gateways, partitioned %t: %v units beyond the new plan, want at most %v",
					n, partitioned, over, bound)
			}
			t.Logf("%d gateways, partitioned %t: %.0f units beyond the new plan, bound %.0f",
				n, partitioned, over, bound)
		}
	}
}

// A set of gateways that a request states is often smaller than the whole fleet, which is assumed before.
// Each of them then has a larger part of what the fleet has used.
func TestSmallerGatewaySetKeepsLevel(t *testing.T) {
	h := newHarness(t, nil)
	h.now += time.Minute
	h.handle(GossipReceived{From: 1, Text: gossipText(1, 1, entryText("x", 1, 0, 0, 30))})
	acts := h.handle(Request{ID: "q", Class: "get", Plan: "small", Customer: "x", Units: 1,
		Deadline: h.now + time.Second, GatewayCount: 1})
	if len(actionsOf[Send](acts)) != 0 {
		t.Error("a request was forwarded while the burst of the customer is used")
	}
}
