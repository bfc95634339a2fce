package decide

import (
	"fmt"
	"testing"
	"time"
)

// A gateway must admit only its share of the burst at once, and after a start only half of that. Later, its
// share of the rate becomes available again.
func TestLeakyBucket(t *testing.T) {
	h := newHarness(t, nil)
	admitted := 0
	for i := 0; i < 20; i++ {
		if h.serve("get", "small", "x", 1) {
			admitted++
		}
	}
	// The share is a third of the high-water mark of 12, half of which counts as used after a start. A
	// request needs room for a third of its units.
	if admitted < 1 || admitted > 3 {
		t.Errorf("admitted %d requests at once after a start, want 1 to 3", admitted)
	}
	h.now += 10 * time.Second
	later := 0
	for i := 0; i < 20; i++ {
		if h.serve("get", "small", "x", 1) {
			later++
		}
	}
	if later <= admitted || later > 5 {
		t.Errorf("admitted %d requests at once after a pause, want %d to 5", later, admitted+1)
	}
}

// The level must follow the actual units of a request. An attempt that was not dispatched must be refunded,
// and a failed one must remain charged: otherwise failing requests would be free.
func TestSettlement(t *testing.T) {
	h := newHarness(t, nil)
	id, s := h.mustSend("get", "wide")
	c := h.g.customers.byKey[hashKey("c")]
	before := c.bucket.level
	h.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: ms, RequestDone: true,
		ActualUnits: 6})
	if got := c.bucket.level - before; got != 5 {
		t.Errorf("settling 1 unit to 6 raised the level by %v, want 5", got)
	}
	id, s = h.mustSend("get", "wide")
	before = c.bucket.level
	h.endAttempt(id, 0, s.Server, OutcomeNotDispatched)
	if got := before - c.bucket.level; got != 1 {
		t.Errorf("an attempt that was not dispatched refunded %v units, want 1", got)
	}
	id, _ = h.mustSend("pay", "wide")
	before = c.bucket.level
	h.endAttempt(id, 0, "s1", OutcomeError)
	if c.bucket.level != before {
		t.Errorf("a failed attempt changed the level from %v to %v, want no change", before, c.bucket.level)
	}
}

// A gateway must admit only its share of a plan's limit of attempts in flight. Otherwise all gateways
// together would exceed the limit several times.
func TestInFlightLimit(t *testing.T) {
	h := newHarness(t, nil)
	h.mustSend("get", "open")
	if _, acts := h.request("get", "open", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("second attempt in flight under a third of a limit of 3: got %#v, want Reject", acts)
	}
	h.endAttempt("q1", 0, "s1", OutcomeOK)
	h.mustSend("get", "open")
}

// With a limit of four, three gateways must not have two attempts in flight each, which would be six. With
// a limit of two, each must still admit one, or the customer could never have a request forwarded.
func TestInFlightLimitIsRoundedDown(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Plans[3].MaxInFlight = 4 })
	h.mustSend("get", "open")
	if _, acts := h.request("get", "open", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("second attempt in flight under a third of a limit of 4: got %#v, want Reject", acts)
	}
	h = newHarness(t, func(c *Config) { c.Plans[3].MaxInFlight = 2 })
	h.mustSend("get", "open") // a third of 2 is less than one, but one attempt is always allowed
}

// A gateway must not exceed its slice of a ceiling at any time, not even after a start, when it does not
// know what was forwarded before.
func TestCeiling(t *testing.T) {
	h := newHarness(t, nil)
	if _, acts := h.request("get", "hard", "x", 8); len(actionsOf[Send](acts)) != 0 {
		t.Fatal("request forwarded under a ceiling at the start, when all ceiling tokens count as used")
	}
	sent, start := 0.0, h.now
	for ; h.now < start+20*time.Second; h.now += 50 * ms {
		id, acts := h.request("get", "hard", "x", 4)
		if s := actionsOf[Send](acts); len(s) == 1 {
			sent += 4
			h.endAttempt(id, 0, s[0].Server, OutcomeOK)
		}
		if most := 10*(h.now-start).Seconds() + 2; sent > most+1e-6 {
			t.Fatalf("forwarded %v units within %v, want at most a third of the ceiling: %v",
				sent, h.now-start, most)
		}
	}
	if sent < 100 {
		t.Errorf("forwarded %v units in 20 s, want at least 100", sent)
	}
}

// The units of a reserved request have already been paid for. Such a request must pass a full bucket
// without a second charge, and must be shed later than other requests.
func TestReservedRequests(t *testing.T) {
	h := newHarness(t, singleGateway)
	h.fillQuota("x")
	c := h.customerOf("x")
	level, tokens := c.bucket.level, c.bucket.ceilingTokens
	acts := h.handle(Request{ID: "r", Class: "get", Plan: "small", Customer: "x", Units: 5,
		Deadline:     h.now + time.Second,
		GatewayCount: 1, Reserved: true})
	s := actionsOf[Send](acts)
	if len(s) != 1 {
		t.Fatalf("reserved request: got %v, want one Send", acts)
	}
	h.handle(AttemptEnded{ID: "r", Server: s[0].Server, Outcome: OutcomeOK, Duration: ms, RequestDone: true,
		ActualUnits: 9})
	if c.bucket.level != level || c.bucket.ceilingTokens != tokens || c.inFlight != 0 {
		t.Errorf("level %v, ceiling tokens %v, %d in flight; want %v, %v, 0",
			c.bucket.level, c.bucket.ceilingTokens,
			c.inFlight, level, tokens)
	}
	requestsUntilShed := func(reserved bool) (n int) {
		h := newHarness(t, singleGateway)
		for ; n < 5000; n++ {
			acts := h.handle(Request{ID: fmt.Sprint(n), Class: "get", Plan: "wide", Customer: "y", Units: 0.1,
				Deadline: h.now + 2*time.Second, GatewayCount: 1, Reserved: reserved})
			if f := actionsOf[Reject](acts); len(f) > 0 {
				if f[0].Reason != ReasonLoadShed {
					t.Errorf("rejected with reason %s, want shed", f[0].Reason)
				}
				return n
			}
		}
		return n
	}
	if with, without := requestsUntilShed(true), requestsUntilShed(false); with <= without {
		t.Errorf("shed after %d reserved and %d other requests, want more reserved ones", with, without)
	}
}
