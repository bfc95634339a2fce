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
	drawPeriod              = 500 * time.Millisecond // tokens drawn at once last so long; a crash loses what was drawn at most
	minDrawOfLargestRequest = 2.0                    // of the largest call's units: no fewer are drawn
	transferRequestTimeout  = 40 * time.Millisecond  // a gateway is asked again after so long without an answer
	maxTransferRequests     = 4                      // gateways asked at once
	requestAhead            = 250 * time.Millisecond // tokens for so long are asked for beyond those that calls wait for
	maxQueueTime            = 400 * time.Millisecond // a call waits no longer for tokens
	unresponsivePeriod      = time.Second            // a gateway that left asks unanswered is asked last for so long
	unansweredLimit         = 3                      // asks
	minEmptyBackoff         = 500 * time.Millisecond // one that had nothing is not asked for so long, ...
	maxEmptyBackoff         = 8 * time.Second        // ... and ever longer while it has none
	transferRequestRate     = 25.0                   // asks a second of a gateway at most ...
	reportLifetime          = 5 * time.Second        // what a gateway told of its tokens is passed on for so long
	transferRequestBurst    = 16.0                   // ... and at once: peers take in only so many messages
	retainPeriod            = time.Second            // of its own use a gateway keeps when it is asked
	roomGrantLifetime       = 100 * time.Millisecond // room under a ceiling that another gateway gave is used within this
	minRetransmitInterval   = 250 * time.Millisecond // tokens sent are told again until thanks come ...
	maxRetransmitInterval   = 4 * time.Second        // ... ever more rarely
	demandTimeConstant      = time.Second            // of the units asked for
	maxDeferred             = 4096                   // messages that wait for the disk
	retentionAfterEnd       = 24 * time.Hour         // of the end of a window
)

// Slice is the part of a ceiling that one gateway keeps.
type CeilingShare struct {
	Rank     int
	Fraction float64
}

// Settings are what a ledger starts from.
type Settings struct {
	Rank, Gateways  int
	MaxRequestUnits float64
	Epoch           uint64 // differs from life to life; it names new states
	Seed            int64
}

// Event is something that a ledger is told.
type Event interface{ event() }

// Action is something that a ledger wants done.
type Action interface{ action() }

type (
	// Hold says that a reservation is known. Slices tell where the member's ceiling is kept.
	AddReservation struct {
		quotaplan.Reservation
		CeilingShares []CeilingShare
	}
	// Cut says that a reservation is of Units now.
	ResizeReservation struct {
		ID    uint64
		Units float64
	}
	// Call is a marked call. It is answered by Admit or Refuse, before Until.
	Request struct {
		ID       string
		Member   string
		Units    float64
		Deadline time.Duration
	}
	// Ended settles an admitted call at the units that it truly used, or takes one back that waits.
	RequestEnded struct {
		ID   string
		Used float64
	}
	// Kept says that all states up to that number are durable.
	Persisted struct{ Number uint64 }
	// Heard is a message of another gateway.
	MessageReceived struct {
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
	Reject struct {
		ID     string
		Reason Reason
	}
	// Keep asks for a state to be made durable; a later one of the same reservation takes its place.
	Persist struct {
		Number uint64
		State  []byte
	}
	// Send tells another gateway.
	Send struct {
		To   int
		Data []byte
	}
	// Return gives units that were not used back to the member's ordinary use, at this gateway.
	ReturnUnits struct {
		Member string
		Units  float64
	}
	// Wake asks for a Tick. Wall is Unix nanoseconds; whichever comes first counts.
	ScheduleTick struct{ At quotaplan.Instant }
)

func (AddReservation) event()    {}
func (ResizeReservation) event() {}
func (Request) event()           {}
func (RequestEnded) event()      {}
func (Persisted) event()         {}
func (MessageReceived) event()   {}
func (Tick) event()              {}
func (Drain) event()             {}

func (Admit) action()        {}
func (Reject) action()       {}
func (Persist) action()      {}
func (Send) action()         {}
func (ReturnUnits) action()  {}
func (ScheduleTick) action() {}

// Reason tells refusals of marked calls apart.
type Reason string

// The reasons.
const (
	NoReservation     Reason = "reserve_none"    // the member has no reservation whose window is now
	Exhausted         Reason = "reserve_spent"   // nothing of it is left, as far as this gateway knows
	TokensUnavailable Reason = "reserve_short"   // others that may have some did not answer in time
	RateExceeded      Reason = "reserve_rate"    // it may not be used faster
	Draining          Reason = "reserve_drained" // this gateway stops
)

// key is a life of a gateway, as far as a reservation goes: one that lost its disk is another.
type holder struct {
	rank  int
	epoch uint64
}

// sent are tokens for one life of a gateway. They are told as a total until it thanks for them; to a later life they
// would be new.
type transfer struct {
	total, acknowledged   float64
	sentAt, retryInterval time.Duration
}

type peerTokens struct {
	requestedAt       time.Duration // 0: no ask is out
	unanswered        int           // asks without an answer
	unresponsiveUntil time.Duration // until then it is asked last
	repliedAt         time.Duration
	emptyAt           time.Duration // it said that it had nothing; 0: not
	emptyBackoff      time.Duration // and is not asked for so long then
	reported          float64       // as last told
}

type waitingRequest struct {
	Request
	queuedAt time.Duration
}

// hold is a reservation as this gateway has it.
type holding struct {
	quotaplan.Reservation
	ceilingShares []CeilingShare
	announced     bool // the book told of it; else only its kept state is there

	// Durable.
	epoch    uint64
	minted   bool
	ended    bool
	removed  float64              // units that cuts took off the whole, as far as this gateway has done its part
	free     float64              // tokens here that are not drawn; less than 0: owed after a cut
	sent     map[holder]*transfer // to the lives of other gateways
	received map[holder]float64

	drawn               float64 // may be spent; less than 0: settled calls took more
	drawing             float64 // until the draw is kept
	inFlight            map[string]float64
	queue               []waitingRequest
	peers               []peerTokens
	demand              decayingRate
	ceilingRoom         float64 // room under the part of the ceiling that is kept here
	ceilingRoomAt       time.Duration
	roomGrants          []roomGrant
	offeredAt           time.Duration // when what a stopping gateway holds was last offered
	offerTurn           int
	lastTransferRequest uint64
	nextRoomRequestAt   time.Duration  // room may be asked for again
	outstanding         map[uint64]int // asks out, by number: whom
	wakeAt              time.Duration  // something comes by itself then
	spent               float64        // units that calls used here, for the operator
	given               float64
}

type roomGrant struct {
	units float64
	until time.Duration
}

// rate is units a second, fading.
type decayingRate struct {
	value float64
	at    time.Duration
}

func (r *decayingRate) valueAt(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.at).Seconds()/demandTimeConstant.Seconds())
}

