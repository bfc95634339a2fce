// Package reserve keeps what is set aside for members' marked calls. The units of a reservation are tokens: they are
// made once, at the gateway that took the reservation, and from then on only move, so that no two gateways can spend
// one however they are cut off from each other. A gateway that runs short asks others; one that is killed takes with
// it what it held, until its disk is back. The package does no I/O, reads no clock and starts no goroutine.
//
// What must outlive a crash is handed out as a whole state of a reservation to keep; what depends on it (spending
// tokens that were drawn, telling another gateway of tokens sent, thanking it for tokens got) waits until it is kept.
package reservation

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"winghatch/internal/encoding"
	"winghatch/internal/quotaplan"
)

const (
	drawFor     = 500 * time.Millisecond // tokens drawn at once last so long; a crash loses what was drawn at most
	drawLeast   = 2.0                    // of the largest call's units: no fewer are drawn
	askEvery    = 40 * time.Millisecond  // a gateway is asked again after so long without an answer
	askPeers    = 4                      // gateways asked at once
	askAhead    = 250 * time.Millisecond // tokens for so long are asked for beyond those that calls wait for
	askMost     = 400 * time.Millisecond // a call waits no longer for tokens
	silentFor   = time.Second            // a gateway that left asks unanswered is asked last for so long
	silentFrom  = 3                      // asks
	emptyFor    = 500 * time.Millisecond // one that had nothing is not asked for so long, ...
	emptyMost   = 8 * time.Second        // ... and ever longer while it has none
	askRate     = 25.0                   // asks a second of a gateway at most ...
	hintFor     = 5 * time.Second        // what a gateway told of its tokens is passed on for so long
	askBurst    = 16.0                   // ... and at once: peers take in only so many messages
	keepFor     = time.Second            // of its own use a gateway keeps when it is asked
	coverUse    = 100 * time.Millisecond // room under a ceiling that another gateway gave is used within this
	againAfter  = 250 * time.Millisecond // tokens sent are told again until thanks come ...
	againMost   = 4 * time.Second        // ... ever more rarely
	memory      = time.Second            // of the units asked for
	effectsMost = 4096                   // messages that wait for the disk
	forgetAfter = 24 * time.Hour         // of the end of a window
)

// Slice is the part of a ceiling that one gateway keeps.
type Slice struct {
	Rank int
	Part float64
}

// Settings are what a ledger starts from.
type Settings struct {
	Rank, Gateways int
	MaxUnits       float64
	Era            uint64 // differs from life to life; it names new states
	Seed           int64
}

// Event is something that a ledger is told.
type Event interface{ event() }

// Action is something that a ledger wants done.
type Action interface{ action() }

type (
	// Hold says that a reservation is known. Slices tell where the member's ceiling is kept.
	Hold struct {
		quotaplan.Reservation
		Slices []Slice
	}
	// Cut says that a reservation is of Units now.
	Cut struct {
		ID    uint64
		Units float64
	}
	// Call is a marked call. It is answered by Admit or Refuse, before Until.
	Call struct {
		ID     string
		Member string
		Units  float64
		Until  time.Duration
	}
	// Ended settles an admitted call at the units that it truly used, or takes one back that waits.
	Ended struct {
		ID   string
		Used float64
	}
	// Kept says that all states up to that number are durable.
	Kept struct{ No uint64 }
	// Heard is a message of another gateway.
	Heard struct {
		From int
		Data []byte
	}
	// Tick is the answer to Wake.
	Tick struct{}
	// Drain says that this gateway stops: what it holds goes to others.
	Drain struct{}

	// Admit lets a call pass.
	Admit struct{ ID string }
	// Refuse does not.
	Refuse struct {
		ID     string
		Reason Reason
	}
	// Keep asks for a state to be made durable; a later one of the same reservation takes its place.
	Keep struct {
		No    uint64
		State []byte
	}
	// Send tells another gateway.
	Send struct {
		To   int
		Data []byte
	}
	// Return gives units that were not used back to the member's ordinary use, at this gateway.
	Return struct {
		Member string
		Units  float64
	}
	// Wake asks for a Tick. Wall is Unix nanoseconds; whichever comes first counts.
	Wake struct{ At quotaplan.Now }
)

func (Hold) event()  {}
func (Cut) event()   {}
func (Call) event()  {}
func (Ended) event() {}
func (Kept) event()  {}
func (Heard) event() {}
func (Tick) event()  {}
func (Drain) event() {}

func (Admit) action()  {}
func (Refuse) action() {}
func (Keep) action()   {}
func (Send) action()   {}
func (Return) action() {}
func (Wake) action()   {}

// Reason tells refusals of marked calls apart.
type Reason string

