package decide

import (
	"fmt"
	"testing"
	"time"
)

func TestBucket(t *testing.T) {
	r := newHarness(t, nil)
	admitted := 0
	for i := 0; i < 20; i++ {
		if r.serve("get", "small", "x", 1) {
			admitted++
		}
	}
	// A third of the mark of 12, of which half counts as used after a start; a request may fill a third of its
	// own units over it.
	if admitted < 1 || admitted > 3 {
		t.Errorf("admitted %d at once after a start, want 1 to 3", admitted)
	}
	r.now += 10 * time.Second
	later := 0
	for i := 0; i < 20; i++ {
		if r.serve("get", "small", "x", 1) {
			later++
		}
	}
	if later <= admitted || later > 5 {
		t.Errorf("admitted %d at once after a rest, want %d to 5", later, admitted+1)
	}
}

func TestSettlement(t *testing.T) {
	r := newHarness(t, nil)
	id, s := r.mustSend("get", "wide")
	c := r.g.customers.byKey[hashKey("c")]
	before := c.bucket.level
	r.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: ms, RequestDone: true, ActualUnits: 6})
	if got := c.bucket.level - before; got != 5 {
		t.Errorf("settling 1 unit to 6 moved the level by %v, want 5", got)
	}
	id, s = r.mustSend("get", "wide")
	before = c.bucket.level
	r.endAttempt(id, 0, s.Server, OutcomeNotDispatched)
	if got := before - c.bucket.level; got != 1 {
		t.Errorf("a moot send gave back %v, want 1", got)
	}
	id, _ = r.mustSend("pay", "wide")
	before = c.bucket.level
	r.endAttempt(id, 0, "s1", OutcomeError)
	if c.bucket.level != before {
		t.Errorf("a failed send moved the level from %v to %v, want it kept", before, c.bucket.level)
	}
}

func TestOpenCap(t *testing.T) {
	r := newHarness(t, nil)
	r.mustSend("get", "open")
	if _, acts := r.request("get", "open", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("a second attempt out with a third of 3: got %#v, want Refuse", acts)
	}
	r.endAttempt("q1", 0, "s1", OutcomeOK)
	r.mustSend("get", "open")
}

// TestOpenCapIsRoundedDown: of a cap of four three gateways may not have two out each, yet one each.
func TestOpenCapIsRoundedDown(t *testing.T) {
	r := newHarness(t, func(c *Config) { c.Plans[3].MaxInFlight = 4 })
	r.mustSend("get", "open")
	if _, acts := r.request("get", "open", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("a second attempt out with a third of 4: got %#v, want Refuse", acts)
	}
	r = newHarness(t, func(c *Config) { c.Plans[3].MaxInFlight = 2 })
	r.mustSend("get", "open") // a third of 2 is less than one, but one may always be out
}

func TestCeiling(t *testing.T) {
	r := newHarness(t, nil)
	if _, acts := r.request("get", "hard", "x", 8); len(actionsOf[Send](acts)) != 0 {
		t.Fatal("sent on from the ceiling's store at the start, when it must count as empty")
	}
	sent, start := 0.0, r.now
	for ; r.now < start+20*time.Second; r.now += 50 * ms {
		id, acts := r.request("get", "hard", "x", 4)
		if s := actionsOf[Send](acts); len(s) == 1 {
			sent += 4
			r.endAttempt(id, 0, s[0].Server, OutcomeOK)
		}
		if most := 10*(r.now-start).Seconds() + 2; sent > most+1e-6 {
			t.Fatalf("passed on %v by %v, want a third of the ceiling: %v", sent, r.now-start, most)
		}
	}
	if sent < 100 {
		t.Errorf("passed on %v in 20 s, want over 100", sent)
	}
}

// TestReserved passes calls of set-aside units by a full bucket, without a charge, and before others under pressure.
func TestReserved(t *testing.T) {
	r := newHarness(t, singleGateway)
	r.fillQuota("x")
	c := r.customerOf("x")
	level, store := c.bucket.level, c.bucket.ceilingTokens
	acts := r.handle(Request{ID: "r", Class: "get", Plan: "small", Customer: "x", Units: 5, Deadline: r.now + time.Second,
		GatewayCount: 1, Reserved: true})
	s := actionsOf[Send](acts)
	if len(s) != 1 {
		t.Fatalf("%v", acts)
	}
	r.handle(AttemptEnded{ID: "r", Server: s[0].Server, Outcome: OutcomeOK, Duration: ms, RequestDone: true, ActualUnits: 9})
	if c.bucket.level != level || c.bucket.ceilingTokens != store || c.inFlight != 0 {
		t.Errorf("level %v, store %v, open %d; want %v, %v, 0", c.bucket.level, c.bucket.ceilingTokens, c.inFlight, level, store)
	}
	first := func(reserved bool) (n int) {
		r := newHarness(t, singleGateway)
		for ; n < 5000; n++ {
			acts := r.handle(Request{ID: fmt.Sprint(n), Class: "get", Plan: "wide", Customer: "y", Units: 0.1,
				Deadline: r.now + 2*time.Second, GatewayCount: 1, Reserved: reserved})
			if f := actionsOf[Reject](acts); len(f) > 0 {
				if f[0].Reason != ReasonLoadShed {
					t.Errorf("refused as %s", f[0].Reason)
				}
				return n
			}
		}
		return n
	}
	if with, without := first(true), first(false); with <= without {
		t.Errorf("shed after %d reserved and %d other calls, want more of the reserved", with, without)
	}
}
