package reservation

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"winghatch/internal/encoding"
)

// maxDeferred is the number of deferred effects at which further messages are dropped instead of deferred.
// No tokens are lost: totals are retransmitted, and peers repeat requests that were not answered.
const maxDeferred = 4096

// Stored form of a state.
const (
	stateVersion     = 1
	minStateBytes    = 18 // version, reservation ID, epoch and flags
	flagMinted       = 1
	flagEnded        = 2
	maxStoredRank    = math.MaxUint16
	maxStoredHolders = math.MaxUint16
)

// deferredEffect takes effect once a state is durable. If draw is positive, tokens become spendable.
// Otherwise, if returned is positive, units are returned to the member's quota. Otherwise data is sent to
// another gateway.
type deferredEffect struct {
	state    uint64 // number of the state
	holding  *holding
	draw     float64 // tokens
	returned float64 // units
	to       int     // rank of the receiver of data
	data     []byte
}

// persist emits a Persist with the state of a reservation and returns the number of the state.
func (l *Ledger) persist(h *holding) (state uint64) {
	l.lastState++
	l.emit(Persist{l.lastState, l.appendDraws(h.encode(), h)})
	return l.lastState
}

// persisted carries out the effects that were deferred until this state, or an earlier one, is durable.
func (l *Ledger) persisted(state uint64) {
	l.persistedState = max(l.persistedState, state)
	var rest []deferredEffect
	for _, e := range l.deferred {
		switch {
		case e.state > state:
			rest = append(rest, e)
		case e.draw > 0:
			e.holding.drawn += e.draw
			e.holding.drawing -= e.draw
		case e.returned > 0:
			l.emit(ReturnUnits{e.holding.Member, e.returned})
		default:
			l.emit(Send{e.to, e.data})
		}
	}
	l.deferred = rest
}

// sendWhenPersisted sends a message once a state is durable, at once if it is already. It drops the message
// if too many effects are deferred.
func (l *Ledger) sendWhenPersisted(state uint64, to int, data []byte) {
	if state <= l.persistedState {
		l.emit(Send{to, data})
		return
	}
	if len(l.deferred) < maxDeferred {
		l.deferred = append(l.deferred, deferredEffect{state: state, to: to, data: data})
	}
}

// encode returns the stored form of the persisted fields, without the draws that appendDraws adds: a version
// byte of 1 and then, as package encoding writes them, the reservation ID, the epoch, a byte of flags (1
// minted, 2 ended), the units removed, the free tokens, the tokens sent (number of holders, then rank, epoch
// and total of each) and the tokens received (in the same form).
func (h *holding) encode() []byte {
	b := []byte{stateVersion}
	b = binary.LittleEndian.AppendUint64(b, h.ID)
	b = binary.LittleEndian.AppendUint64(b, h.epoch)
	flags := byte(0)
	if h.minted {
		flags |= flagMinted
	}
	if h.ended {
		flags |= flagEnded
	}
	b = append(b, flags)
	b = encoding.AppendFloat64(b, h.removed)
	b = encoding.AppendFloat64(b, h.free)
	b = binary.AppendUvarint(b, uint64(len(h.sent)))
	for _, k := range sortedHolders(h.sent) {
		b = appendHolderTotal(b, k, h.sent[k].total)
	}
	b = binary.AppendUvarint(b, uint64(len(h.received)))
	for _, k := range sortedHolders(h.received) {
		b = appendHolderTotal(b, k, h.received[k])
	}
	return b
}

// appendHolderTotal appends a holder and the total of the tokens sent to it or received from it.
func appendHolderTotal(b []byte, k tokenHolder, total float64) []byte {
	b = binary.AppendUvarint(b, uint64(k.rank))
	b = binary.LittleEndian.AppendUint64(b, k.epoch)
	return encoding.AppendFloat64(b, total)
}

// sortedHolders returns the keys of a map in a fixed order, so that the same events always produce the same
// bytes.
func sortedHolders[V any](m map[tokenHolder]V) []tokenHolder {
	keys := make([]tokenHolder, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b tokenHolder) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.epoch, b.epoch))
	})
	return keys
}

// Restore restores a persisted state. It must be called before the first event. A later state of a
// reservation replaces an earlier one. It returns an error if the state has an unknown version or is
// truncated.
func (l *Ledger) Restore(state []byte) error {
	if len(state) < minStateBytes || state[0] != stateVersion {
		return fmt.Errorf("reservation: stored state has %d bytes and version %v, want version %d",
			len(state), state[:min(1, len(state))], stateVersion)
	}
	r := &encoding.Reader{Rest: state[1:]}
	id, epoch := r.Uint64(), r.Uint64()
	flags := r.Byte()
	delete(l.holdings, id)
	h := l.holding(id)
	h.epoch, h.minted, h.ended = epoch, flags&flagMinted > 0, flags&flagEnded > 0
	h.removed, h.free = r.Float64(), r.Float64()
	readHolderTotals(r, func(k tokenHolder, total float64) {
		h.sent[k] = &transfer{total: total, retryInterval: minRetransmitInterval}
	})
	readHolderTotals(r, func(k tokenHolder, total float64) { h.received[k] = total })
	drawn := readDraws(r)
	if r.Malformed {
		delete(l.holdings, id)
		return fmt.Errorf("reservation %016x: stored state of %d bytes is truncated", id, len(state))
	}
	if !h.ended {
		h.free += l.unspent(id, drawn)
	}
	return nil
}

// readHolderTotals reads a count and that many entries written by appendHolderTotal, and calls add for each.
func readHolderTotals(r *encoding.Reader, add func(k tokenHolder, total float64)) {
	for n := r.Uvarint(maxStoredHolders); n > 0 && !r.Malformed; n-- {
		k := tokenHolder{rank: int(r.Uvarint(maxStoredRank))}
		k.epoch = r.Uint64()
		add(k, r.Float64())
	}
}

// States returns the states of all reservations, ordered by ID, for a snapshot.
func (l *Ledger) States() (out [][]byte) {
	for _, id := range sortedKeys(l.holdings) {
		h := l.holdings[id]
		out = append(out, l.appendDraws(h.encode(), h))
	}
	return out
}