// The reasons.
const (
	None     Reason = "reserve_none"    // the member has no reservation whose window is now
	Spent    Reason = "reserve_spent"   // nothing of it is left, as far as this gateway knows
	Short    Reason = "reserve_short"   // others that may have some did not answer in time
	OverRate Reason = "reserve_rate"    // it may not be used faster
	Stopping Reason = "reserve_drained" // this gateway stops
)

// key is a life of a gateway, as far as a reservation goes: one that lost its disk is another.
type key struct {
	from int
	era  uint64
}

// sent are tokens for one life of a gateway. They are told as a total until it thanks for them; to a later life they
// would be new.
type sent struct {
	total, acked float64
	toldAt, gap  time.Duration
}

type peer struct {
	askedAt  time.Duration // 0: no ask is out
	missed   int           // asks without an answer
	silent   time.Duration // until then it is asked last
	heard    time.Duration
	emptyAt  time.Duration // it said that it had nothing; 0: not
	emptyFor time.Duration // and is not asked for so long then
	free     float64       // as last told
}

type waiting struct {
	Call
	since time.Duration
}

// hold is a reservation as this gateway has it.
type hold struct {
	quotaplan.Reservation
	slices []Slice
	known  bool // the book told of it; else only its kept state is there

	// Durable.
	era    uint64
	minted bool
	ended  bool
	cut    float64       // units that cuts took off the whole, as far as this gateway has done its part
	free   float64       // tokens here that are not drawn; less than 0: owed after a cut
	sent   map[key]*sent // to the lives of other gateways
	got    map[key]float64

	drawn   float64 // may be spent; less than 0: settled calls took more
	drawing float64 // until the draw is kept
	out     map[string]float64
	queue   []waiting
	peers   []peer
	asked   rate
	store   float64 // room under the part of the ceiling that is kept here
	storeAt time.Duration
	covers  []cover
	offered time.Duration // when what a stopping gateway holds was last offered
	offers  int
	askNo   uint64
	bareAt  time.Duration  // room may be asked for again
	asks    map[uint64]int // asks out, by number: whom
	wake    time.Duration  // something comes by itself then
	spent   float64        // units that calls used here, for the operator
	given   float64
}

type cover struct {
	units float64
	until time.Duration
}

// rate is units a second, fading.
type rate struct {
	v  float64
	at time.Duration
}

func (r *rate) get(now time.Duration) float64 {
	return r.v * math.Exp(-(now-r.at).Seconds()/memory.Seconds())
}

func (r *rate) add(now time.Duration, units float64) {
	r.v, r.at = r.get(now)+units/memory.Seconds(), now
}

// effect waits for a state to be durable.
type effect struct {
	no   uint64
	h    *hold
	draw float64 // tokens that may be spent then
	back float64 // or are returned
	to   int     // or a message
	data []byte
}

// Ledger is a gateway's. It is not safe for concurrent use.
type Ledger struct {
	s       Settings
	rng     *rand.Rand
	now     quotaplan.Now
	out     []Action
	holds   map[uint64]*hold
	order   []*hold // by end, then ID
	calls   map[string]*hold
	effects []effect
	keepNo  uint64
	durable uint64
	drained bool

	asksLeft float64
	asksAt   time.Duration
}

// New returns a ledger without reservations.
func New(s Settings) *Ledger {
	return &Ledger{s: s, rng: rand.New(rand.NewSource(s.Seed)), holds: map[uint64]*hold{}, calls: map[string]*hold{}}
}

func (l *Ledger) do(a Action) { l.out = append(l.out, a) }

func (l *Ledger) hold(id uint64) *hold {
	h := l.holds[id]
	if h == nil {
		n := l.s.Gateways
		h = &hold{era: l.s.Era, sent: map[key]*sent{}, got: map[key]float64{}, out: map[string]float64{},
			peers: make([]peer, n), asks: map[uint64]int{}}
		h.ID = id
		l.holds[id] = h
	}
	return h
}

// Handle takes an event and returns what is to be done, in order.
func (l *Ledger) Handle(now quotaplan.Now, ev Event) []Action {
	l.out = nil
	now.Mono = max(now.Mono, l.now.Mono)
	l.now = now
	var settles *hold
	switch e := ev.(type) {
	case Hold:
		l.known(e)
	case Cut:
		l.cut(e)
	case Call:
		l.call(e)
	case Ended:
		settles = l.calls[e.ID]
		l.ended(e)
	case Kept:
		l.kept(e.No)
	case Heard:
		l.heard(e)
	case Drain:
		l.drain()
	}
	// What concerns one reservation looks after that one; there may be many.
	switch e := ev.(type) {
	case Call:
		l.upkeep(l.calls[e.ID])
	case Ended:
		l.upkeep(settles)
	case Heard:
		if len(e.Data) >= 9 {
			l.upkeep(l.holds[binary.LittleEndian.Uint64(e.Data[1:])])
		}
	default:
		for _, h := range slices.Clone(l.order) {
			l.upkeep(h)
		}
	}
	l.do(Wake{l.next()})
	return l.out
}

