// Package remotewrite sends the metrics of a gateway to a receiver by Prometheus remote write 2.0 or 1.0.
//
// A Writer gathers metrics at an interval and distributes the samples over shards by series. Each shard has
// a goroutine that sends its samples in order. Package queue decides when samples are sent, retried or
// dropped. The message types and the symbol table come from the public client library
// (prometheus/client_golang/exp). Its sender is not used because it retries in the goroutine that calls
// Write.
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
	// URL is the address of the receiver's remote write endpoint.
	URL string
	// Interval is the time between two gatherings. It must be positive.
	Interval time.Duration
	// Timeout limits one request, which sends one batch. Zero means no timeout.
	Timeout time.Duration
	// Shards is the number of shards. Values below 1 mean 1.
	Shards int
	// MaxSamples limits the waiting samples of all shards together. Each shard can hold at least two
	// batches.
	MaxSamples int
	// MaxBytes limits the estimated memory of the waiting samples of all shards together. Zero means no
	// limit.
	MaxBytes int
	// BatchSize is the maximum number of samples in a batch. Values below 1 mean 1.
	BatchSize int
	// MaxAge is the age beyond which waiting samples are dropped. Zero means that they are kept regardless
	// of age.
	MaxAge time.Duration
	// ForceV1 selects remote write 1.0 from the start. Otherwise the writer starts with 2.0 and falls back
	// to 1.0 if the receiver does not support 2.0.
	ForceV1 bool
	// ExternalLabels are added to each series.
	ExternalLabels []Label
	// Gatherer provides the metrics.
	Gatherer prometheus.Gatherer
	// Now returns the wall-clock time. Nil means time.Now.
	Now func() time.Time
	// Log receives errors of the Gatherer and rejections by the receiver. It must not be nil.
	Log *slog.Logger
	// Seed initializes the random numbers for the jitter of the backoff.
	Seed int64
}

// Writer gathers metrics and sends them to a receiver. Counts may be called concurrently with Run.
type Writer struct {
	options       Options
	converter     converter // only used by the goroutine that calls Run
	shards        []*shard
	client        http.Client
	useV1         atomic.Bool // send remote write 1.0, because of ForceV1 or a receiver that lacks 2.0
	closing       atomic.Bool // whether the last samples have been enqueued
	startedAt     time.Time   // origin of the times that are passed to the queues
	lastTimestamp int64       // timestamp of the last samples, in Unix milliseconds
}

// New returns a Writer. It gathers and sends nothing until Run is called.
func New(o Options) *Writer {
	if o.Now == nil {
		o.Now = time.Now
	}
	shards := max(1, o.Shards)
	w := &Writer{options: o, startedAt: time.Now(), client: httppost.NewClient(o.Timeout, shards)}
	w.converter = converter{
		externalLabels: o.ExternalLabels,
		createdAt:      o.Now().UnixMilli(),
		knownSeries:    map[string]*Series{},
	}
	w.useV1.Store(o.ForceV1)
	for i := range shards {
		settings := queue.Settings{
			MaxItems:  o.MaxSamples / shards,
			MaxBytes:  o.MaxBytes / shards,
			BatchSize: o.BatchSize,
			MaxAge:    o.MaxAge,
			Seed:      o.Seed + int64(i),
		}
		w.shards = append(w.shards,
			&shard{writer: w, wake: make(chan struct{}, 1), queue: queue.New(settings)})
	}
	return w
}

// Counts returns the counts of all shards together. Backoff is the longest of all shards.
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

// Run gathers and sends metrics until the context ends. Then it gathers once more, marks all series as
// stale, and sends the waiting samples for at most flushTimeout. It starts the goroutines of the shards;
// all of them have ended when it returns.
func (w *Writer) Run(ctx context.Context, flushTimeout time.Duration) {
	sendCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var shards sync.WaitGroup
	for _, s := range w.shards {
		shards.Go(func() { s.run(sendCtx) })
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
	flushTimer := time.AfterFunc(flushTimeout, stop)
	shards.Wait()
	flushTimer.Stop()
	w.client.CloseIdleConnections()
}

// gather enqueues a sample of each series and, in the last gathering, a stale marker after it. Timestamps
// always increase because a receiver rejects samples that are older than the previous one: while the wall
// clock is not later than the last timestamp, each gathering adds one millisecond to it.
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
	var staleMarkers []*Sample
	for _, s := range w.converter.knownSeries {
		staleMarkers = append(staleMarkers, &Sample{Series: s, Timestamp: at, Value: staleNaN})
	}
	w.enqueue(staleMarkers)
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
