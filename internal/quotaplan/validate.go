package quotaplan

import (
	"fmt"
	"time"

	"winghatch/decide"
)

// maxDateInPast is how far in the past the date of a submitted change may be, in nanoseconds. A date that was
// the current time when the change was sent has passed when the change arrives.
const maxDateInPast = int64(time.Second)

// check validates a submitted change. It returns nil if the change can be accepted now; a reservation also has
// to fit beside the others.
func (r *Replica) check(c *Change) *Error {
	if err := r.checkNumber(c); err != nil {
		return err
	}
	if n := len(r.pending) + len(r.undecided) + len(r.proposals); n >= maxPendingSubmits {
		return invalid(c, "log", "%d changes wait for the disk or for their decision, want fewer than %d",
			n, maxPendingSubmits)
	}
	if !c.numbersValid() {
		return invalid(c, "units", "figures of %v, %v, %+v, want numbers of 0 or more",
			c.Units, c.Rate, c.Terms)
	}
	if err := r.checkNames(c); err != nil {
		return err
	}
	if c.Kind != Cancel && c.Kind != Shorten && c.From != 0 && c.From < r.now.Wall-maxDateInPast {
		return invalid(c, "from", "%s, want a time in the future", formatTime(c.From))
	}
	switch c.Kind {
	case Move:
		return nil
	case Terms:
		return checkTerms(c)
	case Reserve:
		return checkReserve(c)
	case Cancel, Shorten:
		return r.checkTarget(c)
	}
	return invalid(c, "kind", "%s, want move, terms, reserve, cancel or shorten", c.Kind)
}

// checkNumber checks that the number of a change is valid and unused.
func (r *Replica) checkNumber(c *Change) *Error {
	if c.Number == 0 {
		return invalid(c, "number", "0, want 1 or more")
	}
	if old := r.derived.byNumber[c.Number]; old != nil {
		return invalid(c, "number", "seen before: %s", old)
	}
	if _, ok := r.pending[c.Number]; ok {
		return invalid(c, "number", "seen before, it is being persisted")
	}
	return nil
}

// checkNames checks that the member and the plan of a change are in the settings, where its kind needs them.
func (r *Replica) checkNames(c *Change) *Error {
	if len(c.Member) > maxNameBytes || len(c.Plan) > maxNameBytes {
		return invalid(c, "member", "a name of %d bytes, want %d at most",
			max(len(c.Member), len(c.Plan)), maxNameBytes)
	}
	if c.Kind == Move || c.Kind == Reserve {
		if _, ok := r.members[c.Member]; !ok {
			return invalid(c, "member", "%q, want a member of the settings", c.Member)
		}
	}
	if c.Kind == Move || c.Kind == Terms {
		if _, ok := r.plans[c.Plan]; !ok {
			return invalid(c, "plan", "%q, want one of %s", c.Plan, joinNames(r.planNames))
		}
	}
	return nil
}

// checkTerms checks that the terms of a change are consistent, and returns the first error.
func checkTerms(c *Change) *Error {
	if errs := CheckPlan(&c.Terms); len(errs) > 0 {
		return &Error{c.Number, errs[0].Field, errs[0].Text}
	}
	return nil
}

// checkTarget checks that a Cancel or Shorten change can be applied to its target.
func (r *Replica) checkTarget(c *Change) *Error {
	target := r.derived.byNumber[c.Target]
	switch {
	case target == nil:
		return invalid(c, "target", "%d, want the number of a change", c.Target)
	case target.Kind == Cancel || target.Kind == Shorten:
		return invalid(c, "target", "%d is a %s, want a move, terms or a reservation", c.Target, target.Kind)
	case r.derived.cancelledBy[c.Target] != 0:
		return invalid(c, "target", "%d was cancelled by %d", c.Target, r.derived.cancelledBy[c.Target])
	case target.Kind == Reserve && target.To <= r.now.Wall:
		return invalid(c, "target", "%d ended at %s", c.Target, formatTime(target.To))
	case c.Kind == Shorten && target.Kind != Reserve:
		return invalid(c, "target", "%d is a %s, want a reservation", c.Target, target.Kind)
	case c.Kind == Shorten && !(c.Units < r.derived.currentUnits(target)):
		return invalid(c, "units", "%v, want less than the %v of %d",
			c.Units, r.derived.currentUnits(target), c.Target)
	}
	return nil
}

// FieldError describes an invalid field of a plan. Field is its name in the settings; Text states which
// values are valid.
type FieldError struct{ Field, Text string }

// CheckPlan checks that the rates and bursts of a plan are consistent. It returns an error for each
// inconsistent field, or nil.
func CheckPlan(p *decide.Plan) (errs []FieldError) {
	if (p.Rate > 0) != (p.Burst > 0) {
		errs = append(errs, FieldError{"burst",
			fmt.Sprintf("rate %v and burst %v, want both or neither", p.Rate, p.Burst)})
	}
	if (p.CeilingRate > 0) != (p.CeilingBurst > 0) {
		errs = append(errs, FieldError{"ceiling-burst",
			fmt.Sprintf("rate %v and burst %v, want both or neither", p.CeilingRate, p.CeilingBurst)})
	}
	if p.CeilingRate > 0 && p.CeilingRate < p.Rate {
		errs = append(errs, FieldError{"ceiling-rate",
			fmt.Sprintf("%v, want the rate of %v or more", p.CeilingRate, p.Rate)})
	}
	return errs
}
