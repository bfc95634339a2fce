package decide

import (
	"testing"
	"time"
)

// With both owners of a customer down, each gateway must decide by its own share. Otherwise the customer
// would get nothing until an owner returns.
func TestOwnersDown(t *testing.T) {
	fleet := newCluster(t, 300, nil)
	key := hashKey("x")
	for n := 0; n < ownersPerCustomer; n++ {
		fleet.down[fleet.gateways[0].owner(key, n)] = true
	}
	fleet.run(20*time.Second, 1300*ms, "small", 2, func(int) int { return fleet.rng.Intn(300) })
	if fleet.used < 20 {
		t.Errorf("used %v of 60 with both owners down, want 20 or more", fleet.used)
	}
	fleet.down = map[int]bool{}
	before := fleet.used
	fleet.run(20*time.Second, 1300*ms, "small", 2, func(int) int { return fleet.rng.Intn(300) })
	if got := fleet.used - before; got < 24 {
		t.Errorf("used %v of 30 requested after the owners came back, want 24 or more", got)
	}
}

// Grant messages that are malformed, for unknown plans, or sent to the wrong owner must change nothing, and
// a duplicate request must be charged only once. Datagrams may be repeated or come from other versions of
// the program.
func TestMalformedGrantMessagesAreDropped(t *testing.T) {
	fleet := newCluster(t, 300, nil)
	key := hashKey("x")
	owner := fleet.gateways[fleet.gateways[0].owner(key, 0)]
	ask := grantMessage{kind: grantRequest, key: key, planIndex: 1, number: 7, valueCount: 1, values: [4]float64{2}}
	other := ask
	other.planIndex = 40
	wrongOwner := grantMessage{kind: grantRequest, key: key + 1, planIndex: 1, valueCount: 1}
	reply := grantMessage{kind: grantReply, key: key, valueCount: 4}
	negative := grantMessage{kind: grantRequest, key: key, planIndex: 1, valueCount: 1, values: [4]float64{-2}}
	for _, text := range []string{
		"",
		"a",
		ask.encode()[:11],
		ask.encode() + "!!",
		"Z" + ask.encode()[1:],
		other.encode(),
		wrongOwner.encode(),
		reply.encode(),
		negative.encode(),
	} {
		if acts := owner.Handle(fleet.now, GossipReceived{From: 299, Text: text}); len(acts) != 0 ||
			len(owner.customers.byKey) > 0 {
			t.Errorf("%q: got %#v, %d customers", text, acts, len(owner.customers.byKey))
		}
	}
	for _, from := range []int{-1, 300, owner.cfg.Rank} {
		if acts := owner.Handle(fleet.now, GossipReceived{From: from, Text: ask.encode()}); len(acts) != 0 {
			t.Errorf("from %d: got %#v", from, acts)
		}
	}
	first := owner.Handle(fleet.now, GossipReceived{From: 9, Text: ask.encode()})
	again := owner.Handle(fleet.now, GossipReceived{From: 9, Text: ask.encode()})
	if len(first) != 1 || len(again) != 1 || owner.customers.byKey[key].bucket.fleetLevel > initialLevel*12+2 {
		t.Errorf("the same grant request twice: %#v, %#v, fleet level %v", first, again,
			owner.customers.byKey[key].bucket.fleetLevel)
	}
}

// With both owners silent, a request must get its final answer before its client gives up.
func TestWaitForOwnersEndsByTheDeadline(t *testing.T) {
	g := newCluster(t, 300, nil).gateways[4]
	until := time.Hour + 30*ms
	acts := g.Handle(time.Hour, Request{ID: "q", Class: "get", Plan: "small", Customer: "x", Units: 2,
		Deadline: until, GatewayCount: 300})
	for i := 0; i < 5; i++ {
		if timers := actionsOf[SetTimer](acts); len(timers) > 0 && timers[0].At <= until {
			acts = g.Handle(timers[0].At, TimerFired{timers[0].Token})
		}
		if len(actionsOf[Reject](acts)) == 1 {
			return
		}
	}
	t.Errorf("no answer by the deadline: %#v", acts)
}

