package reservation

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"winghatch/internal/encoding"
)

// maxDeferred bounds the messages that wait for the disk. One that is left out is sent again, as a total, or asked for
// again.
const maxDeferred = 4096

// Stored form of a state.
const (
	stateVersion     = 1
	minStateBytes    = 18 // up to the flags
	flagMinted       = 1
	flagEnded        = 2
	maxStoredRank    = math.MaxUint16
	maxStoredHolders = math.MaxUint16
)

// deferredEffect takes place once a state is durable: tokens become spendable, units are returned, or a message is
// sent.
type deferredEffect struct {
	state    uint64 // number
	holding  *holding
	draw     float64 // tokens that become spendable, if above 0
	returned float64 // units that are returned, if above 0
	to       int     // else: rank of the receiver
	data     []byte
}

// persist asks for the state of a reservation to be made durable and returns its number.
func (l *Ledger) persist(h *holding) (state uint64) {
	l.lastState++
	l.emit(Persist{l.lastState, h.encode()})
	return l.lastState
}

// persisted carries out the effects that waited for states up to that number.
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

// sendWhenPersisted sends a message once a state is durable.
func (l *Ledger) sendWhenPersisted(state uint64, to int, data []byte) {
	if state <= l.persistedState {
		l.emit(Send{to, data})
		return
	}
	if len(l.deferred) < maxDeferred {
		l.deferred = append(l.deferred, deferredEffect{state: state, to: to, data: data})
	}
}

// encode writes what is persisted: the version 1, then, in the form of package encoding, the reservation's ID, the
// epoch, a byte of flags (1 minted, 2 ended), the units removed, the tokens free, the tokens sent (how many holders,
// then rank, epoch and total of each) and the tokens received (the same).
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

// appendHolderTotal writes a holder and the tokens sent to it, or received from it, in total.
func appendHolderTotal(b []byte, k holder, total float64) []byte {
	b = binary.AppendUvarint(b, uint64(k.rank))
	b = binary.LittleEndian.AppendUint64(b, k.epoch)
	return encoding.AppendFloat64(b, total)
}

// sortedHolders orders a map's keys, so that the same events give the same bytes.
func sortedHolders[V any](m map[holder]V) []holder {
	keys := make([]holder, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b holder) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.epoch, b.epoch))
	})
	return keys
}

// Restore reads a persisted state, before the first event. Of one reservation the last one counts.
func (l *Ledger) Restore(state []byte) error {
	if len(state) < minStateBytes || state[0] != stateVersion {
		return fmt.Errorf("reservation: a state of %d bytes and version %v, want version %d",
			len(state), state[:min(1, len(state))], stateVersion)
	}
	r := &encoding.Reader{Rest: state[1:]}
	id, epoch := r.Uint64(), r.Uint64()
	flags := r.Byte()
	delete(l.holdings, id)
	h := l.holding(id)
	h.epoch, h.minted, h.ended = epoch, flags&flagMinted > 0, flags&flagEnded > 0
	h.removed, h.free = r.Float64(), r.Float64()
	readHolderTotals(r, func(k holder, total float64) {
		h.sent[k] = &transfer{total: total, retryInterval: minRetransmitInterval}
	})
	readHolderTotals(r, func(k holder, total float64) { h.received[k] = total })
	if r.Malformed {
		delete(l.holdings, id)
		return fmt.Errorf("reservation %016x: its state of %d bytes is cut short", id, len(state))
	}
	return nil
}

// readHolderTotals reads a count and as many of what appendHolderTotal wrote.
func readHolderTotals(r *encoding.Reader, add func(k holder, total float64)) {
	for n := r.Uvarint(maxStoredHolders); n > 0 && !r.Malformed; n-- {
		k := holder{rank: int(r.Uvarint(maxStoredRank))}
		k.epoch = r.Uint64()
		add(k, r.Float64())
	}
}

// States are the states of all reservations, for a snapshot. What is drawn is not part of them: a crash loses it, as it
// would without the snapshot.
func (l *Ledger) States() (out [][]byte) {
	var ids []uint64
	for id := range l.holdings {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		out = append(out, l.holdings[id].encode())
	}
	return out
}
