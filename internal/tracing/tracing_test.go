package tracing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// If a client's traceparent were not propagated, its trace would end at the gateway. If a malformed one were
// accepted, spans would have invalid ids. The test checks that servers receive the client's trace id with the
// span of the attempt, and that a malformed traceparent starts a new trace.
func TestTraceparentIsPropagated(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	good := "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	c := StartContext(good, random)
	if c.Trace.String() != good[3:35] || c.Parent.String() != good[36:52] || !c.Sampled || !c.Span.IsValid() {
		t.Errorf("got context %+v", c)
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
			t.Errorf("%q: got context %+v, want a new trace", bad, c)
		}
	}
}

// If failed requests were sampled without a limit, an outage would flood the receiver with traces. The test
// ends 10,000 successful and 10,000 failed requests per second for ten seconds. The configured fraction of
// the successful ones must be sampled, and the configured rate of the failed ones. A request that the client
// samples must always be sampled.
func TestSamplerLimitsRates(t *testing.T) {
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
		t.Errorf("sampled %d of 100000 successful requests, want 10%%; %d failed ones, want 100 to 115",
			good, bad)
	}
	if !s.Sample(10*time.Second, false, true, 1<<63) || !s.Sample(10*time.Second, true, true, 0) {
		t.Error("a request that the client samples was not sampled")
	}
}

// A client can send any text as traceparent. No text may crash the gateway.
func FuzzStartContext(f *testing.F) {
	f.Add("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
	f.Fuzz(func(t *testing.T, s string) { StartContext(s, rand.New(rand.NewPCG(1, 1))) })
}
