package decide

import (
	"math/rand"
	"strings"
	"time"
)

// Fleets that are small enough for their gossip capacity use full gossip: each gateway sends every other one
// the totals of the units that its customers have used and demanded. Since these are totals, lost and
// duplicate datagrams do no harm. A sequence number makes it possible to drop late datagrams, and an epoch
// identifies the incarnation of a peer. Larger fleets use owner gateways instead; see quotaowner.go.

const (
	// gossipCapacityUsed is the fraction of the configured gossip capacity that all peers together use.
	gossipCapacityUsed = 0.8

	// minFullGossipRate is the least number of datagrams per second between any two gateways at which full
	// gossip is fast enough to be useful.
	minFullGossipRate = 2.0

	// keepaliveInterval is the time after which a peer is sent an empty datagram if there is nothing to
	// report.
	keepaliveInterval = 400 * time.Millisecond

	// maxGossipBytes is the size limit of a datagram.
	maxGossipBytes = 256

	// sequenceNumbers is the number of distinct sequence numbers, and of distinct epochs.
	sequenceNumbers = 64 * 64
)

// peer is the state of the exchange with another gateway in full gossip.
type peer struct {
	known        bool          // whether a datagram of the peer has arrived since this gateway started
	lastReceived time.Duration // time of its last datagram that was not dropped
	epoch, seq   int           // epoch and sequence number of that datagram
	// restartedSinceStart reports whether the peer has restarted since this gateway started. The totals of
	// its present incarnation then began at 0 after this gateway started.
	restartedSinceStart bool

	lastSent time.Duration
	sentSeq  int         // sequence number of the last datagram sent to the peer
	pending  []*customer // customers about which entries are to be sent to the peer
}

// gossipState is the state of full gossip.
type gossipState struct {
	// full reports that customers have no owner gateways: either all gateways exchange gossip with each
	// other, or none sends any.
	full  bool
	epoch int // identifies this incarnation of this gateway
	// peers is indexed by rank and has an unused entry for this gateway. It is empty if gossip is disabled
	// or if the fleet uses owner gateways.
	peers []peer
}

func newGossipState(cfg Config, rng *rand.Rand) gossipState {
	s := gossipState{full: supportsFullGossip(cfg), epoch: rng.Intn(sequenceNumbers)}
	if s.full && cfg.Limits.Gossip {
		s.peers = make([]peer, cfg.Gateways)
	}
	return s
}

// supportsFullGossip reports whether each gateway can receive gossip from all others often enough. Without
// any gossip there are no owner gateways to ask either, so this counts as full gossip.
func supportsFullGossip(cfg Config) bool {
	needed := minFullGossipRate * float64(cfg.Gateways-1)
	return !cfg.Limits.Gossip || gossipCapacityUsed*cfg.GossipCapacity >= needed
}

// customerGossip holds the usage totals of a customer that this gateway and its peers report to each other.
type customerGossip struct {
	usedTotal float64      // units charged at this gateway; for demanded units see demand.total
	totals    []peerTotals // totals reported by peers, by rank
	// queuedFor reports by rank whether the customer is in the peer's pending entries.
	queuedFor []bool
}

// peerTotals holds the totals that a peer last reported for a customer.
type peerTotals struct {
	known      bool // whether the peer has reported them in its present incarnation
	used       int  // charged units modulo totalModulus
	demanded   int  // demanded units modulo totalModulus
	demandRate rate
}

func newCustomerGossip(peers int) customerGossip {
	return customerGossip{totals: make([]peerTotals, peers), queuedFor: make([]bool, peers)}
}

// queueGossip queues an entry about a customer for each of the customer's other gateways.
func (g *Gateway) queueGossip(c *customer) {
	for i := range g.gossip.peers {
		g.queueGossipTo(i, c)
	}
}

// queueGossipTo queues an entry about a customer for a peer, if the peer is one of the customer's gateways
// and no such entry is queued.
func (g *Gateway) queueGossipTo(rank int, c *customer) {
	if rank != g.cfg.Rank && g.servesCustomer(c, rank) && !c.gossip.queuedFor[rank] {
		c.gossip.queuedFor[rank] = true
		p := &g.gossip.peers[rank]
		p.pending = append(p.pending, c)
	}
}

