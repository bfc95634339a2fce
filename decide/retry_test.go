package decide

import (
	"testing"
	"time"
)

// A request that may have run must be retried only where its idempotency allows it, and rejected only if
// the client can safely send it again. Otherwise a request could run twice.
func TestIdempotency(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		retry   bool // whether a retry is allowed
		reject  bool // whether the final answer is a rejection, not a failure
	}{
		{"get", OutcomeError, true, true},
		{"get", OutcomeTimedOut, true, true},
		{"get", OutcomeRejected, true, true},
		{"put", OutcomeError, true, false},
		{"put", OutcomeRejected, true, true},
		{"put", OutcomeReset, true, false},
		{"putall", OutcomeError, true, true},
		{"putall", OutcomeConnectFailed, true, true},
		{"pay", OutcomeError, false, false},
		{"pay", OutcomeTimedOut, false, false},
		{"pay", OutcomeReset, false, false},
		{"pay", OutcomeCancelled, false, false},
		{"pay", OutcomeRejected, true, true},
		{"pay", OutcomeConnectFailed, true, true},
	} {
		h := newHarness(t, nil)
		id, s := h.mustSend(c.class, "wide")
		acts := h.endAttempt(id, 0, s.Server, c.outcome)
		more := actionsOf[Send](acts)
		if (len(more) == 1) != c.retry {
			t.Errorf("%s after %v: got %#v, want retry=%v", c.class, c.outcome, acts, c.retry)
		}
		if len(more) == 1 && c.class == "put" && !c.outcome.neverRan() &&
			(more[0].Server == "s3") != (s.Server == "s3") {
			t.Errorf("%s after %v: sent to %s after %s, which is in another cell",
				c.class, c.outcome, more[0].Server, s.Server)
		}
		h.g.retryBudget.tokens = 0 // no more retries, to get the final answer
		for i := 1; len(more) == 1; i++ {
			acts = h.endAttempt(id, i, more[0].Server, c.outcome)
			more = actionsOf[Send](acts)
		}
		if len(actionsOf[Reject](acts)) != boolToInt(c.reject) ||
			len(actionsOf[Fail](acts)) != boolToInt(!c.reject) {
			t.Errorf("%s after %v: final answer %#v, want reject=%v", c.class, c.outcome, acts, c.reject)
		}
	}
}

// Servers drop a duplicate only within the dedup window. A retry after the window could run a second time.
func TestDedupWindow(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		// Classes[2] is putall.
		c.Classes[2].LatencyObjective, c.Classes[2].DedupWindow = 3*time.Second,
			time.Second
	})
	id, s := h.mustSend("putall", "wide")
	h.now += 1100 * ms
	if acts := h.endAttempt(id, 0, s.Server, OutcomeError); len(actionsOf[Send](acts)) != 0 {
		t.Errorf("request sent again after the dedup window: %#v", acts)
	}
}

// A retry that waits for its connection could be written after the window in which servers remember the
// first attempt, and would run a second time. Send.WriteBefore must prevent this.
func TestRetryWriteBeforeEndsWithDedupWindow(t *testing.T) {
	for _, c := range []struct {
		class  string
		first  Outcome
		window bool // whether the retry's WriteBefore is limited by the dedup window
	}{
		{"put", OutcomeCancelled, true},
		{"put", OutcomeReset, true},
		{"put", OutcomeConnectFailed, false},
		{"get", OutcomeReset, false},
	} {
		h := newHarness(t, nil)
		id, s := h.mustSend(c.class, "wide")
		at := h.now
		if s.WriteBefore != 0 {
			t.Errorf("%s: WriteBefore of the first attempt is %v, want 0", c.class, s.WriteBefore)
		}
		h.now += 700 * ms
		again := actionsOf[Send](h.endAttempt(id, 0, s.Server, c.first))
		if len(again) != 1 {
			t.Fatalf("%s after %v: %d retries, want 1", c.class, c.first, len(again))
		}
		got, bounded := again[0].WriteBefore-at, again[0].WriteBefore != 0
		if bounded != c.window || bounded && (got > 2*time.Second || got < 1900*ms) {
			t.Errorf("%s after %v: WriteBefore is %v after the first attempt, want the dedup window: %t",
				c.class,
				c.first, got, c.window)
		}
	}
}

// A gateway that sees no other response of a server cannot tell a costly request from a silent server. If
// it cancelled the attempt, all gateways would together overload the servers with retries. It must wait,
// unless the server is known to fail such requests.
func TestCostlyRequestIsNotCancelledOnSparseObservations(t *testing.T) {
	for _, known := range []bool{false, true} {
		h := newSparseHarness(t, nil)
		_, acts := h.request("get", "wide", "c", 1)
		s := actionsOf[Send](acts)[0]
		if known {
			// A failure as if reported by a peer.
			h.g.observe(h.g.endpoints.byID[s.Server], h.g.classes.byName["get"], 1, true)
		}
		if got := len(actionsOf[Cancel](h.fireOverdueTimer(acts))) > 0; got != known {
			t.Errorf("server known to fail is %v: cancelled is %v, want the same", known, got)
		}
	}
}

// An overdue attempt must be cancelled only if the server was sent enough requests that its silence is
// significant. Otherwise the gateway must only check the attempt again later: a few missing responses are
// common at a healthy server.
func TestOverdueAttemptIsCancelledOnMissingResponses(t *testing.T) {
	for sent, want := range map[int]bool{100: true, 6: false} {
		h := newHarness(t, func(c *Config) { c.Limits.Gossip = false })
		for i := 0; i < sent; i++ {
			h.now += 20 * ms
			h.serve("get", "wide", "c", 1)
		}
		h.now += time.Millisecond
		_, acts := h.request("get", "wide", "c", 1)
		acts = h.fireOverdueTimer(acts)
		if got := len(actionsOf[Cancel](acts)) > 0; got != want {
			t.Errorf("after %d requests in a row: cancelled %v, want %v", sent, got, want)
		}
		if got := len(actionsOf[SetTimer](acts)) > 0; got == want {
			t.Errorf("after %d requests in a row: recheck timer set %v, want %v", sent, got, !want)
		}
	}
}

// A retry after a failed connect must be possible without any retry budget, because the failed attempt cost
// no server any work. A retry after a broken connection must not, or retries could multiply the load.
func TestConnectFailureCostsNoRetryBudget(t *testing.T) {
	for outcome, want := range map[Outcome]int{OutcomeConnectFailed: 1, OutcomeReset: 0} {
		h := newHarness(t, func(c *Config) { c.Limits.Gossip = false })
		h.g.retryBudget.tokens = 0
		id, s := h.mustSend("get", "wide")
		h.now += 3 * ms
		if got := len(actionsOf[Send](h.endAttempt(id, 0, s.Server, outcome))); got != want {
			t.Errorf("outcome %d without retry budget: %d retries, want %d", outcome, got, want)
		}
	}
}
