package decide

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const ms = time.Millisecond

func testConfig() Config {
	return Config{Gateways: 3, Zone: "a", GossipCapacity: 40, MaxUnits: 8, SettledOnResponse: true,
		Classes: []Class{
			{Name: "get", Idempotency: Idempotent, LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1},
			{Name: "put", Idempotency: IdempotentByKey, DedupScope: DedupInCell, DedupWindow: 2 * time.Second, LatencyObjective: time.Second,
				Deadline: 4 * time.Second, PriorityWeight: 2},
			{Name: "putall", Idempotency: IdempotentByKey, DedupScope: DedupInFleet, DedupWindow: 2 * time.Second, LatencyObjective: time.Second,
				Deadline: 4 * time.Second, PriorityWeight: 2},
			{Name: "pay", Idempotency: NotIdempotent, LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 2}},
		Plans: []Plan{
			{Name: "wide", Rate: 1000, Burst: 3000, PriorityWeight: 1},
			{Name: "small", Rate: 3, Burst: 12, PriorityWeight: 1},
			{Name: "hard", Rate: 30, Burst: 60, CeilingRate: 30, CeilingBurst: 60, CeilingSlack: 6, PriorityWeight: 1},
			{Name: "open", MaxInFlight: 3, PriorityWeight: 1}},
		Limits: Limits{MaxAttempts: 3, Cancel: true, Gossip: true, RetryAfter: true, MaxRetryAfter: time.Second},
		Safety: Safety{AnswerSlack: 16 * ms, SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 2,
			OverloadWindow: time.Second}}
}

// rig drives a gateway by hand.
type harness struct {
	t   *testing.T
	g   *Gateway
	now time.Duration
	n   int
}

func newHarness(t *testing.T, edit func(*Config), servers ...Server) *harness {
	t.Helper()
	cfg := testConfig()
	if edit != nil {
		edit(&cfg)
	}
	g, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	if servers == nil {
		servers = []Server{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}, {ID: "s3", Zone: "a", Cell: 1}}
	}
	r := &harness{t: t, g: g, now: time.Hour}
	r.handle(EndpointUpdate{Kind: StaleUpdate, Servers: servers})
	return r
}

func (r *harness) handle(ev Event) []Action { return r.g.Handle(r.now, ev) }

func (r *harness) request(class, plan, customer string, units float64) (string, []Action) {
	r.n++
	id := fmt.Sprint("q", r.n)
	return id, r.handle(Request{ID: id, Class: class, Plan: plan, Customer: customer, Units: units,
		Deadline: r.now + 2*time.Second, GatewayCount: 3})
}

func actionsOf[A Action](acts []Action) (out []A) {
	for _, a := range acts {
		if x, ok := a.(A); ok {
			out = append(out, x)
		}
	}
	return out
}

// send asks and fails the test unless the request is sent on.
func (r *harness) mustSend(class, plan string) (string, Send) {
	r.t.Helper()
	id, acts := r.request(class, plan, "c", 1)
	s := actionsOf[Send](acts)
	if len(s) != 1 {
		r.t.Fatalf("%s on %s: got %#v, want one Send", class, plan, acts)
	}
	return id, s[0]
}

// serve asks, answers at once if the request is sent on, and tells whether it was.
func (r *harness) serve(class, plan, customer string, units float64) bool {
	id, acts := r.request(class, plan, customer, units)
	s := actionsOf[Send](acts)
	if len(s) == 1 {
		r.endAttempt(id, 0, s[0].Server, OutcomeOK)
	}
	return len(s) == 1
}

func (r *harness) endAttempt(id string, n int, server string, o Outcome) []Action {
	return r.handle(AttemptEnded{ID: id, Attempt: n, Server: server, Outcome: o, Duration: 20 * ms, RequestDone: o == OutcomeOK})
}

// scaled is a rig whose settings' times are so many times those of the usual one.
func newScaledHarness(t *testing.T, by float64) *harness {
	return newHarness(t, func(c *Config) {
		for i := range c.Classes {
			k := &c.Classes[i]
			k.LatencyObjective, k.Deadline = time.Duration(by*float64(k.LatencyObjective)), time.Duration(by*float64(k.Deadline))
		}
	})
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for p := rng.ExpFloat64(); p < mean; p += rng.ExpFloat64() {
		n++
	}
	return n
}

func (r *harness) customerOf(name string) *customer { return r.g.customers.byKey[hashKey(name)] }

func singleGateway(c *Config) { c.Gateways, c.Limits.Gossip = 1, false }

// plansOf returns the test's plan of that name, changed.
func planNamed(name string, edit func(*Plan)) Plan {
	for _, p := range testConfig().Plans {
		if p.Name == name {
			if edit != nil {
				edit(&p)
			}
			return p
		}
	}
	panic(name)
}

func (r *harness) fillQuota(customer string) (n int) {
	for i := 0; i < 5000 && r.serve("get", "small", customer, 1); i++ {
		n++
	}
	return n
}

// thinRig is a gateway of a large fleet: it meets each of its servers too seldom to know them.
func newSparseHarness(t *testing.T, edit func(*Config)) *harness {
	t.Helper()
	var servers []Server
	for i := 0; i < 40; i++ {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	return newHarness(t, func(c *Config) {
		c.Limits.Gossip = false // the quota is no matter here
		if edit != nil {
			edit(c)
		}
	}, servers...)
}

// overdueTimer fires the timer of the attempts that acts sent, at its time.
func (r *harness) fireOverdueTimer(acts []Action) []Action {
	r.t.Helper()
	timers := actionsOf[SetTimer](acts)
	if len(timers) != 1 {
		r.t.Fatalf("got %#v, want one timer", acts)
	}
	r.now = timers[0].At
	return r.handle(TimerFired{timers[0].Token})
}
