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
	p := &randomSimulation{
		t:         t,
		seed:      seed,
		rng:       rand.New(rand.NewSource(seed)),
		cfg:       testConfig(),
		requests:  map[string]*trackedRequest{},
		forwarded: map[string]float64{},
	}
	p.cfg.Limits.Hedging = seed%2 == 0
	g, err := New(p.cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	p.g = g
	for i := range 5 {
		p.servers = append(p.servers, Server{ID: fmt.Sprint("s", i), Zone: "a", Cell: i % 2})
	}
	p.handle(EndpointUpdate{Kind: StaleUpdate, Servers: p.servers})
	for i := range 3000 {
		p.now += time.Duration(p.rng.Intn(20)) * ms
		p.simulateEvent(i)
		p.simulateAttempts()
	}
	return p.log
}

// simulateEvent sends a random event: a request, a change of a server, gossip or the heartbeat timer;
// sometimes none.
func (p *randomSimulation) simulateEvent(i int) {
	switch k := p.rng.Intn(20); {
	case k < 9:
		p.simulateRequest(fmt.Sprint("q", i))
	case k < 11:
		s := &p.servers[p.rng.Intn(len(p.servers))]
		s.State = ServerState(p.rng.Intn(3))
		if p.rng.Intn(2) == 0 {
			s.State, s.StartedAt = Serving, p.now
		}
		p.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{*s}})
	case k < 12:
		p.handle(GossipReceived{From: 1 + p.rng.Intn(2), Text: gossipText(p.rng.Intn(2), p.rng.Intn(4096),
			entryText("c1hard", 2, p.rng.Intn(4096), p.rng.Intn(4096), p.rng.Intn(64)))})
	case k < 13:
		p.handle(TimerFired{heartbeatToken})
	}
}

func (p *randomSimulation) simulateRequest(id string) {
	class := p.cfg.Classes[p.rng.Intn(len(p.cfg.Classes))]
	r := Request{
		ID:           id,
		Class:        class.Name,
		Plan:         p.cfg.Plans[p.rng.Intn(len(p.cfg.Plans))].Name,
		Customer:     fmt.Sprint("c", p.rng.Intn(6)),
		Units:        float64(1 + p.rng.Intn(4)),
		Deadline:     p.now + time.Duration(500+p.rng.Intn(1000))*ms,
		GatewayCount: 3,
	}
	r.Customer += r.Plan
	p.requests[id] = &trackedRequest{Request: r, class: class}
	p.open = append(p.open, id)
	p.handle(r)
}

// simulateAttempts ends the attempts that have timed out, and others at random.
func (p *randomSimulation) simulateAttempts() {
	for _, id := range p.open {
		r := p.requests[id]
		for n := 0; n < len(r.attempts); n++ { // ending an attempt may start another one
			a := r.attempts[n]
			switch {
			case !a.inFlight:
			case p.now >= a.sentAt+a.Timeout:
				p.endAttempt(r, n, OutcomeTimedOut)
			case p.rng.Intn(12) == 0:
				p.endAttempt(r, n, Outcome(1+p.rng.Intn(7)))
			}
		}
		if !r.done && p.now > r.Deadline+p.cfg.Safety.AnswerSlack+20*ms {
			p.t.Fatalf("seed %d: no final answer for %s", p.seed, id)
		}
	}
	p.open = filterIDs(p.open, func(id string) bool {
		return !p.requests[id].done || p.requests[id].inFlight() > 0
	})
}

func (p *randomSimulation) endAttempt(r *trackedRequest, n int, o Outcome) {
	a := r.attempts[n]
	a.inFlight = false
	if o.neverRan() {
		a.mayHaveRun = false
	}
	r.done = r.done || o == OutcomeOK
	p.handle(AttemptEnded{
		ID:          r.ID,
		Attempt:     n,
		Server:      a.Server,
		Outcome:     o,
		Duration:    p.now - a.sentAt,
		RequestDone: r.done,
		ActualUnits: float64(1 + p.rng.Intn(8)),
	})
}

func (p *randomSimulation) handle(ev Event) {
	actions := p.g.Handle(p.now, ev)
	p.log = append(p.log, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			p.checkSend(a)
		case Reject:
			p.checkReject(p.requests[a.ID])
		case Fail:
			p.finish(p.requests[a.ID])
		}
	}
}

func (p *randomSimulation) checkSend(a Send) {
	r := p.requests[a.ID]
	if r == nil || r.done {
		p.t.Fatalf("seed %d: Send for unknown or finished request %s", p.seed, a.ID)
	}
	server := p.server(a.Server)
	if server.State != Serving {
		p.t.Fatalf("seed %d: Send to %s, which is draining or removed", p.seed, a.Server)
	}
	if len(r.attempts) >= p.cfg.Limits.MaxAttempts || (!p.cfg.Limits.Hedging && r.inFlight() > 0) {
		p.t.Fatalf("seed %d: attempt %d with %d in flight exceeds the limits",
			p.seed, len(r.attempts), r.inFlight())
	}
	for n, before := range r.attempts {
		if !before.mayHaveRun || r.class.Idempotency == Idempotent {
			continue
		}
		if r.class.Idempotency == NotIdempotent || p.now-before.sentAt > r.class.DedupWindow ||
			(r.class.DedupScope == DedupInCell && server.Cell != p.server(before.Server).Cell) {
			p.t.Fatalf("seed %d: %s sent to %s after attempt %d may have run",
				p.seed, r.class.Name, a.Server, n)
		}
	}
	if len(r.attempts) == 0 && r.Plan == "hard" {
		p.forwarded[r.Customer] += r.Units
		if most := 10*p.now.Seconds() + 2; p.forwarded[r.Customer] > most+1e-6 {
			p.t.Fatalf("seed %d: ceiling exceeded: forwarded %v units, want at most %v",
				p.seed, p.forwarded[r.Customer], most)
		}
	}
	r.attempts = append(r.attempts, &trackedAttempt{Send: a, sentAt: p.now, inFlight: true, mayHaveRun: true})
}

func (p *randomSimulation) checkReject(r *trackedRequest) {
	for n, a := range r.attempts {
		if a.mayHaveRun && (r.class.Idempotency == NotIdempotent ||
			(r.class.Idempotency == IdempotentByKey && r.class.DedupScope != DedupInFleet)) {
			p.t.Fatalf("seed %d: rejected %s after attempt %d may have run", p.seed, r.class.Name, n)
		}
	}
	p.finish(r)
}

func (p *randomSimulation) finish(r *trackedRequest) {
	if r.done {
		p.t.Fatalf("seed %d: second final answer for %s", p.seed, r.ID)
	}
	r.done = true
}

func (p *randomSimulation) server(id string) Server {
	for _, s := range p.servers {
		if s.ID == id {
			return s
		}
	}
	p.t.Fatalf("seed %d: Send to %s, which is not listed", p.seed, id)
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
