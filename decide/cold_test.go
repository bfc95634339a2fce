package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestColdServerOverAllGateways: of 300 gateways with two and a half requests a second each, all together send a
// server that starts a trickle: some of what a warm one gets, less than the rule allows, and not one request each.
func TestColdServerOverAllGateways(t *testing.T) {
	var servers []Server
	for i := 0; i < 20; i++ {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	cfg := testConfig()
	cfg.Limits.Peers = false // the quota is no matter here
	cfg.Gateways = 300
	cold, warm := 0, 0
	for i := 0; i < cfg.Gateways; i++ {
		cfg.Rank = i
		g, err := New(cfg, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(0, FleetUpdate{Kind: FleetFull, Servers: servers})
		for n := 0; n < 30; n++ {
			now := time.Duration(n+1) * 400 * ms
			g.Handle(now, TimerFired{beatToken})
			if n == 25 {
				g.Handle(now, FleetUpdate{Kind: FleetDelta, Servers: []Server{{ID: "s0", Zone: "a", Started: now}}})
			}
			id := fmt.Sprint(n)
			for _, s := range find[Send](g.Handle(now, Request{ID: id, Class: "get", Plan: "wide", Customer: "x",
				Units: 1, Deadline: now + time.Second, Spread: 1})) {
				if n >= 25 && s.Server == "s0" {
					cold++
				} else if n >= 25 {
					warm++
				}
				g.Handle(now+50*ms, AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Took: 50 * ms, Done: true})
			}
		}
	}
	usual := float64(warm) / 19
	if most := cfg.Safety.FallMultiple * 0.4 * usual; float64(cold) > most || cold == 0 {
		t.Errorf("the cold server got %d in 2 s, a warm one %v: want some, %v at most", cold, usual, most)
	}
}
