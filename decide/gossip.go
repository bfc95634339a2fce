package decide

import (
	"strings"
	"time"
)

const (
	// of the stated intake is used by all peers together
	gossipCapacityUsed = 0.8
	// of the burst: asked units that are worth telling
	demandGossipStep = 0.25
	// an idle peer still says that it lives
	keepaliveInterval = 400 * time.Millisecond
	// messages a second between any two: under it customers have homes
	minFullGossipRate = 2.0
)

type peer struct {
	lastHeard, lastSent time.Duration
	epoch, seq, sentSeq int
	known               bool // heard since this gateway started
	startedLater        bool // it started after this gateway, so all of its totals are news
	pending             []*customer
}

// told is what one peer last said of a customer.
type peerTotals struct {
	known          bool
	used, demanded int
	demandRate     rate
}

// tellsAll reports whether the intake lets every gateway tell every other often enough.
func (g *Gateway) supportsFullGossip() bool {
	return !g.cfg.Limits.Gossip ||
		gossipCapacityUsed*g.cfg.GossipCapacity >= minFullGossipRate*float64(g.cfg.Gateways-1)
}

// tellSoon queues what is known of a customer for the gateways of those numbers that are in its set.
func (g *Gateway) queueGossip(c *customer, from, to int) {
	for i := from; i < to; i++ {
		if i != g.cfg.Rank && g.servesCustomer(c, i) && !c.queuedFor[i] {
			c.queuedFor[i] = true
			g.peers[i].pending = append(g.peers[i].pending, c)
		}
	}
}

func (g *Gateway) nextGossipMessage(i int, p *peer) string {
	var b strings.Builder
	encodeGossipHead(&b, g.epoch, p.sentSeq)
	n := min(len(p.pending), (maxGossipBytes-gossipHeadLength)/gossipEntryLength)
	for _, c := range p.pending[:n] {
		c.queuedFor[i] = false
		g.leak(c)
		c.encodeGossipEntry(&b)
	}
	p.pending = append([]*customer(nil), p.pending[n:]...)
	return b.String()
}

// heard takes a peer's message. Totals make lost and repeated messages harmless, the number makes late
// ones so, the epoch a restart of the peer.
func (g *Gateway) receiveGossip(e GossipReceived) {
	epoch, seq, ok := parseGossipHead(e.Text)
	other := e.From >= 0 && e.From < g.cfg.Gateways && e.From != g.cfg.Rank
	if other && !g.fullGossip {
		g.receiveGrantMessage(e.From, e.Text)
	}
	if !ok || !other || len(g.peers) == 0 {
		return
	}
	p := &g.peers[e.From]
	if p.known && p.epoch == epoch && wrappedDifference(p.seq, seq) <= 0 {
		return
	}
	if !p.known || p.epoch != epoch {
		g.startIncarnation(e.From, p)
	}
	p.epoch, p.seq, p.known, p.lastHeard = epoch, seq, true, g.now
	for s := e.Text[gossipHeadLength:]; s != ""; s = s[gossipEntryLength:] {
		g.mergeEntry(e.From, p, s[:gossipEntryLength])
	}
}

// greet meets a new life of a peer: its totals begin anew, and it is told all there is to tell.
func (g *Gateway) startIncarnation(i int, p *peer) {
	p.startedLater = p.known
	for _, c := range g.customerOrder {
		c.peerTotals[i].known = false
		g.queueGossip(c, i, i+1)
	}
}

func (g *Gateway) mergeEntry(from int, p *peer, s string) {
	key, planNo, used, asked, level := parseGossipEntry(s)
	if planNo >= len(g.cfg.Plans) {
		return
	}
	c := g.findOrAddCustomer(key, planNo)
	g.leak(c)
	t := &c.peerTotals[from]
	if !t.known {
		t.known = true
		if p.startedLater {
			t.used, t.demanded = 0, 0
		} else {
			t.used, t.demanded = used, asked
			c.fleetLevel = max(c.fleetLevel, level*c.plan.Burst)
		}
	}
	c.fleetLevel = max(0, c.fleetLevel+wrappedDifference(t.used, used))
	t.demandRate.add(g.now, max(0, wrappedDifference(t.demanded, asked)))
	t.used, t.demanded = used, asked
}
