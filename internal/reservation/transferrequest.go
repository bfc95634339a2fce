package reservation

import (
	"cmp"
	"slices"
	"time"
)

// Requests for transfers.
const (
	maxTransferRequests    = 4                          // outstanding at once, of a reservation
	transferRequestTimeout = 40 * time.Millisecond      // a peer is asked again after it
	roomRequestInterval    = transferRequestTimeout / 2 // between two requests for room, of a reservation
	transferRequestRate    = 25.0                       // a second, of this gateway: peers take in only so many messages
	transferRequestBurst   = 16.0                       // requests at once
	requestAhead           = 250 * time.Millisecond     // of demand is requested beyond what waiting requests need
	// maxOutstanding bounds the requests that are remembered: those to peers that never answer would fill the memory.
	maxOutstanding = 64 * maxTransferRequests
)

// What is known of peers.
const (
	unansweredLimit    = 3                      // requests in a row that make a peer unresponsive
	unresponsivePeriod = time.Second            // it is asked last for so long
	minEmptyBackoff    = 500 * time.Millisecond // a peer that had nothing is not asked for so long ...
	maxEmptyBackoff    = 8 * time.Second        // ... doubling up to this while it has nothing
	reportLifetime     = 5 * time.Second        // a peer's report of its tokens is passed on for so long
	reportTrusted      = 500 * time.Millisecond // a peer's own report is not replaced by another one's
	tieBreak           = 1e-6                   // of a token: random part of a peer's score
)

// reportedEmpty reports whether a peer had nothing when it last answered, not long ago.
func (l *Ledger) reportedEmpty(h *holding, rank int) bool {
	p := &h.peers[rank]
	return p.emptyAt > 0 && l.now.Mono-p.emptyAt < p.emptyBackoff
}

// requestTransfers asks peers for what waiting requests need or a resize left owing, and for a little beyond it.
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
		h.nextRoomRequestAt = l.now.Mono + roomRequestInterval
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
