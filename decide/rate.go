package decide

import (
	"math"
	"time"
)

// rate is a sum of units that fades with partMemory; its value is in units a second.
type rate struct {
	value     float64
	updatedAt time.Duration
}

func (r *rate) add(now time.Duration, units float64) {
	r.value = r.perSecond(now) + units/demandMemory.Seconds()
	r.updatedAt = now
}

func (r *rate) perSecond(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.updatedAt).Seconds()/demandMemory.Seconds())
}
