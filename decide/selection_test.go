package decide

import (
	"testing"
	"time"
)

// TestShareFollowsSpeedOnThinEvidence: a server known to take twice the time gets about half as much, not nothing
// and not an even share.
func TestShareFollowsSpeedOnThinEvidence(t *testing.T) {
	r := newSparseHarness(t, nil)
	got := [2]float64{}
	for i := 0; i < 1500; i++ {
		r.now += time.Second // one request at a time: few answers for forty servers
		for n, s := range r.g.endpoints.sorted {
			s.health.slowness, s.health.slownessAt = 1+float64(n%2), r.now
		}
		id, s := r.mustSend("get", "wide")
		var n int
		for n = range r.g.endpoints.sorted {
			if r.g.endpoints.sorted[n].ID == s.Server {
				break
			}
		}
		got[n%2]++
		r.endAttempt(id, 0, s.Server, OutcomeOK)
	}
	if x := got[1] / got[0]; x < 0.4 || x > 0.65 {
		t.Errorf("servers of twice the time got %v of the others' share, want about a half", x)
	}
}
