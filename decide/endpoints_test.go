package decide

import (
	"fmt"
	"testing"
)

// Servers that are draining, removed, or missing from a full list must not receive attempts. A failed
// discovery must not remove any server, or an outage of discovery would stop all traffic.
func TestDrainingServers(t *testing.T) {
	h := newHarness(t, nil)
	h.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: "s1", State: Draining}}})
	h.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: "s2", State: Removed}}})
	for i := 0; i < 8; i++ {
		if _, s := h.mustSend("get", "wide"); s.Server != "s3" {
			t.Fatalf("sent to %s, want s3", s.Server)
		}
		h.endAttempt(fmt.Sprint("q", h.requestCount), 0, "s3", OutcomeOK)
	}
	h.handle(EndpointUpdate{Kind: FullUpdate, Servers: []Server{{ID: "s2"}}})
	if _, s := h.mustSend("get", "wide"); s.Server != "s2" {
		t.Errorf("sent to %s, which the full list does not contain, want s2", s.Server)
	}
	h.handle(EndpointUpdate{Kind: FailedUpdate})
	if _, acts := h.request("get", "wide", "c", 1); len(actionsOf[Send](acts)) != 1 {
		t.Errorf("request not forwarded after a failed discovery: %#v", acts)
	}
}

// Deployments that replace servers by servers with new names would accumulate removed servers without bound
// if these were not dropped. A server with an attempt in flight must be kept until the attempt has ended.
func TestRemovedServersAreDropped(t *testing.T) {
	h := newHarness(t, nil)
	id, s := h.mustSend("get", "wide")
	for i := range 1000 {
		h.now += 100 * ms
		h.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: fmt.Sprint("new", i), Zone: "a"},
			{ID: fmt.Sprint("new", i-1), State: Removed},
			{ID: "s1", State: Removed}, {ID: "s2", State: Removed}, {ID: "s3", State: Removed}}})
		h.handle(TimerFired{heartbeatToken})
	}
	if n := len(h.g.endpoints.sorted); n != 2 || len(h.g.endpoints.byID) != 2 ||
		len(h.g.endpoints.byShortID) != 2 {
		t.Errorf("%d servers are kept, want 2: the listed one and the one with an attempt in flight", n)
	}
	h.endAttempt(id, 0, s.Server, OutcomeOK)
	h.handle(TimerFired{heartbeatToken})
	if n := len(h.g.endpoints.sorted); n != 1 {
		t.Errorf("%d servers are kept, want 1", n)
	}
}
