package decide

import (
	"fmt"
	"testing"
	"time"
)

// Without any server, a request must be rejected at once instead of waiting for one until its deadline.
func TestRequestIsRejectedWithoutServers(t *testing.T) {
	h := newHarness(t, nil, []Server{}...)
	h.handle(EndpointUpdate{Kind: FullUpdate})
	if _, acts := h.request("get", "wide", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("without servers: got %#v, want Reject", acts)
	}
}

// Attempts that were cancelled may still run at their servers. If they did not count as load, an overloaded
// server would be sent more and more requests.
func TestOrphansCountAsLoad(t *testing.T) {
	h := newHarness(t, nil)
	for i := 0; i < 6; i++ {
		id, acts := h.request("get", "wide", "c", 1)
		if s := actionsOf[Send](acts); len(s) == 1 {
			h.endAttempt(id, 0, s[0].Server, OutcomeCancelled)
		}
	}
	if _, acts := h.request("get", "wide", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("request forwarded to servers whose cancelled attempts may still run: %#v", acts)
	}
	h.now += h.g.objectiveMultiple(orphanLifetime) + time.Second
	h.mustSend("get", "wide")
}

// A gateway without any requests in flight must shed load when other gateways report much work for few
// responses. Otherwise it sends requests to overloaded servers until it observes the overload itself. It
// must admit requests again when the others report little load, and also when they report nothing any more.
func TestReportedLoadCausesShedding(t *testing.T) {
	fleet := newCluster(t, 300, nil)
	g := fleet.gateways[3]
	report := func(inFlight, responseRate float64) {
		for i := 0; i < 40; i++ {
			m := grantMessage{kind: grantRelease, key: 1, planIndex: 0, valueCount: 1, inFlight: inFlight,
				responseRate: responseRate}
			g.Handle(fleet.now, GossipReceived{From: 9, Text: m.encode()})
		}
	}
	total := 0
	admitted := func() (n int) {
		for i := 0; i < 100; i++ {
			total++
			id := fmt.Sprint("r", total)
			n += len(actionsOf[SendGossip](g.Handle(fleet.now,
				Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1,
					Deadline: fleet.now + time.Second, GatewayCount: 300})))
		}
		return n
	}
	report(5, 2)
	if n := admitted(); n > 0 {
		t.Errorf("%d of 100 requests admitted while gateways report overload, want none", n)
	}
	report(0, 2)
	if n := admitted(); n < 90 {
		t.Errorf("%d of 100 requests admitted after gateways report little load, want 90 or more", n)
	}
	report(5, 2)
	for i := 0; i < 300; i++ { // long enough for 300 gateways with two servers
		fleet.now += ownerHeartbeatInterval
		g.Handle(fleet.now, TimerFired{heartbeatToken})
	}
	if n := admitted(); n < 90 {
		t.Errorf("%d of 100 requests admitted after 30 s without a report, want 90 or more", n)
	}
}

// Durations that concern a request must scale with the latency objectives. With fixed durations in
// milliseconds, clients of a deployment with short objectives came back after a rejection when their
// objective was nearly over, and orphans kept idle servers from receiving requests.
func TestDurationsScaleWithLatencyObjectives(t *testing.T) {
	for _, scale := range []float64{0.2, 0.35, 1, 2} {
		h := newScaledHarness(t, scale)
		objective := time.Duration(scale * float64(time.Second))
		id, s := h.mustSend("get", "wide")
		h.endAttempt(id, 0, s.Server, OutcomeCancelled)
		server := h.g.endpoints.byID[s.Server]
		if len(server.orphans) != 1 {
			t.Fatalf("objectives times %g: a cancelled attempt left no orphan", scale)
		}
		h.now += 4 * objective
		h.handle(TimerFired{heartbeatToken})
		if h.g.endpoints.outstanding(server, h.g.now); len(server.orphans) != 0 {
			t.Errorf("objectives times %g: an orphan counts as load 4 objectives after it was sent",
				scale)
		}
		var retryAfter time.Duration
		for range 200 {
			_, acts := h.request("get", "small", "greedy", 1)
			for _, a := range actionsOf[Reject](acts) {
				retryAfter = a.RetryAfter
			}
		}
		if retryAfter <= 0 || retryAfter > objective/2 {
			t.Errorf("objectives times %g: Retry-After is %v, want more than 0 and at most half of %v",
				scale, retryAfter,
				objective)
		}
	}
}

