package outbox

import (
	"math/rand"
	"time"
)

// ShipEvent is something that a shipper is told.
type DeliveryEvent interface{ deliveryEvent() }

// ShipAction is something that a shipper wants done.
type DeliveryAction interface{ deliveryAction() }

type (
	// Start is the first event.
	Start struct{}
	// Fetched is the answer to Fetch: events in order; To is the last record that was looked at.
	Fetched struct {
		Events     []Event
		LastRecord uint64
		Failure    string
	}
	// Posted is the answer to Post.
	PostResult struct {
		Status     int           // 0: no answer
		RetryAfter time.Duration // 0: not told
		BodySent   bool          // the whole body was taken before the answer came
		Reason     string
	}
	// Stored is the answer to SetAside.
	DeadLetterStored struct{ Failure string }
	// Woken is the answer to Sleep.
	WaitEnded struct{}
	// More says that records have become durable.
	RecordsAvailable struct{}

	// Fetch asks for what is durable behind a record.
	Fetch struct {
		After     uint64
		MaxEvents int
	}
	// Post sends events in one batch.
	Post struct{ Events []Event }
	// SetAside keeps an event that the receiver will not take, where it does not hold up the others.
	StoreDeadLetter struct {
		Event  Event
		Reason string
	}
	// Ack says that the receiver has all up to a record, or that they are set aside.
	Acknowledge struct{ Record uint64 }
	// Sleep asks for Woken after a time, or, if Idle, for More as soon as there is more.
	Wait struct {
		Duration time.Duration
		Idle     bool
	}
)

func (Start) deliveryEvent()            {}
func (Fetched) deliveryEvent()          {}
func (PostResult) deliveryEvent()       {}
func (DeadLetterStored) deliveryEvent() {}
func (WaitEnded) deliveryEvent()        {}
func (RecordsAvailable) deliveryEvent() {}

func (Fetch) deliveryAction()           {}
func (Post) deliveryAction()            {}
func (StoreDeadLetter) deliveryAction() {}
func (Acknowledge) deliveryAction()     {}
func (Wait) deliveryAction()            {}

const (
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 30 * time.Second
	maxRetryAfter    = 5 * time.Minute // of what a receiver may ask for
	idlePollInterval = time.Second
	idleAckRecords   = 10000 // records that are no events are acknowledged by so many
)

// ShipSettings are what a shipper starts from.
type DeliverySettings struct {
	After     uint64 // last record that the receiver has
	BatchSize int    // events in a batch
	Seed      int64
}

// Shipper decides what goes to the receiver. One action at a time is out: it gets its answer before the next. It is
// not safe for concurrent use.
type Delivery struct {
	settings       DeliverySettings
	random         *rand.Rand
	doneTo         uint64  // done up to there
	acknowledgedTo uint64  // as last told
	fetchedTo      uint64  // the fetched ones end there
	events         []Event // fetched and not done
	batchSize      int     // of them, the first so many are in the next batch
	backoff        time.Duration
	Counts         DeliveryCounts
}

// ShipCounts are for operators.
type DeliveryCounts struct {
	Sent        uint64        `json:"Sent"`
	Batches     uint64        `json:"Batches"`
	Retries     uint64        `json:"Again"`
	DeadLetters uint64        `json:"SetAside"`
	LastStatus  int           `json:"LastStatus"`
	LastReason  string        `json:"LastWhy"`
	Backoff     time.Duration `json:"Backoff"`
}

// NewShipper returns a shipper.
func NewDelivery(s DeliverySettings) *Delivery {
	s.BatchSize = max(1, s.BatchSize)
	return &Delivery{settings: s, random: rand.New(rand.NewSource(s.Seed)), doneTo: s.After, acknowledgedTo: s.After}
}

// Handle takes an event and returns the one thing to be done next, with an Ack before it where one is due.
func (s *Delivery) Handle(ev DeliveryEvent) []DeliveryAction {
	switch e := ev.(type) {
	case Fetched:
		if e.Failure != "" {
			s.Counts.LastReason = e.Failure
			return []DeliveryAction{s.backOff(0)}
		}
		s.events, s.fetchedTo = e.Events, e.LastRecord
		s.batchSize = len(e.Events)
		if len(e.Events) == 0 {
			// Only records that are no events. An acknowledgement is such a record itself: one for each would bring the
			// next, for ever.
			if s.doneTo = max(s.doneTo, e.LastRecord); s.doneTo-s.acknowledgedTo >= idleAckRecords {
				s.acknowledgedTo = s.doneTo
				return []DeliveryAction{Acknowledge{s.doneTo}, Wait{idlePollInterval, true}}
			}
			return []DeliveryAction{Wait{idlePollInterval, true}}
		}
		return []DeliveryAction{s.post()}
	case PostResult:
		return s.handleResponse(e)
	case DeadLetterStored:
		if e.Failure != "" {
			s.Counts.LastReason = e.Failure
			return []DeliveryAction{s.backOff(0)} // it is posted again, and refused again, until it can be kept
		}
		s.Counts.DeadLetters++
		return s.delivered(1)
	}
	if len(s.events) > 0 {
		return []DeliveryAction{s.post()}
	}
	return []DeliveryAction{Fetch{s.doneTo, s.settings.BatchSize}}
}

func (s *Delivery) post() DeliveryAction {
	s.Counts.Batches++
	return Post{s.events[:s.batchSize]}
}

// done takes the first n off and goes on.
func (s *Delivery) delivered(n int) []DeliveryAction {
	last := s.events[n-1].Record
	s.events = s.events[n:]
	if len(s.events) == 0 {
		last = s.fetchedTo
	}
	s.doneTo = last
	s.backoff, s.Counts.Backoff = 0, 0
	s.acknowledgedTo = last
	out := []DeliveryAction{Acknowledge{last}}
	if len(s.events) > 0 {
		// After a half that was taken whole the rest is tried whole: most batches hold one bad event at most.
		s.batchSize = len(s.events)
		return append(out, s.post())
	}
	return append(out, Fetch{s.doneTo, s.settings.BatchSize})
}

func (s *Delivery) handleResponse(e PostResult) []DeliveryAction {
	s.Counts.LastStatus, s.Counts.LastReason = e.Status, e.Reason
	switch {
	case e.Status >= 200 && e.Status < 300 && e.BodySent:
		s.Counts.Sent += uint64(s.batchSize)
		return s.delivered(s.batchSize)
	case e.Status == 400 || e.Status == 413 || e.Status == 422:
		// The receiver will never take this batch. Halves of it find the event that is to blame, which alone is set
		// aside.
		if s.batchSize > 1 {
			s.batchSize /= 2
			return []DeliveryAction{s.post()}
		}
		return []DeliveryAction{StoreDeadLetter{s.events[0], e.Reason}}
	}
	s.Counts.Retries++
	return []DeliveryAction{s.backOff(e.RetryAfter)}
}

// wait backs off, with jitter: many gateways lose one receiver at the same moment.
func (s *Delivery) backOff(retryAfter time.Duration) DeliveryAction {
	s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
	d := s.backoff/2 + time.Duration(s.random.Int63n(int64(s.backoff/2)))
	s.Counts.Backoff = max(d, min(retryAfter, maxRetryAfter))
	return Wait{s.Counts.Backoff, false}
}
