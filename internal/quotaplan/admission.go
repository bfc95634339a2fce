package quotaplan

import (
	"time"

	"winghatch/decide"
)

// Limits and defaults of reservations.
const (
	// maxReservedRateFraction limits the reserved rate of a member at any time, as a fraction of the rate of
	// its plan and of the rate of its ceiling.
	maxReservedRateFraction = 0.5
	// maxReservedCapacityFraction limits the reserved rate of all members at any time, as a fraction of the
	// fleet's capacity.
	maxReservedCapacityFraction = 0.5
	// The default rate of a reservation is the higher of defaultRateCeilingFraction times the rate of the
	// ceiling and defaultRateMeanMultiple times the mean rate of the reservation.
	defaultRateCeilingFraction = 0.25
	defaultRateMeanMultiple    = 2

	minWindow = int64(time.Second)          // nanoseconds
	maxWindow = int64(400 * 24 * time.Hour) // nanoseconds

	// minWindowSeconds keeps the mean rate finite, because a change received from a peer may have an empty
	// window.
	minWindowSeconds = 1e-9
	// tolerance is the accepted rounding error, relative to the free amount. A reservation of exactly the
	// free amount must not be rejected.
	tolerance = 1e-9
)

// Reservation describes the units that a Reserve change reserves.
type Reservation struct {
	ID            uint64 // hash of the change; differs between two changes with the same number
	Number        uint64 // number of the change
	Member        string
	Units         float64 // units when the reservation was made, before it was shortened
	From, To      int64   // window, in Unix nanoseconds
	Rate          float64 // units per second over all gateways; 0: no limit
	Burst         float64 // units that may be used at once, if there is a Rate
	Ceiling       bool    // the member's plan has a ceiling, of which Rate and Burst are a part
	First, Spread int     // the gateways that the member uses, see Member
	AcceptedHere  bool    // this gateway accepted the reservation and mints its tokens
}

// windowSeconds returns the length of a reservation's window.
func windowSeconds(c *Change) float64 { return time.Duration(c.To - c.From).Seconds() }

// meanRate returns the units per second by which a reservation of so many units lowers the rate of ordinary
// use: the units divided by the length of the window.
func meanRate(c *Change, units float64) float64 {
	return units / max(windowSeconds(c), minWindowSeconds)
}

// reservationRate returns the units per second at which a reservation may be used under a plan; 0 means no
// limit. If the plan has a ceiling, a reservation without a rate gets a default, so that its part of the
// ceiling is defined.
func reservationRate(c *Change, p decide.Plan) float64 {
	if c.Rate > 0 || p.CeilingRate == 0 {
		return c.Rate
	}
	return max(defaultRateCeilingFraction*p.CeilingRate, defaultRateMeanMultiple*meanRate(c, c.Units))
}

// checkReserve validates the fields of a submitted reservation. Whether it fits beside the others is for the
// acceptor to decide.
func checkReserve(c *Change) *Error {
	switch {
	case !(c.Units > 0):
		return invalid(c, "units", "%v, want more than 0", c.Units)
	case c.To <= c.From || c.From == 0:
		return invalid(c, "to", "%s, want a time after %s", formatTime(c.To), formatTime(c.From))
	case c.To-c.From < minWindow || c.To-c.From > maxWindow:
		return invalid(c, "to", "a window of %v, want 1s to %v",
			time.Duration(c.To-c.From), time.Duration(maxWindow))
	}
	return nil
}

// checkCapacity checks that a reservation fits into the member's plan and into the capacity of the fleet. The
// error states how much is free.
func (r *Replica) checkCapacity(c *Change, p decide.Plan) *Error {
	if p.Rate > 0 {
		if err := r.checkPlanRate(c, p); err != nil {
			return err
		}
	}
	if p.CeilingRate > 0 {
		if err := r.checkCeiling(c, p); err != nil {
			return err
		}
	} else if c.Rate > 0 {
		if err := checkUsable(c, c.Rate); err != nil {
			return err
		}
	}
	if r.settings.Capacity > 0 {
		return r.checkFleetCapacity(c)
	}
	return nil
}

