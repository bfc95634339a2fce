// Package remotewrite sends a gateway's metrics by Prometheus remote write, 2.0 and 1.0.
//
// A Writer gathers at an interval and distributes the samples over shards, by series. Each shard has a goroutine that
// sends its samples in order; package queue decides what is sent when, retried or dropped. The messages' types and
// symbol table are those of the public client library (prometheus/client_golang/exp); its sender is not used, as it
// retries in the goroutine that writes.
package remotewrite

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"winghatch/internal/httppost"
	"winghatch/internal/remotewrite/queue"
)

// Options configure a Writer.
type Options struct {
	URL            string
	Interval       time.Duration // between gatherings
	Timeout        time.Duration // of one batch
	Shards         int           // at least 1
	MaxSamples     int           // that wait, all shards together
	MaxBytes       int           // of memory that they take; 0: no bound
	BatchSize      int           // samples
	MaxAge         time.Duration // older samples are dropped; 0: none
	VersionOne     bool          // send remote write 1.0 from the start
	ExternalLabels []Label       // added to each series
	Gatherer       prometheus.Gatherer
	Now            func() time.Time // wall clock; nil: time.Now
	Log            *slog.Logger
	Seed           int64 // of the backoff's jitter
}

// Writer gathers metrics and sends them.
type Writer struct {
	options       Options
	converter     converter // used by the goroutine in Run
	shards        []*shard
	client        http.Client
	versionOne    atomic.Bool // the receiver accepts 1.0 only
	closing       atomic.Bool // nothing more is gathered
	startedAt     time.Time
	lastTimestamp int64 // Unix milliseconds, of the last gathering
}

// New returns a writer. Run starts it.
func New(o Options) *Writer {
	if o.Now == nil {
		o.Now = time.Now
	}
	shards := max(1, o.Shards)
	w := &Writer{options: o, startedAt: time.Now(), client: httppost.Client(o.Timeout, shards)}
	w.converter = converter{
		externalLabels: o.ExternalLabels,
		createdAt:      o.Now().UnixMilli(),
		knownSeries:    map[string]*Series{},
	}
	w.versionOne.Store(o.VersionOne)
	for i := range shards {
		settings := queue.Settings{MaxItems: o.MaxSamples / shards, MaxBytes: o.MaxBytes / shards, BatchSize: o.BatchSize,
			MaxAge: o.MaxAge, Seed: o.Seed + int64(i)}
		w.shards = append(w.shards, &shard{writer: w, wake: make(chan struct{}, 1), queue: queue.New(settings)})
	}
	return w
}

// Counts sums up what became of samples.
func (w *Writer) Counts() (sum queue.Counts) {
	for _, s := range w.shards {
		s.mu.Lock()
		c := s.queue.Counts()
		s.mu.Unlock()
		sum.Enqueued += c.Enqueued
		sum.Sent += c.Sent
		sum.Rejected += c.Rejected
		sum.DroppedFull += c.DroppedFull
		sum.DroppedExpired += c.DroppedExpired
		sum.Retries += c.Retries
		sum.Waiting += c.Waiting
		sum.WaitingBytes += c.WaitingBytes
		sum.Backoff = max(sum.Backoff, c.Backoff)
	}
	return sum
}

// Run gathers and sends until the context ends. Then it gathers once more, marks all series as stale, and sends what
// waits for at most the time of flush. It owns the goroutines of the shards, which have ended when it returns.
func (w *Writer) Run(ctx context.Context, flush time.Duration) {
	sending, stop := context.WithCancel(context.Background())
	defer stop()
	var shards sync.WaitGroup
	for _, s := range w.shards {
		shards.Go(func() { s.run(sending) })
	}
	ticker := time.NewTicker(w.options.Interval)
	defer ticker.Stop()
	w.gather(false)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			w.gather(false)
		}
	}
	w.gather(true)
	w.closing.Store(true)
	for _, s := range w.shards {
		s.notify()
	}
	alarm := time.AfterFunc(flush, stop)
	shards.Wait()
	alarm.Stop()
	w.client.CloseIdleConnections()
}

// gather puts a sample of each series into its shard, and if it is the last gathering a stale marker behind it.
// Timestamps never go back, or the receiver would reject the samples: while the wall clock is behind the last one, each
// gathering adds a millisecond.
func (w *Writer) gather(last bool) {
	families, err := w.options.Gatherer.Gather()
	if err != nil {
		w.options.Log.Error("Failed to gather some metrics", "err", err)
	}
	at := max(w.options.Now().UnixMilli(), w.lastTimestamp+1)
	w.lastTimestamp = at
	w.enqueue(w.converter.convert(families, at))
	if !last {
		return
	}
	at++
	w.lastTimestamp = at
	var stale []*Sample
	for _, s := range w.converter.knownSeries {
		stale = append(stale, &Sample{Series: s, Timestamp: at, Value: staleNaN})
	}
	w.enqueue(stale)
}

// enqueue distributes samples over the shards by their series.
func (w *Writer) enqueue(samples []*Sample) {
	now := time.Since(w.startedAt)
	parts := make([][]queue.Item, len(w.shards))
	for _, s := range samples {
		i := s.Series.hash % uint64(len(parts))
		parts[i] = append(parts[i], queue.Item{EnqueuedAt: now, Bytes: s.memoryBytes(), Data: s})
	}
	for i, s := range w.shards {
		s.mu.Lock()
		s.queue.Enqueue(parts[i])
		s.mu.Unlock()
		s.notify()
	}
}
