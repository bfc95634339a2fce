package quotaplan

import (
	"fmt"
	"math"
	"time"

	"winghatch/decide"
)

const (
	// minOrdinaryFraction is the fraction of a plan's rate and ceiling that reservations always leave to
	// ordinary use.
	minOrdinaryFraction = 0.05
	// maxShareSum is the highest sum of the gateways' shares of one plan while demand shifts between
	// gateways. Tests of package decide verify this limit.
	maxShareSum = 1.15
)

// derived is the state that is computed from the set of changes. It is recomputed whenever the set has grown.
type derived struct {
	byNumber    map[uint64]*Change // keyed by number; of changes with the same number, the one that counts
	voidReasons map[*Change]string // why a change does not count
	cancelledBy map[uint64]uint64  // number of the cancelling change, by number of the cancelled one
	shortenedTo map[uint64]float64 // current units of a shortened reservation, by number

	planMoves            map[string][]*Change // changes of kind Move, by member
	termChanges          map[string][]*Change // changes of kind Terms, by plan
	reservationsByMember map[string][]*Change
	reservations         []*Change // reservations of all members, in the order of changes
}

// announced is the state that was last emitted to the caller.
type announced struct {
	plans      map[string]decide.Plan // plan in force, by member
	units      map[uint64]float64     // units of the announced reservations, by ID
	outdated   bool                   // derived was recomputed since the last announcement
	at         int64                  // wall clock of the last announcement, Unix nanoseconds
	nextDateAt int64                  // first date of a change after the last announcement, Unix nanoseconds
}

// recompute computes derived from the set of changes.
func (r *Replica) recompute() {
	r.stale, r.announced.outdated = false, true
	r.derived = derived{
		byNumber:             map[uint64]*Change{},
		voidReasons:          map[*Change]string{},
		cancelledBy:          map[uint64]uint64{},
		shortenedTo:          map[uint64]float64{},
		planMoves:            map[string][]*Change{},
		termChanges:          map[string][]*Change{},
		reservationsByMember: map[string][]*Change{},
	}
	for _, c := range r.set.ordered { // a final reservation keeps its number, whatever precedes it in the order
		if c.final() && r.derived.byNumber[c.Number] == nil {
			r.derived.byNumber[c.Number] = c
		}
	}
	for _, c := range r.set.ordered {
		r.apply(c)
	}
}

// apply applies the next change in the order of changes to derived.
func (r *Replica) apply(c *Change) {
	d := &r.derived
	if old := d.byNumber[c.Number]; old != nil && old != c {
		d.voidReasons[c] = fmt.Sprintf("its number was seen before: %s, taken by gateway %d", old, old.Origin)
		return
	}
	d.byNumber[c.Number] = c
	switch c.Kind {
	case Move, Terms:
		if _, ok := r.plans[c.Plan]; !ok {
			d.voidReasons[c] = fmt.Sprintf("plan %q is not in this gateway's settings", c.Plan)
			return
		}
		if c.Kind == Move {
			d.planMoves[c.Member] = append(d.planMoves[c.Member], c)
		} else {
			d.termChanges[c.Plan] = append(d.termChanges[c.Plan], c)
		}
	case Reserve:
		// Gateways of earlier versions that could not reach each other may each have accepted a reservation
		// although only one of them fits. Then the first one in the order of changes counts.
		if !c.final() {
			if err := r.checkCapacity(c, r.planAt(c.Member, c.From)); err != nil {
				d.voidReasons[c] = err.Field + ": " + err.Text
				return
			}
		}
		d.reservationsByMember[c.Member] = append(d.reservationsByMember[c.Member], c)
		d.reservations = append(d.reservations, c)
	case Cancel:
		if t := d.byNumber[c.Target]; t != nil && t.before(c) && d.cancelledBy[c.Target] == 0 {
			d.cancelledBy[c.Target] = c.Number
		}
	case Shorten:
		if t := d.byNumber[c.Target]; t != nil && t.before(c) && t.Kind == Reserve && c.Units < d.currentUnits(t) {
			d.shortenedTo[c.Target] = c.Units
		}
	}
}

// currentUnits returns the units of a reservation after it was shortened. It returns 0 if the reservation is
// cancelled or void.
func (d *derived) currentUnits(c *Change) float64 {
	if d.cancelledBy[c.Number] != 0 || d.voidReasons[c] != "" {
		return 0
	}
	if units, ok := d.shortenedTo[c.Number]; ok {
		return units
	}
	return c.Units
}

// effectiveAt returns the change of a list that is effective at a time, in Unix nanoseconds. It returns nil
// if there is none.
func (d *derived) effectiveAt(list []*Change, at int64) (found *Change) {
	for _, c := range list {
		if c.From <= at && d.cancelledBy[c.Number] == 0 && (found == nil || c.supersedes(found)) {
			found = c
		}
	}
	return found
}

// planAt returns the plan of a member at a time, in Unix nanoseconds, without the effect of reservations.
func (r *Replica) planAt(member string, at int64) decide.Plan {
	name := r.members[member].Plan
	if c := r.derived.effectiveAt(r.derived.planMoves[member], at); c != nil {
		name = c.Plan
	}
	p := r.plans[name]
	if c := r.derived.effectiveAt(r.derived.termChanges[name], at); c != nil {
		p = c.Terms
		p.Name = name
	}
	return p
}

