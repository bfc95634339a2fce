package decide

import (
	"math/rand"
	"strings"
	"time"
)

// Gateways that can afford it use full gossip: each sends each other totals of what its customers used
// and demanded. Totals make lost and repeated datagrams harmless, a sequence number makes late ones so,
// and an epoch tells the incarnations of a peer apart. Larger fleets use owner gateways instead; see
// quotaowner.go.

const (
	// gossipCapacityUsed is the part of the stated capacity that all peers together use.
	gossipCapacityUsed = 0.8

	// minFullGossipRate is the number of datagrams a second between any two gateways under which full
	// gossip is too slow to be of use.
	minFullGossipRate = 2.0

	// keepaliveInterval is the time after which a peer with nothing to report is sent an empty datagram.
	keepaliveInterval = 400 * time.Millisecond

	// maxGossipBytes is the size of the largest datagram.
	maxGossipBytes = 256

	// sequenceNumbers is how many sequence numbers, and epochs, there are.
	sequenceNumbers = 64 * 64
)

// peer is another gateway, with full gossip.
type peer struct {
	known        bool // a datagram of it came since this gateway started
	lastReceived time.Duration
	epoch, seq   int  // of its last datagram
	startedLater bool // it was restarted since this gateway started, so its totals began at 0 meanwhile

	lastSent time.Duration
	sentSeq  int         // sequence number of the last datagram to it
	pending  []*customer // of which it is to be sent entries
}

// gossipState is what full gossip needs.
type gossipState struct {
	full  bool   // customers have no owners: all gateways exchange gossip, or none does
	epoch int    // of this incarnation
	peers []peer // by rank, with an unused one for this gateway; empty without full gossip or without gossip
}

func newGossipState(cfg Config, rng *rand.Rand) gossipState {
	s := gossipState{full: supportsFullGossip(cfg), epoch: rng.Intn(sequenceNumbers)}
	if s.full && cfg.Limits.Gossip {
		s.peers = make([]peer, cfg.Gateways)
	}
	return s
}

// supportsFullGossip reports whether gateways can receive gossip of all others often enough. Without any
// gossip there are no owners to ask either, so that counts as full.
func supportsFullGossip(cfg Config) bool {
	needed := minFullGossipRate * float64(cfg.Gateways-1)
	return !cfg.Limits.Gossip || gossipCapacityUsed*cfg.GossipCapacity >= needed
}

// customerGossip is what gateways report to each other of a customer.
type customerGossip struct {
	usedTotal float64      // units charged here; the demanded ones are in demand
	totals    []peerTotals // reported by peers, by rank
	queuedFor []bool       // by rank: the peer's pending entries contain the customer
}

// peerTotals is what a peer last reported of a customer.
type peerTotals struct {
	known      bool // it has, in its present incarnation
	used       int  // total of charged units, modulo 4096
	demanded   int  // total of demanded units, modulo 4096
	demandRate rate
}

func newCustomerGossip(peers int) customerGossip {
	return customerGossip{totals: make([]peerTotals, peers), queuedFor: make([]bool, peers)}
}

// queueGossip queues an entry about a customer for all its gateways.
func (g *Gateway) queueGossip(c *customer) {
	for i := range g.gossip.peers {
		g.queueGossipTo(i, c)
	}
}

// queueGossipTo queues an entry about a customer for a peer, if it is one of the customer's gateways.
func (g *Gateway) queueGossipTo(rank int, c *customer) {
	if rank != g.cfg.Rank && g.servesCustomer(c, rank) && !c.gossip.queuedFor[rank] {
		c.gossip.queuedFor[rank] = true
		p := &g.gossip.peers[rank]
		p.pending = append(p.pending, c)
	}
}

// sendDueGossip sends a datagram to each peer with pending entries, or to which nothing was sent for long.
func (g *Gateway) sendDueGossip() {
	for i := range g.gossip.peers {
		p := &g.gossip.peers[i]
		if i == g.cfg.Rank || (len(p.pending) == 0 && g.now-p.lastSent < keepaliveInterval) {
			continue
		}
		p.lastSent = g.now
		p.sentSeq = (p.sentSeq + 1) % sequenceNumbers
		g.emit(SendGossip{i, g.nextGossip(i, p)})
	}
}

// nextGossip makes a datagram of as many pending entries as fit into one.
func (g *Gateway) nextGossip(rank int, p *peer) string {
	var b strings.Builder
	encodeGossipHead(&b, g.gossip.epoch, p.sentSeq)
	n := min(len(p.pending), maxGossipEntries)
	for _, c := range p.pending[:n] {
		c.gossip.queuedFor[rank] = false
		g.refresh(c)
		c.gossipEntry().encode(&b)
	}
	p.pending = append([]*customer(nil), p.pending[n:]...)
	return b.String()
}

// gossipEntry is what is reported of a customer.
func (c *customer) gossipEntry() gossipEntry {
	return gossipEntry{
		key:      c.key,
		planNo:   c.planNo,
		used:     wrapTotal(c.gossip.usedTotal),
		demanded: wrapTotal(c.demand.total),
		level:    levelToSteps(c.bucket.fleetLevel, c.plan.Burst),
	}
}

// receiveGossip handles a datagram of another gateway. What is malformed, late or of an unknown sender is
// dropped.
func (g *Gateway) receiveGossip(e GossipReceived) {
	if e.From < 0 || e.From >= g.cfg.Gateways || e.From == g.cfg.Rank {
		return
	}
	if !g.gossip.full {
		g.receiveGrantMessage(e.From, e.Text)
		return
	}
	epoch, seq, ok := parseGossipHead(e.Text)
	if !ok || len(g.gossip.peers) == 0 {
		return
	}
	p := &g.gossip.peers[e.From]
	restarted := !p.known || p.epoch != epoch
	if !restarted && totalDifference(p.seq, seq) <= 0 {
		return
	}
	if restarted {
		g.startIncarnation(e.From, p)
	}
	p.epoch, p.seq, p.known, p.lastReceived = epoch, seq, true, g.now
	for s := e.Text[gossipHeadLength:]; s != ""; s = s[gossipEntryLength:] {
		g.mergeTotals(e.From, p, parseGossipEntry(s[:gossipEntryLength]))
	}
}

// startIncarnation prepares for the first datagram of a peer's incarnation: the peer's totals begin anew,
// and it is sent all there is to report.
func (g *Gateway) startIncarnation(rank int, p *peer) {
	p.startedLater = p.known
	for _, c := range g.customers.order {
		c.gossip.totals[rank].known = false
		g.queueGossipTo(rank, c)
	}
}

// mergeTotals adds what a peer's totals have grown by. The first totals of an incarnation count in full
// if it began after this gateway started. Otherwise they include what was used before, for which
// the reported level is taken.
func (g *Gateway) mergeTotals(from int, p *peer, e gossipEntry) {
	if e.planNo >= len(g.cfg.Plans) {
		return
	}
	c := g.findOrAddCustomer(e.key, e.planNo)
	g.refresh(c)
	t := &c.gossip.totals[from]
	switch {
	case t.known:
	case p.startedLater:
		t.known, t.used, t.demanded = true, 0, 0
	default:
		t.known, t.used, t.demanded = true, e.used, e.demanded
		c.bucket.fleetLevel = max(c.bucket.fleetLevel, stepsToLevel(e.level, c.plan.Burst))
	}
	c.bucket.fleetLevel = max(0, c.bucket.fleetLevel+totalDifference(t.used, e.used))
	t.demandRate.add(g.now, max(0, totalDifference(t.demanded, e.demanded)))
	t.used, t.demanded = e.used, e.demanded
}
