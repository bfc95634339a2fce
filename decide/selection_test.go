package decide

import (
	"testing"
	"time"
)

// Where observations are sparse, a server that takes twice the time must get about half of the requests.
// If slower servers got no requests, all gateways would use the same few servers. If they got as many as the
// others, they would be overloaded.
func TestSelectionFollowsSpeedOnSparseObservations(t *testing.T) {
	h := newSparseHarness(t, nil)
	got := [2]float64{}
	for i := 0; i < 1500; i++ {
		h.now += time.Second // few responses for forty servers
		for n, s := range h.g.endpoints.sorted {
			s.health.slowness, s.health.slownessAt = 1+float64(n%2), h.now
		}
		id, s := h.mustSend("get", "wide")
		var n int
		for n = range h.g.endpoints.sorted {
			if h.g.endpoints.sorted[n].ID == s.Server {
				break
			}
		}
		got[n%2]++
		h.endAttempt(id, 0, s.Server, OutcomeOK)
	}
	if x := got[1] / got[0]; x < 0.4 || x > 0.65 {
		t.Errorf("servers with twice the latency got %v times the requests of the others, want 0.4 to 0.65",
			x)
	}
}
