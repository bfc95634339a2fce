// Package idletimeout learns for how long an idle connection may still be used.
//
// A server's machine, or a middlebox on the way, may forget idle connections without notice, long before the
// configured idle timeout. The next request on such a connection is reset, and one that must not run twice is then
// lost to its client. An Estimator counts attempts and breaks by how long their connection had been idle. Breaks that
// have nothing to do with idling occur after all idle times alike; if those beyond some idle time break clearly more
// often than those below it, that idle time is the limit. Counts decay, so that a limit is tried again after a while.
//
// The cost of a wrong limit is connections that are opened anew without need, where servers happened to break just
// those that had been idle.
//
// The package does no I/O and reads no clock: the same calls in the same order give the same limits. Times are spans
// since any fixed moment, of a monotonic clock.
package idletimeout

import (
	"math"
	"time"
)

// Idle times are counted in buckets: the first is below firstBucket, each further one reaches twice as far, the last
// has all that is longer.
const (
	buckets     = 12
	firstBucket = 25 * time.Millisecond
)

// A limit is set where breaks beyond it exceed those expected from the idle times below it by both of these.
const (
	minExcess     = 0.15 // as a part of the attempts beyond it
	minDeviations = 4.0  // in standard deviations, so that chance alone hardly ever sets one
)

// halfLife is the time in which counts halve.
const halfLife = 30 * time.Second

// forgetAfter is the number of half-lives after which counts are dropped at once: what is left of them by then
// changes no limit.
const forgetAfter = 20

// NoLimit is the limit where idling does no harm.
const NoLimit = time.Duration(math.MaxInt64)

// Estimator holds the counts. The zero value is ready. It is not safe for concurrent use.
type Estimator struct {
	uses, breaks [buckets]float64
	decayedAt    time.Duration
}

// bucketOf is the bucket of an idle time.
func bucketOf(idle time.Duration) int {
	bucket := 0
	for upper := firstBucket; idle >= upper && bucket < buckets-1; upper *= 2 {
		bucket++
	}
	return bucket
}

// decay halves the counts for each half-life that has passed.
func (e *Estimator) decay(now time.Duration) {
	if now-e.decayedAt > forgetAfter*halfLife {
		*e = Estimator{decayedAt: now}
		return
	}
	for now-e.decayedAt >= halfLife {
		e.decayedAt += halfLife
		for i := range buckets {
			e.uses[i] /= 2
			e.breaks[i] /= 2
		}
	}
}

// RecordUse counts an attempt on a connection that had been idle so long; 0 stands for a new one.
func (e *Estimator) RecordUse(now, idle time.Duration) {
	e.decay(now)
	e.uses[bucketOf(idle)]++
}

// RecordBreak counts such an attempt that found its connection broken before any byte of a response. Its RecordUse
// came before.
func (e *Estimator) RecordBreak(now, idle time.Duration) {
	e.decay(now)
	e.breaks[bucketOf(idle)]++
}

// Limit is the idle time from which on a connection must not be used any more. Of several candidates it is the one
// that separates good from bad most clearly.
func (e *Estimator) Limit(now time.Duration) time.Duration {
	e.decay(now)
	var allUses, allBreaks float64
	for i := range buckets {
		allUses += e.uses[i]
		allBreaks += e.breaks[i]
	}
	limit, best := NoLimit, minDeviations
	usesBelow, breaksBelow := e.uses[0], e.breaks[0]
	candidate := firstBucket
	for i := 1; i < buckets; i++ {
		// Without data a quarter is expected to break, so that it takes several good uses below to blame idling.
		expected := (breaksBelow + 1) / (usesBelow + 4)
		uses, broken := allUses-usesBelow, allBreaks-breaksBelow
		deviations := (broken - expected*uses) / math.Sqrt(expected*uses+1)
		if deviations > best && broken > (expected+minExcess)*uses {
			limit, best = candidate, deviations
		}
		usesBelow += e.uses[i]
		breaksBelow += e.breaks[i]
		candidate *= 2
	}
	return limit
}