// ---- What must outlive a crash.

// keep asks for a reservation's state to be made durable and returns the number by which Kept names it.
func (l *Ledger) keep(h *hold) uint64 {
	l.keepNo++
	l.do(Keep{l.keepNo, h.state()})
	return l.keepNo
}

const stateVersion = 1

// state writes what is durable: the version 1, then, as in package plans, the reservation's ID, the era, a byte of
// flags (1 minted, 2 ended), the units cut, the tokens free, the tokens sent (how many lives, then rank, era and
// total of each), the tokens got (how many, then rank, era and total of each).
func (h *hold) state() []byte {
	b := []byte{stateVersion}
	b = binary.LittleEndian.AppendUint64(b, h.ID)
	b = binary.LittleEndian.AppendUint64(b, h.era)
	flags := byte(0)
	if h.minted {
		flags |= 1
	}
	if h.ended {
		flags |= 2
	}
	b = append(b, flags)
	b = encoding.Float(encoding.Float(b, h.cut), h.free)
	b = binary.AppendUvarint(b, uint64(len(h.sent)))
	for _, k := range sortedKeys(h.sent) {
		b = binary.AppendUvarint(b, uint64(k.from))
		b = encoding.Float(binary.LittleEndian.AppendUint64(b, k.era), h.sent[k].total)
	}
	b = binary.AppendUvarint(b, uint64(len(h.got)))
	for _, k := range sortedKeys(h.got) {
		b = binary.AppendUvarint(b, uint64(k.from))
		b = encoding.Float(binary.LittleEndian.AppendUint64(b, k.era), h.got[k])
	}
	return b
}

// sortedKeys are in an order, so that the same events make the same bytes.
func sortedKeys[V any](m map[key]V) []key {
	keys := make([]key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.era, b.era)) })
	return keys
}

// Restore puts in a state that was kept, before the first event. Of one reservation the last one counts.
func (l *Ledger) Restore(state []byte) error {
	if len(state) < 18 || state[0] != stateVersion {
		return fmt.Errorf("reserve: a state of %d bytes and version %v, want version %d", len(state), state[:min(1, len(state))], stateVersion)
	}
	r := &encoding.Reader{B: state[1:]}
	id, era := r.U64(), r.U64()
	flags := r.Byte()
	delete(l.holds, id)
	h := l.hold(id)
	h.era, h.minted, h.ended = era, flags&1 > 0, flags&2 > 0
	h.cut, h.free = r.Float(), r.Float()
	for n := r.Uvarint(math.MaxUint16); n > 0 && !r.Bad; n-- {
		k := key{from: int(r.Uvarint(math.MaxUint16))}
		k.era = r.U64()
		h.sent[k] = &sent{total: r.Float(), gap: againAfter}
	}
	for n := r.Uvarint(math.MaxUint16); n > 0 && !r.Bad; n-- {
		k := key{from: int(r.Uvarint(math.MaxUint16))}
		k.era = r.U64()
		h.got[k] = r.Float()
	}
	if r.Bad {
		delete(l.holds, id)
		return fmt.Errorf("reserve: a state of %d bytes is cut", len(state))
	}
	return nil
}

// States are all states that count, to be kept in a snapshot.
func (l *Ledger) States() (out [][]byte) {
	var ids []uint64
	for id := range l.holds {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		h := l.holds[id]
		// What is drawn and not spent would be lost with this life; a snapshot is of this life, so it stays out.
		out = append(out, h.state())
	}
	return out
}

func (l *Ledger) kept(no uint64) {
	l.durable = max(l.durable, no)
	var rest []effect
	for _, e := range l.effects {
		switch {
		case e.no > no:
			rest = append(rest, e)
		case e.draw > 0:
			e.h.drawn += e.draw
			e.h.drawing -= e.draw
		case e.back > 0:
			l.do(Return{e.h.Member, e.back})
		default:
			l.do(Send{e.to, e.data})
		}
	}
	l.effects = rest
}

// later sends a message once a state is durable.
func (l *Ledger) later(no uint64, to int, data []byte) {
	if no <= l.durable {
		l.do(Send{to, data})
		return
	}
	if len(l.effects) < effectsMost { // what is left out is told again, as a total, or asked for again
		l.effects = append(l.effects, effect{no: no, to: to, data: data})
	}
}