// effectivePlan returns the plan that applies to a member's ordinary requests at a time, in Unix nanoseconds:
// the plan of the member, reduced by open reservations. The second result is the number of the last Move or
// Reserve change that contributed to it, or 0.
func (r *Replica) effectivePlan(member string, at int64) (decide.Plan, uint64) {
	p := r.planAt(member, at)
	last := uint64(0)
	if c := r.derived.effectiveAt(r.derived.planMoves[member], at); c != nil {
		last = c.Number
	}
	full := p
	for _, c := range r.derived.reservationsByMember[member] {
		units := r.derived.currentUnits(c)
		if units == 0 || at < c.From || at >= c.To {
			continue
		}
		last = c.Number
		if p.Rate > 0 {
			p.Rate = max(minOrdinaryFraction*full.Rate, p.Rate-meanRate(c, units))
		}
		if p.CeilingRate > 0 {
			rate := min(reservationRate(c, full), p.CeilingRate*(1-minOrdinaryFraction))
			p.CeilingBurst -= p.CeilingBurst * rate / p.CeilingRate
			p.CeilingRate -= rate
			p.CeilingSlack *= 1 - rate/full.CeilingRate
		}
	}
	return p, last
}

// announce emits what has changed since the last announcement: plans in force, and new or resized
// reservations. If the wall clock was stepped back, dates that had passed are in the future again, so
// announce checks everything again.
func (r *Replica) announce() {
	now := r.now.Wall
	if !r.announced.outdated && now < r.announced.nextDateAt && now >= r.announced.at {
		return
	}
	r.announced.outdated, r.announced.at, r.announced.nextDateAt = false, now, r.nextDate()
	for _, m := range r.settings.Members {
		if r.unchanged(m) {
			continue
		}
		p, last := r.effectivePlan(m.Name, now)
		if r.announced.plans[m.Name] != p {
			r.announced.plans[m.Name] = p
			r.emit(ApplyPlan{m.Name, p, last})
		}
		for _, c := range r.derived.reservationsByMember[m.Name] {
			r.announceReservation(c, m)
		}
	}
	r.announceVoid()
}

// unchanged reports whether no change affects a member and its plan of the settings is already announced.
// Skipping such members keeps the work small if there are many.
func (r *Replica) unchanged(m Member) bool {
	d := &r.derived
	return d.planMoves[m.Name] == nil && d.reservationsByMember[m.Name] == nil && len(d.termChanges) == 0 &&
		r.announced.plans[m.Name] == r.plans[m.Plan]
}

// announceReservation announces a reservation if it is new and has not ended, and its units if they have
// changed.
func (r *Replica) announceReservation(c *Change, m Member) {
	id, units := c.hash(), r.derived.currentUnits(c)
	last, known := r.announced.units[id]
	if !known {
		if c.To <= r.now.Wall || units == 0 {
			return
		}
		p := r.planAt(m.Name, c.From)
		reservation := Reservation{ID: id, Number: c.Number, Member: c.Member, Units: c.Units,
			From: c.From, To: c.To, Rate: reservationRate(c, p), Ceiling: p.CeilingRate > 0,
			First: m.First, Spread: m.Spread,
			AcceptedHere: r.own[id]}
		reservation.Burst = max(reservation.Rate, r.settings.MaxRequestUnits)
		if reservation.Ceiling {
			reservation.Burst = p.CeilingBurst * reservation.Rate / p.CeilingRate
		}
		r.emit(AddReservation{reservation})
		last = c.Units
	}
	r.announced.units[id] = units
	if units != last {
		r.emit(ResizeReservation{id, units})
	}
}

// announceVoid withdraws announced reservations that have become void because a change that arrived later
// precedes them in the order of changes.
func (r *Replica) announceVoid() {
	for _, c := range r.set.ordered {
		reason := r.derived.voidReasons[c]
		if c.Kind != Reserve || reason == "" {
			continue
		}
		if id := c.hash(); r.announced.units[id] != 0 {
			r.announced.units[id] = 0
			r.emit(ResizeReservation{id, 0})
			r.emit(LogWarning{fmt.Sprintf("%s is void: %s", c, reason)})
		}
	}
}

// nextDate returns the earliest date of a change after now, in Unix nanoseconds. It returns math.MaxInt64 if
// there is none.
func (r *Replica) nextDate() int64 {
	next := int64(math.MaxInt64)
	for _, c := range r.set.ordered {
		for _, at := range []int64{c.From, c.To} {
			if at > r.now.Wall {
				next = min(next, at)
			}
		}
	}
	return next
}

// EffectivePlan returns the plan that was in force for a member at the last event, reduced by open
// reservations. It returns the zero Plan for an unknown member.
func (r *Replica) EffectivePlan(member string) decide.Plan { return r.announced.plans[member] }

// MaxOverspend returns an upper bound, in units, for what a member can use beyond its new plan while the
// change reaches all gateways, which takes the time spread. Gateways that have not yet received the change
// admit requests at the old rate and up to the old burst. The result is infinite if the new plan has a rate
// limit and the old one has none.
func MaxOverspend(before, after decide.Plan, spread time.Duration) float64 {
	rate, burst := max(0, before.Rate-after.Rate), max(0, before.Burst-after.Burst)
	if before.Rate == 0 && after.Rate > 0 {
		return math.Inf(1)
	}
	return maxShareSum * (rate*spread.Seconds() + burst)
}