func (r *decayingRate) add(now time.Duration, units float64) {
	r.value, r.at = r.valueAt(now)+units/demandTimeConstant.Seconds(), now
}

// effect waits for a state to be durable.
type deferredEffect struct {
	state    uint64
	holding  *holding
	draw     float64 // tokens that may be spent then
	returned float64 // or are returned
	to       int     // or a message
	data     []byte
}

// Ledger is a gateway's. It is not safe for concurrent use.
type Ledger struct {
	settings       Settings
	random         *rand.Rand
	now            quotaplan.Instant
	actions        []Action
	holdings       map[uint64]*holding
	byEnd          []*holding // by end, then ID
	requests       map[string]*holding
	deferred       []deferredEffect
	lastState      uint64
	persistedState uint64
	draining       bool

	transferRequestsLeft float64
	transferRequestsAt   time.Duration
}

// New returns a ledger without reservations.
func New(s Settings) *Ledger {
	return &Ledger{settings: s, random: rand.New(rand.NewSource(s.Seed)), holdings: map[uint64]*holding{}, requests: map[string]*holding{}}
}

func (l *Ledger) emit(a Action) { l.actions = append(l.actions, a) }

func (l *Ledger) holding(id uint64) *holding {
	h := l.holdings[id]
	if h == nil {
		n := l.settings.Gateways
		h = &holding{epoch: l.settings.Epoch, sent: map[holder]*transfer{}, received: map[holder]float64{}, inFlight: map[string]float64{},
			peers: make([]peerTokens, n), outstanding: map[uint64]int{}}
		h.ID = id
		l.holdings[id] = h
	}
	return h
}

// Handle takes an event and returns what is to be done, in order.
func (l *Ledger) Handle(now quotaplan.Instant, ev Event) []Action {
	l.actions = nil
	now.Mono = max(now.Mono, l.now.Mono)
	l.now = now
	var settles *holding
	switch e := ev.(type) {
	case AddReservation:
		l.addReservation(e)
	case ResizeReservation:
		l.resize(e)
	case Request:
		l.request(e)
	case RequestEnded:
		settles = l.requests[e.ID]
		l.requestEnded(e)
	case Persisted:
		l.persisted(e.Number)
	case MessageReceived:
		l.receive(e)
	case Drain:
		l.startDrain()
	}
	// What concerns one reservation looks after that one; there may be many.
	switch e := ev.(type) {
	case Request:
		l.maintain(l.requests[e.ID])
	case RequestEnded:
		l.maintain(settles)
	case MessageReceived:
		if len(e.Data) >= 9 {
			l.maintain(l.holdings[binary.LittleEndian.Uint64(e.Data[1:])])
		}
	default:
		for _, h := range slices.Clone(l.byEnd) {
			l.maintain(h)
		}
	}
	l.emit(ScheduleTick{l.nextTick()})
	return l.actions
}

