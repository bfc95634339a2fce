package decide

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig has a class of each kind of idempotency and a plan of each kind of limit.
func testConfig() Config {
	return Config{
		Gateways:          3,
		Zone:              "a",
		GossipCapacity:    40,
		MaxUnits:          8,
		SettledOnResponse: true,
		Classes: []Class{
			testClass(Class{Name: "get", Idempotency: Idempotent, PriorityWeight: 1}),
			testClass(Class{Name: "put", Idempotency: IdempotentByKey, DedupScope: DedupInCell, PriorityWeight: 2}),
			testClass(Class{Name: "putall", Idempotency: IdempotentByKey, DedupScope: DedupInFleet, PriorityWeight: 2}),
			testClass(Class{Name: "pay", Idempotency: NotIdempotent, PriorityWeight: 2}),
		},
		Plans: []Plan{
			{Name: "wide", Rate: 1000, Burst: 3000, PriorityWeight: 1},
			{Name: "small", Rate: 3, Burst: 12, PriorityWeight: 1},
			{Name: "hard", Rate: 30, Burst: 60, CeilingRate: 30, CeilingBurst: 60, CeilingSlack: 6, PriorityWeight: 1},
			{Name: "open", MaxInFlight: 3, PriorityWeight: 1},
		},
		Limits: Limits{MaxAttempts: 3, Cancel: true, Gossip: true, RetryAfter: true, MaxRetryAfter: time.Second},
		Safety: Safety{
			AnswerSlack:       16 * ms,
			SlowStartCapacity: 0.2,
			SlowStartDuration: 10 * time.Second,
			OverloadMultiple:  2,
			OverloadWindow:    time.Second,
		},
	}
}

// testClass gives a class the times that all classes of testConfig have.
func testClass(k Class) Class {
	k.LatencyObjective, k.Deadline = time.Second, 4*time.Second
	if k.Idempotency == IdempotentByKey {
		k.DedupWindow = 2 * time.Second
	}
	return k
}

// harness drives one gateway by hand, at a time that only the test moves.
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
	h := &harness{t: t, g: g, now: time.Hour}
	h.handle(EndpointUpdate{Kind: StaleUpdate, Servers: servers})
	return h
}

// handle hands an event to the gateway at the present time.
func (h *harness) handle(ev Event) []Action { return h.g.Handle(h.now, ev) }

// request sends a request of a new ID, with two seconds to its deadline.
func (h *harness) request(class, plan, customer string, units float64) (string, []Action) {
	h.n++
	id := fmt.Sprint("q", h.n)
	return id, h.handle(Request{ID: id, Class: class, Plan: plan, Customer: customer, Units: units,
		Deadline: h.now + 2*time.Second, GatewayCount: 3})
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](acts []Action) (out []A) {
	for _, a := range acts {
		if x, ok := a.(A); ok {
			out = append(out, x)
		}
	}
	return out
}

// mustSend sends a request and fails the test unless it is forwarded.
func (h *harness) mustSend(class, plan string) (string, Send) {
	h.t.Helper()
	id, acts := h.request(class, plan, "c", 1)
	s := actionsOf[Send](acts)
	if len(s) != 1 {
		h.t.Fatalf("%s on %s: got %#v, want one Send", class, plan, acts)
	}
	return id, s[0]
}

// serve sends a request, responds to it at once if it is forwarded, and reports whether it was.
func (h *harness) serve(class, plan, customer string, units float64) bool {
	id, acts := h.request(class, plan, customer, units)
	s := actionsOf[Send](acts)
	if len(s) == 1 {
		h.endAttempt(id, 0, s[0].Server, OutcomeOK)
	}
	return len(s) == 1
}

// endAttempt ends an attempt with the outcome; OutcomeOK is the final answer.
func (h *harness) endAttempt(id string, n int, server string, o Outcome) []Action {
	return h.handle(AttemptEnded{ID: id, Attempt: n, Server: server, Outcome: o, Duration: 20 * ms,
		RequestDone: o == OutcomeOK})
}

// newScaledHarness has a gateway whose classes take so many times the usual time.
func newScaledHarness(t *testing.T, by float64) *harness {
	t.Helper()
	return newHarness(t, func(c *Config) {
		for i := range c.Classes {
			k := &c.Classes[i]
			k.LatencyObjective = time.Duration(by * float64(k.LatencyObjective))
			k.Deadline = time.Duration(by * float64(k.Deadline))
		}
	})
}

// poisson draws how many events of a Poisson process come in a time in which the mean is given.
func poisson(rng *rand.Rand, mean float64) (n int) {
	for p := rng.ExpFloat64(); p < mean; p += rng.ExpFloat64() {
		n++
	}
	return n
}

func (h *harness) customerOf(name string) *customer { return h.g.customers.byKey[hashKey(name)] }

// singleGateway makes the fleet one gateway.
func singleGateway(c *Config) { c.Gateways, c.Limits.Gossip = 1, false }

// planNamed returns the test's plan of that name, edited.
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

// fillQuota has requests of a customer on the small plan served until one is rejected, and counts them.
func (h *harness) fillQuota(customer string) (n int) {
	for i := 0; i < 5000 && h.serve("get", "small", customer, 1); i++ {
		n++
	}
	return n
}

// newSparseHarness has a gateway that sends each of its many servers too little to know them.
func newSparseHarness(t *testing.T, edit func(*Config)) *harness {
	t.Helper()
	var servers []Server
	for i := 0; i < 40; i++ {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	return newHarness(t, func(c *Config) {
		c.Limits.Gossip = false // the quota does not matter here
		if edit != nil {
			edit(c)
		}
	}, servers...)
}

// fireOverdueTimer fires the one timer that the actions set, at its time.
func (h *harness) fireOverdueTimer(acts []Action) []Action {
	h.t.Helper()
	timers := actionsOf[SetTimer](acts)
	if len(timers) != 1 {
		h.t.Fatalf("got %#v, want one timer", acts)
	}
	h.now = timers[0].At
	return h.handle(TimerFired{timers[0].Token})
}
