package decide

import (
	"math"
	"time"
)

const (
	// usualLatencyGain is the gain of a response in its class's usual latency. It is low, as the usual
	// latency is what servers are compared with.
	usualLatencyGain = 0.03

	// initialLatencyFraction is the usual latency before any response, as a part of the latency objective.
	initialLatencyFraction = 0.2

	// minUsualLatency, in seconds, keeps quotients by a usual latency finite.
	minUsualLatency = 1e-6
)

// class is a configured class, with what is known of its responses at all servers.
type class struct {
	Class
	index        int
	usualLatency float64 // seconds, as of lastResponse; see Gateway.usualLatency
	responses    float64
	lastResponse time.Duration
	maxTimeLeft  time.Duration // most time to its deadline that a first request came with
}

// recordLatency takes the latency of a response. The first responses make a plain mean.
func (k *class) recordLatency(now time.Duration, seconds float64) {
	k.responses++
	k.lastResponse = now
	k.usualLatency += max(usualLatencyGain, 1/k.responses) * (seconds - k.usualLatency)
}

// usualLatency is a class's usual latency now, in seconds. A long one fades without new responses.
// Otherwise, after a slow spell, each request of the class would be rejected as having no time left, no
// response would come, and the class would be rejected for good.
func (g *Gateway) usualLatency(k *class) float64 {
	initial := initialLatencyFraction * k.LatencyObjective.Seconds()
	fade := math.Exp(-(g.now - k.lastResponse).Seconds() / g.evidenceMemory())
	return min(k.usualLatency, initial+(k.usualLatency-initial)*fade)
}

// expectedLatency is the time, in seconds, that a server's response to a request of the class should take.
func (g *Gateway) expectedLatency(s *endpoint, k *class) float64 {
	return g.usualLatency(k) * g.slowness(s) * (1 + g.endpoints.outstanding(s, g.now)) / (1 + s.meanInFlight)
}