// ---- What must outlive a crash.

// keep asks for a reservation's state to be made durable and returns the number by which Kept names it.
func (l *Ledger) persist(h *holding) uint64 {
	l.lastState++
	l.emit(Persist{l.lastState, h.encode()})
	return l.lastState
}

const stateVersion = 1

// state writes what is durable: the version 1, then, as in package plans, the reservation's ID, the era, a byte of
// flags (1 minted, 2 ended), the units cut, the tokens free, the tokens sent (how many lives, then rank, era and
// total of each), the tokens got (how many, then rank, era and total of each).
func (h *holding) encode() []byte {
	b := []byte{stateVersion}
	b = binary.LittleEndian.AppendUint64(b, h.ID)
	b = binary.LittleEndian.AppendUint64(b, h.epoch)
	flags := byte(0)
	if h.minted {
		flags |= 1
	}
	if h.ended {
		flags |= 2
	}
	b = append(b, flags)
	b = encoding.AppendFloat64(encoding.AppendFloat64(b, h.removed), h.free)
	b = binary.AppendUvarint(b, uint64(len(h.sent)))
	for _, k := range sortedHolders(h.sent) {
		b = binary.AppendUvarint(b, uint64(k.rank))
		b = encoding.AppendFloat64(binary.LittleEndian.AppendUint64(b, k.epoch), h.sent[k].total)
	}
	b = binary.AppendUvarint(b, uint64(len(h.received)))
	for _, k := range sortedHolders(h.received) {
		b = binary.AppendUvarint(b, uint64(k.rank))
		b = encoding.AppendFloat64(binary.LittleEndian.AppendUint64(b, k.epoch), h.received[k])
	}
	return b
}

// sortedKeys are in an order, so that the same events make the same bytes.
func sortedHolders[V any](m map[holder]V) []holder {
	keys := make([]holder, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b holder) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.epoch, b.epoch)) })
	return keys
}

// Restore puts in a state that was kept, before the first event. Of one reservation the last one counts.
func (l *Ledger) Restore(state []byte) error {
	if len(state) < 18 || state[0] != stateVersion {
		return fmt.Errorf("reserve: a state of %d bytes and version %v, want version %d", len(state), state[:min(1, len(state))], stateVersion)
	}
	r := &encoding.Reader{Rest: state[1:]}
	id, era := r.Uint64(), r.Uint64()
	flags := r.Byte()
	delete(l.holdings, id)
	h := l.holding(id)
	h.epoch, h.minted, h.ended = era, flags&1 > 0, flags&2 > 0
	h.removed, h.free = r.Float64(), r.Float64()
	for n := r.Uvarint(math.MaxUint16); n > 0 && !r.Malformed; n-- {
		k := holder{rank: int(r.Uvarint(math.MaxUint16))}
		k.epoch = r.Uint64()
		h.sent[k] = &transfer{total: r.Float64(), retryInterval: minRetransmitInterval}
	}
	for n := r.Uvarint(math.MaxUint16); n > 0 && !r.Malformed; n-- {
		k := holder{rank: int(r.Uvarint(math.MaxUint16))}
		k.epoch = r.Uint64()
		h.received[k] = r.Float64()
	}
	if r.Malformed {
		delete(l.holdings, id)
		return fmt.Errorf("reserve: a state of %d bytes is cut", len(state))
	}
	return nil
}

// States are all states that count, to be kept in a snapshot.
func (l *Ledger) States() (out [][]byte) {
	var ids []uint64
	for id := range l.holdings {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		h := l.holdings[id]
		// What is drawn and not spent would be lost with this life; a snapshot is of this life, so it stays out.
		out = append(out, h.encode())
	}
	return out
}

func (l *Ledger) persisted(no uint64) {
	l.persistedState = max(l.persistedState, no)
	var rest []deferredEffect
	for _, e := range l.deferred {
		switch {
		case e.state > no:
			rest = append(rest, e)
		case e.draw > 0:
			e.holding.drawn += e.draw
			e.holding.drawing -= e.draw
		case e.returned > 0:
			l.emit(ReturnUnits{e.holding.Member, e.returned})
		default:
			l.emit(Send{e.to, e.data})
		}
	}
	l.deferred = rest
}

// later sends a message once a state is durable.
func (l *Ledger) sendWhenPersisted(no uint64, to int, data []byte) {
	if no <= l.persistedState {
		l.emit(Send{to, data})
		return
	}
	if len(l.deferred) < maxDeferred { // what is left out is told again, as a total, or asked for again
		l.deferred = append(l.deferred, deferredEffect{state: no, to: to, data: data})
	}
}

// ---- Reservations.

