package decide

import (
	"testing"
	"time"
)

// After slow responses, a gateway must not reject a class forever. If the baseline latency did not decay, no
// attempt would be sent and the gateway would never learn that the servers are fast again.
func TestBaselineLatencyDecaysWithoutResponses(t *testing.T) {
	h := newHarness(t, nil)
	for range 400 {
		id, acts := h.request("get", "wide", "c", 1)
		for _, s := range actionsOf[Send](acts) {
			for range 49 {
				h.now += 20 * ms
				h.handle(TimerFired{heartbeatToken})
			}
			h.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: 980 * ms,
				RequestDone: true})
		}
	}
	forwarded, last := 0, h.now
	for end := h.now + 40*time.Second; h.now < end; h.now += 200 * ms {
		h.handle(TimerFired{heartbeatToken})
		id, acts := h.request("get", "wide", "c", 1)
		for _, s := range actionsOf[Send](acts) {
			forwarded++
			last = h.now
			h.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: 50 * ms,
				RequestDone: true})
		}
	}
	if forwarded < 50 || h.now-last > time.Second {
		t.Errorf("%d of 200 requests forwarded, the last %v before the end; want at least 50 and at most 1s",
			forwarded,
			h.now-last)
	}
}
