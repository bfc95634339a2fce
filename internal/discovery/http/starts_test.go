package http

import (
	"testing"
	"time"

	"winghatch/decide"
)

const (
	coldFor = 14 * time.Second
	now     = 24 * time.Hour
	bootMS  = int64(1_764_000_000_000)
)

func boots(all bool, boot map[string]time.Duration) *List {
	l := &List{Rev: 1, Full: all}
	for _, uid := range []string{"a", "b", "c", "d", "e"} {
		switch at, ok := boot[uid]; {
		case ok && at == 0:
			l.Targets = append(l.Targets, Target{UID: uid, State: "ready"})
		case ok:
			l.Targets = append(l.Targets, Target{UID: uid, State: "ready", BootMS: bootMS + at.Milliseconds()})
		}
	}
	return l
}

// wallOff is a wall clock that differs so much from the one that boots are told in.
func wallOff(off time.Duration) func() time.Time {
	return func() time.Time { return time.UnixMilli(bootMS).Add(off) }
}

func startsOf(u decide.EndpointUpdate) map[string]time.Duration {
	got := map[string]time.Duration{}
	for _, s := range u.Servers {
		got[s.ID] = s.StartedAt
	}
	return got
}

// What appears while the list is followed is no older than what was heard before, whatever any wall clock says, and keeps
// its start however often it is told.
func TestStartsOfServersThatAppear(t *testing.T) {
	for _, wall := range []time.Duration{0, time.Hour, -time.Hour} {
		for _, boot := range []time.Duration{time.Second, time.Hour, -time.Hour} {
			s := NewStartTimes(coldFor, wallOff(wall))
			s.Update(boots(true, map[string]time.Duration{"a": 0, "b": 0}), decide.FullUpdate, now, 0)
			for _, again := range []time.Duration{0, time.Minute} {
				got := startsOf(s.Update(boots(false, map[string]time.Duration{"c": boot}), decide.DeltaUpdate, now+10*time.Second+again, 2*time.Second))["c"]
				if got < now+8*time.Second || got > now+10*time.Second {
					t.Errorf("wall off by %v, boot by %v: started %v after the first list, want 8 to 10 s", wall, boot, got-now)
				}
			}
			if got := startsOf(s.Update(boots(false, map[string]time.Duration{"c": boot - time.Minute}), decide.DeltaUpdate, now+40*time.Second, 2*time.Second))["c"]; got < now+38*time.Second {
				t.Errorf("wall off by %v, boot by %v: a new start is told as %v, want 38 s", wall, boot, got-now)
			}
		}
	}
}

// After an outage of discovery servers that started meanwhile are as old as they are older than the newest.
func TestStartsAfterAnOutage(t *testing.T) {
	s := NewStartTimes(coldFor, wallOff(time.Hour))
	s.Update(boots(true, map[string]time.Duration{"a": 0}), decide.FullUpdate, now, 0)
	at := now + time.Minute
	got := startsOf(s.Update(boots(true, map[string]time.Duration{"a": 0, "b": 30 * time.Second, "c": 50 * time.Second, "d": -time.Hour}), decide.FullUpdate, at, 40*time.Second))
	if got["a"] != 0 || got["b"] != at-20*time.Second || got["c"] != at || got["d"] != at-40*time.Second {
		t.Errorf("starts %v, want a long ago, b 20 s, c now, d no more than the outage's 40 s", got)
	}
}

// In the first list the newest start is taken for now; where that would make most servers cold, the wall clock decides, but
// none starts in the future.
func TestStartsOfTheFirstList(t *testing.T) {
	for _, c := range []struct {
		name string
		wall time.Duration
		boot map[string]time.Duration
		want map[string]time.Duration // before now
	}{
		{"few are young, clock ahead", time.Hour, map[string]time.Duration{"a": 0, "b": 0, "c": -time.Hour, "d": -5 * time.Second, "e": -time.Second},
			map[string]time.Duration{"c": time.Hour - time.Second, "d": 4 * time.Second, "e": 0}},
		{"few are young, clock behind", -time.Hour, map[string]time.Duration{"a": 0, "b": 0, "c": -time.Second}, map[string]time.Duration{"c": 0}},
		{"all are old", 0, map[string]time.Duration{"a": -10 * time.Minute, "b": -10*time.Minute - time.Second}, map[string]time.Duration{"a": 10 * time.Minute, "b": 10*time.Minute + time.Second}},
		{"all are young", 0, map[string]time.Duration{"a": -time.Second, "b": -2 * time.Second}, map[string]time.Duration{"a": time.Second, "b": 2 * time.Second}},
		{"all, clock behind", -time.Hour, map[string]time.Duration{"a": -time.Second, "b": -2 * time.Second}, map[string]time.Duration{"a": 0, "b": time.Second}},
	} {
		got := startsOf(NewStartTimes(coldFor, wallOff(c.wall)).Update(boots(true, c.boot), decide.FullUpdate, now, 0))
		for uid, want := range c.want {
			if got[uid] != now-want {
				t.Errorf("%s: %s started %v before now, want %v", c.name, uid, now-got[uid], want)
			}
		}
	}
}

// The list that a process was started with may be old: the first one heard makes its servers older, never younger.
func TestStartsOfTheListLastHeld(t *testing.T) {
	s := NewStartTimes(coldFor, wallOff(0))
	s.Update(boots(true, map[string]time.Duration{"a": 0, "b": 0, "c": -time.Minute}), decide.StaleUpdate, now, 0)
	got := startsOf(s.Update(boots(true, map[string]time.Duration{"a": 0, "b": 0, "c": -time.Minute, "d": -time.Second}), decide.FullUpdate, now+time.Second, 0))
	if got["c"] != now+time.Second-59*time.Second || got["d"] != now+time.Second {
		t.Errorf("c %v and d %v before the first list, want 59 s and 0", now+time.Second-got["c"], now+time.Second-got["d"])
	}
}

// Servers that are replaced all day are forgotten, and one that comes back soon did not start anew.
func TestStartsAreForgotten(t *testing.T) {
	s := NewStartTimes(coldFor, wallOff(0))
	s.Update(boots(true, map[string]time.Duration{"a": 0, "b": -time.Hour, "c": -time.Hour}), decide.FullUpdate, now, 0)
	had := s.servers["b"].at
	s.Update(boots(true, map[string]time.Duration{"a": 0, "c": -time.Hour}), decide.FullUpdate, now+time.Minute, time.Second)
	if got := startsOf(s.Update(boots(false, map[string]time.Duration{"b": -time.Hour}), decide.DeltaUpdate, now+2*time.Minute, time.Second))["b"]; got != had {
		t.Errorf("one that came back started %v, want %v", got, had)
	}
	s.Update(&List{Targets: []Target{{UID: "b", State: "gone"}}}, decide.DeltaUpdate, now+3*time.Minute, time.Second)
	s.Update(&List{}, decide.DeltaUpdate, now+14*time.Minute, time.Second)
	if len(s.servers) != 2 {
		t.Errorf("%d are kept, want 2", len(s.servers))
	}
}
