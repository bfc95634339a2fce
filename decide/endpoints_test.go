package decide

import (
	"fmt"
	"testing"
)

func TestDrains(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: "s1", State: Draining}}})
	r.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: "s2", State: Removed}}})
	for i := 0; i < 8; i++ {
		if _, s := r.mustSend("get", "wide"); s.Server != "s3" {
			t.Fatalf("sent to %s, want s3", s.Server)
		}
		r.endAttempt(fmt.Sprint("q", r.n), 0, "s3", OutcomeOK)
	}
	r.handle(EndpointUpdate{Kind: FullUpdate, Servers: []Server{{ID: "s2"}}})
	if _, s := r.mustSend("get", "wide"); s.Server != "s2" {
		t.Errorf("sent to %s, which a full list left out, want s2", s.Server)
	}
	r.handle(EndpointUpdate{Kind: FailedUpdate})
	if _, acts := r.request("get", "wide", "c", 1); len(actionsOf[Send](acts)) != 1 {
		t.Errorf("a failed list call lost the former list: %#v", acts)
	}
}

// On a day on which all servers are replaced again and again nothing of those that have gone stays.
func TestServersThatHaveGoneAreForgotten(t *testing.T) {
	r := newHarness(t, nil)
	id, s := r.mustSend("get", "wide")
	for i := range 1000 {
		r.now += 100 * ms
		r.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: fmt.Sprint("new", i), Zone: "a"}, {ID: fmt.Sprint("new", i-1), State: Removed},
			{ID: "s1", State: Removed}, {ID: "s2", State: Removed}, {ID: "s3", State: Removed}}})
		r.handle(TimerFired{heartbeatToken})
	}
	if n := len(r.g.endpoints.sorted); n != 2 || len(r.g.endpoints.byID) != 2 || len(r.g.endpoints.byShortID) != 2 {
		t.Errorf("%d servers are kept, want the one that is listed and the one that still holds an attempt", n)
	}
	r.endAttempt(id, 0, s.Server, OutcomeOK)
	r.handle(TimerFired{heartbeatToken})
	if n := len(r.g.endpoints.sorted); n != 1 {
		t.Errorf("%d servers are kept, want 1", n)
	}
}
