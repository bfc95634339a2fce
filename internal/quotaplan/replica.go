package quotaplan

import (
	"math"
	"math/rand"
	"time"

	"winghatch/decide"
)

// maxPendingSubmits bounds the submitted changes that wait for the disk: while it does not answer, submits must not
// fill the memory.
const maxPendingSubmits = 256

// Member is a customer of the settings.
type Member struct {
	Name, Plan string
	First      int // rank of the first gateway that it uses
	Spread     int // how many gateways it uses, from First on, modulo the fleet's
}

// Settings are the parameters of a Replica.
type Settings struct {
	Rank            int // of this gateway, from 0
	Gateways        int // of the fleet
	Plans           []decide.Plan
	Members         []Member
	Capacity        float64 // units a second that the fleet can serve; 0: not stated
	MaxRequestUnits float64 // of the largest request
	Incarnation     uint64  // differs from process to process of this gateway
	Seed            int64   // of the random choices
}

// pendingSubmit is a submitted change that waits for the disk.
type pendingSubmit struct {
	token  uint64
	change Change
}

// Replica is one gateway's replica of the set of changes. It is not safe for concurrent use.
type Replica struct {
	settings  Settings
	random    *rand.Rand
	plans     map[string]decide.Plan // of the settings, by name
	planNames []string               // in the order of the settings
	members   map[string]Member

	now     Instant
	actions []Action // of the event being handled

	set       changeSet
	own       map[uint64]bool          // hashes of the changes that this gateway accepted
	pending   map[uint64]pendingSubmit // by number of the change
	lastStamp int64                    // highest stamp known

	derived   derived
	stale     bool // the set has grown since derived was computed
	announced announced

	compareAt time.Duration // next comparison with a peer
}

// New returns a replica without changes.
func New(s Settings) *Replica {
	r := &Replica{
		settings:  s,
		random:    rand.New(rand.NewSource(s.Seed)),
		plans:     map[string]decide.Plan{},
		members:   map[string]Member{},
		set:       changeSet{byHash: map[uint64]*Change{}},
		own:       map[uint64]bool{},
		pending:   map[uint64]pendingSubmit{},
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
	r.recompute()
	return r
}

// Restore adds a persisted change, before Start. own says that it was persisted as an own one. A gateway that lost its
// disk receives its former changes from peers, as foreign ones: if it took them for its own, it would mint the tokens
// of its reservations a second time.
func (r *Replica) Restore(c Change, own bool) {
	if r.add(c) && own {
		r.own[c.hash()] = true
	}
}

// Own reports whether a change was accepted by this gateway, by this process or an earlier one whose disk it has.
func (r *Replica) Own(c *Change) bool { return r.own[c.hash()] }

// Handle takes an event and returns the actions that follow from it, in order.
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
	}
	if r.stale {
		r.recompute()
	}
	r.announce()
	r.emit(ScheduleTick{r.nextTick()})
	return r.actions
}

func (r *Replica) emit(a Action) { r.actions = append(r.actions, a) }

// nextTick is when something is due: a comparison, or the date of a change.
func (r *Replica) nextTick() Instant {
	at := Instant{Wall: r.announced.nextDateAt, Mono: math.MaxInt64}
	if r.settings.Gateways > 1 {
		at.Mono = r.compareAt
	}
	return at
}

func (r *Replica) submit(e Submit) {
	c := e.Change
	if err := r.check(&c); err != nil {
		r.emit(Reply{e.Token, c, err})
		return
	}
	// Stamps only grow, also where the wall clock was stepped back: a new change must not sort before those that it was
	// checked against.
	r.lastStamp = max(r.lastStamp+1, r.now.Wall)
	c.Stamp, c.Origin, c.Incarnation = r.lastStamp, r.settings.Rank, r.settings.Incarnation
	if c.From == 0 && (c.Kind == Move || c.Kind == Terms) {
		c.From = r.now.Wall
	}
	if c.Kind == Reserve {
		c.Rate = reservationRate(&c, r.planAt(c.Member, c.From))
	}
	c.Terms.Name = c.Plan
	if c.Kind != Terms {
		c.Terms = decide.Plan{}
	}
	r.pending[c.Number] = pendingSubmit{e.Token, c}
	r.emit(Persist{c, true})
}

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
	// Another gateway's change of the same number may have arrived while this one was written.
	if reason := r.derived.voidReasons[r.set.byHash[hash]]; reason != "" {
		r.emit(Reply{p.token, p.change, invalid(&p.change, "number", "%s", reason)})
	} else {
		r.emit(Reply{p.token, p.change, nil})
	}
	r.forward([]*Change{&p.change}, noPeer)
}

func (r *Replica) persistFailed(e PersistFailed) {
	p, ok := r.pending[e.Number]
	if !ok {
		return
	}
	delete(r.pending, e.Number)
	r.emit(Reply{p.token, p.change, invalid(&p.change, "log", "%s, the change is not taken", e.Reason)})
}

// add adds a change to the set; false: the set had it.
func (r *Replica) add(c Change) bool {
	if !r.set.add(c) {
		return false
	}
	r.lastStamp = max(r.lastStamp, c.Stamp)
	r.stale = true
	return true
}
