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

// rig is a writer of a counter with twenty series and a histogram, and its receiver.
type rig struct {
	t     *testing.T
	recv  *metricsreceiver.Receiver
	w     *remotewrite.Writer
	count *prometheus.CounterVec
	hist  prometheus.Histogram
	stop  func()
}

func newRig(t *testing.T, change func(*remotewrite.Options, *metricsreceiver.Fault)) *rig {
	t.Helper()
	recv, err := metricsreceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, recv: recv}
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
	if change != nil {
		change(&o, &fault)
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

// TestProtocols sends counters and native histograms in both protocols, and ends each series with a stale marker.
func TestProtocols(t *testing.T) {
	for _, versionOne := range []bool{false, true} {
		r := newRig(t, func(o *remotewrite.Options, _ *metricsreceiver.Fault) { o.VersionOne = versionOne })
		for i := range 100 {
			r.hist.Observe(float64(i))
		}
		eventually(t, "some rounds are there", func() bool { return len(r.recv.Points(`h_seconds{gateway="1"}`)) > 3 })
		r.count.WithLabelValues("v7").Add(1000)
		r.stop()
		if n := len(r.recv.Names()); n != 21 {
			t.Errorf("%d series: %v", n, r.recv.Names())
		}
		ps := r.recv.Points(`x_total{gateway="1",k="v7"}`)
		if n := len(ps); n < 3 || ps[n-2].Value != 1007 || !remotewrite.IsStale(ps[n-1].Value) {
			t.Errorf("%v: the last value before a stale marker should be 1007", ps)
		}
		h := r.recv.Points(`h_seconds{gateway="1"}`)
		if x := h[len(h)-2]; !x.IsHistogram || x.Count != 100 || x.Sum != 4950 {
			t.Errorf("%+v", x)
		}
		want := map[bool]string{false: "2.0.0", true: "0.1.0"}[versionOne]
		if r.recv.Batches[want] == 0 || len(r.recv.Batches) != 1 || r.recv.OutOfOrder > 0 {
			t.Errorf("%v, %d unsorted", r.recv.Batches, r.recv.OutOfOrder)
		}
	}
}

// A receiver that speaks 1.0 only answers 415 to 2.0, or reads it as an empty message of 1.0 and answers 200.
// TestFallsBack expects that samples are sent in 1.0 then.
func TestFallsBack(t *testing.T) {
	for _, blind := range []bool{false, true} {
		r := newRig(t, func(_ *remotewrite.Options, x *metricsreceiver.Fault) { x.OnlyV1, x.MisreadsV2 = !blind, blind })
		eventually(t, "it is sent in 1.0", func() bool { return r.recv.Sum("x_total") == 190 })
		r.stop()
		if r.recv.Batches["0.1.0"] == 0 || r.recv.Batches["2.0.0"] > 0 {
			t.Errorf("%v", r.recv.Batches)
		}
	}
}

// TestReceiversFaults has a receiver fail in each way for a while. No sample may be lost or come out of order.
func TestReceiversFaults(t *testing.T) {
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
			r := newRig(t, func(_ *remotewrite.Options, x *metricsreceiver.Fault) { *x = fault })
			eventually(t, "it is tried again", func() bool { return r.w.Counts().Retries >= 4 })
			r.recv.SetFault(func(x *metricsreceiver.Fault) { *x = metricsreceiver.Fault{} })
			eventually(t, "all is there", func() bool {
				c := r.w.Counts()
				return c.Sent > 0 && c.Waiting < 50 && r.recv.Sum("x_total") == 190
			})
			r.stop()
			c := r.w.Counts()
			if c.DroppedFull+c.DroppedExpired+c.Rejected > 0 || c.Sent != c.Enqueued {
				t.Errorf("%+v", c)
			}
			// All points of a series are there, each gathering one, in order.
			ps := r.recv.Points(`x_total{gateway="1",k="v3"}`)
			if uint64(len(ps))*21 < c.Enqueued-21 {
				t.Errorf("%d points of a series, %d samples in all", len(ps), c.Enqueued)
			}
			for i := 1; i < len(ps); i++ {
				if ps[i].TimestampMs <= ps[i-1].TimestampMs {
					t.Fatalf("%v", ps)
				}
			}
		})
	}
}

