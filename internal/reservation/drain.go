package reservation

// startDrain makes the drawn tokens free again, so that offerRemaining can offer them to other gateways.
// Tokens that stay here cannot be used by any gateway until this one is back.
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

// offerRemaining offers the tokens of this draining gateway to the other gateways of the member, in rotation,
// until they have requested all of them.
func (l *Ledger) offerRemaining(h *holding) {
	if h.drawn > 0 { // returned by requests that ended after startDrain
		h.free += h.drawn
		h.drawn = 0
		l.persist(h)
	}
	n := l.gatewayCount(h)
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

// Unsettled returns the units of all tokens that this gateway holds free or has sent without an
// acknowledgement. Reservations that have ended do not count. A draining gateway has handed over everything
// once it is 0.
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
