package reservation

import (
	"encoding/binary"
	"math"
	"math/rand"
	"slices"
	"time"

	"winghatch/internal/quotaplan"
)

const (
	// retentionAfterEnd is how long the state of a reservation is kept after the end of its window. If the
	// state were deleted earlier and the wall clock stepped back, the tokens would be minted again.
	retentionAfterEnd = 24 * time.Hour
	// minTickDelay is the shortest delay of a scheduled tick. It prevents a busy loop when a deadline has
	// passed.
	minTickDelay = time.Millisecond
	// queuePollInterval is how often a non-empty queue is checked without an event, because the room under a
	// ceiling refills over time.
	queuePollInterval = transferRequestTimeout / 4
)

// Settings are the parameters of a Ledger.
type Settings struct {
	Rank            int     // rank of this gateway, from 0
	Gateways        int     // number of gateways in the fleet
	MaxRequestUnits float64 // units of the largest request
	Epoch           uint64  // epoch of the states that this process creates; must differ for each process
	Boot            uint64  // differs after each start of the machine; 0: not known
	Seed            int64   // seed of the random choices
}

// Ledger keeps the tokens of all reservations at one gateway. It is not safe for concurrent use.
type Ledger struct {
	settings Settings
	random   *rand.Rand
	now      quotaplan.Instant
	actions  []Action // actions of the event being handled

	holdings map[uint64]*holding // keyed by reservation ID
	byEnd    []*holding          // announced reservations, ordered by the end of the window, then by ID
	requests map[string]*holding // holding of each waiting or in-flight request, keyed by request ID
	draining bool

	recorded     recordedSpending
	lastSpending uint64 // number of the last RecordSpending

	lastState      uint64 // number of the last Persist
	persistedState uint64 // states up to this number are durable
	deferred       []deferredEffect

	transferRequestsLeft float64       // transfer requests that the rate limit allowed at transferRequestsAt
	transferRequestsAt   time.Duration // time of the last call of allowTransferRequest
}

// New returns a Ledger without reservations.
func New(s Settings) *Ledger {
	return &Ledger{
		settings: s,
		random:   rand.New(rand.NewSource(s.Seed)),
		holdings: map[uint64]*holding{},
		requests: map[string]*holding{},
		recorded: newRecordedSpending(),
	}
}

func (l *Ledger) emit(a Action) { l.actions = append(l.actions, a) }

// Handle processes an event and returns the resulting actions in order. The last one is always a
// ScheduleTick. A monotonic time before that of an earlier event is raised to it.
func (l *Ledger) Handle(now quotaplan.Instant, ev Event) []Action {
	l.actions = nil
	now.Mono = max(now.Mono, l.now.Mono)
	l.now = now
	var ended *holding
	switch e := ev.(type) {
	case AddReservation:
		l.addReservation(e)
	case ResizeReservation:
		l.resize(e)
	case Request:
		l.request(e)
	case RequestEnded:
		ended = l.requests[e.ID]
		l.requestEnded(e)
	case Persisted:
		l.persisted(e.Number)
	case MessageReceived:
		l.receive(e)
	case Drain:
		l.startDrain()
	}
	// There may be many reservations, so an event that concerns a single one maintains only that one.
	switch e := ev.(type) {
	case Request:
		l.maintain(l.requests[e.ID])
	case RequestEnded:
		l.maintain(ended)
	case MessageReceived:
		if len(e.Data) >= messageHeaderBytes {
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

// maintain performs the work that is due for a reservation: it ends the reservation when its window has
// passed, deletes its state after retentionAfterEnd, retransmits transfers, serves the queue and requests
// transfers. It ignores nil and reservations that are not announced.
func (l *Ledger) maintain(h *holding) {
	if h == nil || !h.announced {
		return
	}
	if !h.ended && l.now.Wall >= h.To {
		l.end(h)
	}
	h.wakeAt = math.MaxInt64
	if h.ended {
		if len(h.inFlight) == 0 && l.now.Wall > h.To+int64(retentionAfterEnd) {
			l.byEnd = slices.DeleteFunc(l.byEnd, func(o *holding) bool { return o == h })
			delete(l.holdings, h.ID)
		}
		return
	}
	l.retransmit(h)
	if l.draining {
		l.offerRemaining(h)
	}
	l.refillRoom(h)
	l.serveQueue(h)
	l.requestTransfers(h)
	switch {
	case len(h.queue) > 0:
		w := h.queue[0]
		h.wakeAt = min(h.wakeAt, w.Deadline, w.queuedAt+maxQueueTime, l.now.Mono+queuePollInterval)
	case h.free < 0:
		h.wakeAt = min(h.wakeAt, l.now.Mono+transferRequestTimeout)
	}
}

// nextTick returns the times, on either clock, at which work is due even if no event arrives before.
func (l *Ledger) nextTick() quotaplan.Instant {
	next := quotaplan.Instant{Mono: math.MaxInt64, Wall: math.MaxInt64}
	for _, h := range l.byEnd {
		if h.ended {
			continue
		}
		next.Mono = min(next.Mono, max(h.wakeAt, l.now.Mono+minTickDelay))
		for _, at := range []int64{h.From, h.To} {
			if at > l.now.Wall {
				next.Wall = min(next.Wall, at)
			}
		}
	}
	return next
}

// View describes a reservation at this gateway. All amounts are in units.
type View struct {
	quotaplan.Reservation
	// Open is set if the reservation can be used now, Ended if its window has passed or it was cancelled.
	Open, Ended bool
	// Free counts the persisted tokens that are not drawn, Drawn those that are drawn or being drawn.
	Free, Drawn float64
	InFlight    int     // requests in flight
	Waiting     int     // requests in the queue
	Spent       float64 // used by requests that ended at this gateway, since the process started
	Transferred float64 // sent to other gateways since the process started
	CeilingRoom float64 // room under the ceiling; 0 if there is no ceiling
}

// Views returns the announced reservations, ordered by the end of their windows.
func (l *Ledger) Views() (out []View) {
	for _, h := range l.byEnd {
		v := View{
			Reservation: h.Reservation,
			Open:        l.isOpen(h),
			Ended:       h.ended,
			Free:        h.free,
			Drawn:       h.drawn + h.drawing,
			InFlight:    len(h.inFlight),
			Waiting:     len(h.queue),
			Spent:       h.spent,
			Transferred: h.transferred,
		}
		if h.Ceiling {
			v.CeilingRoom = h.room()
		}
		out = append(out, v)
	}
	return out
}
