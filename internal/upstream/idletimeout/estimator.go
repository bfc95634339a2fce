// Package idletimeout learns how long a connection may be idle and still be used again.
//
// The host of a server, or a middlebox on the path, may drop idle connections without notice, long before the
// configured idle timeout. The next request on such a connection is reset, and a request that must not run
// twice is then lost to its client. An Estimator counts attempts and broken connections by the time for which
// the connection had been idle. Breaks that are not caused by idleness are equally frequent after all idle
// times. If connections that were idle for longer than some time break significantly more often than the
// others, that time becomes the limit. The counts decay, so that longer idle times are tried again after a
// while.
//
// A wrong limit, which results when the connections that servers break by chance had mostly been idle, only
// costs unnecessary new connections.
//
// The package does no I/O and reads no clock: the same calls in the same order give the same limits. The
// times passed to an Estimator are durations on a monotonic clock since any fixed moment.
package idletimeout

import (
	"math"
	"time"
)

// Idle times are counted in buckets. The first bucket holds idle times below firstBucket, the upper bound of
// each further bucket is twice that of the one before it, and the last bucket has no upper bound.
const (
	buckets     = 12
	firstBucket = 25 * time.Millisecond
)

// An idle time becomes the limit if the number of breaks after longer idle times exceeds the number expected
// from the shorter ones by both of these margins.
const (
	minExcess     = 0.15 // as a fraction of the attempts after longer idle times
	minDeviations = 4.0  // in standard deviations, so that chance alone hardly ever sets a limit
)

// halfLife is the time in which the counts decay to half.
const halfLife = 30 * time.Second

// resetAfter is the number of half-lives without a call after which all counts are reset to zero. By then,
// the remaining counts are too small to change a limit.
const resetAfter = 20

// NoLimit is the result of Limit if idleness does not break connections.
const NoLimit = time.Duration(math.MaxInt64)

// Estimator estimates the limit from its counts of attempts and breaks. The zero value is ready to use. It is
// not safe for concurrent use.
type Estimator struct {
	uses, breaks [buckets]float64 // decayed counts by idle time
	decayedAt    time.Duration    // the time up to which the counts have decayed
}

// bucketOf returns the index of the bucket of an idle time.
func bucketOf(idle time.Duration) int {
	bucket := 0
	for upper := firstBucket; idle >= upper && bucket < buckets-1; upper *= 2 {
		bucket++
	}
	return bucket
}

// decay halves the counts for each half-life that has passed since the last decay.
func (e *Estimator) decay(now time.Duration) {
	if now-e.decayedAt > resetAfter*halfLife {
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

// RecordUse counts an attempt on a connection that had been idle for the given time. Zero stands for a new
// connection.
func (e *Estimator) RecordUse(now, idle time.Duration) {
	e.decay(now)
	e.uses[bucketOf(idle)]++
}

// RecordBreak counts an attempt whose connection broke before any byte of the response arrived. The attempt
// must already have been counted by RecordUse with the same idle time.
func (e *Estimator) RecordBreak(now, idle time.Duration) {
	e.decay(now)
	e.breaks[bucketOf(idle)]++
}

// Limit returns the idle time from which on a connection must not be used again, or NoLimit. If several idle
// times qualify, it returns the one at which the excess of breaks is most significant.
func (e *Estimator) Limit(now time.Duration) time.Duration {
	e.decay(now)
	var allUses, allBreaks float64
	for i := range buckets {
		allUses += e.uses[i]
		allBreaks += e.breaks[i]
	}
	limit, bestDeviations := NoLimit, minDeviations
	usesBelow, breaksBelow := e.uses[0], e.breaks[0]
	candidate := firstBucket
	for i := 1; i < buckets; i++ {
		// The prior, one break in four attempts, requires several successful attempts after short idle times
		// before idleness is taken for the cause.
		expected := (breaksBelow + 1) / (usesBelow + 4)
		usesAbove, breaksAbove := allUses-usesBelow, allBreaks-breaksBelow
		deviations := (breaksAbove - expected*usesAbove) / math.Sqrt(expected*usesAbove+1)
		if deviations > bestDeviations && breaksAbove > (expected+minExcess)*usesAbove {
			limit, bestDeviations = candidate, deviations
		}
		usesBelow += e.uses[i]
		breaksBelow += e.breaks[i]
		candidate *= 2
	}
	return limit
}
