package metricsreceiver

import (
	"encoding/json"
	"io"
	"sort"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"winghatch/internal/remotewrite"
)

// maxPoints is the largest number of points kept for a series. When it is reached, the older half is dropped.
const maxPoints = 20000

// Point is one sample of a series.
type Point struct {
	TimestampMs int64   // Unix time in milliseconds
	Value       float64 // 0 for a native histogram

	// The remaining fields are set for a native histogram only.
	Count       uint64  // number of observations
	Sum         float64 // sum of the observations
	IsHistogram bool
	encoded     []byte // an encoded io.prometheus.write.v2.Histogram
}

// StoredSeries is the JSON form of a series that WriteSeries writes. A series has either Values or
// Histograms, with one entry per timestamp.
type StoredSeries struct {
	Labels       map[string]string `json:"labels"`
	TimestampsMs []int64           `json:"t"`           // Unix times in milliseconds
	Values       []string          `json:"v,omitempty"` // decimal numbers
	Histograms   [][]byte          `json:"h,omitempty"` // each an encoded io.prometheus.write.v2.Histogram
}

// WriteSeries writes all series whose name begins with prefix, as one line of JSON each, sorted by name. It
// returns the first error of w.
func (r *Receiver) WriteSeries(w io.Writer, prefix string) error {
	for _, name := range r.Names() {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		raw, err := json.Marshal(r.stored(name))
		if err != nil {
			return err
		}
		if _, err := w.Write(append(raw, '\n')); err != nil {
			return err
		}
	}
	return nil
}

// stored returns a series in its stored form, without staleness markers.
func (r *Receiver) stored(name string) StoredSeries {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := StoredSeries{Labels: r.labels[name]}
	for _, p := range r.series[name] {
		switch {
		case p.IsHistogram:
			s.Histograms = append(s.Histograms, p.encoded)
		case remotewrite.IsStale(p.Value):
			continue
		default:
			s.Values = append(s.Values, strconv.FormatFloat(p.Value, 'g', -1, 64))
		}
		s.TimestampsMs = append(s.TimestampsMs, p.TimestampMs)
	}
	return s
}

// Names returns the names of all series, each as name{label="value",...}, sorted.
func (r *Receiver) Names() (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.series {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Points returns a copy of the points of a series in order of arrival, nil if there is no such series.
func (r *Receiver) Points(name string) []Point {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Point(nil), r.series[name]...)
}

// ExemplarTraces returns the trace ids of all received exemplars.
func (r *Receiver) ExemplarTraces() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.exemplarTraces...)
}

// Sum returns the sum of the last values of all series of a metric that have all the given labels, each
// written as name="value". A native histogram counts with its number of observations. Staleness markers are
// skipped.
func (r *Receiver) Sum(metric string, labels ...string) (sum float64) {
	for _, name := range r.Names() {
		if strings.HasPrefix(name, metric+"{") && containsAll(name, labels) {
			sum += lastValue(r.Points(name))
		}
	}
	return sum
}

func containsAll(name string, labels []string) bool {
	for _, label := range labels {
		if !strings.Contains(name, label) {
			return false
		}
	}
	return true
}

// lastValue returns the last value that is not a staleness marker, 0 if there is none.
func lastValue(points []Point) float64 {
	for i := len(points) - 1; i >= 0; i-- {
		p := points[i]
		if remotewrite.IsStale(p.Value) {
			continue
		}
		if p.IsHistogram {
			return p.Value + float64(p.Count)
		}
		return p.Value
	}
	return 0
}

// add stores a sample. A sample with the same timestamp as the last one of its series is a retry and is not
// stored again. The caller must hold r.mu.
func (r *Receiver) add(name string, s remotewrite.Sample) {
	point := Point{TimestampMs: s.Timestamp, Value: s.Value}
	if s.Histogram != nil {
		point.IsHistogram = true
		point.Count = s.Histogram.GetCountInt()
		point.Sum = s.Histogram.Sum
		point.encoded, _ = proto.Marshal(s.Histogram)
		r.addExemplars(s)
	}
	if r.labels[name] == nil {
		r.labels[name] = labelMap(s.Series)
	}
	points := r.series[name]
	if len(points) > 0 {
		last := points[len(points)-1].TimestampMs
		if s.Timestamp <= last {
			r.OutOfOrder++
		}
		if s.Timestamp == last {
			return // the batch was retried
		}
	}
	if len(points) >= maxPoints {
		points = append(points[:0:0], points[len(points)/2:]...)
	}
	r.series[name] = append(points, point)
}

func (r *Receiver) addExemplars(s remotewrite.Sample) {
	for _, exemplar := range s.Exemplars {
		for _, label := range exemplar.Labels {
			if label.Name == "trace_id" {
				r.exemplarTraces = append(r.exemplarTraces, label.Value)
			}
		}
	}
}

func labelMap(s *remotewrite.Series) map[string]string {
	labels := map[string]string{}
	for _, label := range s.Labels {
		labels[label.Name] = label.Value
	}
	return labels
}

// seriesName returns the name of a series in the form metric{label="value",...}.
func seriesName(s *remotewrite.Series) string {
	metric := ""
	var labels []string
	for _, label := range s.Labels {
		if label.Name == "__name__" {
			metric = label.Value
		} else {
			labels = append(labels, label.Name+`="`+label.Value+`"`)
		}
	}
	return metric + "{" + strings.Join(labels, ",") + "}"
}
