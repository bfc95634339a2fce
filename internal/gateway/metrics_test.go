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

// TestMeasuresAgree compares the metrics at their receiver with what clients and servers counted, to the unit: on a
// quiet gateway and on one whose servers fail, whose receiver is away for a while, and that is stopped.
func TestMeasuresAgree(t *testing.T) {
	for _, bad := range []bool{false, true} {
		t.Run(fmt.Sprintf("bad %t", bad), func(t *testing.T) { compareMetrics(t, bad) })
	}
}

// sendMetrics has a gateway send its metrics by remote write.
func sendMetrics(url string, interval time.Duration) func(*config.Fleet) {
	return func(f *config.Fleet) {
		f.Metrics.Enabled, f.Metrics.URL, f.Metrics.Interval = true, url, interval
		f.Metrics.MaxSamples, f.Metrics.MaxBytes, f.Metrics.BatchSize, f.Metrics.Shards = 200000, 64<<20, 500, 2
		f.Metrics.MaxAge, f.Metrics.Timeout, f.Metrics.MaxMembers = time.Minute, time.Second, 10
	}
}

func compareMetrics(t *testing.T, bad bool) {
	recv, err := metricsreceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer recv.Stop()
	g := newTestGateway(t, 3, sendMetrics(recv.URL(), 20*time.Millisecond))
	if bad {
		g.servers[0].SetFault(func(x *backend.Fault) { x.ErrorShare = 0.5 })
		recv.SetFault(func(x *metricsreceiver.Fault) { x.Status = 503 })
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
	few, _ := poor.serve(40, `{}`)
	if bad {
		recv.SetFault(func(x *metricsreceiver.Fault) { x.Status = 0 })
	}
	attempts, refused := g.gateway.State().Attempts, rejections(g.gateway.State())
	c.conn.Close()
	poor.conn.Close()
	g.gateway.Drain()
	ran := g.completed()
	for _, w := range []struct {
		what string
		got  float64
		want int
	}{
		{"calls served", recv.Sum("winghatch_calls_total", `outcome="served"`), served + few},
		{"calls refused", recv.Sum("winghatch_calls_total", `outcome="refused"`), int(refused)},
		{"refusals by reason", recv.Sum("winghatch_refusals_total"), int(refused)},
		{"attempts", recv.Sum("winghatch_attempts_total"), int(attempts)},
		{"attempts answered", recv.Sum("winghatch_attempts_total", `outcome="ok"`), served + few},
		{"call times", recv.Sum("winghatch_call_duration_seconds"), 340},
		{"units of m", recv.Sum("winghatch_member_units_total", `member="m"`), int(units)},
		{"units of poor", recv.Sum("winghatch_member_units_total", `member="poor"`), few},
		{"nodes", recv.Sum("winghatch_nodes"), 3},
	} {
		if w.got != float64(w.want) {
			t.Errorf("%s: the receiver has %v, counted were %d", w.what, w.got, w.want)
		}
	}
	if !bad && ran != served+few {
		t.Errorf("servers ran %d, %d were served", ran, served+few)
	}
	if recv.OutOfOrder > 0 {
		t.Errorf("%d samples out of order", recv.OutOfOrder)
	}
	t.Logf("%d series, %d samples, %.1f bytes each", len(recv.Names()), recv.Samples,
		float64(recv.Bytes)/float64(recv.Samples))
}

// TestSumsOverGateways has three gateways count requests: both gateways that add up a name have the total of all
// three, also after one of the three was stopped and started.
func TestSumsOverGateways(t *testing.T) {
	recv, err := metricsreceiver.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer recv.Stop()
	fleet := newTestFleet(t, sendMetrics(recv.URL(), 100*time.Millisecond))
	served := 0
	for i := range 3 {
		n, _ := fleet.dialAt(i, fleet.key).serve(10, `{"units":1.5}`)
		served += n
	}
	sum := func(metric string, labels ...string) (most float64) {
		for _, r := range []string{`replica="0"`, `replica="1"`} {
			most = max(most, recv.Sum(metric, append(labels, r)...))
		}
		return most
	}
	agree := func() {
		t.Helper()
		eventually(t, "both gateways have the totals", func() bool {
			return recv.Sum("winghatch_sum_units_total", `name="m"`, `replica="0"`) == 1.5*float64(served) &&
				recv.Sum("winghatch_sum_units_total", `name="m"`, `replica="1"`) == 1.5*float64(served)
		})
		// Other gateways add up the class, at other times.
		eventually(t, "the class has its total", func() bool {
			total := sum("winghatch_sum_calls_total", `kind="class"`, `name="look"`, `outcome="served"`)
			return total == float64(served)
		})
	}
	agree()
	// A gateway that does not add up the member: its next incarnation adds to what the one before reported.
	away := -1
	for i := range 3 {
		owner := false
		for _, n := range recv.Names() {
			owner = owner || strings.HasPrefix(n, "winghatch_sum_units_total{") &&
				strings.Contains(n, `name="m"`) && strings.Contains(n, fmt.Sprintf(`gateway="%d"`, i))
		}
		if !owner {
			away = i
		}
	}
	if away < 0 {
		t.Fatal("all three gateways add up the member")
	}
	fleet.processes[away].Signal(syscall.SIGTERM)
	fleet.processes[away].Wait() // it holds its logs until it ends
	fleet.start(away)
	n, _ := fleet.dialAt(away, fleet.key).serve(7, `{"units":1.5}`)
	served += n
	agree()
}
