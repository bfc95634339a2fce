package outbox

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"winghatch/internal/encoding"
)

// Policy says what happens to calls while the log can't be written.
type Policy int

// The policies.
const (
	Refuse Policy = iota // nothing is sent that is not covered
	Serve                // it is sent, counted, and told to the receiver as a gap
)

// ID names a try within a life of a gateway.
type ID uint64

// DeskEvent is something that a desk is told.
type DeskEvent interface{ deskEvent() }

// DeskAction is something that a desk wants done.
type DeskAction interface{ deskAction() }

type (
	// Intend asks whether a try may be sent. It is answered by Append, Release or Deny.
	Intend struct {
		ID   ID
		Try  Try
		Room bool // the log has room for more than what is already owed
	}
	// Appended is the answer to Append: the record's number, or why there is none.
	Appended struct {
		ID     ID
		Rec    uint64
		Failed string
	}
	// Durable says that all records up to that number are.
	Durable struct{ Rec uint64 }
	// Broken says that the log can't be written, or can again.
	Broken struct{ Why string }
	// Settle ends a try.
	Settle struct {
		ID      ID
		Outcome Outcome
		Used    float64
		Wall    int64
	}
	// Acked says that the receiver has all up to a record.
	Acked struct{ Rec uint64 }

	// Append asks for a record; it is answered by Appended before anything else, unless ID is 0.
	Append struct {
		ID      ID
		Payload []byte
	}
	// Release lets a try be sent.
	Release struct{ ID ID }
	// Deny forbids it: nothing of it may leave.
	Deny struct{ ID ID }
)

func (Intend) deskEvent()   {}
func (Appended) deskEvent() {}
func (Durable) deskEvent()  {}
func (Broken) deskEvent()   {}
func (Settle) deskEvent()   {}
func (Acked) deskEvent()    {}

func (Append) deskAction()  {}
func (Release) deskAction() {}
func (Deny) deskAction()    {}

// entry is a try that is not settled in the log.
type entry struct {
	try     Try
	rec     uint64 // of the intent; 0: not appended
	sent    bool   // released
	covered bool   // its intent is in the log
	settled *Settlement
}

// heldMost is how many settlements may wait for a log that does not take them before no further try is covered: so no more
// come than those of tries that are out then.
const heldMost = 20000

// Names that no try has: of the settlements of former lives, from orphanFrom on, and of the gap.
const (
	orphanFrom = ID(1) << 62
	gapID      = ID(1) << 63
)

// DeskSettings are what a desk starts from.
type DeskSettings struct {
	Policy Policy
	Life   uint64 // at least; a desk takes a later one than all in its log
}

// Desk keeps what a gateway's tries owe. It is not safe for concurrent use.
type Desk struct {
	s       DeskSettings
	life    uint64
	seq     uint64
	tries   map[ID]*entry
	waiting []ID           // appended, not durable yet, in order
	orphans map[uint64]Try // intents of former lives, by record
	lastOld uint64         // life of the last 'L' in the log
	acked   uint64
	ackedIn uint64 // as the log has it
	broken  string
	held    []ID // settlements that the log did not take

	wall     int64  // of the last settlement
	gapTries uint64 // not told yet
	gapUnits float64
	telling  *Gap // appended, if the log takes it
	Counts   Counts
}

// Counts are for operators.
type Counts struct {
	Intents        uint64  `json:"Intents"`
	Settled        uint64  `json:"Settled"`
	Skipped        uint64  `json:"Skipped"`
	Orphans        uint64  `json:"Orphans"` // exported at their guess after the life that sent them ended
	Denied         uint64  `json:"Denied"`
	Uncovered      uint64  `json:"Uncovered"` // tries
	UncoveredUnits float64 `json:"UncoveredUnits"`
}

// NewDesk returns a desk that is to be told what its log holds by Restore, and then begun.
func NewDesk(s DeskSettings) *Desk {
	return &Desk{s: s, tries: map[ID]*entry{}, orphans: map[uint64]Try{}}
}