// A standby does not know what the owner has granted. It must grant only what leaks, or the customer would
// get a second quota when the owner fails. The owner itself starts with half of the high-water mark.
func TestStandbyGrantsOnlyWhatLeaks(t *testing.T) {
	fleet := newCluster(t, 300, nil)
	key := hashKey("someone")
	g := fleet.gateways[0]
	granted := func(owner, no int) bool {
		m := grantMessage{kind: grantRequest, key: key, planIndex: 1, number: uint64(no), valueCount: 1,
			values: [4]float64{2}}
		for _, a := range actionsOf[SendGossip](fleet.gateways[owner].Handle(fleet.now,
			GossipReceived{From: 9, Text: m.encode()})) {
			if r, ok := parseGrantMessage(a.Text); ok && r.kind == grantReply {
				return r.values[0] > 0
			}
		}
		t.Fatalf("owner %d gave no reply", owner)
		return false
	}
	first, second := g.owner(key, 0), g.owner(key, 1)
	if !granted(first, 1) {
		t.Error("the owner rejected at the start, want half of the mark")
	}
	if granted(second, 1) {
		t.Error("a standby that knows nothing granted at once")
	}
	fleet.now += time.Second // the rate is three units per second
	if !granted(second, 2) || granted(second, 3) {
		t.Error("after a second the standby should grant what leaked, and no more")
	}
}

// A grant under a limit of attempts in flight must count until it is released or the longest objective has
// passed. If it expired after the shortest objective, slow servers would keep more attempts in flight than
// the limit allows.
func TestOwnerHoldsInFlightLimitWhileResponsesAreSlow(t *testing.T) {
	fleet := newCluster(t, 300, func(c *Config) {
		c.Classes = append(c.Classes, Class{Name: "quick", Idempotency: Idempotent, LatencyObjective: 200 * ms,
			Deadline: time.Second, PriorityWeight: 1})
	})
	key, no := hashKey("someone"), uint64(0)
	owner := fleet.gateways[fleet.gateways[0].owner(key, 0)]
	grants := func(n int) (granted int) {
		for i := 0; i < n; i++ {
			no++
			m := grantMessage{kind: grantRequest, key: key, planIndex: 3, number: no, valueCount: 1,
				values: [4]float64{1}}
			for _, a := range actionsOf[SendGossip](owner.Handle(fleet.now,
				GossipReceived{From: 9, Text: m.encode()})) {
				if r, ok := parseGrantMessage(a.Text); ok && r.kind == grantReply && r.values[0] > 0 {
					granted++
				}
			}
		}
		return granted
	}
	if n := grants(5); n != 3 {
		t.Errorf("%d of 5 granted under a limit of 3", n)
	}
	fleet.now += 500 * ms
	if n := grants(2); n > 0 {
		t.Errorf("%d more granted while three may still be in flight", n)
	}
	fleet.now += 600 * ms
	if n := grants(2); n != 2 {
		t.Errorf("%d of 2 granted after all were given up", n)
	}
}

// A request that the owner rejects must be rejected as soon as the reply arrives, and later requests
// without asking the owner again. Otherwise clients wait for an answer that is already known, and the owner
// is overloaded.
func TestRejectedByOwnerIsAnsweredAtOnce(t *testing.T) {
	fleet := newCluster(t, 300, nil)
	g := fleet.gateways[3]
	req := func(id string) []Action {
		return g.Handle(fleet.now, Request{ID: id, Class: "get", Plan: "small", Customer: "far", Units: 4,
			Deadline: fleet.now + 4*time.Second, GatewayCount: 300})
	}
	req("first")
	for no, r := range g.owners.pending {
		m := grantMessage{kind: grantReply, key: r.customer.key, planIndex: r.customer.planIndex, number: no, valueCount: 4,
			values: [4]float64{0, 12, 9, 1}}
		acts := g.Handle(fleet.now+20*ms, GossipReceived{From: g.owner(r.customer.key, 0), Text: m.encode()})
		if len(actionsOf[Reject](acts)) != 1 {
			t.Errorf("rejected by the owner: got %#v, want one rejection at once", acts)
		}
	}
	if acts := req("second"); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("while the owner rejects: got %#v, want one rejection at once", acts)
	}
}
