package tracing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestAccept takes a client's traceparent over and passes it on with the span of an attempt; a malformed one starts a
// new trace.
func TestAccept(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	good := "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	c := StartContext(good, random)
	if c.Trace.String() != good[3:35] || c.Parent.String() != good[36:52] || !c.Sampled || !c.Span.IsValid() {
		t.Errorf("%+v", c)
	}
	p := c.Traceparent(NewSpanID(random))
	if p[:36] != good[:36] || p[52:] != "-01" || p[36:52] == good[36:52] {
		t.Error(p)
	}
	for _, bad := range []string{
		"",
		"x",
		"ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		"00-00000000000000000000000000000000-00f067aa0ba902b7-01",
		"00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
		"00-4bf92f3577b34da6a3ce929d0e0e473-00f067aa0ba902b7-01",
		"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0",
	} {
		if c := StartContext(bad, random); c.Parent.IsValid() || c.Sampled || !c.Trace.IsValid() {
			t.Errorf("%q: %+v", bad, c)
		}
	}
}

// TestSampler finishes 10,000 requests a second for ten seconds, and as many that failed: a ratio of the good ones is
// sampled, of the failed ones the rate, and what a client samples always.
func TestSampler(t *testing.T) {
	s := Sampler{Ratio: 0.1, MaxRate: 10}
	random := rand.New(rand.NewPCG(1, 1))
	good, bad := 0, 0
	for i := range 100000 {
		now := time.Duration(i) * 100 * time.Microsecond
		if s.Sample(now, false, false, random.Uint64()) {
			good++
		}
		if s.Sample(now, true, false, random.Uint64()) {
			bad++
		}
	}
	if good < 9500 || good > 10500 || bad < 100 || bad > 115 {
		t.Errorf("%d of 100000 good ones, want a tenth; %d failed ones in 10 s, want 10 a second and a second's worth",
			good, bad)
	}
	if !s.Sample(10*time.Second, false, true, 1<<63) || !s.Sample(10*time.Second, true, true, 0) {
		t.Error("what a client samples is not sampled")
	}
}

// FuzzAccept reads any traceparent.
func FuzzAccept(f *testing.F) {
	f.Add("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
	f.Fuzz(func(t *testing.T, s string) { StartContext(s, rand.New(rand.NewPCG(1, 1))) })
}
