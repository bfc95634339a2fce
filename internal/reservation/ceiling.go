package reservation

import (
	"math"
	"slices"
	"time"
)

const (
	// roomGrantLifetime is the time after which room granted by another gateway expires. The granting gateway
	// refills its own room meanwhile, so the lifetime bounds the units admitted beyond the burst of the
	// ceiling.
	roomGrantLifetime = 100 * time.Millisecond
	// negligible is the number of units at or below which an amount is treated as a rounding error.
	negligible = 1e-9
)

// ceilingFraction returns the fraction of the ceiling, from 0 to 1, that this gateway enforces.
func (l *Ledger) ceilingFraction(h *holding) float64 {
	for _, s := range h.ceilingShares {
		if s.Rank == l.settings.Rank {
			return s.Fraction
		}
	}
	return 0
}

// refillRoom adds the room under the ceiling that has accrued since the last call, and drops grants that have
// expired or are used up. The room is empty when the window opens and when the process starts. The ceiling of
// ordinary requests is lowered by the rate of the reservation and starts empty in the same way, so reserved
// and ordinary requests together never get more than the ceiling alone would allow.
func (l *Ledger) refillRoom(h *holding) {
	elapsed := (l.now.Mono - h.ceilingRoomAt).Seconds()
	h.ceilingRoomAt = l.now.Mono
	if !h.Ceiling || !l.isOpen(h) {
		h.ceilingRoom = 0
		return
	}
	fraction := l.ceilingFraction(h)
	h.ceilingRoom = min(h.ceilingRoom+h.Rate*fraction*elapsed, h.Burst*fraction)
	h.roomGrants = slices.DeleteFunc(h.roomGrants, func(g roomGrant) bool {
		return g.until < l.now.Mono || g.units <= negligible
	})
}

// room returns the units that the ceiling allows at this gateway now. It is infinite without a ceiling: the
// rate of such a reservation is only checked when the reservation is accepted and does not limit requests.
func (h *holding) room() float64 {
	if !h.Ceiling {
		return math.Inf(1)
	}
	sum := h.ceilingRoom
	for _, g := range h.roomGrants {
		sum += g.units
	}
	return sum
}

// useRoom deducts units from the room. Grants of other gateways are used first because they expire.
func (h *holding) useRoom(units float64) {
	for i := range h.roomGrants {
		n := min(units, h.roomGrants[i].units)
		h.roomGrants[i].units -= n
		units -= n
	}
	h.ceilingRoom -= units
}
