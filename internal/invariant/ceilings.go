package invariant

import (
	"time"

	"winghatch/decide"
)

// PlanChangeDelay is the longest time that a plan change takes to reach all gateways, as stated in
// docs/plans.md. The gateway that accepts the change applies it at once, so the larger of the two ceilings is
// allowed until the delay is over.
const PlanChangeDelay = 2 * time.Second

// roundingTolerance is the largest accepted rounding error of a floating-point sum of units, in units.
const roundingTolerance = 1e-6

// tokenBucket holds the units that a customer's ceiling still lets through.
type tokenBucket struct {
	units float64       // negative if more units were taken than the ceiling allows
	at    time.Duration // when units was last updated
}

// planChange is a plan change that may not have reached all gateways yet.
type planChange struct {
	completeAt time.Duration
	old, new   decide.Plan
}

// ceilingState is the state of the check of rule 5. Except for planByName, its maps are keyed by customer.
type ceilingState struct {
	planByName   map[string]decide.Plan
	currentPlans map[string]decide.Plan // the plan whose ceiling applies now
	changes      map[string]planChange
	buckets      map[string]*tokenBucket
}

// checkCeilings checks rule 5: the units forwarded for a customer stay within the ceiling of its plan. Only
// the first attempt of a request counts.
func (c *checker) checkCeilings() {
	s := newCeilingState(c.fleet.Decide.Plans)
	for _, m := range c.fleet.Members {
		s.currentPlans[m.Name] = s.planByName[m.Plan]
	}
	forwarded := map[string]bool{} // requests counted so far
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
		// The gateway sent the attempt up to TransitAllowance before the server received it, when the bucket
		// held fewer units than now.
		slack := max(plan.CeilingSlack, 0) + plan.CeilingRate*TransitAllowance.Seconds()
		if left < -slack-roundingTolerance {
			c.addViolation(ruleCeilings, r.At,
				"customer %s is %.1f units over its ceiling, want at most %.1f units",
				r.Member, -left, plan.CeilingSlack)
		}
	}
}

func newCeilingState(plans []decide.Plan) *ceilingState {
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

// beginPlanChange notes a plan change. It applies the new plan at once if its ceiling is larger than the old
// one or if it has no ceiling.
func (s *ceilingState) beginPlanChange(r Record) {
	old, changed := s.currentPlans[r.Member], s.planByName[r.State]
	s.changes[r.Member] = planChange{r.At + PlanChangeDelay, old, changed}
	if old.CeilingRate > 0 && (changed.CeilingRate == 0 || changed.CeilingRate > old.CeilingRate) {
		s.currentPlans[r.Member] = changed
	}
}

// completePlanChange applies the new plan of a change once all gateways must know it. If the rate of the
// ceiling has changed, the customer starts with a full bucket.
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

// takeUnits takes the units of a request from its customer's bucket and returns the units that remain, which
// are negative if the ceiling is exceeded.
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
