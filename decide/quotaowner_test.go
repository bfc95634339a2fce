package decide

import (
	"testing"
	"time"
)

// With both owners of a customer down, each gateway must decide by its own share. Otherwise the customer
// would get nothing until an owner returns.
func TestFallbackWhenOwnersAreDown(t *testing.T) {
	fleet := newCluster(t, 300, nil)
	key := hashKey("x")
	for n := 0; n < ownersPerCustomer; n++ {
		fleet.down[fleet.gateways[0].owner(key, n)] = true
	}
	fleet.run(20*time.Second, 1300*ms, "small", 2, func(int) int { return fleet.rng.Intn(300) })
	if fleet.used < 20 {
		t.Errorf("used %v of 60 units with both owners down, want at least 20", fleet.used)
	}
	fleet.down = map[int]bool{}
	before := fleet.used
	fleet.run(20*time.Second, 1300*ms, "small", 2, func(int) int { return fleet.rng.Intn(300) })
	if got := fleet.used - before; got < 24 {
		t.Errorf("used %v of 30 requested units after the owners returned, want at least 24", got)
	}
}

// Grant messages that are malformed, for unknown plans, or sent to the wrong owner must change nothing, and
// a duplicate request must be charged only once. Datagrams may be repeated or come from other versions of
// the program.
func TestMalformedGrantMessagesAreDropped(t *testing.T) {
	fleet := newCluster(t, 300, nil)
	key := hashKey("x")
	owner := fleet.gateways[fleet.gateways[0].owner(key, 0)]
	request := grantMessage{kind: grantRequest, key: key, planIndex: 1, number: 7, valueCount: 1,
		values: [4]float64{2}}
	other := request
	other.planIndex = 40
	toWrongOwner := grantMessage{kind: grantRequest, key: key + 1, planIndex: 1, valueCount: 1}
	reply := grantMessage{kind: grantReply, key: key, valueCount: 4}
	negative := grantMessage{kind: grantRequest, key: key, planIndex: 1, valueCount: 1,
		values: [4]float64{-2}}
	for _, text := range []string{
		"",
		"a",
		request.encode()[:11],
		request.encode() + "!!",
		"Z" + request.encode()[1:],
		other.encode(),
		toWrongOwner.encode(),
		reply.encode(),
		negative.encode(),
	} {
		if acts := owner.Handle(fleet.now, GossipReceived{From: 299, Text: text}); len(acts) != 0 ||
			len(owner.customers.byKey) > 0 {
			t.Errorf("message %q: got %#v and %d customers, want neither",
				text, acts, len(owner.customers.byKey))
		}
	}
	for _, from := range []int{-1, 300, owner.cfg.Rank} {
		if acts := owner.Handle(fleet.now, GossipReceived{From: from,
			Text: request.encode()}); len(acts) != 0 {
			t.Errorf("message from rank %d: got %#v, want no action", from, acts)
		}
	}
	first := owner.Handle(fleet.now, GossipReceived{From: 9, Text: request.encode()})
	again := owner.Handle(fleet.now, GossipReceived{From: 9, Text: request.encode()})
	if len(first) != 1 || len(again) != 1 ||
		owner.customers.byKey[key].bucket.fleetLevel > initialLevel*12+2 {
		t.Errorf("duplicate grant request: got %#v, %#v, fleet level %v; want one reply each, one charge",
			first, again,
			owner.customers.byKey[key].bucket.fleetLevel)
	}
}

// With both owners silent, a request must get its final answer before its client gives up.
func TestOwnerWaitEndsByDeadline(t *testing.T) {
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
	t.Errorf("no final answer by the deadline: %#v", acts)
}

