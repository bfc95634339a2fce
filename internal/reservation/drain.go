package reservation

// startDrain puts back the tokens that were drawn, so that offerRemaining can offer them to other gateways: what stays
// here is out of reach until this gateway is back.
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

// Unsettled is the tokens that a draining gateway still holds, or has sent and has no acknowledgement for.
func (l *Ledger) Unsettled() (sum float64) {
	for _, h := range l.byEnd {
		if h.ended {
			continue
		}
		sum += max(0, h.free)
		for _, t := range h.sent {
			sum += t.total - t.acknowledged
		}
	}
	return sum
}