// ---- Reservations.

func (l *Ledger) known(e Hold) {
	h := l.hold(e.ID)
	if h.known {
		return
	}
	h.known, h.Reservation, h.slices = true, e.Reservation, e.Slices
	h.storeAt = l.now.Mono
	l.order = append(l.order, h)
	slices.SortFunc(l.order, func(a, b *hold) int { return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.ID, b.ID)) })
	if h.Mine && !h.minted && !h.ended && l.freshHere(h) {
		h.minted, h.free = true, h.free+h.Units
		l.share(h)
	}
	l.keep(h) // also the era, before anything is asked for in its name
}

// freshHere reports whether this gateway may make the tokens: only if no former life of it can have. A state that was
// kept says that one had; without a state it is the book's word, kept before the reservation was acknowledged, that
// this life took it, or a former one that ended before it kept anything else.
func (l *Ledger) freshHere(h *hold) bool { return len(h.got) == 0 && h.cut == 0 }

// share offers the tokens that were made to the member's gateways, in even parts. An offer that is lost does no harm:
// who needs tokens asks for them.
func (l *Ledger) share(h *hold) {
	n := max(1, min(h.Spread, l.s.Gateways))
	for i := range n {
		if to := (h.First + i) % l.s.Gateways; to != l.s.Rank {
			l.do(Send{to, appendOffer(h.ID, h.free/float64(n))})
		}
	}
}

// cut takes this gateway's part off a reservation that was shortened, or all of what it holds where it was cancelled.
func (l *Ledger) cut(e Cut) {
	h := l.holds[e.ID]
	if h == nil || h.ended {
		return
	}
	by := h.Units - e.Units - h.cut
	if by <= 0 {
		return
	}
	h.cut += by
	if e.Units == 0 {
		l.finish(h)
		return
	}
	n := max(1, min(h.Spread, l.s.Gateways))
	if (l.s.Rank-h.First+l.s.Gateways)%l.s.Gateways < n {
		// It may leave less than nothing: then this gateway owes tokens that others hold, and asks for them before
		// it spends any more.
		h.free -= by / float64(n)
		h.free += max(0, h.drawn)
		h.drawn = min(0, h.drawn)
	}
	l.keep(h)
}

// finish ends a reservation here: what is left goes back to ordinary use.
func (l *Ledger) finish(h *hold) {
	left := max(0, h.free) + max(0, h.drawn) + max(0, h.drawing)
	h.ended, h.free, h.drawn = true, 0, min(0, h.drawn)
	l.effects = slices.DeleteFunc(l.effects, func(e effect) bool { return e.h == h && e.draw > 0 })
	h.drawing = 0
	no := l.keep(h)
	for _, w := range h.queue {
		delete(l.calls, w.ID)
		l.do(Refuse{w.ID, None})
	}
	h.queue = nil
	if left > 0 { // once it is kept that this is the end, or a crash would return them again
		l.effects = append(l.effects, effect{no: no, h: h, back: left})
	}
}

// open reports whether the window is now.
func (l *Ledger) open(h *hold) bool {
	return h.known && !h.ended && l.now.Wall >= h.From && l.now.Wall < h.To
}

// upkeep does what time and news bring.
func (l *Ledger) upkeep(h *hold) {
	if h == nil || !h.known {
		return
	}
	if !h.ended && l.now.Wall >= h.To {
		l.finish(h)
	}
	h.wake = math.MaxInt64
	if h.ended {
		// A state is kept for long after the end: a clock that steps back must not make the tokens again.
		if len(h.out) == 0 && l.now.Wall > h.To+int64(forgetAfter) {
			l.order = slices.DeleteFunc(l.order, func(o *hold) bool { return o == h })
			delete(l.holds, h.ID)
		}
		return
	}
	for _, k := range sortedKeys(h.sent) {
		t := h.sent[k]
		if t.total <= t.acked {
			continue
		}
		if l.now.Mono-t.toldAt >= t.gap {
			t.toldAt, t.gap = l.now.Mono, min(againMost, 2*t.gap)
			l.later(l.keepNo, k.from, l.give(h, k, 0, 0))
		}
		h.wake = min(h.wake, t.toldAt+t.gap)
	}
	if l.drained {
		l.offer(h)
	}
	l.fill(h)
	l.pump(h)
	l.ask(h)
	switch {
	case len(h.queue) > 0:
		w := h.queue[0]
		h.wake = min(h.wake, w.Until, w.since+askMost, l.now.Mono+askEvery/4)
	case h.free < 0:
		h.wake = min(h.wake, l.now.Mono+askEvery)
	}
}

// ---- Room under a ceiling.

