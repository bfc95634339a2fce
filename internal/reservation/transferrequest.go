package reservation

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of transfer requests.
const (
	// maxTransferRequests limits the outstanding transfer requests of a reservation, and the offers that a
	// draining gateway sends at once.
	maxTransferRequests = 4
	// transferRequestTimeout is the time after which an unanswered request is given up and its peer may be
	// asked again.
	transferRequestTimeout = 40 * time.Millisecond
	// roomRequestInterval is the shortest time between two requests for room of the same reservation.
	roomRequestInterval = transferRequestTimeout / 2
	// transferRequestRate limits the requests of this gateway per second, over all reservations. Peers accept
	// only a limited rate of messages.
	transferRequestRate  = 25.0
	transferRequestBurst = 16.0 // requests at once
	// requestAhead is the period of demand for which tokens are requested in advance, in addition to those
	// that waiting requests need.
	requestAhead = 250 * time.Millisecond
	// maxOutstanding limits the remembered requests of a reservation. Without it, requests to peers that
	// never answer would accumulate in memory. When it is exceeded, all are forgotten; tokens in a later
	// answer are still added.
	maxOutstanding = 64 * maxTransferRequests
)

// Parameters of what is known about peers.
const (
	// unansweredLimit is the number of consecutive unanswered requests that makes a peer unresponsive.
	unansweredLimit = 3
	// unresponsivePeriod is how long an unresponsive peer is asked only after all others.
	unresponsivePeriod = time.Second
	// minEmptyBackoff is how long a peer that reported no tokens is not asked again. The time doubles with
	// each such report, up to maxEmptyBackoff.
	minEmptyBackoff = 500 * time.Millisecond
	maxEmptyBackoff = 8 * time.Second
	// reportLifetime is how long a peer's report of its tokens is passed on to other gateways.
	reportLifetime = 5 * time.Second
	// reportTrusted is how long a peer's report of its own tokens is not overwritten by what another peer
	// says.
	reportTrusted = 500 * time.Millisecond
	// tieBreak bounds the random part of a peer's score, in tokens. It decides between peers of equal score.
	tieBreak = 1e-6
)

// reportedEmpty reports whether a peer said that it had no tokens, and its backoff has not yet passed.
func (l *Ledger) reportedEmpty(h *holding, rank int) bool {
	p := &h.peers[rank]
	return p.emptyAt > 0 && l.now.Mono-p.emptyAt < p.emptyBackoff
}

// requestTransfers requests tokens from peers if the waiting requests need more than this gateway has, or if
// tokens are owed after a resize. It asks for some tokens in advance. If only room under the ceiling is
// missing, it requests room.
func (l *Ledger) requestTransfers(h *holding) {
	if l.draining || l.settings.Gateways < 2 {
		return
	}
	waiting := h.waitingUnits()
	outstanding := l.expireTransferRequests(h)
	// Surplus tokens remain usable, so several peers are each asked for the whole amount. Room expires, so
	// only one peer is asked at a time.
	missingTokens := max(0, waiting-h.drawn-h.drawing-max(0, h.free)) + max(0, -h.free)
	if missingTokens > negligible {
		missingTokens += min(h.demand.valueAt(l.now.Mono)*requestAhead.Seconds(),
			h.Units/float64(l.settings.Gateways))
		for _, peer := range l.tokenCandidates(h) {
			if outstanding >= maxTransferRequests || !l.allowTransferRequest() {
				break
			}
			outstanding++
			l.sendTransferRequest(h, peer, missingTokens, 0)
		}
		return
	}
	missingRoom := waiting - h.room()
	if h.Ceiling && missingRoom > negligible && outstanding == 0 && l.now.Mono >= h.nextRoomRequestAt {
		// A peer whose room is all in use answers at once, without any room. The delay keeps such answers
		// from triggering the next request immediately, in a loop.
		h.nextRoomRequestAt = l.now.Mono + roomRequestInterval
		if peers := l.roomCandidates(h); len(peers) > 0 && l.allowTransferRequest() {
			l.sendTransferRequest(h, peers[0], 0, missingRoom)
		}
	}
}

// expireTransferRequests gives up requests that were not answered in time and returns the number that is
// still outstanding.
func (l *Ledger) expireTransferRequests(h *holding) (outstanding int) {
	for i := range h.peers {
		p := &h.peers[i]
		if p.requestedAt > 0 && l.now.Mono-p.requestedAt >= transferRequestTimeout {
			p.requestedAt = 0
			if p.unanswered++; p.unanswered >= unansweredLimit {
				// After the period, a single unanswered request makes the peer unresponsive again.
				p.unanswered, p.unresponsiveUntil = unansweredLimit-1, l.now.Mono+unresponsivePeriod
			}
		}
		if p.requestedAt > 0 {
			outstanding++
		}
	}
	return outstanding
}

// allowTransferRequest reports whether the rate limit allows another transfer request, and counts it if so.
func (l *Ledger) allowTransferRequest() bool {
	elapsed := (l.now.Mono - l.transferRequestsAt).Seconds()
	l.transferRequestsLeft = min(transferRequestBurst, l.transferRequestsLeft+transferRequestRate*elapsed)
	l.transferRequestsAt = l.now.Mono
	if l.transferRequestsLeft < 1 {
		return false
	}
	l.transferRequestsLeft--
	return true
}

// sendTransferRequest requests tokens or room from a peer.
func (l *Ledger) sendTransferRequest(h *holding, to int, tokens, room float64) {
	h.lastTransferRequest++
	if len(h.outstanding) > maxOutstanding {
		clear(h.outstanding)
	}
	h.outstanding[h.lastTransferRequest] = to
	h.peers[to].requestedAt = l.now.Mono
	l.emit(Send{to, requestMessage{h.ID, h.lastTransferRequest, h.epoch, tokens, room}.encode()})
}

// tokenCandidates returns the peers to ask for tokens, ordered by the tokens that they are believed to have,
// the most first. Peers that reported recently that they had none are left out.
func (l *Ledger) tokenCandidates(h *holding) []int {
	return l.candidates(h, func(rank int) (score float64, ok bool) {
		p := &h.peers[rank]
		switch {
		case l.reportedEmpty(h, rank):
			return 0, false
		case p.repliedAt == 0:
			return h.Units / float64(max(1, h.Spread)), true // not known; assume an even part
		}
		return p.reported, true
	})
}

// roomCandidates returns the peers to ask for room: those that enforce a share of the ceiling, in a random
// order in which larger shares tend to come first. In a fixed order, all gateways would ask the same peer.
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

// candidates returns the peers that have a score and no outstanding request, ordered by descending score.
// Unresponsive peers come last.
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
