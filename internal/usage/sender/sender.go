// Package sender is the delivery worker of the usage outbox. It sends the events of the outbox log to the
// usage receiver as CloudEvents 1.0 in JSON batches over HTTP (section 3.3 of the HTTP protocol binding). An
// outbox.Delivery decides which events are sent, retried, stored as dead letters or acknowledged.
package sender

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/internal/httppost"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/wal"
)

// batchType is the Content-Type of a batch.
const batchType = "application/cloudevents-batch+json; charset=UTF-8"

// maxRecordsPerFetch limits the number of records that one fetch reads, so that Run notices the end of its
// context in between. Many records, such as intents, have no event, so MaxEvents alone would not limit it.
const maxRecordsPerFetch = 20000

// Options configures a Sender. Log, URL, DeadLetterFile, OnAcknowledged and LogError are required.
type Options struct {
	Log       *wal.Log      // outbox log to read from
	URL       string        // URL of the usage receiver
	Fleet     string        // fleet name in the source of events
	Gateway   int           // rank of the gateway in the source of events
	After     uint64        // number of the last record that the receiver has acknowledged; 0 if none
	BatchSize int           // maximum number of events in a batch; values below 1 mean 1
	Timeout   time.Duration // limit on the duration of a request to the receiver; 0 means no limit
	Seed      int64         // seed of the retry jitter

	DeadLetterFile string // path of the file for events that the receiver rejects
	// MaxDeadLetterBytes limits the size of DeadLetterFile. When the limit is reached, a rejected event is
	// retried, and no event after it is sent, until an operator moves the file away. With 0, no event can be
	// stored as a dead letter.
	MaxDeadLetterBytes int64

	OnAcknowledged func(record uint64)               // called by Run; events up to record are delivered
	LogError       func(message string, args ...any) // logs an error like slog.Logger.Error
	StopWhenIdle   bool                              // Run returns once all durable events are delivered
}

// Sender sends the events of one outbox log. Run may be called only once; the other methods are safe for
// concurrent use. A Sender starts no goroutines.
type Sender struct {
	LostRecords atomic.Uint64 // number of records missing from the log

	options Options
	client  http.Client
	cursor  *wal.Cursor   // used by Run only
	wake    chan struct{} // has capacity 1; NotifyRecords sends to it

	mu     sync.Mutex
	counts outbox.DeliveryCounts
}

// New returns a sender. Call Run to start sending.
func New(o Options) *Sender {
	return &Sender{
		options: o,
		client:  httppost.NewClient(o.Timeout, 1),
		wake:    make(chan struct{}, 1),
	}
}

// NotifyRecords notifies the sender that records have become durable. It never blocks.
func (s *Sender) NotifyRecords() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Counts returns the delivery statistics as of the last event handled.
func (s *Sender) Counts() outbox.DeliveryCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Run sends events until ctx is done or, with Options.StopWhenIdle, until all durable events are delivered.
func (s *Sender) Run(ctx context.Context) {
	o := &s.options
	s.cursor = o.Log.NewCursor(o.After + 1)
	s.cursor.OnGap = func(gap wal.Gap) {
		s.LostRecords.Add(gap.To - gap.From + 1)
		o.LogError("Outbox log has missing records, not exported", "gap", gap.String())
	}
	defer s.cursor.Close()
	defer s.client.CloseIdleConnections()
	delivery := outbox.NewDelivery(
		outbox.DeliverySettings{After: o.After, BatchSize: o.BatchSize, Seed: o.Seed})
	var next outbox.DeliveryEvent = outbox.Start{}
	for ctx.Err() == nil {
		actions := delivery.Handle(next)
		s.mu.Lock()
		s.counts = delivery.Counts
		s.mu.Unlock()
		for _, action := range actions {
			switch action := action.(type) {
			case outbox.Acknowledge:
				o.OnAcknowledged(action.Record)
			case outbox.Fetch:
				next = s.fetch(action)
			case outbox.Post:
				next = s.post(ctx, action.Events)
			case outbox.StoreDeadLetter:
				next = s.storeDeadLetter(action)
			case outbox.Wait:
				if action.Idle && o.StopWhenIdle {
					return
				}
				next = s.wait(ctx, action)
			}
		}
	}
}

// fetch reads durable records and encodes their events. An invalid record is logged and skipped, so that the
// others are still sent.
func (s *Sender) fetch(action outbox.Fetch) outbox.DeliveryEvent {
	fetched := outbox.Fetched{LastRecord: action.After}
	for n := 0; n < maxRecordsPerFetch && len(fetched.Events) < action.MaxEvents; n++ {
		record, ok, err := s.cursor.Next()
		if err != nil {
			fetched.Failure = err.Error()
			return fetched
		}
		if !ok {
			break
		}
		event, hasEvent, err := outbox.EncodeEvent(s.options.Fleet, s.options.Gateway, record.Number,
			record.Payload)
		if err != nil {
			s.options.LogError("Outbox log has an invalid record, not exported", "record",
				record.Number, "err", err)
		} else if hasEvent {
			fetched.Events = append(fetched.Events, event)
		}
		fetched.LastRecord = record.Number
	}
	return fetched
}

// post sends a batch and returns the response of the receiver.
func (s *Sender) post(ctx context.Context, events []outbox.UsageEvent) outbox.DeliveryEvent {
	batch := []byte{'['}
	for i, event := range events {
		if i > 0 {
			batch = append(batch, ',')
		}
		batch = append(batch, event.JSON...)
	}
	batch = append(batch, ']')
	header := http.Header{"Content-Type": {batchType}}
	result := httppost.Post(ctx, &s.client, s.options.URL, header, batch)
	return outbox.PostResult{
		Status:     result.Status,
		RetryAfter: result.RetryAfter,
		BodySent:   result.BodySent,
		Reason:     result.Reason,
	}
}

// wait waits for the requested time, until ctx is done or, if the wait is idle, until NotifyRecords is
// called.
func (s *Sender) wait(ctx context.Context, action outbox.Wait) outbox.DeliveryEvent {
	timer := time.NewTimer(action.Duration)
	defer timer.Stop()
	wake := s.wake
	if !action.Idle {
		wake = nil
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
		return outbox.RecordsAvailable{}
	}
	return outbox.WaitEnded{}
}
