package quotaplan

import (
	"math"
	"math/rand"
	"slices"
	"sort"
	"time"

	"winghatch/decide"
)

// Spreading.
const (
	compareInterval   = 500 * time.Millisecond // a gateway compares its book with another one so often
	forwardFanout     = 4                      // gateways that are told of a change as it comes
	startFanout       = 3                      // gateways that a new one compares with at once
	maxListedHashes   = 48                     // changes of a range that are named one by one; more are split
	rangeFanout       = 8                      // parts of a range
	maxPendingSubmits = 256                    // own changes that wait for the disk
	maxMessageBytes   = 1000                   // of a message
)

// Admission of reservations.
const (
	maxReservedOfRate     = 0.5  // of a plan's rate, and of its ceiling, may be set aside at any time
	maxReservedOfCapacity = 0.5  // of the fleet's capacity
	minOrdinaryOfRate     = 0.05 // of a plan's rate is left to ordinary use whatever is set aside
	defaultRateOfCeiling  = 0.25 // of a ceiling: the rate of a reservation that names none, or twice its mean if that is more
	maxDateInPast         = int64(time.Second)
	maxWindow             = int64(400 * 24 * time.Hour)
)

// Member is a customer as the settings have it.
type Member struct {
	Name, Plan    string
	First, Spread int
}

// Settings are what a book starts from.
type Settings struct {
	Rank, Gateways  int
	Plans           []decide.Plan
	Members         []Member
	Capacity        float64 // units a second that the fleet is stated to bear; 0: not stated
	MaxRequestUnits float64 // of a call
	Incarnation     uint64  // differs from life to life of this gateway
	Seed            int64
}

// Now is the time of an event: monotonic, as all cores have it, and the wall clock's Unix nanoseconds, by which
// changes come into force.
type Instant struct {
	Mono time.Duration
	Wall int64
}

// Event is something that a book is told.
type Event interface{ event() }

// Action is something that a book wants done.
type Action interface{ action() }

type (
	// Begin is the first event, after the changes that were kept were put in by Restore.
	Start struct{}
	// Submit hands in a change; it is answered by one Reply.
	Submit struct {
		Token  uint64
		Change Change
	}
	// Kept says that a change of Keep is durable.
	Persisted struct{ Number uint64 }
	// NotKept says that it can't be made durable.
	PersistFailed struct {
		Number uint64
		Reason string
	}
	// Heard is a message of another gateway.
	MessageReceived struct {
		From int
		Data []byte
	}
	// Tick is the answer to Wake.
	Tick struct{}

	// Keep asks for a change to be made durable. Own ones are answered and told to others only then.
	Persist struct {
		Change Change
		Own    bool
	}
	// Reply answers a Submit; Err is nil or an *Error.
	Reply struct {
		Token  uint64
		Change Change
		Err    *Error
	}
	// Send tells another gateway.
	Send struct {
		To   int
		Data []byte
	}
	// Stand says on which terms a member is from now on.
	ApplyPlan struct {
		Member string
		Plan   decide.Plan
		Change uint64 // the last change that this follows from
	}
	// Hold says that a reservation is known; it may be used within its window.
	AddReservation struct{ Reservation }
	// Cut says that a reservation is of Units now; 0: it is cancelled or void.
	ResizeReservation struct {
		ID    uint64
		Units float64
	}
	// Wake asks for a Tick.
	ScheduleTick struct{ At Instant }
	// Note is for the operator's log.
	LogWarning struct{ Text string }
)

func (Start) event()           {}
func (Submit) event()          {}
func (Persisted) event()       {}
func (PersistFailed) event()   {}
func (MessageReceived) event() {}
func (Tick) event()            {}

func (Persist) action()           {}
func (Reply) action()             {}
func (Send) action()              {}
func (ApplyPlan) action()         {}
func (AddReservation) action()    {}
func (ResizeReservation) action() {}
func (ScheduleTick) action()      {}
func (LogWarning) action()        {}

// Reservation is what a Reserve change sets aside.
type Reservation struct {
	ID            uint64 // of the change; two of one number differ in it
	Number        uint64
	Member        string
	Units         float64 // as first made
	From, To      int64
	Rate          float64 // units a second, all gateways together; 0: no bound
	Burst         float64 // units at once, with a Rate
	Ceiling       bool    // the member's plan had a ceiling, of which Rate and Burst are set aside
	First, Spread int     // the member's gateways
	Mine          bool    // made at this gateway in this or an earlier life
}

