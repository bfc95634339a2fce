// Package sender is the delivery worker of an outbox of usage: it sends events of the outbox log to the usage
// receiver, as CloudEvents 1.0 in JSON batches over HTTP (section 3.3 of the HTTP protocol binding). What is sent,
// sent again, put among the dead letters or acknowledged is decided by outbox.Delivery.
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

// batchType is the media type of a batch.
const batchType = "application/cloudevents-batch+json; charset=UTF-8"

// maxRecordsPerFetch bounds how many records one fetch reads, so that Run sees the end of its context in between. Most
// are intents, which have no event.
const maxRecordsPerFetch = 20000

// Options configure a sender.
type Options struct {
	Log       *wal.Log
	URL       string // of the receiver
	Fleet     string
	Gateway   int           // rank
	After     uint64        // the receiver has all records up to this one
	BatchSize int           // events
	Timeout   time.Duration // of a request
	Seed      int64         // of the jitter of retries

	DeadLetterFile string // of events that the receiver does not accept
	// MaxDeadLetterBytes bounds that file. At the bound nothing more is sent until an operator moves the file away.
	MaxDeadLetterBytes int64

	OnAcknowledged func(record uint64)               // called by the goroutine of Run
	LogError       func(message string, args ...any) // as slog.Logger.Error
	StopWhenIdle   bool                              // Run returns once the receiver has all that is durable
}

// Sender sends the events of one log. All methods may be called by any goroutine, Run by one. It starts no goroutine.
type Sender struct {
	LostRecords atomic.Uint64 // records that the log has lost

	options Options
	client  http.Client
	cursor  *wal.Cursor   // of Run
	wake    chan struct{} // has an element after NotifyRecords

	mu     sync.Mutex
	counts outbox.DeliveryCounts
}

// New returns a sender that Run starts.
func New(o Options) *Sender {
	return &Sender{
		options: o,
		client:  httppost.Client(o.Timeout, 1),
		wake:    make(chan struct{}, 1),
	}
}

// NotifyRecords reports that records have become durable. It never blocks.
func (s *Sender) NotifyRecords() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Counts returns the counts as of the last action.
func (s *Sender) Counts() outbox.DeliveryCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Run sends until ctx ends, or with StopWhenIdle until the receiver has everything.
func (s *Sender) Run(ctx context.Context) {
	o := &s.options
	s.cursor = o.Log.NewCursor(o.After + 1)
	s.cursor.OnGap = func(gap wal.Gap) {
		s.LostRecords.Add(gap.To - gap.From + 1)
		o.LogError("The outbox log has a gap, its records are not exported", "gap", gap.String())
	}
	defer s.cursor.Close()
	defer s.client.CloseIdleConnections()
	delivery := outbox.NewDelivery(outbox.DeliverySettings{After: o.After, BatchSize: o.BatchSize, Seed: o.Seed})
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

// fetch reads durable records. One that is invalid is logged and skipped, so that the others are still sent.
func (s *Sender) fetch(action outbox.Fetch) outbox.DeliveryEvent {
	fetched := outbox.Fetched{LastRecord: action.After}
	for n := 0; n < maxRecordsPerFetch && len(fetched.Events) < action.MaxEvents; n++ {
		r, ok, err := s.cursor.Next()
		if err != nil {
			fetched.Failure = err.Error()
			return fetched
		}
		if !ok {
			break
		}
		event, hasEvent, err := outbox.EncodeEvent(s.options.Fleet, s.options.Gateway, r.Number, r.Payload)
		if err != nil {
			s.options.LogError("Invalid record in the outbox log, not exported", "record", r.Number, "err", err)
		} else if hasEvent {
			fetched.Events = append(fetched.Events, event)
		}
		fetched.LastRecord = r.Number
	}
	return fetched
}

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
