package gateway

import (
	"context"
	"errors"
	"log/slog"
	"path/filepath"
	"sync/atomic"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/frontend"
	upstreamws "winghatch/internal/upstream/websocket"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/usage/sender"
	"winghatch/internal/wal"
)

// owed carries out what the export's desk wants done, for the loop that owns it: no byte of a try leaves before its
// intent is durable, and its settlement follows its end.
type owed struct {
	l       *Loop
	desk    *outbox.Desk
	log     *wal.Log
	courier *sender.Courier
	wall    func() int64
	slog    *slog.Logger
	bound   int64

	tries    map[outbox.ID]*try
	next     outbox.ID
	keepFrom atomic.Uint64 // first record that is still needed
	snapAt   uint64
	twice    bool // the last snapshot was the second one of a state
	failure  string
	closed   bool
	Holes    int
	Torn     int64
}

// Inputs of the loop from the export's log and its courier.
type (
	inOwed    struct{ rec uint64 } // durable up to there
	inOwedLog struct{ err error }
	inAcked   struct{ rec uint64 }
	inSnapped struct{ err error }
)

const (
	// owedSnapshot is how many records bring a snapshot.
	owedSnapshot = 50000
	// owedRoom is what is kept free of the bound for the settlements of tries that are out, beside so much for each.
	owedRoom    = 512 << 10
	owedRoomTry = 1 << 10
)

// OwedOptions tell a gateway's export who it is.
type OwedOptions struct {
	Export  config.Export
	Fleet   string
	Gateway int
	Dir     string
	FS      wal.FS
	Life    uint64
	Wall    func() int64
	Log     *slog.Logger
}

// OpenDesk recovers a desk from its log and begins a life. keep, durable and failed are the log's Options of these names.
func OpenDesk(o OwedOptions, keep func() uint64, durable func(uint64), failed func(error)) (*outbox.Desk, *wal.Log, *wal.Recovery, error) {
	d := outbox.NewDesk(outbox.DeskSettings{Policy: o.Export.Unwritable, Life: o.Life})
	bound := int64(o.Export.Disk)
	log, rec, err := wal.Open(filepath.Join(o.Dir, "use"), wal.Options{Mode: o.Export.Durability, Every: o.Export.Every, Bound: bound,
		Segment: min(16<<20, max(256<<10, bound/16)), FS: o.FS, Keep: keep, Durable: durable, Failed: failed},
		func(r *wal.Recovery) error {
			if r.Snapshot == nil {
				return nil
			}
			return d.RestoreSnapshot(r.Snapshot)
		}, func(r wal.Record) error { return d.Restore(r.No, r.Payload) })
	if err != nil {
		return nil, nil, nil, err
	}
	rec.Report(o.Log, "export", o.Dir)
	appendAll(d, log, o.Log, d.Begin(o.Wall()), func(outbox.DeskAction) {})
	if n := d.Counts.Orphans; n > 0 {
		o.Log.Warn("tries of a former life are exported at their guesses", "tries", n)
	}
	return d, log, rec, nil
}

// SetAsideFile is where events lie that the receiver will not take.
func SetAsideFile(dir string) string { return filepath.Join(dir, "use-set-aside.jsonl") }

// setAsideMost is what that file may take: a receiver that refuses everything must not have it all set aside.
func setAsideMost(e config.Export) int64 { return int64(e.Disk) / 8 }