// Status is what became of a change.
type Status string

// The statuses.
const (
	Waiting   Status = "waiting"  // its date is to come
	InForce   Status = "in force" // or, of a reservation, within its window
	Replaced  Status = "replaced" // another one came into force after it
	Ended     Status = "ended"    // its window is over
	Cancelled Status = "cancelled"
	Void      Status = "void" // it does not count, for the reason given
	Done      Status = "done" // of Cancel and Shorten
)

// Entry is a change and what became of it.
type Entry struct {
	Change
	Status Status
	Reason string
}

type pendingSubmit struct {
	token  uint64
	change Change
}

// Book is a gateway's. It is not safe for concurrent use.
type Replica struct {
	settings  Settings
	random    *rand.Rand
	now       Instant
	actions   []Action
	plans     map[string]decide.Plan
	planNames []string
	members   map[string]Member

	changes              []*Change          // in the order of changes
	byHash               map[uint64]*Change // by hash
	own                  map[uint64]bool    // hashes of own ones
	sortedHashes         []uint64           // hashes, in order
	byNumber             map[uint64]*Change // the one that counts
	voidReasons          map[*Change]string
	cancelledBy          map[uint64]uint64  // target -> number that cancels it
	shortenedTo          map[uint64]float64 // reservation -> units now
	planMoves            map[string][]*Change
	termChanges          map[string][]*Change
	reservationsByMember map[string][]*Change // by member

	reservations []*Change // all of holds, in order

	pending        map[uint64]pendingSubmit
	effectivePlans map[string]decide.Plan // as last told
	announcedUnits map[uint64]float64     // reservations told, by ID, units as last told
	lastStamp      int64
	compareAt      time.Duration
	started        bool
	stale          bool  // the set has changed since derive
	unannounced    bool  // derive has run since tell
	announcedAt    int64 // wall clock of the last tell
	nextDateAt     int64 // the next date of a change, after toldAt
}

// New returns a book that knows only the settings.
func New(s Settings) *Replica {
	b := &Replica{settings: s, random: rand.New(rand.NewSource(s.Seed)), plans: map[string]decide.Plan{}, members: map[string]Member{},
		byHash: map[uint64]*Change{}, own: map[uint64]bool{}, pending: map[uint64]pendingSubmit{}, effectivePlans: map[string]decide.Plan{}, announcedUnits: map[uint64]float64{}}
	for _, p := range s.Plans {
		b.plans[p.Name] = p
		b.planNames = append(b.planNames, p.Name)
	}
	for _, m := range s.Members {
		b.members[m.Name] = m
		b.effectivePlans[m.Name] = b.plans[m.Plan]
	}
	b.recompute()
	return b
}

// Restore puts in a change that was kept, before Begin. own says that it was kept as such: a gateway that lost its disk
// hears of its own former changes from others, and must not take them for its own again, as it would make the tokens
// of a reservation a second time.
func (r *Replica) Restore(c Change, own bool) {
	if r.add(c) && own {
		r.own[c.hash()] = true
	}
}

// Own reports whether a change was taken by this gateway, in this life or one whose disk it has.
func (r *Replica) Own(c *Change) bool { return r.own[c.hash()] }

