package http

import (
	"testing"
	"time"

	"winghatch/decide"
)

const (
	slowStart = 14 * time.Second
	now       = 24 * time.Hour           // on the gateway's clock
	bootMS    = int64(1_764_000_000_000) // on the servers' wall clocks at now
)

// starts holds the start times of servers by UID, relative to bootMS. 0 stands for long ago.
type starts map[string]time.Duration

// list returns a list of ready servers with these start times.
func (s starts) list(full bool) *List {
	l := &List{Rev: 1, Full: full}
	for _, uid := range []string{"a", "b", "c", "d", "e"} {
		at, ok := s[uid]
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

// wallClockOff returns a wall clock that differs from the wall clocks of the servers by the given time.
func wallClockOff(off time.Duration) func() time.Time {
	return func() time.Time { return time.UnixMilli(bootMS).Add(off) }
}

// startsOf returns the start times in an update by server ID.
func startsOf(u decide.EndpointUpdate) map[string]time.Duration {
	got := map[string]time.Duration{}
	for _, s := range u.Servers {
		got[s.ID] = s.StartedAt
	}
	return got
}

// Guards against wrong start times after a step of a wall clock: when one was stepped by an hour, a new
// server got its full share of requests while it was cold, or no requests. Whatever the wall clocks say, a
// server that appears while the list is followed is no older than the previous list, and it keeps its start
// time when it is listed again.
func TestStartTimeOfNewServer(t *testing.T) {
	for _, wall := range []time.Duration{0, time.Hour, -time.Hour} {
		for _, boot := range []time.Duration{time.Second, time.Hour, -time.Hour} {
			s := NewStartTimes(slowStart, wallClockOff(wall))
			s.Update(starts{"a": 0, "b": 0}.list(true), decide.FullUpdate, now, 0)
			for _, again := range []time.Duration{0, time.Minute} {
				u := s.Update(starts{"c": boot}.list(false), decide.DeltaUpdate,
					now+10*time.Second+again, 2*time.Second)
				got := startsOf(u)["c"]
				if got < now+8*time.Second || got > now+10*time.Second {
					t.Errorf("wall off by %v, boot by %v: start %v after the first list, want 8 to 10 s",
						wall, boot, got-now)
				}
			}
			restarted := starts{"c": boot - time.Minute}.list(false)
			got := startsOf(s.Update(restarted, decide.DeltaUpdate, now+40*time.Second, 2*time.Second))["c"]
			if got < now+38*time.Second {
				t.Errorf("wall off by %v, boot by %v: restart %v after the first list, want at least 38 s",
					wall, boot, got-now)
			}
		}
	}
}

// Guards against wrong start times of servers that started during an outage of discovery. They are older than
// the newest server by the difference of their boot_ms, but no older than the outage.
func TestStartTimesAfterOutage(t *testing.T) {
	s := NewStartTimes(slowStart, wallClockOff(time.Hour))
	s.Update(starts{"a": 0}.list(true), decide.FullUpdate, now, 0)
	at := now + time.Minute
	list := starts{"a": 0, "b": 30 * time.Second, "c": 50 * time.Second, "d": -time.Hour}.list(true)
	got := startsOf(s.Update(list, decide.FullUpdate, at, 40*time.Second))
	if got["a"] != 0 || got["b"] != at-20*time.Second || got["c"] != at || got["d"] != at-40*time.Second {
		t.Errorf("starts %v, want a long ago, b 20 s ago, c now, and d 40 s ago, when the outage began", got)
	}
}

// Guards against wrong start times in the first list. The most recent start is taken to be now. If that would
// put most servers into slow start, the wall clock is used, but no start is in the future.
func TestStartTimesOfFirstList(t *testing.T) {
	for _, c := range []struct {
		name string
		wall time.Duration
		boot starts
		want starts // time between the start and now
	}{
		{"few recent starts, clock ahead", time.Hour,
			starts{"a": 0, "b": 0, "c": -time.Hour, "d": -5 * time.Second, "e": -time.Second},
			starts{"c": time.Hour - time.Second, "d": 4 * time.Second, "e": 0}},
		{"few recent starts, clock behind", -time.Hour,
			starts{"a": 0, "b": 0, "c": -time.Second},
			starts{"c": 0}},
		{"no recent starts", 0,
			starts{"a": -10 * time.Minute, "b": -10*time.Minute - time.Second},
			starts{"a": 10 * time.Minute, "b": 10*time.Minute + time.Second}},
		{"only recent starts", 0,
			starts{"a": -time.Second, "b": -2 * time.Second},
			starts{"a": time.Second, "b": 2 * time.Second}},
		{"only recent starts, clock behind", -time.Hour,
			starts{"a": -time.Second, "b": -2 * time.Second},
			starts{"a": 0, "b": time.Second}},
	} {
		got := startsOf(NewStartTimes(slowStart, wallClockOff(c.wall)).
			Update(c.boot.list(true), decide.FullUpdate, now, 0))
		for uid, want := range c.want {
			if got[uid] != now-want {
				t.Errorf("%s: %s started %v before now, want %v", c.name, uid, now-got[uid], want)
			}
		}
	}
}

// Guards against a list in the configuration that makes servers look newly started. That list may be old, so
// the first list from discovery may move the start times of its servers back, but never forward.
func TestStartTimesOfConfiguredList(t *testing.T) {
	s := NewStartTimes(slowStart, wallClockOff(0))
	s.Update(starts{"a": 0, "b": 0, "c": -time.Minute}.list(true), decide.StaleUpdate, now, 0)
	list := starts{"a": 0, "b": 0, "c": -time.Minute, "d": -time.Second}.list(true)
	got := startsOf(s.Update(list, decide.FullUpdate, now+time.Second, 0))
	if got["c"] != now+time.Second-59*time.Second || got["d"] != now+time.Second {
		t.Errorf("c started %v and d %v before the first list from discovery, want 59 s and 0",
			now+time.Second-got["c"], now+time.Second-got["d"])
	}
}

// Guards against memory that grows with each replaced server, and against a server that looks restarted
// because it was missing from the list for a short time.
func TestStartTimesAreDroppedAfterRetention(t *testing.T) {
	s := NewStartTimes(slowStart, wallClockOff(0))
	s.Update(starts{"a": 0, "b": -time.Hour, "c": -time.Hour}.list(true), decide.FullUpdate, now, 0)
	before := s.servers["b"].at
	s.Update(starts{"a": 0, "c": -time.Hour}.list(true), decide.FullUpdate, now+time.Minute, time.Second)
	u := s.Update(starts{"b": -time.Hour}.list(false), decide.DeltaUpdate, now+2*time.Minute, time.Second)
	if got := startsOf(u)["b"]; got != before {
		t.Errorf("a server that returned to the list has the start %v, want %v", got, before)
	}
	s.Update(&List{Targets: []Target{{UID: "b", State: "gone"}}}, decide.DeltaUpdate,
		now+3*time.Minute, time.Second)
	s.Update(&List{}, decide.DeltaUpdate, now+14*time.Minute, time.Second)
	if len(s.servers) != 2 {
		t.Errorf("%d servers are remembered, want 2", len(s.servers))
	}
}
