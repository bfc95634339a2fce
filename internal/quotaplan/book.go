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
	beat        = 500 * time.Millisecond // a gateway compares its book with another one so often
	pushTo      = 4                      // gateways that are told of a change as it comes
	atStart     = 3                      // gateways that a new one compares with at once
	listed      = 48                     // changes of a range that are named one by one; more are split
	splitTo     = 8                      // parts of a range
	pendingMost = 256                    // own changes that wait for the disk
	maxBytes    = 1000                   // of a message
)

// Admission of reservations.
const (
	reserveOfRate    = 0.5  // of a plan's rate, and of its ceiling, may be set aside at any time
	reserveOfFleet   = 0.5  // of the fleet's capacity
	ordinaryLeast    = 0.05 // of a plan's rate is left to ordinary use whatever is set aside
	defaultOfCeiling = 0.25 // of a ceiling: the rate of a reservation that names none, or twice its mean if that is more
	pastSlack        = int64(time.Second)
	longest          = int64(400 * 24 * time.Hour)
)

// Member is a customer as the settings have it.
type Member struct {
	Name, Plan    string
	First, Spread int
}

// Settings are what a book starts from.
type Settings struct {
	Rank, Gateways int
	Plans          []decide.Plan
	Members        []Member
	Capacity       float64 // units a second that the fleet is stated to bear; 0: not stated
	MaxUnits       float64 // of a call
	Life           uint64  // differs from life to life of this gateway
	Seed           int64
}

// Now is the time of an event: monotonic, as all cores have it, and the wall clock's Unix nanoseconds, by which
// changes come into force.
type Now struct {
	Mono time.Duration
	Wall int64
}

// Event is something that a book is told.
type Event interface{ event() }

// Action is something that a book wants done.
type Action interface{ action() }

type (
	// Begin is the first event, after the changes that were kept were put in by Restore.
	Begin struct{}
	// Submit hands in a change; it is answered by one Reply.
	Submit struct {
		Token  uint64
		Change Change
	}
	// Kept says that a change of Keep is durable.
	Kept struct{ Number uint64 }
	// NotKept says that it can't be made durable.
	NotKept struct {
		Number uint64
		Why    string
	}
	// Heard is a message of another gateway.
	Heard struct {
		From int
		Data []byte
	}
	// Tick is the answer to Wake.
	Tick struct{}

	// Keep asks for a change to be made durable. Own ones are answered and told to others only then.
	Keep struct {
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
	Stand struct {
		Member string
		Plan   decide.Plan
		Change uint64 // the last change that this follows from
	}
	// Hold says that a reservation is known; it may be used within its window.
	Hold struct{ Reservation }
	// Cut says that a reservation is of Units now; 0: it is cancelled or void.
	Cut struct {
		ID    uint64
		Units float64
	}
	// Wake asks for a Tick.
	Wake struct{ At Now }
	// Note is for the operator's log.
	Note struct{ Text string }
)

func (Begin) event()   {}
func (Submit) event()  {}
func (Kept) event()    {}
func (NotKept) event() {}
func (Heard) event()   {}
func (Tick) event()    {}

func (Keep) action()  {}
func (Reply) action() {}
func (Send) action()  {}
func (Stand) action() {}
func (Hold) action()  {}
func (Cut) action()   {}
func (Wake) action()  {}
func (Note) action()  {}

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
	Why    string
}

type pending struct {
	token  uint64
	change Change
}

// Book is a gateway's. It is not safe for concurrent use.
type Book struct {
	s       Settings
	rng     *rand.Rand
	now     Now
	out     []Action
	plans   map[string]decide.Plan
	names   []string
	members map[string]Member

	all     []*Change          // in the order of changes
	hashes  map[uint64]*Change // by hash
	mine    map[uint64]bool    // hashes of own ones
	sorted  []uint64           // hashes, in order
	numbers map[uint64]*Change // the one that counts
	void    map[*Change]string
	cancels map[uint64]uint64  // target -> number that cancels it
	cuts    map[uint64]float64 // reservation -> units now
	moves   map[string][]*Change
	terms   map[string][]*Change
	holds   map[string][]*Change // by member

	reserved []*Change // all of holds, in order

	pending map[uint64]pending
	stands  map[string]decide.Plan // as last told
	held    map[uint64]float64     // reservations told, by ID, units as last told
	stamp   int64
	beatAt  time.Duration
	begun   bool
	dirty   bool  // the set has changed since derive
	fresh   bool  // derive has run since tell
	toldAt  int64 // wall clock of the last tell
	dateAt  int64 // the next date of a change, after toldAt
}

