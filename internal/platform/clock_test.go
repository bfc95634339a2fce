package platform

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// coldPart lets a server join with a start that this machine's clock puts so far from now, and returns how many of its
// requests it gets in its first seconds beside a warm one.
func coldPart(t *testing.T, off time.Duration) (cold, all int) {
	t.Helper()
	w, _ := run(t)
	warm, joins := newCounter(t), newCounter(t)
	d := newDiscovery()
	d.set(target("warm", warm.addr, "ready", 0))
	w.config(d.serve(t))
	w.proc.Process.Signal(syscall.SIGHUP)
	c := w.dial()
	n := 0
	ask := func() {
		n++
		c.ask(fmt.Sprint("t", n))
	}
	w.until("the list is followed", func() bool { ask(); return warm.since(time.Time{}) > 0 })
	for range 400 { // what a warm one gets
		ask()
		time.Sleep(5 * time.Millisecond)
	}
	at := time.Now()
	d.set(target("joins", joins.addr, "ready", at.Add(off).UnixMilli()))
	for range 400 {
		ask()
		time.Sleep(5 * time.Millisecond)
	}
	return joins.since(at), joins.since(at) + warm.since(at)
}

// Slow start is counted in real time, whatever this machine's wall clock showed as the process began: a server that joins
// gets the small part that is due to a cold one, neither its full part nor none.
func TestSlowStartDoesNotGoByTheWallClock(t *testing.T) {
	for _, off := range []time.Duration{0, -time.Hour, time.Hour, -5 * time.Second, 5 * time.Second} {
		t.Run(off.String(), func(t *testing.T) {
			t.Parallel()
			cold, all := coldPart(t, off)
			if cold == 0 || cold*3 > all {
				t.Errorf("a cold server gets %d of %d requests, want some and less than a third", cold, all)
			}
		})
	}
}
