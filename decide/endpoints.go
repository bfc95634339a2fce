package decide

import (
	"slices"
	"strings"
	"time"
)

const (
	// what was sent longer ago is nothing in the sum of what is sent
	endpointActiveFor = 20 * time.Second
	// work that nobody waits for counts as load no longer than this
	orphanLifetime = 3.0
)

type endpoint struct {
	Server
	slowness, meanInFlight float64 // times the usual time of a class; its usual load
	slownessAt             time.Duration
	inFlight               int
	// when the attempts were sent that ended unanswered and may still run
	orphans                      []time.Duration
	failureRatio                 []rate // by class: share left or failed, and when that was known
	shortID                      uint64 // its name in messages
	sendRate                     rate
	lastResponse, warmUpBudgetAt time.Duration
	warmUpBudget                 float64 // cold budget, in requests
	slowStartUntil               time.Duration
	active                       bool // it is among the gateway's used ones
}

// survey counts the servers at each beat and each change of the list, so that no request needs to.
type endpointTotals struct {
	serving, warm, sendRate, inFlight float64
}

// server finds a server, or makes it.
func (g *Gateway) findOrAddEndpoint(id string) *endpoint {
	if s := g.endpointByID[id]; s != nil {
		return s
	}
	s := &endpoint{slowness: 1, meanInFlight: 0.5, failureRatio: make([]rate, len(g.cfg.Classes)),
		shortID: hashKey(id) & shortIDMask}
	g.endpointByShortID[s.shortID] = s
	g.endpointByID[id] = s
	at, _ := slices.BinarySearchFunc(g.endpoints, id, func(s *endpoint, id string) int {
		return strings.Compare(s.ID, id)
	})
	g.endpoints = slices.Insert(g.endpoints, at, s)
	return s
}

// forgetGone drops servers that are gone once nothing of theirs is out: where servers are replaced all day
// by new ones
// under new names, those of the whole day would else be kept and looked at.
func (g *Gateway) dropRemovedEndpoints() {
	if !g.hasRemoved {
		return
	}
	g.hasRemoved = false
	g.endpoints = slices.DeleteFunc(g.endpoints, func(s *endpoint) bool {
		if s.State != Removed {
			return false
		}
		if g.outstanding(s) > 0 {
			g.hasRemoved = true
			return false
		}
		delete(g.endpointByID, s.ID)
		if g.endpointByShortID[s.shortID] == s {
			delete(g.endpointByShortID, s.shortID)
		}
		return true
	})
}

func (g *Gateway) updateEndpoints(e EndpointUpdate) {
	if e.Kind == FailedUpdate {
		return
	}
	listed := map[string]bool{}
	for _, s := range e.Servers {
		listed[s.ID] = true
		g.updateEndpoint(s, e.Kind == StaleUpdate)
	}
	g.servingEndpoints = 0
	for _, s := range g.endpoints {
		if e.Kind != DeltaUpdate && !listed[s.ID] {
			s.State = Removed
		}
		switch s.State {
		case Serving:
			g.servingEndpoints++
		case Removed:
			g.hasRemoved = true
		}
	}
	g.sumEndpoints()
}

func (g *Gateway) updateEndpoint(e Server, stale bool) {
	s := g.findOrAddEndpoint(e.ID)
	if e.StartedAt > s.StartedAt && e.StartedAt+g.cfg.Safety.SlowStartDuration > g.now {
		s.slowStartUntil, s.warmUpBudget,
			s.warmUpBudgetAt = e.StartedAt+g.cfg.Safety.SlowStartDuration, g.rng.Float64(), g.now
		s.slowness = 1
		clear(s.failureRatio)
		g.markActive(s)
	} else if e.StartedAt > 0 && e.StartedAt < s.StartedAt { // it is older than was known at first
		s.slowStartUntil = min(s.slowStartUntil, e.StartedAt+g.cfg.Safety.SlowStartDuration)
	}
	s.Server = e
}

// load is what this gateway has at the server: attempts out, and ghosts. A jammed server works on what has
// timed out while its attempts out look few; without ghosts the jam feeds itself. Where a server drops such
// work the first later answer clears them, so they cost little.
func (g *Gateway) outstanding(s *endpoint) float64 {
	for len(s.orphans) > 0 && g.now-s.orphans[0] > g.timesObjective(orphanLifetime) {
		s.orphans = s.orphans[1:]
		g.totals.inFlight--
	}
	return float64(s.inFlight + len(s.orphans))
}

// survey sums up the servers, by those that were used of late or are cold: of thousands a gateway uses few.
func (g *Gateway) sumEndpoints() {
	all := endpointTotals{serving: g.servingEndpoints, warm: g.servingEndpoints}
	g.activeEndpoints = slices.DeleteFunc(g.activeEndpoints, func(s *endpoint) bool {
		load, cold := g.outstanding(s), s.slowStartUntil > g.now
		if s.State == Serving {
			all.inFlight += load
			if cold {
				all.warm--
			} else {
				all.sendRate += s.sendRate.perSecond(g.now)
			}
		}
		s.active = load > 0 || cold || g.now-s.sendRate.updatedAt < endpointActiveFor
		return !s.active
	})
	g.totals = all
}

// uses notes that a server has to be looked at by survey.
func (g *Gateway) markActive(s *endpoint) {
	if !s.active {
		s.active = true
		g.activeEndpoints = append(g.activeEndpoints, s)
	}
}
