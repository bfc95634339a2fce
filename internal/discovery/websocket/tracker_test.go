package websocket

import (
	"errors"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
)

func endpoint(addr, state string, started int64) Endpoint {
	return Endpoint{Address: addr, State: state, StartedMs: started}
}

// TestBook applies updates in and out of order: a change needs the version before it, and only the first full list of a
// connection may go back.
func TestBook(t *testing.T) {
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
		{"a change before any list", false, false, 3, []Endpoint{a}, errVersionGap, 0},
		{"the full list", true, true, 3, []Endpoint{a, c}, nil, decide.FullUpdate},
		{"a change", false, false, 4, []Endpoint{endpoint("10.0.0.1:1", "draining", 0)}, nil, decide.DeltaUpdate},
		{"the same again", false, false, 4, []Endpoint{a}, errStaleVersion, 0},
		{"an older one", false, false, 2, []Endpoint{a}, errStaleVersion, 0},
		{"a gap", false, false, 6, []Endpoint{a}, errVersionGap, 0},
		{"an older full list", true, false, 3, nil, errStaleVersion, 0},
		{"a newer full list", true, false, 9, []Endpoint{c}, nil, decide.FullUpdate},
		{"a service that restarted", true, true, 1, []Endpoint{c}, nil, decide.FullUpdate},
		{"a change of it", false, false, 2, []Endpoint{a}, nil, decide.DeltaUpdate},
	}
	for _, s := range steps {
		u := &Update{Version: s.version, NowMs: 8000, Endpoints: s.endpoints}
		event, err := tracker.apply(time.Hour, s.full, s.first, u)
		if !errors.Is(err, s.err) || err == nil && event.Kind != s.kind {
			t.Errorf("%s: %v, %v", s.name, event, err)
		}
	}
}

// TestStarts repeats one start of a server while the service's clock runs on. It stays one start: a start that moved
// would put a warm server into slow start again.
func TestStarts(t *testing.T) {
	tracker := newTracker()
	apply := func(now time.Duration, serviceNow, started int64, version uint64) time.Duration {
		t.Helper()
		endpoints := []Endpoint{endpoint("h:1", "serving", started)}
		event, err := tracker.apply(now, true, false, &Update{Version: version, NowMs: serviceNow, Endpoints: endpoints})
		if err != nil {
			t.Fatal(err)
		}
		return event.Servers[0].StartedAt
	}
	at := apply(time.Hour, 8000, 5000, 1)
	if at != time.Hour-3*time.Second {
		t.Errorf("started at %v", at)
	}
	if again := apply(time.Hour+time.Second, 9100, 5000, 2); again != at {
		t.Errorf("repeated, the start moved from %v to %v", at, again)
	}
	if later := apply(time.Hour+2*time.Second, 10000, 9900, 3); later != time.Hour+1900*time.Millisecond {
		t.Errorf("a new start is at %v", later)
	}
	// A service whose clock stepped back does not report a start in the future.
	if ahead := apply(time.Hour+3*time.Second, 100, 20000, 4); ahead != time.Hour+3*time.Second {
		t.Errorf("a start ahead of the service's clock is at %v", ahead)
	}
}

// TestCheck applies updates that Validate refuses; none of them changes the tracker.
func TestCheck(t *testing.T) {
	for want, u := range map[string]Update{
		"nodes[0].node: \"x\"":   {Endpoints: []Endpoint{endpoint("x", "serving", 0)}},
		"nodes[0].state: \"up\"": {Endpoints: []Endpoint{endpoint("h:1", "up", 0)}},
		"comes twice":            {Endpoints: []Endpoint{endpoint("h:1", "serving", 0), endpoint("h:1", "gone", 0)}},
	} {
		tracker := newTracker()
		if _, err := tracker.apply(0, true, true, &u); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
		if tracker.known {
			t.Error("an invalid list was applied")
		}
	}
}

// TestForget lists many servers that come and go: the tracker holds no more than the list.
func TestForget(t *testing.T) {
	tracker := newTracker()
	for v := range uint64(100) {
		address := "h:" + string(rune('a'+v%26))
		u := Update{Version: v, NowMs: 8000, Endpoints: []Endpoint{endpoint(address, "serving", int64(v+1))}}
		if _, err := tracker.apply(time.Hour, true, true, &u); err != nil {
			t.Fatal(err)
		}
	}
	if len(tracker.starts) != 1 || len(tracker.endpoints) != 1 {
		t.Errorf("%d starts, %d endpoints", len(tracker.starts), len(tracker.endpoints))
	}
}
