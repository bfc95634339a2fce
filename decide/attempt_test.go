package decide

import (
	"testing"
)

// TestGivenUpIsAnsweredAtOnce: whatever the reason, a request given up on has its final answer among the actions of
// the event that decided it, far from its deadline, and a refusal tells within its limit when to come back.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	for name, give := range map[string]func(r *harness) []Action{
		"beyond the quota": func(r *harness) []Action {
			for r.serve("get", "small", "c", 4) {
			}
			_, acts := r.request("get", "small", "c", 4)
			return acts
		},
		"no server": func(r *harness) []Action {
			r.handle(EndpointUpdate{Kind: FullUpdate})
			_, acts := r.request("get", "wide", "c", 1)
			return acts
		},
		"a jam": func(r *harness) []Action {
			for i := 0; i < 200; i++ {
				r.request("get", "wide", "c", 1)
			}
			_, acts := r.request("get", "wide", "c", 1)
			return acts
		},
		"unanswered, not to be repeated": func(r *harness) []Action {
			id, s := r.mustSend("pay", "wide")
			r.now += s.Timeout
			return r.endAttempt(id, 0, s.Server, OutcomeTimedOut)
		},
		"unanswered, safe, no time left": func(r *harness) []Action {
			id, s := r.mustSend("get", "wide")
			r.now += s.Timeout
			return r.endAttempt(id, 0, s.Server, OutcomeTimedOut)
		},
	} {
		r := newHarness(t, func(c *Config) { c.Limits.Gossip = false })
		acts := give(r)
		if len(actionsOf[Reject](acts))+len(actionsOf[Fail](acts)) != 1 || len(actionsOf[Send](acts)) > 0 {
			t.Errorf("%s: got %#v, want one final answer at once", name, acts)
		}
		for _, a := range actionsOf[Reject](acts) {
			if a.RetryAfter <= 0 || a.RetryAfter > r.g.cfg.Limits.MaxRetryAfter {
				t.Errorf("%s: come back after %v, want more than 0, %v at most", name, a.RetryAfter,
					r.g.cfg.Limits.MaxRetryAfter)
			}
		}
		if len(r.g.requests) > 0 && name != "a jam" {
			t.Errorf("%s: %d requests are still held", name, len(r.g.requests))
		}
	}
}
