package outbox

import (
	"math/rand"
	"time"
)

// HTTP status codes that mean that the receiver will never accept a batch as it is. Every other failure is
// retried indefinitely, even a wrong credential or address, because no usage may be lost. The constants are
// defined here so that this package does not depend on net/http.
const (
	statusBadRequest     = 400
	statusEntityTooLarge = 413
	statusUnprocessable  = 422
)

// Delays between delivery attempts.
const (
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 30 * time.Second
	maxRetryAfter    = 5 * time.Minute // upper limit for the Retry-After header of the receiver
	idlePollInterval = time.Second     // delay while there is nothing to send
)

// idleAckRecords is the number of records without events after which they are acknowledged. The
// acknowledgement is itself such a record, so acknowledging each of them would produce acknowledgements
// endlessly.
const idleAckRecords = 10000

// DeliveryEvent is an input of a Delivery: Start, or the result of the last action.
type DeliveryEvent interface{ deliveryEvent() }

type (
	// Start is the first event of a delivery.
	Start struct{}
	// Fetched is the result of Fetch.
	Fetched struct {
		Events     []UsageEvent // in the order of the log
		LastRecord uint64       // number of the last record read, with or without an event
		Failure    string       // why the log could not be read; empty on success
	}
	// PostResult is the result of Post. A success status counts only if BodySent is set: a response that
	// arrives before the whole batch was sent does not confirm the rest of it.
	PostResult struct {
		Status     int           // HTTP status code; 0 if there was no response
		RetryAfter time.Duration // delay that the receiver asked for; 0 if none
		BodySent   bool          // the receiver read the whole body before it responded
		Reason     string        // description of the failure; empty on success
	}
	// DeadLetterStored is the result of StoreDeadLetter. Failure is empty if the event was stored.
	DeadLetterStored struct{ Failure string }
	// WaitEnded is the result of Wait.
	WaitEnded struct{}
	// RecordsAvailable is the result of an idle Wait that ended early because records have become durable.
	RecordsAvailable struct{}
)

func (Start) deliveryEvent()            {}
func (Fetched) deliveryEvent()          {}
func (PostResult) deliveryEvent()       {}
func (DeadLetterStored) deliveryEvent() {}
func (WaitEnded) deliveryEvent()        {}
func (RecordsAvailable) deliveryEvent() {}

// DeliveryAction is an operation that a Delivery requests from its owner.
type DeliveryAction interface{ deliveryAction() }

type (
	// Fetch asks for up to MaxEvents events of durable records after the record with the number After.
	Fetch struct {
		After     uint64
		MaxEvents int
	}
	// Post asks to send events to the receiver in one batch.
	Post struct{ Events []UsageEvent }
	// StoreDeadLetter asks to store an event that the receiver rejects, so that it does not block the events
	// after it.
	StoreDeadLetter struct {
		Event  UsageEvent
		Reason string
	}
	// Acknowledge reports that every event up to a record was delivered or stored as a dead letter. It has no
	// result.
	Acknowledge struct{ Record uint64 }
	// Wait asks to wait. An idle wait ends early when records become durable.
	Wait struct {
		Duration time.Duration
		Idle     bool
	}
)

func (Fetch) deliveryAction()           {}
func (Post) deliveryAction()            {}
func (StoreDeadLetter) deliveryAction() {}
func (Acknowledge) deliveryAction()     {}
func (Wait) deliveryAction()            {}

// DeliverySettings configures a Delivery.
type DeliverySettings struct {
	After     uint64 // number of the last record that the receiver has acknowledged; 0 if none
	BatchSize int    // maximum number of events in a batch; values below 1 mean 1
	Seed      int64  // seed of the backoff jitter
}

// Delivery decides what is sent to the receiver next. Apart from Acknowledge, it requests one action at a
// time.
type Delivery struct {
	Counts DeliveryCounts // statistics since NewDelivery

	settings       DeliverySettings
	random         *rand.Rand
	processedTo    uint64        // every record up to this one is delivered, a dead letter, or has no event
	acknowledgedTo uint64        // record of the last Acknowledge
	events         []UsageEvent  // fetched but not yet delivered
	fetchedTo      uint64        // last record read by the last Fetch
	batchSize      int           // number of events in the current batch, from the start of events
	backoff        time.Duration // current retry delay without jitter; 0 after a success
}

// DeliveryCounts are statistics for operators. Their JSON keys never change.
type DeliveryCounts struct {
	Sent        uint64        `json:"Sent"`       // events delivered
	Batches     uint64        `json:"Batches"`    // batches sent, including retries
	Retries     uint64        `json:"Again"`      // batches to be sent again after a failure
	DeadLetters uint64        `json:"SetAside"`   // events stored as dead letters
	LastStatus  int           `json:"LastStatus"` // HTTP status of the last response; 0 if there was none
	LastReason  string        `json:"LastWhy"`    // description of the last failure; empty after a success
	Backoff     time.Duration `json:"Backoff"`    // current retry delay; 0 after a success
}

