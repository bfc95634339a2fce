package decide

import (
	"slices"
	"strings"
	"time"
)

const (
	// endpointActiveFor is the time after the last attempt for which a server counts as active. After that
	// time its send rate has decayed to nearly 0.
	endpointActiveFor = 20 * time.Second

	// orphanLifetime is the longest time for which an orphan counts as load, in units of the shortest
	// latency objective.
	orphanLifetime = 3.0

	// meanInFlightGain is the weight of one attempt in the average load of a server.
	meanInFlightGain = 0.05

	// initialMeanInFlight is the average load of a server before any attempt.
	initialMeanInFlight = 0.5
)

// endpoint is a server of the endpoint list, with this gateway's load at the server and observations of it.
type endpoint struct {
	Server
	shortID uint64 // identifies the server in messages; hash of its ID, see hashKey

	inFlight int // attempts of this gateway in flight
	// Send times of the orphans, oldest first. An orphan is an attempt that ended without a response and
	// may still be running at the server.
	orphans      []time.Duration
	meanInFlight float64       // moving average of the load, sampled at each attempt
	sendRate     rate          // attempts per second from this gateway
	lastResponse time.Duration // time of the last response to this gateway; 0: none
	active       bool          // whether the server is in endpointTable.active

	health    health
	slowStart slowStart
}

// endpointTable holds the servers of the endpoint list.
type endpointTable struct {
	byID      map[string]*endpoint
	byShortID map[uint64]*endpoint
	sorted    []*endpoint // by ID
	serving   float64     // number of servers in state Serving

	// The servers that have load, were sent an attempt recently, or are in slow start. A gateway uses only
	// a few of thousands of servers; the other servers need not be visited to compute the totals.
	active     []*endpoint
	hasRemoved bool // whether a removed server has not been dropped yet
	totals     endpointTotals

	classes        int           // number of configured classes
	orphanLifetime time.Duration // longest time for which an orphan counts as load
}

// endpointTotals holds sums over the servers in state Serving, so that a request need not visit all of
// them. The sums are computed at each heartbeat and update of the list; only inFlight is kept current in
// between.
type endpointTotals struct {
	serving  float64 // number of servers
	warm     float64 // number of servers that are not in slow start
	sendRate float64 // attempts per second from this gateway to the warm servers
	inFlight float64 // load of this gateway, see outstanding
}

func newEndpointTable(classes int, orphanLifetime time.Duration) endpointTable {
	return endpointTable{
		byID:           map[string]*endpoint{},
		byShortID:      map[uint64]*endpoint{},
		classes:        classes,
		orphanLifetime: orphanLifetime,
	}
}

// findOrAdd returns the server with the ID, and adds it if it is new.
func (t *endpointTable) findOrAdd(id string) *endpoint {
	if s := t.byID[id]; s != nil {
		return s
	}
	s := &endpoint{
		shortID:      hashKey(id) & shortIDMask,
		meanInFlight: initialMeanInFlight,
		health:       newHealth(t.classes),
	}
	t.byShortID[s.shortID] = s
	t.byID[id] = s
	at, _ := slices.BinarySearchFunc(t.sorted, id, func(s *endpoint, id string) int {
		return strings.Compare(s.ID, id)
	})
	t.sorted = slices.Insert(t.sorted, at, s)
	return s
}

// updateEndpoints applies a change of the endpoint list. After a failed discovery, the previous list stays
// in use.
func (g *Gateway) updateEndpoints(e EndpointUpdate) {
	if e.Kind == FailedUpdate {
		return
	}
	t := &g.endpoints
	listed := map[string]bool{}
	for _, s := range e.Servers {
		listed[s.ID] = true
		g.updateEndpoint(t.findOrAdd(s.ID), s)
	}
	t.serving = 0
	for _, s := range t.sorted {
		if e.Kind != DeltaUpdate && !listed[s.ID] {
			s.State = Removed
		}
		switch s.State {
		case Serving:
			t.serving++
		case Removed:
			t.hasRemoved = true
		}
	}
	t.updateTotals(g.now)
}

