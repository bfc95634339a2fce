package remotewrite

import (
	"math"

	writev2 "github.com/prometheus/client_golang/exp/api/remote/genproto/v2"
)

// Label is a name and a value.
type Label struct{ Name, Value string }

// Series is what samples belong to.
type Series struct {
	Labels       []Label // sorted by name, __name__ among them
	Type         writev2.Metadata_MetricType
	Help         string
	CreatedAt    int64  // Unix milliseconds at which a counter or histogram began; 0: unknown
	hash         uint64 // chooses the shard
	lastExemplar int64  // Unix milliseconds of the newest exemplar that was sent
}

// Sample is a value, or a native histogram, of a series.
type Sample struct {
	Series    *Series
	Timestamp int64 // Unix milliseconds
	Value     float64
	Histogram *writev2.Histogram // nil: Value counts
	Exemplars []Exemplar         // newer than the last that was sent
}

// Exemplar joins a value to a trace.
type Exemplar struct {
	Labels    []Label
	Value     float64
	Timestamp int64 // Unix milliseconds
}

// staleBits is Prometheus' bit pattern of a stale marker.
const staleBits = 0x7ff0000000000002

// staleNaN is the value of a stale marker, which ends a series.
var staleNaN = math.Float64frombits(staleBits)

// IsStale reports whether a value is a stale marker.
func IsStale(v float64) bool { return math.Float64bits(v) == staleBits }

// Estimates of memory, in bytes.
const (
	sampleBytes    = 64
	histogramBytes = 200
	bucketBytes    = 16 // of a span or delta
)

// memoryBytes estimates the memory that a sample takes.
func (s *Sample) memoryBytes() int {
	n := sampleBytes
	if h := s.Histogram; h != nil {
		buckets := len(h.PositiveSpans) + len(h.PositiveDeltas) + len(h.NegativeSpans) + len(h.NegativeDeltas)
		n += histogramBytes + bucketBytes*buckets
	}
	return n
}
