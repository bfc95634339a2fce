package gateway

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"time"

	"winghatch/decide"
	"winghatch/internal/frontend"
	"winghatch/internal/quotaplan"
	"winghatch/internal/reservation"
	"winghatch/internal/wal"
)

// What peers say to each other beside the core's words begins with one of these bytes, with which no word does.
const (
	chanPlans   = 0x01
	chanReserve = 0x02
	chanSums    = 0x03
)

// Kinds of record in the books' log: the byte, then what the package named writes.
const (
	recOwn   = 1 // plans.Change that this gateway took
	recHeard = 2 // plans.Change of another one
	recState = 3 // reserve.Ledger's state of a reservation
)

// snapshotEvery is how many records the books' log grows by before a snapshot lets it go.
const snapshotEvery = 4096

// manyStands is how many members' terms of one change are logged one by one.
const manyStands = 20

// planOf is the plan that a call is served under, which changes in service may have made another than the settings'.
func (l *Loop) planOf(o *open) string {
	if b := l.books; b != nil {
		if p := b.book.Stands(o.Member).Name; p != "" {
			return p
		}
	}
	return o.Plan
}

// books carry out what the book of plans and the ledger of reservations want done, for the loop that owns them. Their
// log syncs each record before it counts.
type books struct {
	l      *Loop
	book   *quotaplan.Book
	ledger *reservation.Ledger
	wall   func() int64
	log    *wal.Log // nil: nothing is kept
	slog   *slog.Logger

	waits   []kept
	lastRec uint64 // in the log
	snapAt  uint64 // lastRec at the last snapshot
	replies map[uint64]func(quotaplan.Reply)
	token   uint64
	bookAt  quotaplan.Now // when each wants to be woken
	ledgAt  quotaplan.Now
	unkept  uint64 // first state of the ledger that the log did not take; 0: none
	failure string
	closed  bool
	handed  chan struct{} // of a stopping gateway; nil: it goes on, or all is handed over
}

// kept is a record on its way to the disk, and whom it concerns.
type kept struct {
	rec    uint64
	number uint64 // of an own change
	state  uint64 // of the ledger
}

// BookOptions tell a gateway's books who they are.
type BookOptions struct {
	Plans   quotaplan.Settings
	Reserve reservation.Settings
	Dir     string // empty: nothing is kept
	FS      wal.FS
	Wall    func() int64
	Log     *slog.Logger
}

// openBooks recovers the books from their log.
func openBooks(l *Loop, o BookOptions) (*books, error) {
	b := &books{l: l, book: quotaplan.New(o.Plans), ledger: reservation.New(o.Reserve), wall: o.Wall, slog: o.Log,
		replies: map[uint64]func(quotaplan.Reply){}}
	never := quotaplan.Now{Mono: math.MaxInt64, Wall: math.MaxInt64}
	b.bookAt, b.ledgAt = never, never
	if o.Dir == "" {
		return b, nil
	}
	log, rec, err := wal.Open(o.Dir, wal.Options{Mode: wal.Each, Segment: 4 << 20, FS: o.FS,
		Durable: func(no uint64) { l.q.post(inKept{no}) },
		Failed:  func(err error) { l.q.post(inBookLog{err}) }},
		func(r *wal.Recovery) error { return b.restoreAll(r.Snapshot) },
		func(r wal.Record) error {
			if err := b.restore(r.Payload); err != nil {
				return fmt.Errorf("record %d: %w", r.No, err)
			}
			return nil
		})
	if err != nil {
		return nil, err
	}
	b.log, b.lastRec, b.snapAt = log, rec.Last, rec.Covered
	rec.Report(o.Log, "books", o.Dir)
	return b, nil
}

func (b *books) restore(p []byte) error {
	if len(p) == 0 {
		return errors.New("a record without a kind")
	}
	switch p[0] {
	case recOwn, recHeard:
		c, _, err := quotaplan.ParseChange(p[1:])
		if err != nil {
			return err
		}
		b.book.Restore(c, p[0] == recOwn)
		return nil
	case recState:
		return b.ledger.Restore(p[1:])
	}
	return fmt.Errorf("a record of kind %d, want 1 to 3", p[0])
}

