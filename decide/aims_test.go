package decide

import (
	"fmt"
	"testing"
	"time"
)

// scaled is a rig whose settings' times are so many times those of the usual one.
func newScaledHarness(t *testing.T, by float64) *harness {
	return newHarness(t, func(c *Config) {
		for i := range c.Classes {
			k := &c.Classes[i]
			k.LatencyObjective, k.Deadline = time.Duration(by*float64(k.LatencyObjective)), time.Duration(by*float64(k.Deadline))
		}
	})
}

// On a site whose aims are a third of those that times in milliseconds were chosen for, refused customers were told
// to come back
// when their aim was nearly over, and ghosts filled the cap: half of all refusals were at idle servers.
func TestTimesFollowTheAims(t *testing.T) {
	for _, by := range []float64{0.2, 0.35, 1, 2} {
		r := newScaledHarness(t, by)
		aim := time.Duration(by * float64(time.Second))
		id, s := r.mustSend("get", "wide")
		r.endAttempt(id, 0, s.Server, OutcomeCancelled)
		node := r.g.endpoints.byID[s.Server]
		if len(node.orphans) != 1 {
			t.Fatalf("aims times %g: no ghost of an attempt that was called off", by)
		}
		r.now += 4 * aim
		r.handle(TimerFired{heartbeatToken})
		if r.g.endpoints.outstanding(node, r.g.now); len(node.orphans) != 0 {
			t.Errorf("aims times %g: a ghost is load 4 aims after its attempt was sent", by)
		}
		var advice time.Duration
		for range 200 {
			_, acts := r.request("get", "small", "greedy", 1)
			for _, a := range actionsOf[Reject](acts) {
				advice = a.RetryAfter
			}
		}
		if advice <= 0 || advice > aim/2 {
			t.Errorf("aims times %g: refused ones come back after %v, want time left for an answer within %v", by, advice, aim)
		}
	}
}

// A repeat that waited for its aim elsewhere was served too late all the same: 5 % of all tries, on their customers' quotas.
func TestARepeatIsAsOldAsItsFirstTry(t *testing.T) {
	for _, c := range []struct {
		left        time.Duration // of 4 s for all tries; first tries come with 3.5 s and want an answer within 1 s
		again, sent bool
	}{
		{3500 * ms, false, true}, {3500 * ms, true, true}, {3490 * ms, true, true}, // a little less says nothing
		{3400 * ms, true, true}, {3300 * ms, true, true}, {2990 * ms, true, false}, {1000 * ms, true, false},
		{1000 * ms, false, true}, // a first try of an impatient client
	} {
		r := newHarness(t, nil)
		ask := func(left time.Duration, again bool) []Action {
			r.n++
			return r.handle(Request{ID: fmt.Sprint("q", r.n), Class: "get", Plan: "wide", Customer: "c", Units: 1, Deadline: r.now + left,
				GatewayCount: 3, IsRetry: again})
		}
		ask(3500*ms, false)
		level := r.g.customers.byKey[hashKey("c")].bucket.level
		acts := ask(c.left, c.again)
		if got := len(actionsOf[Send](acts)) > 0; got != c.sent {
			t.Errorf("%v left, a repeat %v: sent on %v, want %v", c.left, c.again, got, c.sent)
		}
		for _, s := range actionsOf[Send](acts) {
			if most := r.g.classes.byName["get"].LatencyObjective - (4*time.Second - c.left); c.again && c.left < 3480*ms && s.Timeout > most {
				t.Errorf("%v left, a repeat: waits %v for an answer, want %v at most", c.left, s.Timeout, most)
			}
		}
		if !c.sent && r.g.customers.byKey[hashKey("c")].bucket.level != level {
			t.Errorf("%v left, a repeat: it was refused and charged", c.left)
		}
	}
}
