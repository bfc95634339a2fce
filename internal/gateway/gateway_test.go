package gateway

import (
	"path/filepath"
	"strings"
	"testing"

	"winghatch/internal/config"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/websocket"
)

// TestDrainAnswersOpenRequests guards against a drain that loses open requests, accepts new ones or breaks
// sessions. It drains a gateway while requests are open: each must be answered, a new request must be
// rejected, and sessions must be closed with code 1001, going away.
func TestDrainAnswersOpenRequests(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	// The requests take seconds: if all of them ended before the new request arrives, the drain would already
	// have closed its session.
	for _, server := range g.servers {
		server.SetFault(func(fault *backend.Fault) { fault.Slowdown = 1500 })
	}
	c := g.dial(g.key)
	idle := g.dial(g.key)
	for i := range 10 {
		c.send(rpcCall(i, "folio", `{}`))
	}
	eventually(t, "ten requests are open", func() bool { return g.gateway.State().OpenRequests == 10 })
	done := make(chan struct{})
	go func() { g.gateway.Drain(); close(done) }()
	eventually(t, "the gateway stops listening", func() bool { return !listens(g.fleet.Gateways[0].Listen) })
	c.send(rpcCall("new", "look", `{}`))
	served, rejected := 0, 0
	for range 11 {
		switch s := c.read(); {
		case strings.Contains(s, `"result"`):
			served++
		case strings.Contains(s, `"reason":"draining"`):
			rejected++
		}
	}
	if served != 10 || rejected != 1 {
		t.Errorf("%d served and %d rejected, want 10 and 1", served, rejected)
	}
	for _, session := range []*client{c, idle} {
		if m, err := session.reader.Next(); err != nil || m.Opcode != websocket.Close || m.Data[1] != 0xe9 {
			t.Errorf("session ended with %v, %v, want a close frame with code 1001", m, err)
		}
		session.conn.Close()
	}
	<-done
}

// TestStartFromCachedEndpointList guards against a gateway that can't start without discovery, and against a
// restart that refills quotas. It kills a gateway and starts it while discovery is down: the gateway must
// serve from the endpoint list that it cached, with all servers in slow start. A bucket of unknown history
// must count as half full, and the tokens under a ceiling as used up.
func TestStartFromCachedEndpointList(t *testing.T) {
	cachePattern := filepath.Join(t.TempDir(), "list-%d")
	g := newTestGateway(t, 1, func(f *config.Fleet) {
		f.EndpointListPattern = cachePattern
		f.Decide.Plans[1].Rate, f.Decide.Plans[1].Burst = 0.001, 40
		plan := f.Decide.Plans[1]
		plan.Name, plan.CeilingRate, plan.CeilingBurst = "roofed", 0.001, 40
		f.Decide.Plans = append(f.Decide.Plans, plan)
		member := f.Members[1]
		member.Name, member.Plan = "roofed", "roofed"
		member.Keys = nil
		member.Keys = append(member.Keys, f.Secret.MemberKeyHasher().Sum([]byte("roofed")))
		f.Members = append(f.Members, member)
	})
	eventually(t, "the list is cached", func() bool {
		u, err := discoveryws.LoadList(strings.ReplaceAll(cachePattern, "%d", "0"))
		return err == nil && len(u.Endpoints) == 1
	})
	g.gateway.Stop()
	g.discovery.Stop()
	cmd := spawn(t, g.fleet, 0)
	served := func(key string) (n int) {
		c := g.dial(key)
		for i := range 60 {
			c.send(rpcCall(i, "look", `{}`))
			if strings.Contains(c.read(), `"result"`) {
				n++
			}
		}
		return n
	}
	eventually(t, "the gateway serves from the cached list", func() bool { return served(g.key) > 0 })
	if n := served("poor"); n < 15 || n > 21 {
		t.Errorf("after a start %d of 60 are served, want about half of the high-water mark of 40", n)
	}
	if n := served("roofed"); n > 1 {
		t.Errorf("after a start %d of 60 are served under a ceiling, want none", n)
	}
	cmd.Process.Kill()
	cmd.Wait()
	spawn(t, g.fleet, 0)
	if n := served("poor"); n > 21 {
		t.Errorf("after a second start %d of 60 are served, want at most half of the high-water mark", n)
	}
}

// TestStateWithoutServers guards against a state that can't be encoded. The pressure is a ratio to the number
// of servers, so with no known server it could become infinite or NaN, which JSON can't represent.
func TestStateWithoutServers(t *testing.T) {
	g := newTestGateway(t, 0, func(f *config.Fleet) {
		f.Gateways[0].StateAddress = freePort(t)
		f.Metrics.Enabled = true
	})
	if s := stateOf(g.fleet, 0); !strings.Contains(s, `"Mesh":true`) {
		t.Errorf("state is %q, want the status of the core", s)
	}
}
