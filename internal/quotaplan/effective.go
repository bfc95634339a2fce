package quotaplan

import (
	"fmt"
	"math"
	"time"

	"winghatch/decide"
)

const (
	// minOrdinaryOfRate is the part of a plan's rate and ceiling that reservations leave to ordinary use.
	minOrdinaryOfRate = 0.05
	// maxShareSum is what the gateways' shares of one plan may sum to while demand shifts between them; tests of package
	// decide hold it to that.
	maxShareSum = 1.15
)

// derived is what follows from the set of changes. It is computed anew whenever the set has grown.
type derived struct {
	byNumber    map[uint64]*Change // the change that counts of those with one number
	voidReasons map[*Change]string // of changes that do not count
	cancelledBy map[uint64]uint64  // number of a change: number of the one that cancels it
	shortenedTo map[uint64]float64 // number of a reservation: its units now

	planMoves            map[string][]*Change // by member
	termChanges          map[string][]*Change // by plan
	reservationsByMember map[string][]*Change
	reservations         []*Change // of all members, in the order of changes
}

// announced is what the caller knows: the last of what was emitted.
type announced struct {
	plans      map[string]decide.Plan // in force, by member
	units      map[uint64]float64     // of reservations, by ID
	outdated   bool                   // derived was computed since
	at         int64                  // wall clock of the announcement, Unix nanoseconds
	nextDateAt int64                  // first date of a change after it, Unix nanoseconds
}

// recompute computes derived from the set.
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
	for _, c := range r.set.ordered {
		r.apply(c)
	}
}

// apply adds to derived what the next change in order brings.
func (r *Replica) apply(c *Change) {
	d := &r.derived
	if old := d.byNumber[c.Number]; old != nil {
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
		// Gateways that can't reach each other may each accept a reservation of which only one fits: the first in the
		// order of changes counts.
		if err := r.checkCapacity(c, r.planAt(c.Member, c.From)); err != nil {
			d.voidReasons[c] = err.Field + ": " + err.Text
			return
		}
		d.reservationsByMember[c.Member] = append(d.reservationsByMember[c.Member], c)
		d.reservations = append(d.reservations, c)
	case Cancel:
		if d.byNumber[c.Target] != nil && d.cancelledBy[c.Target] == 0 {
			d.cancelledBy[c.Target] = c.Number
		}
	case Shorten:
		if t := d.byNumber[c.Target]; t != nil && t.Kind == Reserve && c.Units < d.currentUnits(t) {
			d.shortenedTo[c.Target] = c.Units
		}
	}
}

// currentUnits is the size of a reservation, as cancelled or shortened.
func (d *derived) currentUnits(c *Change) float64 {
	if d.cancelledBy[c.Number] != 0 || d.voidReasons[c] != "" {
		return 0
	}
	if units, ok := d.shortenedTo[c.Number]; ok {
		return units
	}
	return c.Units
}

// inForce is the change of a list that is in force at a moment; nil: none.
func (d *derived) inForce(list []*Change, at int64) (found *Change) {
	for _, c := range list {
		if c.From <= at && d.cancelledBy[c.Number] == 0 && (found == nil || c.supersedes(found)) {
			found = c
		}
	}
	return found
}

// planAt is a member's plan at a moment, with nothing reserved.
func (r *Replica) planAt(member string, at int64) decide.Plan {
	name := r.members[member].Plan
	if c := r.derived.inForce(r.derived.planMoves[member], at); c != nil {
		name = c.Plan
	}
	p := r.plans[name]
	if c := r.derived.inForce(r.derived.termChanges[name], at); c != nil {
		p = c.Terms
		p.Name = name
	}
	return p
}

// effectivePlan is what a member's ordinary requests are subject to at a moment: its plan, less what is reserved. The
// second result is the number of the last change that it follows from.
func (r *Replica) effectivePlan(member string, at int64) (decide.Plan, uint64) {
	p := r.planAt(member, at)
	last := uint64(0)
	if c := r.derived.inForce(r.derived.planMoves[member], at); c != nil {
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
			p.Rate = max(minOrdinaryOfRate*full.Rate, p.Rate-meanRate(c, units))
		}
		if p.CeilingRate > 0 {
			rate := min(reservationRate(c, full), p.CeilingRate*(1-minOrdinaryOfRate))
			p.CeilingBurst -= p.CeilingBurst * rate / p.CeilingRate
			p.CeilingRate -= rate
			p.CeilingSlack *= 1 - rate/full.CeilingRate
		}
	}
	return p, last
}

// announce emits what is in force now and was not when it was last announced. A wall clock that was stepped back makes
// dates come again, and what they bring is announced again as well.
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

// unchanged reports whether no change can concern a member, which is announced as the settings have it. It keeps
// the work small where there are many members.
func (r *Replica) unchanged(m Member) bool {
	d := &r.derived
	return d.planMoves[m.Name] == nil && d.reservationsByMember[m.Name] == nil && len(d.termChanges) == 0 &&
		r.announced.plans[m.Name] == r.plans[m.Plan]
}

func (r *Replica) announceReservation(c *Change, m Member) {
	id, units := c.hash(), r.derived.currentUnits(c)
	last, known := r.announced.units[id]
	if !known {
		if c.To <= r.now.Wall || units == 0 {
			return
		}
		p := r.planAt(m.Name, c.From)
		reservation := Reservation{ID: id, Number: c.Number, Member: c.Member, Units: c.Units, From: c.From, To: c.To,
			Rate: reservationRate(c, p), Ceiling: p.CeilingRate > 0, First: m.First, Spread: m.Spread,
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

// announceVoid withdraws reservations that were announced and are void by a change that came later and sorts before.
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

// nextDate is the first date of a change after now, in Unix nanoseconds.
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

// EffectivePlan is the plan that was in force for a member at the last event, less what is reserved.
func (r *Replica) EffectivePlan(member string) decide.Plan { return r.announced.plans[member] }

// MaxOverspend bounds what a member may spend beyond its new plan while the change spreads for a time, in units:
// gateways that have not received it admit at the old rate, and up to the old burst. Without a rate before, nothing
// bounds it and the result is infinite.
func MaxOverspend(before, after decide.Plan, spread time.Duration) float64 {
	rate, burst := max(0, before.Rate-after.Rate), max(0, before.Burst-after.Burst)
	if before.Rate == 0 && after.Rate > 0 {
		return math.Inf(1)
	}
	return maxShareSum * (rate*spread.Seconds() + burst)
}
