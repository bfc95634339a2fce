package decide

import (
	"math"
	"time"
)

// rate is an exponentially decaying average of units per second, with the time constant rateTimeConstant.
// The units are quota units, attempts, requests or responses. The zero value is a rate of 0.
type rate struct {
	value     float64 // units per second at updatedAt
	updatedAt time.Duration
}

// add counts units used at the time now.
func (r *rate) add(now time.Duration, units float64) {
	r.value = r.perSecond(now) + units/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// perSecond returns the rate at the time now, in units per second.
func (r *rate) perSecond(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}
