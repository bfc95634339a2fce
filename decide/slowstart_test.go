package decide

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// A server in slow start fails if it gets as many requests as a warm one. It must get only the part that
// its present capacity allows, and its full part when the slow start is over.
func TestSlowStart(t *testing.T) {
	h := newHarness(t, nil)
	run := func(d time.Duration) map[string]int {
		n := map[string]int{}
		for end := h.now + d; h.now < end; h.now += 20 * ms {
			id, s := h.mustSend("get", "wide")
			n[s.Server]++
			h.now += 5 * ms
			h.endAttempt(id, 0, s.Server, OutcomeOK)
		}
		return n
	}
	run(10 * time.Second)
	h.handle(EndpointUpdate{Kind: DeltaUpdate,
		Servers: []Server{{ID: "s1", Zone: "a", StartedAt: h.now - ms}}})
	n := run(time.Second)
	warm := float64(n["s2"]+n["s3"]) / 2
	// The overload multiple is 2 and the capacity stays below 0.3 in the first second. The factor 1.2 and
	// the additional request allow for chance.
	if most := slowStartMargin * 2 * 0.3 * warm * 1.2; float64(n["s1"]) > most+1 {
		t.Errorf("server in slow start got %d requests in its first second, want at most %v", n["s1"], most)
	}
	run(10 * time.Second)
	if n = run(2 * time.Second); n["s1"] < n["s2"]/2 {
		t.Errorf("server got %d requests after its slow start, want at least half of those of s2: %v",
			n["s1"], n)
	}
}

// If each of 300 gateways sent a newly started server a single request, these would already overload it.
// Together they must send it some requests, but no more than the overload rule allows.
func TestSlowStartAcrossGateways(t *testing.T) {
	var servers []Server
	for i := 0; i < 20; i++ {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	cfg := testConfig()
	cfg.Limits.Gossip = false // quotas are irrelevant here
	cfg.Gateways = 300
	slowStarting, warm := 0, 0
	for i := 0; i < cfg.Gateways; i++ {
		cfg.Rank = i
		g, err := New(cfg, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(0, EndpointUpdate{Kind: FullUpdate, Servers: servers})
		for n := 0; n < 30; n++ {
			now := time.Duration(n+1) * 400 * ms
			g.Handle(now, TimerFired{heartbeatToken})
			if n == 25 { // s0 starts after 10 s; the last 5 rounds take 2 s
				g.Handle(now, EndpointUpdate{Kind: DeltaUpdate,
					Servers: []Server{{ID: "s0", Zone: "a", StartedAt: now}}})
			}
			id := fmt.Sprint(n)
			for _, s := range actionsOf[Send](g.Handle(now, Request{ID: id, Class: "get", Plan: "wide",
				Customer: "x",
				Units:    1, Deadline: now + time.Second, GatewayCount: 1})) {
				if n >= 25 && s.Server == "s0" {
					slowStarting++
				} else if n >= 25 {
					warm++
				}
				g.Handle(now+50*ms, AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK,
					Duration:    50 * ms,
					RequestDone: true})
			}
		}
	}
	perWarmServer := float64(warm) / 19
	// The capacity of s0 stays below 0.4 in the 2 s after its start.
	if most := cfg.Safety.OverloadMultiple * 0.4 * perWarmServer; float64(slowStarting) > most ||
		slowStarting == 0 {
		t.Errorf("server in slow start got %d requests in 2 s, a warm one %v; want 1 to %v",
			slowStarting, perWarmServer, most)
	}
}

// slowStartFleet simulates many gateways whose servers answer every request in time.
type slowStartFleet struct {
	t        *testing.T
	cfg      Config
	gateways []*Gateway
	pending  map[time.Duration][]func()
	now      time.Duration
	created  int // gateways started and requests sent; numbers seeds and requests
	sentTo   map[string]int
}

// start starts or restarts a gateway with no state.
func (f *slowStartFleet) start(i int, servers []Server) {
	f.cfg.Rank = i
	f.created++
	g, err := New(f.cfg, int64(f.created))
	if err != nil {
		f.t.Fatal(err)
	}
	g.Handle(f.now, EndpointUpdate{Kind: FullUpdate, Servers: servers})
	f.gateways[i] = g
}

// step advances the time by ten milliseconds and sends requests at the rate, in requests per second, to
// random gateways.
func (f *slowStartFleet) step(rng *rand.Rand, rate float64) {
	f.now += 10 * ms
	for _, do := range f.pending[f.now] {
		do()
	}
	delete(f.pending, f.now)
	if f.now%(100*ms) == 0 {
		for _, g := range f.gateways {
			g.Handle(f.now, TimerFired{heartbeatToken})
		}
	}
	for range poisson(rng, rate/100) {
		f.created++
		id, g := fmt.Sprint(f.created), f.gateways[rng.Intn(len(f.gateways))]
		for _, s := range actionsOf[Send](g.Handle(f.now,
			Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1,
				Deadline: f.now + 2*time.Second, GatewayCount: 1})) {
			f.sentTo[s.Server]++
			f.pending[f.now+50*ms] = append(f.pending[f.now+50*ms], func() {
				g.Handle(f.now, AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: 50 * ms,
					RequestDone: true})
			})
		}
	}
}

