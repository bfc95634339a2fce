package decide

import (
	"math"
	"time"
)

const (
	// slownessGain is the weight of one response in the slowness of a server. A few responses suffice to
	// detect a slow server.
	slownessGain = 0.2

	// maxRelativeLatency bounds the influence of one response on the slowness of a server.
	maxRelativeLatency = 20

	// failureGain is the weight of one request in the failure ratio of a server where observations are
	// plentiful. It is up to twice as high where they are sparse.
	failureGain = 0.25

	// failureTimeConstantFactor is the time constant with which failures decay, as a multiple of that of
	// slowness.
	failureTimeConstantFactor = 2.0

	// The time constant with which observations of a server decay is the time in which
	// healthTimeConstantResponses responses of the server are expected, within these bounds.
	healthTimeConstantResponses = 4.0
	minHealthTimeConstant       = 2 * time.Second
	maxHealthTimeConstant       = 20 * time.Second

	// minObservationRate, in requests per second, is the lower bound of the observation rate that is used
	// as a divisor.
	minObservationRate = 1e-3

	// observationsPerMessage is the largest number of observations in a grant message.
	observationsPerMessage = 3

	// ejectionMargin is the difference to the best server's failure ratio up to which a server counts as
	// healthy. A server beyond it is ejected.
	ejectionMargin = 0.2
)

// health holds the statistics of a server's responses.
type health struct {
	slowness   float64 // multiple of the baseline latency, as of slownessAt; see Gateway.slowness
	slownessAt time.Duration
	// failureRatio is the fraction of requests that fail, by class index; see Gateway.failureRatio.
	failureRatio []decayingRatio
}

// decayingRatio is a ratio at a point in time, from which it decays.
type decayingRatio struct {
	value     float64
	updatedAt time.Duration
}

func newHealth(classes int) health {
	return health{slowness: 1, failureRatio: make([]decayingRatio, classes)}
}

// restart resets the statistics after a restart of the server.
func (h *health) restart() {
	h.slowness = 1
	clear(h.failureRatio)
}

// responseStats holds statistics of responses of all servers.
type responseStats struct {
	responseRate    rate               // own successful responses per second
	observationRate rate               // observed requests per second, own ones and reported ones
	recent          recentObservations // own observations to send to other gateways
}

// recentObservations holds the most recent own observations, newest first. Grant messages carry them.
type recentObservations struct {
	entries [observationsPerMessage]observation
	count   int
}

func (r *recentObservations) add(o observation) {
	if o.class > maxObservedClass {
		return // messages cannot encode this class
	}
	copy(r.entries[1:], r.entries[:])
	r.entries[0] = o
	r.count = min(r.count+1, observationsPerMessage)
}

// slowness returns the latency of a server as a multiple of the baseline latency. It decays to 1 with the
// time since the last observation, so that a server that is avoided because it was slow gets another
// chance.
func (g *Gateway) slowness(s *endpoint) float64 {
	h := &s.health
	return 1 + (h.slowness-1)*math.Exp(-(g.now-h.slownessAt).Seconds()/g.healthTimeConstant())
}

// failureRatio returns the fraction of a class's requests to which a server gives no response or an error.
// It decays to 0.
func (g *Gateway) failureRatio(s *endpoint, k *class) float64 {
	f := &s.health.failureRatio[k.index]
	return f.value * math.Exp(
		-(g.now-f.updatedAt).Seconds()/(failureTimeConstantFactor*g.healthTimeConstant()))
}

// healthTimeConstant returns the time constant, in seconds, with which observations of a server decay. It
// is longer where responses of a server are rare.
func (g *Gateway) healthTimeConstant() float64 {
	perSecond := g.responseStats.observationRate.perSecond(g.now)
	wanted := healthTimeConstantResponses * g.endpoints.totals.serving / max(perSecond, minObservationRate)
	return min(maxHealthTimeConstant.Seconds(), max(minHealthTimeConstant.Seconds(), wanted))
}

// observationSparsity returns 1 where this gateway receives fewer successful responses within
// rateTimeConstant than there are servers and thus cannot know the load of each server. The more responses
// it receives, the closer the result is to 0.
func (g *Gateway) observationSparsity() float64 {
	responses := g.responseStats.responseRate.perSecond(g.now) * rateTimeConstant.Seconds()
	return min(1, g.endpoints.totals.serving/max(responses, 1))
}

// observe updates the statistics with the result of a request of a class at a server, sent by this gateway
// or by another one: its latency as a multiple of the class's baseline latency, and whether it failed.
// Failures are recorded by class, because a server may have lost a resource that only one class needs. A
// failure can raise the slowness but not reduce it, because a server that returns errors quickly is not
// fast. One limitation: if one server gets all the costly requests of a class, it appears slow.
func (g *Gateway) observe(s *endpoint, k *class, relativeLatency float64, failed bool) {
	g.responseStats.observationRate.add(g.now, 1)
	ratio, target := g.failureRatio(s, k), 0.0
	if failed {
		target = 1
	}
	h := &s.health
	h.failureRatio[k.index] =
		decayingRatio{ratio + failureGain*(1+g.observationSparsity())*(target-ratio), g.now}
	h.slowness, h.slownessAt = g.slowness(s), g.now
	if !failed || relativeLatency > h.slowness {
		h.slowness += slownessGain * (min(relativeLatency, maxRelativeLatency) - h.slowness)
	}
}

// observeReported updates the statistics with an observation that another gateway reported.
func (g *Gateway) observeReported(o observation) {
	s := g.endpoints.byShortID[o.endpoint]
	if s == nil || o.class >= len(g.cfg.Classes) {
		return
	}
	g.observe(s, g.classes.byName[g.cfg.Classes[o.class].Name], o.relativeLatency, o.failed)
}

// observeOwn updates the statistics with the result of an own request, and keeps the observation for grant
// messages. Results found at the end of a stall are ignored, because the delay occurred at this gateway.
func (g *Gateway) observeOwn(s *endpoint, k *class, latency time.Duration, failed bool) {
	if g.atStallEnd() {
		return
	}
	relative := latency.Seconds() / max(k.baselineLatency, minBaselineLatency)
	g.observe(s, k, relative, failed)
	g.responseStats.recent.add(observation{s.shortID, k.index, relative, failed})
	if !failed {
		k.recordLatency(g.now, latency.Seconds())
	}
}

// recordOutcome updates the state of a server after an attempt has ended.
func (g *Gateway) recordOutcome(r *request, a *attempt, e AttemptEnded) {
	s := a.endpoint
	switch e.Outcome {
	case OutcomeOK:
		s.lastResponse = g.now
		g.responseStats.responseRate.add(g.now, 1)
		g.endpoints.clearOrphans(s, a.sentAt)
		g.observeOwn(s, r.class, e.Duration, false)
	case OutcomeError, OutcomeRejected:
		g.observeOwn(s, r.class, e.Duration, true)
		s.lastResponse = g.now
	case OutcomeConnectFailed, OutcomeReset:
		g.observeOwn(s, r.class, e.Duration, true)
	case OutcomeTimedOut:
		g.observeOwn(s, r.class, e.Duration, true)
		g.endpoints.addOrphan(s, a.sentAt)
	case OutcomeCancelled:
		g.endpoints.addOrphan(s, a.sentAt)
	}
}
