package reservation

import "time"

// Parameters of answers and retransmissions.
const (
	// retainPeriod is the period of its own demand for which a gateway keeps tokens when a peer requests
	// some.
	retainPeriod = time.Second
	// minRetransmitInterval is the first interval at which an unacknowledged transfer is retransmitted. The
	// interval doubles with each retransmission, up to maxRetransmitInterval.
	minRetransmitInterval = 250 * time.Millisecond
	maxRetransmitInterval = 4 * time.Second
)

// receive handles a message from another gateway. It drops malformed messages and those for an unknown
// reservation or an earlier epoch of this gateway.
func (l *Ledger) receive(e MessageReceived) {
	if e.From < 0 || e.From >= l.settings.Gateways || e.From == l.settings.Rank {
		return
	}
	switch m := decodeMessage(e.Data).(type) {
	case offerMessage:
		h := l.holdings[m.reservation]
		if h != nil && h.announced && !h.ended && !l.draining && m.tokens > 0 && l.allowTransferRequest() {
			l.sendTransferRequest(h, e.From, m.tokens, 0)
		}
	case requestMessage:
		if h := l.holdings[m.reservation]; h != nil {
			l.handleTransferRequest(h, e.From, m)
		}
	case transferMessage:
		if h := l.holdings[m.reservation]; h != nil && m.receiverEpoch == h.epoch {
			l.noteLargestHolder(h, e.From, m)
			l.handleTransfer(h, e.From, m)
		}
	case acknowledgementMessage:
		if h := l.holdings[m.reservation]; h != nil && m.senderEpoch == h.epoch {
			if t := h.sent[tokenHolder{e.From, m.epoch}]; t != nil {
				t.acknowledged = max(t.acknowledged, min(t.total, m.total))
			}
		}
	}
}

// handleTransferRequest sends a peer the tokens and room that this gateway can spare. It always answers: an
// answer without tokens and room informs the peer that there is nothing to spare.
func (l *Ledger) handleTransferRequest(h *holding, from int, m requestMessage) {
	if !l.draining && h.announced && !h.ended {
		l.refillRoom(h)
	}
	tokens := l.spareTokens(h, m.tokens)
	room := l.takeGrantableRoom(h, m.room)
	to := tokenHolder{from, m.epoch}
	if tokens <= 0 {
		// The answer repeats the total, which may include tokens whose deduction here is not durable yet.
		l.sendWhenPersisted(l.lastState, from, l.encodeTransfer(h, to, m.number, room))
		return
	}
	h.free -= tokens
	h.transferred += tokens
	t := h.sent[to]
	if t == nil {
		t = &transfer{}
		h.sent[to] = t
	}
	t.total += tokens
	t.sentAt, t.retryInterval = l.now.Mono, minRetransmitInterval
	// A draining gateway requests nothing, so it receives no answers that state what its peers have. It
	// records what it sent to them, so that it can name the largest holder to others.
	if p := &h.peers[from]; l.draining {
		p.reported, p.repliedAt = p.reported+tokens, l.now.Mono
	}
	l.sendWhenPersisted(l.persist(h), from, l.encodeTransfer(h, to, m.number, room))
}

// spareTokens returns how many of the tokens that a peer wants this gateway can send: all but those that its
// own requests need next, which are at most half of its tokens. Drawn tokens that will not be used here soon
// are made free first. Otherwise small remainders at many gateways would stay unusable.
func (l *Ledger) spareTokens(h *holding, wanted float64) float64 {
	if h.ended || !(wanted > 0) {
		return 0
	}
	ownNeed := min((h.free+h.drawn)/2, h.demand.valueAt(l.now.Mono)*retainPeriod.Seconds())
	if idle := h.drawn - ownNeed; h.free < wanted && idle > 0 {
		h.free += idle
		h.drawn -= idle
	}
	return max(0, min(wanted, h.free-max(0, ownNeed-h.drawn)))
}

// takeGrantableRoom deducts from this gateway's room the part that it can grant to a peer, and returns it in
// units. wanted is the room that the peer requests. Room that this gateway's own waiting requests need is not
// granted. Neither is an amount too small for a request, which would expire unused.
func (l *Ledger) takeGrantableRoom(h *holding, wanted float64) float64 {
	if h.ended || !h.announced || !h.Ceiling || !(wanted > 0) {
		return 0
	}
	room := min(wanted, max(0, h.ceilingRoom-h.waitingUnits()))
	if room < min(wanted, l.settings.MaxRequestUnits)-negligible {
		return 0
	}
	h.ceilingRoom -= room
	return room
}

// encodeTransfer encodes a transfer message with the total of the tokens sent to a holder. The request number
// is 0 for a retransmission.
func (l *Ledger) encodeTransfer(h *holding, to tokenHolder, request uint64, room float64) []byte {
	m := transferMessage{reservation: h.ID, request: request, epoch: h.epoch, receiverEpoch: to.epoch,
		room: room, left: max(0, h.free)}
	if t := h.sent[to]; t != nil {
		m.total = t.total
	}
	rank, tokens := l.largestHolder(h, to.rank)
	m.largestHolder, m.largestHolderTokens = uint64(rank+1), tokens
	return m.encode()
}

// largestHolder returns the peer with the most tokens according to recent reports, and their number. It
// ignores the peer with the rank except, and unresponsive peers. The rank is -1 if no such peer is known.
// Transfer messages name this peer, because after a rolling restart a few gateways hold all tokens, and the
// others would have to ask one peer after another to find them.
func (l *Ledger) largestHolder(h *holding, except int) (rank int, tokens float64) {
	rank = -1
	for i := range h.peers {
		p := &h.peers[i]
		if i != except && i != l.settings.Rank && p.reported > tokens && p.unresponsiveUntil <= l.now.Mono &&
			l.now.Mono-p.repliedAt < reportLifetime {
			rank, tokens = i, p.reported
		}
	}
	return rank, tokens
}

// noteLargestHolder records the tokens of the gateway that a transfer message names as having the most.
func (l *Ledger) noteLargestHolder(h *holding, from int, m transferMessage) {
	rank := int(m.largestHolder) - 1
	if m.largestHolder == 0 || m.largestHolder > uint64(l.settings.Gateways) ||
		rank == l.settings.Rank || rank == from {
		return
	}
	if p := &h.peers[rank]; l.now.Mono-p.repliedAt > reportTrusted && m.largestHolderTokens > p.reported {
		p.reported, p.emptyAt, p.emptyBackoff = m.largestHolderTokens, 0, 0
	}
}

// handleTransfer adds the tokens and room of a transfer message. Only the growth of the total since the last
// message counts, so duplicate, late and lost messages do no harm.
func (l *Ledger) handleTransfer(h *holding, from int, m transferMessage) {
	sender := tokenHolder{from, m.epoch}
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
	acknowledgement := acknowledgementMessage{
		h.ID, m.epoch, h.epoch, max(m.total, h.received[sender])}.encode()
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

// retransmit sends the totals again that were not acknowledged in time.
func (l *Ledger) retransmit(h *holding) {
	for _, to := range sortedHolders(h.sent) {
		t := h.sent[to]
		if t.total <= t.acknowledged {
			continue
		}
		if l.now.Mono-t.sentAt >= t.retryInterval {
			t.sentAt, t.retryInterval = l.now.Mono, min(maxRetransmitInterval, 2*t.retryInterval)
			l.sendWhenPersisted(l.lastState, to.rank, l.encodeTransfer(h, to, 0, 0))
		}
		h.wakeAt = min(h.wakeAt, t.sentAt+t.retryInterval)
	}
}
