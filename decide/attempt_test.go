package decide

import "testing"

// A request that is given up must get its final answer with the event that decides it, whatever the reason.
// Otherwise its client waits until the deadline for nothing. A rejection has a Retry-After within its
// limit.
func TestFinalAnswerIsImmediate(t *testing.T) {
	for name, give := range map[string]func(h *harness) []Action{
		"over quota": func(h *harness) []Action {
			for h.serve("get", "small", "c", 4) {
			}
			_, acts := h.request("get", "small", "c", 4)
			return acts
		},
		"no server": func(h *harness) []Action {
			h.handle(EndpointUpdate{Kind: FullUpdate})
			_, acts := h.request("get", "wide", "c", 1)
			return acts
		},
		"overload": func(h *harness) []Action {
			for i := 0; i < 200; i++ {
				h.request("get", "wide", "c", 1)
			}
			_, acts := h.request("get", "wide", "c", 1)
			return acts
		},
		"timeout of a non-idempotent request": func(h *harness) []Action {
			id, s := h.mustSend("pay", "wide")
			h.now += s.Timeout
			return h.endAttempt(id, 0, s.Server, OutcomeTimedOut)
		},
		"timeout of an idempotent request with no time left": func(h *harness) []Action {
			id, s := h.mustSend("get", "wide")
			h.now += s.Timeout
			return h.endAttempt(id, 0, s.Server, OutcomeTimedOut)
		},
	} {
		h := newHarness(t, func(c *Config) { c.Limits.Gossip = false })
		acts := give(h)
		if len(actionsOf[Reject](acts))+len(actionsOf[Fail](acts)) != 1 || len(actionsOf[Send](acts)) > 0 {
			t.Errorf("%s: got %#v, want one final answer and no attempt", name, acts)
		}
		for _, a := range actionsOf[Reject](acts) {
			if a.RetryAfter <= 0 || a.RetryAfter > h.g.cfg.Limits.MaxRetryAfter {
				t.Errorf("%s: Retry-After is %v, want more than 0 and at most %v", name, a.RetryAfter,
					h.g.cfg.Limits.MaxRetryAfter)
			}
		}
		if len(h.g.requests) > 0 && name != "overload" {
			t.Errorf("%s: %d requests are still open", name, len(h.g.requests))
		}
	}
}