// snapshot is all records that still count, each with its length before it in 4 bytes, little-endian.
func (b *books) snapshot() (out []byte) {
	add := func(kind byte, p []byte) {
		out = binary.LittleEndian.AppendUint32(out, uint32(len(p)+1))
		out = append(append(out, kind), p...)
	}
	for _, c := range b.book.Changes() {
		kind := byte(recHeard)
		if b.book.Own(&c) {
			kind = recOwn
		}
		add(kind, c.Append(nil))
	}
	for _, s := range b.ledger.States() {
		add(recState, s)
	}
	return out
}

func (b *books) restoreAll(p []byte) error {
	for len(p) > 0 {
		if len(p) < 4 || uint64(binary.LittleEndian.Uint32(p)) > uint64(len(p)-4) {
			return errors.New("the snapshot is cut")
		}
		n := int(binary.LittleEndian.Uint32(p))
		if err := b.restore(p[4 : 4+n]); err != nil {
			return err
		}
		p = p[4+n:]
	}
	return nil
}

// begin tells the core what the books say, before anything else comes.
func (b *books) begin() { b.toBook(quotaplan.Begin{}) }

func (b *books) time() quotaplan.Now { return quotaplan.Now{Mono: b.l.now, Wall: b.wall()} }

func (b *books) toBook(ev quotaplan.Event) {
	stands := 0
	defer func() {
		if stands > manyStands {
			b.slog.Info("terms", "members", stands)
		}
	}()
	for _, a := range b.book.Handle(b.time(), ev) {
		switch a := a.(type) {
		case quotaplan.Keep:
			kind := byte(recHeard)
			k := kept{}
			if a.Own {
				kind, k.number = recOwn, a.Change.Number
			}
			b.keep(kind, a.Change.Append(nil), k)
		case quotaplan.Reply:
			if f := b.replies[a.Token]; f != nil {
				delete(b.replies, a.Token)
				f(a)
			}
		case quotaplan.Send:
			b.l.tell(a.To, chanPlans, a.Data)
		case quotaplan.Stand:
			if stands++; stands <= manyStands { // a plan's new terms are those of all who are on it
				b.slog.Info("terms", "member", a.Member, "plan", a.Plan.Name, "rate", a.Plan.Rate, "burst", a.Plan.Burst, "change", a.Change)
			}
			b.l.handle(decide.PlanChange{Customer: a.Member, Plan: a.Plan})
		case quotaplan.Hold:
			b.slog.Info("reservation", "member", a.Member, "number", a.Number, "units", a.Units)
			b.toLedger(reservation.Hold{Reservation: a.Reservation, Slices: b.slices(a.Reservation)})
		case quotaplan.Cut:
			b.toLedger(reservation.Cut{ID: a.ID, Units: a.Units})
		case quotaplan.Wake:
			b.bookAt = a.At
		case quotaplan.Note:
			b.slog.Warn(a.Text)
		}
	}
}

// slices are where the core keeps a member's ceiling; even parts, for a core that tells nothing of it.
func (b *books) slices(r quotaplan.Reservation) (out []reservation.Slice) {
	c, ok := b.l.core.(interface {
		CeilingShares(customer string, first, spread int) []decide.CeilingShare
	})
	if !ok {
		for i := range max(1, r.Spread) {
			out = append(out, reservation.Slice{Rank: (r.First + i) % b.l.cfg.Gateways, Part: 1 / float64(max(1, r.Spread))})
		}
		return out
	}
	for _, s := range c.CeilingShares(r.Member, r.First, r.Spread) {
		out = append(out, reservation.Slice{Rank: s.Rank, Part: s.Fraction})
	}
	return out
}

// handOver offers what is set aside here to others; done is closed once they have all of it.
func (b *books) handOver(done chan struct{}) {
	b.handed = done
	b.toLedger(reservation.Drain{})
}

func (b *books) toLedger(ev reservation.Event) {
	for _, a := range b.ledger.Handle(b.time(), ev) {
		switch a := a.(type) {
		case reservation.Admit:
			if o := b.l.opens[a.ID]; o != nil && !o.finished {
				b.l.admit(o)
			} else {
				b.l.q.post(inUnreserve{a.ID})
			}
		case reservation.Refuse:
			if o := b.l.opens[a.ID]; o != nil && !o.finished {
				o.reserving = false
				b.l.final(o, frontend.Final{Kind: frontend.Refused, Reason: string(a.Reason), RetryAfter: b.l.cfg.Limits.MaxRetryAfter})
				b.l.forget(o)
			}
		case reservation.Keep:
			b.keep(recState, a.State, kept{state: a.No})
		case reservation.Send:
			b.l.tell(a.To, chanReserve, a.Data)
		case reservation.Return:
			b.slog.Info("reserved units return", "member", a.Member, "units", a.Units)
			b.l.handle(decide.PlanChange{Customer: a.Member, Plan: b.book.Stands(a.Member), ReturnedUnits: a.Units})
		case reservation.Wake:
			b.ledgAt = a.At
		}
	}
	if b.handed != nil && b.ledger.Owing() < 1e-9 {
		close(b.handed)
		b.handed = nil
	}
}

