package gateway

import (
	"sync"
	"time"

	"winghatch/internal/frontend"
	"winghatch/internal/quotaplan"
	"winghatch/internal/reservation"
	"winghatch/internal/upstream"
)

// loopInput is an input to the loop: a value of one of the types below.
type loopInput any

type (
	// requestReceived is a new request from the frontend.
	requestReceived struct{ request *frontend.Request }
	// clientDisconnected reports that the client of the request with this ID has disconnected.
	clientDisconnected struct{ id string }
	// attemptResult is the result of an attempt.
	attemptResult struct {
		attempt *attempt
		result  upstream.Result
	}
	// gossipMessage is a message from another gateway.
	gossipMessage struct {
		from int // rank of the sender
		text string
	}
	// funcCall is a function that another goroutine runs in the loop.
	funcCall struct{ run func() }

	// planRecordsDurable reports that all records of the plan log up to this number are durable.
	planRecordsDurable struct{ record uint64 }
	// planLogStatus reports that writing the plan log fails or, if err is nil, works again.
	planLogStatus struct{ err error }
	// spendingWritten reports that all records of the spending log up to this number are written.
	spendingWritten struct{ record uint64 }
	// spendingLogStatus reports that writing the spending log fails or, if err is nil, works again.
	spendingLogStatus struct{ err error }
	// changeNotPersisted reports that the plan change of this number could not be appended to the plan log.
	changeNotPersisted struct {
		number uint64
		reason string
	}
	// reservationReleased reports that units were drawn for a request that had already ended.
	reservationReleased struct{ id string }

	// outboxRecordsDurable reports that all records of the outbox log up to this number are durable.
	outboxRecordsDurable struct{ record uint64 }
	// outboxLogStatus reports that writing the outbox log fails or, if err is nil, works again.
	outboxLogStatus struct{ err error }
	// outboxSnapshotDone reports that a snapshot of the outbox log was written or, if err is not nil, failed.
	outboxSnapshotDone struct{ err error }
	// usageAcknowledged reports that the usage receiver has acknowledged all records up to this number.
	usageAcknowledged struct{ record uint64 }
)

// handleInput passes an input to the method that handles its type.
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
	case spendingWritten:
		l.plans.spending.recordsWritten(in.record)
	case spendingLogStatus:
		l.plans.spending.statusChanged(in.err)
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

// queue passes inputs from other goroutines to the loop. Results of attempts go before all other inputs, and
// each kind is in order. Posting never blocks, so no socket waits for another one. The queue itself is unbounded,
// but its sources are bounded: requests by the cap on open requests, results by the attempts in flight, gossip by
// its rate limit, and discovery because it waits until an update is handled.
type queue struct {
	clock func() time.Duration

	mu      sync.Mutex
	results []queuedInput // of type attemptResult
	items   []queuedInput // all others
	// spareResults and spareItems were returned by the last take. The next one reuses them.
	spareResults, spareItems []queuedInput
	wake                     chan struct{} // receives an element when an input is posted to the empty queue
}

// queuedInput is an input with the time at which it was posted.
type queuedInput struct {
	input    loopInput
	postedAt time.Duration
}

func newQueue(clock func() time.Duration) *queue {
	return &queue{clock: clock, wake: make(chan struct{}, 1)}
}

func (q *queue) post(in loopInput) {
	item := queuedInput{in, q.clock()}
	q.mu.Lock()
	if _, isResult := in.(attemptResult); isResult {
		q.results = append(q.results, item)
	} else {
		q.items = append(q.items, item)
	}
	wasEmpty := len(q.results)+len(q.items) == 1
	q.mu.Unlock()
	if wasEmpty {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// take removes and returns all results of attempts, and up to maxItems of the other inputs. The slices are valid
// until the next call.
func (q *queue) take(maxItems int) (results, items []queuedInput) {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.spareResults)
	clear(q.spareItems)
	results, q.results = q.results, q.spareResults[:0]
	q.spareResults = results
	if len(q.items) <= maxItems {
		items, q.items = q.items, q.spareItems[:0]
		q.spareItems = items
		return results, items
	}
	items = append(q.spareItems[:0], q.items[:maxItems]...)
	q.spareItems = items
	left := copy(q.items, q.items[maxItems:])
	clear(q.items[left:]) // the array must not keep the bodies of requests
	q.items = q.items[:left]
	return results, items
}

func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.results) + len(q.items)
}