func openOwed(l *Loop, o OwedOptions) (*owed, error) {
	w := &owed{l: l, wall: o.Wall, slog: o.Log, bound: int64(o.Export.Disk), tries: map[outbox.ID]*try{}}
	var err error
	var rec *wal.Recovery
	w.desk, w.log, rec, err = OpenDesk(o, w.keepFrom.Load, func(no uint64) { l.q.post(inOwed{no}) },
		func(err error) { l.q.post(inOwedLog{err}) })
	if err != nil {
		return nil, err
	}
	w.Holes, w.Torn, w.snapAt = len(rec.Holes), rec.Torn, rec.Covered
	w.keepFrom.Store(w.desk.Acked() + 1)
	w.courier = sender.New(sender.Options{Log: w.log, URL: o.Export.To, Fleet: o.Fleet, Gateway: o.Gateway,
		Behind: w.desk.Acked(), Batch: o.Export.Batch, Timeout: o.Export.Timeout, SetAside: SetAsideFile(o.Dir), SetAsideMost: setAsideMost(o.Export), Seed: int64(o.Life),
		Acked: func(rec uint64) { l.q.post(inAcked{rec}) }, Say: func(text string, args ...any) { o.Log.Error(text, args...) }})
	return w, nil
}

// run carries to the receiver until the context ends.
func (w *owed) run(ctx context.Context) { w.courier.Run(ctx) }

func (w *owed) room() bool {
	return w.log.Size()+owedRoom+owedRoomTry*int64(w.desk.Owed()) < w.bound
}

// refuses reports whether a call is refused at once, as nothing of it could be covered.
func (w *owed) refuses() bool { return w.desk.Closed(w.room()) }

// appendAll hands a desk's records to its log, and what that says to the desk, before what comes behind them; other
// takes all other actions.
func appendAll(d *outbox.Desk, log *wal.Log, say *slog.Logger, acts []outbox.DeskAction, other func(outbox.DeskAction)) {
	for len(acts) > 0 {
		a, ok := acts[0].(outbox.Append)
		if !ok {
			other(acts[0])
			acts = acts[1:]
			continue
		}
		no, err := log.Append(a.Payload)
		ev := outbox.Appended{ID: a.ID, Rec: no}
		if err != nil {
			if ev.Failed = err.Error(); !errors.Is(err, wal.ErrFull) {
				say.Warn("the export's log takes nothing", "err", err)
			}
		}
		acts = acts[1:]
		if a.ID != 0 {
			acts = append(d.Handle(ev), acts...)
		}
	}
}

func (w *owed) do(acts []outbox.DeskAction) { appendAll(w.desk, w.log, w.slog, acts, w.act) }

func (w *owed) act(a outbox.DeskAction) {
	switch a := a.(type) {
	case outbox.Release:
		if t := w.tries[a.ID]; t != nil && t.held {
			t.held = false
			w.l.nodes.Send(t.call)
		}
	case outbox.Deny:
		if t := w.tries[a.ID]; t != nil && t.held {
			t.held, t.denied = false, true
			w.l.q.post(inEnd{t, upstreamws.Result{Outcome: decide.OutcomeConnectFailed}}) // it provably never left
		}
	}
}

// intend holds a try back until it may leave.
func (w *owed) intend(t *try) {
	w.next++
	t.owe, t.held = w.next, true
	w.tries[t.owe] = t
	o := t.o
	w.do(w.desk.Handle(outbox.Intend{ID: t.owe, Room: w.room(), Try: outbox.Try{Request: o.ID, Attempt: t.n, Member: o.Member,
		Plan: w.l.planOf(o), Class: o.Class, Node: t.node, Units: o.Units, Reserved: o.Reserved}}))
}

// settle ends a try.
func (w *owed) settle(t *try, res upstreamws.Result) {
	delete(w.tries, t.owe)
	s := outbox.Settle{ID: t.owe, Used: t.o.Units, Wall: w.wall()}
	switch res.Outcome {
	case decide.OutcomeOK:
		if s.Outcome = outbox.Sized; w.l.cfg.SettledOnResponse && res.TrueUnits > 0 {
			s.Used = res.TrueUnits
		}
	case decide.OutcomeError:
		s.Outcome = outbox.Failed
	case decide.OutcomeRejected, decide.OutcomeConnectFailed, decide.OutcomeNotDispatched:
		s.Outcome = outbox.Skipped
	default:
		s.Outcome = outbox.Silent
	}
	w.do(w.desk.Handle(s))
}

