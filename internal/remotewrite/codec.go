// Package remotewrite sends a gateway's measures by Prometheus remote write, 2.0 and 1.0. What is sent when, again, or given up is
// decided by package sendq. The messages' types and symbol table are the public client library's
// (prometheus/client_golang/exp); its sender is not used, as it retries by itself in the goroutine that writes.
package remotewrite

import (
	"cmp"
	"math"
	"slices"
	"strings"

	writev2 "github.com/prometheus/client_golang/exp/api/remote/genproto/v2"
	dto "github.com/prometheus/client_model/go"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Label is a name and value.
type Label struct{ Name, Value string }

// Series is what samples belong to.
type Series struct {
	Labels       []Label // sorted by name, __name__ among them
	Type         writev2.Metadata_MetricType
	Help         string
	CreatedAt    int64 // Unix ms at which a counter or histogram began; 0: not told
	hash         uint64
	lastExemplar int64 // of the newest exemplar that was taken
}

// Sample is a value or a native histogram of a series.
type Sample struct {
	Series    *Series
	Timestamp int64 // Unix ms
	Value     float64
	Histogram *writev2.Histogram
	Exemplars []Exemplar // newer than the last that was sent
}

// Exemplar joins a value to a trace.
type Exemplar struct {
	Labels    []Label
	Value     float64
	Timestamp int64
}

// StaleNaN marks that a series ends; it is Prometheus' own bit pattern.
var StaleNaN = math.Float64frombits(0x7ff0000000000002)

// IsStale reports the marker.
func IsStale(v float64) bool { return math.Float64bits(v) == 0x7ff0000000000002 }

// size is about what a sample takes in memory, in bytes.
func (s *Sample) memoryBytes() int {
	n := 64
	if s.Histogram != nil {
		n += 200 + 16*(len(s.Histogram.PositiveSpans)+len(s.Histogram.PositiveDeltas)+len(s.Histogram.NegativeSpans)+len(s.Histogram.NegativeDeltas))
	}
	return n
}

// encode2 is a message of remote write 2.0.
func encodeV2(samples []*Sample) ([]byte, error) {
	t := writev2.NewSymbolTable()
	req := &writev2.Request{}
	for _, s := range samples {
		ts := &writev2.TimeSeries{Metadata: &writev2.Metadata{Type: s.Series.Type, HelpRef: t.Symbolize(s.Series.Help)},
			CreatedTimestamp: s.Series.CreatedAt}
		for _, l := range s.Series.Labels {
			ts.LabelsRefs = append(ts.LabelsRefs, t.Symbolize(l.Name), t.Symbolize(l.Value))
		}
		if s.Histogram != nil {
			ts.Histograms = []*writev2.Histogram{s.Histogram}
		} else {
			ts.Samples = []*writev2.Sample{{Value: s.Value, Timestamp: s.Timestamp}}
		}
		for _, e := range s.Exemplars {
			x := &writev2.Exemplar{Value: e.Value, Timestamp: e.Timestamp}
			for _, l := range e.Labels {
				x.LabelsRefs = append(x.LabelsRefs, t.Symbolize(l.Name), t.Symbolize(l.Value))
			}
			ts.Exemplars = append(ts.Exemplars, x)
		}
		req.Timeseries = append(req.Timeseries, ts)
	}
	req.Symbols = t.Symbols()
	return proto.Marshal(req)
}

// Field numbers of remote write 1.0's prometheus.WriteRequest (prompb/remote.proto, types.proto). Samples and native
// histograms have those of 2.0.
const (
	fieldSeries     = 1
	fieldLabels     = 1
	fieldSamples    = 2
	fieldHistograms = 4
	fieldName       = 1
	fieldValue      = 2
)

func appendBytes(b []byte, field protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), v)
}

