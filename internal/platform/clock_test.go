package platform

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// coldServerShare has a server join whose boot time is off by so much from this machine's wall clock. It
// returns how many requests the server gets in its first seconds, and how many it and the warm one get
// together.
func coldServerShare(t *testing.T, off time.Duration) (cold, all int) {
	t.Helper()
	g, _ := startGateway(t)
	warm, joins := startCounting(t), startCounting(t)
	d := newDiscovery()
	d.set(target("warm", warm.addr, "ready", 0))
	g.writeConfig(d.serve(t))
	g.signal(syscall.SIGHUP)
	c := g.dial()
	n := 0
	send := func() {
		n++
		c.get(fmt.Sprint("t", n))
	}
	g.waitUntil("the list is followed", func() bool {
		send()
		return warm.since(time.Time{}) > 0
	})
	for range 400 { // a warm server's usual load
		send()
		time.Sleep(5 * time.Millisecond)
	}
	at := time.Now()
	d.set(target("joins", joins.addr, "ready", at.Add(off).UnixMilli()))
	for range 400 {
		send()
		time.Sleep(5 * time.Millisecond)
	}
	return joins.since(at), joins.since(at) + warm.since(at)
}

// The wall clock was stepped, and a server that joined got its full share while cold, or nothing at all. Slow
// start has to run in real time, whatever the wall clock shows.
func TestSlowStartDoesNotGoByTheWallClock(t *testing.T) {
	for _, off := range []time.Duration{0, -time.Hour, time.Hour, -5 * time.Second, 5 * time.Second} {
		t.Run(off.String(), func(t *testing.T) {
			t.Parallel()
			cold, all := coldServerShare(t, off)
			if cold == 0 || cold*3 > all {
				t.Errorf("a cold server gets %d of %d requests, want some and less than a third", cold, all)
			}
		})
	}
}