func (l *Ledger) addReservation(e AddReservation) {
	h := l.holding(e.ID)
	if h.announced {
		return
	}
	h.announced, h.Reservation, h.ceilingShares = true, e.Reservation, e.CeilingShares
	h.ceilingRoomAt = l.now.Mono
	l.byEnd = append(l.byEnd, h)
	slices.SortFunc(l.byEnd, func(a, b *holding) int { return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.ID, b.ID)) })
	if h.Mine && !h.minted && !h.ended && l.mayMint(h) {
		h.minted, h.free = true, h.free+h.Units
		l.offerShares(h)
	}
	l.persist(h) // also the era, before anything is asked for in its name
}

// freshHere reports whether this gateway may make the tokens: only if no former life of it can have. A state that was
// kept says that one had; without a state it is the book's word, kept before the reservation was acknowledged, that
// this life took it, or a former one that ended before it kept anything else.
func (l *Ledger) mayMint(h *holding) bool { return len(h.received) == 0 && h.removed == 0 }

// share offers the tokens that were made to the member's gateways, in even parts. An offer that is lost does no harm:
// who needs tokens asks for them.
func (l *Ledger) offerShares(h *holding) {
	n := max(1, min(h.Spread, l.settings.Gateways))
	for i := range n {
		if to := (h.First + i) % l.settings.Gateways; to != l.settings.Rank {
			l.emit(Send{to, appendOffer(h.ID, h.free/float64(n))})
		}
	}
}

// cut takes this gateway's part off a reservation that was shortened, or all of what it holds where it was cancelled.
func (l *Ledger) resize(e ResizeReservation) {
	h := l.holdings[e.ID]
	if h == nil || h.ended {
		return
	}
	by := h.Units - e.Units - h.removed
	if by <= 0 {
		return
	}
	h.removed += by
	if e.Units == 0 {
		l.end(h)
		return
	}
	n := max(1, min(h.Spread, l.settings.Gateways))
	if (l.settings.Rank-h.First+l.settings.Gateways)%l.settings.Gateways < n {
		// It may leave less than nothing: then this gateway owes tokens that others hold, and asks for them before
		// it spends any more.
		h.free -= by / float64(n)
		h.free += max(0, h.drawn)
		h.drawn = min(0, h.drawn)
	}
	l.persist(h)
}

// finish ends a reservation here: what is left goes back to ordinary use.
func (l *Ledger) end(h *holding) {
	left := max(0, h.free) + max(0, h.drawn) + max(0, h.drawing)
	h.ended, h.free, h.drawn = true, 0, min(0, h.drawn)
	l.deferred = slices.DeleteFunc(l.deferred, func(e deferredEffect) bool { return e.holding == h && e.draw > 0 })
	h.drawing = 0
	no := l.persist(h)
	for _, w := range h.queue {
		delete(l.requests, w.ID)
		l.emit(Reject{w.ID, NoReservation})
	}
	h.queue = nil
	if left > 0 { // once it is kept that this is the end, or a crash would return them again
		l.deferred = append(l.deferred, deferredEffect{state: no, holding: h, returned: left})
	}
}

// open reports whether the window is now.
func (l *Ledger) isOpen(h *holding) bool {
	return h.announced && !h.ended && l.now.Wall >= h.From && l.now.Wall < h.To
}

// upkeep does what time and news bring.
func (l *Ledger) maintain(h *holding) {
	if h == nil || !h.announced {
		return
	}
	if !h.ended && l.now.Wall >= h.To {
		l.end(h)
	}
	h.wakeAt = math.MaxInt64
	if h.ended {
		// A state is kept for long after the end: a clock that steps back must not make the tokens again.
		if len(h.inFlight) == 0 && l.now.Wall > h.To+int64(retentionAfterEnd) {
			l.byEnd = slices.DeleteFunc(l.byEnd, func(o *holding) bool { return o == h })
			delete(l.holdings, h.ID)
		}
		return
	}
	for _, k := range sortedHolders(h.sent) {
		t := h.sent[k]
		if t.total <= t.acknowledged {
			continue
		}
		if l.now.Mono-t.sentAt >= t.retryInterval {
			t.sentAt, t.retryInterval = l.now.Mono, min(maxRetransmitInterval, 2*t.retryInterval)
			l.sendWhenPersisted(l.lastState, k.rank, l.transferMessage(h, k, 0, 0))
		}
		h.wakeAt = min(h.wakeAt, t.sentAt+t.retryInterval)
	}
	if l.draining {
		l.offerRemaining(h)
	}
	l.refillRoom(h)
	l.serveQueue(h)
	l.requestTransfers(h)
	switch {
	case len(h.queue) > 0:
		w := h.queue[0]
		h.wakeAt = min(h.wakeAt, w.Deadline, w.queuedAt+maxQueueTime, l.now.Mono+transferRequestTimeout/4)
	case h.free < 0:
		h.wakeAt = min(h.wakeAt, l.now.Mono+transferRequestTimeout)
	}
}

// ---- Room under a ceiling.

