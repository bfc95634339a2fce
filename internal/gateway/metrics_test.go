package gateway

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/testbed/metricsreceiver"
)

// TestMetricsMatchCounts guards against metrics that count wrongly or lose samples. It compares the metrics
// at their receiver with what clients and servers counted, which must match exactly: for a healthy gateway,
// and for one whose servers fail, whose receiver is unavailable for a while, and that is stopped.
func TestMetricsMatchCounts(t *testing.T) {
	for _, bad := range []bool{false, true} {
		t.Run(fmt.Sprintf("bad %t", bad), func(t *testing.T) { compareMetrics(t, bad) })
	}
}

// sendMetrics returns a change of the settings that makes a gateway send its metrics by remote write.
func sendMetrics(url string, interval time.Duration) func(*config.Fleet) {
	return func(f *config.Fleet) {
		f.Metrics.Enabled, f.Metrics.URL, f.Metrics.Interval = true, url, interval
		f.Metrics.MaxSamples, f.Metrics.MaxBytes, f.Metrics.BatchSize, f.Metrics.Shards =
			200000, 64<<20, 500, 2
		f.Metrics.MaxAge, f.Metrics.Timeout, f.Metrics.MaxMembers = time.Minute, time.Second, 10
	}
}

// compareMetrics runs a gateway and compares its metrics with the counts of clients and servers. With bad
// set, a server fails and the receiver is unavailable at first.
func compareMetrics(t *testing.T, bad bool) {
	receiver, err := metricsreceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Stop()
	g := newTestGateway(t, 3, sendMetrics(receiver.URL(), 20*time.Millisecond))
	if bad {
		g.servers[0].SetFault(func(fault *backend.Fault) { fault.ErrorShare = 0.5 })
		receiver.SetFault(func(fault *metricsreceiver.Fault) { fault.Status = 503 })
	}
	c, poor := g.dial(g.key), g.dial("poor")
	served, units := 0, 0.0
	for i := range 300 {
		c.send(rpcCall(i, []string{"look", "submit"}[i%2], fmt.Sprintf(`{"units":2,"key":"k%d"}`, i)))
	}
	for range 300 {
		if strings.Contains(c.read(), `"result"`) {
			served++
			units += 2
		}
	}
	poorServed, _ := poor.serve(40, `{}`)
	if bad {
		receiver.SetFault(func(fault *metricsreceiver.Fault) { fault.Status = 0 })
	}
	attempts, rejected := g.gateway.State().Attempts, rejections(g.gateway.State())
	c.conn.Close()
	poor.conn.Close()
	g.gateway.Drain()
	ran := g.completed()
	for _, w := range []struct {
		what string
		got  float64
		want int
	}{
		{"calls served", receiver.Sum("winghatch_calls_total", `outcome="served"`), served + poorServed},
		{"calls refused", receiver.Sum("winghatch_calls_total", `outcome="refused"`), int(rejected)},
		{"refusals by reason", receiver.Sum("winghatch_refusals_total"), int(rejected)},
		{"attempts", receiver.Sum("winghatch_attempts_total"), int(attempts)},
		{"attempts answered", receiver.Sum("winghatch_attempts_total", `outcome="ok"`), served + poorServed},
		{"call times", receiver.Sum("winghatch_call_duration_seconds"), 340},
		{"units of m", receiver.Sum("winghatch_member_units_total", `member="m"`), int(units)},
		{"units of poor", receiver.Sum("winghatch_member_units_total", `member="poor"`), poorServed},
		{"nodes", receiver.Sum("winghatch_nodes"), 3},
	} {
		if w.got != float64(w.want) {
			t.Errorf("%s: receiver has %v, want %d", w.what, w.got, w.want)
		}
	}
	if !bad && ran != served+poorServed {
		t.Errorf("servers ran %d attempts, want the %d requests served", ran, served+poorServed)
	}
	if receiver.OutOfOrder > 0 {
		t.Errorf("receiver got %d samples out of order, want 0", receiver.OutOfOrder)
	}
	t.Logf("%d series, %d samples, %.1f bytes each", len(receiver.Names()), receiver.Samples,
		float64(receiver.Bytes)/float64(receiver.Samples))
}

// TestFleetTotals guards against fleet totals that miss a gateway or forget the counts before a restart.
// Three gateways count requests: both gateways that aggregate a name must have the total of all three, also
// after one of the three is stopped and started.
func TestFleetTotals(t *testing.T) {
	receiver, err := metricsreceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Stop()
	fleet := newTestFleet(t, sendMetrics(receiver.URL(), 100*time.Millisecond))
	served := 0
	for i := range 3 {
		n, _ := fleet.dialAt(i, fleet.key).serve(10, `{"units":1.5}`)
		served += n
	}
	sum := func(metric string, labels ...string) (total float64) {
		for _, r := range []string{`replica="0"`, `replica="1"`} {
			total = max(total, receiver.Sum(metric, append(labels, r)...))
		}
		return total
	}
	agree := func() {
		t.Helper()
		eventually(t, "both gateways have the total of the member", func() bool {
			return receiver.Sum(
				"winghatch_sum_units_total", `name="m"`, `replica="0"`) == 1.5*float64(served) &&
				receiver.Sum(
					"winghatch_sum_units_total", `name="m"`, `replica="1"`) == 1.5*float64(served)
		})
		// Other gateways aggregate the class, and send their metrics at other times.
		eventually(t, "one gateway has the total of the class", func() bool {
			requests := sum("winghatch_sum_calls_total", `kind="class"`, `name="look"`, `outcome="served"`)
			return requests == float64(served)
		})
	}
	agree()
	// Restart a gateway that does not aggregate the member: its next incarnation must add to what the
	// previous one reported.
	restarted := -1
	for i := range 3 {
		owner := false
		for _, n := range receiver.Names() {
			owner = owner || strings.HasPrefix(n, "winghatch_sum_units_total{") &&
				strings.Contains(n, `name="m"`) && strings.Contains(n, fmt.Sprintf(`gateway="%d"`, i))
		}
		if !owner {
			restarted = i
		}
	}
	if restarted < 0 {
		t.Fatal("all three gateways aggregate the member, want two")
	}
	fleet.processes[restarted].Signal(syscall.SIGTERM)
	fleet.processes[restarted].Wait() // it holds its logs open until it ends
	fleet.start(restarted)
	n, _ := fleet.dialAt(restarted, fleet.key).serve(7, `{"units":1.5}`)
	served += n
	agree()
}