// part is this gateway's part of the ceiling.
func (l *Ledger) part(h *hold) float64 {
	for _, s := range h.slices {
		if s.Rank == l.s.Rank {
			return s.Part
		}
	}
	return 0
}

// fill brings the store up to now. It is empty at the window's begin and after a start, as the module's is, from which
// the reservation's rate was taken: the two together never hold more than the ceiling's own would.
func (l *Ledger) fill(h *hold) {
	dt := (l.now.Mono - h.storeAt).Seconds()
	h.storeAt = l.now.Mono
	if !h.Ceiling || !l.open(h) {
		h.store = 0
		return
	}
	part := l.part(h)
	h.store = min(h.store+h.Rate*part*dt, h.Burst*part)
	h.covers = slices.DeleteFunc(h.covers, func(c cover) bool { return c.until < l.now.Mono || c.units <= 1e-9 })
}

// room is the units that the ceiling lets pass here now. A rate without a ceiling is for the admission test alone.
func (h *hold) room() float64 {
	if !h.Ceiling {
		return math.Inf(1)
	}
	sum := h.store
	for _, c := range h.covers {
		sum += c.units
	}
	return sum
}

// wants is the units that calls wait for.
func (h *hold) wants() (sum float64) {
	for _, w := range h.queue {
		sum += w.Units
	}
	return sum
}

// take uses room, what others gave first.
func (h *hold) take(units float64) {
	for i := range h.covers {
		n := min(units, h.covers[i].units)
		h.covers[i].units -= n
		units -= n
	}
	h.store -= units
}

// ---- Calls.

// reservation is the member's whose window is now and ends first, of those that may still have something.
func (l *Ledger) reservation(member string, units float64) (found *hold) {
	for _, h := range l.order {
		if h.Member == member && l.open(h) && (found == nil || l.dry(found, units) && !l.dry(h, units)) {
			found = h
		}
	}
	return found
}

func (l *Ledger) call(c Call) {
	h := l.reservation(c.Member, c.Units)
	switch {
	case h == nil:
		l.do(Refuse{c.ID, None})
		return
	case l.drained:
		l.do(Refuse{c.ID, Stopping})
		return
	}
	h.asked.add(l.now.Mono, c.Units)
	l.calls[c.ID] = h
	h.queue = append(h.queue, waiting{c, l.now.Mono})
}

func (l *Ledger) ended(e Ended) {
	h := l.calls[e.ID]
	if h == nil {
		return
	}
	delete(l.calls, e.ID)
	for i, w := range h.queue {
		if w.ID == e.ID {
			h.queue = slices.Delete(h.queue, i, i+1)
			return
		}
	}
	units := h.out[e.ID]
	delete(h.out, e.ID)
	h.spent += e.Used
	h.drawn += units - e.Used
	if h.ended && units > e.Used {
		h.drawn = 0
		l.do(Return{h.Member, units - e.Used})
	}
}

// pump lets calls pass while there are tokens drawn and room, draws more, and refuses those that waited too long.
func (l *Ledger) pump(h *hold) {
	if !l.open(h) {
		return
	}
	if h.free < 0 && h.drawn > 0 { // what is owed is paid before anything is spent
		n := min(-h.free, h.drawn)
		h.free += n
		h.drawn -= n
	}
	l.draw(h)
	for len(h.queue) > 0 {
		w := h.queue[0]
		if h.drawn < w.Units || h.room() < w.Units {
			break
		}
		h.queue = h.queue[1:]
		h.drawn -= w.Units
		if h.Ceiling {
			h.take(w.Units)
		}
		h.out[w.ID] = w.Units
		l.do(Admit{w.ID})
	}
	l.draw(h)
	h.queue = slices.DeleteFunc(h.queue, func(w waiting) bool {
		why := Reason("")
		switch {
		case h.drawn+h.drawing+max(0, h.free) >= w.Units && h.drawing > 0 && l.now.Mono < w.Until:
			return false // its tokens are being drawn
		case l.dry(h, w.Units):
			why = Spent
		case l.now.Mono >= min(w.Until, w.since+askMost):
			if why = Short; h.drawn >= w.Units {
				why = OverRate
			}
		default:
			return false
		}
		delete(l.calls, w.ID)
		l.do(Refuse{w.ID, why})
		return true
	})
}

// draw takes tokens out of what a crash leaves, before they are spent.
func (l *Ledger) draw(h *hold) {
	if l.drained {
		return
	}
	wants := h.wants()
	chunk := max(drawLeast*l.s.MaxUnits, h.asked.get(l.now.Mono)*drawFor.Seconds())
	have := h.drawn + h.drawing
	if h.free <= 0 || have >= wants && (have >= chunk/2 || wants == 0 && h.asked.get(l.now.Mono) < 1e-3) {
		return
	}
	n := min(h.free, max(wants-have, 0)+chunk)
	h.free -= n
	h.drawing += n
	no := l.keep(h)
	l.effects = append(l.effects, effect{no: no, h: h, draw: n})
}