// encode1 is a message of remote write 1.0.
func encodeV1(samples []*Sample) ([]byte, error) {
	var out, ts, l []byte
	for _, s := range samples {
		ts = ts[:0]
		for _, x := range s.Series.Labels {
			l = appendBytes(appendBytes(l[:0], fieldName, []byte(x.Name)), fieldValue, []byte(x.Value))
			ts = appendBytes(ts, fieldLabels, l)
		}
		var raw []byte
		var err error
		field := protowire.Number(fieldSamples)
		if s.Histogram != nil {
			field = fieldHistograms
			raw, err = proto.Marshal(s.Histogram)
		} else {
			raw, err = proto.Marshal(&writev2.Sample{Value: s.Value, Timestamp: s.Timestamp})
		}
		if err != nil {
			return nil, err
		}
		out = appendBytes(out, fieldSeries, appendBytes(ts, field, raw))
	}
	return out, nil
}

// Decode1 reads a message of remote write 1.0: labels of each series, and its samples or histograms.
func DecodeV1(b []byte) (out []Sample, err error) {
	err = eachField(b, func(field protowire.Number, series []byte) error {
		if field != fieldSeries {
			return nil
		}
		s := &Series{}
		return eachField(series, func(field protowire.Number, v []byte) error {
			switch field {
			case fieldLabels:
				var l Label
				if err := eachField(v, func(f protowire.Number, v []byte) error {
					if f == fieldName {
						l.Name = string(v)
					} else if f == fieldValue {
						l.Value = string(v)
					}
					return nil
				}); err != nil {
					return err
				}
				s.Labels = append(s.Labels, l)
			case fieldSamples:
				var x writev2.Sample
				if err := proto.Unmarshal(v, &x); err != nil {
					return err
				}
				out = append(out, Sample{Series: s, Timestamp: x.Timestamp, Value: x.Value})
			case fieldHistograms:
				h := &writev2.Histogram{}
				if err := proto.Unmarshal(v, h); err != nil {
					return err
				}
				out = append(out, Sample{Series: s, Timestamp: h.Timestamp, Histogram: h})
			}
			return nil
		})
	})
	return out, err
}

