package platform

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// drainTest is a gateway whose discovery lists two servers. Both receive requests until one of them drains.
type drainTest struct {
	*testGateway
	staying, draining *countingServer
	discovery         *fakeDiscovery
}

// newDrainTest starts a drainTest and waits until both servers have received requests.
func newDrainTest(t *testing.T) *drainTest {
	t.Helper()
	g, _ := startGateway(t)
	d := &drainTest{g, startCountingServer(t), startCountingServer(t), newDiscovery()}
	d.discovery.set(
		target("stays", d.staying.addr, "ready", 0), target("drains", d.draining.addr, "ready", 0))
	g.writeConfig(d.discovery.serve(t))
	g.signal(syscall.SIGHUP)
	c := g.dial()
	g.waitUntil("both servers have received requests", func() bool {
		c.get(fmt.Sprint("before", time.Now().UnixNano()))
		return d.staying.since(time.Time{}) > 0 && d.draining.since(time.Time{}) > 0
	})
	return d
}

// drain makes discovery list one server as draining.
func (d *drainTest) drain() { d.discovery.set(target("drains", d.draining.addr, "draining", 0)) }

// expectDrained sends 20 requests after the given time, by which the gateway must know of the drain, and
// expects that none of them reaches the draining server.
func (d *drainTest) expectDrained(knownBy time.Time) {
	d.t.Helper()
	time.Sleep(time.Until(knownBy))
	c := d.dial()
	for i := range 20 {
		if status, _ := c.get(fmt.Sprint("after", i)); status != 200 {
			d.t.Errorf("request after the drain: got status %d, want 200", status)
		}
	}
	if n := d.draining.since(knownBy); n > 0 {
		d.t.Errorf("%d of 20 requests reached the draining server, want none", n)
	}
}

// Guards against drains that become known too late because discovery responds slowly or its connections are
// slow to open. The gateway must know of a drain 6 s after discovery lists it.
func TestDrainWithSlowDiscovery(t *testing.T) {
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
			d.waitUntil("a query with a late response is in progress", func() bool {
				return f.queryCount() >= before+2
			})
			// The drain is listed in the middle of a query whose response would arrive after its timeout.
			time.Sleep(1500 * time.Millisecond)
			drainedAt := time.Now()
			d.drain()
			d.expectDrained(drainedAt.Add(knownAfter))
		})
	}
}

// Guards against drains that become known too late after a reload. A SIGHUP switches to a slow discovery
// while the process is suspended. The gateway must know of a drain in its list 4 s after the signal.
func TestDrainWithSlowDiscoveryAfterReload(t *testing.T) {
	t.Parallel()
	d := newDrainTest(t)
	next := newDiscovery()
	next.responseDelay, next.openDelay = 1300*time.Millisecond, 1100*time.Millisecond
	next.set(target("stays", d.staying.addr, "ready", 0), target("drains", d.draining.addr, "draining", 0))
	d.writeConfig(next.serve(t))
	signaledAt := time.Now()
	d.suspend(150*time.Millisecond, func() { d.signal(syscall.SIGHUP) })
	d.expectDrained(signaledAt.Add(4 * time.Second))
}

// Guards against a watch that waits forever for lost responses. Discovery does not respond for a long time,
// and never responds to the queries of that time. Once it responds to new queries, the gateway must know of a
// drain within 6 s without a signal.
func TestDrainAfterDiscoverySilence(t *testing.T) {
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

// Guards against a size limit that is too small for the endpoint list. The list of the largest fleet, 3,200
// servers with the longest names, was not read if it was deeply indented.
func TestLargestEndpointListIsRead(t *testing.T) {
	const servers = 3200
	for _, indent := range []string{"", "  ", "        ", strings.Repeat("\t", 64)} {
		t.Run(fmt.Sprintf("indent %d", len(indent)), func(t *testing.T) {
			g, _ := startGateway(t)
			server := startCountingServer(t)
			d := newDiscovery()
			d.indent = indent
			targets := []map[string]any{target("serves", server.addr, "ready", 0)}
			for i := range servers - 1 {
				targets = append(targets,
					target(fmt.Sprintf("s%d-%s", i, strings.Repeat("x", 240)), server.addr, "ready", 0))
			}
			d.set(targets...)
			g.writeConfig(d.serve(t))
			g.signal(syscall.SIGHUP)
			g.waitUntil("a server of the large list receives a request", func() bool {
				g.dial().get(fmt.Sprint("t", time.Now().UnixNano()))
				return server.since(time.Time{}) > 0
			})
		})
	}
}