// New returns a book that knows only the settings.
func New(s Settings) *Book {
	b := &Book{s: s, rng: rand.New(rand.NewSource(s.Seed)), plans: map[string]decide.Plan{}, members: map[string]Member{},
		hashes: map[uint64]*Change{}, mine: map[uint64]bool{}, pending: map[uint64]pending{}, stands: map[string]decide.Plan{}, held: map[uint64]float64{}}
	for _, p := range s.Plans {
		b.plans[p.Name] = p
		b.names = append(b.names, p.Name)
	}
	for _, m := range s.Members {
		b.members[m.Name] = m
		b.stands[m.Name] = b.plans[m.Plan]
	}
	b.derive()
	return b
}

// Restore puts in a change that was kept, before Begin. own says that it was kept as such: a gateway that lost its disk
// hears of its own former changes from others, and must not take them for its own again, as it would make the tokens
// of a reservation a second time.
func (b *Book) Restore(c Change, own bool) {
	if b.insert(c) && own {
		b.mine[c.hash()] = true
	}
}

// Own reports whether a change was taken by this gateway, in this life or one whose disk it has.
func (b *Book) Own(c *Change) bool { return b.mine[c.hash()] }

// Handle takes an event and returns what is to be done, in order.
func (b *Book) Handle(now Now, ev Event) []Action {
	b.out = nil
	now.Mono = max(now.Mono, b.now.Mono)
	b.now = now
	switch e := ev.(type) {
	case Begin:
		b.begun = true
		b.beatAt = now.Mono + b.jitter()
		for range min(atStart, b.s.Gateways-1) {
			b.compare(b.someone())
		}
	case Submit:
		b.submit(e)
	case Kept:
		b.kept(e.Number)
	case NotKept:
		if p, ok := b.pending[e.Number]; ok {
			delete(b.pending, e.Number)
			b.do(Reply{p.token, p.change, wrong(&p.change, "log", "%s, the change is not taken", e.Why)})
		}
	case Heard:
		b.heard(e)
	case Tick:
		if b.s.Gateways > 1 && now.Mono >= b.beatAt {
			b.beatAt = now.Mono + b.jitter()
			b.compare(b.someone())
		}
	}
	if b.dirty {
		b.derive()
	}
	b.tell()
	b.do(Wake{b.next()})
	return b.out
}

func (b *Book) do(a Action) { b.out = append(b.out, a) }

func (b *Book) jitter() time.Duration {
	return time.Duration((0.75 + 0.5*b.rng.Float64()) * float64(beat))
}

// someone is another gateway, any of them.
func (b *Book) someone() int {
	n := b.rng.Intn(b.s.Gateways - 1)
	if n >= b.s.Rank {
		n++
	}
	return n
}

// next is when something comes by itself: the beat, or a date of a change.
func (b *Book) next() Now {
	n := Now{Wall: b.dateAt, Mono: math.MaxInt64}
	if b.s.Gateways > 1 {
		n.Mono = b.beatAt
	}
	return n
}

// nextDate is the first date of a change after now.
func (b *Book) nextDate() int64 {
	at := int64(math.MaxInt64)
	for _, c := range b.all {
		for _, t := range []int64{c.From, c.To} {
			if t > b.now.Wall {
				at = min(at, t)
			}
		}
	}
	return at
}

// ---- Taking changes in.

