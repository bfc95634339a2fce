package decide

import (
	"slices"
	"strings"
	"time"
)

const (
	// endpointActiveFor is how long after an attempt a server counts in the sum of what is sent. By then
	// its send rate is next to nothing.
	endpointActiveFor = 20 * time.Second

	// orphanLifetime is how long an orphan counts as load at most, in shortest latency objectives.
	orphanLifetime = 3.0

	// meanInFlightGain is the gain of one attempt in a server's mean load.
	meanInFlightGain = 0.05

	// initialMeanInFlight is the mean load of a server before any attempt.
	initialMeanInFlight = 0.5
)

// endpoint is a server of the endpoint list, with what this gateway has there and knows of it.
type endpoint struct {
	Server
	shortID uint64 // in messages, see hashKey

	inFlight int // attempts of this gateway
	// Send times of attempts that ended without a response and may still run at the server, oldest first.
	orphans      []time.Duration
	meanInFlight float64 // usual load, by the attempts that were sent
	sendRate     rate    // attempts a second
	lastResponse time.Duration
	active       bool // it is among the table's active ones

	health    health
	slowStart slowStart
}

// endpointTable holds the servers.
type endpointTable struct {
	byID      map[string]*endpoint
	byShortID map[uint64]*endpoint
	sorted    []*endpoint // by ID
	serving   float64     // servers in state Serving

	// The servers with load, an attempt of late, or in slow start. Of thousands a gateway uses few, and
	// the rest need not be looked at to sum up.
	active     []*endpoint
	hasRemoved bool // some server is removed and not yet dropped
	totals     endpointTotals

	classes        int
	orphanLifetime time.Duration
}

// endpointTotals are sums over the servers in state Serving, as of the last heartbeat or update of the
// list, so that no request needs to go through them. Only inFlight is kept up to date between.
type endpointTotals struct {
	serving  float64 // servers
	warm     float64 // servers that are not in slow start
	sendRate float64 // attempts a second that this gateway sends to the warm ones
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

// findOrAdd returns the server of that ID.
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

// updateEndpoints applies a change of the endpoint list. After a failed discovery the former list stays.
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

// updateEndpoint applies a server's entry in the list.
func (g *Gateway) updateEndpoint(s *endpoint, entry Server) {
	slowStartUntil := entry.StartedAt + g.cfg.Safety.SlowStartDuration
	switch {
	case entry.StartedAt > s.StartedAt && slowStartUntil > g.now:
		s.slowStart = slowStart{until: slowStartUntil, budget: g.rng.Float64(), budgetAt: g.now}
		s.health.restart()
		g.endpoints.markActive(s)
	case entry.StartedAt > 0 && entry.StartedAt < s.StartedAt: // it is older than was known at first
		s.slowStart.until = min(s.slowStart.until, slowStartUntil)
	}
	s.Server = entry
}

// dropRemoved drops removed servers once nothing of this gateway runs there. Where servers are replaced
// all day by ones of new names, all of them would otherwise be kept and looked at.
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

// outstanding is this gateway's load at a server: attempts in flight, and orphans. A jammed server goes
// on with work that has timed out while its attempts in flight look few; without the orphans it would be
// sent more and the jam would feed itself. A later response clears orphans, see clearOrphans, so they
// cost little where a server drops such work.
func (t *endpointTable) outstanding(s *endpoint, now time.Duration) float64 {
	for len(s.orphans) > 0 && now-s.orphans[0] > t.orphanLifetime {
		s.orphans = s.orphans[1:]
		t.totals.inFlight--
	}
	return float64(s.inFlight + len(s.orphans))
}

// addOrphan counts an attempt that ended without a response.
func (t *endpointTable) addOrphan(s *endpoint, sentAt time.Duration) {
	s.orphans = append(s.orphans, sentAt)
	t.totals.inFlight++
}

// clearOrphans drops the orphans sent before an attempt that the server has answered.
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

// attemptEnded undoes what attemptSent counted.
func (t *endpointTable) attemptEnded(s *endpoint) {
	s.inFlight--
	t.totals.inFlight--
}

// updateTotals sums up the active servers, and drops from them those that are active no more.
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

// markActive makes updateTotals count a server.
func (t *endpointTable) markActive(s *endpoint) {
	if !s.active {
		s.active = true
		t.active = append(t.active, s)
	}
}
