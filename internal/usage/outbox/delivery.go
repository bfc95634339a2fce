package outbox

import (
	"math/rand"
	"time"
)

// HTTP statuses by which the receiver says that it will never accept a batch as it is. Any other failure, a wrong
// credential or address too, is retried without end, as no usage may be lost. Decisions do not import net/http.
const (
	statusBadRequest     = 400
	statusEntityTooLarge = 413
	statusUnprocessable  = 422
)

// Delays between attempts to deliver.
const (
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 30 * time.Second
	maxRetryAfter    = 5 * time.Minute // of what a receiver asks for
	idlePollInterval = time.Second     // while there is nothing to send
)

// idleAckRecords is how many records without events bring an acknowledgement. It is itself such a record: one for each
// would bring the next without end.
const idleAckRecords = 10000

// DeliveryEvent is the start, or the answer to the last action.
type DeliveryEvent interface{ deliveryEvent() }

type (
	// Start is the first event.
	Start struct{}
	// Fetched is the answer to Fetch.
	Fetched struct {
		Events     []UsageEvent // in order
		LastRecord uint64       // that was looked at
		Failure    string       // why reading the log failed; empty: it did not
	}
	// PostResult is the answer to Post. A success counts only if BodySent: an answer that came before
	// the whole batch was sent says nothing of the rest.
	PostResult struct {
		Status     int           // of HTTP; 0: no answer
		RetryAfter time.Duration // 0: none was given
		BodySent   bool          // the receiver took the whole body before it answered
		Reason     string        // of what is no success
	}
	// DeadLetterStored is the answer to StoreDeadLetter.
	DeadLetterStored struct{ Failure string } // empty: it is stored
	// WaitEnded is the answer to Wait.
	WaitEnded struct{}
	// RecordsAvailable is the answer to an idle Wait that ended early, as records have become durable.
	RecordsAvailable struct{}
)

func (Start) deliveryEvent()            {}
func (Fetched) deliveryEvent()          {}
func (PostResult) deliveryEvent()       {}
func (DeadLetterStored) deliveryEvent() {}
func (WaitEnded) deliveryEvent()        {}
func (RecordsAvailable) deliveryEvent() {}

// DeliveryAction is something that a delivery asks its owner to do.
type DeliveryAction interface{ deliveryAction() }

