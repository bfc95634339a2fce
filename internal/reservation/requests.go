package reservation

import (
	"slices"
	"time"
)

const (
	// maxQueueTime is how long a request waits for tokens or room.
	maxQueueTime = 400 * time.Millisecond
	// drawPeriod is the demand that is drawn at once. A crash loses at most what is drawn.
	drawPeriod = 500 * time.Millisecond
	// minDrawOfLargestRequest is the least draw, in largest requests: a small one would wait for the disk too often.
	minDrawOfLargestRequest = 2.0
	// negligibleDemand is a demand, in units a second, at which nothing is drawn ahead: drawn tokens of a reservation
	// that is not used would only be lost in a crash.
	negligibleDemand = 1e-3
)

// selectReservation is the member's open reservation that ends first, of those that may have so many units left.
func (l *Ledger) selectReservation(member string, units float64) (found *holding) {
	for _, h := range l.byEnd {
		if h.Member == member && l.isOpen(h) &&
			(found == nil || l.exhausted(found, units) && !l.exhausted(h, units)) {
			found = h
		}
	}
	return found
}

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
	h.drawn += units - e.Used
	if h.ended && units > e.Used {
		h.drawn = 0
		l.emit(ReturnUnits{h.Member, units - e.Used})
	}
}

// queuedUnits is the units of the requests that wait.
func (h *holding) queuedUnits() (sum float64) {
	for _, w := range h.queue {
		sum += w.Units
	}
	return sum
}

// serveQueue admits requests in order while there are drawn tokens and room, draws more tokens, and rejects requests
// that waited too long.
func (l *Ledger) serveQueue(h *holding) {
	if !l.isOpen(h) {
		return
	}
	if h.free < 0 && h.drawn > 0 { // owed after a resize: paid before anything is spent
		n := min(-h.free, h.drawn)
		h.free += n
		h.drawn -= n
	}
	l.drawTokens(h)
	for len(h.queue) > 0 {
		w := h.queue[0]
		if h.drawn < w.Units || h.room() < w.Units {
			break
		}
		h.queue = h.queue[1:]
		h.drawn -= w.Units
		if h.Ceiling {
			h.useRoom(w.Units)
		}
		h.inFlight[w.ID] = w.Units
		l.emit(Admit{w.ID})
	}
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

// rejectReason is why a request must not wait any longer, or empty.
func (l *Ledger) rejectReason(h *holding, w waitingRequest) Reason {
	switch {
	case h.available() >= w.Units && h.drawing > 0 && l.now.Mono < w.Deadline:
		return "" // its tokens are being drawn
	case l.exhausted(h, w.Units):
		return Exhausted
	case l.now.Mono < min(w.Deadline, w.queuedAt+maxQueueTime):
		return ""
	case h.drawn >= w.Units:
		return RateExceeded
	}
	return TokensUnavailable
}

// drawTokens takes tokens out of the state that a crash leaves, before they are spent. A process that restarts finds
// only the others, so none is spent twice.
func (l *Ledger) drawTokens(h *holding) {
	if l.draining {
		return
	}
	queued := h.queuedUnits()
	demand := h.demand.valueAt(l.now.Mono)
	chunk := max(minDrawOfLargestRequest*l.settings.MaxRequestUnits, demand*drawPeriod.Seconds())
	have := h.drawn + h.drawing
	enough := have >= queued && (have >= chunk/2 || queued == 0 && demand < negligibleDemand)
	if h.free <= 0 || enough {
		return
	}
	n := min(h.free, max(queued-have, 0)+chunk)
	h.free -= n
	h.drawing += n
	state := l.persist(h)
	l.deferred = append(l.deferred, deferredEffect{state: state, holding: h, draw: n})
}

// exhausted reports whether nobody seems to have so many units: neither this gateway nor, by their last reports, the
// others that respond.
func (l *Ledger) exhausted(h *holding, units float64) bool {
	if h.available() >= units {
		return false
	}
	for i := range h.peers {
		if i != l.settings.Rank && !l.reportedEmpty(h, i) && h.peers[i].unresponsiveUntil <= l.now.Mono {
			return false
		}
	}
	return true
}
