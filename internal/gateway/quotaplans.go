package gateway

import (
	"log/slog"
	"math"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/frontend"
	"winghatch/internal/quotaplan"
	"winghatch/internal/reservation"
	"winghatch/internal/wal"
)

// maxPlansLogged is the number of members whose new plans are logged individually for one event; a change to
// the terms of a plan concerns every member on it. If there are more, their total is logged too.
const maxPlansLogged = 20

// quotaPlans carries out the actions of the replica of plan changes and of the ledger of reservations. It is
// owned by the loop. A change or reservation takes effect only after its record in the plan log is durable.
type quotaPlans struct {
	loop         *Loop
	replica      *quotaplan.Replica
	reservations *reservation.Ledger
	wallClock    func() int64 // nanoseconds of Unix time
	logger       *slog.Logger

	replicaTickAt      quotaplan.Instant
	reservationsTickAt quotaplan.Instant
	replies            map[uint64]func(quotaplan.Reply) // keyed by token of the submitted change
	lastToken          uint64
	// handedOver is closed once other gateways have taken all reserved units of this one. It is nil unless
	// the gateway is draining and still has such units.
	handedOver chan struct{}

	log                   *wal.Log        // nil if nothing is persisted
	pending               []pendingRecord // in ascending order of record numbers
	lastRecord            uint64          // number of the last appended record
	snapshotRecord        uint64          // lastRecord at the time of the last snapshot
	firstUnpersistedState uint64          // first reservation state that the log rejected; 0 if none
	failure               string          // why the log can't be written; empty if it can
	closed                bool
	spending              spendingLog
	completeness          completeness
}

// PlanOptions configures the plan changes and reservations of a gateway.
type PlanOptions struct {
	Plans        quotaplan.Settings
	Reservations reservation.Settings
	Dir          string       // directory of the plan log; empty if nothing is persisted
	SpendingDir  string       // directory of the spending log; empty if spending is not recorded
	FS           wal.FS       // nil means the disk
	WallClock    func() int64 // nanoseconds of Unix time
	Log          *slog.Logger
}

// newPlanOptions returns the options that follow from the settings of the fleet. Dir, FS, WallClock and Log
// remain to be set.
func newPlanOptions(f *config.Fleet, rank int, incarnation uint64, seed int64) PlanOptions {
	maxUnits := max(1, f.Decide.MaxUnits)
	o := PlanOptions{
		Plans: quotaplan.Settings{
			Rank:            rank,
			Gateways:        len(f.Gateways),
			Plans:           f.Decide.Plans,
			Capacity:        f.CapacityPerSecond,
			MaxRequestUnits: maxUnits,
			Incarnation:     incarnation,
			Seed:            seed,
		},
		Reservations: reservation.Settings{
			Rank:            rank,
			Gateways:        len(f.Gateways),
			MaxRequestUnits: maxUnits,
			Epoch:           incarnation,
			Seed:            seed,
		},
	}
	for _, m := range f.Members {
		member := quotaplan.Member{Name: m.Name, Plan: m.Plan, First: m.First, Spread: m.Spread}
		o.Plans.Members = append(o.Plans.Members, member)
	}
	return o
}

// openPlans restores the plan changes and reservations in the plan log.
func openPlans(l *Loop, o PlanOptions) (*quotaPlans, error) {
	never := quotaplan.Instant{Mono: math.MaxInt64, Wall: math.MaxInt64}
	completeness := completeness{dir: o.Dir}
	o.Plans.Complete = completeness.noted()
	p := &quotaPlans{
		loop:               l,
		replica:            quotaplan.New(o.Plans),
		reservations:       reservation.New(o.Reservations),
		wallClock:          o.WallClock,
		completeness:       completeness,
		logger:             o.Log,
		replicaTickAt:      never,
		reservationsTickAt: never,
		replies:            map[uint64]func(quotaplan.Reply){},
	}
	p.spending.plans = p
	if o.SpendingDir != "" { // the states in the plan log refer to it
		if err := p.spending.open(o.SpendingDir, o); err != nil {
			return nil, err
		}
	}
	if o.Dir != "" {
		if err := p.openLog(o); err != nil {
			p.spending.close()
			return nil, err
		}
	}
	return p, nil
}

// start passes the restored plans to the core. It runs as the first input of the loop.
func (p *quotaPlans) start() { p.handlePlanEvent(quotaplan.Start{}) }

// now returns the start of the current turn and the wall-clock time.
func (p *quotaPlans) now() quotaplan.Instant {
	return quotaplan.Instant{Mono: p.loop.now, Wall: p.wallClock()}
}

// tick does the work that is due and returns how long the next call may wait.
func (p *quotaPlans) tick() time.Duration {
	now := p.now()
	isDue := func(at quotaplan.Instant) bool { return at.Mono <= now.Mono || at.Wall <= now.Wall }
	if isDue(p.replicaTickAt) {
		p.handlePlanEvent(quotaplan.Tick{})
	}
	if isDue(p.reservationsTickAt) {
		p.handleReservationEvent(reservation.Tick{})
	}
	wait := p.spending.tick(now.Mono)
	for _, at := range []quotaplan.Instant{p.replicaTickAt, p.reservationsTickAt} {
		wait = min(wait, at.Mono-now.Mono)
		if at.Wall < now.Wall+int64(maxSleep) { // the difference to a later time may overflow
			wait = min(wait, time.Duration(at.Wall-now.Wall))
		}
	}
	return max(wait, minTickInterval)
}

// submit submits a plan change. reply is called in the loop once the change is durable or rejected.
func (p *quotaPlans) submit(c quotaplan.Change, reply func(quotaplan.Reply)) {
	p.lastToken++
	p.replies[p.lastToken] = reply
	p.handlePlanEvent(quotaplan.Submit{Token: p.lastToken, Change: c})
}

