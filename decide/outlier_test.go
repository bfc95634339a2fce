package decide

import (
	"fmt"
	"testing"
	"time"
)

func TestOutlierEjection(t *testing.T) {
	r := newHarness(t, nil)
	fails := 0
	for i := 0; i < 200; i++ {
		id, s := r.mustSend("get", "wide")
		r.now += 20 * ms
		if s.Server != "s1" {
			r.endAttempt(id, 0, s.Server, OutcomeOK)
			continue
		}
		fails++
		for _, m := range actionsOf[Send](r.endAttempt(id, 0, "s1", OutcomeError)) {
			r.endAttempt(id, 1, m.Server, OutcomeOK)
		}
	}
	if fails > 12 {
		t.Errorf("%d of 200 went to a server that fails all, quickly", fails)
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
			all.endAttempt(fmt.Sprint("q", all.n), 0, actionsOf[Send](acts)[0].Server, OutcomeError)
		}
	}
	if len(got) < 3 {
		t.Errorf("only %v get requests for a fault that all servers share", got)
	}
}

func TestSilentServerIsLeft(t *testing.T) {
	r := newHarness(t, nil)
	lost := 0
	for i := 0; i < 200; i++ {
		id, s := r.mustSend("get", "wide")
		r.now += 30 * ms
		if s.Server != "s1" {
			r.endAttempt(id, 0, s.Server, OutcomeOK)
		} else {
			lost++
		}
		for token, target := range r.g.timers.pending {
			if a := r.g.findAttempt(target.requestID, target.attempt); a != nil && r.now > a.sentAt+time.Second {
				r.handle(TimerFired{token})
			}
		}
	}
	if lost > 40 {
		t.Errorf("%d of 200 went to a server that never answers", lost)
	}
}

func TestSlownessFades(t *testing.T) {
	r := newHarness(t, nil)
	s := r.g.endpoints.sorted[0]
	for i := 0; i < 10; i++ {
		r.g.observeOwn(s, r.g.classes.byName["get"], 3*time.Second, false)
	}
	slow := r.g.slowness(s)
	r.now += time.Minute
	r.handle(TimerFired{heartbeatToken})
	if got := r.g.slowness(s); slow < 1.3 || got > 1.1 {
		t.Errorf("slowness went from %v to %v in a minute without answers, want it to fade to about 1", slow, got)
	}
}

// TestClassFailureIsAvoided: told that a server leaves one class, a gateway sends it the others only.
func TestClassFailureIsAvoided(t *testing.T) {
	r := newHarness(t, nil)
	for i := 0; i < 8; i++ {
		r.g.observe(r.g.endpoints.byID["s1"], r.g.classes.byName["pay"], 5, true)
	}
	got := map[string]int{}
	for i := 0; i < 30; i++ {
		for _, class := range []string{"pay", "get"} {
			id, s := r.mustSend(class, "wide")
			got[class+s.Server]++
			r.endAttempt(id, 0, s.Server, OutcomeOK)
		}
	}
	if got["pays1"] > 0 {
		t.Errorf("sent %d of a class to a server that leaves it: %v", got["pays1"], got)
	}
}
