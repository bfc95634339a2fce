package decide

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// joined is a few gateways whose messages reach each other late, some never, in an order that a seed decides.
type cluster struct {
	t           *testing.T
	cfg         Config
	gateways    []*Gateway
	rng         *rand.Rand
	now         time.Duration
	pending     []delivery
	received    []int // messages that each gateway was sent
	used        float64
	refused     int
	inFlight    map[string]float64
	loss        float64
	down        map[int]bool
	partitioned func(a, b int) bool // they don't hear each other
}

type delivery struct {
	at time.Duration
	to int
	ev Event
}

func newCluster(t *testing.T, n int, edit func(*Config)) *cluster {
	t.Helper()
	j := &cluster{t: t, cfg: testConfig(), rng: rand.New(rand.NewSource(5)), now: time.Hour, gateways: make([]*Gateway, n),
		received: make([]int, n), inFlight: map[string]float64{}, loss: 0.05, down: map[int]bool{}}
	j.cfg.Gateways = n
	if edit != nil {
		edit(&j.cfg)
	}
	for i := range j.gateways {
		j.start(i)
	}
	return j
}

func (j *cluster) start(i int) {
	cfg := j.cfg
	cfg.Rank = i
	g, err := New(cfg, j.rng.Int63())
	if err != nil {
		j.t.Fatal(err)
	}
	j.gateways[i] = g
	j.pending = filterDeliveries(j.pending, func(l delivery) bool { return l.to != i })
	j.handle(i, EndpointUpdate{Kind: StaleUpdate, Servers: []Server{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}}})
}

func filterDeliveries(ls []delivery, want func(delivery) bool) (out []delivery) {
	for _, l := range ls {
		if want(l) {
			out = append(out, l)
		}
	}
	return out
}

func (j *cluster) handle(i int, ev Event) {
	for _, a := range j.gateways[i].Handle(j.now, ev) {
		switch a := a.(type) {
		case SendGossip:
			j.received[a.To]++
			if j.rng.Float64() >= j.loss && !j.down[a.To] && (j.partitioned == nil || !j.partitioned(i, a.To)) {
				late := time.Duration(2+j.rng.Intn(16)) * ms
				j.pending = append(j.pending, delivery{at: j.now + late, to: a.To, ev: GossipReceived{i, a.Text}})
			}
		case SetTimer:
			j.pending = append(j.pending, delivery{at: a.At, to: i, ev: TimerFired{a.Token}})
		case Send:
			j.used += j.inFlight[a.ID]
			j.pending = append(j.pending, delivery{at: j.now + 30*ms, to: i, ev: AttemptEnded{ID: a.ID, Server: a.Server,
				Outcome: OutcomeOK, Duration: 30 * ms, RequestDone: true}})
		case Reject:
			j.refused++
		}
	}
}

// run plays on to a time, with a request asked for every gap at a gateway that pick names.
func (j *cluster) run(d, gap time.Duration, plan string, units float64, pick func(n int) int) {
	for end, n := j.now+d, 0; j.now < end; n++ {
		if i := pick(n); !j.down[i] {
			id := fmt.Sprint(j.now, "-", n)
			j.inFlight[id] = units
			j.handle(i, Request{ID: id, Class: "get", Plan: plan, Customer: "x", Units: units,
				Deadline: j.now + 2*time.Second, GatewayCount: len(j.gateways)})
		}
		for next := j.now + gap; j.now < next; j.now += 4 * ms {
			var ready []delivery
			j.pending = filterDeliveries(j.pending, func(l delivery) bool {
				if l.at <= j.now {
					ready = append(ready, l)
				}
				return l.at > j.now
			})
			for _, l := range ready {
				if !j.down[l.to] {
					j.handle(l.to, l.ev)
				}
			}
		}
	}
}
