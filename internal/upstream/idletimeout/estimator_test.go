package idletimeout

import (
	"math/rand"
	"testing"
	"time"
)

// traffic is a series of attempts, each on a connection that was idle for a random time with a mean of 100
// ms.
type traffic struct {
	seed     int64
	attempts int
	cutAfter time.Duration // idle time from which on the break rate is cutRate higher; 0: no such idle time
	cutRate  float64       // additional break rate after cutAfter, 0 to 1
	baseRate float64       // break rate of all attempts, 0 to 1
}

// simulate runs the traffic with the estimator's limit from the given time on. It returns the time of the
// last attempt and the number of connections that broke.
func simulate(e *Estimator, from time.Duration, tr traffic) (now time.Duration, broken int) {
	rnd := rand.New(rand.NewSource(tr.seed))
	now = from
	for range tr.attempts {
		now += 20 * time.Millisecond
		idle := time.Duration(rnd.ExpFloat64() * float64(100*time.Millisecond))
		if idle >= e.Limit(now) {
			idle = 0 // a new connection
		}
		e.RecordUse(now, idle)
		rate := tr.baseRate
		if tr.cutAfter > 0 && idle >= tr.cutAfter {
			rate += tr.cutRate
		}
		if rnd.Float64() < rate {
			e.RecordBreak(now, idle)
			broken++
		}
	}
	return now, broken
}

// Guards against attempts that are lost on idle connections because no limit, or too high a one, is learned.
// A middlebox drops connections after 120 ms. The limit must not exceed the upper bound of that bucket, 200
// ms, and is rarely far too low.
func TestLimitIsLearnedFromIdleBreaks(t *testing.T) {
	short := 0
	for seed := range int64(50) {
		var e Estimator
		cut := traffic{seed: seed, attempts: 1000, cutAfter: 120 * time.Millisecond,
			cutRate: 0.4, baseRate: 0.1}
		now, _ := simulate(&e, 0, cut)
		if l := e.Limit(now); l > 200*time.Millisecond {
			t.Errorf("seed %d: limit %v, want at most 200 ms", seed, l)
		} else if l < 50*time.Millisecond {
			short++
		}
	}
	if short > 5 {
		t.Errorf("the limit is below 50 ms in %d of 50 runs, want at most 5", short)
	}
}

// Guards against a limit where connections break by chance after all idle times alike. It would only cost new
// connections.
func TestRandomBreaksSetNoLimit(t *testing.T) {
	for _, base := range []float64{0, 0.02, 0.15} {
		limited := 0
		for seed := range int64(200) {
			var e Estimator
			if now, _ := simulate(&e, 0,
				traffic{seed: seed, attempts: 1000, baseRate: base}); e.Limit(now) != NoLimit {
				limited++
			}
		}
		if limited > 20 {
			t.Errorf("break rate %g: a limit in %d of 200 runs without idle breaks, want at most 20",
				base, limited)
		}
	}
}

// Guards against a limit that stays forever. It would cost new connections long after the middlebox that
// caused it was replaced.
func TestLimitExpires(t *testing.T) {
	var e Estimator
	now, broken := simulate(&e, 0,
		traffic{seed: 1, attempts: 1000, cutAfter: 120 * time.Millisecond, cutRate: 0.4})
	if e.Limit(now) == NoLimit || broken == 0 {
		t.Fatal("no limit was learned from the idle breaks")
	}
	if now, _ = simulate(&e, now, traffic{seed: 2, attempts: 12000}); e.Limit(now) != NoLimit {
		t.Errorf("limit %v four minutes after the last break, want none", e.Limit(now))
	}
	var old Estimator
	old.RecordUse(0, time.Hour)
	old.RecordBreak(1000*time.Hour, time.Hour)
	if old.Limit(1000*time.Hour) != NoLimit {
		t.Error("a single break set a limit")
	}
}
