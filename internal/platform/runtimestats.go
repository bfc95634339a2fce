package platform

import (
	"math"
	"runtime/metrics"
	"time"
)

// Metrics of the Go runtime (package runtime/metrics).
const (
	schedulerLatencyMetric = "/sched/latencies:seconds"       // time that runnable goroutines waited to run
	mutexWaitMetric        = "/sync/mutex/wait/total:seconds" // total time that goroutines waited for locks
	schedulerQuantile      = 0.99                             // quantile of these waits that is logged
)

// runtimeStats measures between two calls of next how long goroutines waited. It is not safe for concurrent
// use.
type runtimeStats struct {
	samples   []metrics.Sample
	latencies []uint64 // counts of the scheduler's histogram at the last call of next
	mutexWait float64  // seconds, at the last call of next
}

// newRuntimeStats returns statistics that begin with the call.
func newRuntimeStats() *runtimeStats {
	s := &runtimeStats{samples: []metrics.Sample{{Name: schedulerLatencyMetric}, {Name: mutexWaitMetric}}}
	s.next()
	return s
}

// runtimeInterval holds how long goroutines waited in an interval.
type runtimeInterval struct {
	waits               uint64        // waits of runnable goroutines that the runtime measured
	schedulerLatency    time.Duration // schedulerQuantile of the waits of runnable goroutines
	maxSchedulerLatency time.Duration // upper bound of the longest of these waits
	mutexWait           time.Duration // total wait of all goroutines for locks
}

// next returns the statistics since the last call.
func (s *runtimeStats) next() (interval runtimeInterval) {
	metrics.Read(s.samples)
	if s.samples[0].Value.Kind() == metrics.KindFloat64Histogram {
		histogram := s.samples[0].Value.Float64Histogram()
		counts := make([]uint64, len(histogram.Counts))
		copy(counts, histogram.Counts)
		for i, last := range s.latencies {
			histogram.Counts[i] -= last
		}
		s.latencies = counts
		interval.waits = sum(histogram.Counts)
		interval.schedulerLatency = quantile(histogram, schedulerQuantile)
		interval.maxSchedulerLatency = quantile(histogram, 1)
	}
	if s.samples[1].Value.Kind() == metrics.KindFloat64 {
		total := s.samples[1].Value.Float64()
		interval.mutexWait = secondsToDuration(total - s.mutexWait)
		s.mutexWait = total
	}
	return interval
}

// quantile returns the upper bound of the bucket that holds the quantile q, or the lower bound of a bucket
// without an upper bound. It returns 0 for an empty histogram.
func quantile(h *metrics.Float64Histogram, q float64) time.Duration {
	total := sum(h.Counts)
	rank := max(1, uint64(math.Ceil(q*float64(total))))
	var seen uint64
	for i, n := range h.Counts {
		if seen += n; total == 0 || seen < rank {
			continue
		}
		if upper := h.Buckets[i+1]; !math.IsInf(upper, 1) {
			return secondsToDuration(upper)
		}
		return secondsToDuration(h.Buckets[i])
	}
	return 0
}

func sum(counts []uint64) (total uint64) {
	for _, n := range counts {
		total += n
	}
	return total
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
