package idletimeout

import (
	"math/rand"
	"testing"
	"time"
)

// play uses connections after rests of 1 to 800 ms, short ones most often; those that rested for cut or longer break with the
// chance given, all with the chance base.
func play(b *Estimator, seed int64, from time.Duration, n int, cut time.Duration, chance, base float64) (now time.Duration, lost int) {
	rnd := rand.New(rand.NewSource(seed))
	now = from
	for range n {
		now += 20 * time.Millisecond
		rest := time.Duration(rnd.ExpFloat64() * float64(100*time.Millisecond))
		if rest >= b.Limit(now) {
			rest = 0 // a new one
		}
		b.RecordUse(now, rest)
		p := base
		if cut > 0 && rest >= cut {
			p += chance
		}
		if rnd.Float64() < p {
			b.RecordBreak(now, rest)
			lost++
		}
	}
	return now, lost
}

func TestALimitIsFoundWhereRestBreaksConnections(t *testing.T) {
	short := 0
	for seed := range int64(50) {
		var b Estimator
		now, _ := play(&b, seed, 0, 1000, 120*time.Millisecond, 0.4, 0.1)
		if l := b.Limit(now); l > 200*time.Millisecond {
			t.Errorf("seed %d: limit %v, want 200 ms at most", seed, l)
		} else if l < 50*time.Millisecond {
			short++
		}
	}
	if short > 5 {
		t.Errorf("on %d of 50 days the limit is far too short", short)
	}
}

func TestWithoutSuchBreaksThereIsNoLimit(t *testing.T) {
	for _, base := range []float64{0, 0.02, 0.15} {
		limited := 0
		for seed := range int64(200) {
			var b Estimator
			if now, _ := play(&b, seed, 0, 1000, 0, 0, base); b.Limit(now) != NoLimit {
				limited++
			}
		}
		if limited > 20 {
			t.Errorf("base %g: limits on %d of 200 days on which rest does no harm", base, limited)
		}
	}
}

// A trouble that has passed is forgotten.
func TestALimitIsTriedAgain(t *testing.T) {
	var b Estimator
	now, lost := play(&b, 1, 0, 1000, 120*time.Millisecond, 0.4, 0)
	if b.Limit(now) == NoLimit || lost == 0 {
		t.Fatal("no limit was found")
	}
	if now, _ = play(&b, 2, now, 12000, 0, 0, 0); b.Limit(now) != NoLimit {
		t.Errorf("limit %v four minutes after the trouble, want none", b.Limit(now))
	}
	var c Estimator
	c.RecordUse(0, time.Hour)
	c.RecordBreak(1000*time.Hour, time.Hour)
	if c.Limit(1000*time.Hour) != NoLimit {
		t.Error("one break makes a limit")
	}
}