// Check reports what makes a change unusable now; nil: nothing.
func (b *Book) Check(wall int64, c *Change) *Error {
	if c.Number == 0 {
		return wrong(c, "number", "0, want 1 or more")
	}
	if old := b.numbers[c.Number]; old != nil {
		return wrong(c, "number", "seen before: %s", old)
	}
	if _, ok := b.pending[c.Number]; ok {
		return wrong(c, "number", "seen before, it is being kept")
	}
	if len(b.pending) >= pendingMost {
		return wrong(c, "log", "%d changes wait to be kept, want fewer than %d", len(b.pending), pendingMost)
	}
	if !c.finite() {
		return wrong(c, "units", "figures of %v, %v, %+v, want numbers of 0 or more", c.Units, c.Rate, c.Terms)
	}
	if len(c.Member) > maxName || len(c.Plan) > maxName {
		return wrong(c, "member", "a name of %d bytes, want %d at most", max(len(c.Member), len(c.Plan)), maxName)
	}
	if c.Kind == Move || c.Kind == Reserve {
		if _, ok := b.members[c.Member]; !ok {
			return wrong(c, "member", "%q, want a member of the settings", c.Member)
		}
	}
	if c.Kind == Move || c.Kind == Terms {
		if _, ok := b.plans[c.Plan]; !ok {
			return wrong(c, "plan", "%q, want one of %s", c.Plan, nameList(b.names))
		}
	}
	if c.Kind != Cancel && c.Kind != Shorten && c.From != 0 && c.From < wall-pastSlack {
		return wrong(c, "from", "%s, want a time that is to come", when(c.From))
	}
	switch c.Kind {
	case Move:
		return nil
	case Terms:
		return b.checkTerms(c)
	case Reserve:
		return b.checkReserve(c)
	case Cancel, Shorten:
		return b.checkTarget(wall, c)
	}
	return wrong(c, "kind", "%s, want move, terms, reserve, cancel or shorten", c.Kind)
}

func (b *Book) checkTerms(c *Change) *Error {
	p := &c.Terms
	switch {
	case (p.Rate > 0) != (p.Burst > 0):
		return wrong(c, "burst", "rate %v and burst %v, want both or neither", p.Rate, p.Burst)
	case (p.CeilingRate > 0) != (p.CeilingBurst > 0):
		return wrong(c, "ceiling-burst", "rate %v and burst %v, want both or neither", p.CeilingRate, p.CeilingBurst)
	case p.CeilingRate > 0 && p.CeilingRate < p.Rate:
		return wrong(c, "ceiling-rate", "%v, want the rate of %v or more", p.CeilingRate, p.Rate)
	}
	return nil
}

func (b *Book) checkTarget(wall int64, c *Change) *Error {
	t := b.numbers[c.Target]
	switch {
	case t == nil:
		return wrong(c, "target", "%d, want the number of a change", c.Target)
	case t.Kind == Cancel || t.Kind == Shorten:
		return wrong(c, "target", "%d is a %s, want a move, terms or a reservation", c.Target, t.Kind)
	case b.cancels[c.Target] != 0:
		return wrong(c, "target", "%d was cancelled by %d", c.Target, b.cancels[c.Target])
	case t.Kind == Reserve && t.To <= wall:
		return wrong(c, "target", "%d ended at %s", c.Target, when(t.To))
	case c.Kind == Shorten && t.Kind != Reserve:
		return wrong(c, "target", "%d is a %s, want a reservation", c.Target, t.Kind)
	case c.Kind == Shorten && !(c.Units < b.units(t)):
		return wrong(c, "units", "%v, want less than the %v of %d", c.Units, b.units(t), c.Target)
	}
	return nil
}

// units is what a reservation is of now.
func (b *Book) units(c *Change) float64 {
	if b.cancels[c.Number] != 0 || b.void[c] != "" {
		return 0
	}
	if u, ok := b.cuts[c.Number]; ok {
		return u
	}
	return c.Units
}

// mean is the units a second that a reservation takes off ordinary use.
func mean(c *Change, units float64) float64 {
	return units / max(time.Duration(c.To-c.From).Seconds(), 1e-9)
}

// checkReserve is the admission test, against what the book knows.
func (b *Book) checkReserve(c *Change) *Error {
	switch {
	case !(c.Units > 0):
		return wrong(c, "units", "%v, want more than 0", c.Units)
	case c.To <= c.From || c.From == 0:
		return wrong(c, "to", "%s, want a time after %s", when(c.To), when(c.From))
	case c.To-c.From < int64(time.Second) || c.To-c.From > longest:
		return wrong(c, "to", "a window of %v, want 1s to %v", time.Duration(c.To-c.From), time.Duration(longest))
	}
	field, text := b.fits(c, b.plan(c.Member, c.From))
	if field != "" {
		return &Error{c.Number, field, text}
	}
	return nil
}

