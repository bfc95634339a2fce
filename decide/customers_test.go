package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestSetOutsideTheFleet: a set of no gateways or more than there are is not taken; a first number beyond the last
// is counted round.
func TestSetOutsideTheFleet(t *testing.T) {
	r := newHarness(t, nil)
	for i, set := range [][2]int{{0, 0}, {1, -2}, {2, 9}, {7, 2}} {
		id := fmt.Sprint("set", i)
		acts := r.handle(Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1, Deadline: r.now + 2*time.Second,
			FirstGateway: set[0], GatewayCount: set[1]})
		c := r.g.customers.byKey[hashKey(id)]
		if c.gatewayCount < 1 || c.gatewayCount > 3 || c.firstGateway < 0 || c.firstGateway > 2 || len(actionsOf[Send](acts)) != 1 {
			t.Errorf("first %d, spread %d: taken as %d of %d, did %#v", set[0], set[1], c.gatewayCount, c.firstGateway, acts)
		}
	}
}

// TestTermsShrink puts a customer on a plan whose mark is below what it has used: refused until that has leaked at
// the new rate, and no unit is given back.
func TestTermsShrink(t *testing.T) {
	r := newHarness(t, singleGateway)
	r.handle(PlanChange{Customer: "x", Plan: planNamed("wide", nil)})
	r.serve("get", "small", "x", 1)
	c := r.customerOf("x")
	c.bucket.level = 100
	r.handle(PlanChange{Customer: "x", Plan: planNamed("small", nil)})
	if c.bucket.level != 100 || c.plan.Name != "small" {
		t.Fatalf("level %v on plan %s, want 100 on small", c.bucket.level, c.plan.Name)
	}
	refused := 0.0
	for ; !r.serve("get", "wide", "x", 1) && refused < 100; refused += 0.5 {
		r.now += 500 * ms
	}
	if want := (100 - 12 + 1) / 3.0; refused < want-0.5 || refused > want+1 {
		t.Errorf("refused for %v s, want %v: what is over the mark leaks at 3 a second", refused, want)
	}
}

// TestTermsThereAndBack changes terms up and down within a second, many times: it gives no more than the larger plan
// would have, and leaves the level where it was.
func TestTermsThereAndBack(t *testing.T) {
	for _, up := range []Plan{planNamed("wide", nil), planNamed("wide", func(p *Plan) { p.Rate, p.Burst = 0, 0 })} {
		r := newHarness(t, singleGateway)
		r.fillQuota("x")
		c := r.customerOf("x")
		before := c.bucket.level
		for range 20 {
			up := up
			up.Name = "small"
			r.handle(PlanChange{Customer: "x", Plan: up})
			r.handle(PlanChange{Customer: "x", Plan: planNamed("small", nil)})
		}
		if c.bucket.level != before || r.serve("get", "small", "x", 1) {
			t.Errorf("rate %v and back moved the level from %v to %v", up.Rate, before, c.bucket.level)
		}
	}
}

// TestTermsFromNoRate: without a rate nothing leaks, so a level from then counts up to the mark and no further.
func TestTermsFromNoRate(t *testing.T) {
	r := newHarness(t, singleGateway)
	r.handle(PlanChange{Customer: "x", Plan: planNamed("small", func(p *Plan) { p.Rate, p.Burst = 0, 0 })})
	for range 500 {
		r.serve("get", "small", "x", 1)
	}
	r.handle(PlanChange{Customer: "x", Plan: planNamed("small", nil)})
	if c := r.customerOf("x"); c.bucket.level != 12 {
		t.Errorf("level %v, want the mark of 12", c.bucket.level)
	}
}

