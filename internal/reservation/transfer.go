package reservation

import (
	"cmp"
	"slices"
	"time"
)

// Requests for transfers.
const (
	maxTransferRequests    = 4                      // outstanding at once, of a reservation
	transferRequestTimeout = 40 * time.Millisecond  // a peer is asked again after it
	transferRequestRate    = 25.0                   // a second, of this gateway: peers take in only so many messages
	transferRequestBurst   = 16.0                   // requests at once
	requestAhead           = 250 * time.Millisecond // of demand is requested beyond what waiting requests need
	maxOutstanding         = 64 * maxTransferRequests
)

// What is known of peers.
const (
	unansweredLimit    = 3                      // requests in a row that make a peer unresponsive
	unresponsivePeriod = time.Second            // it is asked last for so long
	minEmptyBackoff    = 500 * time.Millisecond // a peer that had nothing is not asked for so long ...
	maxEmptyBackoff    = 8 * time.Second        // ... doubling up to this while it has nothing
	reportLifetime     = 5 * time.Second        // a peer's report of its tokens is passed on for so long
	reportTrusted      = 500 * time.Millisecond // a peer's own report is not replaced by what another one tells
	tieBreak           = 1e-6                   // of a token: random part of a peer's score
)

// Answers.
const (
	retainPeriod          = time.Second            // of its own demand a gateway keeps when it is asked
	minRetransmitInterval = 250 * time.Millisecond // a transfer is repeated until it is acknowledged ...
	maxRetransmitInterval = 4 * time.Second        // ... at doubling intervals up to this
)

// reportedEmpty reports whether a peer had nothing when it last answered, not long ago.
func (l *Ledger) reportedEmpty(h *holding, rank int) bool {
	p := &h.peers[rank]
	return p.emptyAt > 0 && l.now.Mono-p.emptyAt < p.emptyBackoff
}

// requestTransfers asks peers for what waiting requests need, or a resize left owing, and a little ahead.
func (l *Ledger) requestTransfers(h *holding) {
	if l.draining || l.settings.Gateways < 2 {
		return
	}
	queued := h.queuedUnits()
	outstanding := l.expireTransferRequests(h)
	// Tokens keep, so several peers are asked for all of it; room expires, so one peer is asked at a time.
	short := max(0, queued-h.drawn-h.drawing-max(0, h.free)) + max(0, -h.free)
	if short > negligible {
		short += min(h.demand.valueAt(l.now.Mono)*requestAhead.Seconds(), h.Units/float64(l.settings.Gateways))
		for _, peer := range l.tokenCandidates(h) {
			if outstanding >= maxTransferRequests || !l.takeTransferRequest() {
				break
			}
			outstanding++
			l.sendTransferRequest(h, peer, short, 0)
		}
		return
	}
	missing := queued - h.room()
	if h.Ceiling && missing > negligible && outstanding == 0 && l.now.Mono >= h.nextRoomRequestAt {
		// Where all room is in use, an answer without any comes at once. The delay keeps that from being a loop.
		h.nextRoomRequestAt = l.now.Mono + transferRequestTimeout/2
		if peers := l.roomCandidates(h); len(peers) > 0 && l.takeTransferRequest() {
			l.sendTransferRequest(h, peers[0], 0, missing)
		}
	}
}

// expireTransferRequests gives up requests that were not answered in time and returns how many are outstanding.
func (l *Ledger) expireTransferRequests(h *holding) (outstanding int) {
	for i := range h.peers {
		p := &h.peers[i]
		if p.requestedAt > 0 && l.now.Mono-p.requestedAt >= transferRequestTimeout {
			p.requestedAt = 0
			if p.unanswered++; p.unanswered >= unansweredLimit {
				p.unanswered, p.unresponsiveUntil = unansweredLimit-1, l.now.Mono+unresponsivePeriod
			}
		}
		if p.requestedAt > 0 {
			outstanding++
		}
	}
	return outstanding
}

// takeTransferRequest counts a request in, if the rate limit allows it.
func (l *Ledger) takeTransferRequest() bool {
	elapsed := (l.now.Mono - l.transferRequestsAt).Seconds()
	l.transferRequestsLeft = min(transferRequestBurst, l.transferRequestsLeft+transferRequestRate*elapsed)
	l.transferRequestsAt = l.now.Mono
	if l.transferRequestsLeft < 1 {
		return false
	}
	l.transferRequestsLeft--
	return true
}

func (l *Ledger) sendTransferRequest(h *holding, to int, tokens, room float64) {
	h.lastTransferRequest++
	if len(h.outstanding) > maxOutstanding {
		clear(h.outstanding)
	}
	h.outstanding[h.lastTransferRequest] = to
	h.peers[to].requestedAt = l.now.Mono
	l.emit(Send{to, requestMessage{h.ID, h.lastTransferRequest, h.epoch, tokens, room}.encode()})
}

// tokenCandidates are the peers to ask for tokens, those first that should have most.
func (l *Ledger) tokenCandidates(h *holding) []int {
	return l.candidates(h, func(rank int) (score float64, ok bool) {
		p := &h.peers[rank]
		switch {
		case l.reportedEmpty(h, rank):
			return 0, false
		case p.repliedAt == 0:
			return h.Units / float64(max(1, h.Spread)), true // it should have its even part
		}
		return p.reported, true
	})
}

