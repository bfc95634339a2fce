package metrics

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	dto "github.com/prometheus/client_model/go"
)

// newFullSet returns a set whose view contains every metric that may be absent.
func newFullSet() *Set {
	return New(Options{Classes: []string{"look"}, Plans: []string{"p"}, MaxMembers: 3}, func() View {
		return View{
			Servers:            map[string]int{"cold": 1},
			Datagrams:          map[string]int64{"sent": 1},
			FrontendRejections: map[string]int64{"silent": 1},
			Plans:              map[string]PlanTotals{"p": {1, 2, 0.5}},
			Usage:              &UsageBacklog{Records: 1},
			RemoteWriteSamples: map[string]float64{"sent": 1},
		}
	})
}

var servedRequest = Request{Class: "look", Plan: "p", Member: "m", Outcome: "served", Units: 2,
	Duration: time.Second, AttemptDuration: time.Millisecond}

// gather returns all metric families of a set by name.
func gather(t *testing.T, s *Set) map[string]*dto.MetricFamily {
	t.Helper()
	families, err := s.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]*dto.MetricFamily{}
	for _, f := range families {
		out[f.GetName()] = f
	}
	return out
}

// Names, units and help texts that break the conventions of Prometheus confuse operators and tools. The test
// checks all metrics with the Prometheus linter, and that the linter does find a bad name.
func TestMetricsPassPromlint(t *testing.T) {
	s := newFullSet()
	s.RequestEnded(servedRequest)
	s.RequestEnded(Request{Class: "look", Plan: "p", Member: "m", Outcome: "refused", Reason: "shed"})
	s.AttemptEnded("look", "ok", time.Second)
	s.RetrySent("error")
	s.LoopTurn(time.Millisecond)
	s.GrantMessage("a...", "out")
	var families []*dto.MetricFamily
	n := 0
	for name, f := range gather(t, s) {
		if len(name) > 10 && name[:10] == "winghatch_" {
			families = append(families, f)
			n++
		}
	}
	problems, err := promlint.NewWithMetricFamilies(families).Lint()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range problems {
		t.Errorf("%s: %s", p.Metric, p.Text)
	}
	if n < 30 {
		t.Errorf("got %d metric families, want at least 30", n)
	}
	bad := New(Options{}, func() View { return View{} })
	bad.Registry.MustRegister(counterNamed("winghatch_callsCount"))
	var f []*dto.MetricFamily
	f = append(f, gather(t, bad)["winghatch_callsCount"])
	if p, _ := promlint.NewWithMetricFamilies(f).Lint(); len(p) == 0 {
		t.Error("the linter accepted a bad metric name")
	}
}

// If every member, class and plan had series of its own, clients could exhaust the memory of the gateway and
// of Prometheus. The test counts requests of 50,000 members, classes and plans: the number of series must
// stay small and no unit may be lost.
func TestLabelsAreBounded(t *testing.T) {
	s := newFullSet()
	for i := range 50000 {
		s.RequestEnded(Request{Class: fmt.Sprint("c", i), Plan: fmt.Sprint("p", i),
			Member: fmt.Sprint("m", i), Outcome: "served", Units: 1})
	}
	f := gather(t, s)
	series := 0
	for _, x := range f {
		series += len(x.Metric)
	}
	if series > 150 {
		t.Errorf("got %d series, want at most 150", series)
	}
	if got := f["winghatch_members_left_out"].Metric[0].GetGauge().GetValue(); got != 49997 {
		t.Errorf("got %v members without series of their own, want 49997", got)
	}
	sum := 0.0
	for _, m := range f["winghatch_member_units_total"].Metric {
		sum += m.GetCounter().GetValue()
	}
	if sum != 50000 || len(f["winghatch_member_units_total"].Metric) != 4 {
		t.Errorf("got %v units in %d series, want 50000 in 4", sum,
			len(f["winghatch_member_units_total"].Metric))
	}
}

func counterNamed(name string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name})
}

func BenchmarkRequestEnded(b *testing.B) {
	s := newFullSet()
	for b.Loop() {
		s.RequestEnded(servedRequest)
	}
}