// A standby does not know what the owner has granted. It must grant only what leaks, or the customer would
// get a second quota when the owner fails. The owner itself starts with half of the high-water mark.
func TestStandbyGrantsOnlyWhatLeaks(t *testing.T) {
	fleet := newCluster(t, 300, nil)
	key := hashKey("someone")
	g := fleet.gateways[0]
	granted := func(owner, number int) bool {
		m := grantMessage{kind: grantRequest, key: key, planIndex: 1, number: uint64(number), valueCount: 1,
			values: [4]float64{2}}
		for _, a := range actionsOf[SendGossip](fleet.gateways[owner].Handle(fleet.now,
			GossipReceived{From: 9, Text: m.encode()})) {
			if r, ok := parseGrantMessage(a.Text); ok && r.kind == grantReply {
				return r.values[0] > 0
			}
		}
		t.Fatalf("owner %d sent no reply", owner)
		return false
	}
	first, second := g.owner(key, 0), g.owner(key, 1)
	if !granted(first, 1) {
		t.Error("owner rejected a request at the start, when half of the high-water mark is free")
	}
	if granted(second, 1) {
		t.Error("standby that does not know the customer granted a request at once")
	}
	fleet.now += time.Second // the rate is three units per second
	if !granted(second, 2) || granted(second, 3) {
		t.Error("after one second, want the standby to grant what has leaked and no more")
	}
}

// A grant under a limit of attempts in flight must count until it is released or the longest objective has
// passed. If it expired after the shortest objective, slow servers would keep more attempts in flight than
// the limit allows.
func TestOwnerInFlightLimitWithSlowResponses(t *testing.T) {
	fleet := newCluster(t, 300, func(c *Config) {
		c.Classes = append(c.Classes, Class{Name: "quick", Idempotency: Idempotent,
			LatencyObjective: 200 * ms,
			Deadline:         time.Second, PriorityWeight: 1})
	})
	key, number := hashKey("someone"), uint64(0)
	owner := fleet.gateways[fleet.gateways[0].owner(key, 0)]
	grants := func(n int) (granted int) {
		for i := 0; i < n; i++ {
			number++
			m := grantMessage{kind: grantRequest, key: key, planIndex: 3, number: number, valueCount: 1,
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
		t.Errorf("%d of 5 requests granted under a limit of 3, want 3", n)
	}
	fleet.now += 500 * ms
	if n := grants(2); n > 0 {
		t.Errorf("%d more requests granted while three may still be in flight, want none", n)
	}
	fleet.now += 600 * ms
	if n := grants(2); n != 2 {
		t.Errorf("%d of 2 requests granted after the earlier grants have expired, want 2", n)
	}
}

// A request that the owner rejects must be rejected as soon as the reply arrives, and later requests
// without asking the owner again. Otherwise clients wait for an answer that is already known, and the owner
// is overloaded.
func TestOwnerRejectionIsImmediate(t *testing.T) {
	fleet := newCluster(t, 300, nil)
	g := fleet.gateways[3]
	req := func(id string) []Action {
		return g.Handle(fleet.now, Request{ID: id, Class: "get", Plan: "small", Customer: "far", Units: 4,
			Deadline: fleet.now + 4*time.Second, GatewayCount: 300})
	}
	req("first")
	for number, r := range g.owners.pending {
		m := grantMessage{kind: grantReply, key: r.customer.key, planIndex: r.customer.planIndex,
			number: number, valueCount: 4,
			values: [4]float64{0, 12, 9, 1}}
		acts := g.Handle(fleet.now+20*ms, GossipReceived{From: g.owner(r.customer.key, 0), Text: m.encode()})
		if len(actionsOf[Reject](acts)) != 1 {
			t.Errorf("rejected by the owner: got %#v, want one Reject", acts)
		}
	}
	if acts := req("second"); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("while the owner rejects: got %#v, want one Reject", acts)
	}
}

// Guards against memory that grows with late releases: the end of a grant that the owner doesn't know,
// because it has restarted or removed the customer, must not add the customer.
func TestReleaseOfUnknownGrantAddsNoCustomer(t *testing.T) {
	fleet := newCluster(t, 300, nil)
	key := hashKey("x")
	owner := fleet.gateways[fleet.gateways[0].owner(key, 0)]
	release := grantMessage{kind: grantRelease, key: key, planIndex: 1, number: 7, valueCount: 1}
	owner.Handle(fleet.now, GossipReceived{From: 9, Text: release.encode()})
	if n := owner.Summary().Customers; n != 0 {
		t.Errorf("%d customers after the release of an unknown grant, want 0", n)
	}
}