// TestOneBadSeries has the receiver reject the samples of one series: these are given up, and no other; a 413 makes
// batches smaller.
func TestOneBadSeries(t *testing.T) {
	r := newRig(t, func(_ *remotewrite.Options, x *metricsreceiver.Fault) { x.Reject, x.MaxSamples = `k="v13"`, 4 })
	eventually(t, "all others are there", func() bool {
		return r.recv.Sum("x_total") == 190-13 && r.w.Counts().Rejected > 0
	})
	r.stop()
	for _, n := range r.recv.Names() {
		if strings.Contains(n, "v13") {
			t.Error(n)
		}
	}
}

// TestOutage has the receiver fail for long: the newest samples are kept within the bounds, and those dropped are
// counted.
func TestOutage(t *testing.T) {
	r := newRig(t, func(o *remotewrite.Options, x *metricsreceiver.Fault) {
		o.MaxSamples, o.Interval, x.Status = 400, 2*time.Millisecond, 503
	})
	eventually(t, "old ones are dropped", func() bool { return r.w.Counts().DroppedFull > 1000 })
	if c := r.w.Counts(); c.Waiting > 400 {
		t.Errorf("%+v waits", c)
	}
	r.recv.SetFault(func(x *metricsreceiver.Fault) { x.Status = 0 })
	eventually(t, "it comes again", func() bool { return r.recv.Sum("x_total") == 190 })
	r.stop()
	if c := r.w.Counts(); c.Enqueued != c.Sent+c.DroppedFull+uint64(c.Waiting) || r.recv.OutOfOrder > 0 {
		t.Errorf("%+v, %d unsorted", c, r.recv.OutOfOrder)
	}
}

// The wall clock is stepped back, and a receiver rejects samples older than the last. TestClockSteps expects timestamps
// that never go back.
func TestClockSteps(t *testing.T) {
	var off atomic.Int64
	r := newRig(t, func(o *remotewrite.Options, _ *metricsreceiver.Fault) {
		o.Now = func() time.Time { return time.Now().Add(time.Duration(off.Load())) }
	})
	for _, d := range []time.Duration{-time.Hour, time.Minute, -2 * time.Hour} {
		n := len(r.recv.Points(`x_total{gateway="1",k="v3"}`))
		off.Store(int64(d))
		eventually(t, "some more are there", func() bool {
			return len(r.recv.Points(`x_total{gateway="1",k="v3"}`)) > n+2
		})
	}
	r.stop()
	if r.recv.OutOfOrder > 0 {
		t.Errorf("%d samples out of order", r.recv.OutOfOrder)
	}
}

// TestStopWithAFullQueue stops while the receiver fails: Run returns after the time to flush, whatever waits.
func TestStopWithAFullQueue(t *testing.T) {
	recv, err := metricsreceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer recv.Stop()
	recv.SetFault(func(x *metricsreceiver.Fault) { x.Status = 503 })
	reg := prometheus.NewRegistry()
	reg.MustRegister(prometheus.NewGauge(prometheus.GaugeOpts{Name: "g", Help: "g"}))
	w := remotewrite.New(remotewrite.Options{URL: recv.URL(), Interval: time.Millisecond, Timeout: time.Second, Shards: 1,
		MaxSamples: 100, BatchSize: 10, Gatherer: reg, Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx, 50*time.Millisecond); close(done) }()
	eventually(t, "the queue is full", func() bool { return w.Counts().DroppedFull > 0 })
	cancel()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("it does not end")
	}
}

// FuzzDecode decodes any message.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x0a, 0x02, 0x0a, 0x00})
	f.Fuzz(func(_ *testing.T, b []byte) {
		remotewrite.DecodeV1(b)
		remotewrite.DecodeV2(b)
	})
}
