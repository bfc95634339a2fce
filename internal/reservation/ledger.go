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
	// retentionAfterEnd is how long a state is kept after the end of its window: a wall clock that is stepped back must
	// not find the reservation unknown, and mint its tokens again.
	retentionAfterEnd = 24 * time.Hour
	// minTickDelay keeps a deadline that has passed from making the caller spin.
	minTickDelay = time.Millisecond
	// queuePollInterval is how often a queue is looked at without an event: room under a ceiling refills with time.
	queuePollInterval = transferRequestTimeout / 4
)

// Settings are the parameters of a Ledger.
type Settings struct {
	Rank            int     // of this gateway, from 0
	Gateways        int     // of the fleet
	MaxRequestUnits float64 // of the largest request
	Epoch           uint64  // differs from process to process of this gateway; new states get it
	Seed            int64   // of the random choices
}

// Ledger is one gateway's part of all reservations. It is not safe for concurrent use.
type Ledger struct {
	settings Settings
	random   *rand.Rand
	now      quotaplan.Instant
	actions  []Action // of the event being handled

	holdings map[uint64]*holding // by reservation
	byEnd    []*holding          // those that are announced, by the end of their window, then ID
	requests map[string]*holding // that wait or are in flight, by ID
	draining bool

	lastState      uint64 // number of the last Persist
	persistedState uint64 // states up to this number are durable
	deferred       []deferredEffect

	transferRequestsLeft float64 // bucket of transfer requests, as of transferRequestsAt
	transferRequestsAt   time.Duration
}

// New returns a ledger without reservations.
func New(s Settings) *Ledger {
	return &Ledger{
		settings: s,
		random:   rand.New(rand.NewSource(s.Seed)),
		holdings: map[uint64]*holding{},
		requests: map[string]*holding{},
	}
}

func (l *Ledger) emit(a Action) { l.actions = append(l.actions, a) }

// Handle takes an event and returns the actions that follow from it, in order.
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
	// An event of one reservation maintains that one only: there may be many.
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

// maintain does what is due for a reservation: its end, retransmissions, requests that wait, transfers. nil and those
// that are not announced are passed over.
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

// nextTick is when something is due without an event.
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

// View is a reservation as this gateway has it. All amounts are in units.
type View struct {
	quotaplan.Reservation
	Open, Ended bool
	Free, Drawn float64 // tokens here: persisted, and spendable or about to be
	InFlight    int     // requests in flight
	Waiting     int     // requests in the queue
	Spent       float64 // by requests here, in this process
	Transferred float64 // to other gateways, in this process
	CeilingRoom float64 // under the ceiling; 0 where there is none
}

// Views lists the announced reservations by the end of their window.
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
			Transferred: h.given,
		}
		if h.Ceiling {
			v.CeilingRoom = h.room()
		}
		out = append(out, v)
	}
	return out
}
