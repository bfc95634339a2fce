package decide

import (
	"math"
	"time"
)

const (
	// gain of a class's usual time: slow, it is the fleet's yardstick
	usualLatencyGain = 0.03
	// of the aim: the usual time before any answer
	initialLatencyFraction = 0.2
)

type class struct {
	Class
	index        int
	usualLatency float64       // usual seconds of an answer
	responses    float64       // answers seen
	lastResponse time.Duration // of the last
	maxTimeLeft  time.Duration // the most time that a first try came with
}

// estimate is the time in seconds that an answer of the server to a request of the class should take.
func (g *Gateway) expectedLatency(s *endpoint, k *class) float64 {
	return g.usualLatency(k) * g.slowness(s) * (1 + g.outstanding(s)) / (1 + s.meanInFlight)
}

// base is a class's usual time. A long one fades without new answers: once it makes every request hopeless,
// none come, and the gateway would turn the class away for good. It guards against any spell that ended.
func (g *Gateway) usualLatency(k *class) float64 {
	first := initialLatencyFraction * k.LatencyObjective.Seconds()
	return min(k.usualLatency,
		first+(k.usualLatency-first)*math.Exp(-(g.now-k.lastResponse).Seconds()/g.evidenceMemory()))
}
