package gateway

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/quotaplan"
)

// reserveForMember reserves units for member m and waits until the window is open.
func (g *testGateway) reserveForMember(units float64) {
	g.t.Helper()
	now := time.Now().UnixNano()
	_, err := g.gateway.Submit(quotaplan.Change{Number: 1, Kind: quotaplan.Reserve, Member: "m", Units: units,
		From: now + 1e6, To: now + 600e9})
	if err != nil {
		g.t.Fatal(err)
	}
	eventually(g.t, "the window is open", func() bool {
		r := g.gateway.State().Reservations
		return len(r) == 1 && r[0].Open
	})
}

// restartOnDisk restarts the gateway with a state directory on a disk.
func (g *testGateway) restartOnDisk(disk *faultyDisk) {
	g.t.Helper()
	g.gateway.Stop()
	g.fleet.StateDirPattern = filepath.Join(g.t.TempDir(), "kept-%d")
	gateway, err := Start(g.fleet, Options{Seed: 1, FS: disk})
	if err != nil {
		g.t.Fatal(err)
	}
	g.gateway = gateway
	eventually(g.t, "the gateway has the endpoint list",
		func() bool { return len(gateway.State().Core.Servers) == len(g.servers) })
}

// TestUnrecordedSpendingIsRejected guards against reserved units that are used without a record, so that they
// could be used again after a kill. While the disk is full, a request must be rejected although its tokens are
// drawn, and no server may get it. Once there is space, the units are usable and none is missing.
func TestUnrecordedSpendingIsRejected(t *testing.T) {
	disk := &faultyDisk{}
	g := newTestGateway(t, 1, nil)
	g.restartOnDisk(disk)
	g.reserveForMember(100)
	c := g.dial(g.key)
	const params = `{"reserved":true,"units":1}`
	if n, last := c.serve(3, params); n != 3 {
		t.Fatalf("%d of 3 requests served, last answer %s", n, last)
	}
	completed := g.completed()
	disk.failWrites.Store(true)
	if n, last := c.serve(2, params); n != 0 || g.completed() != completed {
		t.Errorf("%d of 2 requests served with a full disk, last answer %s, %d calls at the servers", n, last,
			g.completed()-completed)
	}
	disk.failWrites.Store(false)
	eventually(t, "requests are served again", func() bool { n, _ := c.serve(1, params); return n == 1 })
	r := g.gateway.State().Reservations[0]
	if sum := r.HeldTokens + r.DrawnTokens + r.UsedUnits; math.Abs(sum-100) > 1e-6 || r.UsedUnits != 4 {
		t.Errorf("reservation is %+v with %v units, want 100 with 4 used", r, sum)
	}
}

// TestTornSpendingRecordIsIgnored guards against a gateway that does not start, or that loses units, after a kill
// in the middle of writing a record of spent units. The request of such a record was not forwarded.
func TestTornSpendingRecordIsIgnored(t *testing.T) {
	g := newTestGateway(t, 1, nil)
	g.restartOnDisk(&faultyDisk{})
	g.reserveForMember(100)
	if n, last := g.dial(g.key).serve(5, `{"reserved":true,"units":1}`); n != 5 {
		t.Fatalf("%d of 5 requests served, last answer %s", n, last)
	}
	g.gateway.Stop() // without a drain, so tokens stay drawn
	segments, err := filepath.Glob(filepath.Join(g.fleet.StateDir(0), spendingLogDir, "*.log"))
	if err != nil || len(segments) == 0 {
		t.Fatalf("segments of the spending log: %v, %v", segments, err)
	}
	newest := segments[len(segments)-1]
	content, err := os.ReadFile(newest)
	if err != nil {
		t.Fatal(err)
	}
	const tornBytes = 20 // of a record that is a copy of the last one
	content = append(content, content[len(content)-2*tornBytes:len(content)-tornBytes]...)
	if err := os.WriteFile(newest, content, 0o600); err != nil {
		t.Fatal(err)
	}
	if g.gateway, err = Start(g.fleet, Options{Seed: 1}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the reservation is known", func() bool { return len(g.gateway.State().Reservations) == 1 })
	r := g.gateway.State().Reservations[0]
	if left := r.HeldTokens + r.DrawnTokens; math.Abs(left-95) > 1e-6 {
		t.Errorf("%v units left after 5 of 100 were used, want 95", left)
	}
}

// BenchmarkReservedRequests measures requests that use reserved units beside ordinary ones, at a gateway with a
// state directory. It reports the 99th percentile of the time to the answer in milliseconds, the answers a
// second, and the share of them that were served, as the gateway may shed load.
func BenchmarkReservedRequests(b *testing.B) {
	for _, params := range []string{`{"units":1}`, `{"units":1,"reserved":true}`} {
		for _, clients := range []int{1, 8} {
			b.Run(fmt.Sprintf("%d clients, %s", clients, params), func(b *testing.B) {
				dir := b.TempDir()
				g := newTestGateway(b, 4, func(f *config.Fleet) {
					f.StateDirPattern = filepath.Join(dir, "kept-%d")
				})
				g.reserveForMember(1e6)
				var served atomic.Int64
				times := make([][]time.Duration, clients)
				var wg sync.WaitGroup
				b.ResetTimer()
				for i := range clients {
					c := g.dial(g.key)
					wg.Go(func() {
						for range max(1, b.N/clients) {
							sentAt := time.Now()
							n, _ := c.serve(1, params)
							served.Add(int64(n))
							times[i] = append(times[i], time.Since(sentAt))
						}
					})
				}
				wg.Wait()
				all := slices.Concat(times...)
				slices.Sort(all)
				b.ReportMetric(all[len(all)*99/100].Seconds()*1e3, "p99-ms")
				b.ReportMetric(float64(len(all))/b.Elapsed().Seconds(), "answers/s")
				b.ReportMetric(float64(served.Load())/float64(len(all)), "served-share")
			})
		}
	}
}
