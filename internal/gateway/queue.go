package gateway

import (
	"sync"

	"winghatch/internal/frontend"
	"winghatch/internal/quotaplan"
	"winghatch/internal/reservation"
	"winghatch/internal/upstream"
)

// loopInput is one of the types below.
type loopInput any

type (
	requestReceived    struct{ request *frontend.Request }
	clientDisconnected struct{ id string }
	attemptResult      struct {
		attempt *attempt
		result  upstream.Result
	}
	gossipMessage struct {
		from int // rank
		text string
	}
	// funcCall is a function that another goroutine wants run in the loop.
	funcCall struct{ run func() }

	// planRecordsDurable: the plan log has made all records up to this number durable.
	planRecordsDurable struct{ record uint64 }
	// planLogStatus: writing the plan log failed, or works again (nil).
	planLogStatus      struct{ err error }
	changeNotPersisted struct {
		number uint64
		reason string
	}
	// reservationReleased: units were drawn for a request that had ended meanwhile.
	reservationReleased struct{ id string }

	// outboxRecordsDurable: the outbox log has made all records up to this number durable.
	outboxRecordsDurable struct{ record uint64 }
	// outboxLogStatus: writing the outbox log failed, or works again (nil).
	outboxLogStatus    struct{ err error }
	outboxSnapshotDone struct{ err error }
	// usageAcknowledged: the usage receiver has all records up to this number.
	usageAcknowledged struct{ record uint64 }
)

func (l *Loop) handleInput(in loopInput) {
	switch in := in.(type) {
	case requestReceived:
		l.startRequest(in.request)
	case clientDisconnected:
		l.disconnect(in.id)
	case attemptResult:
		l.attemptEnded(in.attempt, in.result)
	case gossipMessage:
		l.receiveFromPeer(in.from, in.text)
	case funcCall:
		in.run()
	case planRecordsDurable:
		l.plans.recordsDurable(in.record)
	case changeNotPersisted:
		l.plans.handlePlanEvent(quotaplan.PersistFailed{Number: in.number, Reason: in.reason})
	case planLogStatus:
		l.plans.logStatusChanged(in.err)
	case reservationReleased:
		l.plans.handleReservationEvent(reservation.RequestEnded{ID: in.id})
	case outboxRecordsDurable:
		l.usage.recordsDurable(in.record)
	case outboxLogStatus:
		l.usage.logStatusChanged(in.err)
	case outboxSnapshotDone:
		l.usage.snapshotDone(in.err)
	case usageAcknowledged:
		l.usage.acknowledged(in.record)
	}
}

// queue passes inputs of other goroutines to the loop, in order. Posting never blocks, so no socket waits for another
// one. It has no bound of its own, its sources have: requests are bounded by the cap on open ones, results by the
// attempts in flight, gossip by its rate limit; discovery waits until an update is handled.
type queue struct {
	mu    sync.Mutex
	items []loopInput
	spare []loopInput   // the slice that the last take returned
	wake  chan struct{} // has an element after an item was posted to the empty queue
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

func (q *queue) post(in loopInput) {
	q.mu.Lock()
	q.items = append(q.items, in)
	first := len(q.items) == 1
	q.mu.Unlock()
	if first {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// take returns all inputs that wait. The slice is valid until the next call.
func (q *queue) take() []loopInput {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	clear(q.spare)
	q.items = q.spare[:0]
	q.spare = items
	return items
}

func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}
