package decide

import (
	"time"
)

// Status is a gateway's state, read only.
type Status struct {
	FullGossip         bool // everyone tells everyone; else customers have homes
	OpenRequests       int  // open
	Pressure           float64
	RetryBudget        float64 // further attempts that the retry budget bears
	LastStall          time.Duration
	Servers            []ServerStatus   // by ID
	Customers          []CustomerStatus // in the order of first sight
	Peers              []PeerStatus     // by rank; empty where customers have homes
	UnresponsiveOwners []int            // homes that are not asked for now
}

// ServerStatus is what a gateway holds of a server.
type ServerStatus struct {
	ID           string
	Zone         string
	State        ServerState
	InFlight     int       // own attempts out
	Orphaned     int       // ended unanswered, may still run
	Slowness     float64   // times the usual time
	FailureRatio []float64 // share left or failed, by class
	// Of some class it leaves or fails so much more than the best that it gets none of it while others may.
	Ejected       bool
	SlowStartLeft time.Duration
	WarmUpBudget  float64 // cold budget, in requests; where Cold is 0 it says nothing
}

// CustomerStatus is what a gateway holds of a customer's bucket.
type CustomerStatus struct {
	Key           uint64 // hash of the customer's name, as messages tell it: see CustomerKey
	Plan          string
	Rate          float64 // units a second
	Level         float64 // units in this gateway's bucket ...
	HighWaterMark float64 // ... which holds so many
	Share         float64
	FleetLevel    float64 // units in the bucket that all gateways fill, as far as told
	CeilingTokens float64 // units of this gateway's slice of a ceiling
	InFlight      int     // attempts out
}

// PeerStatus is what a gateway holds of a peer.
type PeerStatus struct {
	Rank        int
	Known       bool
	SinceHeard  time.Duration // since then
	QueueLength int           // customers to tell of
}

// CustomerKey is the name of a customer in messages and views.
func CustomerKey(customer string) uint64 { return hashKey(customer) }

// Status tells the state as of the last event. It is for the goroutine that calls Handle.
func (g *Gateway) Status() Status {
	v := Status{FullGossip: g.fullGossip, OpenRequests: len(g.requests), RetryBudget: g.retryBudget}
	if g.stallEndedAt > 0 {
		v.LastStall = g.stallDuration
	}
	if g.running && g.totals.serving > 0 { // without a server there is no cap to be pressed against
		v.Pressure = g.queueingPressure()
	}
	least := make([]float64, len(g.cfg.Classes))
	for i, k := range g.cfg.Classes {
		least[i] = 1
		for _, s := range g.endpoints {
			if s.State == Serving {
				least[i] = min(least[i], g.failureRatio(s, g.classes[k.Name]))
			}
		}
	}
	for _, s := range g.endpoints {
		sv := ServerStatus{ID: s.ID, Zone: s.Zone, State: s.State, InFlight: s.inFlight,
			Orphaned: len(s.orphans), Slowness: g.slowness(s),
			SlowStartLeft: max(0, s.slowStartUntil-g.now), WarmUpBudget: s.warmUpBudget}
		for _, k := range g.cfg.Classes {
			sv.FailureRatio = append(sv.FailureRatio, g.failureRatio(s, g.classes[k.Name]))
		}
		for i, m := range sv.FailureRatio {
			sv.Ejected = sv.Ejected || m > least[i]+ejectionMargin
		}
		v.Servers = append(v.Servers, sv)
	}
	for _, c := range g.customerOrder {
		v.Customers = append(v.Customers, CustomerStatus{Key: c.key, Plan: c.plan.Name,
			Rate: c.plan.Rate, Level: c.level, Share: c.share,
			HighWaterMark: c.share * c.plan.Burst, FleetLevel: c.fleetLevel,
			CeilingTokens: c.ceilingTokens, InFlight: c.inFlight})
	}
	for i, p := range g.peers {
		if i != g.cfg.Rank {
			v.Peers = append(v.Peers, PeerStatus{i, p.known, g.now - p.lastHeard, len(p.pending)})
		}
	}
	for i := range g.cfg.Gateways {
		if g.unresponsiveUntil[i] > g.now {
			v.UnresponsiveOwners = append(v.UnresponsiveOwners, i)
		}
	}
	return v
}

// CeilingShare is the part of a customer's ceiling that one gateway keeps.
type CeilingShare struct {
	Rank     int
	Fraction float64
}

// CeilingShares tells where a customer's ceiling is kept: even parts at all of its gateways, or at its homes.
func (g *Gateway) CeilingShares(customer string, first, spread int) (out []CeilingShare) {
	if spread <= 0 || spread > g.cfg.Gateways {
		spread = g.cfg.Gateways
	}
	if !g.fullGossip {
		for n := range ownersPerCustomer {
			out = append(out, CeilingShare{g.owner(hashKey(customer), n), 1.0 / ownersPerCustomer})
		}
		return out
	}
	for n := range spread {
		out = append(out, CeilingShare{(first + n) % g.cfg.Gateways, 1 / float64(spread)})
	}
	return out
}
