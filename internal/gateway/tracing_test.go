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

// Trace and span of the client in the test of traces.
const clientTrace, clientSpan = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"

// TestTraceExport guards against traces that are incomplete, lost or slow down requests. It follows the trace
// of a client through a request with a failed attempt, and checks the reason of a rejection in its span and
// the trace of an exemplar of a histogram. Requests must not be delayed while the receiver is unavailable.
func TestTraceExport(t *testing.T) {
	receiver, err := tracereceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Stop()
	metricsReceiver, err := metricsreceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer metricsReceiver.Stop()
	g := newTestGateway(t, 2, func(f *config.Fleet) {
		f.Tracing.URL, f.Tracing.Timeout = receiver.URL(), time.Second
		f.Tracing.SampleFraction, f.Tracing.MaxPerSecond, f.Tracing.MaxSpans = 0, 100, 2048
		f.Metrics.Enabled, f.Metrics.URL, f.Metrics.Interval =
			true, metricsReceiver.URL(), 50*time.Millisecond
	})
	c := g.dial(g.key)
	if n, last := c.serve(20, `{}`); n != 20 { // in time and not sampled, so not exported
		t.Fatal(last)
	}
	g.setErrorShare(1)
	params := `{"traceparent":"00-` + clientTrace + `-` + clientSpan + `-01"}`
	c.send(rpcCall("bad", "look", params))
	bad := c.read()
	g.setErrorShare(0)
	c.send(rpcCall("good", "look", params))
	if s := c.read(); !strings.Contains(s, `"result"`) || strings.Contains(bad, `"result"`) {
		t.Fatal(bad, s)
	}
	poor := g.dial("poor")
	poor.serve(5, `{}`)
	var rejected tracereceiver.Span
	eventually(t, "the receiver has the spans", func() bool {
		requests := 0
		for _, s := range receiver.Spans() {
			if s.TraceID == clientTrace && s.Name == "look" {
				requests++
			}
			if s.Attrs["winghatch.reason"] == "over_mark" {
				rejected = s
			}
		}
		return requests == 2 && rejected.TraceID != ""
	})
	checkSpans(t, receiver.Spans())
	eventually(t, "an exemplar of the histogram names the trace", func() bool {
		return slices.Contains(metricsReceiver.ExemplarTraces(), clientTrace)
	})

	receiver.SetStatus(503)
	start := time.Now()
	if n, last := c.serve(50, params); n != 50 {
		t.Error(last)
	}
	if took := time.Since(start); took > 20*time.Second {
		t.Errorf("50 requests took %v while the receiver was unavailable, want at most 20 s", took)
	}
}

// checkSpans checks that there is one served request of the client's trace, that the spans of attempts lie
// within their requests, and that requests which were not sampled are not exported.
func checkSpans(t *testing.T, spans []tracereceiver.Span) {
	t.Helper()
	attempts, served := 0, 0
	byID := map[string]tracereceiver.Span{}
	for _, s := range spans {
		byID[s.ID] = s
	}
	for _, s := range spans {
		if s.TraceID != clientTrace {
			if s.Attrs["winghatch.outcome"] == "served" && s.Name == "look" {
				t.Errorf("request that was in time and not sampled is exported: %+v", s)
			}
			continue
		}
		switch s.Name {
		case "look":
			if s.ParentID != clientSpan || s.Attrs["winghatch.member"] != "m" {
				t.Errorf("span %+v, want the client's span as its parent and member m", s)
			}
			if s.Attrs["winghatch.outcome"] == "served" {
				served++
			}
		case "attempt":
			attempts++
			p := byID[s.ParentID]
			if p.Name != "look" || s.Start.Before(p.Start) || s.End.Before(s.Start) ||
				s.Error != (s.Attrs["winghatch.outcome"] != "ok") {
				t.Errorf("span of attempt %+v does not fit its parent %+v", s, p)
			}
		}
	}
	if served != 1 || attempts < 2 {
		t.Errorf("%d served requests and %d attempts, want 1 and at least 2", served, attempts)
	}
}
