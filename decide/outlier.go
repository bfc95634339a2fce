package decide

import (
	"math"
	"slices"
	"time"
)

const (
	// gain of a server's slowness against that: a few answers tell
	slownessGain = 0.2
	// slowness fades at least so slowly: the unused get another look
	minEvidenceMemory = 2 * time.Second
	// answers of a server are how long its slowness is known ...
	evidenceResponses = 4.0
	// ... in seconds, this at most
	maxEvidenceMemory = 20.0
	// times that: known of a class's failures
	failureMemoryFactor = 2.0
	// gain of a server's share of a class's requests that it leaves or fails
	failureGain = 0.25
	// sights that a word carries
	observationsPerMessage = 3
	// over the least such share: as good as the best
	ejectionMargin = 0.2
)

// newest are the last few sights of own requests.
type recentObservations struct {
	entries [observationsPerMessage]observation
	count   int
}

func (n *recentObservations) add(v observation) {
	if v.class > maxObservedClass {
		return // a word has no digit for it
	}
	copy(n.entries[1:], n.entries[:])
	n.entries[0], n.count = v, min(n.count+1, observationsPerMessage)
}

// slowness is a server's, faded by the time since its last answer.
func (g *Gateway) slowness(s *endpoint) float64 {
	return 1 + (s.slowness-1)*math.Exp(-(g.now-s.slownessAt).Seconds()/g.evidenceMemory())
}

// memory is how long, in seconds, what is known of a server holds: longer where answers of it are rare.
func (g *Gateway) evidenceMemory() float64 {
	return min(maxEvidenceMemory, max(minEvidenceMemory.Seconds(),
		evidenceResponses*g.totals.serving/max(g.observationRate.perSecond(g.now), 1e-3)))
}

// missed is the share of a class's requests that a server leaves unanswered or fails.
func (g *Gateway) failureRatio(s *endpoint, k *class) float64 {
	m := &s.failureRatio[k.index]
	return m.value * math.Exp(-(g.now-m.updatedAt).Seconds()/(failureMemoryFactor*g.evidenceMemory()))
}

// note takes how a request of a class fared at a server, here or at a gateway that told it: x times the usual
// time, answered or not. It guards against servers that are slow or fail one class and serve the
// others; it should catch what a server's age, a bad disk or a lost dependency do too, whoever met it first.
// It could harm a server that only costly requests went to.
func (g *Gateway) observe(s *endpoint, k *class, x float64, missed bool) {
	g.observationRate.add(g.now, 1)
	v, to := g.failureRatio(s, k), 0.0
	if missed {
		to = 1
	}
	s.failureRatio[k.index] = rate{v + failureGain*(1+g.evidenceScarcity())*(to-v), g.now}
	s.slowness, s.slownessAt = g.slowness(s), g.now
	if !missed || x > s.slowness {
		s.slowness += slownessGain * (min(x, 20) - s.slowness)
	}
}

// saw notes how an own request fared and keeps it to be told.
func (g *Gateway) observeOwn(s *endpoint, k *class, took time.Duration, missed bool) {
	if g.now == g.stallEndedAt {
		return // what was late here is not the server's fault
	}
	x := took.Seconds() / max(k.usualLatency, 1e-6)
	g.observe(s, k, x, missed)
	g.recent.add(observation{s.shortID, k.index, x, missed})
	if !missed {
		k.responses, k.lastResponse = k.responses+1, g.now
		k.usualLatency += max(usualLatencyGain, 1/k.responses) * (took.Seconds() - k.usualLatency)
	}
}

// thin is 1 where this gateway sees fewer answers in its memory than there are servers, and less where more.
func (g *Gateway) evidenceScarcity() float64 {
	return min(1, g.totals.serving/max(g.responseRate.perSecond(g.now)*demandMemory.Seconds(), 1))
}

// judge takes what an outcome says of its server.
func (g *Gateway) recordOutcome(r *request, a *attempt, e AttemptEnded) {
	s := a.endpoint
	switch e.Outcome {
	case OutcomeOK:
		s.lastResponse = g.now
		g.responseRate.add(g.now, 1)
		before := len(s.orphans)
		s.orphans = slices.DeleteFunc(s.orphans, func(at time.Duration) bool { return at < a.sentAt })
		g.totals.inFlight -= float64(before - len(s.orphans))
		g.observeOwn(s, r.class, e.Duration, false)
	case OutcomeError:
		g.observeOwn(s, r.class, e.Duration, true)
		s.lastResponse = g.now
	case OutcomeRejected:
		g.observeOwn(s, r.class, e.Duration, true)
		s.lastResponse = g.now
	case OutcomeConnectFailed, OutcomeReset:
		g.observeOwn(s, r.class, e.Duration, true)
	case OutcomeTimedOut, OutcomeCancelled:
		if e.Outcome == OutcomeTimedOut {
			g.observeOwn(s, r.class, e.Duration, true)
		}
		s.orphans = append(s.orphans, a.sentAt)
		g.totals.inFlight++
	}
}
