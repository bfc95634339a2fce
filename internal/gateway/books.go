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
	channelPlans        = 0x01
	channelReservations = 0x02
	channelTotals       = 0x03
)

// Kinds of record in the books' log: the byte, then what the package named writes.
const (
	recordOwnChange   = 1 // plans.Change that this gateway took
	recordPeerChange  = 2 // plans.Change of another one
	recordReservation = 3 // reserve.Ledger's state of a reservation
)

// snapshotEvery is how many records the books' log grows by before a snapshot lets it go.
const planSnapshotInterval = 4096

// manyStands is how many members' terms of one change are logged one by one.
const maxPlansLogged = 20

// planOf is the plan that a call is served under, which changes in service may have made another than the settings'.
func (l *Loop) effectivePlan(o *openRequest) string {
	if b := l.plans; b != nil {
		if p := b.replica.EffectivePlan(o.Customer).Name; p != "" {
			return p
		}
	}
	return o.Plan
}

// books carry out what the book of plans and the ledger of reservations want done, for the loop that owns them. Their
// log syncs each record before it counts.
type quotaPlans struct {
	loop         *Loop
	replica      *quotaplan.Replica
	reservations *reservation.Ledger
	wallClock    func() int64
	log          *wal.Log // nil: nothing is kept
	logger       *slog.Logger

	pending            []pendingRecord
	lastRecord         uint64 // in the log
	snapshotAt         uint64 // lastRec at the last snapshot
	replies            map[uint64]func(quotaplan.Reply)
	lastToken          uint64
	replicaTickAt      quotaplan.Instant // when each wants to be woken
	reservationsTickAt quotaplan.Instant
	firstUnpersisted   uint64 // first state of the ledger that the log did not take; 0: none
	failure            string
	closed             bool
	handedOver         chan struct{} // of a stopping gateway; nil: it goes on, or all is handed over
}

// kept is a record on its way to the disk, and whom it concerns.
type pendingRecord struct {
	record           uint64
	changeNumber     uint64 // of an own change
	reservationState uint64 // of the ledger
}

// BookOptions tell a gateway's books who they are.
type PlanOptions struct {
	Plans        quotaplan.Settings
	Reservations reservation.Settings
	Dir          string // empty: nothing is kept
	FS           wal.FS
	WallClock    func() int64
	Log          *slog.Logger
}

// openBooks recovers the books from their log.
func openPlans(l *Loop, o PlanOptions) (*quotaPlans, error) {
	b := &quotaPlans{loop: l, replica: quotaplan.New(o.Plans), reservations: reservation.New(o.Reservations), wallClock: o.WallClock, logger: o.Log,
		replies: map[uint64]func(quotaplan.Reply){}}
	never := quotaplan.Instant{Mono: math.MaxInt64, Wall: math.MaxInt64}
	b.replicaTickAt, b.reservationsTickAt = never, never
	if o.Dir == "" {
		return b, nil
	}
	log, rec, err := wal.Open(o.Dir, wal.Options{Mode: wal.SyncAlways, SegmentBytes: 4 << 20, FS: o.FS,
		OnDurable: func(no uint64) { l.queue.post(planRecordsDurable{no}) },
		OnFailure: func(err error) { l.queue.post(planLogStatus{err}) }},
		func(r *wal.Recovery) error { return b.restoreSnapshot(r.Snapshot) },
		func(r wal.Record) error {
			if err := b.restore(r.Payload); err != nil {
				return fmt.Errorf("record %d: %w", r.Number, err)
			}
			return nil
		})
	if err != nil {
		return nil, err
	}
	b.log, b.lastRecord, b.snapshotAt = log, rec.Last, rec.SnapshotRecord
	rec.Report(o.Log, "books", o.Dir)
	return b, nil
}

func (b *quotaPlans) restore(p []byte) error {
	if len(p) == 0 {
		return errors.New("a record without a kind")
	}
	switch p[0] {
	case recordOwnChange, recordPeerChange:
		c, _, err := quotaplan.ParseChange(p[1:])
		if err != nil {
			return err
		}
		b.replica.Restore(c, p[0] == recordOwnChange)
		return nil
	case recordReservation:
		return b.reservations.Restore(p[1:])
	}
	return fmt.Errorf("a record of kind %d, want 1 to 3", p[0])
}

// snapshot is all records that still count, each with its length before it in 4 bytes, little-endian.
func (b *quotaPlans) snapshot() (out []byte) {
	add := func(kind byte, p []byte) {
		out = binary.LittleEndian.AppendUint32(out, uint32(len(p)+1))
		out = append(append(out, kind), p...)
	}
	for _, c := range b.replica.Changes() {
		kind := byte(recordPeerChange)
		if b.replica.Own(&c) {
			kind = recordOwnChange
		}
		add(kind, c.Append(nil))
	}
	for _, s := range b.reservations.States() {
		add(recordReservation, s)
	}
	return out
}