func (w *owed) durable(rec uint64) {
	w.do(w.desk.Handle(outbox.Durable{Rec: rec}))
	w.courier.More()
	if rec-w.snapAt >= owedSnapshot {
		w.twice = false
		w.snapshot()
	}
}

func (w *owed) logFailed(err error) {
	if w.failure = ""; err != nil {
		w.failure = err.Error()
		w.slog.Error("the export's log can't be written", "err", err)
	} else {
		w.slog.Info("the export's log works again")
	}
	w.do(w.desk.Handle(outbox.Broken{Why: w.failure}))
}

func (w *owed) acked(rec uint64) {
	w.do(w.desk.Handle(outbox.Acked{Rec: rec}))
	if behind := rec + 1 - w.keepFrom.Load(); behind >= owedSnapshot || behind > 0 && !w.room() {
		w.twice = false
		w.snapshot()
	}
}

// snapshot keeps the desk's state and lets go of what it and the receiver no longer need.
func (w *owed) snapshot() {
	no := w.log.Next() - 1
	if no == 0 {
		return
	}
	state, keep := w.desk.Snapshot(), w.desk.Acked()+1
	if !w.log.SnapshotSoon(no, state, func(err error) { w.l.q.post(inSnapped{err}) }) {
		return // one is under way
	}
	w.keepFrom.Store(keep)
	w.snapAt = no
}

// snapped takes another snapshot where room is still short: more may have been acknowledged meanwhile, and no later word
// of the receiver may come that would bring one; and the log keeps what the snapshot before needs, in case the last
// one turns out damaged, which is too dear then.
func (w *owed) snapped(err error) {
	if err != nil {
		w.slog.Error("the export's snapshot failed", "err", err)
		return
	}
	if short := w.log.Size() > w.bound/2; short && (w.desk.Acked()+1 > w.keepFrom.Load() || !w.twice) {
		w.twice = w.desk.Acked()+1 == w.keepFrom.Load()
		w.snapshot()
	}
}

func (w *owed) close() {
	if !w.closed {
		w.closed = true
		if err := w.log.Close(); err != nil {
			w.slog.Error("the export's log", "err", err)
		}
	}
}

// ExportState is what an operator is told of the export.
type ExportState struct {
	Life     uint64            `json:"life"`
	Open     int               `json:"open"` // tries without a settlement in the log
	Records  uint64            `json:"records"`
	Acked    uint64            `json:"acked"` // the receiver has all up to there
	Bytes    int64             `json:"bytes"`
	Bound    int64             `json:"bound"`
	Refusing bool              `json:"refusing"`
	Failure  string            `json:"failure,omitempty"`
	Desk     outbox.Counts     `json:"desk"`
	Ship     outbox.ShipCounts `json:"ship"`
	Lost     uint64            `json:"lost_records"`
	Holes    int               `json:"holes"`
	Torn     int64             `json:"torn_bytes"`
}

func (w *owed) state() *ExportState {
	return &ExportState{Life: w.desk.Life(), Open: w.desk.Owed(), Records: w.log.DurableTo(), Acked: w.desk.Acked(), Bytes: w.log.Size(),
		Bound: w.bound, Refusing: w.refuses(), Failure: w.failure, Desk: w.desk.Counts, Ship: w.courier.Counts(), Lost: w.courier.Lost.Load(),
		Holes: w.Holes, Torn: w.Torn}
}

// uncovered is the reason of refusals while nothing can be covered.
const uncovered = "export"

func (l *Loop) refuseUncovered(o *open) bool {
	if l.owed == nil || !l.owed.refuses() {
		return false
	}
	l.final(o, frontend.Final{Kind: frontend.Refused, Reason: uncovered, RetryAfter: l.cfg.Limits.MaxRetryAfter})
	l.forget(o)
	return true
}
