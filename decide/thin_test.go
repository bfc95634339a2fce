package decide

import (
	"fmt"
	"testing"
	"time"
)

// thinRig is a gateway of a large fleet: it meets each of its servers too seldom to know them.
func newSparseHarness(t *testing.T, edit func(*Config)) *harness {
	t.Helper()
	var servers []Server
	for i := 0; i < 40; i++ {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	return newHarness(t, func(c *Config) {
		c.Limits.Gossip = false // the quota is no matter here
		if edit != nil {
			edit(c)
		}
	}, servers...)
}

// overdueTimer fires the timer of the attempts that acts sent, at its time.
func (r *harness) fireOverdueTimer(acts []Action) []Action {
	r.t.Helper()
	timers := actionsOf[SetTimer](acts)
	if len(timers) != 1 {
		r.t.Fatalf("got %#v, want one timer", acts)
	}
	r.now = timers[0].At
	return r.handle(TimerFired{timers[0].Token})
}

// TestCostlyRequestIsNotCalledOffOnThinEvidence: a gateway that sees no other answer of a server can't tell a costly
// request from a silent server. It waits, unless it knows that the server leaves such requests.
func TestCostlyRequestIsNotCalledOffOnThinEvidence(t *testing.T) {
	for _, known := range []bool{false, true} {
		r := newSparseHarness(t, nil)
		_, acts := r.request("get", "wide", "c", 1)
		s := actionsOf[Send](acts)[0]
		if known {
			r.g.observe(r.g.endpoints.byID[s.Server], r.g.classes.byName["get"], 1, true) // as a peer told
		}
		if got := len(actionsOf[Cancel](r.fireOverdueTimer(acts))) > 0; got != known {
			t.Errorf("server known to miss %v: called off %v", known, got)
		}
	}
}

// TestSilenceIsJudgedByTheAnswersThatShouldHaveCome: an overdue attempt is called off where a server that was sent much
// answered nothing since; where it was sent little the attempt is looked at again, and nothing more.
func TestSilenceIsJudgedByTheAnswersThatShouldHaveCome(t *testing.T) {
	for sent, want := range map[int]bool{100: true, 6: false} {
		r := newHarness(t, func(c *Config) { c.Limits.Gossip = false })
		for i := 0; i < sent; i++ {
			r.now += 20 * ms
			r.serve("get", "wide", "c", 1)
		}
		r.now += time.Millisecond
		_, acts := r.request("get", "wide", "c", 1)
		acts = r.fireOverdueTimer(acts)
		if got := len(actionsOf[Cancel](acts)) > 0; got != want {
			t.Errorf("after %d requests in a row: called off %v, want %v", sent, got, want)
		}
		if got := len(actionsOf[SetTimer](acts)) > 0; got == want {
			t.Errorf("after %d requests in a row: looked at again %v, want %v", sent, got, !want)
		}
	}
}

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

// TestAgeAfterStandingStill: a gateway that stood still finds all requests at once. Those too old for their aim are
// refused, each at once, the others sent on; and the late answers it finds don't count against their servers.
func TestAgeAfterStandingStill(t *testing.T) {
	r := newHarness(t, func(c *Config) { c.Limits.Gossip = false })
	r.serve("get", "wide", "c", 1) // comes with two seconds
	id, s := r.mustSend("get", "wide")
	slow := r.g.endpoints.byID[s.Server].health.slowness
	for i := 0; i < 3; i++ {
		r.now += r.g.heartbeatInterval()
		r.handle(TimerFired{heartbeatToken})
	}
	r.now += 2*r.g.heartbeatInterval() + 1500*ms
	r.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: 1600 * ms, RequestDone: true})
	if got := r.g.endpoints.byID[s.Server].health.slowness; got != slow {
		t.Errorf("a late answer found after standing still raised the server's slowness from %v to %v", slow, got)
	}
	for _, left := range []time.Duration{900 * ms, 1100 * ms, 1900 * ms} {
		acts := r.handle(Request{ID: left.String(), Class: "get", Plan: "wide", Customer: "c", Units: 1,
			Deadline: r.now + left, GatewayCount: 3})
		if sent, want := len(actionsOf[Send](acts)), boolToInt(left > time.Second); sent != want || len(actionsOf[Reject](acts)) != 1-want {
			t.Errorf("with %v of 2 s left: sent %d, want %d, else a refusal: %v", left, sent, want, acts)
		}
	}
}

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

// TestRefusedByHomeIsAnsweredAtOnce: in a large fleet too, with the home's word, and from then on without asking.
func TestRefusedByHomeIsAnsweredAtOnce(t *testing.T) {
	j := newCluster(t, 300, nil)
	g := j.gateways[3]
	req := func(id string) []Action {
		return g.Handle(j.now, Request{ID: id, Class: "get", Plan: "small", Customer: "far", Units: 4,
			Deadline: j.now + 4*time.Second, GatewayCount: 300})
	}
	req("first")
	for no, r := range g.owners.pending {
		w := grantMessage{kind: grantReply, key: r.customer.key, planNo: r.customer.planNo, number: no, figureCount: 4, figures: [4]float64{0, 12, 9, 1}}
		acts := g.Handle(j.now+20*ms, GossipReceived{From: g.owner(r.customer.key, 0), Text: w.encode()})
		if len(actionsOf[Reject](acts)) != 1 {
			t.Errorf("refused by the home: got %#v, want one refusal at once", acts)
		}
	}
	if acts := req("second"); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("while the home refuses: got %#v, want one refusal at once", acts)
	}
}

// TestNoConnectionCostsNoRetryBudget: without any budget left a request whose attempt got no connection, so cost no
// server anything, is sent elsewhere; one that timed out is not.
func TestNoConnectionCostsNoRetryBudget(t *testing.T) {
	for outcome, want := range map[Outcome]int{OutcomeConnectFailed: 1, OutcomeReset: 0} {
		r := newHarness(t, func(c *Config) { c.Limits.Gossip = false })
		r.g.retryBudget.tokens = 0
		id, s := r.mustSend("get", "wide")
		r.now += 3 * ms
		if got := len(actionsOf[Send](r.endAttempt(id, 0, s.Server, outcome))); got != want {
			t.Errorf("outcome %d without retry budget: %d further attempts, want %d", outcome, got, want)
		}
	}
}
