package decide

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// cluster simulates a fleet of gateways. Datagrams are delayed and sometimes lost, reproducibly for a seed.
type cluster struct {
	t           *testing.T
	cfg         Config
	gateways    []*Gateway
	rng         *rand.Rand
	now         time.Duration
	pending     []delivery
	received    []int              // datagrams sent to each gateway, including lost ones
	used        float64            // units of the forwarded requests
	units       map[string]float64 // units by request ID
	loss        float64            // probability that a datagram is lost
	down        map[int]bool
	partitioned func(a, b int) bool // reports whether two gateways cannot reach each other; may be nil
}

// delivery is an event that a gateway will receive at a given time.
type delivery struct {
	at time.Duration
	to int
	ev Event
}

func newCluster(t *testing.T, n int, edit func(*Config)) *cluster {
	t.Helper()
	fleet := &cluster{t: t, cfg: testConfig(), rng: rand.New(rand.NewSource(5)), now: time.Hour,
		gateways: make([]*Gateway, n),
		received: make([]int, n), units: map[string]float64{}, loss: 0.05, down: map[int]bool{}}
	fleet.cfg.Gateways = n
	if edit != nil {
		edit(&fleet.cfg)
	}
	for i := range fleet.gateways {
		fleet.start(i)
	}
	return fleet
}

// start starts or restarts a gateway with no state, and drops the pending events for it.
func (c *cluster) start(i int) {
	cfg := c.cfg
	cfg.Rank = i
	g, err := New(cfg, c.rng.Int63())
	if err != nil {
		c.t.Fatal(err)
	}
	c.gateways[i] = g
	c.pending = filterDeliveries(c.pending, func(l delivery) bool { return l.to != i })
	c.handle(i, EndpointUpdate{Kind: StaleUpdate,
		Servers: []Server{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}}})
}

func filterDeliveries(ls []delivery, want func(delivery) bool) (out []delivery) {
	for _, l := range ls {
		if want(l) {
			out = append(out, l)
		}
	}
	return out
}

// handle passes an event to a gateway and carries out the returned actions.
func (c *cluster) handle(i int, ev Event) {
	for _, a := range c.gateways[i].Handle(c.now, ev) {
		switch a := a.(type) {
		case SendGossip:
			c.received[a.To]++
			if c.rng.Float64() >= c.loss && !c.down[a.To] &&
				(c.partitioned == nil || !c.partitioned(i, a.To)) {
				delay := time.Duration(2+c.rng.Intn(16)) * ms
				c.pending = append(c.pending,
					delivery{at: c.now + delay, to: a.To, ev: GossipReceived{i, a.Text}})
			}
		case SetTimer:
			c.pending = append(c.pending, delivery{at: a.At, to: i, ev: TimerFired{a.Token}})
		case Send:
			c.used += c.units[a.ID]
			c.pending = append(c.pending, delivery{at: c.now + 30*ms, to: i, ev: AttemptEnded{ID: a.ID,
				Server:  a.Server,
				Outcome: OutcomeOK, Duration: 30 * ms, RequestDone: true}})
		}
	}
}

// run advances the time by d and sends a request every gap, each to the gateway whose rank pick returns.
func (c *cluster) run(d, gap time.Duration, plan string, units float64, pick func(n int) int) {
	for end, n := c.now+d, 0; c.now < end; n++ {
		if i := pick(n); !c.down[i] {
			id := fmt.Sprint(c.now, "-", n)
			c.units[id] = units
			c.handle(i, Request{ID: id, Class: "get", Plan: plan, Customer: "x", Units: units,
				Deadline: c.now + 2*time.Second, GatewayCount: len(c.gateways)})
		}
		c.wait(gap)
	}
}

// wait advances the time by d without requests.
func (c *cluster) wait(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += 4 * ms {
		var ready []delivery
		c.pending = filterDeliveries(c.pending, func(l delivery) bool {
			if l.at <= c.now {
				ready = append(ready, l)
			}
			return l.at > c.now
		})
		for _, l := range ready {
			if !c.down[l.to] {
				c.handle(l.to, l.ev)
			}
		}
	}
}