// Restore takes a record of the log.
func (d *Desk) Restore(rec uint64, payload []byte) error {
	r, err := parse(payload)
	if err != nil {
		return fmt.Errorf("record %d: %w", rec, err)
	}
	switch r.kind {
	case recIntent:
		d.orphans[rec] = r.try
	case recSettle:
		delete(d.orphans, r.settle.Intent)
		d.lastOld = max(d.lastOld, r.settle.Life)
	case recLife:
		d.lastOld = max(d.lastOld, r.number)
	case recAck:
		d.acked = max(d.acked, r.number)
	case recGap:
		d.lastOld = max(d.lastOld, r.gap.Life)
	}
	return nil
}

// Begin starts a life: its number, later than all in the log, and the settlements of what former lives left open, at
// their guesses. They get keys of this life: which ones the former would have given is not known. They are owed like any
// other until the log has taken them.
func (d *Desk) Begin(wall int64) []DeskAction {
	d.life, d.wall = max(d.s.Life, d.lastOld+1), wall
	d.ackedIn = d.acked
	out := []DeskAction{Append{Payload: binary.AppendUvarint([]byte{recLife}, d.life)}}
	recs := make([]uint64, 0, len(d.orphans))
	for rec := range d.orphans {
		recs = append(recs, rec)
	}
	slices.Sort(recs)
	for i, rec := range recs {
		t := d.orphans[rec]
		d.Counts.Orphans++
		id := orphanFrom + ID(i)
		d.tries[id] = &entry{try: t, rec: rec, sent: true, covered: true,
			settled: &Settlement{Try: t, Intent: rec, Life: d.life, Outcome: Orphan, Used: t.Units, Wall: wall}}
		d.held = append(d.held, id)
	}
	clear(d.orphans)
	return append(out, d.again()...)
}

// Life is this life's number, once begun.
func (d *Desk) Life() uint64 { return d.life }

// Acked is the last record that the receiver is known to have.
func (d *Desk) Acked() uint64 { return d.acked }

// Owed is how many tries are open, or settled and not in the log yet.
func (d *Desk) Owed() int { return len(d.tries) }

// Closed reports whether calls had better be refused at once: what they would send would be denied.
func (d *Desk) Closed(room bool) bool { return (d.broken != "" || !room) && d.s.Policy == Refuse }

// Handle takes an event and returns what is to be done, in order.
func (d *Desk) Handle(ev DeskEvent) (out []DeskAction) {
	switch e := ev.(type) {
	case Intend:
		return d.intend(e)
	case Appended:
		return d.appended(e)
	case Durable:
		for len(d.waiting) > 0 {
			id := d.waiting[0]
			t := d.tries[id]
			if t != nil && t.rec > e.Rec {
				break
			}
			d.waiting = d.waiting[1:]
			if t != nil && !t.sent && t.settled == nil {
				t.sent = true
				out = append(out, Release{id})
			}
		}
		out = append(out, d.again()...)
	case Broken:
		return d.breaks(e.Why)
	case Settle:
		return d.settle(e)
	case Acked:
		// Told again at most, if the record of it is lost: it need not be durable. One for some is enough.
		if d.acked = max(d.acked, e.Rec); d.acked > d.ackedIn && d.broken == "" {
			d.ackedIn = d.acked
			out = append(out, Append{Payload: binary.AppendUvarint([]byte{recAck}, d.acked)})
		}
	}
	return out
}

func (d *Desk) intend(e Intend) []DeskAction {
	t := &entry{try: e.Try}
	d.tries[e.ID] = t
	if d.broken != "" || !e.Room || len(d.held) >= heldMost {
		return d.without(e.ID, t)
	}
	d.Counts.Intents++
	return append(d.tellGap(), Append{e.ID, t.try.append([]byte{recIntent})})
}

// tellGap tells what was let pass uncovered, now that the log has room.
func (d *Desk) tellGap() []DeskAction {
	if d.gapTries == 0 || d.telling != nil {
		return nil
	}
	d.seq++
	d.telling = &Gap{Life: d.life, Seq: d.seq, Tries: d.gapTries, Units: d.gapUnits, Wall: d.wall}
	d.gapTries, d.gapUnits = 0, 0
	return []DeskAction{Append{gapID, d.telling.append(nil)}}
}

// hand hands a settlement in. Its number is the next one, and is taken back if the log does not take it: an Append is
// answered before anything else happens, so none is left out.
func (d *Desk) hand(id ID, t *entry) DeskAction {
	if t.settled.Outcome != Skipped {
		d.seq++
		t.settled.Seq = d.seq
	}
	return Append{id, t.settled.append(nil)}
}

