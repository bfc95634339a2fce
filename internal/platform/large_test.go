//go:build !race

// What the race detector adds to a process says nothing of what a fleet's size does.

package platform

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// needs is what a process used.
type needs struct {
	cpu    time.Duration
	peakKB int64
	listKB int // of discovery's answers
}

// followed runs a gateway without traffic over a list of so many servers that changes 40 times in ten seconds.
func followed(t *testing.T, servers int) needs {
	t.Helper()
	w, _ := run(t)
	d := newDiscovery()
	d.indent = "  "
	all := make([]map[string]any, servers)
	for i := range all {
		all[i] = target(fmt.Sprintf("s-%08x", i), fmt.Sprintf("10.1.%d.%d:8443", i/250, i%250), "ready", 0)
	}
	d.set(all...)
	w.config(d.serve(t))
	w.proc.Process.Signal(syscall.SIGHUP)
	asked := func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.asked)
	}
	w.until("the list is followed", func() bool { return asked() > 1 })
	for i := range 40 {
		had := asked()
		d.set(target(fmt.Sprintf("s-%08x", i), "10.1.0.1:8443", "draining", 0))
		w.until("a change is taken", func() bool { return asked() > had })
		time.Sleep(250 * time.Millisecond)
	}
	d.mu.Lock()
	bytes := d.bytes
	d.mu.Unlock()
	w.proc.Process.Signal(syscall.SIGTERM)
	w.end(5 * time.Second)
	ru := w.proc.ProcessState.SysUsage().(*syscall.Rusage)
	return needs{time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), ru.Maxrss, bytes >> 10}
}

// Sixteen times the servers cost 1.4 times the CPU, 0.02 s and 0.03 s for each thousand at most, and 1.5 times the memory,
// 8 MB and 4 MB for each thousand, and twice the bytes of lists, 64 KB and 500 KB for each thousand.
func TestWhatALargeFleetCosts(t *testing.T) {
	const usual, large = 200, 3200
	small, big := followed(t, usual), followed(t, large)
	t.Logf("%d servers: %+v, %d: %+v", usual, small, large, big)
	if most := small.cpu*14/10 + 20*time.Millisecond + 30*time.Millisecond*large/1000; big.cpu > most {
		t.Errorf("%v of CPU at %d servers, want %v at most", big.cpu, large, most)
	}
	if most := small.peakKB*15/10 + 8<<10 + 4<<10*large/1000; big.peakKB > most {
		t.Errorf("%d KB at the peak at %d servers, want %d at most", big.peakKB, large, most)
	}
	if most := small.listKB*2 + 64 + 500*large/1000; big.listKB > most {
		t.Errorf("%d KB of lists at %d servers, want %d at most", big.listKB, large, most)
	}
}
