package platform

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Idle clients take every descriptor that they can while discovery moves. The watch, servers and the health
// check must get theirs all the same, and the process stays within its limit.
func TestDescriptorsLeaveRoom(t *testing.T) {
	g, _ := startGateway(t)
	const sockets = 256 // of the test's configuration
	for range 400 {
		nc, err := net.Dial("tcp", g.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.process.Process.Pid))
		if err != nil || len(open) > sockets {
			t.Fatalf("%d descriptors, %v, want %d at most", len(open), err, sockets)
		}
	}
	queries := make(chan string, 1000)
	g.writeConfig(startDiscovery(t, g.serverAddr, queries))
	g.signal(syscall.SIGHUP)
	select {
	case <-queries:
	case <-time.After(20 * time.Second):
		t.Fatal("the new list is not asked")
	}
	if status := g.readyStatus(); status != 200 {
		t.Errorf("ready: %d, want 200", status)
	}
	g.responses <- "a"
	if status, _ := g.dial().get("t1"); status != 200 {
		t.Errorf("a usual client: %d, want 200", status)
	}
}

// The process has no descriptor left, so accept, socket and connect fail. What clients have sent meanwhile is
// answered once there are some again, and the new list is followed.
func TestNoDescriptorsForAMoment(t *testing.T) {
	g, _ := startGateway(t, envDescriptors+"=40")
	g.respondAtOnce()
	var silent, clients []*client
	for range 40 { // more than the process can hold
		silent = append(silent, g.dial())
	}
	for i := range 5 {
		c := g.dial()
		io.WriteString(c.nc, postText(fmt.Sprint("t", i), "abc"))
		clients = append(clients, c)
	}
	queries := make(chan string, 1000)
	g.writeConfig(startDiscovery(t, g.serverAddr, queries))
	g.signal(syscall.SIGHUP)
	g.waitUntil("accept fails", func() bool { return g.logContains("too many open files") })
	if count := countStatuses(clients); count[0] > 0 {
		t.Errorf("answers by status %v, want none closed without one", count)
	}
	select {
	case <-queries:
	case <-time.After(5 * time.Second):
		t.Error("the new list is not asked")
	}
	countStatuses(silent[:1])
	c := g.dial()
	io.WriteString(c.nc, postText("last", "abc"))
	if count := countStatuses([]*client{c}); count[200] != 1 {
		t.Errorf("with descriptors again: answers by status %v, want 200", count)
	}
}
