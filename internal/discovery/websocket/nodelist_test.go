package websocket

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
)

func entry(addr, state string, started int64) Endpoint {
	return Endpoint{Address: addr, State: state, StartedMs: started}
}

func TestBook(t *testing.T) {
	b := NewTracker()
	a, c := entry("10.0.0.1:1", "serving", 0), entry("10.0.0.2:1", "serving", 5000)
	steps := []struct {
		name        string
		full, fresh bool
		version     uint64
		nodes       []Endpoint
		err         error
		kind        decide.UpdateKind
	}{
		{"a change before any list", false, false, 3, []Endpoint{a}, ErrVersionGap, 0},
		{"the whole", true, true, 3, []Endpoint{a, c}, nil, decide.FullUpdate},
		{"a change", false, false, 4, []Endpoint{entry("10.0.0.1:1", "draining", 0)}, nil, decide.DeltaUpdate},
		{"the same again", false, false, 4, []Endpoint{a}, ErrStaleVersion, 0},
		{"an older one", false, false, 2, []Endpoint{a}, ErrStaleVersion, 0},
		{"a gap", false, false, 6, []Endpoint{a}, ErrVersionGap, 0},
		{"an older whole", true, false, 3, nil, ErrStaleVersion, 0},
		{"a newer whole", true, false, 9, []Endpoint{c}, nil, decide.FullUpdate},
		{"a list that began anew", true, true, 1, []Endpoint{c}, nil, decide.FullUpdate},
		{"a change of it", false, false, 2, []Endpoint{a}, nil, decide.DeltaUpdate},
	}
	for _, s := range steps {
		ev, err := b.Apply(time.Hour, s.full, s.fresh, &Update{Version: s.version, NowMs: 8000, Endpoints: s.nodes})
		if !errors.Is(err, s.err) || err == nil && ev.Kind != s.kind {
			t.Errorf("%s: %v, %v", s.name, ev, err)
		}
	}
}

// TestStarts tells one start many times, with the list's clock running on: it stays one start.
func TestStarts(t *testing.T) {
	b := NewTracker()
	first := func(now time.Duration, listNow, started int64, version uint64) time.Duration {
		ev, err := b.Apply(now, true, false, &Update{Version: version, NowMs: listNow, Endpoints: []Endpoint{entry("h:1", "serving", started)}})
		if err != nil {
			t.Fatal(err)
		}
		return ev.Servers[0].StartedAt
	}
	at := first(time.Hour, 8000, 5000, 1)
	if at != time.Hour-3*time.Second {
		t.Errorf("started at %v", at)
	}
	if again := first(time.Hour+time.Second, 9100, 5000, 2); again != at {
		t.Errorf("told again, the start moved from %v to %v", at, again)
	}
	if later := first(time.Hour+2*time.Second, 10000, 9900, 3); later != time.Hour+1900*time.Millisecond {
		t.Errorf("a new start is at %v", later)
	}
	// A list whose clock stepped back never tells of a start to come.
	if ahead := first(time.Hour+3*time.Second, 100, 20000, 4); ahead != time.Hour+3*time.Second {
		t.Errorf("a start ahead of the list's clock is at %v", ahead)
	}
}

func TestCheck(t *testing.T) {
	for want, u := range map[string]Update{
		"nodes[0].node: \"x\"":   {Endpoints: []Endpoint{entry("x", "serving", 0)}},
		"nodes[0].state: \"up\"": {Endpoints: []Endpoint{entry("h:1", "up", 0)}},
		"comes twice":            {Endpoints: []Endpoint{entry("h:1", "serving", 0), entry("h:1", "gone", 0)}},
	} {
		b := NewTracker()
		if _, err := b.Apply(0, true, true, &u); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
		if b.known {
			t.Error("a wrong list was taken")
		}
	}
}

func TestKept(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list.json")
	u := Update{Version: 7, Endpoints: []Endpoint{entry("h:1", "serving", 3)}}
	if err := SaveList(file, u); err != nil {
		t.Fatal(err)
	}
	if back, err := LoadList(file); err != nil || back.Version != 7 || back.Endpoints[0] != u.Endpoints[0] {
		t.Errorf("%+v, %v", back, err)
	}
	raw, _ := os.ReadFile(file)
	os.WriteFile(file, raw[:len(raw)/2], 0o600)
	if _, err := LoadList(file); err == nil {
		t.Error("a torn file was taken")
	}
	if err := SaveList(filepath.Join(file, "no", "folder"), u); err == nil {
		t.Error("a list was kept nowhere")
	}
}

// TestForget tells of many nodes that come and go: the book holds no more than the list.
func TestForget(t *testing.T) {
	b := NewTracker()
	for v := range uint64(100) {
		u := Update{Version: v, NowMs: 8000, Endpoints: []Endpoint{entry("h:"+string(rune('a'+v%26)), "serving", int64(v+1))}}
		if _, err := b.Apply(time.Hour, true, true, &u); err != nil {
			t.Fatal(err)
		}
	}
	if len(b.starts) != 1 || len(b.endpoints) != 1 {
		t.Errorf("%d starts, %d nodes", len(b.starts), len(b.endpoints))
	}
}