// ---- Tokens of others.

// dry reports whether nobody seems to have so many: neither this gateway nor, by what they last said, the others.
func (l *Ledger) dry(h *hold, units float64) bool {
	if h.drawn+h.drawing+max(0, h.free) >= units {
		return false
	}
	for i := range h.peers {
		if i != l.s.Rank && !l.empty(h, i) && h.peers[i].silent <= l.now.Mono {
			return false
		}
	}
	return true
}

func (l *Ledger) empty(h *hold, i int) bool {
	p := &h.peers[i]
	return p.emptyAt > 0 && l.now.Mono-p.emptyAt < p.emptyFor
}

// ask asks others for what calls wait for, or a cut left owing, and a little ahead.
func (l *Ledger) ask(h *hold) {
	if l.drained || l.s.Gateways < 2 {
		return
	}
	wants := h.wants()
	out := 0
	for i := range h.peers {
		p := &h.peers[i]
		if p.askedAt > 0 && l.now.Mono-p.askedAt >= askEvery {
			p.askedAt = 0
			if p.missed++; p.missed >= silentFrom {
				p.missed, p.silent = silentFrom-1, l.now.Mono+silentFor
			}
		}
		if p.askedAt > 0 {
			out++
		}
	}
	// Tokens keep, so several are asked for all; room does not, so one gateway is asked at a time.
	if short := max(0, wants-h.drawn-h.drawing-max(0, h.free)) + max(0, -h.free); short > 1e-9 {
		short += min(h.asked.get(l.now.Mono)*askAhead.Seconds(), h.Units/float64(l.s.Gateways))
		for _, i := range l.whom(h, true) {
			if out >= askPeers || !l.mayAsk() {
				break
			}
			out++
			l.sendAsk(h, i, short, 0)
		}
		return
	}
	if bare := wants - h.room(); h.Ceiling && bare > 1e-9 && out == 0 && l.now.Mono >= h.bareAt {
		// Where all of the room is in use an answer without any comes at once: asking again waits a little.
		h.bareAt = l.now.Mono + askEvery/2
		if to := l.whom(h, false); len(to) > 0 && l.mayAsk() {
			l.sendAsk(h, to[0], 0, bare)
		}
	}
}

// mayAsk counts an ask in, if the bound on them has room.
func (l *Ledger) mayAsk() bool {
	l.asksLeft = min(askBurst, l.asksLeft+askRate*(l.now.Mono-l.asksAt).Seconds())
	if l.asksAt = l.now.Mono; l.asksLeft < 1 {
		return false
	}
	l.asksLeft--
	return true
}

func (l *Ledger) sendAsk(h *hold, to int, tokens, room float64) {
	h.askNo++
	if len(h.asks) > 64*askPeers {
		clear(h.asks)
	}
	h.asks[h.askNo] = to
	h.peers[to].askedAt = l.now.Mono
	l.do(Send{to, appendAsk(h.ID, h.askNo, h.era, tokens, room)})
}

// whom names gateways to ask, the likeliest to have something first.
func (l *Ledger) whom(h *hold, tokens bool) (out []int) {
	score := make([]float64, l.s.Gateways)
	for i := range h.peers {
		p := &h.peers[i]
		if i == l.s.Rank || p.askedAt > 0 || tokens && l.empty(h, i) {
			continue
		}
		v := p.free
		if p.heard == 0 {
			v = h.Units / float64(max(1, h.Spread)) // not heard yet: it has its part
		}
		if !tokens { // room is where the ceiling is kept
			v = 0
			for _, s := range h.slices {
				if s.Rank == i {
					v = s.Part * l.rng.Float64() // any of them, or all run to the same one
				}
			}
			if v == 0 {
				continue
			}
		}
		if p.silent > l.now.Mono {
			v = -1
		}
		score[i] = v + 1e-6*l.rng.Float64()
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Or(cmp.Compare(score[b], score[a]), a-b) })
	return out
}

// Messages, integers little-endian, figures 8 bytes of IEEE 754:
//
//	'O'  offers: reservation, tokens that may be asked for
//	'A'  asks: reservation, number of the ask, era of the asker, tokens and room wanted
//	'G'  gives: reservation, number of the ask or 0, era of the giver, era of the reader, all tokens ever sent to that
//	     life, room, tokens left, 1 + rank of the gateway that seems to have most or 0, and how many that has
//	'T'  thanks: reservation, era of the giver, own era, all tokens got
const (
	msgOffer  = 'O'
	msgAsk    = 'A'
	msgGive   = 'G'
	msgThanks = 'T'
)