// NewDelivery returns a delivery. Its owner starts it by handling Start.
func NewDelivery(s DeliverySettings) *Delivery {
	s.BatchSize = max(1, s.BatchSize)
	return &Delivery{
		settings:       s,
		random:         rand.New(rand.NewSource(s.Seed)),
		processedTo:    s.After,
		acknowledgedTo: s.After,
	}
}

// Handle processes an event and returns the actions to be carried out in order: an Acknowledge if one is due,
// and one other action, whose result is the next event.
func (d *Delivery) Handle(event DeliveryEvent) []DeliveryAction {
	switch event := event.(type) {
	case Fetched:
		return d.eventsFetched(event)
	case PostResult:
		return d.handleResponse(event)
	case DeadLetterStored:
		if event.Failure != "" {
			d.Counts.LastReason = event.Failure
			// After the wait the event is sent and rejected again, until it can be stored.
			return []DeliveryAction{d.backOff(0)}
		}
		d.Counts.DeadLetters++
		return d.delivered(1)
	}
	if len(d.events) > 0 {
		return []DeliveryAction{d.post()}
	}
	return []DeliveryAction{d.fetch()}
}

// fetch asks for the next events.
func (d *Delivery) fetch() DeliveryAction { return Fetch{d.processedTo, d.settings.BatchSize} }

// post asks to send the current batch.
func (d *Delivery) post() DeliveryAction {
	d.Counts.Batches++
	return Post{d.events[:d.batchSize]}
}

// eventsFetched sends fetched events, or waits if there are none.
func (d *Delivery) eventsFetched(event Fetched) []DeliveryAction {
	if event.Failure != "" {
		d.Counts.LastReason = event.Failure
		return []DeliveryAction{d.backOff(0)}
	}
	d.events, d.fetchedTo = event.Events, event.LastRecord
	d.batchSize = len(event.Events)
	if len(event.Events) > 0 {
		return []DeliveryAction{d.post()}
	}
	wait := Wait{Duration: idlePollInterval, Idle: true}
	d.processedTo = max(d.processedTo, event.LastRecord)
	if d.processedTo-d.acknowledgedTo < idleAckRecords {
		return []DeliveryAction{wait}
	}
	d.acknowledgedTo = d.processedTo
	return []DeliveryAction{Acknowledge{d.processedTo}, wait}
}

// handleResponse continues after a batch according to the response of the receiver.
func (d *Delivery) handleResponse(event PostResult) []DeliveryAction {
	d.Counts.LastStatus, d.Counts.LastReason = event.Status, event.Reason
	switch {
	case event.Status >= 200 && event.Status < 300 && event.BodySent:
		d.Counts.Sent += uint64(d.batchSize)
		return d.delivered(d.batchSize)
	case event.Status == statusBadRequest ||
		event.Status == statusEntityTooLarge ||
		event.Status == statusUnprocessable:
		// The receiver will never accept this batch. Halving it repeatedly isolates the event that causes
		// this.
		if d.batchSize > 1 {
			d.batchSize /= 2
			return []DeliveryAction{d.post()}
		}
		return []DeliveryAction{StoreDeadLetter{d.events[0], event.Reason}}
	}
	d.Counts.Retries++
	return []DeliveryAction{d.backOff(event.RetryAfter)}
}

// delivered acknowledges and removes the first n events and continues with the next ones.
func (d *Delivery) delivered(n int) []DeliveryAction {
	last := d.events[n-1].Record
	d.events = d.events[n:]
	if len(d.events) == 0 {
		last = d.fetchedTo
	}
	d.processedTo, d.acknowledgedTo = last, last
	d.backoff, d.Counts.Backoff = 0, 0
	acknowledge := Acknowledge{last}
	if len(d.events) == 0 {
		return []DeliveryAction{acknowledge, d.fetch()}
	}
	// Most batches contain at most one rejected event, so after a half was accepted the rest is sent as one
	// batch.
	d.batchSize = len(d.events)
	return []DeliveryAction{acknowledge, d.post()}
}

// backOff doubles the retry delay up to maxBackoff and asks to wait for it with jitter, or for retryAfter if
// that is longer. The jitter keeps gateways that lost the same receiver at the same time from retrying at the
// same time.
func (d *Delivery) backOff(retryAfter time.Duration) DeliveryAction {
	d.backoff = min(maxBackoff, max(minBackoff, 2*d.backoff))
	delay := d.backoff/2 + time.Duration(d.random.Int63n(int64(d.backoff/2)))
	d.Counts.Backoff = max(delay, min(retryAfter, maxRetryAfter))
	return Wait{Duration: d.Counts.Backoff}
}