// sendDueGossip sends a datagram to each peer that has pending entries or was last sent one at least
// keepaliveInterval ago.
func (g *Gateway) sendDueGossip() {
	for i := range g.gossip.peers {
		p := &g.gossip.peers[i]
		if i == g.cfg.Rank || (len(p.pending) == 0 && g.now-p.lastSent < keepaliveInterval) {
			continue
		}
		p.lastSent = g.now
		p.sentSeq = (p.sentSeq + 1) % sequenceNumbers
		g.emit(SendGossip{i, g.encodePendingGossip(i, p)})
	}
}

// encodePendingGossip encodes a datagram with as many pending entries as fit, and removes these entries.
func (g *Gateway) encodePendingGossip(rank int, p *peer) string {
	var b strings.Builder
	encodeGossipHeader(&b, g.gossip.epoch, p.sentSeq)
	n := min(len(p.pending), maxGossipEntries)
	for _, c := range p.pending[:n] {
		c.gossip.queuedFor[rank] = false
		g.refresh(c)
		c.gossipEntry().encode(&b)
	}
	p.pending = append([]*customer(nil), p.pending[n:]...)
	return b.String()
}

// gossipEntry returns the entry that reports on a customer.
func (c *customer) gossipEntry() gossipEntry {
	return gossipEntry{
		key:       c.key,
		planIndex: c.planIndex,
		used:      wrapTotal(c.gossip.usedTotal),
		demanded:  wrapTotal(c.demand.total),
		level:     levelToSteps(c.bucket.fleetLevel, c.plan.Burst),
	}
}

// receiveGossip handles a datagram from another gateway. In fleets with owner gateways, the datagram is a
// grant message, see receiveGrantMessage. Otherwise, datagrams that are malformed, from an unknown sender,
// duplicate or older than the last one of the sender are dropped.
func (g *Gateway) receiveGossip(e GossipReceived) {
	if e.From < 0 || e.From >= g.cfg.Gateways || e.From == g.cfg.Rank {
		return
	}
	if !g.gossip.full {
		g.receiveGrantMessage(e.From, e.Text)
		return
	}
	epoch, seq, ok := parseGossipHeader(e.Text)
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
	for s := e.Text[gossipHeaderLength:]; s != ""; s = s[gossipEntryLength:] {
		g.mergeTotals(e.From, p, parseGossipEntry(s[:gossipEntryLength]))
	}
}

// startIncarnation handles the first datagram of a new incarnation of a peer: the peer's totals restart,
// and entries about all customers are queued for it.
func (g *Gateway) startIncarnation(rank int, p *peer) {
	p.restartedSinceStart = p.known
	for _, c := range g.customers.order {
		c.gossip.totals[rank].known = false
		g.queueGossipTo(rank, c)
	}
}

// mergeTotals adds the growth of a peer's totals to the fleet level and the demand of a customer. The first
// totals of an incarnation count in full if the incarnation began after this gateway started. Otherwise
// they include units used earlier, and the level that the peer reports is adopted instead.
func (g *Gateway) mergeTotals(from int, p *peer, e gossipEntry) {
	if e.planIndex >= len(g.cfg.Plans) {
		return
	}
	c := g.findOrAddCustomer(e.key, e.planIndex)
	g.refresh(c)
	t := &c.gossip.totals[from]
	switch {
	case t.known:
	case p.restartedSinceStart:
		t.known, t.used, t.demanded = true, 0, 0
	default:
		t.known, t.used, t.demanded = true, e.used, e.demanded
		c.bucket.fleetLevel = max(c.bucket.fleetLevel, stepsToLevel(e.level, c.plan.Burst))
	}
	c.bucket.fleetLevel = max(0, c.bucket.fleetLevel+totalDifference(t.used, e.used))
	t.demandRate.add(g.now, max(0, totalDifference(t.demanded, e.demanded)))
	t.used, t.demanded = e.used, e.demanded
}
