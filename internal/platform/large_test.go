//go:build !race

// Not under the race detector: what it adds hides what the size of a fleet costs.

package platform

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// resourceUse is what a process used.
type resourceUse struct {
	cpu    time.Duration
	peakKB int64
	listKB int // of discovery's responses
}

// measureFollowing runs a gateway without traffic on a list that changes 40 times in ten seconds.
func measureFollowing(t *testing.T, servers int) resourceUse {
	t.Helper()
	g, _ := startGateway(t)
	d := newDiscovery()
	d.indent = "  "
	all := make([]map[string]any, servers)
	for i := range all {
		all[i] = target(fmt.Sprintf("s-%08x", i), fmt.Sprintf("10.1.%d.%d:8443", i/250, i%250), "ready", 0)
	}
	d.set(all...)
	g.writeConfig(d.serve(t))
	g.signal(syscall.SIGHUP)
	g.waitUntil("the list is followed", func() bool { return d.queryCount() > 1 })
	for i := range 40 {
		before := d.queryCount()
		d.set(target(fmt.Sprintf("s-%08x", i), "10.1.0.1:8443", "draining", 0))
		g.waitUntil("a change is taken", func() bool { return d.queryCount() > before })
		time.Sleep(250 * time.Millisecond)
	}
	d.mu.Lock()
	bytes := d.bytes
	d.mu.Unlock()
	g.signal(syscall.SIGTERM)
	g.expectExit(5 * time.Second)
	ru := g.process.ProcessState.SysUsage().(*syscall.Rusage)
	return resourceUse{time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), ru.Maxrss, bytes >> 10}
}

// A large fleet must fit into the same limits: sixteen times the servers may cost 1.4 times the CPU, 20 ms
// and 30 ms for each thousand; 1.5 times the memory, 8 MB and 4 MB for each thousand; twice the bytes of
// lists, 64 KB and 500 KB for each thousand.
func TestWhatALargeFleetCosts(t *testing.T) {
	const smallFleet, largeFleet = 200, 3200
	small, big := measureFollowing(t, smallFleet), measureFollowing(t, largeFleet)
	t.Logf("%d servers: %+v, %d: %+v", smallFleet, small, largeFleet, big)
	if most := small.cpu*14/10 + 20*time.Millisecond + 30*time.Millisecond*largeFleet/1000; big.cpu > most {
		t.Errorf("%v of CPU at %d servers, want %v at most", big.cpu, largeFleet, most)
	}
	if most := small.peakKB*15/10 + 8<<10 + 4<<10*largeFleet/1000; big.peakKB > most {
		t.Errorf("%d KB at the peak at %d servers, want %d at most", big.peakKB, largeFleet, most)
	}
	if most := small.listKB*2 + 64 + 500*largeFleet/1000; big.listKB > most {
		t.Errorf("%d KB of lists at %d servers, want %d at most", big.listKB, largeFleet, most)
	}
}
