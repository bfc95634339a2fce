package remotewrite_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"winghatch/internal/remotewrite"
	"winghatch/internal/testbed/await"
	"winghatch/internal/testbed/metricsreceiver"
)

var eventually = await.Until

// fixture is a running Writer with its receiver. The metrics are a counter with 20 series and a native
// histogram.
type fixture struct {
	t     *testing.T
	recv  *metricsreceiver.Receiver
	w     *remotewrite.Writer
	count *prometheus.CounterVec
	hist  prometheus.Histogram
	stop  func()
}

// newFixture starts a Writer and a receiver. configure, if not nil, changes the options and the initial
// fault of the receiver.
func newFixture(t *testing.T, configure func(*remotewrite.Options, *metricsreceiver.Fault)) *fixture {
	t.Helper()
	recv, err := metricsreceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{t: t, recv: recv}
	reg := prometheus.NewRegistry()
	r.count = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "x_total", Help: "x"}, []string{"k"})
	r.hist = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "h_seconds", Help: "h", NativeHistogramBucketFactor: 1.1})
	reg.MustRegister(r.count, r.hist)
	for i := range 20 {
		r.count.WithLabelValues(fmt.Sprint("v", i)).Add(float64(i))
	}
	o := remotewrite.Options{
		URL:            recv.URL(),
		Interval:       20 * time.Millisecond,
		Timeout:        300 * time.Millisecond,
		Shards:         2,
		MaxSamples:     2000,
		MaxBytes:       1 << 20,
		BatchSize:      10,
		MaxAge:         time.Hour,
		ExternalLabels: []remotewrite.Label{{Name: "gateway", Value: "1"}},
		Gatherer:       reg,
		Log:            slog.New(slog.DiscardHandler),
	}
	var fault metricsreceiver.Fault
	if configure != nil {
		configure(&o, &fault)
	}
	recv.SetFault(func(x *metricsreceiver.Fault) { *x = fault })
	r.w = remotewrite.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.w.Run(ctx, 5*time.Second); close(done) }()
	stopped := false
	r.stop = func() {
		if !stopped {
			stopped = true
			cancel()
			<-done
		}
	}
	t.Cleanup(func() { r.stop(); recv.Stop() })
	return r
}

// Counters and native histograms must arrive complete in both protocol versions, including the last values
// before the writer stops. Without a final stale marker, a receiver would show the series of a stopped
// gateway for minutes.
func TestBothProtocolVersions(t *testing.T) {
	for _, forceV1 := range []bool{false, true} {
		r := newFixture(t, func(o *remotewrite.Options, _ *metricsreceiver.Fault) {
			o.ForceV1 = forceV1
		})
		for i := range 100 {
			r.hist.Observe(float64(i))
		}
		eventually(t, "several gatherings arrive", func() bool {
			return len(r.recv.Points(`h_seconds{gateway="1"}`)) > 3
		})
		r.count.WithLabelValues("v7").Add(1000)
		r.stop()
		if n := len(r.recv.Names()); n != 21 {
			t.Errorf("%d series, want 21: %v", n, r.recv.Names())
		}
		ps := r.recv.Points(`x_total{gateway="1",k="v7"}`)
		if n := len(ps); n < 3 || ps[n-2].Value != 1007 || !remotewrite.IsStale(ps[n-1].Value) {
			t.Errorf("points %v, want 1007 followed by a stale marker at the end", ps)
		}
		h := r.recv.Points(`h_seconds{gateway="1"}`)
		if x := h[len(h)-2]; !x.IsHistogram || x.Count != 100 || x.Sum != 4950 {
			t.Errorf("got %+v, want a histogram with count 100 and sum 4950", x)
		}
		want := map[bool]string{false: "2.0.0", true: "0.1.0"}[forceV1]
		if r.recv.Batches[want] == 0 || len(r.recv.Batches) != 1 || r.recv.OutOfOrder > 0 {
			t.Errorf("batches by version %v and %d samples out of order, want one version and none",
				r.recv.Batches, r.recv.OutOfOrder)
		}
	}
}

// A receiver that supports only 1.0 responds with 415 to a 2.0 message, or misreads it as an empty 1.0
// message and responds with 200, so that all samples would be lost. In both cases the writer must fall back
// to 1.0.
func TestFallbackToV1(t *testing.T) {
	for _, misreads := range []bool{false, true} {
		r := newFixture(t, func(_ *remotewrite.Options, x *metricsreceiver.Fault) {
			x.OnlyV1, x.MisreadsV2 = !misreads, misreads
		})
		eventually(t, "the samples arrive as 1.0", func() bool { return r.recv.Sum("x_total") == 190 })
		r.stop()
		if r.recv.Batches["0.1.0"] == 0 || r.recv.Batches["2.0.0"] > 0 {
			t.Errorf("accepted batches by version %v, want only 0.1.0", r.recv.Batches)
		}
	}
}

