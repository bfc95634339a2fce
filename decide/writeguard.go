package decide

import (
	"slices"
	"time"
)

// WriteGuard decides, for one request and at the moment of a write, whether an attempt may still be written
// to its connection. Servers forget a request when the dedup window after the first attempt that they
// received ends; an attempt written later would run a second time. The window begins with whichever attempt
// was written first, in whatever order the attempts were decided: one that waited for its connection can be
// written after one that was decided later.
//
// The zero value never refuses. A WriteGuard is not safe for concurrent use.
type WriteGuard struct {
	window time.Duration // 0: duplicates do no harm, or there are none
	writes []attemptWrite
}

// attemptWrite is an attempt that may have run, because it was written or its write has begun.
type attemptWrite struct {
	attempt int
	at      time.Duration // time before its first byte was written
}

// WriteGuard returns the guard of a new request of the class.
func (c Config) WriteGuard(class string) WriteGuard {
	for _, k := range c.Classes {
		if k.Name == class && k.Idempotency == IdempotentByKey {
			return WriteGuard{window: k.DedupWindow}
		}
	}
	return WriteGuard{}
}

// MayWrite reports whether the attempt may be written, or written to its end, at the time now: the dedup
// window of every other attempt that may have run is still open then.
func (w *WriteGuard) MayWrite(attempt int, now time.Duration) bool {
	return w.window == 0 || !slices.ContainsFunc(w.writes, func(other attemptWrite) bool {
		return other.attempt != attempt && now-other.at >= w.window-objectiveMargin
	})
}

// WriteStarts records that the write of an attempt begins at the time now, after which it may have run.
func (w *WriteGuard) WriteStarts(attempt int, now time.Duration) {
	started := slices.ContainsFunc(w.writes, func(o attemptWrite) bool { return o.attempt == attempt })
	if w.window > 0 && !started {
		w.writes = append(w.writes, attemptWrite{attempt, now})
	}
}

// AttemptEnded forgets an attempt whose outcome proves that it never ran.
func (w *WriteGuard) AttemptEnded(attempt int, outcome Outcome) {
	if outcome.neverRan() {
		w.writes = slices.DeleteFunc(w.writes, func(o attemptWrite) bool { return o.attempt == attempt })
	}
}
