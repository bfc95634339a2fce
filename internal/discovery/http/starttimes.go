package http

import (
	"time"

	"winghatch/decide"
)

// startRetention is how long a server that left the list is remembered: one that returns in time was not restarted.
const startRetention = 10 * time.Minute

// StartTimes estimates when servers started, on the gateway's monotonic clock, for slow start. A server's boot_ms is
// Unix time, and wall clocks may be stepped, this machine's and a server's alike. So a boot_ms is compared with other
// servers' only, and a server that appears while the list is followed cannot be older than the last list from
// discovery before it.
//
// In the first list the newest start is taken for now, as none can lie ahead; the others are older by the difference
// of their boot_ms. Where that would put more than half of the servers into slow start, the fleet started together
// some time ago; then the wall clock decides.
//
// The cost is that the ramp of a new server begins when it is first listed, some seconds late. It is not safe for
// concurrent use.
type StartTimes struct {
	slowStart time.Duration
	wallClock func() time.Time
	offset    time.Duration // Unix time less the gateway's clock is at least this, as far as servers' clocks are right
	servers   map[string]serverStart
	following bool // a list was received, beyond the one of the configuration
	updates   uint64
	forgotAt  time.Duration // when forget last ran
}

// serverStart is what is known of one server's start.
type serverStart struct {
	bootMS  int64         // as listed
	at      time.Duration // on the gateway's clock; 0: long ago
	namedIn uint64        // the last update that named it
	goneAt  time.Duration // it left the list then; 0: it is listed
}

// NewStartTimes returns an estimate without servers. slowStart is the length of slow start.
func NewStartTimes(slowStart time.Duration, wallClock func() time.Time) *StartTimes {
	return &StartTimes{slowStart: slowStart, wallClock: wallClock, servers: map[string]serverStart{}}
}

// Update turns a list into the core's event. now is on the gateway's clock, silence the time since discovery last
// answered before this list. A StaleUpdate is the list of the configuration.
func (s *StartTimes) Update(l *List, kind decide.UpdateKind, now, silence time.Duration) decide.EndpointUpdate {
	first := !s.following
	s.following = kind != decide.StaleUpdate
	if first {
		s.estimate(l, now)
		silence = now // a server of the first list may have any age
	} else {
		s.observe(l, now)
	}
	s.updates++
	servers := make([]decide.Server, 0, len(l.Targets))
	for i := range l.Targets {
		t := &l.Targets[i]
		servers = append(servers, decide.Server{
			ID:        t.UID,
			Zone:      t.Zone,
			Cell:      t.Cell,
			Kind:      t.Model,
			State:     serverStates[t.State],
			StartedAt: s.startedAt(t, first, now, now-silence),
			Weight:    t.CapacityHint,
		})
	}
	s.forget(kind != decide.DeltaUpdate, now)
	return decide.EndpointUpdate{Kind: kind, Version: l.Rev, Servers: servers}
}

// observe raises the offset by a list that is followed: no start lies ahead.
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
	ready, inSlowStart := 0, 0
	for i := range l.Targets {
		t := &l.Targets[i]
		if serverStates[t.State] != decide.Serving {
			continue
		}
		ready++
		if t.BootMS > 0 && millis(t.BootMS)-s.offset+s.slowStart > now {
			inSlowStart++
		}
	}
	if 2*inSlowStart > ready {
		s.offset = max(s.offset, time.Duration(s.wallClock().UnixNano())-now)
	}
}

// startedAt is when a server started; 0 means long ago. One that was not known is no older than earliest.
func (s *StartTimes) startedAt(t *Target, first bool, now, earliest time.Duration) time.Duration {
	known, isKnown := s.servers[t.UID]
	start := serverStart{bootMS: t.BootMS, namedIn: s.updates}
	if t.State == stateGone {
		start.goneAt = now
	}
	listed := max(1, millis(t.BootMS)-s.offset)
	unchanged := isKnown && known.bootMS == t.BootMS
	switch {
	case t.BootMS == 0:
		start.at = 0
	case unchanged && first: // known from the list of the configuration
		start.at = min(known.at, listed)
	case unchanged:
		start.at = known.at
	default:
		start.at = max(listed, earliest, known.at+1)
	}
	s.servers[t.UID] = start
	return start.at
}

// forget notes which servers a full list does not name, and drops those that left the list long ago.
func (s *StartTimes) forget(full bool, now time.Duration) {
	if !full && now-s.forgotAt < startRetention {
		return
	}
	s.forgotAt = now
	for uid, start := range s.servers {
		switch {
		case start.goneAt > 0 && now-start.goneAt > startRetention:
			delete(s.servers, uid)
		case start.goneAt == 0 && full && start.namedIn != s.updates:
			start.goneAt = now
			s.servers[uid] = start
		}
	}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
