package reservation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"winghatch/internal/quotaplan"
)

// tokenHolder identifies the tokens of a reservation at one gateway in one epoch. A gateway that lost its
// disk starts a new epoch and is then a different holder: tokens sent to the previous holder are lost.
type tokenHolder struct {
	rank  int
	epoch uint64
}

// transfer counts the tokens sent to one holder. A transfer message carries the total ever sent, so the
// message may be lost, duplicated or reordered without harm. It is retransmitted until the total is
// acknowledged.
type transfer struct {
	total, acknowledged float64       // tokens
	sentAt              time.Duration // time of the last transmission, on the monotonic clock
	retryInterval       time.Duration // the total is retransmitted this long after sentAt
}

// peerTokens records what a peer has reported about its tokens of a reservation, and the requests sent to it.
// Times are on the monotonic clock.
type peerTokens struct {
	requestedAt       time.Duration // time of the outstanding transfer request; 0: none
	unanswered        int           // consecutive requests without an answer
	unresponsiveUntil time.Duration // until then the peer is asked only after all others
	repliedAt         time.Duration // time of its last reply, or of tokens sent to it while draining; 0: none
	emptyAt           time.Duration // report of no tokens that began emptyBackoff; 0: last known to have some
	emptyBackoff      time.Duration // after emptyAt, the peer is not asked for this long
	reported          float64       // tokens that the peer is believed to have, according to reports
}

// waitingRequest is a request that waits for tokens or for room under the ceiling.
type waitingRequest struct {
	Request
	queuedAt time.Duration // on the monotonic clock
}

// roomGrant is room under the ceiling that another gateway granted.
type roomGrant struct {
	units float64       // part of the grant that is not used yet
	until time.Duration // time at which the grant expires, on the monotonic clock
}

// holding is the state of a reservation at this gateway. Amounts are in units, times on the monotonic clock.
type holding struct {
	quotaplan.Reservation
	ceilingShares []CeilingShare
	announced     bool // false: only the persisted state is known, the reservation itself is not

	// Persisted state.
	epoch    uint64
	minted   bool                      // this gateway minted the tokens
	ended    bool                      // the window has passed, or the reservation was cancelled
	removed  float64                   // units removed by resizes, over all gateways; free is already reduced
	free     float64                   // tokens that are not drawn; negative: owed after a resize
	sent     map[tokenHolder]*transfer // tokens sent to each holder
	received map[tokenHolder]float64   // total of the tokens received from each holder

	// Persisted in spending records.
	committed       float64 // units of all requests that this process admitted; of ended ones what they used
	committedRecord uint64  // number of the last spending record

	// State of this process, not persisted.
	drawn    float64 // spendable tokens; negative: requests used more units than they were admitted with
	drawing  float64 // tokens whose draw is being persisted
	queue    []waitingRequest
	inFlight map[string]float64 // units of admitted requests, keyed by request ID
	demand   decayingRate       // units of the requests that arrived here, per second

	ceilingRoom       float64 // room under this gateway's share of the ceiling, as of ceilingRoomAt
	ceilingRoomAt     time.Duration
	roomGrants        []roomGrant
	nextRoomRequestAt time.Duration

	peers               []peerTokens   // indexed by rank
	outstanding         map[uint64]int // rank of the peer asked, keyed by number of the transfer request
	lastTransferRequest uint64         // number of the last transfer request
	offeredAt           time.Duration  // time of the last offer while draining
	offerTurn           int            // position in the rotation of gateways that get an offer

	wakeAt      time.Duration // time at which work is due even if no event arrives before
	spent       float64       // units used by requests that have ended here
	transferred float64       // tokens sent to other gateways
}

// holding returns the state of a reservation and creates it if it does not exist.
func (l *Ledger) holding(id uint64) *holding {
	h := l.holdings[id]
	if h == nil {
		h = &holding{
			epoch:       l.settings.Epoch,
			sent:        map[tokenHolder]*transfer{},
			received:    map[tokenHolder]float64{},
			inFlight:    map[string]float64{},
			peers:       make([]peerTokens, l.settings.Gateways),
			outstanding: map[uint64]int{},
		}
		h.ID = id
		l.holdings[id] = h
	}
	return h
}

// isOpen reports whether a reservation can be used now: it is announced, has not ended, and its window is
// open.
func (l *Ledger) isOpen(h *holding) bool {
	return h.announced && !h.ended && l.now.Wall >= h.From && l.now.Wall < h.To
}

// available returns the tokens at this gateway that are spendable or can be drawn.
func (h *holding) available() float64 { return h.drawn + h.drawing + max(0, h.free) }

