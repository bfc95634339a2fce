package gateway

import (
	"slices"
	"strings"
	"testing"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/testbed/metricsreceiver"
	"winghatch/internal/testbed/tracereceiver"
)

// The trace and span of the client in TestTraces.
const clientTrace, clientSpan = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"

// TestTraces follows a client's trace through a call with a failed attempt, finds the reason of a rejection in its span
// and the trace of a histogram's exemplar, and holds nobody up while the receiver is away.
func TestTraces(t *testing.T) {
	recv, err := tracereceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer recv.Stop()
	meter, err := metricsreceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer meter.Stop()
	g := newTestGateway(t, 2, func(f *config.Fleet) {
		f.Tracing.URL, f.Tracing.Timeout = recv.URL(), time.Second
		f.Tracing.SampleFraction, f.Tracing.MaxPerSecond, f.Tracing.MaxSpans = 0, 100, 2048
		f.Metrics.Enabled, f.Metrics.URL, f.Metrics.Interval = true, meter.URL(), 50*time.Millisecond
	})
	c := g.dial(g.key)
	if n, last := c.serve(20, `{}`); n != 20 { // in time and sampled by nobody, so not exported
		t.Fatal(last)
	}
	g.setErrorShare(1)
	ctx := `{"traceparent":"00-` + clientTrace + `-` + clientSpan + `-01"}`
	c.send(rpcCall("bad", "look", ctx))
	bad := c.read()
	g.setErrorShare(0)
	c.send(rpcCall("good", "look", ctx))
	if s := c.read(); !strings.Contains(s, `"result"`) || strings.Contains(bad, `"result"`) {
		t.Fatal(bad, s)
	}
	poor := g.dial("poor")
	poor.serve(5, `{}`)
	var refused tracereceiver.Span
	eventually(t, "the spans are there", func() bool {
		calls := 0
		for _, s := range recv.Spans() {
			if s.TraceID == clientTrace && s.Name == "look" {
				calls++
			}
			if s.Attrs["winghatch.reason"] == "over_mark" {
				refused = s
			}
		}
		return calls == 2 && refused.TraceID != ""
	})
	checkSpans(t, recv.Spans())
	eventually(t, "an exemplar joins the histogram to the trace", func() bool {
		return slices.Contains(meter.ExemplarTraces(), clientTrace)
	})

	recv.SetStatus(503)
	began := time.Now()
	if n, last := c.serve(50, ctx); n != 50 {
		t.Error(last)
	}
	if took := time.Since(began); took > 20*time.Second {
		t.Errorf("50 calls took %v while the receiver was away", took)
	}
}

// checkSpans looks for a served request of the client's trace, with spans of attempts within its own, and for no
// request that nobody sampled.
func checkSpans(t *testing.T, spans []tracereceiver.Span) {
	t.Helper()
	attempts, good := 0, 0
	byID := map[string]tracereceiver.Span{}
	for _, s := range spans {
		byID[s.ID] = s
	}
	for _, s := range spans {
		if s.TraceID != clientTrace {
			if s.Attrs["winghatch.outcome"] == "served" && s.Name == "look" {
				t.Errorf("a request in time that nobody sampled is exported: %+v", s)
			}
			continue
		}
		switch s.Name {
		case "look":
			if s.ParentID != clientSpan || s.Attrs["winghatch.member"] != "m" {
				t.Errorf("%+v", s)
			}
			if s.Attrs["winghatch.outcome"] == "served" {
				good++
			}
		case "attempt":
			attempts++
			p := byID[s.ParentID]
			if p.Name != "look" || s.Start.Before(p.Start) || s.End.Before(s.Start) ||
				s.Error != (s.Attrs["winghatch.outcome"] != "ok") {
				t.Errorf("%+v under %+v", s, p)
			}
		}
	}
	if good != 1 || attempts < 2 {
		t.Errorf("%d served, %d attempts", good, attempts)
	}
}
