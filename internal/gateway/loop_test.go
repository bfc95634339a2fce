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

// TestStopped stops a gateway by SIGSTOP and continues it: requests that came meanwhile are judged by their age,
// which the client's own clock tells. Those that can't be in time are rejected at once and never run; those that came
// last are served.
func TestStopped(t *testing.T) {
	g := newTestGateway(t, 1, func(f *config.Fleet) { f.Gateways[0].StateAddress = freePort(t) })
	g.gateway.Stop()
	p := spawn(t, g.fleet, 0)
	eventually(t, "it has the list", func() bool { return strings.Contains(stateOf(g.fleet, 0), g.servers[0].Addr()) })
	c := g.dial(g.key)
	began := time.Now()
	send := func(id int, class string) {
		c.send(rpcCall(id, class, fmt.Sprintf(`{"at_ms":%g}`, float64(time.Since(began))/1e6)))
	}
	for i := range 20 { // the session learns how long a request is under way
		send(i, "look")
		if s := c.read(); !strings.Contains(s, `"result"`) {
			t.Fatal(s)
		}
	}
	ran := g.servers[0].Completed()
	p.Process.Signal(syscall.SIGSTOP)
	eventually(t, "it is stopped", func() bool {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		f := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
		return len(f) > 0 && f[0] == "T"
	})
	for i := range 10 {
		send(100+i, "quick")
	}
	time.Sleep(400 * time.Millisecond) // twice the class's deadline: what was sent so far can't be in time
	for i := range 10 {
		send(200+i, "look")
	}
	p.Process.Signal(syscall.SIGCONT)
	old, late := 0, 0
	for range 20 {
		s := c.read()
		switch stale := strings.Contains(s, `"id":10`); {
		case stale && strings.Contains(s, `"message":"refused"`):
			old++
		case stale:
			t.Errorf("a call of 400 ms of age: %s", s)
		case strings.Contains(s, `"result"`):
			late++
		}
	}
	if got := g.servers[0].Completed() - ran; old != 10 || late == 0 || got > 10 {
		t.Errorf("%d old calls refused, want 10; %d of the last 10 served, want some; %d ran, want 10 at most",
			old, late, got)
	}
}

// TestTape records a gateway under load, with failing servers, and replays the recording: the core does the same again.
func TestTape(t *testing.T) {
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
	g.servers[1].SetFault(func(x *backend.Fault) { x.ErrorShare = 0.5 })
	wg.Wait()
	g.gateway.Stop()
	n, err := recording.Replay(&g.recording)
	if err != nil || n.Truncated != nil || n.ByKind["Request"] != 800 {
		t.Errorf("%+v, %v", n, err)
	}
}

// TestBadList sends endpoint lists that are old, repeat an endpoint, have a malformed one or leave out versions: none
// changes anything, and the valid change behind them does.
func TestBadList(t *testing.T) {
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
	eventually(t, "the change behind them is taken", func() bool { return len(g.gateway.State().Core.Servers) == 3 })
	for _, s := range g.gateway.State().Core.Servers {
		if s.ID != third.Address && s.State != decide.Serving {
			t.Errorf("%+v", s)
		}
	}
}
