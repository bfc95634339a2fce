package reservation

import (
	"math"
	"slices"
	"time"
)

const (
	// roomGrantLifetime is how long room that another gateway gave may be used. It bounds what is admitted beyond the
	// ceiling's burst while the giver refills.
	roomGrantLifetime = 100 * time.Millisecond
	// negligible is an amount of units that is a rounding error.
	negligible = 1e-9
)

// ceilingFraction is the part of the ceiling that is enforced at this gateway.
func (l *Ledger) ceilingFraction(h *holding) float64 {
	for _, s := range h.ceilingShares {
		if s.Rank == l.settings.Rank {
			return s.Fraction
		}
	}
	return 0
}

// refillRoom refills the room under the ceiling up to now. It is empty at the start of the window and of the process,
// as that of ordinary requests is whose rate was lowered by the reservation's: the two together never have more than
// the ceiling alone would.
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

// room is the units that the ceiling lets pass here now. A reservation's rate without a ceiling is no limit: only its
// admission regards it.
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

// useRoom uses room, that of other gateways first: it expires.
func (h *holding) useRoom(units float64) {
	for i := range h.roomGrants {
		n := min(units, h.roomGrants[i].units)
		h.roomGrants[i].units -= n
		units -= n
	}
	h.ceilingRoom -= units
}
