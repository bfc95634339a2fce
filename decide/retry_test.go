package decide

import (
	"testing"
	"time"
)

func TestEffects(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		again   bool // a further attempt is allowed
		refuse  bool // else: a refusal is allowed
	}{
		{"get", OutcomeError, true, true}, {"get", OutcomeTimedOut, true, true}, {"get", OutcomeRejected, true, true},
		{"put", OutcomeError, true, false}, {"put", OutcomeRejected, true, true}, {"put", OutcomeReset, true, false},
		{"putall", OutcomeError, true, true}, {"putall", OutcomeConnectFailed, true, true},
		{"pay", OutcomeError, false, false}, {"pay", OutcomeTimedOut, false, false}, {"pay", OutcomeReset, false, false},
		{"pay", OutcomeCancelled, false, false}, {"pay", OutcomeRejected, true, true}, {"pay", OutcomeConnectFailed, true, true},
	} {
		r := newHarness(t, nil)
		id, s := r.mustSend(c.class, "wide")
		acts := r.endAttempt(id, 0, s.Server, c.outcome)
		more := actionsOf[Send](acts)
		if (len(more) == 1) != c.again {
			t.Errorf("%s after %v: got %#v, want again=%v", c.class, c.outcome, acts, c.again)
		}
		if len(more) == 1 && c.class == "put" && !c.outcome.neverRan() && (more[0].Server == "s3") != (s.Server == "s3") {
			t.Errorf("%s after %v: sent to %s after %s, another cell", c.class, c.outcome, more[0].Server, s.Server)
		}
		r.g.retryBudget.tokens = 0 // no further attempts: the final answer
		for i := 1; len(more) == 1; i++ {
			acts = r.endAttempt(id, i, more[0].Server, c.outcome)
			more = actionsOf[Send](acts)
		}
		if len(actionsOf[Reject](acts)) != boolToInt(c.refuse) || len(actionsOf[Fail](acts)) != boolToInt(!c.refuse) {
			t.Errorf("%s after %v: final %#v, want refuse=%v", c.class, c.outcome, acts, c.refuse)
		}
	}
}

func TestKeyedWindow(t *testing.T) {
	r := newHarness(t, func(c *Config) { c.Classes[2].LatencyObjective, c.Classes[2].DedupWindow = 3*time.Second, time.Second })
	id, s := r.mustSend("putall", "wide")
	r.now += 1100 * ms
	if acts := r.endAttempt(id, 0, s.Server, OutcomeError); len(actionsOf[Send](acts)) != 0 {
		t.Errorf("sent again after the window: %#v", acts)
	}
}

// A repeat that waits for its connection may come to its write behind the window, in which servers still know the first
// attempt: it is told how long it may be written.
func TestRepeatsAreBoundedAtTheirWrite(t *testing.T) {
	for _, c := range []struct {
		class  string
		first  Outcome
		window bool
	}{{"put", OutcomeCancelled, true}, {"put", OutcomeReset, true}, {"put", OutcomeConnectFailed, false}, {"get", OutcomeReset, false}} {
		r := newHarness(t, nil)
		id, s := r.mustSend(c.class, "wide")
		at := r.now
		if s.WriteBefore != 0 {
			t.Errorf("%s: the first attempt may be written until %v, want no bound", c.class, s.WriteBefore)
		}
		r.now += 700 * ms
		again := actionsOf[Send](r.endAttempt(id, 0, s.Server, c.first))
		if len(again) != 1 {
			t.Fatalf("%s behind %v: %d sent, want 1", c.class, c.first, len(again))
		}
		got, bounded := again[0].WriteBefore-at, again[0].WriteBefore != 0
		if bounded != c.window || bounded && (got > 2*time.Second || got < 1900*ms) {
			t.Errorf("%s behind %v: the repeat may be written until %v after the first, want the window: %t", c.class, c.first, got, c.window)
		}
	}
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
