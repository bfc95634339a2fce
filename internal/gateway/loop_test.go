package gateway

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/recording"
	"winghatch/internal/testbed/backend"
)

// TestSuspendedGatewayRejectsStaleRequests guards against work on requests that are already too late after
// the process was suspended. It suspends a gateway by SIGSTOP and resumes it. Requests that arrived in
// between must be judged by their age according to the client's own clock: those that can't meet their
// deadline must be rejected at once and never run, and the most recent ones must be served.
func TestSuspendedGatewayRejectsStaleRequests(t *testing.T) {
	g := newTestGateway(t, 1, func(f *config.Fleet) { f.Gateways[0].StateAddress = freePort(t) })
	g.gateway.Stop()
	cmd := spawn(t, g.fleet, 0)
	eventually(t, "the gateway has the endpoint list",
		func() bool { return strings.Contains(stateOf(g.fleet, 0), g.servers[0].Addr()) })
	c := g.dial(g.key)
	start := time.Now()
	send := func(id int, class string) {
		c.send(rpcCall(id, class, fmt.Sprintf(`{"at_ms":%g}`, float64(time.Since(start))/1e6)))
	}
	for i := range 20 { // lets the session learn the transit time of requests
		send(i, "look")
		if s := c.read(); !strings.Contains(s, `"result"`) {
			t.Fatal(s)
		}
	}
	ran := g.servers[0].Completed()
	cmd.Process.Signal(syscall.SIGSTOP)
	eventually(t, "the process is suspended", func() bool {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
		f := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
		return len(f) > 0 && f[0] == "T"
	})
	for i := range 10 {
		send(100+i, "quick")
	}
	// Twice the deadline of the class: no request sent so far can be answered in time.
	time.Sleep(400 * time.Millisecond)
	for i := range 10 {
		send(200+i, "look")
	}
	cmd.Process.Signal(syscall.SIGCONT)
	staleRejected, recentServed := 0, 0
	for range 20 {
		s := c.read()
		switch stale := strings.Contains(s, `"id":10`); {
		case stale && strings.Contains(s, `"message":"refused"`):
			staleRejected++
		case stale:
			t.Errorf("request that is 400 ms old is answered %s", s)
		case strings.Contains(s, `"result"`):
			recentServed++
		}
	}
	if got := g.servers[0].Completed() - ran; staleRejected != 10 || recentServed == 0 || got > 10 {
		t.Errorf("%d stale requests rejected, want 10; %d of the last 10 served; %d ran, want at most 10",
			staleRejected, recentServed, got)
	}
}

// TestRecordingReplay guards against a core that is not deterministic and against incomplete recordings. It
// records a gateway under load, with failing servers, and replays the recording: the core must return the
// same actions again.
func TestRecordingReplay(t *testing.T) {
	g := newTestGateway(t, 3, nil)
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := g.dial(g.key)
			for i := range 200 {
				c.send(rpcCall(i, "look", `{"units":1.7}`))
			}
			for range 200 {
				c.read()
			}
		}()
	}
	g.servers[0].CloseConnections()
	g.servers[1].SetFault(func(fault *backend.Fault) { fault.ErrorShare = 0.5 })
	wg.Wait()
	g.gateway.Stop()
	summary, err := recording.Replay(&g.recording)
	if err != nil || summary.Truncated != nil || summary.ByKind["Request"] != 800 {
		t.Errorf("replay returned %+v, %v, want 800 requests", summary, err)
	}
}

// TestInvalidEndpointUpdatesAreIgnored guards against invalid endpoint updates that remove servers. It sends
// updates that are old, repeat an endpoint, contain a malformed endpoint or skip versions: none may change
// anything, and the valid update after them must be applied.
func TestInvalidEndpointUpdatesAreIgnored(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	v := g.discovery.Version()
	gone := discoveryws.Endpoint{Address: g.servers[0].Addr(), State: "gone"}
	for _, u := range []discoveryws.Update{
		{Version: v, Endpoints: []discoveryws.Endpoint{gone}},
		{Version: 1, Endpoints: []discoveryws.Endpoint{gone}},
		{Version: v + 1, Endpoints: []discoveryws.Endpoint{gone, gone}},
		{Version: v + 1, Endpoints: []discoveryws.Endpoint{{Address: "bad", State: "gone"}, gone}},
		{Version: v + 9, Endpoints: []discoveryws.Endpoint{gone}},
	} {
		g.discovery.SendRaw(discoveryws.MethodChange, u)
	}
	third := discoveryws.Endpoint{Address: "127.0.0.1:9", State: "draining"}
	g.discovery.Update(third)
	eventually(t, "the valid update is applied",
		func() bool { return len(g.gateway.State().Core.Servers) == 3 })
	for _, s := range g.gateway.State().Core.Servers {
		if s.ID != third.Address && s.State != decide.Serving {
			t.Errorf("server is %+v, want it to be serving", s)
		}
	}
}
