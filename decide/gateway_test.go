package decide

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

func TestBadInput(t *testing.T) {
	h := newHarness(t, nil)
	for _, e := range []Request{{ID: "a", Class: "none", Plan: "wide"}, {ID: "b", Class: "get", Plan: "none"}} {
		if acts := h.handle(e); len(actionsOf[Reject](acts)) != 1 {
			t.Errorf("%#v: got %#v, want Reject", e, acts)
		}
	}
	for _, e := range []Event{AttemptEnded{ID: "zz", Outcome: OutcomeOK}, ClientDisconnected{"zz"}, TimerFired{1 << 60},
		ResponseStarted{ID: "zz"}, HealthCheckEnded{Server: "zz"}, CounterUpdated{Name: 4},
		AttemptEnded{ID: "zz", Attempt: -1}} {
		if acts := h.handle(e); len(acts) != 0 {
			t.Errorf("%#v: got %#v, want nothing", e, acts)
		}
	}
	id, s := h.mustSend("get", "wide")
	h.handle(ClientDisconnected{id})
	if acts := h.endAttempt(id, 0, s.Server, OutcomeTimedOut); len(acts) != 0 {
		t.Errorf("answered a request whose client is gone: %#v", acts)
	}
	if acts := h.endAttempt(id, 0, s.Server, OutcomeTimedOut); len(acts) != 0 {
		t.Errorf("answered an outcome that came twice: %#v", acts)
	}
}

// TestDeterminism plays the same random events to two gateways, one alone and one beside others.
func TestDeterminism(t *testing.T) {
	one := playRandom(t, 3)
	playRandom(t, 4)
	if two := playRandom(t, 3); !reflect.DeepEqual(one, two) {
		t.Error("the same events gave other actions")
	}
}

// TestRulesUnderRandomEvents checks the rules that always hold over long random events.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(10); seed < 30; seed++ {
		playRandom(t, seed)
	}
}

// trackedRequest is what playRandom knows of a request.
type trackedRequest struct {
	req      Request
	class    Class
	attempts []Send
	at       []time.Duration
	inFlight map[int]bool
	mayRun   map[int]bool
	done     bool
}

