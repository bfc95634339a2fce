package remotewrite

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	writev2 "github.com/prometheus/client_golang/exp/api/remote/genproto/v2"
	dto "github.com/prometheus/client_model/go"
)

// converter converts gathered metric families to samples. It keeps the series from one gathering to the
// next.
type converter struct {
	externalLabels []Label            // added to each series
	createdAt      int64              // creation time of counters and histograms, in Unix milliseconds
	knownSeries    map[string]*Series // all series seen so far, by seriesKey
}

// convert returns a sample of each metric with the timestamp at, in Unix milliseconds. Classic histograms
// and summaries are sent as their count and sum only.
func (c *converter) convert(families []*dto.MetricFamily, at int64) (out []*Sample) {
	for _, f := range families {
		for _, m := range f.Metric {
			addValue := func(suffix string, kind writev2.Metadata_MetricType, v float64) {
				out = append(out, &Sample{Series: c.series(f, m, suffix, kind), Timestamp: at, Value: v})
			}
			switch f.GetType() {
			case dto.MetricType_COUNTER:
				addValue("", writev2.Metadata_METRIC_TYPE_COUNTER, m.GetCounter().GetValue())
			case dto.MetricType_GAUGE:
				addValue("", writev2.Metadata_METRIC_TYPE_GAUGE, m.GetGauge().GetValue())
			case dto.MetricType_HISTOGRAM:
				h := m.GetHistogram()
				if h.Schema == nil { // a classic histogram, such as those of the Go runtime collector
					addValue("_count", writev2.Metadata_METRIC_TYPE_HISTOGRAM, float64(h.GetSampleCount()))
					addValue("_sum", writev2.Metadata_METRIC_TYPE_HISTOGRAM, h.GetSampleSum())
					continue
				}
				s := c.series(f, m, "", writev2.Metadata_METRIC_TYPE_HISTOGRAM)
				out = append(out, &Sample{Series: s, Timestamp: at, Histogram: convertHistogram(h, at),
					Exemplars: s.newExemplars(h)})
			case dto.MetricType_SUMMARY:
				s := m.GetSummary()
				addValue("_count", writev2.Metadata_METRIC_TYPE_SUMMARY, float64(s.GetSampleCount()))
				addValue("_sum", writev2.Metadata_METRIC_TYPE_SUMMARY, s.GetSampleSum())
			}
		}
	}
	return out
}

// series returns the series of a metric. It returns the same *Series in each gathering.
func (c *converter) series(
	f *dto.MetricFamily, m *dto.Metric, suffix string, kind writev2.Metadata_MetricType,
) *Series {
	name := f.GetName() + suffix
	key := seriesKey(name, m.Label)
	if s := c.knownSeries[key]; s != nil {
		return s
	}
	s := &Series{Type: kind, Help: f.GetHelp(), hash: xxhash.Sum64String(key)}
	s.Labels = append([]Label{{"__name__", name}}, c.externalLabels...)
	if kind != writev2.Metadata_METRIC_TYPE_GAUGE {
		s.CreatedAt = c.createdAt
	}
	for _, l := range m.Label {
		s.Labels = append(s.Labels, Label{l.GetName(), l.GetValue()})
	}
	slices.SortFunc(s.Labels, func(a, b Label) int { return strings.Compare(a.Name, b.Name) })
	c.knownSeries[key] = s
	return s
}

// seriesKey joins a name and labels into a unique key. The separator 0xff never occurs in UTF-8 text.
func seriesKey(name string, labels []*dto.LabelPair) string {
	var key strings.Builder
	key.WriteString(name)
	for _, l := range labels {
		key.WriteString("\xff" + l.GetName() + "\xff" + l.GetValue())
	}
	return key.String()
}

// newExemplars returns the exemplars of a histogram that are newer than those of the previous gathering,
// ordered by time.
func (s *Series) newExemplars(h *dto.Histogram) (out []Exemplar) {
	last := s.lastExemplar
	for _, e := range h.Exemplars {
		at := e.GetTimestamp().AsTime().UnixMilli()
		if at <= s.lastExemplar {
			continue
		}
		x := Exemplar{Value: e.GetValue(), Timestamp: at}
		for _, l := range e.Label {
			x.Labels = append(x.Labels, Label{l.GetName(), l.GetValue()})
		}
		last = max(last, at)
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b Exemplar) int { return cmp.Compare(a.Timestamp, b.Timestamp) })
	s.lastExemplar = last
	return out
}

func convertHistogram(h *dto.Histogram, at int64) *writev2.Histogram {
	return &writev2.Histogram{
		Count:          &writev2.Histogram_CountInt{CountInt: h.GetSampleCount()},
		Sum:            h.GetSampleSum(),
		Schema:         h.GetSchema(),
		ZeroThreshold:  h.GetZeroThreshold(),
		ZeroCount:      &writev2.Histogram_ZeroCountInt{ZeroCountInt: h.GetZeroCount()},
		NegativeSpans:  convertSpans(h.NegativeSpan),
		NegativeDeltas: h.NegativeDelta,
		PositiveSpans:  convertSpans(h.PositiveSpan),
		PositiveDeltas: h.PositiveDelta,
		Timestamp:      at,
	}
}

func convertSpans(in []*dto.BucketSpan) (out []*writev2.BucketSpan) {
	for _, s := range in {
		out = append(out, &writev2.BucketSpan{Offset: s.GetOffset(), Length: s.GetLength()})
	}
	return out
}
