// Package accounting carries what is owed from the export's log to the receiver: CloudEvents 1.0 in JSON batches over
// HTTP (the HTTP protocol binding, section 3.3). When something is sent, tried again, set aside or forgotten is decided
// by package export.
package sender

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/internal/httppost"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/wal"
)

// BatchType is the media type of a batch.
const BatchType = "application/cloudevents-batch+json; charset=UTF-8"

// Options tell a courier what it carries.
type Options struct {
	Log            *wal.Log
	URL            string
	Fleet          string
	Gateway        int
	After          uint64 // last record that the receiver has
	BatchSize      int
	Timeout        time.Duration
	DeadLetterFile string // file that keeps events which the receiver will not take ...
	// ... up to so many bytes; then nothing more is sent until an operator has moved it away.
	MaxDeadLetterBytes int64
	Seed               int64
	OnAcknowledged     func(rec uint64) // from the courier's goroutine
	LogError           func(text string, args ...any)
	// Empty ends Run as soon as all that is durable is at the receiver.
	StopWhenIdle bool
}

// Courier is one log's way to the receiver.
type Sender struct {
	options Options
	wake    chan struct{}
	client  http.Client
	cursor  *wal.Cursor

	mu          sync.Mutex
	counts      outbox.DeliveryCounts
	LostRecords atomic.Uint64 // records that the log lost, by their numbers
}

// New returns a courier; Run starts it.
func New(o Options) *Sender {
	c := &Sender{options: o, wake: make(chan struct{}, 1)}
	c.client = httppost.Client(o.Timeout, 1)
	return c
}

// More says that records have become durable. It never blocks.
func (c *Sender) NotifyRecords() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Counts are as of the last step.
func (c *Sender) Counts() outbox.DeliveryCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Run carries until the context ends.
func (c *Sender) Run(ctx context.Context) {
	s := outbox.NewDelivery(outbox.DeliverySettings{After: c.options.After, BatchSize: c.options.BatchSize, Seed: c.options.Seed})
	c.cursor = c.options.Log.NewCursor(c.options.After + 1)
	c.cursor.OnGap = func(h wal.Gap) {
		c.LostRecords.Add(h.To - h.From + 1)
		c.options.LogError("the export's log has a hole, these records will not be exported", "hole", h.String())
	}
	defer c.cursor.Close()
	defer c.client.CloseIdleConnections()
	var next outbox.DeliveryEvent = outbox.Start{}
	for ctx.Err() == nil {
		acts := s.Handle(next)
		c.mu.Lock()
		c.counts = s.Counts
		c.mu.Unlock()
		for _, a := range acts {
			switch a := a.(type) {
			case outbox.Acknowledge:
				c.options.OnAcknowledged(a.Record)
			case outbox.Fetch:
				next = c.fetch(a)
			case outbox.Post:
				next = c.post(ctx, a.Events)
			case outbox.StoreDeadLetter:
				next = c.storeDeadLetter(a)
			case outbox.Wait:
				if a.Idle && c.options.StopWhenIdle {
					return
				}
				next = c.wait(ctx, a)
			}
		}
	}
}

// fetchMost is how many records are looked at in one go; most are intents, which are no events.
const maxRecordsPerFetch = 20000

func (c *Sender) fetch(a outbox.Fetch) outbox.DeliveryEvent {
	f := outbox.Fetched{LastRecord: a.After}
	for n := 0; n < maxRecordsPerFetch && len(f.Events) < a.MaxEvents; n++ {
		r, ok, err := c.cursor.Next()
		if err != nil {
			f.Failure = err.Error()
			return f
		}
		if !ok {
			break
		}
		ev, isEvent, err := outbox.EncodeEvent(c.options.Fleet, c.options.Gateway, r.Number, r.Payload)
		if err != nil {
			c.options.LogError("a record of the export's log can't be read and is not exported", "record", r.Number, "err", err)
		} else if isEvent {
			f.Events = append(f.Events, ev)
		}
		f.LastRecord = r.Number
	}
	return f
}

func (c *Sender) wait(ctx context.Context, a outbox.Wait) outbox.DeliveryEvent {
	t := time.NewTimer(a.Duration)
	defer t.Stop()
	more := c.wake
	if !a.Idle {
		more = nil
	}
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-more:
		return outbox.RecordsAvailable{}
	}
	return outbox.WaitEnded{}
}

func (c *Sender) post(ctx context.Context, evs []outbox.UsageEvent) outbox.DeliveryEvent {
	raw := []byte{'['}
	for i, ev := range evs {
		if i > 0 {
			raw = append(raw, ',')
		}
		raw = append(raw, ev.JSON...)
	}
	res := httppost.Post(ctx, &c.client, c.options.URL, http.Header{"Content-Type": {BatchType}}, append(raw, ']'))
	return outbox.PostResult{Status: res.Status, RetryAfter: res.RetryAfter, BodySent: res.BodySent, Reason: res.Reason}
}

// setAside keeps an event where an operator finds it, a line each, before it is acknowledged. One that is written and
// whose acknowledgement is lost comes twice; its key tells.
func (c *Sender) storeDeadLetter(a outbox.StoreDeadLetter) outbox.DeliveryEvent {
	f, err := os.OpenFile(c.options.DeadLetterFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return outbox.DeadLetterStored{Failure: err.Error()}
	}
	info, err := f.Stat()
	if err == nil && info.Size()+int64(len(a.Event.JSON)) >= c.options.MaxDeadLetterBytes {
		err = fmt.Errorf("%s: %d bytes, %d at most: move it away", c.options.DeadLetterFile, info.Size(), c.options.MaxDeadLetterBytes)
	}
	if err == nil {
		_, err = f.Write(append(a.Event.JSON, '\n'))
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return outbox.DeadLetterStored{Failure: err.Error()}
	}
	c.options.LogError("the receiver does not take an event, it is set aside", "file", c.options.DeadLetterFile, "record", a.Event.Record, "why", a.Reason)
	return outbox.DeadLetterStored{}
}