// A receiver that fails temporarily must not cause gaps in the metrics. For each kind of failure, no sample
// may be lost or arrive out of order once the receiver works again.
func TestReceiverFailuresLoseNoSamples(t *testing.T) {
	for name, fault := range map[string]metricsreceiver.Fault{
		"500":      {Status: 500},
		"429":      {Status: 429, RetryAfter: "0"},
		"redirect": {Status: 307},
		"cut":      {DropConnection: true},
		"early":    {RespondEarly: true},
		"slow":     {Delay: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t, func(_ *remotewrite.Options, x *metricsreceiver.Fault) { *x = fault })
			eventually(t, "batches are retried", func() bool { return r.w.Counts().Retries >= 4 })
			r.recv.SetFault(func(x *metricsreceiver.Fault) { *x = metricsreceiver.Fault{} })
			eventually(t, "all series arrive", func() bool {
				c := r.w.Counts()
				return c.Sent > 0 && c.Waiting < 50 && r.recv.Sum("x_total") == 190
			})
			r.stop()
			c := r.w.Counts()
			if c.DroppedFull+c.DroppedExpired+c.Rejected > 0 || c.Sent != c.Enqueued {
				t.Errorf("counts %+v, want all samples sent", c)
			}
			// Each gathering adds one point to each of the 21 series.
			ps := r.recv.Points(`x_total{gateway="1",k="v3"}`)
			if uint64(len(ps))*21 < c.Enqueued-21 {
				t.Errorf("%d points of one of 21 series, but %d samples in total", len(ps), c.Enqueued)
			}
			for i := 1; i < len(ps); i++ {
				if ps[i].TimestampMs <= ps[i-1].TimestampMs {
					t.Fatalf("timestamps are not increasing: %v", ps)
				}
			}
		})
	}
}

// A receiver rejects a whole batch because of one bad sample. Only the samples of the bad series may be
// dropped. The receiver also responds with 413 to batches of more than 4 samples, so the writer must send
// smaller ones.
func TestOnlyBadSeriesIsDropped(t *testing.T) {
	r := newFixture(t, func(_ *remotewrite.Options, x *metricsreceiver.Fault) {
		x.Reject, x.MaxSamples = `k="v13"`, 4
	})
	eventually(t, "all other series arrive", func() bool {
		return r.recv.Sum("x_total") == 190-13 && r.w.Counts().Rejected > 0
	})
	r.stop()
	for _, n := range r.recv.Names() {
		if strings.Contains(n, "v13") {
			t.Errorf("series %s was accepted, want it rejected", n)
		}
	}
}

// During a long outage of the receiver the queue must not grow without limit. The oldest samples must be
// dropped and counted, and the newest must be sent after the outage.
func TestLongOutageDropsOldestSamples(t *testing.T) {
	r := newFixture(t, func(o *remotewrite.Options, x *metricsreceiver.Fault) {
		o.MaxSamples, o.Interval, x.Status = 400, 2*time.Millisecond, 503
	})
	eventually(t, "old samples are dropped", func() bool { return r.w.Counts().DroppedFull > 1000 })
	if c := r.w.Counts(); c.Waiting > 400 {
		t.Errorf("counts %+v, want at most 400 waiting samples", c)
	}
	r.recv.SetFault(func(x *metricsreceiver.Fault) { x.Status = 0 })
	eventually(t, "the newest samples arrive", func() bool { return r.recv.Sum("x_total") == 190 })
	r.stop()
	if c := r.w.Counts(); c.Enqueued != c.Sent+c.DroppedFull+uint64(c.Waiting) || r.recv.OutOfOrder > 0 {
		t.Errorf("counts %+v and %d samples out of order, want consistent counts and none",
			c, r.recv.OutOfOrder)
	}
}

// A receiver rejects samples that are older than the previous sample of their series, which happens when
// the wall clock is set back. Timestamps must increase nevertheless.
func TestTimestampsIncreaseWhenClockIsSetBack(t *testing.T) {
	var offset atomic.Int64
	r := newFixture(t, func(o *remotewrite.Options, _ *metricsreceiver.Fault) {
		o.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	})
	for _, d := range []time.Duration{-time.Hour, time.Minute, -2 * time.Hour} {
		n := len(r.recv.Points(`x_total{gateway="1",k="v3"}`))
		offset.Store(int64(d))
		eventually(t, "more samples arrive", func() bool {
			return len(r.recv.Points(`x_total{gateway="1",k="v3"}`)) > n+2
		})
	}
	r.stop()
	if r.recv.OutOfOrder > 0 {
		t.Errorf("%d samples out of order", r.recv.OutOfOrder)
	}
}

// A receiver that keeps failing must not delay the shutdown of a gateway. Run must return after the flush
// timeout even if samples are still waiting.
func TestRunReturnsWithFullQueue(t *testing.T) {
	recv, err := metricsreceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer recv.Stop()
	recv.SetFault(func(x *metricsreceiver.Fault) { x.Status = 503 })
	reg := prometheus.NewRegistry()
	reg.MustRegister(prometheus.NewGauge(prometheus.GaugeOpts{Name: "g", Help: "g"}))
	w := remotewrite.New(remotewrite.Options{
		URL:        recv.URL(),
		Interval:   time.Millisecond,
		Timeout:    time.Second,
		Shards:     1,
		MaxSamples: 100,
		BatchSize:  10,
		Gatherer:   reg,
		Log:        slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx, 50*time.Millisecond); close(done) }()
	eventually(t, "the queue is full", func() bool { return w.Counts().DroppedFull > 0 })
	cancel()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Run did not return within 20 s")
	}
}

// The decoders must not panic on any message.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x0a, 0x02, 0x0a, 0x00})
	f.Fuzz(func(_ *testing.T, b []byte) {
		remotewrite.DecodeV1(b)
		remotewrite.DecodeV2(b)
	})
}