// Handle takes an event and returns what is to be done, in order.
func (r *Replica) Handle(now Instant, ev Event) []Action {
	r.actions = nil
	now.Mono = max(now.Mono, r.now.Mono)
	r.now = now
	switch e := ev.(type) {
	case Start:
		r.started = true
		r.compareAt = now.Mono + r.compareDelay()
		for range min(startFanout, r.settings.Gateways-1) {
			r.startComparison(r.randomPeer())
		}
	case Submit:
		r.submit(e)
	case Persisted:
		r.persisted(e.Number)
	case PersistFailed:
		if p, ok := r.pending[e.Number]; ok {
			delete(r.pending, e.Number)
			r.emit(Reply{p.token, p.change, invalid(&p.change, "log", "%s, the change is not taken", e.Reason)})
		}
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

func (r *Replica) compareDelay() time.Duration {
	return time.Duration((0.75 + 0.5*r.random.Float64()) * float64(compareInterval))
}

// someone is another gateway, any of them.
func (r *Replica) randomPeer() int {
	n := r.random.Intn(r.settings.Gateways - 1)
	if n >= r.settings.Rank {
		n++
	}
	return n
}

// next is when something comes by itself: the beat, or a date of a change.
func (r *Replica) nextTick() Instant {
	n := Instant{Wall: r.nextDateAt, Mono: math.MaxInt64}
	if r.settings.Gateways > 1 {
		n.Mono = r.compareAt
	}
	return n
}

// nextDate is the first date of a change after now.
func (r *Replica) nextDate() int64 {
	at := int64(math.MaxInt64)
	for _, c := range r.changes {
		for _, t := range []int64{c.From, c.To} {
			if t > r.now.Wall {
				at = min(at, t)
			}
		}
	}
	return at
}

// ---- Taking changes in.

// Check reports what makes a change unusable now; nil: nothing.
func (r *Replica) Check(wall int64, c *Change) *Error {
	if c.Number == 0 {
		return invalid(c, "number", "0, want 1 or more")
	}
	if old := r.byNumber[c.Number]; old != nil {
		return invalid(c, "number", "seen before: %s", old)
	}
	if _, ok := r.pending[c.Number]; ok {
		return invalid(c, "number", "seen before, it is being kept")
	}
	if len(r.pending) >= maxPendingSubmits {
		return invalid(c, "log", "%d changes wait to be kept, want fewer than %d", len(r.pending), maxPendingSubmits)
	}
	if !c.finite() {
		return invalid(c, "units", "figures of %v, %v, %+v, want numbers of 0 or more", c.Units, c.Rate, c.Terms)
	}
	if len(c.Member) > maxNameBytes || len(c.Plan) > maxNameBytes {
		return invalid(c, "member", "a name of %d bytes, want %d at most", max(len(c.Member), len(c.Plan)), maxNameBytes)
	}
	if c.Kind == Move || c.Kind == Reserve {
		if _, ok := r.members[c.Member]; !ok {
			return invalid(c, "member", "%q, want a member of the settings", c.Member)
		}
	}
	if c.Kind == Move || c.Kind == Terms {
		if _, ok := r.plans[c.Plan]; !ok {
			return invalid(c, "plan", "%q, want one of %s", c.Plan, nameList(r.planNames))
		}
	}
	if c.Kind != Cancel && c.Kind != Shorten && c.From != 0 && c.From < wall-maxDateInPast {
		return invalid(c, "from", "%s, want a time that is to come", formatTime(c.From))
	}
	switch c.Kind {
	case Move:
		return nil
	case Terms:
		return r.checkTerms(c)
	case Reserve:
		return r.checkReserve(c)
	case Cancel, Shorten:
		return r.checkTarget(wall, c)
	}
	return invalid(c, "kind", "%s, want move, terms, reserve, cancel or shorten", c.Kind)
}

func (r *Replica) checkTerms(c *Change) *Error {
	p := &c.Terms
	switch {
	case (p.Rate > 0) != (p.Burst > 0):
		return invalid(c, "burst", "rate %v and burst %v, want both or neither", p.Rate, p.Burst)
	case (p.CeilingRate > 0) != (p.CeilingBurst > 0):
		return invalid(c, "ceiling-burst", "rate %v and burst %v, want both or neither", p.CeilingRate, p.CeilingBurst)
	case p.CeilingRate > 0 && p.CeilingRate < p.Rate:
		return invalid(c, "ceiling-rate", "%v, want the rate of %v or more", p.CeilingRate, p.Rate)
	}
	return nil
}

func (r *Replica) checkTarget(wall int64, c *Change) *Error {
	t := r.byNumber[c.Target]
	switch {
	case t == nil:
		return invalid(c, "target", "%d, want the number of a change", c.Target)
	case t.Kind == Cancel || t.Kind == Shorten:
		return invalid(c, "target", "%d is a %s, want a move, terms or a reservation", c.Target, t.Kind)
	case r.cancelledBy[c.Target] != 0:
		return invalid(c, "target", "%d was cancelled by %d", c.Target, r.cancelledBy[c.Target])
	case t.Kind == Reserve && t.To <= wall:
		return invalid(c, "target", "%d ended at %s", c.Target, formatTime(t.To))
	case c.Kind == Shorten && t.Kind != Reserve:
		return invalid(c, "target", "%d is a %s, want a reservation", c.Target, t.Kind)
	case c.Kind == Shorten && !(c.Units < r.currentUnits(t)):
		return invalid(c, "units", "%v, want less than the %v of %d", c.Units, r.currentUnits(t), c.Target)
	}
	return nil
}

// units is what a reservation is of now.
func (r *Replica) currentUnits(c *Change) float64 {
	if r.cancelledBy[c.Number] != 0 || r.voidReasons[c] != "" {
		return 0
	}
	if u, ok := r.shortenedTo[c.Number]; ok {
		return u
	}
	return c.Units
}

// mean is the units a second that a reservation takes off ordinary use.
func meanRate(c *Change, units float64) float64 {
	return units / max(time.Duration(c.To-c.From).Seconds(), 1e-9)
}

// checkReserve is the admission test, against what the book knows.
func (r *Replica) checkReserve(c *Change) *Error {
	switch {
	case !(c.Units > 0):
		return invalid(c, "units", "%v, want more than 0", c.Units)
	case c.To <= c.From || c.From == 0:
		return invalid(c, "to", "%s, want a time after %s", formatTime(c.To), formatTime(c.From))
	case c.To-c.From < int64(time.Second) || c.To-c.From > maxWindow:
		return invalid(c, "to", "a window of %v, want 1s to %v", time.Duration(c.To-c.From), time.Duration(maxWindow))
	}
	field, text := r.checkCapacity(c, r.planAt(c.Member, c.From))
	if field != "" {
		return &Error{c.Number, field, text}
	}
	return nil
}

// fits is the test itself: the member's terms first, then the fleet. It tells the room that there is.
func (r *Replica) checkCapacity(c *Change, p decide.Plan) (field, text string) {
	secs := time.Duration(c.To - c.From).Seconds()
	aside := meanRate(c, c.Units)
	if p.Rate > 0 {
		room := maxReservedOfRate*p.Rate - r.peakOverlap(c, func(o *Change) float64 {
			if o.Member != c.Member {
				return 0
			}
			return meanRate(o, r.currentUnits(o))
		})
		if aside > room*(1+1e-9) {
			return "units", sprint("%v in this window, the terms of %s (%v/s, half of which may be set aside) have room for %.6g",
				c.Units, c.Member, p.Rate, max(0, room*secs))
		}
	}
	if p.CeilingRate > 0 {
		rate := r.reservationRate(c, p)
		room := maxReservedOfRate*p.CeilingRate - r.peakOverlap(c, func(o *Change) float64 {
			if o.Member != c.Member {
				return 0
			}
			return r.reservationRate(o, p)
		})
		if rate > room*(1+1e-9) {
			return "rate", sprint("%v/s, the ceiling of %s (%v/s, half of which may be set aside) has room for %.6g/s", rate, c.Member,
				p.CeilingRate, max(0, room))
		}
		if burst := p.CeilingBurst * rate / p.CeilingRate; burst < r.settings.MaxRequestUnits {
			return "rate", sprint("%v/s, which leaves %.6g units at once of the ceiling's burst: want the %v of the largest call or more",
				rate, burst, r.settings.MaxRequestUnits)
		}
		if aside > rate*(1+1e-9) {
			return "rate", sprint("%v/s, at which %v units can't be used in the window, want %.6g/s or more", rate, c.Units, aside)
		}
	} else if c.Rate > 0 && aside > c.Rate*(1+1e-9) {
		return "rate", sprint("%v/s, at which %v units can't be used in the window, want %.6g/s or more", c.Rate, c.Units, aside)
	}
	if r.settings.Capacity > 0 {
		load := func(o *Change) float64 { return max(o.Rate, meanRate(o, r.currentUnits(o))) }
		room := maxReservedOfCapacity*r.settings.Capacity - r.peakOverlap(c, load)
		if max(c.Rate, aside) > room*(1+1e-9) {
			return "units", sprint("%v in this window at %.6g/s, the fleet (%v/s, half of which may be set aside) has room for %.6g/s, %.6g units",
				c.Units, max(c.Rate, aside), r.settings.Capacity, max(0, room), max(0, room*secs))
		}
	}
	return "", ""
}

// rate is a reservation's, under a plan with a ceiling.
func (r *Replica) reservationRate(c *Change, p decide.Plan) float64 {
	if c.Rate > 0 || p.CeilingRate == 0 {
		return c.Rate
	}
	return max(defaultRateOfCeiling*p.CeilingRate, 2*meanRate(c, c.Units))
}

// peak is the most that reservations made before c take at any moment of its window.
func (r *Replica) peakOverlap(c *Change, of func(*Change) float64) float64 {
	var others []*Change
	for _, o := range r.reservations { // in the order of changes, so that sums are the same to the last bit everywhere
		if o != c && r.cancelledBy[o.Number] == 0 && (c.Stamp == 0 || o.before(c)) && o.From < c.To && o.To > c.From {
			others = append(others, o)
		}
	}
	most := 0.0
	for _, at := range append(others, c) {
		sum := 0.0
		for _, o := range others {
			if from := max(at.From, c.From); o.From <= from && from < o.To {
				sum += of(o)
			}
		}
		most = max(most, sum)
	}
	return most
}

func (r *Replica) submit(e Submit) {
	c := e.Change
	if err := r.Check(r.now.Wall, &c); err != nil {
		r.emit(Reply{e.Token, c, err})
		return
	}
	// A clock that stepped back still gives later stamps than all that this gateway knows.
	r.lastStamp = max(r.lastStamp+1, r.now.Wall)
	c.Stamp, c.Origin, c.Incarnation = r.lastStamp, r.settings.Rank, r.settings.Incarnation
	if c.From == 0 && (c.Kind == Move || c.Kind == Terms) {
		c.From = r.now.Wall
	}
	if c.Kind == Reserve {
		c.Rate = r.reservationRate(&c, r.planAt(c.Member, c.From))
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
	r.own[p.change.hash()] = true
	r.recompute()
	if why := r.voidReasons[r.byHash[p.change.hash()]]; why != "" { // another one of the number came meanwhile
		r.emit(Reply{p.token, p.change, invalid(&p.change, "number", "%s", why)})
	} else {
		r.emit(Reply{p.token, p.change, nil})
	}
	r.forward([]*Change{&p.change}, -1)
}

// insert adds a change to the set; false: it was there.
func (r *Replica) add(c Change) bool {
	h := c.hash()
	if r.byHash[h] != nil {
		return false
	}
	p := &c
	r.byHash[h] = p
	i, _ := slices.BinarySearch(r.sortedHashes, h)
	r.sortedHashes = slices.Insert(r.sortedHashes, i, h)
	at := sort.Search(len(r.changes), func(i int) bool { return c.before(r.changes[i]) })
	r.changes = slices.Insert(r.changes, at, p)
	r.lastStamp = max(r.lastStamp, c.Stamp)
	r.stale = true
	return true
}

// Changes is the whole set, in order, to be kept in a snapshot.
func (r *Replica) Changes() (out []Change) {
	for _, c := range r.changes {
		out = append(out, *c)
	}
	return out
}

// ---- What follows from the set.

// derive works out, in the order of changes, which count.
func (r *Replica) recompute() {
	r.stale, r.unannounced = false, true
	r.reservations = nil
	r.byNumber, r.voidReasons = map[uint64]*Change{}, map[*Change]string{}
	r.cancelledBy, r.shortenedTo = map[uint64]uint64{}, map[uint64]float64{}
	r.planMoves, r.termChanges, r.reservationsByMember = map[string][]*Change{}, map[string][]*Change{}, map[string][]*Change{}
	for _, c := range r.changes {
		if old := r.byNumber[c.Number]; old != nil {
			r.voidReasons[c] = sprint("its number was seen before: %s, taken by gateway %d", old, old.Origin)
			continue
		}
		r.byNumber[c.Number] = c
		switch c.Kind {
		case Move:
			if _, ok := r.plans[c.Plan]; !ok {
				r.voidReasons[c] = sprint("plan %q is not in this gateway's settings", c.Plan)
				continue
			}
			r.planMoves[c.Member] = append(r.planMoves[c.Member], c)
		case Terms:
			if _, ok := r.plans[c.Plan]; !ok {
				r.voidReasons[c] = sprint("plan %q is not in this gateway's settings", c.Plan)
				continue
			}
			r.termChanges[c.Plan] = append(r.termChanges[c.Plan], c)
		case Reserve:
			// Two gateways may each have let one in while they could not hear each other: the first in the order
			// of changes counts.
			if field, text := r.checkCapacity(c, r.planAt(c.Member, c.From)); field != "" {
				r.voidReasons[c] = field + ": " + text
				continue
			}
			r.reservationsByMember[c.Member] = append(r.reservationsByMember[c.Member], c)
			r.reservations = append(r.reservations, c)
		case Cancel:
			if t := r.byNumber[c.Target]; t != nil && r.cancelledBy[c.Target] == 0 {
				r.cancelledBy[c.Target] = c.Number
			}
		case Shorten:
			if t := r.byNumber[c.Target]; t != nil && t.Kind == Reserve && c.Units < r.currentUnits(t) {
				r.shortenedTo[c.Target] = c.Units
			}
		}
	}
}

// latest is the change of a list that is in force at a moment.
func (r *Replica) inForce(list []*Change, at int64) (found *Change) {
	for _, c := range list {
		if c.From <= at && r.cancelledBy[c.Number] == 0 && (found == nil || c.supersedes(found)) {
			found = c
		}
	}
	return found
}

// plan is a member's at a moment, with nothing set aside.
func (r *Replica) planAt(member string, at int64) decide.Plan {
	name := r.members[member].Plan
	if c := r.inForce(r.planMoves[member], at); c != nil {
		name = c.Plan
	}
	p := r.plans[name]
	if c := r.inForce(r.termChanges[name], at); c != nil {
		p = c.Terms
		p.Name = name
	}
	return p
}

// standing is what a member is on at a moment: its plan, less what is set aside for its marked calls.
func (r *Replica) effectivePlan(member string, at int64) (decide.Plan, uint64) {
	p := r.planAt(member, at)
	last := uint64(0)
	if c := r.inForce(r.planMoves[member], at); c != nil {
		last = c.Number
	}
	whole := p
	for _, c := range r.reservationsByMember[member] {
		units := r.currentUnits(c)
		if units == 0 || at < c.From || at >= c.To {
			continue
		}
		last = c.Number
		if p.Rate > 0 {
			p.Rate = max(minOrdinaryOfRate*whole.Rate, p.Rate-meanRate(c, units))
		}
		if p.CeilingRate > 0 {
			rate := min(r.reservationRate(c, whole), p.CeilingRate*(1-minOrdinaryOfRate))
			p.CeilingBurst -= p.CeilingBurst * rate / p.CeilingRate
			p.CeilingRate -= rate
			p.CeilingSlack *= 1 - rate/whole.CeilingRate
		}
	}
	return p, last
}

// tell says what has changed since it was last said: the set, or by the date. A wall clock that stepped back makes
// dates come again; what holds is then told again as well.
func (r *Replica) announce() {
	if !r.unannounced && r.now.Wall < r.nextDateAt && r.now.Wall >= r.announcedAt {
		return
	}
	r.unannounced, r.announcedAt, r.nextDateAt = false, r.now.Wall, r.nextDate()
	for _, m := range r.settings.Members {
		if r.planMoves[m.Name] == nil && r.reservationsByMember[m.Name] == nil && len(r.termChanges) == 0 && r.effectivePlans[m.Name] == r.plans[m.Plan] {
			continue
		}
		p, last := r.effectivePlan(m.Name, r.now.Wall)
		if r.effectivePlans[m.Name] != p {
			r.effectivePlans[m.Name] = p
			r.emit(ApplyPlan{m.Name, p, last})
		}
		for _, c := range r.reservationsByMember[m.Name] {
			r.announceReservation(c, m)
		}
	}
	for _, c := range r.changes {
		if c.Kind != Reserve || r.voidReasons[c] == "" {
			continue
		}
		if id := c.hash(); r.announcedUnits[id] != 0 {
			r.announcedUnits[id] = 0
			r.emit(ResizeReservation{id, 0})
			r.emit(LogWarning{sprint("%s is void: %s", c, r.voidReasons[c])})
		}
	}
}

func (r *Replica) announceReservation(c *Change, m Member) {
	id, units := c.hash(), r.currentUnits(c)
	last, told := r.announcedUnits[id]
	if !told {
		if c.To <= r.now.Wall || units == 0 {
			return
		}
		p := r.planAt(m.Name, c.From)
		reservation := Reservation{ID: id, Number: c.Number, Member: c.Member, Units: c.Units, From: c.From, To: c.To,
			Rate: r.reservationRate(c, p), Ceiling: p.CeilingRate > 0, First: m.First, Spread: m.Spread, Mine: r.own[id]}
		if reservation.Burst = max(reservation.Rate, r.settings.MaxRequestUnits); reservation.Ceiling {
			reservation.Burst = p.CeilingBurst * reservation.Rate / p.CeilingRate
		}
		r.emit(AddReservation{reservation})
		last = c.Units
	}
	if r.announcedUnits[id] = units; units != last {
		r.emit(ResizeReservation{id, units})
	}
}

// Stands is on which terms a member is, as of the last event.
func (r *Replica) EffectivePlan(member string) decide.Plan { return r.effectivePlans[member] }

// Overspend is the stated bound on what a member may spend beyond its new plan while news of it spreads, in units:
// gateways that have not heard it yet let pass at the old rate for that time, and up to the old mark. Parts of
// gateways may sum to 15 % more than a whole.
func Overspend(old, new decide.Plan, spread time.Duration) float64 {
	rate, burst := max(0, old.Rate-new.Rate), max(0, old.Burst-new.Burst)
	if old.Rate == 0 && new.Rate > 0 {
		return math.Inf(1) // without a rate nothing bounds it
	}
	return 1.15 * (rate*spread.Seconds() + burst)
}

// History tells all changes, of one member (and of plans) or of all, in their order.
func (r *Replica) History(member string) (out []Entry) {
	for _, c := range r.changes {
		target := r.byNumber[c.Target]
		if member != "" && c.Member != member && c.Kind != Terms && (target == nil || target.Member != member) {
			continue
		}
		out = append(out, r.entry(c))
	}
	return out
}

func (r *Replica) entry(c *Change) Entry {
	e := Entry{Change: *c, Status: InForce}
	at := r.now.Wall
	switch {
	case r.voidReasons[c] != "":
		e.Status, e.Reason = Void, r.voidReasons[c]
	case c.Kind == Cancel || c.Kind == Shorten:
		e.Status = Done
	case r.cancelledBy[c.Number] != 0:
		e.Status, e.Reason = Cancelled, sprint("by %d", r.cancelledBy[c.Number])
	case c.From > at:
		e.Status = Waiting
	case c.Kind == Reserve && c.To <= at:
		e.Status = Ended
	case c.Kind == Move && r.inForce(r.planMoves[c.Member], at) != c, c.Kind == Terms && r.inForce(r.termChanges[c.Plan], at) != c:
		e.Status = Replaced
	}
	if u, ok := r.shortenedTo[c.Number]; ok && c.Kind == Reserve {
		e.Reason = sprint("of %v units now", u)
	}
	return e
}

// Known reports whether the book has a change of that number which says the same. A date that is left open is the same
// as any.
func (r *Replica) Contains(c Change) bool {
	o := r.byNumber[c.Number]
	if o == nil {
		if p, ok := r.pending[c.Number]; ok {
			o = &p.change
		} else {
			return false
		}
	}
	return o.Kind == c.Kind && o.Member == c.Member && o.Plan == c.Plan && o.Units == c.Units && o.Target == c.Target &&
		(c.From == 0 || c.From == o.From) && c.To == o.To && (c.Rate == 0 || c.Rate == o.Rate) && (c.Kind != Terms || o.Terms == c.Terms)
}

// Version names the set of changes: gateways that tell the same hold the same.
func (r *Replica) Digest() (changes int, sum uint64) {
	for _, h := range r.sortedHashes {
		sum ^= h
	}
	return len(r.sortedHashes), sum
}