// checkPlanRate checks that a reservation fits into the reservable part of the plan's rate.
func (r *Replica) checkPlanRate(c *Change, p decide.Plan) *Error {
	free := maxReservedRateFraction*p.Rate - r.derived.peakOverlap(c, func(o *Change) float64 {
		if o.Member != c.Member {
			return 0
		}
		return meanRate(o, r.derived.currentUnits(o))
	})
	if meanRate(c, c.Units) > free*(1+tolerance) {
		return invalid(c, "units",
			"%v in this window, the terms of %s (%v/s, half of which may be set aside) have room for %.6g",
			c.Units, c.Member, p.Rate, max(0, free*windowSeconds(c)))
	}
	return nil
}

// checkCeiling checks that a reservation fits into the reservable part of the plan's ceiling, that its burst
// is large enough for the largest request, and that its units can be used within the window.
func (r *Replica) checkCeiling(c *Change, p decide.Plan) *Error {
	rate := reservationRate(c, p)
	free := maxReservedRateFraction*p.CeilingRate - r.derived.peakOverlap(c, func(o *Change) float64 {
		if o.Member != c.Member {
			return 0
		}
		return reservationRate(o, p)
	})
	if rate > free*(1+tolerance) {
		return invalid(c, "rate",
			"%v/s, the ceiling of %s (%v/s, half of which may be set aside) has room for %.6g/s",
			rate, c.Member, p.CeilingRate, max(0, free))
	}
	burst := p.CeilingBurst * rate / p.CeilingRate
	if burst < r.settings.MaxRequestUnits {
		return invalid(c, "rate",
			"%v/s, which leaves %.6g units at once of the ceiling's burst: want the %v of the largest call or more",
			rate, burst, r.settings.MaxRequestUnits)
	}
	return checkUsable(c, rate)
}

// checkUsable checks that all units of a reservation can be used within its window at a rate, in units per
// second.
func checkUsable(c *Change, rate float64) *Error {
	mean := meanRate(c, c.Units)
	if mean > rate*(1+tolerance) {
		return invalid(c, "rate", "%v/s, at which %v units can't be used in the window, want %.6g/s or more",
			rate, c.Units, mean)
	}
	return nil
}

// checkFleetCapacity checks that a reservation fits into the reservable part of the fleet's capacity.
func (r *Replica) checkFleetCapacity(c *Change) *Error {
	load := func(o *Change) float64 { return max(o.Rate, meanRate(o, r.derived.currentUnits(o))) }
	free := maxReservedCapacityFraction*r.settings.Capacity - r.derived.peakOverlap(c, load)
	wanted := max(c.Rate, meanRate(c, c.Units))
	if wanted > free*(1+tolerance) {
		return invalid(c, "units",
			"%v in this window at %.6g/s, the fleet (%v/s, half of which may be set aside) has room for %.6g/s, %.6g units",
			c.Units, wanted, r.settings.Capacity, max(0, free), max(0, free*windowSeconds(c)))
	}
	return nil
}

// peakOverlap returns the highest sum of load, at any time within the window of c, over the reservations made
// before c. If c has no stamp yet, it counts as made after all others.
func (d *derived) peakOverlap(c *Change, load func(*Change) float64) float64 {
	var others []*Change
	// The order is fixed, so that floating-point sums are equal at all gateways.
	for _, o := range d.reservations {
		if o != c && d.cancelledBy[o.Number] == 0 && (c.Stamp == 0 || o.before(c)) &&
			o.From < c.To && o.To > c.From {
			others = append(others, o)
		}
	}
	peak := 0.0
	for _, start := range append(others, c) { // the sum is highest at the start of one of the windows
		sum := 0.0
		for _, o := range others {
			if from := max(start.From, c.From); o.From <= from && from < o.To {
				sum += load(o)
			}
		}
		peak = max(peak, sum)
	}
	return peak
}