// tell sends what is not the core's own word to another gateway.
func (l *Loop) tell(to int, channel byte, data []byte) {
	if l.peers != nil {
		l.peers.Send(to, string(append([]byte{channel}, data...)))
	}
}

// heard takes what another gateway said: by its first byte it is for the books, the sums or the core.
func (l *Loop) heard(from int, text string) {
	channel := byte(0)
	if len(text) > 0 {
		channel = text[0]
	}
	switch {
	case channel == chanPlans && l.books != nil:
		l.books.toBook(quotaplan.Heard{From: from, Data: []byte(text[1:])})
	case channel == chanReserve && l.books != nil:
		l.books.toLedger(reservation.Heard{From: from, Data: []byte(text[1:])})
	case channel == chanSums:
		if l.sums != nil {
			l.sums.Heard(l.now, from, []byte(text[1:]))
		}
	default:
		if l.measures != nil {
			l.measures.Word(text, "in")
		}
		l.handle(decide.GossipReceived{From: from, Text: text})
	}
}

// keep writes a record; where nothing is kept it counts at once, in an event of its own.
func (b *books) keep(kind byte, p []byte, k kept) {
	if b.log == nil {
		b.lastRec++
		k.rec = b.lastRec
		b.waits = append(b.waits, k)
		b.l.q.post(inKept{k.rec})
		return
	}
	no, err := b.log.Append(append([]byte{kind}, p...))
	if err != nil {
		b.slog.Error("the books' log takes nothing", "err", err)
		if k.number != 0 {
			b.l.q.post(inNotKept{k.number, err.Error()})
		}
		// What the ledger wants kept and is not must stay without effect, and so must all that comes behind: its numbers
		// tell of all before them. Fewer units can be used until the next life, never more.
		if k.state != 0 && b.unkept == 0 {
			b.unkept = k.state
		}
		return
	}
	b.lastRec, k.rec = no, no
	b.waits = append(b.waits, k)
}

// durable takes that all records up to that number are.
func (b *books) durable(rec uint64) {
	for len(b.waits) > 0 && b.waits[0].rec <= rec {
		k := b.waits[0]
		b.waits = b.waits[1:]
		switch {
		case k.number != 0:
			b.toBook(quotaplan.Kept{Number: k.number})
		case k.state != 0 && (b.unkept == 0 || k.state < b.unkept):
			b.toLedger(reservation.Kept{No: k.state})
		}
	}
	if b.log != nil && len(b.waits) == 0 && b.lastRec-b.snapAt >= snapshotEvery {
		b.snapAt = b.lastRec
		b.log.SnapshotSoon(b.lastRec, b.snapshot(), func(err error) {
			if err != nil {
				b.slog.Error("the books' snapshot failed", "err", err)
			}
		})
	}
}

// due does what time brings and tells when it wants to be called next.
func (b *books) due() (in time.Duration) {
	now := b.time()
	past := func(at quotaplan.Now) bool { return at.Mono <= now.Mono || at.Wall <= now.Wall }
	if past(b.bookAt) {
		b.toBook(quotaplan.Tick{})
	}
	if past(b.ledgAt) {
		b.toLedger(reservation.Tick{})
	}
	in = time.Hour
	for _, at := range []quotaplan.Now{b.bookAt, b.ledgAt} {
		in = min(in, at.Mono-now.Mono)
		if at.Wall < now.Wall+int64(time.Hour) {
			in = min(in, time.Duration(at.Wall-now.Wall))
		}
	}
	return max(in, time.Millisecond)
}

// submit hands in a change; f is called in the loop, once it is durable or refused.
func (b *books) submit(c quotaplan.Change, f func(quotaplan.Reply)) {
	b.token++
	b.replies[b.token] = f
	b.toBook(quotaplan.Submit{Token: b.token, Change: c})
}

func (b *books) close() {
	if b.log != nil && !b.closed {
		b.closed = true
		if err := b.log.Close(); err != nil {
			b.slog.Error("the books' log", "err", err)
		}
	}
}
