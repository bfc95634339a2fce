package decide

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// randomSimulation simulates servers, clients, discovery and a peer of one gateway with random events, and
// checks each action against the rules that always hold.
type randomSimulation struct {
	t    *testing.T
	seed int64
	rng  *rand.Rand
	cfg  Config
	g    *Gateway
	now  time.Duration

	requests  map[string]*trackedRequest
	open      []string // IDs of the requests without a final answer or with an attempt in flight
	servers   []Server
	forwarded map[string]float64 // units by customer, for customers on a plan with a ceiling
	log       []Action
}

// trackedRequest is the simulation's record of a request.
type trackedRequest struct {
	Request
	class    Class
	attempts []*trackedAttempt
	done     bool // whether it has its final answer
}

type trackedAttempt struct {
	Send
	sentAt     time.Duration
	inFlight   bool
	mayHaveRun bool
}

func (r *trackedRequest) inFlight() (n int) {
	for _, a := range r.attempts {
		n += boolToInt(a.inFlight)
	}
	return n
}

// simulateRandom simulates 3000 random events, about half a minute, and returns the actions.
func simulateRandom(t *testing.T, seed int64) []Action {
	t.Helper()
	sim := &randomSimulation{
		t:         t,
		seed:      seed,
		rng:       rand.New(rand.NewSource(seed)),
		cfg:       testConfig(),
		requests:  map[string]*trackedRequest{},
		forwarded: map[string]float64{},
	}
	sim.cfg.Limits.Hedging = seed%2 == 0
	g, err := New(sim.cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	sim.g = g
	for i := range 5 {
		sim.servers = append(sim.servers, Server{ID: fmt.Sprint("s", i), Zone: "a", Cell: i % 2})
	}
	sim.handle(EndpointUpdate{Kind: StaleUpdate, Servers: sim.servers})
	for i := range 3000 {
		sim.now += time.Duration(sim.rng.Intn(20)) * ms
		sim.simulateEvent(i)
		sim.simulateAttempts()
	}
	return sim.log
}

// simulateEvent sends a random event: a request, a change of a server, gossip or the heartbeat timer;
// sometimes none.
func (sim *randomSimulation) simulateEvent(i int) {
	switch k := sim.rng.Intn(20); {
	case k < 9:
		sim.simulateRequest(fmt.Sprint("q", i))
	case k < 11:
		s := &sim.servers[sim.rng.Intn(len(sim.servers))]
		s.State = ServerState(sim.rng.Intn(3))
		if sim.rng.Intn(2) == 0 {
			s.State, s.StartedAt = Serving, sim.now
		}
		sim.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{*s}})
	case k < 12:
		sim.handle(GossipReceived{From: 1 + sim.rng.Intn(2), Text: gossipText(
			sim.rng.Intn(2), sim.rng.Intn(4096),
			entryText("c1hard", 2, sim.rng.Intn(4096), sim.rng.Intn(4096), sim.rng.Intn(64)))})
	case k < 13:
		sim.handle(TimerFired{heartbeatToken})
	}
}

func (sim *randomSimulation) simulateRequest(id string) {
	class := sim.cfg.Classes[sim.rng.Intn(len(sim.cfg.Classes))]
	r := Request{
		ID:           id,
		Class:        class.Name,
		Plan:         sim.cfg.Plans[sim.rng.Intn(len(sim.cfg.Plans))].Name,
		Customer:     fmt.Sprint("c", sim.rng.Intn(6)),
		Units:        float64(1 + sim.rng.Intn(4)),
		Deadline:     sim.now + time.Duration(500+sim.rng.Intn(1000))*ms,
		GatewayCount: 3,
	}
	r.Customer += r.Plan
	sim.requests[id] = &trackedRequest{Request: r, class: class}
	sim.open = append(sim.open, id)
	sim.handle(r)
}

// simulateAttempts ends the attempts that have timed out, and others at random. It fails the test if a
// request has no final answer by its deadline, plus the allowed slack and one step of at most 20 ms.
func (sim *randomSimulation) simulateAttempts() {
	for _, id := range sim.open {
		r := sim.requests[id]
		for n := 0; n < len(r.attempts); n++ { // ending an attempt may start another one
			a := r.attempts[n]
			switch {
			case !a.inFlight:
			case sim.now >= a.sentAt+a.Timeout:
				sim.endAttempt(r, n, OutcomeTimedOut)
			case sim.rng.Intn(12) == 0:
				sim.endAttempt(r, n, Outcome(1+sim.rng.Intn(7)))
			}
		}
		if !r.done && sim.now > r.Deadline+sim.cfg.Safety.AnswerSlack+20*ms {
			sim.t.Fatalf("seed %d: no final answer for %s", sim.seed, id)
		}
	}
	sim.open = filterIDs(sim.open, func(id string) bool {
		return !sim.requests[id].done || sim.requests[id].inFlight() > 0
	})
}

