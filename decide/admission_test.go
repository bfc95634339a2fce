package decide

import (
	"fmt"
	"testing"
	"time"
)

func TestNoServer(t *testing.T) {
	r := newHarness(t, nil, []Server{}...)
	r.handle(EndpointUpdate{Kind: FullUpdate})
	if _, acts := r.request("get", "wide", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("without servers: got %#v, want Refuse", acts)
	}
}

func TestGhostsCloseTheCap(t *testing.T) {
	r := newHarness(t, nil)
	for i := 0; i < 6; i++ {
		id, acts := r.request("get", "wide", "c", 1)
		if s := actionsOf[Send](acts); len(s) == 1 {
			r.endAttempt(id, 0, s[0].Server, OutcomeCancelled)
		}
	}
	if _, acts := r.request("get", "wide", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("sent on to servers that still work on what nobody waits for: %#v", acts)
	}
	r.now += r.g.timesObjective(orphanLifetime) + time.Second
	r.mustSend("get", "wide")
}

// TestToldOpenWorkSheds: a gateway with nothing out that is told of much open work for the answers that come lets
// in less, before it has met the jam itself. It opens again when told of little, and by itself when nobody tells.
func TestToldOpenWorkSheds(t *testing.T) {
	j := newCluster(t, 300, nil)
	g := j.gateways[3]
	told := func(open, done float64) {
		for i := 0; i < 40; i++ {
			w := grantMessage{kind: grantRelease, key: 1, planNo: 0, figureCount: 1, inFlight: open, responseRate: done}
			g.Handle(j.now, GossipReceived{From: 9, Text: w.encode()})
		}
	}
	total := 0
	asked := func() (n int) {
		for i := 0; i < 100; i++ {
			total++
			id := fmt.Sprint("r", total)
			n += len(actionsOf[SendGossip](g.Handle(j.now, Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1,
				Deadline: j.now + time.Second, GatewayCount: 300})))
		}
		return n
	}
	told(5, 2)
	if n := asked(); n > 0 {
		t.Errorf("%d of 100 asked for when told of a jam, want none", n)
	}
	told(0, 2)
	if n := asked(); n < 90 {
		t.Errorf("%d of 100 asked for when told that it is over, want 90 or more", n)
	}
	told(5, 2)
	for i := 0; i < 300; i++ { // long, as two servers for 300 gateways bear little
		j.now += ownerHeartbeatInterval
		g.Handle(j.now, TimerFired{heartbeatToken})
	}
	if n := asked(); n < 90 {
		t.Errorf("%d of 100 asked for after 30 s without a word, want 90 or more", n)
	}
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
