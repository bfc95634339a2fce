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

// runtimeP99 is the 99th percentile of one of the runtime's own histograms since the start.
func runtimeP99(name string) time.Duration {
	m := []metrics.Sample{{Name: name}}
	metrics.Read(m)
	if m[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := m[0].Value.Float64Histogram()
	all := uint64(0)
	for _, n := range h.Counts {
		all += n
	}
	sum := uint64(0)
	for i, n := range h.Counts {
		if sum += n; float64(sum) >= 0.99*float64(all) {
			if b := h.Buckets[i+1]; !math.IsInf(b, 1) {
				return time.Duration(b * float64(time.Second))
			}
			return time.Duration(h.Buckets[i] * float64(time.Second))
		}
	}
	return 0
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// decideShare is the part of a CPU profile's samples that are in package decide.
func decideShare(raw *bytes.Buffer) float64 {
	p, err := profile.Parse(raw)
	if err != nil {
		return 0
	}
	in, all := int64(0), int64(0)
	for _, s := range p.Sample {
		v := s.Value[len(s.Value)-1]
		all += v
	stack:
		for _, l := range s.Location {
			for _, line := range l.Line {
				if line.Function != nil && strings.HasPrefix(line.Function.Name, "winghatch/decide.") {
					in += v
					break stack
				}
			}
		}
	}
	return float64(in) / float64(max(all, 1))
}
