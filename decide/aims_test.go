package decide

import (
	"testing"
	"time"
)

// scaled is a rig whose settings' times are so many times those of the usual one.
func scaled(t *testing.T, by float64) *rig {
	return newRig(t, func(c *Config) {
		for i := range c.Classes {
			k := &c.Classes[i]
			k.Aim, k.Deadline = time.Duration(by*float64(k.Aim)), time.Duration(by*float64(k.Deadline))
		}
	})
}

// On a site whose aims are a third of those that times in milliseconds were chosen for, refused customers were told
// to come back
// when their aim was nearly over, and ghosts filled the cap: half of all refusals were at idle servers.
func TestTimesFollowTheAims(t *testing.T) {
	for _, by := range []float64{0.2, 0.35, 1, 2} {
		r := scaled(t, by)
		aim := time.Duration(by * float64(time.Second))
		id, s := r.send("get", "wide")
		r.end(id, 0, s.Server, Cancelled)
		node := r.g.servers[s.Server]
		if len(node.ghosts) != 1 {
			t.Fatalf("aims times %g: no ghost of an attempt that was called off", by)
		}
		r.now += 4 * aim
		r.do(TimerFired{beatToken})
		if r.g.load(node); len(node.ghosts) != 0 {
			t.Errorf("aims times %g: a ghost is load 4 aims after its attempt was sent", by)
		}
		var advice time.Duration
		for range 200 {
			_, acts := r.ask("get", "small", "greedy", 1)
			for _, a := range find[Refuse](acts) {
				advice = a.RetryAfter
			}
		}
		if advice <= 0 || advice > aim/2 {
			t.Errorf("aims times %g: refused ones come back after %v, want time left for an answer within %v", by, advice, aim)
		}
	}
}