func (sim *randomSimulation) endAttempt(r *trackedRequest, n int, o Outcome) {
	a := r.attempts[n]
	a.inFlight = false
	if o.neverRan() {
		a.mayHaveRun = false
	}
	r.done = r.done || o == OutcomeOK
	sim.handle(AttemptEnded{
		ID:          r.ID,
		Attempt:     n,
		Server:      a.Server,
		Outcome:     o,
		Duration:    sim.now - a.sentAt,
		RequestDone: r.done,
		ActualUnits: float64(1 + sim.rng.Intn(8)),
	})
}

func (sim *randomSimulation) handle(ev Event) {
	actions := sim.g.Handle(sim.now, ev)
	sim.log = append(sim.log, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			sim.checkSend(a)
		case Reject:
			sim.checkReject(sim.requests[a.ID])
		case Fail:
			sim.finish(sim.requests[a.ID])
		}
	}
}

// checkSend fails the test if an attempt goes to a server that must not get one, exceeds the limits, could
// run a request twice, or exceeds the ceiling of a customer on the plan "hard".
func (sim *randomSimulation) checkSend(a Send) {
	r := sim.requests[a.ID]
	if r == nil || r.done {
		sim.t.Fatalf("seed %d: Send for unknown or finished request %s", sim.seed, a.ID)
	}
	server := sim.server(a.Server)
	if server.State != Serving {
		sim.t.Fatalf("seed %d: Send to %s, which is draining or removed", sim.seed, a.Server)
	}
	if len(r.attempts) >= sim.cfg.Limits.MaxAttempts || (!sim.cfg.Limits.Hedging && r.inFlight() > 0) {
		sim.t.Fatalf("seed %d: attempt %d with %d in flight exceeds the limits",
			sim.seed, len(r.attempts), r.inFlight())
	}
	for n, before := range r.attempts {
		if !before.mayHaveRun || r.class.Idempotency == Idempotent {
			continue
		}
		if r.class.Idempotency == NotIdempotent || sim.now-before.sentAt > r.class.DedupWindow ||
			(r.class.DedupScope == DedupInCell && server.Cell != sim.server(before.Server).Cell) {
			sim.t.Fatalf("seed %d: %s sent to %s after attempt %d may have run",
				sim.seed, r.class.Name, a.Server, n)
		}
	}
	if len(r.attempts) == 0 && r.Plan == "hard" {
		// One of three gateways holds a third of the ceiling, 10 units per second, and of the slack, 2 units.
		sim.forwarded[r.Customer] += r.Units
		if most := 10*sim.now.Seconds() + 2; sim.forwarded[r.Customer] > most+1e-6 {
			sim.t.Fatalf("seed %d: ceiling exceeded: forwarded %v units, want at most %v",
				sim.seed, sim.forwarded[r.Customer], most)
		}
	}
	r.attempts = append(r.attempts,
		&trackedAttempt{Send: a, sentAt: sim.now, inFlight: true, mayHaveRun: true})
}

// checkReject fails the test if a request is rejected, as safe to send again, after an attempt that may have
// run and whose duplicate could run a second time.
func (sim *randomSimulation) checkReject(r *trackedRequest) {
	for n, a := range r.attempts {
		if a.mayHaveRun && (r.class.Idempotency == NotIdempotent ||
			(r.class.Idempotency == IdempotentByKey && r.class.DedupScope != DedupInFleet)) {
			sim.t.Fatalf("seed %d: rejected %s after attempt %d may have run", sim.seed, r.class.Name, n)
		}
	}
	sim.finish(r)
}

// finish records the final answer of a request, and fails the test if there was one before.
func (sim *randomSimulation) finish(r *trackedRequest) {
	if r.done {
		sim.t.Fatalf("seed %d: second final answer for %s", sim.seed, r.ID)
	}
	r.done = true
}

func (sim *randomSimulation) server(id string) Server {
	for _, s := range sim.servers {
		if s.ID == id {
			return s
		}
	}
	sim.t.Fatalf("seed %d: Send to %s, which is not listed", sim.seed, id)
	return Server{}
}

// filterIDs returns the IDs for which want returns true.
func filterIDs(ids []string, want func(string) bool) (out []string) {
	for _, id := range ids {
		if want(id) {
			out = append(out, id)
		}
	}
	return out
}
