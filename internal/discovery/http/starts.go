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
type Starts struct {
	coldFor time.Duration
	wall    func() time.Time
	offset  time.Duration // Unix time less the gateway's clock is this at least, as far as servers' clocks are right
	servers map[string]start
	live    bool // a list was heard, beyond the one that the process was started with
	updates uint64
	swept   time.Duration
}

// start is what is known of a server's.
type start struct {
	boot   int64 // as told
	at     time.Duration
	named  uint64        // the update that named it last
	goneAt time.Duration // it left the list then; 0: it is on it
}

// startsKept is how long a server that left the list is remembered: one that comes back did not start anew.
const startsKept = 10 * time.Minute

// NewStarts returns an empty one. coldFor is how long servers are in slow start.
func NewStarts(coldFor time.Duration, wall func() time.Time) *Starts {
	return &Starts{coldFor: coldFor, wall: wall, servers: map[string]start{}}
}

// Update is a list as the core is told it. gap is the time since discovery was last heard.
func (s *Starts) Update(l *List, kind decide.UpdateKind, now, gap time.Duration) decide.EndpointUpdate {
	first := !s.live
	if s.live = kind != decide.StaleUpdate; first {
		s.estimate(l, now)
		gap = now // any age is possible
	} else {
		s.observe(l, now)
	}
	s.updates++
	u := decide.EndpointUpdate{Kind: kind, Version: l.Rev, Servers: make([]decide.Server, 0, len(l.Targets))}
	for i := range l.Targets {
		e := &l.Targets[i]
		u.Servers = append(u.Servers, decide.Server{ID: e.UID, Zone: e.Zone, Cell: e.Cell, Kind: e.Model, State: states[e.State],
			StartedAt: s.at(e, first, now, now-gap), Weight: e.Hint})
	}
	s.forget(kind != decide.DeltaUpdate, now)
	return u
}

// observe learns from a list that is followed: no start lies ahead.
func (s *Starts) observe(l *List, now time.Duration) {
	for i := range l.Targets {
		if boot := l.Targets[i].BootMS; boot > 0 {
			s.offset = max(s.offset, unix(boot)-now)
		}
	}
}

// estimate sets the offset by a first list.
func (s *Starts) estimate(l *List, now time.Duration) {
	s.offset = -now
	s.observe(l, now)
	ready, cold := 0, 0
	for i := range l.Targets {
		e := &l.Targets[i]
		if states[e.State] != decide.Serving {
			continue
		}
		ready++
		if e.BootMS > 0 && unix(e.BootMS)-s.offset+s.coldFor > now {
			cold++
		}
	}
	if 2*cold > ready {
		s.offset = max(s.offset, time.Duration(s.wall().UnixNano())-now)
	}
}

// at is when a server started; 0 stands for long ago. One that was not known is no older than earliest.
func (s *Starts) at(e *Entry, first bool, now, earliest time.Duration) time.Duration {
	was, known := s.servers[e.UID]
	x := start{boot: e.BootMS, named: s.updates}
	if e.State == "gone" {
		x.goneAt = now
	}
	told := max(1, unix(e.BootMS)-s.offset)
	switch same := known && was.boot == e.BootMS; {
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
func (s *Starts) forget(whole bool, now time.Duration) {
	if !whole && now-s.swept < startsKept {
		return
	}
	s.swept = now
	for uid, x := range s.servers {
		switch {
		case x.goneAt > 0 && now-x.goneAt > startsKept:
			delete(s.servers, uid)
		case x.goneAt == 0 && whole && x.named != s.updates:
			x.goneAt = now
			s.servers[uid] = x
		}
	}
}

func unix(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
