package decide

import (
	"math"
	"time"
)

const (
	// slownessGain is the gain of a response in a server's slowness: a few responses show it.
	slownessGain = 0.2

	// maxRelativeLatency bounds what one response may say of a server's slowness.
	maxRelativeLatency = 20

	// failureGain is the gain of a request in a server's failure ratio where evidence is plentiful. It is
	// up to twice as high where it is scarce.
	failureGain = 0.25

	// failureMemoryFactor is how much longer failures are remembered than slowness.
	failureMemoryFactor = 2.0

	// The memory of what is known of a server is the time in which evidenceResponses of it should come,
	// within bounds.
	evidenceResponses = 4.0
	minEvidenceMemory = 2 * time.Second
	maxEvidenceMemory = 20 * time.Second

	// minObservationRate, in requests a second, keeps the quotient by that rate finite.
	minObservationRate = 1e-3

	// observationsPerMessage is how many observations a grant message carries.
	observationsPerMessage = 3

	// ejectionMargin is how much more than the best server's failure ratio is as good as the best.
	ejectionMargin = 0.2
)

// health is what is known of a server's responses.
type health struct {
	slowness     float64 // times the usual latency, as of slownessAt; see Gateway.slowness
	slownessAt   time.Duration
	failureRatio []fadingRatio // by class: part of the requests that fail; see Gateway.failureRatio
}

// fadingRatio is a ratio as of a time.
type fadingRatio struct {
	value     float64
	updatedAt time.Duration
}

func newHealth(classes int) health {
	return health{slowness: 1, failureRatio: make([]fadingRatio, classes)}
}

// restart forgets what is known, as the server has started anew.
func (h *health) restart() {
	h.slowness = 1
	clear(h.failureRatio)
}

// evidence is what this gateway knows of the fleet's responses.
type evidence struct {
	responseRate    rate               // own successful responses of all servers, a second
	observationRate rate               // requests a second, own or reported by others, whose fate was seen
	recent          recentObservations // own ones
}

// recentObservations are the last own observations, the last first. Grant messages carry them.
type recentObservations struct {
	entries [observationsPerMessage]observation
	count   int
}

func (r *recentObservations) add(o observation) {
	if o.class > maxObservedClass {
		return // a message has no digit for it
	}
	copy(r.entries[1:], r.entries[:])
	r.entries[0] = o
	r.count = min(r.count+1, observationsPerMessage)
}

// slowness is by how many times a server is slower than the usual latency. It fades to 1 with the time
// since it was observed, so that a server which is avoided for it gets another chance.
func (g *Gateway) slowness(s *endpoint) float64 {
	h := &s.health
	return 1 + (h.slowness-1)*math.Exp(-(g.now-h.slownessAt).Seconds()/g.evidenceMemory())
}

// failureRatio is the part of a class's requests that a server leaves without a response or fails. It
// fades to 0.
func (g *Gateway) failureRatio(s *endpoint, k *class) float64 {
	f := &s.health.failureRatio[k.index]
	return f.value * math.Exp(-(g.now-f.updatedAt).Seconds()/(failureMemoryFactor*g.evidenceMemory()))
}

// evidenceMemory is how long, in seconds, what is known of a server holds: longer where its responses are
// rare.
func (g *Gateway) evidenceMemory() float64 {
	perSecond := g.evidence.observationRate.perSecond(g.now)
	wanted := evidenceResponses * g.endpoints.totals.serving / max(perSecond, minObservationRate)
	return min(maxEvidenceMemory.Seconds(), max(minEvidenceMemory.Seconds(), wanted))
}

// evidenceScarcity is 1 where this gateway sees fewer successful responses in demandMemory than there are
// servers, so that it can't know the load of each; it falls towards 0 the more it sees.
func (g *Gateway) evidenceScarcity() float64 {
	responses := g.evidence.responseRate.perSecond(g.now) * demandMemory.Seconds()
	return min(1, g.endpoints.totals.serving/max(responses, 1))
}

// observe learns from a request of a class at a server, sent here or by another gateway: its latency over
// the class's usual one, and whether it failed. Failures are held against one class, as a server may have
// lost what only that class needs. A class of which one server gets all costly requests makes that server
// look slow.
func (g *Gateway) observe(s *endpoint, k *class, relativeLatency float64, failed bool) {
	g.evidence.observationRate.add(g.now, 1)
	ratio, target := g.failureRatio(s, k), 0.0
	if failed {
		target = 1
	}
	h := &s.health
	h.failureRatio[k.index] = fadingRatio{ratio + failureGain*(1+g.evidenceScarcity())*(target-ratio), g.now}
	h.slowness, h.slownessAt = g.slowness(s), g.now
	if !failed || relativeLatency > h.slowness {
		h.slowness += slownessGain * (min(relativeLatency, maxRelativeLatency) - h.slowness)
	}
}

// observeReported learns from an observation of another gateway.
func (g *Gateway) observeReported(o observation) {
	s := g.endpoints.byShortID[o.endpoint]
	if s == nil || o.class >= len(g.cfg.Classes) {
		return
	}
	g.observe(s, g.classes.byName[g.cfg.Classes[o.class].Name], o.relativeLatency, o.failed)
}

// observeOwn learns from a request of this gateway, and keeps the observation for grant messages. What is
// found at the end of a stall says nothing of the server: it was late here.
func (g *Gateway) observeOwn(s *endpoint, k *class, latency time.Duration, failed bool) {
	if g.endsStall() {
		return
	}
	relative := latency.Seconds() / max(k.usualLatency, minUsualLatency)
	g.observe(s, k, relative, failed)
	g.evidence.recent.add(observation{s.shortID, k.index, relative, failed})
	if !failed {
		k.recordLatency(g.now, latency.Seconds())
	}
}

// recordOutcome learns from the end of an attempt what it says of the server.
func (g *Gateway) recordOutcome(r *request, a *attempt, e AttemptEnded) {
	s := a.endpoint
	switch e.Outcome {
	case OutcomeOK:
		s.lastResponse = g.now
		g.evidence.responseRate.add(g.now, 1)
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