// The requests of all gateways to a server in slow start must stay within its capacity times
// OverloadMultiple, with an allowance for chance. This must hold for any number of gateways, also where the
// budget of each is less than a request, during a burst of traffic, and while gateways restart. Otherwise
// the server fails at its start.
func TestSlowStartBudgetAcrossFleet(t *testing.T) {
	const servers, perServer = 10, 40.0 // requests per second at a warm server
	for _, gateways := range []int{1, 3, 30, 300} {
		for _, c := range []struct {
			name           string
			burst, restart float64 // factor on the traffic; fraction of the gateways that restart per second
		}{{"even", 1, 0}, {"burst", 2.4, 0}, {"restarts", 1, 0.3}} {
			rng := rand.New(rand.NewSource(int64(gateways)))
			cfg := testConfig()
			cfg.Limits.Gossip, cfg.Gateways = false, gateways // quotas are irrelevant here
			f := &slowStartFleet{t: t, cfg: cfg, gateways: make([]*Gateway, gateways),
				pending: map[time.Duration][]func(){}, sentTo: map[string]int{}}
			var list []Server
			for i := range servers {
				list = append(list, Server{ID: fmt.Sprint("s", i), Zone: "a"})
			}
			for i := range gateways {
				f.start(i, list)
			}
			for f.now < 15*time.Second {
				f.step(rng, servers*perServer)
			}
			list[0].StartedAt = f.now
			for _, g := range f.gateways {
				g.Handle(f.now, EndpointUpdate{Kind: DeltaUpdate, Servers: list[:1]})
			}
			slowStartBegan, before := f.now, f.sentTo["s0"]
			for f.now < slowStartBegan+4*time.Second {
				from := f.sentTo["s0"]
				for end := f.now + cfg.Safety.OverloadWindow; f.now < end; {
					f.step(rng, c.burst*servers*perServer)
					if c.restart > 0 && rng.Float64() < c.restart*float64(gateways)/100 {
						f.start(rng.Intn(gateways), list)
					}
				}
				// perServer is the traffic of a warm server before the burst.
				safety := &cfg.Safety
				progress := float64(f.now-slowStartBegan-safety.OverloadWindow) /
					float64(safety.SlowStartDuration)
				capacity := safety.SlowStartCapacity + (1-safety.SlowStartCapacity)*progress
				n := cfg.Safety.OverloadMultiple * capacity * perServer * cfg.Safety.OverloadWindow.Seconds()
				if got := float64(f.sentTo["s0"] - from); got > n+2*math.Sqrt(n)+2 {
					t.Errorf("%d gateways, %s: got %.0f requests in %v at %v, want at most %.1f plus chance",
						gateways, c.name, got,
						cfg.Safety.OverloadWindow, f.now-slowStartBegan, n)
				}
			}
			if f.sentTo["s0"] == before {
				t.Errorf("%d gateways, %s: server in slow start got no requests", gateways, c.name)
			}
		}
	}
}
