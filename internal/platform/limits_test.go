package platform

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against idle clients that use up all descriptors. The discovery watch must still be able to connect
// to a new address, requests and health checks must be served, and the process must stay within its limit.
func TestIdleClientsLeaveDescriptorsFree(t *testing.T) {
	g, _ := startGateway(t)
	const maxSockets = 256 // limit in the configuration of the test gateway
	for range 400 {
		nc, err := net.Dial("tcp", g.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.process.Process.Pid))
		if err != nil || len(open) > maxSockets {
			t.Fatalf("%d descriptors in use (error %v), want at most %d", len(open), err, maxSockets)
		}
	}
	queries := make(chan string, 1000)
	g.writeConfig(startDiscovery(t, g.serverAddr, queries))
	g.signal(syscall.SIGHUP)
	select {
	case <-queries:
	case <-time.After(20 * time.Second):
		t.Fatal("no query at the new discovery address within 20 s")
	}
	if status := g.readyStatus(); status != 200 {
		t.Errorf("health check: got status %d, want 200", status)
	}
	g.responses <- "a"
	if status, _ := g.dial().get("t1"); status != 200 {
		t.Errorf("client with a request: got status %d, want 200", status)
	}
}

// Guards against a gateway that does not recover when it runs out of descriptors, so that accept, socket and
// connect fail. Requests that clients sent during that time must be answered when descriptors are free again,
// and the new discovery address must be used.
func TestRecoversFromDescriptorExhaustion(t *testing.T) {
	g, _ := startGateway(t, envDescriptors+"=40")
	g.respondAtOnce()
	var silent, clients []*client
	for range 40 { // more connections than the process has descriptors for
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
		t.Errorf("responses by status %v, want no connection without a response (status 0)", count)
	}
	select {
	case <-queries:
	case <-time.After(5 * time.Second):
		t.Error("no query at the new discovery address within 5 s")
	}
	countStatuses(silent[:1])
	c := g.dial()
	io.WriteString(c.nc, postText("last", "abc"))
	if count := countStatuses([]*client{c}); count[200] != 1 {
		t.Errorf("after the recovery: responses by status %v, want 200", count)
	}
}

// The state of customers must fit the memory limit beside everything else, whatever the size of the fleet. A
// limit of 0 means that the configuration sets none.
func TestCustomersFitMemoryLimit(t *testing.T) {
	for _, memoryMB := range []int{0, 32, 192} {
		for _, gateways := range []int{1, 4, 17, 300} {
			c := &Config{MemoryMB: memoryMB}
			c.Decide.Gateways, c.Decide.GossipCapacity, c.Decide.Limits.Gossip = gateways, 40, true
			customers := c.maxCustomers()
			limit := cmp.Or(memoryMB, defaultMemoryMB) << 20 / 8
			if bytes := customers * c.Decide.CustomerBytes(); customers < 1 || bytes > limit {
				t.Errorf("%d MB, %d gateways: %d customers take %d bytes, want at most %d",
					memoryMB, gateways, customers, bytes, limit)
			}
		}
	}
}
