package websocket

import (
	"errors"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
)

// endpoint returns an endpoint; started is its StartedMs.
func endpoint(addr, state string, started int64) Endpoint {
	return Endpoint{Address: addr, State: state, StartedMs: started}
}

// TestUpdatesAreAppliedInOrder guards against updates that are applied out of order, which would bring back
// an old state of a server or miss a change. A change needs the version directly before it, and only the
// first complete list on a connection may have a lower version.
func TestUpdatesAreAppliedInOrder(t *testing.T) {
	tracker := newTracker()
	a, c := endpoint("10.0.0.1:1", "serving", 0), endpoint("10.0.0.2:1", "serving", 5000)
	steps := []struct {
		name        string
		full, first bool
		version     uint64
		endpoints   []Endpoint
		err         error
		kind        decide.UpdateKind
	}{
		{"change before any list", false, false, 3, []Endpoint{a}, errVersionGap, 0},
		{"first full list", true, true, 3, []Endpoint{a, c}, nil, decide.FullUpdate},
		{"change", false, false, 4, []Endpoint{endpoint("10.0.0.1:1", "draining", 0)}, nil,
			decide.DeltaUpdate},
		{"repeated change", false, false, 4, []Endpoint{a}, errStaleVersion, 0},
		{"older change", false, false, 2, []Endpoint{a}, errStaleVersion, 0},
		{"change after a gap", false, false, 6, []Endpoint{a}, errVersionGap, 0},
		{"older full list", true, false, 3, nil, errStaleVersion, 0},
		{"newer full list", true, false, 9, []Endpoint{c}, nil, decide.FullUpdate},
		{"full list after a restart", true, true, 1, []Endpoint{c}, nil, decide.FullUpdate},
		{"change after the restart", false, false, 2, []Endpoint{a}, nil, decide.DeltaUpdate},
	}
	for _, s := range steps {
		u := &Update{Version: s.version, NowMs: 8000, Endpoints: s.endpoints}
		event, err := tracker.apply(time.Hour, s.full, s.first, u)
		if !errors.Is(err, s.err) || err == nil && event.Kind != s.kind {
			t.Errorf("%s: event %v, error %v", s.name, event, err)
		}
	}
}

// TestRepeatedStartIsStable guards against a start time that moves when the service repeats it while its
// clock advances: a warm server would go through slow start again.
func TestRepeatedStartIsStable(t *testing.T) {
	tracker := newTracker()
	apply := func(now time.Duration, serviceNow, started int64, version uint64) time.Duration {
		t.Helper()
		endpoints := []Endpoint{endpoint("h:1", "serving", started)}
		event, err := tracker.apply(now, true, false,
			&Update{Version: version, NowMs: serviceNow, Endpoints: endpoints})
		if err != nil {
			t.Fatal(err)
		}
		return event.Servers[0].StartedAt
	}
	at := apply(time.Hour, 8000, 5000, 1)
	if at != time.Hour-3*time.Second {
		t.Errorf("start at %v, want 3 s before the update", at)
	}
	if again := apply(time.Hour+time.Second, 9100, 5000, 2); again != at {
		t.Errorf("the start moved from %v to %v when it was repeated", at, again)
	}
	if later := apply(time.Hour+2*time.Second, 10000, 9900, 3); later != time.Hour+1900*time.Millisecond {
		t.Errorf("start after a restart at %v, want 100 ms before the update", later)
	}
	// After the service's clock was set back, the start is not in the future.
	if ahead := apply(time.Hour+3*time.Second, 100, 20000, 4); ahead != time.Hour+3*time.Second {
		t.Errorf("start ahead of the service's clock at %v, want the time of the update", ahead)
	}
}

// TestInvalidUpdateIsRejected guards against an invalid update that is applied in part. The error names the
// field, and the tracker is unchanged.
func TestInvalidUpdateIsRejected(t *testing.T) {
	for want, u := range map[string]Update{
		"nodes[0].node: \"x\"":   {Endpoints: []Endpoint{endpoint("x", "serving", 0)}},
		"nodes[0].state: \"up\"": {Endpoints: []Endpoint{endpoint("h:1", "up", 0)}},
		"occurs more than once": {Endpoints: []Endpoint{
			endpoint("h:1", "serving", 0), endpoint("h:1", "gone", 0)}},
	} {
		tracker := newTracker()
		if _, err := tracker.apply(0, true, true, &u); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that contains %q", err, want)
		}
		if tracker.synced {
			t.Error("an invalid update was applied")
		}
	}
}

// TestMemoryIsLimitedByList guards against memory that grows when servers are replaced again and again. The
// tracker must not hold more servers than the list.
func TestMemoryIsLimitedByList(t *testing.T) {
	tracker := newTracker()
	for version := range uint64(100) {
		address := "h:" + string(rune('a'+version%26))
		u := Update{Version: version, NowMs: 8000,
			Endpoints: []Endpoint{endpoint(address, "serving", int64(version+1))}}
		if _, err := tracker.apply(time.Hour, true, true, &u); err != nil {
			t.Fatal(err)
		}
	}
	if len(tracker.starts) != 1 || len(tracker.endpoints) != 1 {
		t.Errorf("%d start times and %d endpoints, want 1 and 1", len(tracker.starts), len(tracker.endpoints))
	}
}