// playRandom plays servers, clients, discovery and a peer at random, and checks each action.
func playRandom(t *testing.T, seed int64) (log []Action) {
	t.Helper()
	rnd := rand.New(rand.NewSource(seed))
	cfg := testConfig()
	cfg.Limits.Hedging = seed%2 == 0
	g, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	now, start := time.Duration(0), time.Duration(0)
	flights := map[string]*trackedRequest{}
	var order []string
	state := map[string]ServerState{}
	cells := map[string]int{}
	var servers []Server
	for i := 0; i < 5; i++ {
		s := Server{ID: fmt.Sprint("s", i), Zone: "a", Cell: i % 2}
		servers, cells[s.ID] = append(servers, s), s.Cell
	}
	passed := map[string]float64{}
	var handle func(ev Event)
	check := func(a Action) {
		switch a := a.(type) {
		case Send:
			f := flights[a.ID]
			if f == nil || f.done {
				t.Fatalf("seed %d: Send for finished request %s", seed, a.ID)
			}
			if state[a.Server] != Serving {
				t.Fatalf("seed %d: Send to %s, which is draining or removed", seed, a.Server)
			}
			if len(f.attempts) >= cfg.Limits.MaxAttempts || (!cfg.Limits.Hedging && len(f.inFlight) > 0) {
				t.Fatalf("seed %d: attempt %d with %d in flight", seed, len(f.attempts), len(f.inFlight))
			}
			for n := range f.attempts {
				if !f.mayRun[n] || f.class.Idempotency == Idempotent {
					continue
				}
				if f.class.Idempotency == NotIdempotent || now-f.at[n] > f.class.DedupWindow ||
					(f.class.DedupScope == DedupInCell && cells[a.Server] != cells[f.attempts[n].Server]) {
					t.Fatalf("seed %d: %s sent to %s after attempt %d may have run", seed, f.class.Name, a.Server, n)
				}
			}
			if len(f.attempts) == 0 && f.req.Plan == "hard" {
				passed[f.req.Customer] += f.req.Units
				if most := 10*(now-start).Seconds() + 2; passed[f.req.Customer] > most+1e-6 {
					t.Fatalf("seed %d: ceiling passed: %v over %v", seed, passed[f.req.Customer], most)
				}
			}
			n := len(f.attempts)
			f.attempts, f.at = append(f.attempts, a), append(f.at, now)
			f.inFlight[n], f.mayRun[n] = true, true
		case Reject:
			f := flights[a.ID]
			if f.done {
				t.Fatalf("seed %d: second final answer for %s", seed, a.ID)
			}
			for n := range f.attempts {
				if f.mayRun[n] && (f.class.Idempotency == NotIdempotent ||
					(f.class.Idempotency == IdempotentByKey && f.class.DedupScope != DedupInFleet)) {
					t.Fatalf("seed %d: rejected %s after attempt %d may have run", seed, f.class.Name, n)
				}
			}
			f.done = true
		case Fail:
			if flights[a.ID].done {
				t.Fatalf("seed %d: second final answer for %s", seed, a.ID)
			}
			flights[a.ID].done = true
		}
	}
	handle = func(ev Event) {
		acts := g.Handle(now, ev)
		log = append(log, acts...)
		for _, a := range acts {
			check(a)
		}
	}
	handle(EndpointUpdate{Kind: StaleUpdate, Servers: servers})
	end := func(id string, n int, o Outcome) {
		f := flights[id]
		delete(f.inFlight, n)
		if o.neverRan() {
			f.mayRun[n] = false
		}
		f.done = f.done || o == OutcomeOK
		handle(AttemptEnded{ID: id, Attempt: n, Server: f.attempts[n].Server, Outcome: o, Duration: now - f.at[n],
			RequestDone: f.done, ActualUnits: float64(1 + rnd.Intn(8))})
	}
	for i := 0; i < 3000; i++ {
		now += time.Duration(rnd.Intn(20)) * ms
		switch k := rnd.Intn(20); {
		case k < 9:
			c := cfg.Classes[rnd.Intn(len(cfg.Classes))]
			id := fmt.Sprint("q", i)
			q := Request{ID: id, Class: c.Name, Plan: cfg.Plans[rnd.Intn(len(cfg.Plans))].Name,
				Customer: fmt.Sprint("c", rnd.Intn(6)), Units: float64(1 + rnd.Intn(4)),
				Deadline: now + time.Duration(500+rnd.Intn(1000))*ms, GatewayCount: 3}
			q.Customer += q.Plan
			flights[id] = &trackedRequest{req: q, class: c, inFlight: map[int]bool{}, mayRun: map[int]bool{}}
			order = append(order, id)
			handle(q)
		case k < 11:
			s := &servers[rnd.Intn(len(servers))]
			s.State = ServerState(rnd.Intn(3))
			if rnd.Intn(2) == 0 {
				s.State, s.StartedAt = Serving, now
			}
			state[s.ID] = s.State
			handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{*s}})
		case k < 12:
			handle(GossipReceived{From: 1 + rnd.Intn(2), Text: gossipText(rnd.Intn(2), rnd.Intn(4096),
				entryText("c1hard", 2, rnd.Intn(4096), rnd.Intn(4096), rnd.Intn(64)))})
		case k < 13:
			handle(TimerFired{heartbeatToken})
		}
		for _, id := range order {
			f := flights[id]
			for n := 0; n < len(f.attempts); n++ {
				if !f.inFlight[n] {
					continue
				}
				if now >= f.at[n]+f.attempts[n].Timeout {
					end(id, n, OutcomeTimedOut)
				} else if rnd.Intn(12) == 0 {
					end(id, n, Outcome(1+rnd.Intn(7)))
				}
			}
			if !f.done && now > f.req.Deadline+cfg.Safety.AnswerSlack+20*ms {
				t.Fatalf("seed %d: no final answer for %s", seed, id)
			}
		}
		order = filterIDs(order, func(id string) bool { return !flights[id].done || len(flights[id].inFlight) > 0 })
	}
	return log
}

// filterIDs returns the IDs that are wanted.
func filterIDs(ids []string, want func(string) bool) (out []string) {
	for _, id := range ids {
		if want(id) {
			out = append(out, id)
		}
	}
	return out
}

func BenchmarkHandle(b *testing.B) {
	cfg := testConfig()
	cfg.Gateways = 500
	g, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	var servers []Server
	for i := 0; i < 100; i++ {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	g.Handle(time.Second, EndpointUpdate{Kind: FullUpdate, Servers: servers})
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		now := time.Second + time.Duration(i)*ms
		id := fmt.Sprint(i)
		key := fmt.Sprint("c", i%2000)
		g.Handle(now, Request{ID: id, Class: "get", Plan: "wide", Customer: key, Units: 1,
			Deadline: now + time.Second, GatewayCount: 200})
		for no, r := range g.owners.pending {
			w := grantMessage{kind: grantReply, key: r.customer.key, number: no, figureCount: 4, figures: [4]float64{1}}
			g.Handle(now, GossipReceived{From: g.owner(r.customer.key, 0), Text: w.encode()})
		}
		if r := g.requests[id]; r != nil && len(r.attempts) > 0 {
			g.Handle(now, AttemptEnded{ID: id, Server: r.attempts[0].endpoint.ID, Outcome: OutcomeOK,
				Duration: ms, RequestDone: true})
		}
	}
}