// again hands in the first of the settlements that the log did not take; once it has, the next one follows.
func (d *Desk) again() []DeskAction {
	if d.broken != "" || len(d.held) == 0 {
		return nil
	}
	id := d.held[0]
	d.held = d.held[1:]
	return []DeskAction{d.hand(id, d.tries[id])}
}

// without decides a try whose intent can't be written.
func (d *Desk) without(id ID, t *entry) []DeskAction {
	if d.s.Policy == Serve {
		t.sent = true
		return []DeskAction{Release{id}}
	}
	d.Counts.Denied++
	return []DeskAction{Deny{id}}
}

func (d *Desk) appended(e Appended) []DeskAction {
	t := d.tries[e.ID]
	switch {
	case e.ID == gapID && d.telling != nil:
		if e.Failed != "" {
			d.gapTries, d.gapUnits = d.gapTries+d.telling.Tries, d.gapUnits+d.telling.Units
			d.seq--
		}
		d.telling = nil
	case t == nil:
	case t.settled != nil: // its settlement
		if e.Failed != "" {
			if t.settled.Outcome != Skipped {
				d.seq--
			}
			d.held = append(d.held, e.ID)
			return nil
		}
		delete(d.tries, e.ID)
		return d.again()
	case e.Failed != "":
		return d.without(e.ID, t)
	default:
		t.rec, t.covered = e.Rec, true
		d.waiting = append(d.waiting, e.ID)
	}
	return nil
}

// breaks takes that the log fails or works again. What waits for it to be durable was not sent, so by the policy it
// may be denied, or sent: its intent may yet become durable, and its settlement will tell.
func (d *Desk) breaks(why string) (out []DeskAction) {
	d.broken = why
	if why != "" {
		for _, id := range d.waiting {
			if t := d.tries[id]; t != nil && !t.sent && t.settled == nil {
				out = append(out, d.without(id, t)...)
			}
		}
		d.waiting = nil
		return out
	}
	return append(d.tellGap(), d.again()...)
}

func (d *Desk) settle(e Settle) []DeskAction {
	t := d.tries[e.ID]
	if t == nil || t.settled != nil {
		return nil
	}
	d.wall = e.Wall
	if !t.covered {
		delete(d.tries, e.ID)
		if e.Outcome != Skipped && t.sent {
			d.gapTries++
			d.gapUnits += e.Used
			d.Counts.Uncovered++
			d.Counts.UncoveredUnits += e.Used
		}
		return nil
	}
	s := &Settlement{Try: t.try, Intent: t.rec, Life: d.life, Outcome: e.Outcome, Used: e.Used, Wall: e.Wall}
	if !(s.Used >= 0) || math.IsInf(s.Used, 0) {
		s.Used = t.try.Units
	}
	if t.settled = s; e.Outcome == Skipped {
		d.Counts.Skipped++
	} else {
		d.Counts.Settled++
	}
	if d.broken != "" {
		d.held = append(d.held, e.ID)
		return nil
	}
	return []DeskAction{d.hand(e.ID, t)}
}

// Snapshot is the state as of all records that were appended: the life, the records acknowledged and the intents that
// are open, each with its record's number.
func (d *Desk) Snapshot() []byte {
	b := binary.AppendUvarint(nil, d.life)
	b = binary.AppendUvarint(b, d.acked)
	var open []*entry
	for _, t := range d.tries {
		if t.covered {
			open = append(open, t)
		}
	}
	slices.SortFunc(open, func(a, b *entry) int { return cmp.Compare(a.rec, b.rec) })
	b = binary.AppendUvarint(b, uint64(len(open)))
	for _, t := range open {
		b = t.try.append(binary.AppendUvarint(b, t.rec))
	}
	return b
}

// RestoreSnapshot takes what Snapshot wrote, before the records behind it.
func (d *Desk) RestoreSnapshot(p []byte) error {
	r := &encoding.Reader{B: p}
	d.lastOld, d.acked = r.Uvarint(any64), r.Uvarint(any64)
	for n := r.Uvarint(any64); n > 0 && !r.Bad; n-- {
		rec := r.Uvarint(any64)
		d.orphans[rec] = readTry(r)
	}
	if r.Bad {
		return fmt.Errorf("export: the snapshot is cut")
	}
	return nil
}