// fits is the test itself: the member's terms first, then the fleet. It tells the room that there is.
func (b *Book) fits(c *Change, p decide.Plan) (field, text string) {
	secs := time.Duration(c.To - c.From).Seconds()
	aside := mean(c, c.Units)
	if p.Rate > 0 {
		room := reserveOfRate*p.Rate - b.peak(c, func(o *Change) float64 {
			if o.Member != c.Member {
				return 0
			}
			return mean(o, b.units(o))
		})
		if aside > room*(1+1e-9) {
			return "units", sprint("%v in this window, the terms of %s (%v/s, half of which may be set aside) have room for %.6g",
				c.Units, c.Member, p.Rate, max(0, room*secs))
		}
	}
	if p.CeilingRate > 0 {
		rate := b.rate(c, p)
		room := reserveOfRate*p.CeilingRate - b.peak(c, func(o *Change) float64 {
			if o.Member != c.Member {
				return 0
			}
			return b.rate(o, p)
		})
		if rate > room*(1+1e-9) {
			return "rate", sprint("%v/s, the ceiling of %s (%v/s, half of which may be set aside) has room for %.6g/s", rate, c.Member,
				p.CeilingRate, max(0, room))
		}
		if burst := p.CeilingBurst * rate / p.CeilingRate; burst < b.s.MaxUnits {
			return "rate", sprint("%v/s, which leaves %.6g units at once of the ceiling's burst: want the %v of the largest call or more",
				rate, burst, b.s.MaxUnits)
		}
		if aside > rate*(1+1e-9) {
			return "rate", sprint("%v/s, at which %v units can't be used in the window, want %.6g/s or more", rate, c.Units, aside)
		}
	} else if c.Rate > 0 && aside > c.Rate*(1+1e-9) {
		return "rate", sprint("%v/s, at which %v units can't be used in the window, want %.6g/s or more", c.Rate, c.Units, aside)
	}
	if b.s.Capacity > 0 {
		load := func(o *Change) float64 { return max(o.Rate, mean(o, b.units(o))) }
		room := reserveOfFleet*b.s.Capacity - b.peak(c, load)
		if max(c.Rate, aside) > room*(1+1e-9) {
			return "units", sprint("%v in this window at %.6g/s, the fleet (%v/s, half of which may be set aside) has room for %.6g/s, %.6g units",
				c.Units, max(c.Rate, aside), b.s.Capacity, max(0, room), max(0, room*secs))
		}
	}
	return "", ""
}

// rate is a reservation's, under a plan with a ceiling.
func (b *Book) rate(c *Change, p decide.Plan) float64 {
	if c.Rate > 0 || p.CeilingRate == 0 {
		return c.Rate
	}
	return max(defaultOfCeiling*p.CeilingRate, 2*mean(c, c.Units))
}

