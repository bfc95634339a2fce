package reservation

import (
	"slices"
	"time"
)

const (
	// maxQueueTime is the longest time that a request waits for tokens or room.
	maxQueueTime = 400 * time.Millisecond
	// drawPeriod is the period of demand for which tokens are drawn at once. It bounds the loss when the
	// machine crashes, because that loses the drawn tokens.
	drawPeriod = 500 * time.Millisecond
	// minDrawRequests is the smallest draw, as a multiple of the largest request. With smaller draws,
	// requests would wait for the disk too often.
	minDrawRequests = 2.0
	// negligibleDemand is the demand, in units per second, below which no tokens are drawn in advance. A
	// crash of the machine would lose the drawn tokens of a reservation that is not in use.
	negligibleDemand = 1e-3
)

// selectReservation returns the open reservation of the member that ends first, preferring those that may
// have enough units left. It returns nil if the member has no open reservation.
func (l *Ledger) selectReservation(member string, units float64) (found *holding) {
	for _, h := range l.byEnd {
		if h.Member == member && l.isOpen(h) &&
			(found == nil || l.exhausted(found, units) && !l.exhausted(h, units)) {
			found = h
		}
	}
	return found
}

// request queues a request, or rejects it if the member has no open reservation or this gateway is draining.
func (l *Ledger) request(e Request) {
	h := l.selectReservation(e.Member, e.Units)
	switch {
	case h == nil:
		l.emit(Reject{e.ID, NoReservation})
		return
	case l.draining:
		l.emit(Reject{e.ID, Draining})
		return
	}
	h.demand.add(l.now.Mono, e.Units)
	l.requests[e.ID] = h
	h.queue = append(h.queue, waitingRequest{e, l.now.Mono})
}

// requestEnded removes a request that still waits, or settles one in flight at the units that it used. Unused
// units become spendable again, or return to the member's quota if the reservation has ended.
func (l *Ledger) requestEnded(e RequestEnded) {
	h := l.requests[e.ID]
	if h == nil {
		return
	}
	delete(l.requests, e.ID)
	for i, w := range h.queue {
		if w.ID == e.ID {
			h.queue = slices.Delete(h.queue, i, i+1)
			return
		}
	}
	units := h.inFlight[e.ID]
	delete(h.inFlight, e.ID)
	h.spent += e.Used
	l.spend(h, e.Used-units)
	h.drawn += units - e.Used
	if h.ended && units > e.Used {
		h.drawn = 0
		l.emit(ReturnUnits{h.Member, units - e.Used})
	}
}

// waitingUnits returns the sum of the units of all waiting requests.
func (h *holding) waitingUnits() (sum float64) {
	for _, w := range h.queue {
		sum += w.Units
	}
	return sum
}

// serveQueue admits waiting requests in order while there are enough drawn tokens and room. It draws more
// tokens before and after, because admitted requests use up drawn ones, and rejects requests that must not
// wait any longer.
func (l *Ledger) serveQueue(h *holding) {
	if !l.isOpen(h) {
		return
	}
	if h.free < 0 && h.drawn > 0 { // tokens owed after a resize are paid back before any are spent
		n := min(-h.free, h.drawn)
		h.free += n
		h.drawn -= n
	}
	l.drawTokens(h)
	l.admitWaiting(h)
	l.drawTokens(h)
	h.queue = slices.DeleteFunc(h.queue, func(w waitingRequest) bool {
		reason := l.rejectReason(h, w)
		if reason == "" {
			return false
		}
		delete(l.requests, w.ID)
		l.emit(Reject{w.ID, reason})
		return true
	})
}

// admitWaiting admits waiting requests in order while there are enough drawn tokens and room. The record of what
// they spend precedes their Admit actions, so that a kill cannot let the same tokens be spent again.
func (l *Ledger) admitWaiting(h *holding) {
	spent := 0.0
	n := 0
	for ; n < len(h.queue); n++ {
		w := h.queue[n]
		if !covers(h.drawn, w.Units) || h.room() < w.Units {
			break
		}
		h.drawn -= w.Units
		spent += w.Units
		if h.Ceiling {
			h.useRoom(w.Units)
		}
		h.inFlight[w.ID] = w.Units
	}
	l.spend(h, spent)
	for _, w := range h.queue[:n] {
		l.emit(Admit{w.ID})
	}
	h.queue = h.queue[n:]
}

// rejectReason returns why a waiting request is rejected now. It is empty if the request may wait on.
func (l *Ledger) rejectReason(h *holding, w waitingRequest) Reason {
	switch {
	case covers(h.available(), w.Units) && h.drawing > 0 && l.now.Mono < w.Deadline:
		return "" // enough tokens are being drawn
	case l.exhausted(h, w.Units):
		return Exhausted
	case l.now.Mono < min(w.Deadline, w.queuedAt+maxQueueTime):
		return ""
	case covers(h.drawn, w.Units):
		return RateExceeded
	}
	return TokensUnavailable
}

// drawTokens moves tokens from the free to the drawn ones before they are spent. A process that starts after a
// crash of the machine finds only the free ones, so no token is spent twice. drawTokens draws when the drawn
// tokens do not cover the waiting requests, or, while there is demand, when less than half of a draw is left.
func (l *Ledger) drawTokens(h *holding) {
	if l.draining {
		return
	}
	waiting := h.waitingUnits()
	demand := h.demand.valueAt(l.now.Mono)
	drawSize := max(minDrawRequests*l.settings.MaxRequestUnits, demand*drawPeriod.Seconds())
	drawnOrDrawing := h.drawn + h.drawing
	enough := drawnOrDrawing >= waiting &&
		(drawnOrDrawing >= drawSize/2 || waiting == 0 && demand < negligibleDemand)
	if h.free <= 0 || enough {
		return
	}
	n := min(h.free, max(waiting-drawnOrDrawing, 0)+drawSize)
	h.free -= n
	h.drawing += n
	state := l.persist(h)
	l.deferred = append(l.deferred, deferredEffect{state: state, holding: h, draw: n})
}

// exhausted reports whether a request of so many units has no prospect of being served: this gateway has too
// few tokens, and every peer that responds reported recently that it had none.
func (l *Ledger) exhausted(h *holding, units float64) bool {
	if covers(h.available(), units) {
		return false
	}
	for i := range h.peers {
		if i != l.settings.Rank && !l.reportedEmpty(h, i) && h.peers[i].unresponsiveUntil <= l.now.Mono {
			return false
		}
	}
	return true
}
