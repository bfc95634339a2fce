package main

import (
	"bytes"
	"math"
	"runtime/metrics"
	"strings"
	"syscall"
	"time"

	"github.com/google/pprof/profile"
)

// runtimeP99 returns the 99th percentile of a histogram of runtime/metrics since the start of the process, 0
// if there is no such histogram.
func runtimeP99(name string) time.Duration {
	m := []metrics.Sample{{Name: name}}
	metrics.Read(m)
	if m[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := m[0].Value.Float64Histogram()
	total := uint64(0)
	for _, n := range h.Counts {
		total += n
	}
	sum := uint64(0)
	for i, n := range h.Counts {
		if sum += n; float64(sum) >= 0.99*float64(total) {
			if b := h.Buckets[i+1]; !math.IsInf(b, 1) {
				return time.Duration(b * float64(time.Second))
			}
			return time.Duration(h.Buckets[i] * float64(time.Second))
		}
	}
	return 0
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// decideShare returns the fraction of the samples of a CPU profile that have a function of package decide on
// the stack, 0 if the profile cannot be parsed.
func decideShare(raw *bytes.Buffer) float64 {
	p, err := profile.Parse(raw)
	if err != nil {
		return 0
	}
	inDecide, total := int64(0), int64(0)
	for _, s := range p.Sample {
		v := s.Value[len(s.Value)-1]
		total += v
	stack:
		for _, l := range s.Location {
			for _, line := range l.Line {
				if line.Function != nil && strings.HasPrefix(line.Function.Name, "winghatch/decide.") {
					inDecide += v
					break stack
				}
			}
		}
	}
	return float64(inDecide) / float64(max(total, 1))
}
