package http

import (
	"testing"
	"time"

	"winghatch/decide"
)

const (
	slowStart = 14 * time.Second
	now       = 24 * time.Hour
	bootMS    = int64(1_764_000_000_000)
)

// starts are when servers started, relative to bootMS; 0 stands for long ago.
type starts map[string]time.Duration

// list is a list of ready servers with these starts.
func (b starts) list(full bool) *List {
	l := &List{Rev: 1, Full: full}
	for _, uid := range []string{"a", "b", "c", "d", "e"} {
		at, ok := b[uid]
		if !ok {
			continue
		}
		target := Target{UID: uid, State: "ready"}
		if at != 0 {
			target.BootMS = bootMS + at.Milliseconds()
		}
		l.Targets = append(l.Targets, target)
	}
	return l
}

// wallClockOff is a wall clock that differs from the servers' by so much.
func wallClockOff(off time.Duration) func() time.Time {
	return func() time.Time { return time.UnixMilli(bootMS).Add(off) }
}

// startsOf is when an update says that servers started.
func startsOf(u decide.EndpointUpdate) map[string]time.Duration {
	got := map[string]time.Duration{}
	for _, s := range u.Servers {
		got[s.ID] = s.StartedAt
	}
	return got
}

// A wall clock was stepped by an hour, and a new server got its full share of requests while cold, or none. A server
// that appears while the list is followed is no older than the last list before it, whatever any wall clock says, and
// keeps its start however often it is listed.
func TestStartsOfServersThatAppear(t *testing.T) {
	for _, wall := range []time.Duration{0, time.Hour, -time.Hour} {
		for _, boot := range []time.Duration{time.Second, time.Hour, -time.Hour} {
			s := NewStartTimes(slowStart, wallClockOff(wall))
			s.Update(starts{"a": 0, "b": 0}.list(true), decide.FullUpdate, now, 0)
			for _, again := range []time.Duration{0, time.Minute} {
				u := s.Update(starts{"c": boot}.list(false), decide.DeltaUpdate, now+10*time.Second+again, 2*time.Second)
				got := startsOf(u)["c"]
				if got < now+8*time.Second || got > now+10*time.Second {
					t.Errorf("wall off by %v, boot by %v: started %v after the first list, want 8 to 10 s", wall, boot, got-now)
				}
			}
			restarted := starts{"c": boot - time.Minute}.list(false)
			got := startsOf(s.Update(restarted, decide.DeltaUpdate, now+40*time.Second, 2*time.Second))["c"]
			if got < now+38*time.Second {
				t.Errorf("wall off by %v, boot by %v: a new start is told as %v, want 38 s", wall, boot, got-now)
			}
		}
	}
}

// Servers that started during an outage of discovery are older than the newest one by the difference of their
// boot_ms.
func TestStartsAfterAnOutage(t *testing.T) {
	s := NewStartTimes(slowStart, wallClockOff(time.Hour))
	s.Update(starts{"a": 0}.list(true), decide.FullUpdate, now, 0)
	at := now + time.Minute
	list := starts{"a": 0, "b": 30 * time.Second, "c": 50 * time.Second, "d": -time.Hour}.list(true)
	got := startsOf(s.Update(list, decide.FullUpdate, at, 40*time.Second))
	if got["a"] != 0 || got["b"] != at-20*time.Second || got["c"] != at || got["d"] != at-40*time.Second {
		t.Errorf("starts %v, want a long ago, b 20 s, c now, d no more than the outage's 40 s", got)
	}
}

// In the first list the newest start is taken for now; where that would put most servers into slow start, the wall
// clock decides, but none starts in the future.
func TestStartsOfTheFirstList(t *testing.T) {
	for _, c := range []struct {
		name string
		wall time.Duration
		boot starts
		want starts // before now
	}{
		{"few are young, clock ahead", time.Hour,
			starts{"a": 0, "b": 0, "c": -time.Hour, "d": -5 * time.Second, "e": -time.Second},
			starts{"c": time.Hour - time.Second, "d": 4 * time.Second, "e": 0}},
		{"few are young, clock behind", -time.Hour,
			starts{"a": 0, "b": 0, "c": -time.Second},
			starts{"c": 0}},
		{"all are old", 0,
			starts{"a": -10 * time.Minute, "b": -10*time.Minute - time.Second},
			starts{"a": 10 * time.Minute, "b": 10*time.Minute + time.Second}},
		{"all are young", 0,
			starts{"a": -time.Second, "b": -2 * time.Second},
			starts{"a": time.Second, "b": 2 * time.Second}},
		{"all, clock behind", -time.Hour,
			starts{"a": -time.Second, "b": -2 * time.Second},
			starts{"a": 0, "b": time.Second}},
	} {
		got := startsOf(NewStartTimes(slowStart, wallClockOff(c.wall)).Update(c.boot.list(true), decide.FullUpdate, now, 0))
		for uid, want := range c.want {
			if got[uid] != now-want {
				t.Errorf("%s: %s started %v before now, want %v", c.name, uid, now-got[uid], want)
			}
		}
	}
}

// The list of the configuration may be old. The first list from discovery makes its servers older, never younger.
func TestStartsOfTheListLastHeld(t *testing.T) {
	s := NewStartTimes(slowStart, wallClockOff(0))
	s.Update(starts{"a": 0, "b": 0, "c": -time.Minute}.list(true), decide.StaleUpdate, now, 0)
	list := starts{"a": 0, "b": 0, "c": -time.Minute, "d": -time.Second}.list(true)
	got := startsOf(s.Update(list, decide.FullUpdate, now+time.Second, 0))
	if got["c"] != now+time.Second-59*time.Second || got["d"] != now+time.Second {
		t.Errorf("c %v and d %v before the first list, want 59 s and 0", now+time.Second-got["c"], now+time.Second-got["d"])
	}
}

// Servers that are replaced all day must be forgotten, or memory grows; one that comes back soon did not start anew.
func TestStartsAreForgotten(t *testing.T) {
	s := NewStartTimes(slowStart, wallClockOff(0))
	s.Update(starts{"a": 0, "b": -time.Hour, "c": -time.Hour}.list(true), decide.FullUpdate, now, 0)
	had := s.servers["b"].at
	s.Update(starts{"a": 0, "c": -time.Hour}.list(true), decide.FullUpdate, now+time.Minute, time.Second)
	u := s.Update(starts{"b": -time.Hour}.list(false), decide.DeltaUpdate, now+2*time.Minute, time.Second)
	if got := startsOf(u)["b"]; got != had {
		t.Errorf("one that came back started %v, want %v", got, had)
	}
	s.Update(&List{Targets: []Target{{UID: "b", State: "gone"}}}, decide.DeltaUpdate, now+3*time.Minute, time.Second)
	s.Update(&List{}, decide.DeltaUpdate, now+14*time.Minute, time.Second)
	if len(s.servers) != 2 {
		t.Errorf("%d are kept, want 2", len(s.servers))
	}
}
