package reservation

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"winghatch/internal/encoding"
)

// spendingVersion is the first byte of a spending record. Then follow the reservation ID, the epoch of the
// process, the number of the record, and all units that the process has spent of the reservation so far. With a
// reservation ID of 0, the record states only that the process writes spending records. Of the records of one
// process and reservation, the one with the highest number counts.
const spendingVersion = 1

// spendingKey identifies what one process of this gateway spent of a reservation.
type spendingKey struct {
	process     uint64 // epoch of the process, see Settings.Epoch
	reservation uint64 // ID of the reservation
}

// spending is the content of a spending record.
type spending struct {
	number uint64
	spent  float64 // units
}

// recordedSpending is what spending records of earlier processes of this gateway say.
type recordedSpending struct {
	started map[uint64]bool // processes that could write spending records
	spent   map[spendingKey]spending
	needed  map[uint64]bool // processes to whose draws a restored state refers
}

func newRecordedSpending() recordedSpending {
	return recordedSpending{map[uint64]bool{}, map[spendingKey]spending{}, map[uint64]bool{}}
}

// encodeSpending returns the stored form of a spending record.
func encodeSpending(k spendingKey, s spending) []byte {
	b := []byte{spendingVersion}
	b = binary.LittleEndian.AppendUint64(b, k.reservation)
	b = binary.LittleEndian.AppendUint64(b, k.process)
	b = binary.LittleEndian.AppendUint64(b, s.number)
	return encoding.AppendFloat64(b, s.spent)
}

// StartRecord returns the spending record that the caller has to write before the first event. Without it, the
// next process takes everything that this one draws as spent.
func (l *Ledger) StartRecord() []byte {
	return encodeSpending(spendingKey{process: l.settings.Epoch}, spending{})
}

// RestoreSpending restores a spending record of an earlier process. It must be called before Restore, and
// returns an error if the record has an unknown version or is truncated.
func (l *Ledger) RestoreSpending(record []byte) error {
	if len(record) == 0 || record[0] != spendingVersion {
		return fmt.Errorf("reservation: spending record has %d bytes and version %v, want version %d",
			len(record), record[:min(1, len(record))], spendingVersion)
	}
	r := &encoding.Reader{Rest: record[1:]}
	k := spendingKey{reservation: r.Uint64(), process: r.Uint64()}
	s := spending{number: r.Uint64(), spent: r.Float64()}
	if r.Malformed {
		return fmt.Errorf("reservation %016x: spending record of %d bytes is truncated", k.reservation, len(record))
	}
	if k.reservation == 0 {
		l.recorded.started[k.process] = true
		return nil
	}
	if s.number > l.recorded.spent[k].number {
		l.recorded.spent[k] = s
	}
	return nil
}

// SpendingRecords returns the records that replace all earlier ones: those of this process, and those to which
// restored states refer.
func (l *Ledger) SpendingRecords() (records [][]byte) {
	records = append(records, l.StartRecord())
	for _, process := range sortedKeys(l.recorded.needed) {
		if l.recorded.started[process] {
			records = append(records, encodeSpending(spendingKey{process: process}, spending{}))
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(l.recorded.spent), compareSpendingKeys) {
		if l.recorded.needed[k.process] {
			records = append(records, encodeSpending(k, l.recorded.spent[k]))
		}
	}
	for _, id := range sortedKeys(l.holdings) {
		if h := l.holdings[id]; h.committedRecord > 0 {
			records = append(records, l.spendingRecord(h))
		}
	}
	return records
}

// sortedKeys returns the keys of a map in ascending order, so that the same events always produce the same
// bytes.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// compareSpendingKeys orders keys by process and then by reservation.
func compareSpendingKeys(a, b spendingKey) int {
	return cmp.Or(cmp.Compare(a.process, b.process), cmp.Compare(a.reservation, b.reservation))
}

// spendingRecord returns the record of what this process has spent of a reservation.
func (l *Ledger) spendingRecord(h *holding) []byte {
	return encodeSpending(spendingKey{l.settings.Epoch, h.ID}, spending{h.committedRecord, h.committed})
}

// spend adds to the units that this process has spent and emits their record. units is negative if an ended
// request used less than it was admitted with.
func (l *Ledger) spend(h *holding, units float64) {
	if units == 0 {
		return
	}
	h.committed += units
	l.lastSpending++
	h.committedRecord = l.lastSpending
	l.emit(RecordSpending{l.spendingRecord(h)})
}

// draws are the tokens that a process had drawn when it persisted a state.
type draws struct {
	process uint64
	boot    uint64  // see Settings.Boot
	total   float64 // all tokens that the process had drawn and not made free again
}

// appendDraws appends the draws of this process to a stored state. Earlier versions ignore them. It appends
// nothing while nothing is drawn, after the end of the reservation, or if the start of the machine is not known.
func (l *Ledger) appendDraws(state []byte, h *holding) []byte {
	total := h.drawn + h.drawing + h.committed
	if total == 0 || h.ended || l.settings.Boot == 0 {
		return state
	}
	state = binary.LittleEndian.AppendUint64(state, l.settings.Epoch)
	state = binary.LittleEndian.AppendUint64(state, l.settings.Boot)
	return encoding.AppendFloat64(state, total)
}

// readDraws reads what appendDraws appended. Without it, the process that wrote the state had drawn nothing,
// or belonged to an earlier version, whose draws are spent.
func readDraws(r *encoding.Reader) (d draws) {
	if len(r.Rest) == 0 {
		return d
	}
	return draws{r.Uint64(), r.Uint64(), r.Float64()}
}

// unspent returns the tokens that an earlier process had drawn from a reservation and not spent; negative if
// its requests used more than was drawn. Spending records are not synced, so they are complete only if the
// machine has not been started again since. Otherwise all drawn tokens count as spent.
func (l *Ledger) unspent(reservation uint64, d draws) float64 {
	if d.boot == 0 || d.boot != l.settings.Boot || !l.recorded.started[d.process] {
		return 0
	}
	l.recorded.needed[d.process] = true
	return d.total - l.recorded.spent[spendingKey{d.process, reservation}].spent
}