// fields calls take for each field of bytes.
func eachField(b []byte, take func(protowire.Number, []byte) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		if kind != protowire.BytesType {
			if n = protowire.ConsumeFieldValue(field, kind, b); n < 0 {
				return protowire.ParseError(n)
			}
			b = b[n:]
			continue
		}
		v, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		if err := take(field, v); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// Decode2 reads a message of remote write 2.0.
func DecodeV2(b []byte) (out []Sample, err error) {
	var req writev2.Request
	if err := proto.Unmarshal(b, &req); err != nil {
		return nil, err
	}
	for _, ts := range req.Timeseries {
		s := &Series{CreatedAt: ts.CreatedTimestamp}
		if ts.Metadata != nil {
			s.Type = ts.Metadata.Type
		}
		for i := 0; i+1 < len(ts.LabelsRefs); i += 2 {
			n, v := int(ts.LabelsRefs[i]), int(ts.LabelsRefs[i+1])
			if n >= len(req.Symbols) || v >= len(req.Symbols) {
				return nil, errUnknownSymbol
			}
			s.Labels = append(s.Labels, Label{req.Symbols[n], req.Symbols[v]})
		}
		var es []Exemplar
		for _, e := range ts.Exemplars {
			x := Exemplar{Value: e.Value, Timestamp: e.Timestamp}
			for i := 0; i+1 < len(e.LabelsRefs); i += 2 {
				n, v := int(e.LabelsRefs[i]), int(e.LabelsRefs[i+1])
				if n >= len(req.Symbols) || v >= len(req.Symbols) {
					return nil, errUnknownSymbol
				}
				x.Labels = append(x.Labels, Label{req.Symbols[n], req.Symbols[v]})
			}
			es = append(es, x)
		}
		for _, x := range ts.Samples {
			out = append(out, Sample{Series: s, Timestamp: x.Timestamp, Value: x.Value})
		}
		for _, h := range ts.Histograms {
			out = append(out, Sample{Series: s, Timestamp: h.Timestamp, Histogram: h, Exemplars: es})
		}
	}
	return out, nil
}

// convert makes the samples of a gathering. Series are kept from one to the next, by a key of their labels.
type converter struct {
	externalLabels []Label // added to each series
	createdAt      int64
	knownSeries    map[string]*Series
}

func (c *converter) convert(fams []*dto.MetricFamily, at int64) (out []*Sample) {
	for _, f := range fams {
		for _, m := range f.Metric {
			switch f.GetType() {
			case dto.MetricType_COUNTER:
				out = append(out, &Sample{Series: c.series(f, m, "", writev2.Metadata_METRIC_TYPE_COUNTER), Timestamp: at, Value: m.GetCounter().GetValue()})
			case dto.MetricType_GAUGE:
				out = append(out, &Sample{Series: c.series(f, m, "", writev2.Metadata_METRIC_TYPE_GAUGE), Timestamp: at, Value: m.GetGauge().GetValue()})
			case dto.MetricType_HISTOGRAM:
				h := m.GetHistogram()
				if h.Schema == nil { // a classic one, as of the Go runtime's collector
					out = append(out, &Sample{Series: c.series(f, m, "_count", writev2.Metadata_METRIC_TYPE_HISTOGRAM), Timestamp: at, Value: float64(h.GetSampleCount())},
						&Sample{Series: c.series(f, m, "_sum", writev2.Metadata_METRIC_TYPE_HISTOGRAM), Timestamp: at, Value: h.GetSampleSum()})
					continue
				}
				s := c.series(f, m, "", writev2.Metadata_METRIC_TYPE_HISTOGRAM)
				out = append(out, &Sample{Series: s, Timestamp: at, Histogram: convertHistogram(h, at), Exemplars: s.exemplars(h)})
			case dto.MetricType_SUMMARY:
				s := m.GetSummary()
				out = append(out, &Sample{Series: c.series(f, m, "_count", writev2.Metadata_METRIC_TYPE_SUMMARY), Timestamp: at, Value: float64(s.GetSampleCount())},
					&Sample{Series: c.series(f, m, "_sum", writev2.Metadata_METRIC_TYPE_SUMMARY), Timestamp: at, Value: s.GetSampleSum()})
			}
		}
	}
	return out
}

func (c *converter) series(f *dto.MetricFamily, m *dto.Metric, suffix string, kind writev2.Metadata_MetricType) *Series {
	var key strings.Builder
	key.WriteString(f.GetName() + suffix)
	for _, l := range m.Label {
		key.WriteString("\xff" + l.GetName() + "\xff" + l.GetValue())
	}
	s := c.knownSeries[key.String()]
	if s != nil {
		return s
	}
	s = &Series{Type: kind, Help: f.GetHelp(), Labels: append([]Label{{"__name__", f.GetName() + suffix}}, c.externalLabels...)}
	if kind != writev2.Metadata_METRIC_TYPE_GAUGE {
		s.CreatedAt = c.createdAt
	}
	for _, l := range m.Label {
		s.Labels = append(s.Labels, Label{l.GetName(), l.GetValue()})
	}
	slices.SortFunc(s.Labels, func(a, b Label) int { return strings.Compare(a.Name, b.Name) })
	s.hash = hashString(key.String())
	c.knownSeries[key.String()] = s
	return s
}

// exemplars are a histogram's that are newer than those of the gathering before.
func (s *Series) exemplars(h *dto.Histogram) (out []Exemplar) {
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
	spans := func(in []*dto.BucketSpan) (out []*writev2.BucketSpan) {
		for _, s := range in {
			out = append(out, &writev2.BucketSpan{Offset: s.GetOffset(), Length: s.GetLength()})
		}
		return out
	}
	return &writev2.Histogram{Count: &writev2.Histogram_CountInt{CountInt: h.GetSampleCount()}, Sum: h.GetSampleSum(), Schema: h.GetSchema(),
		ZeroThreshold: h.GetZeroThreshold(), ZeroCount: &writev2.Histogram_ZeroCountInt{ZeroCountInt: h.GetZeroCount()},
		NegativeSpans: spans(h.NegativeSpan), NegativeDeltas: h.NegativeDelta, PositiveSpans: spans(h.PositiveSpan),
		PositiveDeltas: h.PositiveDelta, Timestamp: at}
}