func (b *quotaPlans) restoreSnapshot(p []byte) error {
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
func (b *quotaPlans) start() { b.handlePlanEvent(quotaplan.Start{}) }

func (b *quotaPlans) now() quotaplan.Instant {
	return quotaplan.Instant{Mono: b.loop.now, Wall: b.wallClock()}
}

func (b *quotaPlans) handlePlanEvent(ev quotaplan.Event) {
	stands := 0
	defer func() {
		if stands > maxPlansLogged {
			b.logger.Info("terms", "members", stands)
		}
	}()
	for _, a := range b.replica.Handle(b.now(), ev) {
		switch a := a.(type) {
		case quotaplan.Persist:
			kind := byte(recordPeerChange)
			k := pendingRecord{}
			if a.Own {
				kind, k.changeNumber = recordOwnChange, a.Change.Number
			}
			b.persist(kind, a.Change.Append(nil), k)
		case quotaplan.Reply:
			if f := b.replies[a.Token]; f != nil {
				delete(b.replies, a.Token)
				f(a)
			}
		case quotaplan.Send:
			b.loop.sendToPeer(a.To, channelPlans, a.Data)
		case quotaplan.ApplyPlan:
			if stands++; stands <= maxPlansLogged { // a plan's new terms are those of all who are on it
				b.logger.Info("terms", "member", a.Member, "plan", a.Plan.Name, "rate", a.Plan.Rate, "burst", a.Plan.Burst, "change", a.Change)
			}
			b.loop.handleEvent(decide.PlanChange{Customer: a.Member, Plan: a.Plan})
		case quotaplan.AddReservation:
			b.logger.Info("reservation", "member", a.Member, "number", a.Number, "units", a.Units)
			b.handleReservationEvent(reservation.AddReservation{Reservation: a.Reservation, CeilingShares: b.ceilingShares(a.Reservation)})
		case quotaplan.ResizeReservation:
			b.handleReservationEvent(reservation.ResizeReservation{ID: a.ID, Units: a.Units})
		case quotaplan.ScheduleTick:
			b.replicaTickAt = a.At
		case quotaplan.LogWarning:
			b.logger.Warn(a.Text)
		}
	}
}

// slices are where the core keeps a member's ceiling; even parts, for a core that tells nothing of it.
func (b *quotaPlans) ceilingShares(r quotaplan.Reservation) (out []reservation.CeilingShare) {
	c, ok := b.loop.core.(interface {
		CeilingShares(customer string, first, spread int) []decide.CeilingShare
	})
	if !ok {
		for i := range max(1, r.Spread) {
			out = append(out, reservation.CeilingShare{Rank: (r.First + i) % b.loop.cfg.Gateways, Fraction: 1 / float64(max(1, r.Spread))})
		}
		return out
	}
	for _, s := range c.CeilingShares(r.Member, r.First, r.Spread) {
		out = append(out, reservation.CeilingShare{Rank: s.Rank, Fraction: s.Fraction})
	}
	return out
}

// handOver offers what is set aside here to others; done is closed once they have all of it.
func (b *quotaPlans) handOver(done chan struct{}) {
	b.handedOver = done
	b.handleReservationEvent(reservation.Drain{})
}

func (b *quotaPlans) handleReservationEvent(ev reservation.Event) {
	for _, a := range b.reservations.Handle(b.now(), ev) {
		switch a := a.(type) {
		case reservation.Admit:
			if o := b.loop.requests[a.ID]; o != nil && !o.finished {
				b.loop.admit(o)
			} else {
				b.loop.queue.post(reservationReleased{a.ID})
			}
		case reservation.Reject:
			if o := b.loop.requests[a.ID]; o != nil && !o.finished {
				o.awaitingReservation = false
				b.loop.respond(o, frontend.Response{Kind: frontend.Rejected, Reason: string(a.Reason), RetryAfter: b.loop.cfg.Limits.MaxRetryAfter})
				b.loop.release(o)
			}
		case reservation.Persist:
			b.persist(recordReservation, a.State, pendingRecord{reservationState: a.Number})
		case reservation.Send:
			b.loop.sendToPeer(a.To, channelReservations, a.Data)
		case reservation.ReturnUnits:
			b.logger.Info("reserved units return", "member", a.Member, "units", a.Units)
			b.loop.handleEvent(decide.PlanChange{Customer: a.Member, Plan: b.replica.EffectivePlan(a.Member), ReturnedUnits: a.Units})
		case reservation.ScheduleTick:
			b.reservationsTickAt = a.At
		}
	}
	if b.handedOver != nil && b.reservations.Unsettled() < 1e-9 {
		close(b.handedOver)
		b.handedOver = nil
	}
}

// tell sends what is not the core's own word to another gateway.
func (l *Loop) sendToPeer(to int, channel byte, data []byte) {
	if l.peers != nil {
		l.peers.Send(to, string(append([]byte{channel}, data...)))
	}
}

// heard takes what another gateway said: by its first byte it is for the books, the sums or the core.
func (l *Loop) receiveFromPeer(from int, text string) {
	channel := byte(0)
	if len(text) > 0 {
		channel = text[0]
	}
	switch {
	case channel == channelPlans && l.plans != nil:
		l.plans.handlePlanEvent(quotaplan.MessageReceived{From: from, Data: []byte(text[1:])})
	case channel == channelReservations && l.plans != nil:
		l.plans.handleReservationEvent(reservation.MessageReceived{From: from, Data: []byte(text[1:])})
	case channel == channelTotals:
		if l.totals != nil {
			l.totals.Receive(l.now, from, []byte(text[1:]))
		}
	default:
		if l.metrics != nil {
			l.metrics.GrantMessage(text, "in")
		}
		l.handleEvent(decide.GossipReceived{From: from, Text: text})
	}
}

// keep writes a record; where nothing is kept it counts at once, in an event of its own.
func (b *quotaPlans) persist(kind byte, p []byte, k pendingRecord) {
	if b.log == nil {
		b.lastRecord++
		k.record = b.lastRecord
		b.pending = append(b.pending, k)
		b.loop.queue.post(planRecordsDurable{k.record})
		return
	}
	no, err := b.log.Append(append([]byte{kind}, p...))
	if err != nil {
		b.logger.Error("the books' log takes nothing", "err", err)
		if k.changeNumber != 0 {
			b.loop.queue.post(changeNotPersisted{k.changeNumber, err.Error()})
		}
		// What the ledger wants kept and is not must stay without effect, and so must all that comes behind: its numbers
		// tell of all before them. Fewer units can be used until the next life, never more.
		if k.reservationState != 0 && b.firstUnpersisted == 0 {
			b.firstUnpersisted = k.reservationState
		}
		return
	}
	b.lastRecord, k.record = no, no
	b.pending = append(b.pending, k)
}

// durable takes that all records up to that number are.
func (b *quotaPlans) recordsDurable(rec uint64) {
	for len(b.pending) > 0 && b.pending[0].record <= rec {
		k := b.pending[0]
		b.pending = b.pending[1:]
		switch {
		case k.changeNumber != 0:
			b.handlePlanEvent(quotaplan.Persisted{Number: k.changeNumber})
		case k.reservationState != 0 && (b.firstUnpersisted == 0 || k.reservationState < b.firstUnpersisted):
			b.handleReservationEvent(reservation.Persisted{Number: k.reservationState})
		}
	}
	if b.log != nil && len(b.pending) == 0 && b.lastRecord-b.snapshotAt >= planSnapshotInterval {
		b.snapshotAt = b.lastRecord
		b.log.SnapshotAsync(b.lastRecord, b.snapshot(), func(err error) {
			if err != nil {
				b.logger.Error("the books' snapshot failed", "err", err)
			}
		})
	}
}

// due does what time brings and tells when it wants to be called next.
func (b *quotaPlans) tick() (in time.Duration) {
	now := b.now()
	past := func(at quotaplan.Instant) bool { return at.Mono <= now.Mono || at.Wall <= now.Wall }
	if past(b.replicaTickAt) {
		b.handlePlanEvent(quotaplan.Tick{})
	}
	if past(b.reservationsTickAt) {
		b.handleReservationEvent(reservation.Tick{})
	}
	in = time.Hour
	for _, at := range []quotaplan.Instant{b.replicaTickAt, b.reservationsTickAt} {
		in = min(in, at.Mono-now.Mono)
		if at.Wall < now.Wall+int64(time.Hour) {
			in = min(in, time.Duration(at.Wall-now.Wall))
		}
	}
	return max(in, time.Millisecond)
}

// submit hands in a change; f is called in the loop, once it is durable or refused.
func (b *quotaPlans) submit(c quotaplan.Change, f func(quotaplan.Reply)) {
	b.lastToken++
	b.replies[b.lastToken] = f
	b.handlePlanEvent(quotaplan.Submit{Token: b.lastToken, Change: c})
}

func (b *quotaPlans) close() {
	if b.log != nil && !b.closed {
		b.closed = true
		if err := b.log.Close(); err != nil {
			b.logger.Error("the books' log", "err", err)
		}
	}
}
