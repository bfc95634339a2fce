package decide

import (
	"fmt"
	"testing"
	"time"
)

// A server that quickly answers each request with an error has a low latency. It must be ejected, or it
// would attract most of the traffic. A fault that all servers share must eject none of them, or the
// remaining ones would be overloaded.
func TestOutlierEjection(t *testing.T) {
	h := newHarness(t, nil)
	failures := 0
	for i := 0; i < 200; i++ {
		id, s := h.mustSend("get", "wide")
		h.now += 20 * ms
		if s.Server != "s1" {
			h.endAttempt(id, 0, s.Server, OutcomeOK)
			continue
		}
		failures++
		for _, m := range actionsOf[Send](h.endAttempt(id, 0, "s1", OutcomeError)) {
			h.endAttempt(id, 1, m.Server, OutcomeOK)
		}
	}
	if failures > 12 {
		t.Errorf("%d of 200 requests sent to a server that fails every request, want at most 12", failures)
	}
	all := newHarness(t, nil)
	for i := 0; i < 100; i++ {
		id, acts := all.request("pay", "wide", "c", 1)
		all.now += 20 * ms
		if s := actionsOf[Send](acts); len(s) == 1 {
			all.endAttempt(id, 0, s[0].Server, OutcomeError)
		}
	}
	got := map[string]bool{}
	for i := 0; i < 60; i++ {
		if _, acts := all.request("pay", "wide", "c", 1); len(actionsOf[Send](acts)) == 1 {
			got[actionsOf[Send](acts)[0].Server] = true
			all.endAttempt(fmt.Sprint("q", all.requestCount), 0, actionsOf[Send](acts)[0].Server,
				OutcomeError)
		}
	}
	if len(got) < 3 {
		t.Errorf("only servers %v receive requests despite a fault that all three share", got)
	}
}

// A server that never responds produces no outcome until its attempts time out. Its overdue attempts must
// already count against it.
func TestSilentServerIsAvoided(t *testing.T) {
	h := newHarness(t, nil)
	sentToSilent := 0
	for i := 0; i < 200; i++ {
		id, s := h.mustSend("get", "wide")
		h.now += 30 * ms
		if s.Server != "s1" {
			h.endAttempt(id, 0, s.Server, OutcomeOK)
		} else {
			sentToSilent++
		}
		for token, target := range h.g.timers.pending {
			if a := h.g.findAttempt(target.requestID, target.attempt); a != nil &&
				h.now > a.sentAt+time.Second {
				h.handle(TimerFired{token})
			}
		}
	}
	if sentToSilent > 40 {
		t.Errorf("%d of 200 requests sent to a server that never responds, want at most 40", sentToSilent)
	}
}

// A server that is avoided because it was slow sends no responses that show its recovery. Its slowness must
// decay, or it would be avoided forever.
func TestSlownessDecays(t *testing.T) {
	h := newHarness(t, nil)
	s := h.g.endpoints.sorted[0]
	for i := 0; i < 10; i++ {
		h.g.observeOwn(s, h.g.classes.byName["get"], 3*time.Second, false)
	}
	slow := h.g.slowness(s)
	h.now += time.Minute
	h.handle(TimerFired{heartbeatToken})
	if got := h.g.slowness(s); slow < 1.3 || got > 1.1 {
		t.Errorf("slowness went from %v to %v in a minute, want from at least 1.3 to at most 1.1",
			slow, got)
	}
}

// A server may fail only one class, for example because a resource of this class is lost. It must receive
// no requests of this class, but all others.
func TestServerFailingOneClassIsAvoided(t *testing.T) {
	h := newHarness(t, nil)
	for i := 0; i < 8; i++ {
		h.g.observe(h.g.endpoints.byID["s1"], h.g.classes.byName["pay"], 5, true)
	}
	got := map[string]int{}
	for i := 0; i < 30; i++ {
		for _, class := range []string{"pay", "get"} {
			id, s := h.mustSend(class, "wide")
			got[class+s.Server]++
			h.endAttempt(id, 0, s.Server, OutcomeOK)
		}
	}
	if got["pays1"] > 0 {
		t.Errorf("%d requests sent to a server that fails their class, want none: %v", got["pays1"], got)
	}
}
