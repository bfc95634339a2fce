// Package verify evaluates the alert rules with the packages of Prometheus against series that the emulated
// metrics receiver recorded in fault scenarios with real gateways. It is a separate module, so that the
// program does not depend on Prometheus.
//
//	cd alerts/verify && go test ./...
//
// testdata contains the files series.jsonl that `winghatch scenario alert-... --record DIR` writes,
// compressed with gzip. Scenarios are short, so their time is stretched by a factor of 30. This corresponds
// to one sample every 15 s in a scenario of half an hour.
package verify

import (
	"bufio"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/url"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/model"
	"github.com/prometheus/prometheus/model/histogram"
	"github.com/prometheus/prometheus/model/labels"
	"github.com/prometheus/prometheus/model/rulefmt"
	writev2 "github.com/prometheus/prometheus/prompb/io/prometheus/write/v2"
	"github.com/prometheus/prometheus/promql"
	"github.com/prometheus/prometheus/promql/parser"
	"github.com/prometheus/prometheus/rules"
	"github.com/prometheus/prometheus/storage"
	"github.com/prometheus/prometheus/util/teststorage"
)

const (
	stretch = 30               // factor on the times of a recording
	step    = 15 * time.Second // time between two evaluations of the rules
)

// origin is the time of the first point of a recording.
var origin = time.Unix(1_700_000_000, 0)

// recordedSeries is one series of a recording, in the format of metricsreceiver.StoredSeries.
type recordedSeries struct {
	Labels map[string]string `json:"labels"`
	At     []int64           `json:"t"` // Unix times in milliseconds
	V      []string          `json:"v"` // values; empty for native histograms
	H      [][]byte          `json:"h"` // each an encoded io.prometheus.write.v2.Histogram
}

// point is one sample of a series.
type point struct {
	at int64 // milliseconds since the start of the recording, stretched
	l  labels.Labels
	v  float64
	h  *histogram.Histogram // nil for a plain value
}

// load reads a recording. It returns its points in order of their stretched times, and its stretched length.
func load(t *testing.T, file string) (points []point, length time.Duration) {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	z, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	first := int64(math.MaxInt64)
	in := bufio.NewScanner(z)
	in.Buffer(nil, 64<<20)
	for in.Scan() {
		var r recordedSeries
		if err := json.Unmarshal(in.Bytes(), &r); err != nil {
			t.Fatal(err)
		}
		l := labels.FromMap(r.Labels)
		for i, at := range r.At {
			p := point{at: at, l: l}
			if len(r.H) > 0 {
				var h writev2.Histogram
				if err := h.Unmarshal(r.H[i]); err != nil {
					t.Fatal(err)
				}
				p.h = h.ToIntHistogram()
			} else if p.v, err = strconv.ParseFloat(r.V[i], 64); err != nil {
				t.Fatal(err)
			}
			first = min(first, at)
			points = append(points, p)
		}
	}
	if err := in.Err(); err != nil {
		t.Fatal(err)
	}
	last := int64(0)
	for i := range points {
		points[i].at = (points[i].at - first) * stretch
		last = max(last, points[i].at)
	}
	sort.SliceStable(points, func(i, j int) bool { return points[i].at < points[j].at })
	return points, time.Duration(last) * time.Millisecond
}

// firings holds the times at which each alert was firing, by its name. Times are stretched and count from the
// start of the recording.
type firings map[string][]time.Duration

