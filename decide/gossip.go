package decide

import (
	"math"
	"math/rand"
	"slices"
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

	// totalsLifetime is the time for which the totals that a peer has reported about a customer are compared
	// with later ones. Afterwards the peer may have removed the customer, and its totals begin at 0 again.
	totalsLifetime = 10 * time.Second

	// reportRetention is the time for which a customer is kept after an entry about it was sent. It exceeds
	// totalsLifetime by more than a datagram may be late.
	reportRetention = totalsLifetime + 2*time.Second

	// maxGossipDelay is the time that it takes to send all pending entries of a peer. Entries beyond it are
	// dropped: they would arrive when most of what they report has leaked.
	maxGossipDelay = 5 * time.Second

	// maxGossipTransit is the longest time for which datagrams of an earlier incarnation of a peer may
	// arrive after the first one of the next incarnation.
	maxGossipTransit = 5 * time.Second

	// maxEarlierEpochs limits the incarnations of a peer that are remembered. Gateways may be restarted
	// several times in a row.
	maxEarlierEpochs = 4

	// sequenceNumbers is the number of distinct sequence numbers, and of distinct epochs.
	sequenceNumbers = 64 * 64
)

// peer is the state of the exchange with another gateway in full gossip.
type peer struct {
	known        bool          // whether a datagram of the peer has arrived since this gateway started
	lastReceived time.Duration // time of its last datagram that was not dropped
	epoch, seq   int           // epoch and sequence number of that datagram
	// restartedAt is the time of the first datagram of the peer's present incarnation, if the peer has
	// restarted since this gateway started, as restarted says. Its totals then began at 0 at that time.
	restarted   bool
	restartedAt time.Duration
	earlier     []earlierEpoch // epochs before the present one, the oldest first; at most maxEarlierEpochs

	lastSent time.Duration
	sentSeq  int         // sequence number of the last datagram sent to the peer
	pending  []*customer // customers about which entries are to be sent to the peer; at most maxPending
}

// earlierEpoch is the epoch of an incarnation that has been replaced. Datagrams of it may still arrive.
type earlierEpoch struct {
	epoch      int
	replacedAt time.Duration
}

// gossipState is the state of full gossip.
type gossipState struct {
	// full reports that customers have no owner gateways: either all gateways exchange gossip with each
	// other, or none sends any.
	full  bool
	epoch int // identifies this incarnation of this gateway
	// peers is indexed by rank and has an unused entry for this gateway. It is empty if gossip is disabled
	// or if the fleet uses owner gateways.
	peers      []peer
	maxPending int // largest number of pending entries of a peer
}

func newGossipState(cfg Config, rng *rand.Rand) gossipState {
	s := gossipState{full: supportsFullGossip(cfg), epoch: rng.Intn(sequenceNumbers)}
	if s.full && cfg.Limits.Gossip {
		s.peers = make([]peer, cfg.Gateways)
		s.maxPending = maxGossipEntries * int(math.Ceil(gossipRate(cfg)*maxGossipDelay.Seconds()))
	}
	return s
}

// gossipRate returns the number of datagrams per second that a gateway sends to each peer in full gossip.
func gossipRate(cfg Config) float64 {
	return max(1, gossipCapacityUsed*cfg.GossipCapacity/float64(max(1, cfg.Gateways-1)))
}

// supportsFullGossip reports whether each gateway can receive gossip from all others often enough. Without
// any gossip there are no owner gateways to ask either, so this counts as full gossip.
func supportsFullGossip(cfg Config) bool {
	needed := minFullGossipRate * float64(cfg.Gateways-1)
	return !cfg.Limits.Gossip || gossipCapacityUsed*cfg.GossipCapacity >= needed
}

// customerGossip holds the usage totals of a customer that this gateway and its peers report to each other.
type customerGossip struct {
	usedTotal float64       // units charged at this gateway; for demanded units see demand.total
	sentAt    time.Duration // time at which the last entry about the customer was sent
	reports   []peerTotals  // totals reported by peers, in the order in which the peers first reported
	// queuedFor reports by rank whether the customer is in the peer's pending entries. It is nil until an
	// entry is queued.
	queuedFor []bool
}

// peerTotals holds the totals that a peer last reported for a customer.
type peerTotals struct {
	rank       int32
	known      bool   // whether the peer has reported them in its present incarnation
	used       uint16 // charged units modulo totalModulus
	demanded   uint16 // demanded units modulo totalModulus
	demandRate rate   // units per second demanded at the peer; updated with each report
}

