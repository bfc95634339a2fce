package remotewrite

import (
	"math"

	writev2 "github.com/prometheus/client_golang/exp/api/remote/genproto/v2"
)

// Label is a label of a series or an exemplar.
type Label struct{ Name, Value string }

// Series identifies a time series, and describes the metric that it belongs to.
type Series struct {
	// Labels holds all labels sorted by name, including the metric name as __name__.
	Labels []Label
	Type   writev2.Metadata_MetricType
	Help   string
	// CreatedAt is the time at which a counter or histogram started, in Unix milliseconds. Zero means
	// unknown.
	CreatedAt    int64
	hash         uint64 // hash of seriesKey; selects the shard
	lastExemplar int64  // timestamp of the newest exemplar in a sample, in Unix milliseconds
}

// Sample is a value or a native histogram of a series.
type Sample struct {
	Series *Series
	// Timestamp is the time of the sample in Unix milliseconds.
	Timestamp int64
	// Value is the value of the sample. It is not used if Histogram is set.
	Value float64
	// Histogram is a native histogram. Nil means that the sample is a value.
	Histogram *writev2.Histogram
	// Exemplars holds the exemplars that no earlier sample of the series contains. Only native histograms
	// have exemplars.
	Exemplars []Exemplar
}

// Exemplar links an observed value to a trace by its labels.
type Exemplar struct {
	Labels    []Label
	Value     float64
	Timestamp int64 // time of the observation in Unix milliseconds
}

// staleBits is the bit pattern of a Prometheus stale marker, a special NaN.
const staleBits = 0x7ff0000000000002

// staleNaN is the value of a stale marker, which informs the receiver that the series has ended.
var staleNaN = math.Float64frombits(staleBits)

// IsStale reports whether v is the value of a stale marker. Other NaN values are not stale markers.
func IsStale(v float64) bool { return math.Float64bits(v) == staleBits }

// Estimates of memory usage in bytes.
const (
	sampleBytes    = 64  // size of a sample without its histogram
	histogramBytes = 200 // size of a native histogram without its buckets
	bucketBytes    = 16  // size of each span and of each delta of the buckets
)

// memoryBytes returns the estimated memory usage of the sample in bytes.
func (s *Sample) memoryBytes() int {
	n := sampleBytes
	if h := s.Histogram; h != nil {
		buckets := len(h.PositiveSpans) + len(h.PositiveDeltas) + len(h.NegativeSpans) + len(h.NegativeDeltas)
		n += histogramBytes + bucketBytes*buckets
	}
	return n
}
