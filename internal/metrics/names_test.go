package metrics

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"winghatch/internal/aggregate"
)

// Dashboards, alerts and stored series refer to the names, types, labels and fixed label values of all
// metrics, so a change would break them. The test compares all of these with testdata/names.txt. A new metric
// is added to that file by hand.
func TestMetricNamesAreStable(t *testing.T) {
	s := New(Options{Classes: []string{"look"}, Plans: []string{"p"}, MaxMembers: 3}, func() View {
		return View{
			Servers:            map[string]int{"cold": 1},
			Datagrams:          map[string]int64{"sent": 1},
			FrontendRejections: map[string]int64{"silent": 1},
			Plans:              map[string]PlanTotals{"p": {}},
			Usage:              &UsageBacklog{Rejecting: true},
			RemoteWriteSamples: map[string]float64{"sent": 1},
			FleetTotals: []aggregate.FleetTotal{
				{Key: aggregate.Key{IsClass: true, Name: "look"}, Primary: true},
				{Key: aggregate.Key{Name: "m"}},
			},
		}
	})
	s.RequestEnded(Request{Class: "look", Plan: "p", Member: "m", Outcome: "served", Duration: time.Second})
	s.RequestEnded(Request{Class: "look", Plan: "p", Member: "m", Outcome: "refused", Reason: "shed"})
	s.AttemptEnded("look", "ok", time.Second)
	s.RetrySent("error")
	for _, kind := range []string{"a", "r", "d", "x"} {
		s.GrantMessage(kind, "out")
	}
	var lines []string
	for name, family := range gather(t, s) {
		if !strings.HasPrefix(name, "winghatch_") {
			continue // metric of the Go runtime or the process
		}
		for _, series := range family.Metric {
			line := name + " " + strings.ToLower(family.GetType().String())
			for _, l := range series.Label {
				line += fmt.Sprintf(" %s=%s", l.GetName(), l.GetValue())
			}
			lines = append(lines, line+"\n")
		}
	}
	slices.Sort(lines)
	want, err := os.ReadFile("testdata/names.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(lines, ""); got != string(want) {
		t.Errorf("got metrics\n%s\nwant\n%s", got, want)
	}
}
