package reservation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"winghatch/internal/quotaplan"
)

// holder is a gateway's state of a reservation, in one epoch. A gateway that lost its disk begins a new epoch and is
// another holder: tokens that were sent to the former one are gone.
type holder struct {
	rank  int
	epoch uint64
}

// transfer is what was sent to one holder. Its message carries the total ever sent, so it may be lost, repeated or
// reordered without harm; it is retransmitted until the total is acknowledged.
type transfer struct {
	total, acknowledged float64
	sentAt              time.Duration
	retryInterval       time.Duration
}

// peerTokens is what is known of another gateway's tokens of a reservation.
type peerTokens struct {
	requestedAt       time.Duration // of the request that is outstanding; 0: none
	unanswered        int           // requests in a row
	unresponsiveUntil time.Duration // requests go to others first
	repliedAt         time.Duration // 0: never
	emptyAt           time.Duration // it reported that it had nothing; 0: it did not
	emptyBackoff      time.Duration // it is not asked for so long then
	reported          float64       // tokens that it had left
}

// waitingRequest waits for tokens or room.
type waitingRequest struct {
	Request
	queuedAt time.Duration
}

// roomGrant is room under the ceiling that another gateway gave.
type roomGrant struct {
	units float64
	until time.Duration
}

// holding is a reservation as this gateway has it. Amounts are in units.
type holding struct {
	quotaplan.Reservation
	ceilingShares []CeilingShare
	announced     bool // else only its persisted state is known

	// Persisted.
	epoch    uint64
	minted   bool    // its tokens were made here
	ended    bool    // its window is over, or it was cancelled
	removed  float64 // by resizes, of all gateways' parts together, as far as this gateway has taken its own off
	free     float64 // tokens here that are not drawn; below 0: owed after a resize
	sent     map[holder]*transfer
	received map[holder]float64 // in total from each

	// Of this process.
	drawn    float64 // tokens that may be spent; below 0: requests used more than they were sent with
	drawing  float64 // tokens whose draw is being persisted
	queue    []waitingRequest
	inFlight map[string]float64 // units of admitted requests, by ID
	demand   decayingRate

	ceilingRoom       float64 // under the share of the ceiling that is enforced here, as of ceilingRoomAt
	ceilingRoomAt     time.Duration
	roomGrants        []roomGrant
	nextRoomRequestAt time.Duration

	peers               []peerTokens   // by rank
	outstanding         map[uint64]int // transfer requests by number: rank that was asked
	lastTransferRequest uint64         // number
	offeredAt           time.Duration  // last offer of a draining gateway
	offerTurn           int            // of the gateways, in offers

	wakeAt time.Duration // something is due
	spent  float64       // by requests here
	given  float64       // to other gateways
}

// holding returns the state of a reservation, a new one if it has none.
func (l *Ledger) holding(id uint64) *holding {
	h := l.holdings[id]
	if h == nil {
		h = &holding{
			epoch:       l.settings.Epoch,
			sent:        map[holder]*transfer{},
			received:    map[holder]float64{},
			inFlight:    map[string]float64{},
			peers:       make([]peerTokens, l.settings.Gateways),
			outstanding: map[uint64]int{},
		}
		h.ID = id
		l.holdings[id] = h
	}
	return h
}

// isOpen reports whether the window of a reservation is now.
func (l *Ledger) isOpen(h *holding) bool {
	return h.announced && !h.ended && l.now.Wall >= h.From && l.now.Wall < h.To
}

// available is the tokens here that are spendable or can be made so.
func (h *holding) available() float64 { return h.drawn + h.drawing + max(0, h.free) }

// gateways is how many gateways the member uses.
func (l *Ledger) gateways(h *holding) int { return max(1, min(h.Spread, l.settings.Gateways)) }

// addReservation announces a reservation, which may have a persisted state.
func (l *Ledger) addReservation(e AddReservation) {
	h := l.holding(e.ID)
	if h.announced {
		return
	}
	h.announced, h.Reservation, h.ceilingShares = true, e.Reservation, e.CeilingShares
	h.ceilingRoomAt = l.now.Mono
	l.byEnd = append(l.byEnd, h)
	slices.SortFunc(l.byEnd, func(a, b *holding) int { return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.ID, b.ID)) })
	if h.AcceptedHere && !h.minted && !h.ended && h.mayMint() {
		h.minted, h.free = true, h.free+h.Units
		l.offerShares(h)
	}
	l.persist(h) // also the epoch, before anything is requested in its name
}

// mayMint reports whether this gateway may make the tokens of a reservation that it accepted. No former process of it
// may have made them: a state in which tokens were received or removed is one of a reservation in use. Without such a
// state the reservation was accepted by this process, or by a former one that ended before it persisted a state.
func (h *holding) mayMint() bool { return len(h.received) == 0 && h.removed == 0 }

// offerShares offers minted tokens to the member's gateways in even parts. A gateway that misses its offer requests
// tokens when it needs them.
func (l *Ledger) offerShares(h *holding) {
	n := l.gateways(h)
	for i := range n {
		if to := (h.First + i) % l.settings.Gateways; to != l.settings.Rank {
			l.emit(Send{to, offerMessage{h.ID, h.free / float64(n)}.encode()})
		}
	}
}

// resize takes this gateway's even part off a reservation that was shortened, or ends one that was cancelled.
func (l *Ledger) resize(e ResizeReservation) {
	h := l.holdings[e.ID]
	if h == nil || h.ended {
		return
	}
	by := h.Units - e.Units - h.removed
	if by <= 0 {
		return
	}
	h.removed += by
	if e.Units == 0 {
		l.end(h)
		return
	}
	n := l.gateways(h)
	if (l.settings.Rank-h.First+l.settings.Gateways)%l.settings.Gateways < n {
		// free may become negative: the gateway then owes tokens that others hold, and requests them before it spends
		// any more.
		h.free -= by / float64(n)
		h.free += max(0, h.drawn)
		h.drawn = min(0, h.drawn)
	}
	l.persist(h)
}

// end ends a reservation at this gateway: its requests are rejected, and what is left returns to ordinary use.
func (l *Ledger) end(h *holding) {
	left := max(0, h.free) + max(0, h.drawn) + max(0, h.drawing)
	h.ended, h.free, h.drawn = true, 0, min(0, h.drawn)
	l.deferred = slices.DeleteFunc(l.deferred, func(e deferredEffect) bool { return e.holding == h && e.draw > 0 })
	h.drawing = 0
	state := l.persist(h)
	for _, w := range h.queue {
		delete(l.requests, w.ID)
		l.emit(Reject{w.ID, NoReservation})
	}
	h.queue = nil
	if left > 0 {
		// Not before the end is durable: after a crash the units would be returned a second time.
		l.deferred = append(l.deferred, deferredEffect{state: state, holding: h, returned: left})
	}
}

// demandTimeConstant is how fast past demand fades: to 1/e in this time.
const demandTimeConstant = time.Second

// decayingRate is an exponentially fading mean of units a second.
type decayingRate struct {
	value float64
	at    time.Duration
}

func (r *decayingRate) valueAt(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.at).Seconds()/demandTimeConstant.Seconds())
}

func (r *decayingRate) add(now time.Duration, units float64) {
	r.value, r.at = r.valueAt(now)+units/demandTimeConstant.Seconds(), now
}
