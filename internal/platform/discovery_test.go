package platform

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// drainTest is a gateway with a discovery that lists two servers, both of which serve; one is to drain.
type drainTest struct {
	*testGateway
	stays, drains *countingServer
	discovery     *fakeDiscovery
}

func newDrainTest(t *testing.T) *drainTest {
	t.Helper()
	g, _ := startGateway(t)
	d := &drainTest{g, startCounting(t), startCounting(t), newDiscovery()}
	d.discovery.set(target("stays", d.stays.addr, "ready", 0), target("drains", d.drains.addr, "ready", 0))
	g.writeConfig(d.discovery.serve(t))
	g.signal(syscall.SIGHUP)
	c := g.dial()
	g.waitUntil("both serve", func() bool {
		c.get(fmt.Sprint("before", time.Now().UnixNano()))
		return d.stays.since(time.Time{}) > 0 && d.drains.since(time.Time{}) > 0
	})
	return d
}

// drain makes discovery list the one server as draining.
func (d *drainTest) drain() { d.discovery.set(target("drains", d.drains.addr, "draining", 0)) }

// expectDrained sends 20 requests from the time on from which the drain has to be known.
func (d *drainTest) expectDrained(known time.Time) {
	d.t.Helper()
	time.Sleep(time.Until(known))
	c := d.dial()
	for i := range 20 {
		if status, _ := c.get(fmt.Sprint("after", i)); status != 200 {
			d.t.Errorf("after the drain: %d, want 200", status)
		}
	}
	if n := d.drains.since(known); n > 0 {
		d.t.Errorf("%d of 20 went to a server whose drain had to be known", n)
	}
}

// Discovery answers late, or its connections come up late. A drain has to be known 6 s after discovery had it
// all the same.
func TestADrainToldByASlowDiscovery(t *testing.T) {
	const knownAfter = 6 * time.Second
	for _, c := range []struct {
		name                     string
		responseDelay, openDelay time.Duration
	}{
		{"late answers", 1300 * time.Millisecond, 0},
		{"late connections", 0, 1100 * time.Millisecond},
		{"both", 1300 * time.Millisecond, 1100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDrainTest(t)
			f := d.discovery
			f.mu.Lock()
			f.responseDelay, f.openDelay = c.responseDelay, c.openDelay
			before := len(f.queries)
			f.mu.Unlock()
			d.waitUntil("a call that is answered late is under way", func() bool { return f.queryCount() >= before+2 })
			time.Sleep(1500 * time.Millisecond) // into the middle of a call, whose answer would come after its timeout
			drainedAt := time.Now()
			d.drain()
			d.expectDrained(drainedAt.Add(knownAfter))
		})
	}
}

// A SIGHUP names a discovery that is slow, and the process is held up. A drain that it lists has to be known
// 4 s after the signal.
func TestADrainToldBySlowDiscoveryBehindASignal(t *testing.T) {
	t.Parallel()
	d := newDrainTest(t)
	next := newDiscovery()
	next.responseDelay, next.openDelay = 1300*time.Millisecond, 1100*time.Millisecond
	next.set(target("stays", d.stays.addr, "ready", 0), target("drains", d.drains.addr, "draining", 0))
	d.writeConfig(next.serve(t))
	signaledAt := time.Now()
	d.holdUp(150*time.Millisecond, func() { d.signal(syscall.SIGHUP) })
	d.expectDrained(signaledAt.Add(4 * time.Second))
}

// Discovery is silent for long and never answers the calls of that time. Once it answers new calls, a drain
// has to be known within 6 s, without a signal.
func TestADrainToldBehindALongSilence(t *testing.T) {
	t.Parallel()
	d := newDrainTest(t)
	setDelay := func(delay time.Duration) {
		d.discovery.mu.Lock()
		d.discovery.responseDelay = delay
		d.discovery.mu.Unlock()
	}
	setDelay(time.Hour)
	time.Sleep(8 * time.Second)
	d.drain()
	setDelay(0)
	d.expectDrained(time.Now().Add(6 * time.Second))
}

// The largest fleet, 3,200 servers with the longest names, was not read where its list was indented deeply.
func TestTheLargestListIsRead(t *testing.T) {
	const servers = 3200
	for _, indent := range []string{"", "  ", "        ", strings.Repeat("\t", 64)} {
		t.Run(fmt.Sprintf("indent %d", len(indent)), func(t *testing.T) {
			g, _ := startGateway(t)
			serves := startCounting(t)
			d := newDiscovery()
			d.indent = indent
			all := []map[string]any{target("serves", serves.addr, "ready", 0)}
			for i := range servers - 1 {
				all = append(all, target(fmt.Sprintf("s%d-%s", i, strings.Repeat("x", 240)), serves.addr, "ready", 0))
			}
			d.set(all...)
			g.writeConfig(d.serve(t))
			g.signal(syscall.SIGHUP)
			g.waitUntil("a server of the large list serves", func() bool {
				g.dial().get(fmt.Sprint("t", time.Now().UnixNano()))
				return serves.since(time.Time{}) > 0
			})
		})
	}
}