// updateEndpoint applies the list entry of one server.
func (g *Gateway) updateEndpoint(s *endpoint, entry Server) {
	slowStartUntil := entry.StartedAt + g.cfg.Safety.SlowStartDuration
	switch {
	case entry.StartedAt > s.StartedAt && slowStartUntil > g.now:
		s.slowStart = slowStart{until: slowStartUntil, budget: g.rng.Float64(), budgetAt: g.now}
		s.health.restart()
		g.endpoints.markActive(s)
	case entry.StartedAt > 0 && entry.StartedAt < s.StartedAt: // started earlier than first reported
		s.slowStart.until = min(s.slowStart.until, slowStartUntil)
	}
	s.Server = entry
}

// dropRemoved drops removed servers that no longer have any load of this gateway. Deployments that keep
// replacing servers by servers with new names would otherwise accumulate removed servers without bound.
func (t *endpointTable) dropRemoved(now time.Duration) {
	if !t.hasRemoved {
		return
	}
	t.hasRemoved = false
	t.sorted = slices.DeleteFunc(t.sorted, func(s *endpoint) bool {
		if s.State != Removed {
			return false
		}
		if t.outstanding(s, now) > 0 {
			t.hasRemoved = true
			return false
		}
		delete(t.byID, s.ID)
		if t.byShortID[s.shortID] == s {
			delete(t.byShortID, s.shortID)
		}
		return true
	})
}

// outstanding returns this gateway's load at a server: the attempts in flight and the orphans. It first
// removes the orphans that are older than orphanLifetime.
//
// Orphans count because an overloaded server continues to work on requests that have timed out while it has
// few attempts in flight. If orphans did not count, the server would be sent more requests and the overload
// would sustain itself. A later response clears older orphans, see clearOrphans, so they have little effect
// on servers that abandon timed-out requests.
func (t *endpointTable) outstanding(s *endpoint, now time.Duration) float64 {
	for len(s.orphans) > 0 && now-s.orphans[0] > t.orphanLifetime {
		s.orphans = s.orphans[1:]
		t.totals.inFlight--
	}
	return float64(s.inFlight + len(s.orphans))
}

// addOrphan records an attempt that ended without a response.
func (t *endpointTable) addOrphan(s *endpoint, sentAt time.Duration) {
	s.orphans = append(s.orphans, sentAt)
	t.totals.inFlight++
}

// clearOrphans removes the orphans that were sent before an attempt that the server has answered.
func (t *endpointTable) clearOrphans(s *endpoint, sentAt time.Duration) {
	before := len(s.orphans)
	s.orphans = slices.DeleteFunc(s.orphans, func(at time.Duration) bool { return at < sentAt })
	t.totals.inFlight -= float64(before - len(s.orphans))
}

// attemptSent counts an attempt that is sent to a server.
func (t *endpointTable) attemptSent(s *endpoint, now time.Duration) {
	s.inFlight++
	t.totals.inFlight++
	s.sendRate.add(now, 1)
	t.markActive(s)
}

// attemptEnded removes an attempt from the load of a server.
func (t *endpointTable) attemptEnded(s *endpoint) {
	s.inFlight--
	t.totals.inFlight--
}

// updateTotals computes the totals over the active servers, and removes servers that are no longer active
// from the list of active servers.
func (t *endpointTable) updateTotals(now time.Duration) {
	totals := endpointTotals{serving: t.serving, warm: t.serving}
	t.active = slices.DeleteFunc(t.active, func(s *endpoint) bool {
		load, warmingUp := t.outstanding(s, now), s.slowStart.until > now
		if s.State == Serving {
			totals.inFlight += load
			if warmingUp {
				totals.warm--
			} else {
				totals.sendRate += s.sendRate.perSecond(now)
			}
		}
		s.active = load > 0 || warmingUp || now-s.sendRate.updatedAt < endpointActiveFor
		return !s.active
	})
	t.totals = totals
}

// markActive adds a server to the active servers, which updateTotals visits.
func (t *endpointTable) markActive(s *endpoint) {
	if !s.active {
		s.active = true
		t.active = append(t.active, s)
	}
}
