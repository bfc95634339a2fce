package decide

import "time"

// Status is a gateway's state, for operators. No decision is taken by it.
type Status struct {
	FullGossip         bool // customers have no owners: all gateways exchange gossip, or none does
	OpenRequests       int
	Pressure           float64          // work in flight over what is allowed; over 1 it is shed
	RetryBudget        float64          // further attempts that the retry budget allows
	LastStall          time.Duration    // of the event loop; 0: there was none
	Servers            []ServerStatus   // by ID
	Customers          []CustomerStatus // in an order that changes as idle ones are looked for
	Peers              []PeerStatus     // by rank; empty without full gossip
	UnresponsiveOwners []int            // ranks of the owners that are not asked for grants now
}

// ServerStatus is what a gateway knows of a server.
type ServerStatus struct {
	ID                 string
	Zone               string
	State              ServerState
	InFlight           int       // attempts of this gateway
	Orphaned           int       // attempts that ended without a response and may still run
	Slowness           float64   // times the usual latency
	FailureRatio       []float64 // part of the requests that get no response or an error, by class
	Ejected            bool      // of some class, others fail so much less that it gets none while they can
	SlowStartRemaining time.Duration
	SlowStartBudget    float64
}

// CustomerStatus is what a gateway knows of a customer's quota.
type CustomerStatus struct {
	Key           uint64 // see CustomerKey
	Plan          string
	Rate          float64 // units a second
	Level         float64 // units in this gateway's bucket
	HighWaterMark float64 // units that this gateway's bucket may hold
	Share         float64 // part of rate and burst that this gateway may use
	FleetLevel    float64 // units in the bucket that all gateways fill, as far as known
	CeilingTokens float64 // units that this gateway's slice of a ceiling still lets pass
	InFlight      int     // attempts
}

// PeerStatus is what a gateway knows of a peer.
type PeerStatus struct {
	Rank              int
	Known             bool          // a datagram of it came since this gateway started
	SinceLastReceived time.Duration // since the last one; without meaning if not Known
	QueueLength       int           // customers to send entries about
}

// CustomerKey is the key of a customer in messages between gateways and in Status: a hash of its name.
func CustomerKey(customer string) uint64 { return hashKey(customer) }

// Status returns the state as of the last event. It is for the goroutine that calls Handle.
func (g *Gateway) Status() Status {
	st := Status{
		FullGossip:         g.gossip.full,
		OpenRequests:       len(g.requests),
		RetryBudget:        g.retryBudget.tokens,
		Servers:            g.serverStatus(),
		Customers:          g.customerStatus(),
		Peers:              g.peerStatus(),
		UnresponsiveOwners: g.unresponsiveOwners(),
	}
	if g.stallEndedAt > 0 {
		st.LastStall = g.stallDuration
	}
	if g.running && g.endpoints.totals.serving > 0 { // without a server nothing is allowed
		st.Pressure = g.queueingPressure()
	}
	return st
}

func (g *Gateway) serverStatus() (all []ServerStatus) {
	least := g.leastFailureRatios()
	for _, s := range g.endpoints.sorted {
		st := ServerStatus{
			ID:                 s.ID,
			Zone:               s.Zone,
			State:              s.State,
			InFlight:           s.inFlight,
			Orphaned:           len(s.orphans),
			Slowness:           g.slowness(s),
			SlowStartRemaining: max(0, s.slowStart.until-g.now),
			SlowStartBudget:    s.slowStart.budget,
		}
		for i, k := range g.cfg.Classes {
			ratio := g.failureRatio(s, g.classes.byName[k.Name])
			st.FailureRatio = append(st.FailureRatio, ratio)
			st.Ejected = st.Ejected || ratio > least[i]+ejectionMargin
		}
		all = append(all, st)
	}
	return all
}

// leastFailureRatios returns the failure ratio of the best serving server, by class.
func (g *Gateway) leastFailureRatios() []float64 {
	least := make([]float64, len(g.cfg.Classes))
	for i, k := range g.cfg.Classes {
		least[i] = 1
		for _, s := range g.endpoints.sorted {
			if s.State == Serving {
				least[i] = min(least[i], g.failureRatio(s, g.classes.byName[k.Name]))
			}
		}
	}
	return least
}

func (g *Gateway) customerStatus() (all []CustomerStatus) {
	for _, c := range g.customers.order {
		all = append(all, CustomerStatus{
			Key:           c.key,
			Plan:          c.plan.Name,
			Rate:          c.plan.Rate,
			Level:         c.bucket.level,
			HighWaterMark: c.bucket.share * c.plan.Burst,
			Share:         c.bucket.share,
			FleetLevel:    c.bucket.fleetLevel,
			CeilingTokens: c.bucket.ceilingTokens,
			InFlight:      c.inFlight,
		})
	}
	return all
}

func (g *Gateway) peerStatus() (all []PeerStatus) {
	for i, p := range g.gossip.peers {
		if i != g.cfg.Rank {
			all = append(all, PeerStatus{i, p.known, g.now - p.lastReceived, len(p.pending)})
		}
	}
	return all
}

func (g *Gateway) unresponsiveOwners() (ranks []int) {
	for i := range g.cfg.Gateways {
		if g.owners.unresponsiveUntil[i] > g.now {
			ranks = append(ranks, i)
		}
	}
	return ranks
}

// CeilingShare is the part of a customer's ceiling that one gateway keeps.
type CeilingShare struct {
	Rank     int
	Fraction float64
}

// CeilingShares returns where the ceiling of a customer is kept whose requests come through the gateways
// given: even parts at all of these, or at the customer's owners.
func (g *Gateway) CeilingShares(customer string, firstGateway, gatewayCount int) (shares []CeilingShare) {
	if gatewayCount <= 0 || gatewayCount > g.cfg.Gateways {
		gatewayCount = g.cfg.Gateways
	}
	if !g.gossip.full {
		for n := range ownersPerCustomer {
			shares = append(shares, CeilingShare{g.owner(hashKey(customer), n), 1.0 / ownersPerCustomer})
		}
		return shares
	}
	for n := range gatewayCount {
		shares = append(shares, CeilingShare{(firstGateway + n) % g.cfg.Gateways, 1 / float64(gatewayCount)})
	}
	return shares
}