func appendWords(kind byte, words ...uint64) []byte {
	b := []byte{kind}
	for _, w := range words {
		b = binary.LittleEndian.AppendUint64(b, w)
	}
	return b
}

func appendOffer(id uint64, tokens float64) []byte {
	return encoding.Float(appendWords(msgOffer, id), tokens)
}

func appendAsk(id, no, era uint64, tokens, room float64) []byte {
	return encoding.Float(encoding.Float(appendWords(msgAsk, id, no, era), tokens), room)
}

func (l *Ledger) give(h *hold, to key, no uint64, room float64) []byte {
	b := appendWords(msgGive, h.ID, no, h.era, to.era)
	total := 0.0
	if t := h.sent[to]; t != nil {
		total = t.total
	}
	b = encoding.Float(encoding.Float(encoding.Float(b, total), room), max(0, h.free))
	who, free := l.richest(h, to.from)
	return encoding.Float(binary.LittleEndian.AppendUint64(b, uint64(who+1)), free)
}

// richest is the gateway that has most, by what they told lately; -1: none is known. Whoever asks is told of it, or
// after a roll, when few hold all, the others would look for them one by one.
func (l *Ledger) richest(h *hold, but int) (who int, free float64) {
	who = -1
	for i := range h.peers {
		p := &h.peers[i]
		if i != but && i != l.s.Rank && p.free > free && p.silent <= l.now.Mono && l.now.Mono-p.heard < hintFor {
			who, free = i, p.free
		}
	}
	return who, free
}

// heard takes a message; what is malformed is dropped.
func (l *Ledger) heard(e Heard) {
	if e.From < 0 || e.From >= l.s.Gateways || e.From == l.s.Rank || len(e.Data) == 0 {
		return
	}
	r := &encoding.Reader{B: e.Data[1:]}
	id := r.U64()
	switch e.Data[0] {
	case msgOffer:
		tokens := r.Float()
		if h := l.holds[id]; !r.Bad && h != nil && h.known && !h.ended && !l.drained && tokens > 0 && l.mayAsk() {
			l.sendAsk(h, e.From, tokens, 0)
		}
	case msgAsk:
		no, era, tokens, room := r.U64(), r.U64(), r.Float(), r.Float()
		if h := l.holds[id]; !r.Bad && h != nil {
			l.asked(h, key{e.From, era}, no, tokens, room)
		}
	case msgGive:
		no, era, mine, total, room, left := r.U64(), r.U64(), r.U64(), r.Float(), r.Float(), r.Float()
		rich, has := r.U64(), r.Float()
		if h := l.holds[id]; !r.Bad && h != nil && mine == h.era {
			if i := int(rich) - 1; rich > 0 && rich <= uint64(l.s.Gateways) && i != l.s.Rank && i != e.From {
				if p := &h.peers[i]; l.now.Mono-p.heard > emptyFor && has > p.free {
					p.free, p.emptyAt, p.emptyFor = has, 0, 0
				}
			}
			l.got(h, key{e.From, era}, no, total, room, left)
		}
	case msgThanks:
		era, theirs, total := r.U64(), r.U64(), r.Float()
		if h := l.holds[id]; !r.Bad && h != nil && era == h.era {
			if t := h.sent[key{e.From, theirs}]; t != nil {
				t.acked = max(t.acked, min(t.total, total))
			}
		}
	}
}

// asked gives another gateway what this one can spare: of its tokens all but what its own calls need next, of its room
// what its own calls do not wait for. An answer without anything tells that there is nothing.
func (l *Ledger) asked(h *hold, from key, no uint64, tokens, room float64) {
	if !l.drained && h.known && !h.ended {
		l.fill(h)
	}
	give := 0.0
	if !h.ended && tokens > 0 {
		own := min((h.free+h.drawn)/2, h.asked.get(l.now.Mono)*keepFor.Seconds())
		if idle := h.drawn - own; h.free < tokens && idle > 0 {
			// What was drawn and is not used here soon is put back: small rests at many gateways would be lost else.
			h.free += idle
			h.drawn -= idle
		}
		give = max(0, min(tokens, h.free-max(0, own-h.drawn)))
	}
	cover := 0.0
	if !h.ended && h.known && h.Ceiling && room > 0 {
		wants := h.wants()
		// Less than the call needs would only run out of time there.
		if cover = min(room, max(0, h.store-wants)); cover < min(room, l.s.MaxUnits)-1e-9 {
			cover = 0
		}
		h.store -= cover
	}
	if give <= 0 {
		l.later(l.keepNo, from.from, l.give(h, from, no, cover))
		return
	}
	h.free -= give
	h.given += give
	t := h.sent[from]
	if t == nil {
		t = &sent{}
		h.sent[from] = t
	}
	t.total += give
	t.toldAt, t.gap = l.now.Mono, againAfter
	if p := &h.peers[from.from]; l.drained {
		p.free, p.heard = p.free+give, l.now.Mono
	}
	l.later(l.keep(h), from.from, l.give(h, from, no, cover))
}