// evaluate appends a recording to a storage step by step and evaluates all rules at each step, like
// Prometheus.
func evaluate(t *testing.T, points []point, length time.Duration, groups *rulefmt.RuleGroups) firings {
	t.Helper()
	ctx := context.Background()
	store := teststorage.New(t)
	p := parser.NewParser(parser.Options{})
	engine := promql.NewEngine(promql.EngineOpts{MaxSamples: 50_000_000, Timeout: time.Minute, Parser: p,
		NoStepSubqueryIntervalFn: func(int64) int64 { return step.Milliseconds() }})
	query := rules.EngineQueryFunc(engine, store)
	type rule struct {
		name   string
		alert  *rules.AlertingRule
		record *rules.RecordingRule
	}
	var all []rule
	for _, g := range groups.Groups {
		for _, r := range g.Rules {
			expr, err := p.ParseExpr(r.Expr)
			if err != nil {
				t.Fatal(err)
			}
			if r.Record != "" {
				all = append(all, rule{name: r.Record,
					record: rules.NewRecordingRule(r.Record, expr, labels.FromMap(r.Labels))})
				continue
			}
			all = append(all, rule{name: r.Alert, alert: rules.NewAlertingRule(r.Alert, expr,
				time.Duration(r.For), time.Duration(r.KeepFiringFor), labels.FromMap(r.Labels),
				labels.FromMap(r.Annotations), labels.EmptyLabels(), "", true,
				slog.New(slog.DiscardHandler))})
		}
	}
	out := firings{}
	next := 0
	for at := time.Duration(0); at <= length; at += step {
		app := store.Appender(ctx)
		for ; next < len(points) && points[next].at <= at.Milliseconds(); next++ {
			x := points[next]
			appendPoint(t, app, x.l, origin.UnixMilli()+x.at, x.v, x.h)
		}
		if err := app.Commit(); err != nil {
			t.Fatal(err)
		}
		now := origin.Add(at)
		for _, r := range all {
			if r.record != nil {
				vec, err := r.record.Eval(ctx, 0, now, query, nil, 0)
				if err != nil {
					t.Fatalf("%s: %v", r.name, err)
				}
				app := store.Appender(ctx)
				for _, s := range vec {
					appendPoint(t, app, s.Metric, now.UnixMilli(), s.F, nil)
				}
				if err := app.Commit(); err != nil {
					t.Fatal(err)
				}
				continue
			}
			if _, err := r.alert.Eval(ctx, 0, now, query, &url.URL{}, 0); err != nil {
				t.Fatalf("%s: %v", r.name, err)
			}
			for _, a := range r.alert.ActiveAlerts() {
				if a.State == rules.StateFiring {
					out[r.name] = append(out[r.name], at)
					break
				}
			}
		}
	}
	return out
}

// appendPoint appends a sample to the storage: a histogram if h is not nil, else the value v. at is a Unix
// time in milliseconds.
func appendPoint(t *testing.T, app storage.Appender, l labels.Labels, at int64, v float64,
	h *histogram.Histogram) {
	t.Helper()
	var err error
	if h != nil {
		_, err = app.AppendHistogram(0, l, at, h, nil)
	} else {
		_, err = app.Append(0, l, at, v)
	}
	if err != nil {
		t.Fatalf("append %s at %d: %v", l, at, err)
	}
}

// ruleGroups returns the rules in winghatch.rules.yml.
func ruleGroups(t *testing.T) *rulefmt.RuleGroups {
	t.Helper()
	g, errs := rulefmt.ParseFile(filepath.Join("..", "winghatch.rules.yml"), false, model.UTF8Validation,
		parser.NewParser(parser.Options{}), slog.New(slog.DiscardHandler))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	return g
}

// TestAlerts guards against rules that miss a fault, fire too late, or fire without a fault. For each
// recording it checks that the expected alerts fire within the documented time after the start of the fault,
// and that no alert fires in the recording without a fault.
func TestAlerts(t *testing.T) {
	groups := ruleGroups(t)
	for _, c := range []struct {
		recording string        // name of the recording, testdata/alert-NAME.jsonl.gz
		from      time.Duration // start of the fault, in unstretched time
		within    time.Duration // documented in docs/alerts.md, in stretched time
		alerts    []string
	}{
		{"quiet", 0, 0, nil},
		{"quota", 12 * time.Second, 10 * time.Minute, []string{"WinghatchQuotaExhausted"}},
		{"late", 12 * time.Second, 15 * time.Minute,
			[]string{"WinghatchLateFast", "WinghatchRefusalsWithRoom"}},
		{"ejected", 12 * time.Second, 10 * time.Minute, []string{"WinghatchNodesEjected"}},
		{"export", 12 * time.Second, 12 * time.Minute, []string{"WinghatchExportOwed"}},
		{"silent", 15 * time.Second, 10 * time.Minute, []string{"WinghatchGatewaySilent"}},
		{"remote", 10 * time.Second, 25 * time.Minute, []string{"WinghatchRemoteWriteBehind"}},
	} {
		t.Run(c.recording, func(t *testing.T) {
			points, length := load(t, filepath.Join("testdata", "alert-"+c.recording+".jsonl.gz"))
			got := evaluate(t, points, length, groups)
			var names []string
			for n, at := range got {
				names = append(names, fmt.Sprintf("%s from %v, %d steps", n, at[0], len(at)))
			}
			sort.Strings(names)
			t.Logf("%v long, %d points; fired: %s", length, len(points), strings.Join(names, "; "))
			if c.alerts == nil && len(got) > 0 {
				t.Errorf("recording without a fault: alerts fire: %v", names)
			}
			for _, a := range c.alerts {
				at := got[a]
				start := c.from * stretch
				if len(at) == 0 {
					t.Errorf("%s does not fire", a)
				} else if at[0] < start || at[0] > start+c.within {
					t.Errorf("%s fires at %v, want it within %v after the fault at %v",
						a, at[0], c.within, start)
				}
			}
		})
	}
}
