package quotaplan

import (
	"math"
	"math/rand"
	"time"

	"winghatch/decide"
)

// maxPendingSubmits limits the submitted changes that are being persisted, so that they do not fill the
// memory while the disk does not answer.
const maxPendingSubmits = 256

// Member is a customer of the settings.
type Member struct {
	Name, Plan string // names of the member and of its plan; a Move change replaces the plan
	First      int    // rank of the first gateway that the member uses
	Spread     int    // number of gateways that it uses: consecutive ranks from First, modulo the fleet size
}

// Settings are the parameters of a Replica.
type Settings struct {
	Rank            int           // rank of this gateway, from 0
	Gateways        int           // number of gateways in the fleet
	Plans           []decide.Plan // all plans; a Terms change replaces the terms of one
	Members         []Member      // all members; changes for others are rejected
	Capacity        float64       // units per second that the fleet can serve; 0: unknown, and not checked
	MaxRequestUnits float64       // units of the largest request
	Incarnation     uint64        // identifies the process; must differ for each process of this gateway
	Acceptor        int           // rank of the gateway that accepts the reservations of the fleet
	Complete        bool          // whether an earlier process emitted PersistComplete
	Seed            int64         // seed of the random choices
}

// Replica is one gateway's replica of the set of changes. It is not safe for concurrent use.
type Replica struct {
	settings  Settings
	random    *rand.Rand
	plans     map[string]decide.Plan // plans of the settings, by name
	planNames []string               // names of the plans, in the order of the settings
	members   map[string]Member      // keyed by name

	now     Instant
	actions []Action // actions of the event being handled

	set       changeSet
	own       map[uint64]bool       // hashes of the changes that this gateway accepted
	pending   map[uint64]submission // submitted changes that are being persisted, by number of the change
	lastStamp int64                 // highest known stamp

	derived   derived
	stale     bool // the set has grown since derived was computed
	announced announced

	compareAt time.Duration // time of the next comparison with a peer

	undecided []submission // at the acceptor: reservations that wait for their decision, in order
	proposals []*proposal  // at other gateways: reservations that wait for the acceptor

	// At the acceptor, see completeness.go.
	complete  bool          // its set has contained the changes of all other gateways
	heard     []bool        // by rank: whether its set was equal to that of the gateway once
	queryAt   time.Duration // time of the next query, on the monotonic clock
	queryTurn int           // rank that was asked last
}

// New returns a Replica without changes.
func New(s Settings) *Replica {
	r := &Replica{
		settings:  s,
		random:    rand.New(rand.NewSource(s.Seed)),
		plans:     map[string]decide.Plan{},
		members:   map[string]Member{},
		set:       changeSet{byHash: map[uint64]*Change{}},
		own:       map[uint64]bool{},
		pending:   map[uint64]submission{},
		complete:  s.Complete || s.Rank != s.Acceptor || s.Gateways < 2,
		heard:     make([]bool, max(1, s.Gateways)),
		announced: announced{plans: map[string]decide.Plan{}, units: map[uint64]float64{}},
	}
	for _, p := range s.Plans {
		r.plans[p.Name] = p
		r.planNames = append(r.planNames, p.Name)
	}
	for _, m := range s.Members {
		r.members[m.Name] = m
		r.announced.plans[m.Name] = r.plans[m.Plan]
	}
	r.heard[min(s.Rank, len(r.heard)-1)] = true
	r.recompute()
	return r
}

// Restore adds a persisted change. It must be called before the Start event. own must be the Own flag with
// which the change was persisted. A gateway that lost its disk receives the changes that it accepted back
// from its peers without that flag. Otherwise it would mint the tokens of its reservations a second time.
func (r *Replica) Restore(c Change, own bool) {
	if r.add(c) && own {
		r.own[c.hash()] = true
	}
}

// Own reports whether this gateway accepted a change, in this process or in an earlier one whose disk it
// still has.
func (r *Replica) Own(c *Change) bool { return r.own[c.hash()] }