type (
	// Fetch asks for the events of durable records behind one.
	Fetch struct {
		After     uint64
		MaxEvents int
	}
	// Post sends events in one batch.
	Post struct{ Events []UsageEvent }
	// StoreDeadLetter keeps an event that the receiver does not accept, so that it does not hold up the others.
	StoreDeadLetter struct {
		Event  UsageEvent
		Reason string
	}
	// Acknowledge reports that the receiver has all up to a record, or they are dead letters. It has no answer.
	Acknowledge struct{ Record uint64 }
	// Wait asks to wait; an idle one ends as soon as records have become durable.
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

// DeliverySettings are what a delivery starts from.
type DeliverySettings struct {
	After     uint64 // the receiver has all records up to this one
	BatchSize int    // events
	Seed      int64  // of the jitter
}

// Delivery decides what goes to the receiver next. One action at a time is under way.
type Delivery struct {
	Counts DeliveryCounts

	settings       DeliverySettings
	random         *rand.Rand
	doneTo         uint64       // all up to this record is delivered, a dead letter, or without an event
	acknowledgedTo uint64       // the last Acknowledge
	events         []UsageEvent // fetched and not delivered
	fetchedTo      uint64       // the last record that was looked at for them
	batchSize      int          // so many of them are in the batch under way
	backoff        time.Duration
}

// DeliveryCounts are for operators. Their JSON keys never change.
type DeliveryCounts struct {
	Sent        uint64        `json:"Sent"` // events
	Batches     uint64        `json:"Batches"`
	Retries     uint64        `json:"Again"`
	DeadLetters uint64        `json:"SetAside"`
	LastStatus  int           `json:"LastStatus"`
	LastReason  string        `json:"LastWhy"` // of the last failure; empty after a success
	Backoff     time.Duration `json:"Backoff"`
}

// NewDelivery returns a delivery whose first event is Start.
func NewDelivery(s DeliverySettings) *Delivery {
	s.BatchSize = max(1, s.BatchSize)
	return &Delivery{
		settings:       s,
		random:         rand.New(rand.NewSource(s.Seed)),
		doneTo:         s.After,
		acknowledgedTo: s.After,
	}
}

// Handle takes an event and returns the one action that has an answer, after an Acknowledge where one is due.
func (d *Delivery) Handle(ev DeliveryEvent) []DeliveryAction {
	switch ev := ev.(type) {
	case Fetched:
		return d.eventsFetched(ev)
	case PostResult:
		return d.handleResponse(ev)
	case DeadLetterStored:
		if ev.Failure != "" {
			d.Counts.LastReason = ev.Failure
			return []DeliveryAction{d.backOff(0)} // then it is posted and rejected again, until it can be stored
		}
		d.Counts.DeadLetters++
		return d.delivered(1)
	}
	if len(d.events) > 0 {
		return []DeliveryAction{d.post()}
	}
	return []DeliveryAction{d.fetch()}
}

func (d *Delivery) fetch() DeliveryAction { return Fetch{d.doneTo, d.settings.BatchSize} }

func (d *Delivery) post() DeliveryAction {
	d.Counts.Batches++
	return Post{d.events[:d.batchSize]}
}

func (d *Delivery) eventsFetched(ev Fetched) []DeliveryAction {
	if ev.Failure != "" {
		d.Counts.LastReason = ev.Failure
		return []DeliveryAction{d.backOff(0)}
	}
	d.events, d.fetchedTo = ev.Events, ev.LastRecord
	d.batchSize = len(ev.Events)
	if len(ev.Events) > 0 {
		return []DeliveryAction{d.post()}
	}
	wait := Wait{Duration: idlePollInterval, Idle: true}
	d.doneTo = max(d.doneTo, ev.LastRecord)
	if d.doneTo-d.acknowledgedTo < idleAckRecords {
		return []DeliveryAction{wait}
	}
	d.acknowledgedTo = d.doneTo
	return []DeliveryAction{Acknowledge{d.doneTo}, wait}
}

func (d *Delivery) handleResponse(ev PostResult) []DeliveryAction {
	d.Counts.LastStatus, d.Counts.LastReason = ev.Status, ev.Reason
	switch {
	case ev.Status >= 200 && ev.Status < 300 && ev.BodySent:
		d.Counts.Sent += uint64(d.batchSize)
		return d.delivered(d.batchSize)
	case ev.Status == statusBadRequest ||
		ev.Status == statusEntityTooLarge ||
		ev.Status == statusUnprocessable:
		// The receiver will never accept this batch. Halving it finds the event that is the cause.
		if d.batchSize > 1 {
			d.batchSize /= 2
			return []DeliveryAction{d.post()}
		}
		return []DeliveryAction{StoreDeadLetter{d.events[0], ev.Reason}}
	}
	d.Counts.Retries++
	return []DeliveryAction{d.backOff(ev.RetryAfter)}
}

// delivered drops the first n events and goes on.
func (d *Delivery) delivered(n int) []DeliveryAction {
	last := d.events[n-1].Record
	d.events = d.events[n:]
	if len(d.events) == 0 {
		last = d.fetchedTo
	}
	d.doneTo, d.acknowledgedTo = last, last
	d.backoff, d.Counts.Backoff = 0, 0
	acknowledge := Acknowledge{last}
	if len(d.events) == 0 {
		return []DeliveryAction{acknowledge, d.fetch()}
	}
	// Most batches have one bad event at most, so after a half that was accepted the rest is sent in one batch.
	d.batchSize = len(d.events)
	return []DeliveryAction{acknowledge, d.post()}
}

// backOff doubles the delay up to its bound. The jitter keeps the gateways that lost one receiver together from
// returning together.
func (d *Delivery) backOff(retryAfter time.Duration) DeliveryAction {
	d.backoff = min(maxBackoff, max(minBackoff, 2*d.backoff))
	delay := d.backoff/2 + time.Duration(d.random.Int63n(int64(d.backoff/2)))
	d.Counts.Backoff = max(delay, min(retryAfter, maxRetryAfter))
	return Wait{Duration: d.Counts.Backoff}
}
