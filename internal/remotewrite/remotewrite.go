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

var errSymbol = errors.New("remotewrite: a label's symbol is not in the table")

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }

// Options tell a writer what it sends where.
type Options struct {
	URL     string
	Every   time.Duration
	Timeout time.Duration // of one batch
	Shards  int
	Items   int // samples that wait at most, all shards together
	Bytes   int // of them
	Batch   int // samples
	MaxAge  time.Duration
	Old     bool // speak 1.0 from the start
	Labels  []Label
	Gather  prometheus.Gatherer
	Wall    func() time.Time
	Log     *slog.Logger
	Seed    int64
}

// Writer gathers and sends.
type Writer struct {
	o      Options
	conv   converter
	shards []*shard
	client http.Client
	old    atomic.Bool // the receiver speaks 1.0 only
	ending atomic.Bool // nothing more is gathered
	began  time.Time
	lastAt int64
}

// shard sends the samples of some series, in order.
type shard struct {
	w    *Writer
	mu   sync.Mutex
	q    *queue.Queue
	wake chan struct{}
}

// New returns a writer; Run starts it.
func New(o Options) *Writer {
	if o.Wall == nil {
		o.Wall = time.Now
	}
	w := &Writer{o: o, began: time.Now(), client: httppost.Client(o.Timeout, max(1, o.Shards))}
	w.conv = converter{outer: o.Labels, start: o.Wall().UnixMilli(), known: map[string]*Series{}}
	w.old.Store(o.Old)
	n := max(1, o.Shards)
	for i := range n {
		w.shards = append(w.shards, &shard{w: w, wake: make(chan struct{}, 1), q: queue.New(queue.Settings{Items: o.Items / n, Bytes: o.Bytes / n,
			Batch: o.Batch, MaxAge: o.MaxAge, Seed: o.Seed + int64(i)})})
	}
	return w
}

// Counts sums what became of samples.
func (w *Writer) Counts() (c queue.Counts) {
	for _, s := range w.shards {
		s.mu.Lock()
		x := s.q.Counts()
		s.mu.Unlock()
		c.Put += x.Put
		c.Sent += x.Sent
		c.Rejected += x.Rejected
		c.DroppedFull += x.DroppedFull
		c.DroppedOld += x.DroppedOld
		c.Again += x.Again
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
	tick := time.NewTicker(w.o.Every)
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
	w.ending.Store(true)
	for _, s := range w.shards {
		s.poke()
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
	fams, err := w.o.Gather.Gather()
	if err != nil {
		w.o.Log.Error("some measures can't be gathered", "err", err)
	}
	at := max(w.o.Wall().UnixMilli(), w.lastAt+1)
	w.lastAt = at
	w.put(w.conv.convert(fams, at))
	if last {
		var out []*Sample
		at++
		w.lastAt = at
		for _, s := range w.conv.known {
			out = append(out, &Sample{Series: s, At: at, Value: StaleNaN})
		}
		w.put(out)
	}
}

func (w *Writer) put(samples []*Sample) {
	now := time.Since(w.began)
	parts := make([][]queue.Item, len(w.shards))
	for _, s := range samples {
		i := s.Series.hash % uint64(len(parts))
		parts[i] = append(parts[i], queue.Item{At: now, Size: s.size(), Data: s})
	}
	for i, s := range w.shards {
		s.mu.Lock()
		s.q.Put(parts[i])
		s.mu.Unlock()
		s.poke()
	}
}

// poke makes a shard look at its queue.
func (s *shard) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *shard) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		items := s.q.Next(time.Since(s.w.began))
		batch := make([]*Sample, len(items))
		for i, it := range items {
			batch[i] = it.Data.(*Sample)
		}
		s.mu.Unlock()
		if len(batch) == 0 {
			if s.w.ending.Load() {
				return // all is sent, and nothing more comes
			}
			select {
			case <-ctx.Done():
			case <-s.wake:
			}
			continue
		}
		a, why := s.w.send(ctx, batch)
		s.mu.Lock()
		v, wait := s.q.Answered(a)
		s.mu.Unlock()
		switch v {
		case queue.Older:
			if !s.w.old.Swap(true) {
				s.w.o.Log.Warn("the receiver of measures speaks remote write 1.0 only", "answer", why)
			}
		case queue.Reject:
			s.w.o.Log.Warn("the receiver refuses measures", "answer", why, "samples", len(batch))
		}
		if wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			t.Stop()
			s.mu.Lock()
			s.q.Wake()
			s.mu.Unlock()
		}
	}
}

// Headers of remote write.
const (
	headVersion = "X-Prometheus-Remote-Write-Version"
	headSamples = "X-Prometheus-Remote-Write-Samples-Written"
	headHists   = "X-Prometheus-Remote-Write-Histograms-Written"
	type1       = "application/x-protobuf"
	type2       = "application/x-protobuf;proto=io.prometheus.write.v2.Request"
)

func (w *Writer) send(ctx context.Context, batch []*Sample) (queue.Answer, string) {
	old := w.old.Load()
	encode, form, version := encode2, type2, "2.0.0"
	if old {
		encode, form, version = encode1, type1, "0.1.0"
	}
	raw, err := encode(batch)
	if err != nil {
		return queue.Answer{Status: http.StatusBadRequest}, err.Error() // never sent, and never will be
	}
	res := httppost.Post(ctx, &w.client, w.o.URL, http.Header{"Content-Type": {form}, "Content-Encoding": {"snappy"},
		headVersion: {version}, "User-Agent": {"winghatch"}}, snappy.Encode(nil, raw))
	written := res.Header.Get(headSamples) != "" || res.Header.Get(headHists) != ""
	return queue.Answer{Status: res.Status, Whole: res.Whole, Two: !old, Written: written, RetryAfter: res.RetryAfter}, res.Why
}