// TestTermsReturn gives units back and never below nothing; unknown or bad terms change nothing.
func TestTermsReturn(t *testing.T) {
	r := newHarness(t, singleGateway)
	r.fillQuota("x")
	c := r.customerOf("x")
	before := c.bucket.level
	r.handle(PlanChange{Customer: "x", Plan: planNamed("small", nil), ReturnedUnits: 2})
	if c.bucket.level != before-2 {
		t.Errorf("level %v, want %v", c.bucket.level, before-2)
	}
	r.handle(PlanChange{Customer: "x", Plan: planNamed("small", nil), ReturnedUnits: 1e9})
	if c.bucket.level != 0 || c.bucket.fleetLevel < 0 {
		t.Errorf("level %v, whole %v", c.bucket.level, c.bucket.fleetLevel)
	}
	for _, p := range []Plan{{Name: "unknown", Rate: 1, Burst: 1}, {Name: "small", Rate: -1}} {
		r.handle(PlanChange{Customer: "x", Plan: p})
		if c.plan.Name != "small" || c.plan.Rate != 3 {
			t.Errorf("%+v was taken", p)
		}
	}
	r.handle(PlanChange{Customer: "new", Plan: planNamed("hard", nil)})
	r.serve("get", "small", "new", 1)
	if c := r.customerOf("new"); c.plan.Name != "hard" {
		t.Errorf("a customer that is met after its terms is on %s, want hard", c.plan.Name)
	}
}

// TestTermsCeiling cuts the store under a lower ceiling and never fills it under a higher one.
func TestTermsCeiling(t *testing.T) {
	r := newHarness(t, singleGateway)
	r.serve("get", "hard", "x", 1)
	r.now += 10 * time.Second
	r.serve("get", "hard", "x", 1)
	c := r.customerOf("x")
	full := c.bucket.ceilingTokens
	r.handle(PlanChange{Customer: "x", Plan: planNamed("hard", func(p *Plan) { p.CeilingBurst = 20 })})
	if c.bucket.ceilingTokens != 20 {
		t.Errorf("store %v, want 20", c.bucket.ceilingTokens)
	}
	r.handle(PlanChange{Customer: "x", Plan: planNamed("hard", func(p *Plan) { p.CeilingBurst = 500 })})
	if c.bucket.ceilingTokens > 20 || full < 50 {
		t.Errorf("store %v under a higher ceiling, want 20", c.bucket.ceilingTokens)
	}
}

// TestOverspendWhileTermsSpread tells gateways of a smaller plan one after another, or one half of a fleet that is split
// and the other once it has healed, while more is asked for than either plan gives. What passes beyond the new plan
// stays within the stated bound: the difference of the bursts, and of the rates for as long as the news takes, both shared
// by parts that are at most 15 % over a whole (the bound of TestQuotaOverAllGateways).
func TestOverspendWhileTermsSpread(t *testing.T) {
	const late = 2 * time.Second // until the last gateway has heard
	for _, n := range []int{3, 50} {
		for _, split := range []bool{false, true} {
			big := planNamed("small", func(p *Plan) { p.Rate, p.Burst = 30, 60 })
			low := planNamed("small", nil)
			j := newCluster(t, n, func(c *Config) { c.Plans[1] = big })
			pick := func(int) int { return j.rng.Intn(n) }
			j.run(6*time.Second, 20*ms, "small", 2, pick)
			before := j.used
			tell := func(from, to int) {
				for k := from; k < to; k++ {
					j.handle(k, PlanChange{Customer: "x", Plan: low})
					if !split {
						j.run(late/time.Duration(n), 20*ms, "small", 2, pick)
					}
				}
			}
			if split {
				j.partitioned = func(a, b int) bool { return (a < n/2) != (b < n/2) }
				tell(0, n/2)
				j.run(late, 20*ms, "small", 2, pick)
				j.partitioned = nil
				tell(n/2, n)
			} else {
				tell(0, n)
			}
			j.run(10*time.Second, 20*ms, "small", 2, pick)
			took := late.Seconds() + 10
			over := j.used - before - (low.Rate*took + low.Burst)
			bound := 1.15*((big.Rate-low.Rate)*late.Seconds()+big.Burst-low.Burst) + 0.15*(low.Rate*took+low.Burst)
			if over > bound {
				t.Errorf("%d gateways, split %t: %v units beyond the new plan, want %v at most", n, split, over, bound)
			}
			t.Logf("%d gateways, split %t: %.0f units beyond the new plan, bound %.0f", n, split, over, bound)
		}
	}
}
