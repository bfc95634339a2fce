package remotewrite

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/golang/snappy"
	"github.com/prometheus/client_golang/prometheus"

	"winghatch/internal/httppost"
	"winghatch/internal/remotewrite/queue"
)

var errUnknownSymbol = errors.New("remotewrite: a label's symbol is not in the table")

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// Options tell a writer what it sends where.
type Options struct {
	URL            string
	Interval       time.Duration
	Timeout        time.Duration // of one batch
	Shards         int
	MaxSamples     int // samples that wait at most, all shards together
	MaxBytes       int // of them
	BatchSize      int // samples
	MaxAge         time.Duration
	VersionOne     bool // speak 1.0 from the start
	ExternalLabels []Label
	Gatherer       prometheus.Gatherer
	Now            func() time.Time
	Log            *slog.Logger
	Seed           int64
}

// Writer gathers and sends.
type Writer struct {
	options       Options
	converter     converter
	shards        []*shard
	client        http.Client
	versionOne    atomic.Bool // the receiver speaks 1.0 only
	closing       atomic.Bool // nothing more is gathered
	startedAt     time.Time
	lastTimestamp int64
}

// shard sends the samples of some series, in order.
type shard struct {
	writer *Writer
	mu     sync.Mutex
	queue  *queue.Queue
	wake   chan struct{}
}

// New returns a writer; Run starts it.
func New(o Options) *Writer {
	if o.Now == nil {
		o.Now = time.Now
	}
	w := &Writer{options: o, startedAt: time.Now(), client: httppost.Client(o.Timeout, max(1, o.Shards))}
	w.converter = converter{externalLabels: o.ExternalLabels, createdAt: o.Now().UnixMilli(), knownSeries: map[string]*Series{}}
	w.versionOne.Store(o.VersionOne)
	n := max(1, o.Shards)
	for i := range n {
		w.shards = append(w.shards, &shard{writer: w, wake: make(chan struct{}, 1), queue: queue.New(queue.Settings{MaxItems: o.MaxSamples / n, MaxBytes: o.MaxBytes / n,
			BatchSize: o.BatchSize, MaxAge: o.MaxAge, Seed: o.Seed + int64(i)})})
	}
	return w
}

// Counts sums what became of samples.
func (w *Writer) Counts() (c queue.Counts) {
	for _, s := range w.shards {
		s.mu.Lock()
		x := s.queue.Counts()
		s.mu.Unlock()
		c.Enqueued += x.Enqueued
		c.Sent += x.Sent
		c.Rejected += x.Rejected
		c.DroppedFull += x.DroppedFull
		c.DroppedExpired += x.DroppedExpired
		c.Retries += x.Retries
		c.Waiting += x.Waiting
		c.WaitingBytes += x.WaitingBytes
		c.Backoff = max(c.Backoff, x.Backoff)
	}
	return c
}

// Run gathers and sends until the context ends. Then it gathers once more, marks all series stale, and sends what waits for
// as long as flush.
func (w *Writer) Run(ctx context.Context, flush time.Duration) {
	sends, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, s := range w.shards {
		wg.Add(1)
		go func() { defer wg.Done(); s.run(sends) }()
	}
	tick := time.NewTicker(w.options.Interval)
	defer tick.Stop()
	w.gather(false)
	for on := true; on; {
		select {
		case <-ctx.Done():
			on = false
		case <-tick.C:
			w.gather(false)
		}
	}
	w.gather(true)
	w.closing.Store(true)
	for _, s := range w.shards {
		s.notify()
	}
	alarm := time.AfterFunc(flush, stop)
	wg.Wait()
	alarm.Stop()
	stop()
	w.client.CloseIdleConnections()
}

// gather puts one sample of each series into its shard. The time of samples never goes back: while the wall clock is
// behind one that was sent, a millisecond is added for each gathering.
func (w *Writer) gather(last bool) {
	fams, err := w.options.Gatherer.Gather()
	if err != nil {
		w.options.Log.Error("some measures can't be gathered", "err", err)
	}
	at := max(w.options.Now().UnixMilli(), w.lastTimestamp+1)
	w.lastTimestamp = at
	w.enqueue(w.converter.convert(fams, at))
	if last {
		var out []*Sample
		at++
		w.lastTimestamp = at
		for _, s := range w.converter.knownSeries {
			out = append(out, &Sample{Series: s, Timestamp: at, Value: StaleNaN})
		}
		w.enqueue(out)
	}
}

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

// poke makes a shard look at its queue.
func (s *shard) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *shard) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		items := s.queue.Next(time.Since(s.writer.startedAt))
		batch := make([]*Sample, len(items))
		for i, it := range items {
			batch[i] = it.Data.(*Sample)
		}
		s.mu.Unlock()
		if len(batch) == 0 {
			if s.writer.closing.Load() {
				return // all is sent, and nothing more comes
			}
			select {
			case <-ctx.Done():
			case <-s.wake:
			}
			continue
		}
		a, why := s.writer.send(ctx, batch)
		s.mu.Lock()
		v, wait := s.queue.HandleResponse(a)
		s.mu.Unlock()
		switch v {
		case queue.Downgrade:
			if !s.writer.versionOne.Swap(true) {
				s.writer.options.Log.Warn("the receiver of measures speaks remote write 1.0 only", "answer", why)
			}
		case queue.Rejected:
			s.writer.options.Log.Warn("the receiver refuses measures", "answer", why, "samples", len(batch))
		}
		if wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			t.Stop()
			s.mu.Lock()
			s.queue.Resume()
			s.mu.Unlock()
		}
	}
}

// Headers of remote write.
const (
	headerVersion           = "X-Prometheus-Remote-Write-Version"
	headerSamplesWritten    = "X-Prometheus-Remote-Write-Samples-Written"
	headerHistogramsWritten = "X-Prometheus-Remote-Write-Histograms-Written"
	contentTypeV1           = "application/x-protobuf"
	contentTypeV2           = "application/x-protobuf;proto=io.prometheus.write.v2.Request"
)

func (w *Writer) send(ctx context.Context, batch []*Sample) (queue.Response, string) {
	old := w.versionOne.Load()
	encode, form, version := encodeV2, contentTypeV2, "2.0.0"
	if old {
		encode, form, version = encodeV1, contentTypeV1, "0.1.0"
	}
	raw, err := encode(batch)
	if err != nil {
		return queue.Response{Status: http.StatusBadRequest}, err.Error() // never sent, and never will be
	}
	res := httppost.Post(ctx, &w.client, w.options.URL, http.Header{"Content-Type": {form}, "Content-Encoding": {"snappy"},
		headerVersion: {version}, "User-Agent": {"winghatch"}}, snappy.Encode(nil, raw))
	written := res.Header.Get(headerSamplesWritten) != "" || res.Header.Get(headerHistogramsWritten) != ""
	return queue.Response{Status: res.Status, BodySent: res.BodySent, VersionTwo: !old, WrittenCounted: written, RetryAfter: res.RetryAfter}, res.Reason
}
