package decide

import "time"

// Summary holds the figures of a gateway that are cheap to read, for operators. No decision depends on it.
type Summary struct {
	// OpenRequests, Pressure and RetryBudget have the same meaning as in [Status].
	OpenRequests int
	Pressure     float64
	RetryBudget  float64
	Customers    int   // customers whose state is kept
	Evictions    int64 // customers removed since the start because there were too many
	// GossipQueue is the number of gossip entries that wait to be sent, over all peers.
	GossipQueue int
}

// Summary returns the figures after the last event. Unlike [Gateway.Status], it copies no state of servers
// and customers, so callers may use it often. It must not be called concurrently with Handle.
func (g *Gateway) Summary() Summary {
	s := Summary{
		OpenRequests: len(g.requests),
		RetryBudget:  g.retryBudget.tokens,
		Customers:    len(g.customers.byKey),
		Evictions:    g.customers.evictions,
	}
	for i := range g.gossip.peers {
		s.GossipQueue += len(g.gossip.peers[i].pending)
	}
	if g.started && g.endpoints.totals.serving > 0 { // with no server, no work is allowed
		s.Pressure = g.queueingPressure()
	}
	return s
}

// Status is a snapshot of a gateway's state for operators. No decision depends on it.
type Status struct {
	// FullGossip reports that customers have no owner gateways: either all gateways exchange gossip with
	// each other, or none sends any.
	FullGossip bool
	// OpenRequests is the number of requests that have no final answer yet or still have an attempt in
	// flight.
	OpenRequests int
	// Pressure is the work in flight divided by the allowed work in flight. Above 1, requests of average
	// value are shed. It is 0 while no server is known.
	Pressure           float64
	RetryBudget        float64          // number of retries and hedged requests that the retry budget allows
	LastStall          time.Duration    // duration of the last stall of the event loop; 0 if there was none
	Servers            []ServerStatus   // by ID
	Customers          []CustomerStatus // in no particular order
	Peers              []PeerStatus     // indexed by rank; empty unless gateways exchange full gossip
	UnresponsiveOwners []int            // ranks of the owners that are currently not asked for grants
}

// ServerStatus is a gateway's view of a server.
type ServerStatus struct {
	ID           string
	Zone         string
	State        ServerState
	InFlight     int       // attempts of this gateway in flight
	Orphaned     int       // attempts that ended without a response and may still be running
	Slowness     float64   // latency as a multiple of the baseline latency
	FailureRatio []float64 // fraction of requests with an error or no response, by class index
	// Ejected reports whether, for some class, the server fails so much more than the best one that it
	// receives no requests of this class while others can.
	Ejected bool
	// SlowStartRemaining is the remaining time of the slow start; 0 if the server is not in slow start.
	SlowStartRemaining time.Duration
	// SlowStartBudget is the number of requests, at most 1, that this gateway may now send to the server. It
	// has no meaning if SlowStartRemaining is 0.
	SlowStartBudget float64
}

// CustomerStatus is a gateway's view of a customer's quota.
type CustomerStatus struct {
	Key           uint64 // see CustomerKey
	Plan          string
	Rate          float64 // units per second; 0: no limit
	Level         float64 // units in this gateway's bucket
	HighWaterMark float64 // units that this gateway's bucket may hold before requests are rejected
	Share         float64 // fraction of rate and burst that this gateway may use
	FleetLevel    float64 // units in the bucket that all gateways fill, as far as known
	CeilingTokens float64 // units that this gateway's slice of the ceiling still admits
	InFlight      int     // attempts of this gateway in flight
}

// PeerStatus is a gateway's view of a peer.
type PeerStatus struct {
	Rank              int
	Known             bool          // whether a datagram of the peer has arrived since this gateway started
	SinceLastReceived time.Duration // time since the last datagram; has no meaning unless Known is set
	QueueLength       int           // number of customers about which entries are to be sent
}

// CustomerKey returns the key that identifies a customer in messages between gateways and in Status. It is
// a hash of the customer's name, so different customers may have the same key.
func CustomerKey(customer string) uint64 { return hashKey(customer) }

// Status returns the state after the last event. It must not be called concurrently with Handle.
func (g *Gateway) Status() Status {
	summary := g.Summary()
	st := Status{
		FullGossip:         g.gossip.full,
		OpenRequests:       summary.OpenRequests,
		Pressure:           summary.Pressure,
		RetryBudget:        summary.RetryBudget,
		Servers:            g.serverStatus(),
		Customers:          g.customerStatus(),
		Peers:              g.peerStatus(),
		UnresponsiveOwners: g.unresponsiveOwners(),
	}
	if g.stallEndedAt > 0 {
		st.LastStall = g.stallDuration
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

// leastFailureRatios returns the lowest failure ratio among the servers in state Serving, by class index.
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
	for c := range g.customers.list.fromNewest() {
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

// CeilingShare is the fraction of a customer's ceiling that one gateway holds.
type CeilingShare struct {
	Rank     int
	Fraction float64 // in (0, 1]
}

// CeilingShares returns the gateways that hold the ceiling of a customer. The ceiling is divided evenly
// among the customer's owners or, in a fleet without owners, among gatewayCount gateways from the rank
// firstGateway on. If gatewayCount is not positive or exceeds the size of the fleet, all gateways are used.
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
