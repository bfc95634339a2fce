package quotaplan

import (
	"time"

	"winghatch/decide"
)

// How much may be reserved.
const (
	maxReservedOfRate     = 0.5  // of a plan's rate, and of its ceiling's, at any moment
	maxReservedOfCapacity = 0.5  // of the fleet's capacity, at any moment
	defaultRateOfCeiling  = 0.25 // of a ceiling's rate: the least default rate of a reservation
	defaultRateOfMean     = 2    // times the mean rate: the least default rate of a reservation

	minWindow = int64(time.Second)          // nanoseconds
	maxWindow = int64(400 * 24 * time.Hour) // nanoseconds

	// minWindowSeconds keeps the mean rate finite. A change that a peer sent may have no window at all.
	minWindowSeconds = 1e-9
	// tolerance is the rounding error, relative to what is free, at which a reservation still fits: one that takes
	// exactly what is free must not be rejected.
	tolerance = 1e-9
)

// Reservation is what a Reserve change sets aside.
type Reservation struct {
	ID            uint64 // hash of the change; two changes of one number differ in it
	Number        uint64
	Member        string
	Units         float64 // as first made
	From, To      int64   // Unix nanoseconds
	Rate          float64 // units a second, by all gateways together; 0: no bound
	Burst         float64 // units at once, with a Rate
	Ceiling       bool    // the member's plan has a ceiling, of which Rate and Burst are taken
	First, Spread int     // the member's gateways, as Member has them
	AcceptedHere  bool    // accepted by this gateway: its tokens are minted here
}

func windowSeconds(c *Change) float64 { return time.Duration(c.To - c.From).Seconds() }

// meanRate is the units a second that a reservation of so many units takes off ordinary use.
func meanRate(c *Change, units float64) float64 {
	return units / max(windowSeconds(c), minWindowSeconds)
}

// reservationRate is the units a second at which a reservation may be used, under a plan. With a ceiling it has a
// default, so that the part of the ceiling that it takes is defined.
func reservationRate(c *Change, p decide.Plan) float64 {
	if c.Rate > 0 || p.CeilingRate == 0 {
		return c.Rate
	}
	return max(defaultRateOfCeiling*p.CeilingRate, defaultRateOfMean*meanRate(c, c.Units))
}

// checkReserve is the admission test of a submitted reservation, against what this replica knows.
func (r *Replica) checkReserve(c *Change) *Error {
	switch {
	case !(c.Units > 0):
		return invalid(c, "units", "%v, want more than 0", c.Units)
	case c.To <= c.From || c.From == 0:
		return invalid(c, "to", "%s, want a time after %s", formatTime(c.To), formatTime(c.From))
	case c.To-c.From < minWindow || c.To-c.From > maxWindow:
		return invalid(c, "to", "a window of %v, want 1s to %v", time.Duration(c.To-c.From), time.Duration(maxWindow))
	}
	return r.checkCapacity(c, r.planAt(c.Member, c.From))
}

// checkCapacity reports what a reservation does not fit into: the member's plan, or else the fleet. The error says how
// much is free.
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

func (r *Replica) checkPlanRate(c *Change, p decide.Plan) *Error {
	free := maxReservedOfRate*p.Rate - r.derived.peakOverlap(c, func(o *Change) float64 {
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

func (r *Replica) checkCeiling(c *Change, p decide.Plan) *Error {
	rate := reservationRate(c, p)
	free := maxReservedOfRate*p.CeilingRate - r.derived.peakOverlap(c, func(o *Change) float64 {
		if o.Member != c.Member {
			return 0
		}
		return reservationRate(o, p)
	})
	if rate > free*(1+tolerance) {
		return invalid(c, "rate", "%v/s, the ceiling of %s (%v/s, half of which may be set aside) has room for %.6g/s",
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

// checkUsable reports a reservation whose units can't all be used within its window at a rate, in units a second.
func checkUsable(c *Change, rate float64) *Error {
	mean := meanRate(c, c.Units)
	if mean > rate*(1+tolerance) {
		return invalid(c, "rate", "%v/s, at which %v units can't be used in the window, want %.6g/s or more",
			rate, c.Units, mean)
	}
	return nil
}

func (r *Replica) checkFleetCapacity(c *Change) *Error {
	load := func(o *Change) float64 { return max(o.Rate, meanRate(o, r.derived.currentUnits(o))) }
	free := maxReservedOfCapacity*r.settings.Capacity - r.derived.peakOverlap(c, load)
	wanted := max(c.Rate, meanRate(c, c.Units))
	if wanted > free*(1+tolerance) {
		return invalid(c, "units",
			"%v in this window at %.6g/s, the fleet (%v/s, half of which may be set aside) has room for %.6g/s, %.6g units",
			c.Units, wanted, r.settings.Capacity, max(0, free), max(0, free*windowSeconds(c)))
	}
	return nil
}

// peakOverlap is the highest sum of load, over the reservations made before c, at any moment of c's window.
func (d *derived) peakOverlap(c *Change, load func(*Change) float64) float64 {
	var others []*Change
	for _, o := range d.reservations { // in the order of changes: sums of floats must be equal at all gateways
		if o != c && d.cancelledBy[o.Number] == 0 && (c.Stamp == 0 || o.before(c)) && o.From < c.To && o.To > c.From {
			others = append(others, o)
		}
	}
	peak := 0.0
	for _, start := range append(others, c) { // the sum is highest where one of them begins
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
