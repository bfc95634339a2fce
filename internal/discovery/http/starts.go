package http

import (
	"time"

	"winghatch/decide"
)

// Starts tells when servers started, in the gateway's monotonic clock. Wall clocks may be stepped, this machine's and a
// server's alike, so boot_ms is compared with other servers' only, and a server that appears while the list is followed
// can't be older than what was heard of discovery before.
//
// In the first list the newest start is taken for this moment, as none can lie ahead: others are at least as old as they
// are older than it. Where that would put more than half of the servers into slow start, the list is of a fleet that
// started together, some time ago; then the wall clock decides.
type StartTimes struct {
	slowStart time.Duration
	wallClock func() time.Time
	offset    time.Duration // Unix time less the gateway's clock is this at least, as far as servers' clocks are right
	servers   map[string]serverStart
	following bool // a list was heard, beyond the one that the process was started with
	updates   uint64
	forgotAt  time.Duration
}

// start is what is known of a server's.
type serverStart struct {
	bootMS  int64 // as told
	at      time.Duration
	namedIn uint64        // the update that named it last
	goneAt  time.Duration // it left the list then; 0: it is on it
}

// startsKept is how long a server that left the list is remembered: one that comes back did not start anew.
const startRetention = 10 * time.Minute

// NewStarts returns an empty one. coldFor is how long servers are in slow start.
func NewStartTimes(coldFor time.Duration, wall func() time.Time) *StartTimes {
	return &StartTimes{slowStart: coldFor, wallClock: wall, servers: map[string]serverStart{}}
}

// Update is a list as the core is told it. gap is the time since discovery was last heard.
func (s *StartTimes) Update(l *List, kind decide.UpdateKind, now, gap time.Duration) decide.EndpointUpdate {
	first := !s.following
	if s.following = kind != decide.StaleUpdate; first {
		s.estimate(l, now)
		gap = now // any age is possible
	} else {
		s.observe(l, now)
	}
	s.updates++
	u := decide.EndpointUpdate{Kind: kind, Version: l.Rev, Servers: make([]decide.Server, 0, len(l.Targets))}
	for i := range l.Targets {
		e := &l.Targets[i]
		u.Servers = append(u.Servers, decide.Server{ID: e.UID, Zone: e.Zone, Cell: e.Cell, Kind: e.Model, State: serverStates[e.State],
			StartedAt: s.startedAt(e, first, now, now-gap), Weight: e.CapacityHint})
	}
	s.forget(kind != decide.DeltaUpdate, now)
	return u
}

// observe learns from a list that is followed: no start lies ahead.
func (s *StartTimes) observe(l *List, now time.Duration) {
	for i := range l.Targets {
		if boot := l.Targets[i].BootMS; boot > 0 {
			s.offset = max(s.offset, millis(boot)-now)
		}
	}
}

// estimate sets the offset by a first list.
func (s *StartTimes) estimate(l *List, now time.Duration) {
	s.offset = -now
	s.observe(l, now)
	ready, cold := 0, 0
	for i := range l.Targets {
		e := &l.Targets[i]
		if serverStates[e.State] != decide.Serving {
			continue
		}
		ready++
		if e.BootMS > 0 && millis(e.BootMS)-s.offset+s.slowStart > now {
			cold++
		}
	}
	if 2*cold > ready {
		s.offset = max(s.offset, time.Duration(s.wallClock().UnixNano())-now)
	}
}

// at is when a server started; 0 stands for long ago. One that was not known is no older than earliest.
func (s *StartTimes) startedAt(e *Target, first bool, now, earliest time.Duration) time.Duration {
	was, known := s.servers[e.UID]
	x := serverStart{bootMS: e.BootMS, namedIn: s.updates}
	if e.State == "gone" {
		x.goneAt = now
	}
	told := max(1, millis(e.BootMS)-s.offset)
	switch same := known && was.bootMS == e.BootMS; {
	case e.BootMS == 0:
		x.at = 0
	case same && first: // as on the list that the process was started with
		x.at = min(was.at, told)
	case same:
		x.at = was.at
	default:
		x.at = max(told, earliest, was.at+1)
	}
	s.servers[e.UID] = x
	return x.at
}

// forget notes what a whole list does not name, and drops what left the list long ago.
func (s *StartTimes) forget(whole bool, now time.Duration) {
	if !whole && now-s.forgotAt < startRetention {
		return
	}
	s.forgotAt = now
	for uid, x := range s.servers {
		switch {
		case x.goneAt > 0 && now-x.goneAt > startRetention:
			delete(s.servers, uid)
		case x.goneAt == 0 && whole && x.namedIn != s.updates:
			x.goneAt = now
			s.servers[uid] = x
		}
	}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