// got takes tokens and room. Totals make a message that comes twice, late or not at all harmless.
func (l *Ledger) got(h *hold, k key, no uint64, total, room, left float64) {
	p := &h.peers[k.from]
	p.heard, p.missed, p.silent, p.free = l.now.Mono, 0, 0, left
	if no != 0 && h.asks[no] == k.from {
		delete(h.asks, no)
		p.askedAt = 0
		if room > 0 && !h.ended {
			h.covers = append(h.covers, cover{room, l.now.Mono + coverUse})
		}
	}
	news := total - h.got[k]
	switch {
	case left > 1e-9 || news > 1e-9:
		p.emptyAt, p.emptyFor = 0, 0
	case !l.empty(h, k.from):
		p.emptyAt, p.emptyFor = l.now.Mono, min(emptyMost, max(emptyFor, 2*p.emptyFor))
	}
	if total == 0 {
		return
	}
	thanks := encoding.Float(appendWords(msgThanks, h.ID, k.era, h.era), max(total, h.got[k]))
	if news <= 0 {
		l.later(l.keepNo, k.from, thanks)
		return
	}
	h.got[k] = total
	if !h.ended {
		h.free += news
	}
	l.later(l.keep(h), k.from, thanks)
}

// drain puts back what was drawn; offer hands all of it on.
func (l *Ledger) drain() {
	l.drained = true
	for _, h := range l.order {
		if !h.ended {
			h.free += max(0, h.drawn)
			h.drawn = min(0, h.drawn)
			l.keep(h)
		}
	}
}

// offer offers what a stopping gateway holds to the member's other gateways in turn, until one has asked for it.
func (l *Ledger) offer(h *hold) {
	if h.drawn > 0 { // of calls that settled since
		h.free += h.drawn
		h.drawn = 0
		l.keep(h)
	}
	n := max(1, min(h.Spread, l.s.Gateways))
	if h.free <= 1e-9 || n < 2 {
		return
	}
	h.wake = min(h.wake, l.now.Mono+askEvery)
	if l.now.Mono < h.offered+askEvery {
		return
	}
	h.offered = l.now.Mono
	few := min(n-1, askPeers)
	for left := few; left > 0; {
		h.offers++
		if to := (h.First + (l.s.Rank+h.offers)%n) % l.s.Gateways; to != l.s.Rank {
			l.do(Send{to, appendOffer(h.ID, h.free/float64(few))})
			left--
		}
	}
}

// Owing is how many tokens a stopping gateway still holds, or has sent and was not thanked for.
func (l *Ledger) Owing() (sum float64) {
	for _, h := range l.order {
		if h.ended {
			continue
		}
		sum += max(0, h.free)
		for _, t := range h.sent {
			sum += t.total - t.acked
		}
	}
	return sum
}

// next is when something comes by itself.
func (l *Ledger) next() quotaplan.Now {
	n := quotaplan.Now{Mono: math.MaxInt64, Wall: math.MaxInt64}
	for _, h := range l.order {
		if h.ended {
			continue
		}
		n.Mono = min(n.Mono, max(h.wake, l.now.Mono+time.Millisecond))
		for _, at := range []int64{h.From, h.To} {
			if at > l.now.Wall {
				n.Wall = min(n.Wall, at)
			}
		}
	}
	return n
}

// View is a reservation as a gateway has it.
type View struct {
	quotaplan.Reservation
	Open, Ended bool
	Free, Drawn float64 // tokens here, kept and drawn
	Out         int     // calls
	Waiting     int
	Spent       float64 // units used here in this life
	Given       float64
	Room        float64 // under the ceiling; 0 where there is none
}

// Views tells all reservations that are known, by their end.
func (l *Ledger) Views() (out []View) {
	for _, h := range l.order {
		v := View{Reservation: h.Reservation, Open: l.open(h), Ended: h.ended, Free: h.free, Drawn: h.drawn + h.drawing, Out: len(h.out),
			Waiting: len(h.queue), Spent: h.spent, Given: h.given}
		if h.Ceiling {
			v.Room = h.room()
		}
		out = append(out, v)
	}
	return out
}
