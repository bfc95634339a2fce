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

// TestDrainOnSignal drains a gateway with requests open: each has its answer, new ones are rejected, and sessions are
// closed with the code for going away.
func TestDrainOnSignal(t *testing.T) {
	g := newTestGateway(t, 2, nil)
	for _, n := range g.servers {
		n.SetFault(func(x *backend.Fault) { x.Slowdown = 150 })
	}
	c := g.dial(g.key)
	idle := g.dial(g.key)
	for i := range 10 {
		c.send(rpcCall(i, "folio", `{}`))
	}
	eventually(t, "ten are open", func() bool { return g.gateway.State().OpenRequests == 10 })
	done := make(chan struct{})
	go func() { g.gateway.Drain(); close(done) }()
	eventually(t, "it drains", func() bool { return !listens(g.fleet.Gateways[0].Listen) })
	c.send(rpcCall("new", "look", `{}`))
	served, refused := 0, 0
	for range 11 {
		switch s := c.read(); {
		case strings.Contains(s, `"result"`):
			served++
		case strings.Contains(s, `"reason":"draining"`):
			refused++
		}
	}
	if served != 10 || refused != 1 {
		t.Errorf("%d served, %d refused", served, refused)
	}
	for _, x := range []*client{c, idle} {
		if m, err := x.reader.Next(); err != nil || m.Opcode != websocket.Close || m.Data[1] != 0xe9 {
			t.Errorf("%v %v, want a close frame with 1001", m, err)
		}
		x.conn.Close()
	}
	<-done
}

// TestStartsFromKeptList kills a gateway and starts it while discovery is away: it serves by the list that it cached,
// with all servers in slow start. A bucket whose past is unknown counts as half full, the tokens under a ceiling as
// used up.
func TestStartsFromKeptList(t *testing.T) {
	kept := filepath.Join(t.TempDir(), "list-%d")
	g := newTestGateway(t, 1, func(f *config.Fleet) {
		f.EndpointListPattern = kept
		f.Decide.Plans[1].Rate, f.Decide.Plans[1].Burst = 0.001, 40
		p := f.Decide.Plans[1]
		p.Name, p.CeilingRate, p.CeilingBurst = "roofed", 0.001, 40
		f.Decide.Plans = append(f.Decide.Plans, p)
		m := f.Members[1]
		m.Name, m.Plan = "roofed", "roofed"
		m.Keys = nil
		m.Keys = append(m.Keys, f.Secret.MemberKeyHasher().Sum([]byte("roofed")))
		f.Members = append(f.Members, m)
	})
	eventually(t, "the list is cached", func() bool {
		u, err := discoveryws.LoadList(strings.ReplaceAll(kept, "%d", "0"))
		return err == nil && len(u.Endpoints) == 1
	})
	g.gateway.Stop()
	g.discovery.Stop()
	p := spawn(t, g.fleet, 0)
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
	eventually(t, "the cached list is taken", func() bool { return served(g.key) > 0 })
	if n := served("poor"); n < 15 || n > 21 {
		t.Errorf("after a start %d of 60 are served, want half the mark of 40", n)
	}
	if n := served("roofed"); n > 1 {
		t.Errorf("after a start %d are served under a ceiling, want none", n)
	}
	p.Process.Kill()
	p.Wait()
	spawn(t, g.fleet, 0)
	if n := served("poor"); n > 21 {
		t.Errorf("after another start %d are served, want half the mark at most", n)
	}
}

// TestStateWithoutNodes reads the state of a gateway that knows no server: the pressure, which is over their number,
// must not be a number that JSON can't hold.
func TestStateWithoutNodes(t *testing.T) {
	g := newTestGateway(t, 0, func(f *config.Fleet) {
		f.Gateways[0].StateAddress = freePort(t)
		f.Metrics.Enabled = true
	})
	if s := stateOf(g.fleet, 0); !strings.Contains(s, `"Mesh":true`) {
		t.Errorf("%q", s)
	}
}