// roomCandidates are the peers to ask for room: those that enforce a share of the ceiling, in a random order in which
// larger shares tend to be first. Without chance all gateways would ask the same one.
func (l *Ledger) roomCandidates(h *holding) []int {
	return l.candidates(h, func(rank int) (score float64, ok bool) {
		for _, s := range h.ceilingShares {
			if s.Rank == rank {
				score = s.Fraction * l.random.Float64()
			}
		}
		return score, score != 0
	})
}

// candidates are the peers that have a score and no outstanding request, the highest score first, unresponsive ones
// last.
func (l *Ledger) candidates(h *holding, scoreOf func(rank int) (score float64, ok bool)) (ranks []int) {
	scores := make([]float64, l.settings.Gateways)
	for rank := range h.peers {
		if rank == l.settings.Rank || h.peers[rank].requestedAt > 0 {
			continue
		}
		score, ok := scoreOf(rank)
		if !ok {
			continue
		}
		if h.peers[rank].unresponsiveUntil > l.now.Mono {
			score = -1
		}
		scores[rank] = score + tieBreak*l.random.Float64()
		ranks = append(ranks, rank)
	}
	slices.SortFunc(ranks, func(a, b int) int { return cmp.Or(cmp.Compare(scores[b], scores[a]), a-b) })
	return ranks
}

// receive handles a message; a malformed one is dropped.
func (l *Ledger) receive(e MessageReceived) {
	if e.From < 0 || e.From >= l.settings.Gateways || e.From == l.settings.Rank {
		return
	}
	switch m := decodeMessage(e.Data).(type) {
	case offerMessage:
		h := l.holdings[m.reservation]
		if h != nil && h.announced && !h.ended && !l.draining && m.tokens > 0 && l.takeTransferRequest() {
			l.sendTransferRequest(h, e.From, m.tokens, 0)
		}
	case requestMessage:
		if h := l.holdings[m.reservation]; h != nil {
			l.handleTransferRequest(h, e.From, m)
		}
	case transferMessage:
		if h := l.holdings[m.reservation]; h != nil && m.receiverEpoch == h.epoch {
			l.noteRichest(h, e.From, m)
			l.handleTransfer(h, e.From, m)
		}
	case acknowledgementMessage:
		if h := l.holdings[m.reservation]; h != nil && m.senderEpoch == h.epoch {
			if t := h.sent[holder{e.From, m.epoch}]; t != nil {
				t.acknowledged = max(t.acknowledged, min(t.total, m.total))
			}
		}
	}
}

// handleTransferRequest gives a peer what this gateway can spare. An answer without anything says that there is
// nothing.
func (l *Ledger) handleTransferRequest(h *holding, from int, m requestMessage) {
	if !l.draining && h.announced && !h.ended {
		l.refillRoom(h)
	}
	tokens := l.spareTokens(h, m.tokens)
	room := l.spareRoom(h, m.room)
	to := holder{from, m.epoch}
	if tokens <= 0 {
		l.sendWhenPersisted(l.lastState, from, l.transferTo(h, to, m.number, room))
		return
	}
	h.free -= tokens
	h.given += tokens
	t := h.sent[to]
	if t == nil {
		t = &transfer{}
		h.sent[to] = t
	}
	t.total += tokens
	t.sentAt, t.retryInterval = l.now.Mono, minRetransmitInterval
	if p := &h.peers[from]; l.draining {
		p.reported, p.repliedAt = p.reported+tokens, l.now.Mono
	}
	l.sendWhenPersisted(l.persist(h), from, l.transferTo(h, to, m.number, room))
}

// spareTokens is how many of the tokens that a peer wants this gateway can give: all but what its own requests need
// next. Drawn tokens that are not used here soon are put back first: small rests at many gateways would be unusable.
func (l *Ledger) spareTokens(h *holding, wanted float64) float64 {
	if h.ended || !(wanted > 0) {
		return 0
	}
	own := min((h.free+h.drawn)/2, h.demand.valueAt(l.now.Mono)*retainPeriod.Seconds())
	if idle := h.drawn - own; h.free < wanted && idle > 0 {
		h.free += idle
		h.drawn -= idle
	}
	return max(0, min(wanted, h.free-max(0, own-h.drawn)))
}

// spareRoom takes off this gateway's room what it can give of the room that a peer wants: what its own requests do not
// wait for. It gives nothing rather than less than a request needs, which would expire unused.
func (l *Ledger) spareRoom(h *holding, wanted float64) float64 {
	if h.ended || !h.announced || !h.Ceiling || !(wanted > 0) {
		return 0
	}
	room := min(wanted, max(0, h.ceilingRoom-h.queuedUnits()))
	if room < min(wanted, l.settings.MaxRequestUnits)-negligible {
		return 0
	}
	h.ceilingRoom -= room
	return room
}

