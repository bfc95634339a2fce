// Package keep decides for how long a connection at rest may still be used. A server's machine, or something on the way,
// may forget connections without a word long before the settings say; the next request on one is reset, and one that
// must not run twice is then lost to its client. The package does no I/O and reads no clock: the same calls in the same
// order always give the same answers.
//
// It counts attempts and breaks by how long their connection had rested. Breaks that have nothing to do with rest come at
// all rests alike; where those beyond some rest break clearly more often than those below, that rest is the limit. Counts
// fade, so that a limit is tried again after a while. It should also catch a server or middlebox with a short time-out of
// its own; it could harm, by connections opened anew, where servers break by chance just what had rested.
package idletimeout

import (
	"math"
	"time"
)

const (
	firstBucket   = 25 * time.Millisecond // the first class of rests is below it; each further one reaches twice as far
	buckets       = 12
	minExcess     = 0.15             // part of the attempts that break more beyond a limit than below it
	minDeviations = 4.0              // standard deviations by which the breaks beyond it must be too many for chance
	halfLife      = 30 * time.Second // counts are halved so often
)

// Forever is the limit where rest does no harm.
const NoLimit = time.Duration(1<<63 - 1)

// Book holds the counts. The zero value is ready.
type Estimator struct {
	uses, breaks [buckets]float64
	decayedAt    time.Duration
}

func bucketOf(rest time.Duration) int {
	n := 0
	for top := firstBucket; rest >= top && n < buckets-1; top *= 2 {
		n++
	}
	return n
}

func (b *Estimator) decay(now time.Duration) {
	for now-b.decayedAt >= halfLife {
		if now-b.decayedAt > 20*halfLife {
			b.decayedAt = now
			b.uses, b.breaks = [buckets]float64{}, [buckets]float64{}
			break
		}
		b.decayedAt += halfLife
		for i := range buckets {
			b.uses[i] /= 2
			b.breaks[i] /= 2
		}
	}
}

// Used notes an attempt on a connection that had rested so long; 0 for a new one.
func (b *Estimator) RecordUse(now, rest time.Duration) {
	b.decay(now)
	b.uses[bucketOf(rest)]++
}

// Broke notes that such an attempt found its connection broken before any answer.
func (b *Estimator) RecordBreak(now, rest time.Duration) {
	b.decay(now)
	b.breaks[bucketOf(rest)]++
}

// Limit is the rest from which on a connection is not to be used any more.
func (b *Estimator) Limit(now time.Duration) time.Duration {
	b.decay(now)
	var allUsed, allBroke float64
	for i := range buckets {
		allUsed += b.uses[i]
		allBroke += b.breaks[i]
	}
	limit, best := NoLimit, minDeviations
	below, belowBroke := b.uses[0], b.breaks[0]
	for i, from := 1, firstBucket; i < buckets; i, from = i+1, 2*from {
		usual := (belowBroke + 1) / (below + 4)
		n, broke := allUsed-below, allBroke-belowBroke
		if z := (broke - usual*n) / math.Sqrt(usual*n+1); z > best && broke > (usual+minExcess)*n {
			limit, best = from, z // the rest that tells good from bad most clearly
		}
		below, belowBroke = below+b.uses[i], belowBroke+b.breaks[i]
	}
	return limit
}