// peak is the most that reservations made before c take at any moment of its window.
func (b *Book) peak(c *Change, of func(*Change) float64) float64 {
	var others []*Change
	for _, o := range b.reserved { // in the order of changes, so that sums are the same to the last bit everywhere
		if o != c && b.cancels[o.Number] == 0 && (c.Stamp == 0 || o.before(c)) && o.From < c.To && o.To > c.From {
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

func (b *Book) submit(e Submit) {
	c := e.Change
	if err := b.Check(b.now.Wall, &c); err != nil {
		b.do(Reply{e.Token, c, err})
		return
	}
	// A clock that stepped back still gives later stamps than all that this gateway knows.
	b.stamp = max(b.stamp+1, b.now.Wall)
	c.Stamp, c.Origin, c.Life = b.stamp, b.s.Rank, b.s.Life
	if c.From == 0 && (c.Kind == Move || c.Kind == Terms) {
		c.From = b.now.Wall
	}
	if c.Kind == Reserve {
		c.Rate = b.rate(&c, b.plan(c.Member, c.From))
	}
	c.Terms.Name = c.Plan
	if c.Kind != Terms {
		c.Terms = decide.Plan{}
	}
	b.pending[c.Number] = pending{e.Token, c}
	b.do(Keep{c, true})
}

func (b *Book) kept(number uint64) {
	p, ok := b.pending[number]
	if !ok {
		return
	}
	delete(b.pending, number)
	b.insert(p.change)
	b.mine[p.change.hash()] = true
	b.derive()
	if why := b.void[b.hashes[p.change.hash()]]; why != "" { // another one of the number came meanwhile
		b.do(Reply{p.token, p.change, wrong(&p.change, "number", "%s", why)})
	} else {
		b.do(Reply{p.token, p.change, nil})
	}
	b.push([]*Change{&p.change}, -1)
}

// insert adds a change to the set; false: it was there.
func (b *Book) insert(c Change) bool {
	h := c.hash()
	if b.hashes[h] != nil {
		return false
	}
	p := &c
	b.hashes[h] = p
	i, _ := slices.BinarySearch(b.sorted, h)
	b.sorted = slices.Insert(b.sorted, i, h)
	at := sort.Search(len(b.all), func(i int) bool { return c.before(b.all[i]) })
	b.all = slices.Insert(b.all, at, p)
	b.stamp = max(b.stamp, c.Stamp)
	b.dirty = true
	return true
}

// Changes is the whole set, in order, to be kept in a snapshot.
func (b *Book) Changes() (out []Change) {
	for _, c := range b.all {
		out = append(out, *c)
	}
	return out
}

// ---- What follows from the set.

// derive works out, in the order of changes, which count.
func (b *Book) derive() {
	b.dirty, b.fresh = false, true
	b.reserved = nil
	b.numbers, b.void = map[uint64]*Change{}, map[*Change]string{}
	b.cancels, b.cuts = map[uint64]uint64{}, map[uint64]float64{}
	b.moves, b.terms, b.holds = map[string][]*Change{}, map[string][]*Change{}, map[string][]*Change{}
	for _, c := range b.all {
		if old := b.numbers[c.Number]; old != nil {
			b.void[c] = sprint("its number was seen before: %s, taken by gateway %d", old, old.Origin)
			continue
		}
		b.numbers[c.Number] = c
		switch c.Kind {
		case Move:
			if _, ok := b.plans[c.Plan]; !ok {
				b.void[c] = sprint("plan %q is not in this gateway's settings", c.Plan)
				continue
			}
			b.moves[c.Member] = append(b.moves[c.Member], c)
		case Terms:
			if _, ok := b.plans[c.Plan]; !ok {
				b.void[c] = sprint("plan %q is not in this gateway's settings", c.Plan)
				continue
			}
			b.terms[c.Plan] = append(b.terms[c.Plan], c)
		case Reserve:
			// Two gateways may each have let one in while they could not hear each other: the first in the order
			// of changes counts.
			if field, text := b.fits(c, b.plan(c.Member, c.From)); field != "" {
				b.void[c] = field + ": " + text
				continue
			}
			b.holds[c.Member] = append(b.holds[c.Member], c)
			b.reserved = append(b.reserved, c)
		case Cancel:
			if t := b.numbers[c.Target]; t != nil && b.cancels[c.Target] == 0 {
				b.cancels[c.Target] = c.Number
			}
		case Shorten:
			if t := b.numbers[c.Target]; t != nil && t.Kind == Reserve && c.Units < b.units(t) {
				b.cuts[c.Target] = c.Units
			}
		}
	}
}

// latest is the change of a list that is in force at a moment.
func (b *Book) latest(list []*Change, at int64) (found *Change) {
	for _, c := range list {
		if c.From <= at && b.cancels[c.Number] == 0 && (found == nil || c.later(found)) {
			found = c
		}
	}
	return found
}

// plan is a member's at a moment, with nothing set aside.
func (b *Book) plan(member string, at int64) decide.Plan {
	name := b.members[member].Plan
	if c := b.latest(b.moves[member], at); c != nil {
		name = c.Plan
	}
	p := b.plans[name]
	if c := b.latest(b.terms[name], at); c != nil {
		p = c.Terms
		p.Name = name
	}
	return p
}

// standing is what a member is on at a moment: its plan, less what is set aside for its marked calls.
func (b *Book) standing(member string, at int64) (decide.Plan, uint64) {
	p := b.plan(member, at)
	last := uint64(0)
	if c := b.latest(b.moves[member], at); c != nil {
		last = c.Number
	}
	whole := p
	for _, c := range b.holds[member] {
		units := b.units(c)
		if units == 0 || at < c.From || at >= c.To {
			continue
		}
		last = c.Number
		if p.Rate > 0 {
			p.Rate = max(ordinaryLeast*whole.Rate, p.Rate-mean(c, units))
		}
		if p.CeilingRate > 0 {
			rate := min(b.rate(c, whole), p.CeilingRate*(1-ordinaryLeast))
			p.CeilingBurst -= p.CeilingBurst * rate / p.CeilingRate
			p.CeilingRate -= rate
			p.CeilingSlack *= 1 - rate/whole.CeilingRate
		}
	}
	return p, last
}

// tell says what has changed since it was last said: the set, or by the date. A wall clock that stepped back makes
// dates come again; what holds is then told again as well.
func (b *Book) tell() {
	if !b.fresh && b.now.Wall < b.dateAt && b.now.Wall >= b.toldAt {
		return
	}
	b.fresh, b.toldAt, b.dateAt = false, b.now.Wall, b.nextDate()
	for _, m := range b.s.Members {
		if b.moves[m.Name] == nil && b.holds[m.Name] == nil && len(b.terms) == 0 && b.stands[m.Name] == b.plans[m.Plan] {
			continue
		}
		p, last := b.standing(m.Name, b.now.Wall)
		if b.stands[m.Name] != p {
			b.stands[m.Name] = p
			b.do(Stand{m.Name, p, last})
		}
		for _, c := range b.holds[m.Name] {
			b.tellHold(c, m)
		}
	}
	for _, c := range b.all {
		if c.Kind != Reserve || b.void[c] == "" {
			continue
		}
		if id := c.hash(); b.held[id] != 0 {
			b.held[id] = 0
			b.do(Cut{id, 0})
			b.do(Note{sprint("%s is void: %s", c, b.void[c])})
		}
	}
}

func (b *Book) tellHold(c *Change, m Member) {
	id, units := c.hash(), b.units(c)
	last, told := b.held[id]
	if !told {
		if c.To <= b.now.Wall || units == 0 {
			return
		}
		p := b.plan(m.Name, c.From)
		r := Reservation{ID: id, Number: c.Number, Member: c.Member, Units: c.Units, From: c.From, To: c.To,
			Rate: b.rate(c, p), Ceiling: p.CeilingRate > 0, First: m.First, Spread: m.Spread, Mine: b.mine[id]}
		if r.Burst = max(r.Rate, b.s.MaxUnits); r.Ceiling {
			r.Burst = p.CeilingBurst * r.Rate / p.CeilingRate
		}
		b.do(Hold{r})
		last = c.Units
	}
	if b.held[id] = units; units != last {
		b.do(Cut{id, units})
	}
}

// Stands is on which terms a member is, as of the last event.
func (b *Book) Stands(member string) decide.Plan { return b.stands[member] }

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
func (b *Book) History(member string) (out []Entry) {
	for _, c := range b.all {
		target := b.numbers[c.Target]
		if member != "" && c.Member != member && c.Kind != Terms && (target == nil || target.Member != member) {
			continue
		}
		out = append(out, b.entry(c))
	}
	return out
}

func (b *Book) entry(c *Change) Entry {
	e := Entry{Change: *c, Status: InForce}
	at := b.now.Wall
	switch {
	case b.void[c] != "":
		e.Status, e.Why = Void, b.void[c]
	case c.Kind == Cancel || c.Kind == Shorten:
		e.Status = Done
	case b.cancels[c.Number] != 0:
		e.Status, e.Why = Cancelled, sprint("by %d", b.cancels[c.Number])
	case c.From > at:
		e.Status = Waiting
	case c.Kind == Reserve && c.To <= at:
		e.Status = Ended
	case c.Kind == Move && b.latest(b.moves[c.Member], at) != c, c.Kind == Terms && b.latest(b.terms[c.Plan], at) != c:
		e.Status = Replaced
	}
	if u, ok := b.cuts[c.Number]; ok && c.Kind == Reserve {
		e.Why = sprint("of %v units now", u)
	}
	return e
}

// Known reports whether the book has a change of that number which says the same. A date that is left open is the same
// as any.
func (b *Book) Known(c Change) bool {
	o := b.numbers[c.Number]
	if o == nil {
		if p, ok := b.pending[c.Number]; ok {
			o = &p.change
		} else {
			return false
		}
	}
	return o.Kind == c.Kind && o.Member == c.Member && o.Plan == c.Plan && o.Units == c.Units && o.Target == c.Target &&
		(c.From == 0 || c.From == o.From) && c.To == o.To && (c.Rate == 0 || c.Rate == o.Rate) && (c.Kind != Terms || o.Terms == c.Terms)
}

// Version names the set of changes: gateways that tell the same hold the same.
func (b *Book) Version() (changes int, sum uint64) {
	for _, h := range b.sorted {
		sum ^= h
	}
	return len(b.sorted), sum
}