// Handle processes an event and returns the resulting actions in order. The last one is always a
// ScheduleTick. A monotonic time before that of an earlier event is raised to it.
func (r *Replica) Handle(now Instant, ev Event) []Action {
	r.actions = nil
	now.Mono = max(now.Mono, r.now.Mono)
	r.now = now
	switch e := ev.(type) {
	case Start:
		r.compareAt = now.Mono + r.compareDelay()
		for range min(startFanout, r.settings.Gateways-1) {
			r.startComparison(r.randomPeer())
		}
		r.startQueries()
	case Submit:
		r.submit(e)
	case Persisted:
		r.persisted(e.Number)
	case PersistFailed:
		r.persistFailed(e)
	case MessageReceived:
		r.receive(e)
	case Tick:
		if r.settings.Gateways > 1 && now.Mono >= r.compareAt {
			r.compareAt = now.Mono + r.compareDelay()
			r.startComparison(r.randomPeer())
		}
		r.advanceAdmission()
	}
	if r.stale {
		r.recompute()
	}
	r.announce()
	r.emit(ScheduleTick{r.nextTick()})
	return r.actions
}

func (r *Replica) emit(a Action) { r.actions = append(r.actions, a) }

// nextTick returns the times, on either clock, at which work is due even if no event arrives before: the next
// comparison and the next date of a change.
func (r *Replica) nextTick() Instant {
	at := Instant{Wall: r.announced.nextDateAt, Mono: math.MaxInt64}
	if r.settings.Gateways > 1 {
		at.Mono = r.nextAdmission(r.compareAt)
	}
	return at
}

// submit validates a submitted change and starts to persist it, or rejects it. Reservations are left to the
// acceptor.
func (r *Replica) submit(e Submit) {
	c := e.Change
	if err := r.check(&c); err != nil {
		r.emit(Reply{e.Token, c, err})
		return
	}
	if c.Kind == Reserve {
		r.submitReservation(e.Token, c)
		return
	}
	r.accept(&submission{from: noPeer, token: e.Token, change: c})
}

// accept completes the change of a submission and starts to persist it.
func (r *Replica) accept(s *submission) {
	c := s.change
	// Stamps increase even if the wall clock was stepped back, because a new change must not precede the
	// changes that it was validated against.
	r.lastStamp = max(r.lastStamp+1, r.now.Wall)
	c.Stamp, c.Origin, c.Incarnation = r.lastStamp, r.settings.Rank, r.settings.Incarnation
	if c.From == 0 && (c.Kind == Move || c.Kind == Terms) {
		c.From = r.now.Wall
	}
	if c.Kind == Reserve {
		c.Rate = reservationRate(&c, r.planAt(c.Member, c.From))
		c.Target = acceptedByFleet
	}
	c.Terms.Name = c.Plan
	if c.Kind != Terms {
		c.Terms = decide.Plan{}
	}
	s.change = c
	r.pending[c.Number] = *s
	r.emit(Persist{c, true})
}

// persisted adds a submitted change that is now durable to the set, answers the submit and forwards the
// change.
func (r *Replica) persisted(number uint64) {
	p, ok := r.pending[number]
	if !ok {
		return
	}
	delete(r.pending, number)
	r.add(p.change)
	hash := p.change.hash()
	r.own[hash] = true
	r.recompute()
	// While this change was being persisted, another gateway's change may have arrived that makes this one
	// void, for example one with the same number. That cannot happen to a final reservation.
	if reason := r.derived.voidReasons[r.set.byHash[hash]]; reason != "" {
		r.answer(&p, p.change, invalid(&p.change, "number", "%s", reason))
	} else {
		r.answer(&p, p.change, nil)
	}
	r.forward([]*Change{&p.change}, noPeer)
	r.decideNext()
}

// persistFailed rejects a submitted change that could not be made durable.
func (r *Replica) persistFailed(e PersistFailed) {
	p, ok := r.pending[e.Number]
	if !ok {
		return
	}
	delete(r.pending, e.Number)
	r.answer(&p, p.change, invalid(&p.change, "log", "%s, the change was not accepted", e.Reason))
	r.decideNext()
}

// add adds a change to the set. It returns false if the set already contains it.
func (r *Replica) add(c Change) bool {
	if !r.set.add(c) {
		return false
	}
	r.lastStamp = max(r.lastStamp, c.Stamp)
	r.stale = true
	return true
}
