package decide

import (
	"math"
	"time"
)

const (
	// usualLatencyGain is the weight of one response in the usual latency of its class. It is low because
	// servers are compared with this latency.
	usualLatencyGain = 0.03

	// initialLatencyFraction is the usual latency before any response, as a fraction of the latency
	// objective.
	initialLatencyFraction = 0.2

	// minUsualLatency, in seconds, is the lower bound of a usual latency that is used as a divisor.
	minUsualLatency = 1e-6
)

// class is a configured class with statistics of its responses from all servers.
type class struct {
	Class
	index        int           // index in Config.Classes
	usualLatency float64       // moving average in seconds, as of lastResponse; see Gateway.usualLatency
	responses    float64       // number of responses
	lastResponse time.Duration // time of the last response; 0: none
	maxTimeLeft  time.Duration // most time until its deadline with which a first request arrived
}

// recordLatency adds the latency of a response to the moving average, which begins as the plain mean of the
// first responses.
func (k *class) recordLatency(now time.Duration, seconds float64) {
	k.responses++
	k.lastResponse = now
	k.usualLatency += max(usualLatencyGain, 1/k.responses) * (seconds - k.usualLatency)
}

// usualLatency returns the usual latency of a class in seconds. A latency above the initial value decays
// towards it when no responses arrive. Without the decay, after a period of slow responses, each request of
// the class would be rejected for lack of time, no response would arrive, and the class would be rejected
// forever.
func (g *Gateway) usualLatency(k *class) float64 {
	initial := initialLatencyFraction * k.LatencyObjective.Seconds()
	fade := math.Exp(-(g.now - k.lastResponse).Seconds() / g.evidenceMemory())
	return min(k.usualLatency, initial+(k.usualLatency-initial)*fade)
}

// expectedLatency returns the latency in seconds that is expected of a server for a request of the class.
func (g *Gateway) expectedLatency(s *endpoint, k *class) float64 {
	return g.usualLatency(k) * g.slowness(s) * (1 + g.endpoints.outstanding(s, g.now)) / (1 + s.meanInFlight)
}
