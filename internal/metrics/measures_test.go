package metrics

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	dto "github.com/prometheus/client_model/go"
)

func full() *Set {
	return New(Options{Classes: []string{"look"}, Plans: []string{"p"}, Members: 3}, func() View {
		return View{Nodes: map[string]int{"cold": 1}, Peers: map[string]int64{"sent": 1}, TurnedAway: map[string]int64{"silent": 1},
			Plans: map[string]Plan{"p": {1, 2, 0.5}}, Export: &Export{Records: 1}, Send: map[string]float64{"sent": 1}}
	})
}

func gather(t *testing.T, s *Set) map[string]*dto.MetricFamily {
	t.Helper()
	fams, err := s.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]*dto.MetricFamily{}
	for _, f := range fams {
		out[f.GetName()] = f
	}
	return out
}

// TestLint has names, units and help looked at by Prometheus' own linter.
func TestLint(t *testing.T) {
	s := full()
	s.Final(Call{Class: "look", Plan: "p", Member: "m", Outcome: "served", Units: 2, Took: time.Second, AtNode: time.Millisecond})
	s.Final(Call{Class: "look", Plan: "p", Member: "m", Outcome: "refused", Reason: "shed"})
	s.Attempt("look", "ok", time.Second)
	s.Further("error")
	s.Turn(time.Millisecond)
	s.Word("a...", "out")
	var fams []*dto.MetricFamily
	n := 0
	for name, f := range gather(t, s) {
		if len(name) > 10 && name[:10] == "winghatch_" {
			fams = append(fams, f)
			n++
		}
	}
	problems, err := promlint.NewWithMetricFamilies(fams).Lint()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range problems {
		t.Errorf("%s: %s", p.Metric, p.Text)
	}
	if n < 30 {
		t.Errorf("%d families, want all", n)
	}
	bad := New(Options{}, func() View { return View{} })
	bad.Registry.MustRegister(counterNamed("winghatch_callsCount"))
	var f []*dto.MetricFamily
	f = append(f, gather(t, bad)["winghatch_callsCount"])
	if p, _ := promlint.NewWithMetricFamilies(f).Lint(); len(p) == 0 {
		t.Error("the linter finds nothing in a bad name")
	}
}

// TestLabelsAreBounded sends 50,000 members and as many made-up classes.
func TestLabelsAreBounded(t *testing.T) {
	s := full()
	for i := range 50000 {
		s.Final(Call{Class: fmt.Sprint("c", i), Plan: fmt.Sprint("p", i), Member: fmt.Sprint("m", i), Outcome: "served", Units: 1})
	}
	f := gather(t, s)
	series := 0
	for _, x := range f {
		series += len(x.Metric)
	}
	if series > 150 {
		t.Errorf("%d series", series)
	}
	if got := f["winghatch_members_left_out"].Metric[0].GetGauge().GetValue(); got != 49997 {
		t.Errorf("%v members left out, want 49997", got)
	}
	sum := 0.0
	for _, m := range f["winghatch_member_units_total"].Metric {
		sum += m.GetCounter().GetValue()
	}
	if sum != 50000 || len(f["winghatch_member_units_total"].Metric) != 4 {
		t.Errorf("%v units over %d names, want 50000 over 4", sum, len(f["winghatch_member_units_total"].Metric))
	}
}

func counterNamed(name string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name})
}

func BenchmarkFinal(b *testing.B) {
	s := full()
	c := Call{Class: "look", Plan: "p", Member: "m", Outcome: "served", Units: 2, Took: time.Second, AtNode: time.Millisecond}
	for b.Loop() {
		s.Final(c)
	}
}
