package tracing

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestAccept(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	good := "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	c := StartContext(good, rng)
	if c.Trace.String() != good[3:35] || c.Parent.String() != good[36:52] || !c.Sampled || !c.Span.IsValid() {
		t.Errorf("%+v", c)
	}
	if p := c.Traceparent(NewSpanID(rng)); p[:36] != good[:36] || p[52:] != "-01" || p[36:52] == good[36:52] {
		t.Error(p)
	}
	for _, bad := range []string{"", "x", "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
		"00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01", "00-4bf92f3577b34da6a3ce929d0e0e473-00f067aa0ba902b7-01", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0"} {
		if c := StartContext(bad, rng); c.Parent.IsValid() || c.Sampled || !c.Trace.IsValid() {
			t.Errorf("%q: %+v", bad, c)
		}
	}
}

// TestSampler takes a share of the good, all bad ones up to a rate, and what a caller sampled.
func TestSampler(t *testing.T) {
	s := Sampler{Ratio: 0.1, MaxRate: 10}
	rng := rand.New(rand.NewPCG(1, 1))
	good, bad := 0, 0
	for i := range 100000 {
		now := time.Duration(i) * 100 * time.Microsecond // 10 s
		if s.Sample(now, false, false, rng.Uint64()) {
			good++
		}
		if s.Sample(now, true, false, rng.Uint64()) {
			bad++
		}
	}
	if good < 9500 || good > 10500 || bad < 100 || bad > 115 {
		t.Errorf("%d of 100000 good ones, want a tenth; %d bad ones in 10 s, want 10 a second and a second's worth", good, bad)
	}
	if !s.Sample(10*time.Second, false, true, 1<<63) || !s.Sample(10*time.Second, true, true, 0) {
		t.Error("what a caller sampled is not told")
	}
}

func FuzzAccept(f *testing.F) {
	f.Add("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
	f.Fuzz(func(t *testing.T, s string) { StartContext(s, rand.New(rand.NewPCG(1, 1))) })
}