// part is this gateway's part of the ceiling.
func (l *Ledger) ceilingFraction(h *holding) float64 {
	for _, s := range h.ceilingShares {
		if s.Rank == l.settings.Rank {
			return s.Fraction
		}
	}
	return 0
}

// fill brings the store up to now. It is empty at the window's begin and after a start, as the module's is, from which
// the reservation's rate was taken: the two together never hold more than the ceiling's own would.
func (l *Ledger) refillRoom(h *holding) {
	dt := (l.now.Mono - h.ceilingRoomAt).Seconds()
	h.ceilingRoomAt = l.now.Mono
	if !h.Ceiling || !l.isOpen(h) {
		h.ceilingRoom = 0
		return
	}
	part := l.ceilingFraction(h)
	h.ceilingRoom = min(h.ceilingRoom+h.Rate*part*dt, h.Burst*part)
	h.roomGrants = slices.DeleteFunc(h.roomGrants, func(c roomGrant) bool { return c.until < l.now.Mono || c.units <= 1e-9 })
}

// room is the units that the ceiling lets pass here now. A rate without a ceiling is for the admission test alone.
func (h *holding) room() float64 {
	if !h.Ceiling {
		return math.Inf(1)
	}
	sum := h.ceilingRoom
	for _, c := range h.roomGrants {
		sum += c.units
	}
	return sum
}

// wants is the units that calls wait for.
func (h *holding) queuedUnits() (sum float64) {
	for _, w := range h.queue {
		sum += w.Units
	}
	return sum
}

// take uses room, what others gave first.
func (h *holding) useRoom(units float64) {
	for i := range h.roomGrants {
		n := min(units, h.roomGrants[i].units)
		h.roomGrants[i].units -= n
		units -= n
	}
	h.ceilingRoom -= units
}

// ---- Calls.

// reservation is the member's whose window is now and ends first, of those that may still have something.
func (l *Ledger) selectReservation(member string, units float64) (found *holding) {
	for _, h := range l.byEnd {
		if h.Member == member && l.isOpen(h) && (found == nil || l.exhausted(found, units) && !l.exhausted(h, units)) {
			found = h
		}
	}
	return found
}

func (l *Ledger) request(c Request) {
	h := l.selectReservation(c.Member, c.Units)
	switch {
	case h == nil:
		l.emit(Reject{c.ID, NoReservation})
		return
	case l.draining:
		l.emit(Reject{c.ID, Draining})
		return
	}
	h.demand.add(l.now.Mono, c.Units)
	l.requests[c.ID] = h
	h.queue = append(h.queue, waitingRequest{c, l.now.Mono})
}

func (l *Ledger) requestEnded(e RequestEnded) {
	h := l.requests[e.ID]
	if h == nil {
		return
	}
	delete(l.requests, e.ID)
	for i, w := range h.queue {
		if w.ID == e.ID {
			h.queue = slices.Delete(h.queue, i, i+1)
			return
		}
	}
	units := h.inFlight[e.ID]
	delete(h.inFlight, e.ID)
	h.spent += e.Used
	h.drawn += units - e.Used
	if h.ended && units > e.Used {
		h.drawn = 0
		l.emit(ReturnUnits{h.Member, units - e.Used})
	}
}

// pump lets calls pass while there are tokens drawn and room, draws more, and refuses those that waited too long.
func (l *Ledger) serveQueue(h *holding) {
	if !l.isOpen(h) {
		return
	}
	if h.free < 0 && h.drawn > 0 { // what is owed is paid before anything is spent
		n := min(-h.free, h.drawn)
		h.free += n
		h.drawn -= n
	}
	l.drawTokens(h)
	for len(h.queue) > 0 {
		w := h.queue[0]
		if h.drawn < w.Units || h.room() < w.Units {
			break
		}
		h.queue = h.queue[1:]
		h.drawn -= w.Units
		if h.Ceiling {
			h.useRoom(w.Units)
		}
		h.inFlight[w.ID] = w.Units
		l.emit(Admit{w.ID})
	}
	l.drawTokens(h)
	h.queue = slices.DeleteFunc(h.queue, func(w waitingRequest) bool {
		why := Reason("")
		switch {
		case h.drawn+h.drawing+max(0, h.free) >= w.Units && h.drawing > 0 && l.now.Mono < w.Deadline:
			return false // its tokens are being drawn
		case l.exhausted(h, w.Units):
			why = Exhausted
		case l.now.Mono >= min(w.Deadline, w.queuedAt+maxQueueTime):
			if why = TokensUnavailable; h.drawn >= w.Units {
				why = RateExceeded
			}
		default:
			return false
		}
		delete(l.requests, w.ID)
		l.emit(Reject{w.ID, why})
		return true
	})
}

