package platform

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// coldServerShare adds a server whose reported start time differs by clockOffset from the wall clock of this
// machine. It returns the number of requests that this cold server receives in its first seconds, and the
// number that it and the warm server receive together.
func coldServerShare(t *testing.T, clockOffset time.Duration) (cold, all int) {
	t.Helper()
	g, _ := startGateway(t)
	warmServer, coldServer := startCountingServer(t), startCountingServer(t)
	d := newDiscovery()
	d.set(target("warm", warmServer.addr, "ready", 0))
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
		return warmServer.since(time.Time{}) > 0
	})
	for range 400 { // the usual load of the warm server
		send()
		time.Sleep(5 * time.Millisecond)
	}
	addedAt := time.Now()
	d.set(target("joins", coldServer.addr, "ready", addedAt.Add(clockOffset).UnixMilli()))
	for range 400 {
		send()
		time.Sleep(5 * time.Millisecond)
	}
	return coldServer.since(addedAt), coldServer.since(addedAt) + warmServer.since(addedAt)
}

// Guards against a slow start that follows the wall clock. After a step of the wall clock, a new server
// received its full share of requests while it was cold, or no requests at all.
func TestSlowStartIgnoresWallClock(t *testing.T) {
	for _, clockOffset := range []time.Duration{0, -time.Hour, time.Hour, -5 * time.Second, 5 * time.Second} {
		t.Run(clockOffset.String(), func(t *testing.T) {
			t.Parallel()
			cold, all := coldServerShare(t, clockOffset)
			if cold == 0 || cold*3 > all {
				t.Errorf("the cold server received %d of %d requests, want at least 1 and at most a third",
					cold, all)
			}
		})
	}
}
