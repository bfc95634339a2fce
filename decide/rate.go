package decide

import (
	"math"
	"time"
)

// rate is an exponentially weighted average of units a second, with the memory demandMemory.
type rate struct {
	value     float64 // units a second at updatedAt
	updatedAt time.Duration
}

func (r *rate) add(now time.Duration, units float64) {
	r.value = r.perSecond(now) + units/demandMemory.Seconds()
	r.updatedAt = now
}

func (r *rate) perSecond(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.updatedAt).Seconds()/demandMemory.Seconds())
}
