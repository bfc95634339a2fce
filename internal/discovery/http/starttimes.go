package http

import (
	"time"

	"winghatch/decide"
)

// startRetention is the time for which a server that has left the list is remembered. A server that returns
// within it with the same boot_ms was not restarted.
const startRetention = 10 * time.Minute

// StartTimes estimates the times at which servers started, on the gateway's monotonic clock. The core needs
// them for slow start. The boot_ms of a server is Unix time, and the wall clock of this machine or of a
// server may be stepped. Therefore, a boot_ms is compared only with the boot_ms of other servers, and a
// server that appears while the list is followed is assumed to be no older than the previous list from
// discovery.
//
// In the first list, the most recent start is taken to be now, because no start can be in the future, and the
// other starts are earlier by the differences of their boot_ms. If more than half of the servers would be in
// slow start then, all servers started together some time ago, and the wall clock is used instead.
//
// As a consequence, the slow start of a new server begins when the server is first listed, some seconds late.
//
// StartTimes is not safe for concurrent use.
type StartTimes struct {
	slowStart time.Duration
	wallClock func() time.Time
	// offset is a lower bound of the difference between Unix time and the gateway's clock, provided that the
	// clocks of the servers are correct.
	offset   time.Duration
	servers  map[string]serverStart // keyed by UID
	synced   bool                   // the last list came from discovery, not from the configuration
	updates  uint64                 // number of calls of Update
	prunedAt time.Duration          // when prune last ran
}

// serverStart describes the start of one server.
type serverStart struct {
	bootMS     int64         // boot_ms as listed
	at         time.Duration // estimated start on the gateway's clock; 0: long ago
	lastUpdate uint64        // number of the last update that listed the server
	removedAt  time.Duration // when the server left the list; 0 while it is listed
}

// NewStartTimes returns a StartTimes without servers. slowStart is the duration of slow start; 0 means that
// there is none. wallClock returns the wall-clock time of this machine.
func NewStartTimes(slowStart time.Duration, wallClock func() time.Time) *StartTimes {
	return &StartTimes{slowStart: slowStart, wallClock: wallClock, servers: map[string]serverStart{}}
}

// Update converts a list to an event for the core and sets the start times of its servers. now is the time on
// the gateway's clock, and sinceLast is the time between the previous response of discovery and this list.
// The kind decide.StaleUpdate denotes the list in the configuration.
func (s *StartTimes) Update(l *List, kind decide.UpdateKind,
	now, sinceLast time.Duration) decide.EndpointUpdate {
	first := !s.synced
	s.synced = kind != decide.StaleUpdate
	if first {
		s.initOffset(l, now)
		sinceLast = now // the servers of the first list may have any age
	} else {
		s.raiseOffset(l, now)
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
			StartedAt: s.startedAt(t, first, now, now-sinceLast),
			Weight:    t.CapacityHint,
		})
	}
	s.prune(kind != decide.DeltaUpdate, now)
	return decide.EndpointUpdate{Kind: kind, Version: l.Rev, Servers: servers}
}

// raiseOffset raises the offset so that no start in the list is in the future.
func (s *StartTimes) raiseOffset(l *List, now time.Duration) {
	for i := range l.Targets {
		if boot := l.Targets[i].BootMS; boot > 0 {
			s.offset = max(s.offset, millis(boot)-now)
		}
	}
}

// initOffset sets the offset from the first list.
func (s *StartTimes) initOffset(l *List, now time.Duration) {
	s.offset = -now // the lowest possible value, because Unix time is not negative
	s.raiseOffset(l, now)
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

// startedAt records and returns the start time of a server; 0 means long ago. A server that is new or was
// restarted gets no start time before earliest. first reports whether the list is the first one from
// discovery.
func (s *StartTimes) startedAt(t *Target, first bool, now, earliest time.Duration) time.Duration {
	previous, isKnown := s.servers[t.UID]
	start := serverStart{bootMS: t.BootMS, lastUpdate: s.updates}
	if t.State == stateGone {
		start.removedAt = now
	}
	listedStart := max(1, millis(t.BootMS)-s.offset) // at least 1, because 0 means long ago
	unchanged := isKnown && previous.bootMS == t.BootMS
	switch {
	case t.BootMS == 0:
		start.at = 0
	case unchanged && first: // known from the list in the configuration
		start.at = min(previous.at, listedStart)
	case unchanged:
		start.at = previous.at
	default: // new or restarted; the core recognises a restart by a later start time than the previous one
		start.at = max(listedStart, earliest, previous.at+1)
	}
	s.servers[t.UID] = start
	return start.at
}

// prune records which servers are missing from a full list and drops those that left the list more than
// startRetention ago.
func (s *StartTimes) prune(full bool, now time.Duration) {
	if !full && now-s.prunedAt < startRetention {
		return
	}
	s.prunedAt = now
	for uid, start := range s.servers {
		switch {
		case start.removedAt > 0 && now-start.removedAt > startRetention:
			delete(s.servers, uid)
		case start.removedAt == 0 && full && start.lastUpdate != s.updates:
			start.removedAt = now
			s.servers[uid] = start
		}
	}
}

// millis converts milliseconds to a Duration.
func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
