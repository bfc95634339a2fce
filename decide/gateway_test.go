package decide

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// unknownEvent is an event of a type that Gateway.Handle does not know.
type unknownEvent struct{}

func (unknownEvent) event() {}

// Events for requests, attempts or timers that do not exist, duplicate events and events of an unknown type
// must be ignored. Without these checks they would cause a panic or a second final answer.
func TestInvalidEvents(t *testing.T) {
	h := newHarness(t, nil)
	for _, e := range []Request{{ID: "a", Class: "none", Plan: "wide"},
		{ID: "b", Class: "get", Plan: "none"}} {
		if acts := h.handle(e); len(actionsOf[Reject](acts)) != 1 {
			t.Errorf("%#v: got %#v, want Reject", e, acts)
		}
	}
	for _, e := range []Event{AttemptEnded{ID: "zz", Outcome: OutcomeOK}, ClientDisconnected{"zz"},
		TimerFired{1 << 60},
		ResponseStarted{ID: "zz"}, unknownEvent{}, AttemptEnded{ID: "zz", Attempt: -1}} {
		if acts := h.handle(e); len(acts) != 0 {
			t.Errorf("%#v: got %#v, want no action", e, acts)
		}
	}
	id, s := h.mustSend("get", "wide")
	h.handle(ClientDisconnected{id})
	if acts := h.endAttempt(id, 0, s.Server, OutcomeTimedOut); len(acts) != 0 {
		t.Errorf("got %#v for a request whose client has disconnected, want no action", acts)
	}
	if acts := h.endAttempt(id, 0, s.Server, OutcomeTimedOut); len(acts) != 0 {
		t.Errorf("got %#v for a duplicate outcome, want no action", acts)
	}
}

// Recordings can be replayed only if the same events produce the same actions. A dependence on map
// iteration order, or on state shared between gateways, would break this.
func TestDeterminism(t *testing.T) {
	one := simulateRandom(t, 3)
	simulateRandom(t, 4)
	if two := simulateRandom(t, 3); !reflect.DeepEqual(one, two) {
		t.Error("the same events produced different actions")
	}
}

// Random sequences of events must not violate any of the rules that randomSimulation checks for each action.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := int64(10); seed < 30; seed++ {
		simulateRandom(t, seed)
	}
}

// BenchmarkHandle measures a request in a fleet of 500 gateways, from its arrival through the owner's grant
// to the end of its attempt.
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
		for number, r := range g.owners.pending {
			m := grantMessage{kind: grantReply, key: r.customer.key, number: number, valueCount: 4,
				values: [4]float64{1}}
			g.Handle(now, GossipReceived{From: g.owner(r.customer.key, 0), Text: m.encode()})
		}
		if r := g.requests[id]; r != nil && len(r.attempts) > 0 {
			g.Handle(now, AttemptEnded{ID: id, Server: r.attempts[0].endpoint.ID, Outcome: OutcomeOK,
				Duration: ms, RequestDone: true})
		}
	}
}
