// Package verify evaluates the alert rules with Prometheus' own packages against series that the stand-in receiver recorded
// on real bad days. It is a module of its own, so that the program does not depend on Prometheus.
//
//	cd alerts/verify && go test ./...
//
// testdata holds what `winghatch scenario alert-... --record DIR` left as series.jsonl, packed. Scenarios are short: their time is
// stretched thirtyfold, as if measures came each 15 s and the day lasted half an hour.
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
	stretch = 30
	step    = 15 * time.Second
)

var origin = time.Unix(1_700_000_000, 0)

type recorded struct {
	Labels map[string]string `json:"labels"`
	At     []int64           `json:"t"`
	V      []string          `json:"v"`
	H      [][]byte          `json:"h"`
}

type point struct {
	at int64
	l  labels.Labels
	v  float64
	h  *histogram.Histogram
}

// load reads a recording and returns its points in order of time, stretched, and the day's length.
func load(t *testing.T, file string) (ps []point, length time.Duration) {
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
		var r recorded
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
			ps = append(ps, p)
		}
	}
	if err := in.Err(); err != nil {
		t.Fatal(err)
	}
	last := int64(0)
	for i := range ps {
		ps[i].at = (ps[i].at - first) * stretch
		last = max(last, ps[i].at)
	}
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].at < ps[j].at })
	return ps, time.Duration(last) * time.Millisecond
}

// firings are when each alert was firing, since the day's begin.
type firings map[string][]time.Duration

// evaluate plays a recording into a storage and evaluates all rules at each step, as Prometheus does.
func evaluate(t *testing.T, ps []point, length time.Duration, groups *rulefmt.RuleGroups) firings {
	t.Helper()
	ctx := context.Background()
	st := teststorage.New(t)
	p := parser.NewParser(parser.Options{})
	engine := promql.NewEngine(promql.EngineOpts{MaxSamples: 50_000_000, Timeout: time.Minute, Parser: p,
		NoStepSubqueryIntervalFn: func(int64) int64 { return step.Milliseconds() }})
	query := rules.EngineQueryFunc(engine, st)
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
				all = append(all, rule{name: r.Record, record: rules.NewRecordingRule(r.Record, expr, labels.FromMap(r.Labels))})
				continue
			}
			all = append(all, rule{name: r.Alert, alert: rules.NewAlertingRule(r.Alert, expr, time.Duration(r.For), time.Duration(r.KeepFiringFor),
				labels.FromMap(r.Labels), labels.FromMap(r.Annotations), labels.EmptyLabels(), "", true, slog.New(slog.DiscardHandler))})
		}
	}
	out := firings{}
	next := 0
	for at := time.Duration(0); at <= length; at += step {
		app := st.Appender(ctx)
		for ; next < len(ps) && ps[next].at <= at.Milliseconds(); next++ {
			x := ps[next]
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
				app := st.Appender(ctx)
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

func appendPoint(t *testing.T, app storage.Appender, l labels.Labels, at int64, v float64, h *histogram.Histogram) {
	t.Helper()
	var err error
	if h != nil {
		_, err = app.AppendHistogram(0, l, at, h, nil)
	} else {
		_, err = app.Append(0, l, at, v)
	}
	if err != nil {
		t.Fatalf("%s at %d: %v", l, at, err)
	}
}

func ruleGroups(t *testing.T) *rulefmt.RuleGroups {
	t.Helper()
	g, errs := rulefmt.ParseFile(filepath.Join("..", "winghatch.rules.yml"), false, model.UTF8Validation, parser.NewParser(parser.Options{}), slog.New(slog.DiscardHandler))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	return g
}

// TestAlerts: each alert fires on the day meant for it within its stated time of the trouble, and none on the quiet day.
func TestAlerts(t *testing.T) {
	groups := ruleGroups(t)
	for _, c := range []struct {
		day    string
		from   time.Duration // the trouble's begin, of the day's own time
		within time.Duration // stated in docs/alerts.md, stretched
		alerts []string
	}{
		{"quiet", 0, 0, nil},
		{"quota", 12 * time.Second, 10 * time.Minute, []string{"WinghatchQuotaExhausted"}},
		{"late", 12 * time.Second, 15 * time.Minute, []string{"WinghatchLateFast", "WinghatchRefusalsWithRoom"}},
		{"ejected", 12 * time.Second, 10 * time.Minute, []string{"WinghatchNodesEjected"}},
		{"export", 12 * time.Second, 12 * time.Minute, []string{"WinghatchExportOwed"}},
		{"silent", 15 * time.Second, 10 * time.Minute, []string{"WinghatchGatewaySilent"}},
		{"remote", 10 * time.Second, 25 * time.Minute, []string{"WinghatchRemoteWriteBehind"}},
	} {
		t.Run(c.day, func(t *testing.T) {
			ps, length := load(t, filepath.Join("testdata", "alert-"+c.day+".jsonl.gz"))
			got := evaluate(t, ps, length, groups)
			var names []string
			for n, at := range got {
				names = append(names, fmt.Sprintf("%s from %v, %d steps", n, at[0], len(at)))
			}
			sort.Strings(names)
			t.Logf("%v long, %d points; fired: %s", length, len(ps), strings.Join(names, "; "))
			if c.alerts == nil && len(got) > 0 {
				t.Errorf("a quiet day fires %v", names)
			}
			for _, a := range c.alerts {
				at := got[a]
				start := c.from * stretch
				if len(at) == 0 {
					t.Errorf("%s does not fire", a)
				} else if at[0] < start || at[0] > start+c.within {
					t.Errorf("%s fires at %v, want it within %v of the trouble at %v", a, at[0], c.within, start)
				}
			}
		})
	}
}
