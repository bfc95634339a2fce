package idletimeout

import (
	"math/rand"
	"testing"
	"time"
)

// traffic is a series of attempts, each on a connection that was idle for a random time of 100 ms in the mean.
type traffic struct {
	seed     int64
	attempts int
	cutAfter time.Duration // connections idle for so long or longer break with cutRate beside baseRate; 0: none do
	cutRate  float64
	baseRate float64 // the part of all attempts that break
}

// play has the traffic follow the estimator's limit from a time on, and returns when it ended and how many broke.
func play(e *Estimator, from time.Duration, tr traffic) (now time.Duration, broken int) {
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

// A middlebox forgets connections after 120 ms. The limit must be found below the next bucket, and seldom far below
// it.
func TestALimitIsFoundWhereRestBreaksConnections(t *testing.T) {
	short := 0
	for seed := range int64(50) {
		var e Estimator
		cut := traffic{seed: seed, attempts: 1000, cutAfter: 120 * time.Millisecond, cutRate: 0.4, baseRate: 0.1}
		now, _ := play(&e, 0, cut)
		if l := e.Limit(now); l > 200*time.Millisecond {
			t.Errorf("seed %d: limit %v, want 200 ms at most", seed, l)
		} else if l < 50*time.Millisecond {
			short++
		}
	}
	if short > 5 {
		t.Errorf("in %d of 50 runs the limit is far too short", short)
	}
}

// Connections break by chance, whatever their idle time. A limit would only cost new connections.
func TestWithoutSuchBreaksThereIsNoLimit(t *testing.T) {
	for _, base := range []float64{0, 0.02, 0.15} {
		limited := 0
		for seed := range int64(200) {
			var e Estimator
			if now, _ := play(&e, 0, traffic{seed: seed, attempts: 1000, baseRate: base}); e.Limit(now) != NoLimit {
				limited++
			}
		}
		if limited > 20 {
			t.Errorf("base %g: limits in %d of 200 runs in which idling does no harm", base, limited)
		}
	}
}

// A limit that is never given up costs new connections long after the middlebox that caused it was replaced.
func TestALimitIsTriedAgain(t *testing.T) {
	var e Estimator
	now, broken := play(&e, 0, traffic{seed: 1, attempts: 1000, cutAfter: 120 * time.Millisecond, cutRate: 0.4})
	if e.Limit(now) == NoLimit || broken == 0 {
		t.Fatal("no limit was found")
	}
	if now, _ = play(&e, now, traffic{seed: 2, attempts: 12000}); e.Limit(now) != NoLimit {
		t.Errorf("limit %v four minutes after the last break, want none", e.Limit(now))
	}
	var old Estimator
	old.RecordUse(0, time.Hour)
	old.RecordBreak(1000*time.Hour, time.Hour)
	if old.Limit(1000*time.Hour) != NoLimit {
		t.Error("one break makes a limit")
	}
}
