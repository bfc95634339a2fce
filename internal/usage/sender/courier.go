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
	Log      *wal.Log
	URL      string
	Fleet    string
	Gateway  int
	Behind   uint64 // last record that the receiver has
	Batch    int
	Timeout  time.Duration
	SetAside string // file that keeps events which the receiver will not take ...
	// ... up to so many bytes; then nothing more is sent until an operator has moved it away.
	SetAsideMost int64
	Seed         int64
	Acked        func(rec uint64) // from the courier's goroutine
	Say          func(text string, args ...any)
	// Empty ends Run as soon as all that is durable is at the receiver.
	Empty bool
}

// Courier is one log's way to the receiver.
type Courier struct {
	o      Options
	more   chan struct{}
	client http.Client
	cursor *wal.Cursor

	mu     sync.Mutex
	counts outbox.ShipCounts
	Lost   atomic.Uint64 // records that the log lost, by their numbers
}

// New returns a courier; Run starts it.
func New(o Options) *Courier {
	c := &Courier{o: o, more: make(chan struct{}, 1)}
	c.client = httppost.Client(o.Timeout, 1)
	return c
}

// More says that records have become durable. It never blocks.
func (c *Courier) More() {
	select {
	case c.more <- struct{}{}:
	default:
	}
}

// Counts are as of the last step.
func (c *Courier) Counts() outbox.ShipCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Run carries until the context ends.
func (c *Courier) Run(ctx context.Context) {
	s := outbox.NewShipper(outbox.ShipSettings{Behind: c.o.Behind, Batch: c.o.Batch, Seed: c.o.Seed})
	c.cursor = c.o.Log.Read(c.o.Behind + 1)
	c.cursor.Lost = func(h wal.Hole) {
		c.Lost.Add(h.To - h.From + 1)
		c.o.Say("the export's log has a hole, these records will not be exported", "hole", h.String())
	}
	defer c.cursor.Close()
	defer c.client.CloseIdleConnections()
	var next outbox.ShipEvent = outbox.Start{}
	for ctx.Err() == nil {
		acts := s.Handle(next)
		c.mu.Lock()
		c.counts = s.Counts
		c.mu.Unlock()
		for _, a := range acts {
			switch a := a.(type) {
			case outbox.Ack:
				c.o.Acked(a.Rec)
			case outbox.Fetch:
				next = c.fetch(a)
			case outbox.Post:
				next = c.post(ctx, a.Events)
			case outbox.SetAside:
				next = c.setAside(a)
			case outbox.Sleep:
				if a.Idle && c.o.Empty {
					return
				}
				next = c.sleep(ctx, a)
			}
		}
	}
}

// fetchMost is how many records are looked at in one go; most are intents, which are no events.
const fetchMost = 20000

func (c *Courier) fetch(a outbox.Fetch) outbox.ShipEvent {
	f := outbox.Fetched{To: a.Behind}
	for n := 0; n < fetchMost && len(f.Events) < a.Most; n++ {
		r, ok, err := c.cursor.Next()
		if err != nil {
			f.Err = err.Error()
			return f
		}
		if !ok {
			break
		}
		ev, isEvent, err := outbox.Encode(c.o.Fleet, c.o.Gateway, r.No, r.Payload)
		if err != nil {
			c.o.Say("a record of the export's log can't be read and is not exported", "record", r.No, "err", err)
		} else if isEvent {
			f.Events = append(f.Events, ev)
		}
		f.To = r.No
	}
	return f
}

func (c *Courier) sleep(ctx context.Context, a outbox.Sleep) outbox.ShipEvent {
	t := time.NewTimer(a.For)
	defer t.Stop()
	more := c.more
	if !a.Idle {
		more = nil
	}
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-more:
		return outbox.More{}
	}
	return outbox.Woken{}
}

func (c *Courier) post(ctx context.Context, evs []outbox.Event) outbox.ShipEvent {
	raw := []byte{'['}
	for i, ev := range evs {
		if i > 0 {
			raw = append(raw, ',')
		}
		raw = append(raw, ev.JSON...)
	}
	res := httppost.Post(ctx, &c.client, c.o.URL, http.Header{"Content-Type": {BatchType}}, append(raw, ']'))
	return outbox.Posted{Status: res.Status, RetryAfter: res.RetryAfter, Whole: res.Whole, Why: res.Why}
}

// setAside keeps an event where an operator finds it, a line each, before it is acknowledged. One that is written and
// whose acknowledgement is lost comes twice; its key tells.
func (c *Courier) setAside(a outbox.SetAside) outbox.ShipEvent {
	f, err := os.OpenFile(c.o.SetAside, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return outbox.Stored{Err: err.Error()}
	}
	info, err := f.Stat()
	if err == nil && info.Size()+int64(len(a.Event.JSON)) >= c.o.SetAsideMost {
		err = fmt.Errorf("%s: %d bytes, %d at most: move it away", c.o.SetAside, info.Size(), c.o.SetAsideMost)
	}
	if err == nil {
		_, err = f.Write(append(a.Event.JSON, '\n'))
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return outbox.Stored{Err: err.Error()}
	}
	c.o.Say("the receiver does not take an event, it is set aside", "file", c.o.SetAside, "record", a.Event.Rec, "why", a.Why)
	return outbox.Stored{}
}
