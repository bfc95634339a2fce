package invariant

import (
	"time"

	"winghatch/decide"
)

// PlanChangeDelay is the longest time in which a plan change reaches all gateways, as docs/plans.md states it. One
// gateway applies it at once, so the larger ceiling counts until then.
const PlanChangeDelay = 2 * time.Second

// roundingTolerance allows for the rounding of sums of units in floating point, in units.
const roundingTolerance = 1e-6

// tokenBucket holds what a customer's ceiling lets through.
type tokenBucket struct {
	units float64 // negative: overdrawn
	at    time.Duration
}

// planChange is a change that not all gateways need to know yet.
type planChange struct {
	completeAt time.Duration
	old, new   decide.Plan
}

// ceilings is the state of rule 5, by customer.
type ceilingState struct {
	planByName   map[string]decide.Plan
	currentPlans map[string]decide.Plan // whose ceiling counts now
	changes      map[string]planChange
	buckets      map[string]*tokenBucket
}

// checkCeilings checks rule 5: the units forwarded for a customer, each request counted once, keep to its ceiling.
func (c *checker) checkCeilings() {
	s := newCeilings(c.fleet.Decide.Plans)
	for _, m := range c.fleet.Members {
		s.currentPlans[m.Name] = s.planByName[m.Plan]
	}
	forwarded := map[string]bool{} // by request
	for _, r := range c.records {
		if r.Kind == PlanChanged {
			s.beginPlanChange(r)
		}
		if r.Kind != Received || forwarded[r.Request] {
			continue
		}
		forwarded[r.Request] = true
		s.completePlanChange(r.Member, r.At)
		plan := s.currentPlans[r.Member]
		if plan.CeilingRate == 0 {
			continue
		}
		c.verdict.Checked[ruleCeilings]++
		left := s.takeUnits(r, plan)
		// What was sent some time before it arrived was sent when the bucket had refilled less.
		slack := max(plan.CeilingSlack, 0) + plan.CeilingRate*TransitAllowance.Seconds()
		if left < -slack-roundingTolerance {
			c.addViolation(ruleCeilings, r.At, "%s is %.1f units over its ceiling, the slack is %.1f",
				r.Member, -left, plan.CeilingSlack)
		}
	}
}

func newCeilings(plans []decide.Plan) *ceilingState {
	s := &ceilingState{
		planByName:   map[string]decide.Plan{},
		currentPlans: map[string]decide.Plan{},
		changes:      map[string]planChange{},
		buckets:      map[string]*tokenBucket{},
	}
	for _, p := range plans {
		s.planByName[p.Name] = p
	}
	return s
}

// beginChange applies a plan with a larger ceiling, or none, at once.
func (s *ceilingState) beginPlanChange(r Record) {
	old, changed := s.currentPlans[r.Member], s.planByName[r.State]
	s.changes[r.Member] = planChange{r.At + PlanChangeDelay, old, changed}
	if old.CeilingRate > 0 && (changed.CeilingRate == 0 || changed.CeilingRate > old.CeilingRate) {
		s.currentPlans[r.Member] = changed
	}
}

// completeChange applies the plan of a change that all gateways know by now. Another ceiling starts with a full bucket.
func (s *ceilingState) completePlanChange(member string, now time.Duration) {
	change, ok := s.changes[member]
	if !ok || now < change.completeAt {
		return
	}
	delete(s.changes, member)
	s.currentPlans[member] = change.new
	if change.old.CeilingRate != change.new.CeilingRate {
		delete(s.buckets, member)
	}
}

// take takes the units of a request from its customer's bucket and returns what is left.
func (s *ceilingState) takeUnits(r Record, plan decide.Plan) float64 {
	b := s.buckets[r.Member]
	if b == nil {
		b = &tokenBucket{plan.CeilingBurst, r.At}
		s.buckets[r.Member] = b
	}
	b.units = min(plan.CeilingBurst, b.units+plan.CeilingRate*(r.At-b.at).Seconds()) - r.Units
	b.at = r.At
	return b.units
}