// transferTo is the message that tells a holder the total that was sent to it.
func (l *Ledger) transferTo(h *holding, to holder, request uint64, room float64) []byte {
	m := transferMessage{reservation: h.ID, request: request, epoch: h.epoch, receiverEpoch: to.epoch, room: room,
		left: max(0, h.free)}
	if t := h.sent[to]; t != nil {
		m.total = t.total
	}
	rank, tokens := l.richest(h, to.rank)
	m.richest, m.richestTokens = uint64(rank+1), tokens
	return m.encode()
}

// richest is the gateway that reported most tokens lately, but for one; -1: unknown. Peers are told of it: after a
// rolling restart, when few gateways hold all tokens, the others would find them one by one.
func (l *Ledger) richest(h *holding, but int) (rank int, tokens float64) {
	rank = -1
	for i := range h.peers {
		p := &h.peers[i]
		if i != but && i != l.settings.Rank && p.reported > tokens && p.unresponsiveUntil <= l.now.Mono &&
			l.now.Mono-p.repliedAt < reportLifetime {
			rank, tokens = i, p.reported
		}
	}
	return rank, tokens
}

// noteRichest notes the gateway that a transfer names as having most tokens.
func (l *Ledger) noteRichest(h *holding, from int, m transferMessage) {
	rank := int(m.richest) - 1
	if m.richest == 0 || m.richest > uint64(l.settings.Gateways) || rank == l.settings.Rank || rank == from {
		return
	}
	if p := &h.peers[rank]; l.now.Mono-p.repliedAt > reportTrusted && m.richestTokens > p.reported {
		p.reported, p.emptyAt, p.emptyBackoff = m.richestTokens, 0, 0
	}
}

// handleTransfer takes in tokens and room. Only what a total has grown by counts, so messages that come twice, late or
// not at all do no harm.
func (l *Ledger) handleTransfer(h *holding, from int, m transferMessage) {
	sender := holder{from, m.epoch}
	p := &h.peers[from]
	p.repliedAt, p.unanswered, p.unresponsiveUntil, p.reported = l.now.Mono, 0, 0, m.left
	if m.request != 0 && h.outstanding[m.request] == from {
		delete(h.outstanding, m.request)
		p.requestedAt = 0
		if m.room > 0 && !h.ended {
			h.roomGrants = append(h.roomGrants, roomGrant{m.room, l.now.Mono + roomGrantLifetime})
		}
	}
	added := m.total - h.received[sender]
	switch {
	case m.left > negligible || added > negligible:
		p.emptyAt, p.emptyBackoff = 0, 0
	case !l.reportedEmpty(h, from):
		p.emptyAt, p.emptyBackoff = l.now.Mono, min(maxEmptyBackoff, max(minEmptyBackoff, 2*p.emptyBackoff))
	}
	if m.total == 0 {
		return
	}
	acknowledgement := acknowledgementMessage{h.ID, m.epoch, h.epoch, max(m.total, h.received[sender])}.encode()
	if added <= 0 {
		l.sendWhenPersisted(l.lastState, from, acknowledgement)
		return
	}
	h.received[sender] = m.total
	if !h.ended {
		h.free += added
	}
	l.sendWhenPersisted(l.persist(h), from, acknowledgement)
}

// retransmit repeats the totals that were not acknowledged in time.
func (l *Ledger) retransmit(h *holding) {
	for _, to := range sortedHolders(h.sent) {
		t := h.sent[to]
		if t.total <= t.acknowledged {
			continue
		}
		if l.now.Mono-t.sentAt >= t.retryInterval {
			t.sentAt, t.retryInterval = l.now.Mono, min(maxRetransmitInterval, 2*t.retryInterval)
			l.sendWhenPersisted(l.lastState, to.rank, l.transferTo(h, to, 0, 0))
		}
		h.wakeAt = min(h.wakeAt, t.sentAt+t.retryInterval)
	}
}

// startDrain puts back the tokens that were drawn. offerRemaining hands all of them on.
func (l *Ledger) startDrain() {
	l.draining = true
	for _, h := range l.byEnd {
		if !h.ended {
			h.free += max(0, h.drawn)
			h.drawn = min(0, h.drawn)
			l.persist(h)
		}
	}
}

// offerRemaining offers the tokens of a draining gateway to the member's other gateways in turn, until they have
// requested them.
func (l *Ledger) offerRemaining(h *holding) {
	if h.drawn > 0 { // of requests that have ended since
		h.free += h.drawn
		h.drawn = 0
		l.persist(h)
	}
	n := l.gateways(h)
	if h.free <= negligible || n < 2 {
		return
	}
	h.wakeAt = min(h.wakeAt, l.now.Mono+transferRequestTimeout)
	if l.now.Mono < h.offeredAt+transferRequestTimeout {
		return
	}
	h.offeredAt = l.now.Mono
	receivers := min(n-1, maxTransferRequests)
	for left := receivers; left > 0; {
		h.offerTurn++
		if to := (h.First + (l.settings.Rank+h.offerTurn)%n) % l.settings.Gateways; to != l.settings.Rank {
			l.emit(Send{to, offerMessage{h.ID, h.free / float64(receivers)}.encode()})
			left--
		}
	}
}