// coverTolerance is the number of tokens that a request may lack. It exceeds the negligible tokens that all
// other gateways of a fleet may be left with, each of which counts as empty.
const coverTolerance = 1000 * negligible

// covers reports whether so many tokens suffice for a number of units. Rounding errors and negligible tokens
// at other gateways must not make the last unit unusable.
func covers(tokens, units float64) bool { return tokens >= units-coverTolerance }

// gatewayCount returns the number of gateways that the member uses, at least 1.
func (l *Ledger) gatewayCount(h *holding) int { return max(1, min(h.Spread, l.settings.Gateways)) }

// addReservation announces a reservation, whose state may have been restored before. It mints the tokens if
// this gateway accepted the reservation and they were not minted before.
func (l *Ledger) addReservation(e AddReservation) {
	h := l.holding(e.ID)
	if h.announced {
		return
	}
	h.announced, h.Reservation, h.ceilingShares = true, e.Reservation, e.CeilingShares
	h.ceilingRoomAt = l.now.Mono
	l.byEnd = append(l.byEnd, h)
	slices.SortFunc(l.byEnd, func(a, b *holding) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.ID, b.ID))
	})
	if h.AcceptedHere && !h.minted && !h.ended && h.mayMint() {
		h.minted, h.free = true, h.free+h.Units
		l.offerShares(h)
	}
	l.persist(h) // persists the epoch before tokens are requested for it
}

// mayMint reports whether this gateway may mint the tokens of a reservation that it accepted. It must not if
// an earlier process of this gateway has already minted them. A state with received or removed tokens belongs
// to a reservation in use, whose tokens exist. Without such a state, the reservation was accepted by this
// process, or by an earlier one that ended before it persisted a state.
func (h *holding) mayMint() bool { return len(h.received) == 0 && h.removed == 0 }

// offerShares offers each of the member's gateways an even part of the minted tokens. A gateway that misses
// its offer requests tokens when it needs them.
func (l *Ledger) offerShares(h *holding) {
	n := l.gatewayCount(h)
	for i := range n {
		if to := (h.First + i) % l.settings.Gateways; to != l.settings.Rank {
			l.emit(Send{to, offerMessage{h.ID, h.free / float64(n)}.encode()})
		}
	}
}

// resize deducts this gateway's even part of the removed units from its tokens. A resize to 0 units ends the
// reservation.
func (l *Ledger) resize(e ResizeReservation) {
	h := l.holdings[e.ID]
	if h == nil || h.ended {
		return
	}
	reduction := h.Units - e.Units - h.removed
	if reduction <= 0 {
		return
	}
	h.removed += reduction
	if e.Units == 0 {
		l.end(h)
		return
	}
	n := l.gatewayCount(h)
	if (l.settings.Rank-h.First+l.settings.Gateways)%l.settings.Gateways < n {
		// If other gateways hold the tokens, free becomes negative. This gateway then has to obtain the
		// missing tokens from its peers before it spends any more.
		h.free -= reduction / float64(n)
		h.free += max(0, h.drawn)
		h.drawn = min(0, h.drawn)
	}
	l.persist(h)
}

// end ends a reservation at this gateway. It rejects the waiting requests and returns the unused units to the
// member's quota.
func (l *Ledger) end(h *holding) {
	left := max(0, h.free) + max(0, h.drawn) + max(0, h.drawing)
	h.ended, h.free, h.drawn = true, 0, min(0, h.drawn)
	l.deferred = slices.DeleteFunc(l.deferred, func(e deferredEffect) bool {
		return e.holding == h && e.draw > 0
	})
	h.drawing = 0
	state := l.persist(h)
	for _, w := range h.queue {
		delete(l.requests, w.ID)
		l.emit(Reject{w.ID, NoReservation})
	}
	h.queue = nil
	if left > 0 {
		// The units are returned only when the end is durable. Otherwise a crash would return them a second
		// time.
		l.deferred = append(l.deferred, deferredEffect{state: state, holding: h, returned: left})
	}
}

// demandTimeConstant is the time in which the weight of past demand decays to 1/e.
const demandTimeConstant = time.Second

// decayingRate is an exponentially decaying average of a rate, in units per second.
type decayingRate struct {
	value float64       // average at the time at
	at    time.Duration // time of the last add, on the monotonic clock
}

// valueAt returns the average at a time not before the last call of add.
func (r *decayingRate) valueAt(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.at).Seconds()/demandTimeConstant.Seconds())
}

// add adds units that were requested now.
func (r *decayingRate) add(now time.Duration, units float64) {
	r.value, r.at = r.valueAt(now)+units/demandTimeConstant.Seconds(), now
}
