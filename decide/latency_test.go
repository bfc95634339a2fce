package decide

import (
	"testing"
	"time"
)

// A gateway whose last answers of a class were slow must not refuse that class as hopeless for good: without an attempt
// it would never learn that the servers are quick again.
func TestSlowAnswersAreForgottenWithoutNewOnes(t *testing.T) {
	r := newHarness(t, nil)
	for range 400 {
		id, acts := r.request("get", "wide", "c", 1)
		for _, s := range actionsOf[Send](acts) {
			for range 49 {
				r.now += 20 * ms
				r.handle(TimerFired{heartbeatToken})
			}
			r.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: 980 * ms, RequestDone: true})
		}
	}
	let, last := 0, r.now
	for end := r.now + 40*time.Second; r.now < end; r.now += 200 * ms {
		r.handle(TimerFired{heartbeatToken})
		id, acts := r.request("get", "wide", "c", 1)
		for _, s := range actionsOf[Send](acts) {
			let++
			last = r.now
			r.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: 50 * ms, RequestDone: true})
		}
	}
	if let < 50 || r.now-last > time.Second {
		t.Errorf("%d of 200 requests were sent on behind slow answers, the last %v before the end", let, r.now-last)
	}
}
