package decide

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig has a class for each kind of idempotency and a plan for each kind of limit.
func testConfig() Config {
	return Config{
		Gateways:          3,
		Zone:              "a",
		GossipCapacity:    40,
		MaxUnits:          8,
		SettledOnResponse: true,
		Classes: []Class{
			testClass(Class{Name: "get", Idempotency: Idempotent, PriorityWeight: 1}),
			testClass(Class{Name: "put", Idempotency: IdempotentByKey, DedupScope: DedupInCell,
				PriorityWeight: 2}),
			testClass(Class{Name: "putall", Idempotency: IdempotentByKey, DedupScope: DedupInFleet,
				PriorityWeight: 2}),
			testClass(Class{Name: "pay", Idempotency: NotIdempotent, PriorityWeight: 2}),
		},
		Plans: []Plan{
			{Name: "wide", Rate: 1000, Burst: 3000, PriorityWeight: 1},
			{Name: "small", Rate: 3, Burst: 12, PriorityWeight: 1},
			{Name: "hard", Rate: 30, Burst: 60, CeilingRate: 30, CeilingBurst: 60, CeilingSlack: 6,
				PriorityWeight: 1},
			{Name: "open", MaxInFlight: 3, PriorityWeight: 1},
		},
		Limits: Limits{MaxAttempts: 3, Cancel: true, Gossip: true, RetryAfter: true,
			MaxRetryAfter: time.Second},
		Safety: Safety{
			AnswerSlack:       16 * ms,
			SlowStartCapacity: 0.2,
			SlowStartDuration: 10 * time.Second,
			OverloadMultiple:  2,
			OverloadWindow:    time.Second,
		},
	}
}

// testClass sets the durations that all classes of testConfig share.
func testClass(k Class) Class {
	k.LatencyObjective, k.Deadline = time.Second, 4*time.Second
	if k.Idempotency == IdempotentByKey {
		k.DedupWindow = 2 * time.Second
	}
	return k
}

// harness drives a single gateway at a time that only the test advances.
type harness struct {
	t            *testing.T
	g            *Gateway
	now          time.Duration
	requestCount int
}

// newHarness returns a gateway with the configuration of testConfig, changed by edit, and with three
// servers unless others are given.
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

// handle passes an event to the gateway at the current time.
func (h *harness) handle(ev Event) []Action { return h.g.Handle(h.now, ev) }

// request sends a request with a new ID and a deadline in two seconds.
func (h *harness) request(class, plan, customer string, units float64) (string, []Action) {
	h.requestCount++
	id := fmt.Sprint("q", h.requestCount)
	return id, h.handle(Request{ID: id, Class: class, Plan: plan, Customer: customer, Units: units,
		Deadline: h.now + 2*time.Second, GatewayCount: 3})
}

// actionsOf returns the actions of type A.
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

// serve sends a request, answers it at once if it is forwarded, and reports whether it was forwarded.
func (h *harness) serve(class, plan, customer string, units float64) bool {
	id, acts := h.request(class, plan, customer, units)
	s := actionsOf[Send](acts)
	if len(s) == 1 {
		h.endAttempt(id, 0, s[0].Server, OutcomeOK)
	}
	return len(s) == 1
}

// endAttempt ends an attempt with the outcome. A response with OutcomeOK is the final answer.
func (h *harness) endAttempt(id string, n int, server string, o Outcome) []Action {
	return h.handle(AttemptEnded{ID: id, Attempt: n, Server: server, Outcome: o, Duration: 20 * ms,
		RequestDone: o == OutcomeOK})
}

// newScaledHarness returns a harness whose class objectives and deadlines are multiplied by a factor.
func newScaledHarness(t *testing.T, scale float64) *harness {
	t.Helper()
	return newHarness(t, func(c *Config) {
		for i := range c.Classes {
			k := &c.Classes[i]
			k.LatencyObjective = time.Duration(scale * float64(k.LatencyObjective))
			k.Deadline = time.Duration(scale * float64(k.Deadline))
		}
	})
}

// poisson draws the number of events of a Poisson process in an interval with the given mean number.
func poisson(rng *rand.Rand, mean float64) (n int) {
	for p := rng.ExpFloat64(); p < mean; p += rng.ExpFloat64() {
		n++
	}
	return n
}

func (h *harness) customerOf(name string) *customer { return h.g.customers.byKey[hashKey(name)] }

// singleGateway reduces the fleet to one gateway.
func singleGateway(c *Config) { c.Gateways, c.Limits.Gossip = 1, false }

// planNamed returns the plan of testConfig with the name, changed by edit unless that is nil.
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

// fillQuota sends requests of a customer on the small plan until one is rejected, and returns the number
// served.
func (h *harness) fillQuota(customer string) (n int) {
	for i := 0; i < 5000 && h.serve("get", "small", customer, 1); i++ {
		n++
	}
	return n
}

// newSparseHarness returns a harness with so many servers that observations of each one are sparse.
func newSparseHarness(t *testing.T, edit func(*Config)) *harness {
	t.Helper()
	var servers []Server
	for i := 0; i < 40; i++ {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	return newHarness(t, func(c *Config) {
		c.Limits.Gossip = false // quotas are irrelevant here
		if edit != nil {
			edit(c)
		}
	}, servers...)
}

// fireOverdueTimer fires the single timer that the actions set, at its time.
func (h *harness) fireOverdueTimer(acts []Action) []Action {
	h.t.Helper()
	timers := actionsOf[SetTimer](acts)
	if len(timers) != 1 {
		h.t.Fatalf("got %#v, want one timer", acts)
	}
	h.now = timers[0].At
	return h.handle(TimerFired{timers[0].Token})
}