// draw takes tokens out of what a crash leaves, before they are spent.
func (l *Ledger) drawTokens(h *holding) {
	if l.draining {
		return
	}
	wants := h.queuedUnits()
	chunk := max(minDrawOfLargestRequest*l.settings.MaxRequestUnits, h.demand.valueAt(l.now.Mono)*drawPeriod.Seconds())
	have := h.drawn + h.drawing
	if h.free <= 0 || have >= wants && (have >= chunk/2 || wants == 0 && h.demand.valueAt(l.now.Mono) < 1e-3) {
		return
	}
	n := min(h.free, max(wants-have, 0)+chunk)
	h.free -= n
	h.drawing += n
	no := l.persist(h)
	l.deferred = append(l.deferred, deferredEffect{state: no, holding: h, draw: n})
}

// ---- Tokens of others.

// dry reports whether nobody seems to have so many: neither this gateway nor, by what they last said, the others.
func (l *Ledger) exhausted(h *holding, units float64) bool {
	if h.drawn+h.drawing+max(0, h.free) >= units {
		return false
	}
	for i := range h.peers {
		if i != l.settings.Rank && !l.reportedEmpty(h, i) && h.peers[i].unresponsiveUntil <= l.now.Mono {
			return false
		}
	}
	return true
}

func (l *Ledger) reportedEmpty(h *holding, i int) bool {
	p := &h.peers[i]
	return p.emptyAt > 0 && l.now.Mono-p.emptyAt < p.emptyBackoff
}

// ask asks others for what calls wait for, or a cut left owing, and a little ahead.
func (l *Ledger) requestTransfers(h *holding) {
	if l.draining || l.settings.Gateways < 2 {
		return
	}
	wants := h.queuedUnits()
	out := 0
	for i := range h.peers {
		p := &h.peers[i]
		if p.requestedAt > 0 && l.now.Mono-p.requestedAt >= transferRequestTimeout {
			p.requestedAt = 0
			if p.unanswered++; p.unanswered >= unansweredLimit {
				p.unanswered, p.unresponsiveUntil = unansweredLimit-1, l.now.Mono+unresponsivePeriod
			}
		}
		if p.requestedAt > 0 {
			out++
		}
	}
	// Tokens keep, so several are asked for all; room does not, so one gateway is asked at a time.
	if short := max(0, wants-h.drawn-h.drawing-max(0, h.free)) + max(0, -h.free); short > 1e-9 {
		short += min(h.demand.valueAt(l.now.Mono)*requestAhead.Seconds(), h.Units/float64(l.settings.Gateways))
		for _, i := range l.candidates(h, true) {
			if out >= maxTransferRequests || !l.takeTransferRequest() {
				break
			}
			out++
			l.sendTransferRequest(h, i, short, 0)
		}
		return
	}
	if bare := wants - h.room(); h.Ceiling && bare > 1e-9 && out == 0 && l.now.Mono >= h.nextRoomRequestAt {
		// Where all of the room is in use an answer without any comes at once: asking again waits a little.
		h.nextRoomRequestAt = l.now.Mono + transferRequestTimeout/2
		if to := l.candidates(h, false); len(to) > 0 && l.takeTransferRequest() {
			l.sendTransferRequest(h, to[0], 0, bare)
		}
	}
}

// mayAsk counts an ask in, if the bound on them has room.
func (l *Ledger) takeTransferRequest() bool {
	l.transferRequestsLeft = min(transferRequestBurst, l.transferRequestsLeft+transferRequestRate*(l.now.Mono-l.transferRequestsAt).Seconds())
	if l.transferRequestsAt = l.now.Mono; l.transferRequestsLeft < 1 {
		return false
	}
	l.transferRequestsLeft--
	return true
}

func (l *Ledger) sendTransferRequest(h *holding, to int, tokens, room float64) {
	h.lastTransferRequest++
	if len(h.outstanding) > 64*maxTransferRequests {
		clear(h.outstanding)
	}
	h.outstanding[h.lastTransferRequest] = to
	h.peers[to].requestedAt = l.now.Mono
	l.emit(Send{to, appendTransferRequest(h.ID, h.lastTransferRequest, h.epoch, tokens, room)})
}