// A retry whose client has already waited for most of the objective must be rejected without a charge. If
// its age counted from its own arrival, it would be answered too late and use the customer's quota.
func TestRetryAgeCountsFromFirstRequest(t *testing.T) {
	for _, c := range []struct {
		// Remaining time, of a class deadline of 4 s. First requests arrive with 3.5 s left; the objective
		// is 1 s.
		left             time.Duration
		retry, forwarded bool
	}{
		{3500 * ms, false, true}, {3500 * ms, true, true}, {3490 * ms, true, true}, // within the tolerance
		{3400 * ms, true, true}, {3300 * ms, true, true}, {2990 * ms, true, false}, {1000 * ms, true, false},
		{1000 * ms, false, true}, // a first request with a short deadline
	} {
		h := newHarness(t, nil)
		request := func(left time.Duration, retry bool) []Action {
			h.requestCount++
			return h.handle(Request{ID: fmt.Sprint("q", h.requestCount), Class: "get", Plan: "wide",
				Customer: "c", Units: 1, Deadline: h.now + left, GatewayCount: 3, IsRetry: retry})
		}
		request(3500*ms, false)
		level := h.g.customers.byKey[hashKey("c")].bucket.level
		acts := request(c.left, c.retry)
		if got := len(actionsOf[Send](acts)) > 0; got != c.forwarded {
			t.Errorf("%v left, IsRetry %t: forwarded %t, want %t", c.left, c.retry, got, c.forwarded)
		}
		for _, s := range actionsOf[Send](acts) {
			if most := h.g.classes.byName["get"].LatencyObjective - (4*time.Second - c.left); c.retry &&
				c.left < 3480*ms && s.Timeout > most {
				t.Errorf("%v left, IsRetry true: attempt timeout is %v, want at most %v",
					c.left, s.Timeout, most)
			}
		}
		if !c.forwarded && h.g.customers.byKey[hashKey("c")].bucket.level != level {
			t.Errorf("%v left, IsRetry true: the rejected request was charged", c.left)
		}
	}
}

// At the end of a stall, a gateway finds all requests of the stall at once. Requests that are too old for
// their objective must be rejected and the others forwarded. Responses that are late because of the stall
// must not count against their servers.
func TestRequestAgeAfterStall(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Limits.Gossip = false })
	h.serve("get", "wide", "c", 1) // arrives two seconds before its deadline
	id, s := h.mustSend("get", "wide")
	slownessBefore := h.g.endpoints.byID[s.Server].health.slowness
	for i := 0; i < 3; i++ {
		h.now += h.g.heartbeatInterval()
		h.handle(TimerFired{heartbeatToken})
	}
	h.now += 2*h.g.heartbeatInterval() + 1500*ms
	h.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: 1600 * ms,
		RequestDone: true})
	if got := h.g.endpoints.byID[s.Server].health.slowness; got != slownessBefore {
		t.Errorf("a response delayed by a stall changed the server's slowness from %v to %v",
			slownessBefore, got)
	}
	for _, left := range []time.Duration{900 * ms, 1100 * ms, 1900 * ms} {
		acts := h.handle(Request{ID: left.String(), Class: "get", Plan: "wide", Customer: "c", Units: 1,
			Deadline: h.now + left, GatewayCount: 3})
		if sent, want := len(actionsOf[Send](acts)), boolToInt(left > time.Second); sent != want ||
			len(actionsOf[Reject](acts)) != 1-want {
			t.Errorf("%v of 2 s left: forwarded %d times, want %d, and one rejection if not forwarded: %v",
				left, sent, want, acts)
		}
	}
}