// handOver offers the reserved units of this gateway to other gateways and closes done once they have taken
// all of them.
func (p *quotaPlans) handOver(done chan struct{}) {
	p.handedOver = done
	p.handleReservationEvent(reservation.Drain{})
}

// handlePlanEvent passes an event to the replica of plan changes and carries out the resulting actions.
func (p *quotaPlans) handlePlanEvent(ev quotaplan.Event) {
	applied := 0
	defer func() {
		if applied > maxPlansLogged {
			p.logger.Info("Plans applied", "members", applied)
		}
	}()
	for _, action := range p.replica.Handle(p.now(), ev) {
		switch action := action.(type) {
		case quotaplan.Persist:
			p.persistChange(action)
		case quotaplan.Reply:
			if reply := p.replies[action.Token]; reply != nil {
				delete(p.replies, action.Token)
				reply(action)
			}
		case quotaplan.Send:
			p.loop.sendToPeer(action.To, channelPlans, action.Data)
		case quotaplan.ApplyPlan:
			if applied++; applied <= maxPlansLogged {
				p.logger.Info("Plan applied", "member", action.Member, "plan", action.Plan.Name,
					"rate", action.Plan.Rate, "burst", action.Plan.Burst, "change", action.Change)
			}
			p.loop.handleEvent(decide.PlanChange{Customer: action.Member, Plan: action.Plan})
		case quotaplan.AddReservation:
			p.logger.Info("Reservation added", "member", action.Member, "number", action.Number,
				"units", action.Units)
			p.handleReservationEvent(reservation.AddReservation{
				Reservation:   action.Reservation,
				CeilingShares: p.ceilingShares(action.Reservation),
			})
		case quotaplan.ResizeReservation:
			p.handleReservationEvent(reservation.ResizeReservation{ID: action.ID, Units: action.Units})
		case quotaplan.ScheduleTick:
			p.replicaTickAt = action.At
		case quotaplan.PersistComplete:
			p.completeness.note(p)
		case quotaplan.LogWarning:
			p.logger.Warn(action.Text)
		}
	}
}

// roundingError is an amount of reserved units that floating-point arithmetic may leave over. A draining
// gateway does not wait until other gateways have taken it.
const roundingError = 1e-9

// handleReservationEvent passes an event to the ledger of reservations and carries out the resulting actions.
func (p *quotaPlans) handleReservationEvent(ev reservation.Event) {
	for _, action := range p.reservations.Handle(p.now(), ev) {
		switch action := action.(type) {
		case reservation.RecordSpending:
			p.spending.append(action.Record)
		case reservation.Admit:
			p.spending.admit(action.ID)
		case reservation.Reject:
			p.reject(action)
		case reservation.Persist:
			p.persist(recordReservation, action.State, pendingRecord{reservationState: action.Number})
		case reservation.Send:
			p.loop.sendToPeer(action.To, channelReservations, action.Data)
		case reservation.ReturnUnits:
			p.logger.Info("Reserved units returned", "member", action.Member, "units", action.Units)
			p.loop.handleEvent(decide.PlanChange{
				Customer:      action.Member,
				Plan:          p.replica.EffectivePlan(action.Member),
				ReturnedUnits: action.Units,
			})
		case reservation.ScheduleTick:
			p.reservationsTickAt = action.At
		}
	}
	if p.handedOver != nil && p.reservations.Unsettled() < roundingError {
		close(p.handedOver)
		p.handedOver = nil
	}
}

// admit passes a request that got reserved units to the core, or returns the units if it has ended.
func (p *quotaPlans) admit(id string) {
	if r := p.loop.requests[id]; r != nil && !r.finished {
		p.loop.admit(r)
	} else {
		p.loop.queue.post(reservationReleased{id})
	}
}

// reject rejects a request that gets no reserved units.
func (p *quotaPlans) reject(action reservation.Reject) {
	r := p.loop.requests[action.ID]
	if r == nil || r.finished {
		return
	}
	r.awaitingReservation = false
	p.loop.finish(r, frontend.Response{
		Kind:       frontend.Rejected,
		Reason:     string(action.Reason),
		RetryAfter: p.loop.cfg.Limits.MaxRetryAfter,
	})
}

// ceilingSharer is a core that knows how a customer's ceiling tokens are distributed over the gateways.
type ceilingSharer interface {
	CeilingShares(customer string, first, spread int) []decide.CeilingShare
}

// ceilingShares returns the fraction of a member's ceiling tokens that each gateway holds. If the core does
// not know, the shares are equal.
func (p *quotaPlans) ceilingShares(r quotaplan.Reservation) (shares []reservation.CeilingShare) {
	core, ok := p.loop.core.(ceilingSharer)
	if !ok {
		spread := max(1, r.Spread)
		for i := range spread {
			rank := (r.First + i) % p.loop.cfg.Gateways
			shares = append(shares, reservation.CeilingShare{Rank: rank, Fraction: 1 / float64(spread)})
		}
		return shares
	}
	for _, s := range core.CeilingShares(r.Member, r.First, r.Spread) {
		shares = append(shares, reservation.CeilingShare{Rank: s.Rank, Fraction: s.Fraction})
	}
	return shares
}

// effectivePlan returns the name of the plan that a request is served under. A plan change may have replaced
// the plan in the settings.
func (l *Loop) effectivePlan(r *openRequest) string {
	if l.plans != nil {
		if name := l.plans.replica.EffectivePlan(r.Customer).Name; name != "" {
			return name
		}
	}
	return r.Plan
}