// whom names gateways to ask, the likeliest to have something first.
func (l *Ledger) candidates(h *holding, tokens bool) (out []int) {
	score := make([]float64, l.settings.Gateways)
	for i := range h.peers {
		p := &h.peers[i]
		if i == l.settings.Rank || p.requestedAt > 0 || tokens && l.reportedEmpty(h, i) {
			continue
		}
		v := p.reported
		if p.repliedAt == 0 {
			v = h.Units / float64(max(1, h.Spread)) // not heard yet: it has its part
		}
		if !tokens { // room is where the ceiling is kept
			v = 0
			for _, s := range h.ceilingShares {
				if s.Rank == i {
					v = s.Fraction * l.random.Float64() // any of them, or all run to the same one
				}
			}
			if v == 0 {
				continue
			}
		}
		if p.unresponsiveUntil > l.now.Mono {
			v = -1
		}
		score[i] = v + 1e-6*l.random.Float64()
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
	messageOffer           = 'O'
	messageRequest         = 'A'
	messageTransfer        = 'G'
	messageAcknowledgement = 'T'
)

func appendIntegers(kind byte, words ...uint64) []byte {
	b := []byte{kind}
	for _, w := range words {
		b = binary.LittleEndian.AppendUint64(b, w)
	}
	return b
}

func appendOffer(id uint64, tokens float64) []byte {
	return encoding.AppendFloat64(appendIntegers(messageOffer, id), tokens)
}

func appendTransferRequest(id, no, era uint64, tokens, room float64) []byte {
	return encoding.AppendFloat64(encoding.AppendFloat64(appendIntegers(messageRequest, id, no, era), tokens), room)
}

func (l *Ledger) transferMessage(h *holding, to holder, no uint64, room float64) []byte {
	b := appendIntegers(messageTransfer, h.ID, no, h.epoch, to.epoch)
	total := 0.0
	if t := h.sent[to]; t != nil {
		total = t.total
	}
	b = encoding.AppendFloat64(encoding.AppendFloat64(encoding.AppendFloat64(b, total), room), max(0, h.free))
	who, free := l.richest(h, to.rank)
	return encoding.AppendFloat64(binary.LittleEndian.AppendUint64(b, uint64(who+1)), free)
}

// richest is the gateway that has most, by what they told lately; -1: none is known. Whoever asks is told of it, or
// after a roll, when few hold all, the others would look for them one by one.
func (l *Ledger) richest(h *holding, but int) (who int, free float64) {
	who = -1
	for i := range h.peers {
		p := &h.peers[i]
		if i != but && i != l.settings.Rank && p.reported > free && p.unresponsiveUntil <= l.now.Mono && l.now.Mono-p.repliedAt < reportLifetime {
			who, free = i, p.reported
		}
	}
	return who, free
}

// heard takes a message; what is malformed is dropped.
func (l *Ledger) receive(e MessageReceived) {
	if e.From < 0 || e.From >= l.settings.Gateways || e.From == l.settings.Rank || len(e.Data) == 0 {
		return
	}
	r := &encoding.Reader{Rest: e.Data[1:]}
	id := r.Uint64()
	switch e.Data[0] {
	case messageOffer:
		tokens := r.Float64()
		if h := l.holdings[id]; !r.Malformed && h != nil && h.announced && !h.ended && !l.draining && tokens > 0 && l.takeTransferRequest() {
			l.sendTransferRequest(h, e.From, tokens, 0)
		}
	case messageRequest:
		no, era, tokens, room := r.Uint64(), r.Uint64(), r.Float64(), r.Float64()
		if h := l.holdings[id]; !r.Malformed && h != nil {
			l.handleTransferRequest(h, holder{e.From, era}, no, tokens, room)
		}
	case messageTransfer:
		no, era, mine, total, room, left := r.Uint64(), r.Uint64(), r.Uint64(), r.Float64(), r.Float64(), r.Float64()
		rich, has := r.Uint64(), r.Float64()
		if h := l.holdings[id]; !r.Malformed && h != nil && mine == h.epoch {
			if i := int(rich) - 1; rich > 0 && rich <= uint64(l.settings.Gateways) && i != l.settings.Rank && i != e.From {
				if p := &h.peers[i]; l.now.Mono-p.repliedAt > minEmptyBackoff && has > p.reported {
					p.reported, p.emptyAt, p.emptyBackoff = has, 0, 0
				}
			}
			l.handleTransfer(h, holder{e.From, era}, no, total, room, left)
		}
	case messageAcknowledgement:
		era, theirs, total := r.Uint64(), r.Uint64(), r.Float64()
		if h := l.holdings[id]; !r.Malformed && h != nil && era == h.epoch {
			if t := h.sent[holder{e.From, theirs}]; t != nil {
				t.acknowledged = max(t.acknowledged, min(t.total, total))
			}
		}
	}
}

// asked gives another gateway what this one can spare: of its tokens all but what its own calls need next, of its room
// what its own calls do not wait for. An answer without anything tells that there is nothing.
func (l *Ledger) handleTransferRequest(h *holding, from holder, no uint64, tokens, room float64) {
	if !l.draining && h.announced && !h.ended {
		l.refillRoom(h)
	}
	give := 0.0
	if !h.ended && tokens > 0 {
		own := min((h.free+h.drawn)/2, h.demand.valueAt(l.now.Mono)*retainPeriod.Seconds())
		if idle := h.drawn - own; h.free < tokens && idle > 0 {
			// What was drawn and is not used here soon is put back: small rests at many gateways would be lost else.
			h.free += idle
			h.drawn -= idle
		}
		give = max(0, min(tokens, h.free-max(0, own-h.drawn)))
	}
	cover := 0.0
	if !h.ended && h.announced && h.Ceiling && room > 0 {
		wants := h.queuedUnits()
		// Less than the call needs would only run out of time there.
		if cover = min(room, max(0, h.ceilingRoom-wants)); cover < min(room, l.settings.MaxRequestUnits)-1e-9 {
			cover = 0
		}
		h.ceilingRoom -= cover
	}
	if give <= 0 {
		l.sendWhenPersisted(l.lastState, from.rank, l.transferMessage(h, from, no, cover))
		return
	}
	h.free -= give
	h.given += give
	t := h.sent[from]
	if t == nil {
		t = &transfer{}
		h.sent[from] = t
	}
	t.total += give
	t.sentAt, t.retryInterval = l.now.Mono, minRetransmitInterval
	if p := &h.peers[from.rank]; l.draining {
		p.reported, p.repliedAt = p.reported+give, l.now.Mono
	}
	l.sendWhenPersisted(l.persist(h), from.rank, l.transferMessage(h, from, no, cover))
}

// got takes tokens and room. Totals make a message that comes twice, late or not at all harmless.
func (l *Ledger) handleTransfer(h *holding, k holder, no uint64, total, room, left float64) {
	p := &h.peers[k.rank]
	p.repliedAt, p.unanswered, p.unresponsiveUntil, p.reported = l.now.Mono, 0, 0, left
	if no != 0 && h.outstanding[no] == k.rank {
		delete(h.outstanding, no)
		p.requestedAt = 0
		if room > 0 && !h.ended {
			h.roomGrants = append(h.roomGrants, roomGrant{room, l.now.Mono + roomGrantLifetime})
		}
	}
	news := total - h.received[k]
	switch {
	case left > 1e-9 || news > 1e-9:
		p.emptyAt, p.emptyBackoff = 0, 0
	case !l.reportedEmpty(h, k.rank):
		p.emptyAt, p.emptyBackoff = l.now.Mono, min(maxEmptyBackoff, max(minEmptyBackoff, 2*p.emptyBackoff))
	}
	if total == 0 {
		return
	}
	thanks := encoding.AppendFloat64(appendIntegers(messageAcknowledgement, h.ID, k.epoch, h.epoch), max(total, h.received[k]))
	if news <= 0 {
		l.sendWhenPersisted(l.lastState, k.rank, thanks)
		return
	}
	h.received[k] = total
	if !h.ended {
		h.free += news
	}
	l.sendWhenPersisted(l.persist(h), k.rank, thanks)
}

// drain puts back what was drawn; offer hands all of it on.
func (l *Ledger) startDrain() {
	l.draining = true
	for _, h := range l.byEnd {
		if !h.ended {
			h.free += max(0, h.drawn)
			h.drawn = min(0, h.drawn)
			l.persist(h)
		}
	}
}

// offer offers what a stopping gateway holds to the member's other gateways in turn, until one has asked for it.
func (l *Ledger) offerRemaining(h *holding) {
	if h.drawn > 0 { // of calls that settled since
		h.free += h.drawn
		h.drawn = 0
		l.persist(h)
	}
	n := max(1, min(h.Spread, l.settings.Gateways))
	if h.free <= 1e-9 || n < 2 {
		return
	}
	h.wakeAt = min(h.wakeAt, l.now.Mono+transferRequestTimeout)
	if l.now.Mono < h.offeredAt+transferRequestTimeout {
		return
	}
	h.offeredAt = l.now.Mono
	few := min(n-1, maxTransferRequests)
	for left := few; left > 0; {
		h.offerTurn++
		if to := (h.First + (l.settings.Rank+h.offerTurn)%n) % l.settings.Gateways; to != l.settings.Rank {
			l.emit(Send{to, appendOffer(h.ID, h.free/float64(few))})
			left--
		}
	}
}

// Owing is how many tokens a stopping gateway still holds, or has sent and was not thanked for.
func (l *Ledger) Unsettled() (sum float64) {
	for _, h := range l.byEnd {
		if h.ended {
			continue
		}
		sum += max(0, h.free)
		for _, t := range h.sent {
			sum += t.total - t.acknowledged
		}
	}
	return sum
}

// next is when something comes by itself.
func (l *Ledger) nextTick() quotaplan.Instant {
	n := quotaplan.Instant{Mono: math.MaxInt64, Wall: math.MaxInt64}
	for _, h := range l.byEnd {
		if h.ended {
			continue
		}
		n.Mono = min(n.Mono, max(h.wakeAt, l.now.Mono+time.Millisecond))
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
	for _, h := range l.byEnd {
		v := View{Reservation: h.Reservation, Open: l.isOpen(h), Ended: h.ended, Free: h.free, Drawn: h.drawn + h.drawing, Out: len(h.inFlight),
			Waiting: len(h.queue), Spent: h.spent, Given: h.given}
		if h.Ceiling {
			v.Room = h.room()
		}
		out = append(out, v)
	}
	return out
}