// isCurrent reports whether later totals can be compared with these.
func (t *peerTotals) isCurrent(now time.Duration) bool {
	return t.known && now-t.demandRate.updatedAt < totalsLifetime
}

// findReport returns the totals that a peer has reported, or nil.
func (c *customerGossip) findReport(rank int) *peerTotals {
	for i := range c.reports {
		if c.reports[i].rank == int32(rank) {
			return &c.reports[i]
		}
	}
	return nil
}

// findOrAddReport returns the totals that a peer has reported, and adds unknown ones if there are none.
func (c *customerGossip) findOrAddReport(rank int) *peerTotals {
	if t := c.findReport(rank); t != nil {
		return t
	}
	c.reports = append(c.reports, peerTotals{rank: int32(rank)})
	return &c.reports[len(c.reports)-1]
}

// queueGossip queues an entry about a customer for each of the customer's other gateways.
func (g *Gateway) queueGossip(c *customer) {
	for i := range g.gossip.peers {
		g.queueGossipTo(i, c)
	}
}

// queueGossipTo queues an entry about a customer for a peer, if the peer is one of the customer's gateways
// and no such entry is queued. Without room in the queue, the peer learns the totals from a later entry.
func (g *Gateway) queueGossipTo(rank int, c *customer) {
	p := &g.gossip.peers[rank]
	if rank == g.cfg.Rank || !g.servesCustomer(c, rank) || len(p.pending) >= g.gossip.maxPending {
		return
	}
	if c.gossip.queuedFor == nil {
		c.gossip.queuedFor = make([]bool, len(g.gossip.peers))
	}
	if !c.gossip.queuedFor[rank] {
		c.gossip.queuedFor[rank] = true
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
		c.gossip.sentAt = g.now
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
// duplicate or older than the last one of the sender are dropped, also if an earlier incarnation of the
// sender sent them.
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
	if p.isEarlier(epoch, g.now) {
		return
	}
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
// and entries about all customers are queued for it as long as there is room. It learns first about those
// that were used last.
func (g *Gateway) startIncarnation(rank int, p *peer) {
	if p.known {
		p.noteReplaced(p.epoch, g.now)
	}
	p.restarted, p.restartedAt = p.known, g.now
	for c := range g.customers.list.fromNewest() {
		if t := c.gossip.findReport(rank); t != nil {
			t.known = false
		}
		g.queueGossipTo(rank, c)
	}
}

// noteReplaced records that the incarnation with an epoch has been replaced.
func (p *peer) noteReplaced(epoch int, now time.Duration) {
	p.earlier = append(p.earlier, earlierEpoch{epoch, now})
	if len(p.earlier) > maxEarlierEpochs {
		p.earlier = p.earlier[1:]
	}
}

// isEarlier reports whether an epoch is that of an incarnation that was replaced not long ago. A later
// incarnation may have the same epoch by chance.
func (p *peer) isEarlier(epoch int, now time.Duration) bool {
	return slices.ContainsFunc(p.earlier, func(e earlierEpoch) bool {
		return e.epoch == epoch && now-e.replacedAt < maxGossipTransit
	})
}

// mergeTotals adds the growth of a peer's totals to the fleet level and the demand of a customer. Without
// totals of the last totalsLifetime to compare with, the peer's totals count in full if its incarnation began
// within that time and after this gateway started. Otherwise they include units used earlier, and the level
// that the peer reports is adopted instead.
func (g *Gateway) mergeTotals(from int, p *peer, e gossipEntry) {
	if e.planIndex >= len(g.cfg.Plans) {
		return
	}
	c := g.findOrAddCustomer(e.key, e.planIndex)
	g.refresh(c)
	t := c.gossip.findOrAddReport(from)
	switch {
	case t.isCurrent(g.now):
	case p.restarted && g.now-p.restartedAt < totalsLifetime:
		t.used, t.demanded = 0, 0
	default:
		t.used, t.demanded = uint16(e.used), uint16(e.demanded)
		c.bucket.fleetLevel = max(c.bucket.fleetLevel, stepsToLevel(e.level, c.plan.Burst))
	}
	c.bucket.fleetLevel = max(0, c.bucket.fleetLevel+totalDifference(int(t.used), e.used))
	t.demandRate.add(g.now, max(0, totalDifference(int(t.demanded), e.demanded)))
	t.known, t.used, t.demanded = true, uint16(e.used), uint16(e.demanded)
}
