package decide

import (
	"math"
	"time"
)

const (
	// baselineLatencyGain is the weight of one response in the baseline latency of its class. It is low
	// because servers are compared with this latency.
	baselineLatencyGain = 0.03

	// initialLatencyFraction is the baseline latency before any response, as a fraction of the latency
	// objective.
	initialLatencyFraction = 0.2

	// minBaselineLatency, in seconds, is the lower bound of a baseline latency that is used as a divisor.
	minBaselineLatency = 1e-6
)

// class is a configured class with statistics of its responses from all servers.
type class struct {
	Class
	index            int           // index in Config.Classes
	baselineLatency  float64       // moving average in seconds, as of lastResponse
	responses        float64       // number of responses
	lastResponse     time.Duration // time of the last response; 0: none
	maxRemainingTime time.Duration // most time until its deadline with which a first request arrived
}

// recordLatency adds the latency of a response to the moving average, which begins as the plain mean of the
// first responses.
func (k *class) recordLatency(now time.Duration, seconds float64) {
	k.responses++
	k.lastResponse = now
	k.baselineLatency += max(baselineLatencyGain, 1/k.responses) * (seconds - k.baselineLatency)
}

// baselineLatency returns the baseline latency of a class in seconds. A latency above the initial value
// decays towards it when no responses arrive. Without the decay, after a period of slow responses, each
// request of the class would be rejected for lack of time, no response would arrive, and the class would be
// rejected forever.
func (g *Gateway) baselineLatency(k *class) float64 {
	initial := initialLatencyFraction * k.LatencyObjective.Seconds()
	decay := math.Exp(-(g.now - k.lastResponse).Seconds() / g.healthTimeConstant())
	return min(k.baselineLatency, initial+(k.baselineLatency-initial)*decay)
}

// expectedLatency returns the latency in seconds that is expected of a server for a request of the class:
// the baseline latency of the class times the slowness of the server, scaled by the server's present load
// relative to its average load.
func (g *Gateway) expectedLatency(s *endpoint, k *class) float64 {
	return g.baselineLatency(k) * g.slowness(s) *
		(1 + g.endpoints.outstanding(s, g.now)) / (1 + s.meanInFlight)
}
