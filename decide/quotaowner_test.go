package decide

import (
	"testing"
	"time"
)

// TestDeadHomeCostsLittle: with both homes of a customer down, the bucket of each gateway decides.
func TestDeadHomeCostsLittle(t *testing.T) {
	j := newCluster(t, 300, nil)
	key := hashKey("x")
	for n := 0; n < ownersPerCustomer; n++ {
		j.down[j.gateways[0].owner(key, n)] = true
	}
	j.run(20*time.Second, 1300*ms, "small", 2, func(int) int { return j.rng.Intn(300) })
	if j.used < 20 {
		t.Errorf("used %v of 60 with both homes down, want 20 or more", j.used)
	}
	j.down = map[int]bool{}
	before := j.used
	j.run(20*time.Second, 1300*ms, "small", 2, func(int) int { return j.rng.Intn(300) })
	if got := j.used - before; got < 24 {
		t.Errorf("used %v of 30 asked after the homes came back, want 24 or more", got)
	}
}

// TestWordsDoNoHarm: words that are malformed, of unknown plans or come to the wrong home change nothing.
func TestWordsDoNoHarm(t *testing.T) {
	j := newCluster(t, 300, nil)
	key := hashKey("x")
	home := j.gateways[j.gateways[0].owner(key, 0)]
	ask := grantMessage{kind: grantRequest, key: key, planNo: 1, number: 7, figureCount: 1, figures: [4]float64{2}}
	other := ask
	other.planNo = 40
	for _, text := range []string{"", "a", ask.encode()[:11], ask.encode() + "!!", "Z" + ask.encode()[1:], other.encode(),
		(&grantMessage{kind: grantRequest, key: key + 1, planNo: 1, figureCount: 1}).encode(), (&grantMessage{kind: grantReply, key: key, figureCount: 4}).encode(),
		(&grantMessage{kind: grantRequest, key: key, planNo: 1, figureCount: 1, figures: [4]float64{-2}}).encode()} {
		if acts := home.Handle(j.now, GossipReceived{From: 299, Text: text}); len(acts) != 0 || len(home.customers.byKey) > 0 {
			t.Errorf("%q: got %#v, %d customers", text, acts, len(home.customers.byKey))
		}
	}
	for _, from := range []int{-1, 300, home.cfg.Rank} {
		if acts := home.Handle(j.now, GossipReceived{From: from, Text: ask.encode()}); len(acts) != 0 {
			t.Errorf("from %d: got %#v", from, acts)
		}
	}
	first := home.Handle(j.now, GossipReceived{From: 9, Text: ask.encode()})
	again := home.Handle(j.now, GossipReceived{From: 9, Text: ask.encode()})
	if len(first) != 1 || len(again) != 1 || home.customers.byKey[key].bucket.fleetLevel > initialLevel*12+2 {
		t.Errorf("the same question twice: %#v, %#v, whole %v", first, again, home.customers.byKey[key].bucket.fleetLevel)
	}
}

// TestWaitForAHomeEndsInTime: with both homes silent a request is still answered before its client leaves.
func TestWaitForAHomeEndsInTime(t *testing.T) {
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

// TestStandbyPassesOnOnlyWhatLeaks: a standby that is asked about a customer it does not know hands out no fresh
// quota, only what leaks; the first home starts at half.
func TestStandbyPassesOnOnlyWhatLeaks(t *testing.T) {
	j := newCluster(t, 300, nil)
	key := hashKey("someone")
	g := j.gateways[0]
	ask := func(home, no int) bool {
		w := grantMessage{kind: grantRequest, key: key, planNo: 1, number: uint64(no), figureCount: 1, figures: [4]float64{2}}
		for _, a := range actionsOf[SendGossip](j.gateways[home].Handle(j.now, GossipReceived{From: 9, Text: w.encode()})) {
			if r, ok := parseGrantMessage(a.Text); ok && r.kind == grantReply {
				return r.figures[0] > 0
			}
		}
		t.Fatalf("home %d gave no word", home)
		return false
	}
	first, second := g.owner(key, 0), g.owner(key, 1)
	if !ask(first, 1) {
		t.Error("the first home refused at the start, want half of the mark")
	}
	if ask(second, 1) {
		t.Error("a standby that knows nothing let in at once")
	}
	j.now += time.Second // at three units a second
	if !ask(second, 2) || ask(second, 3) {
		t.Error("after a second the standby should let in what leaked, and no more")
	}
}

// TestHomeHoldsCapWhileAnswersAreSlow: what a home granted under a cap on attempts out counts until it was told of the
// end, or nobody can wait for it any more: slow servers keep attempts out longer than the quickest class waits.
func TestHomeHoldsCapWhileAnswersAreSlow(t *testing.T) {
	j := newCluster(t, 300, func(c *Config) {
		c.Classes = append(c.Classes, Class{Name: "quick", Idempotency: Idempotent, LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1})
	})
	key, no := hashKey("someone"), uint64(0)
	home := j.gateways[j.gateways[0].owner(key, 0)]
	asked := func(n int) (granted int) {
		for i := 0; i < n; i++ {
			no++
			w := grantMessage{kind: grantRequest, key: key, planNo: 3, number: no, figureCount: 1, figures: [4]float64{1}}
			for _, a := range actionsOf[SendGossip](home.Handle(j.now, GossipReceived{From: 9, Text: w.encode()})) {
				if r, ok := parseGrantMessage(a.Text); ok && r.kind == grantReply && r.figures[0] > 0 {
					granted++
				}
			}
		}
		return granted
	}
	if n := asked(5); n != 3 {
		t.Errorf("%d of 5 granted under a cap of 3", n)
	}
	j.now += 500 * ms
	if n := asked(2); n > 0 {
		t.Errorf("%d more granted while three may still be out", n)
	}
	j.now += 600 * ms
	if n := asked(2); n != 2 {
		t.Errorf("%d of 2 granted after all were given up on", n)
	}
}

// TestRefusedByHomeIsAnsweredAtOnce: in a large fleet too, with the home's word, and from then on without asking.
func TestRefusedByHomeIsAnsweredAtOnce(t *testing.T) {
	j := newCluster(t, 300, nil)
	g := j.gateways[3]
	req := func(id string) []Action {
		return g.Handle(j.now, Request{ID: id, Class: "get", Plan: "small", Customer: "far", Units: 4,
			Deadline: j.now + 4*time.Second, GatewayCount: 300})
	}
	req("first")
	for no, r := range g.owners.pending {
		w := grantMessage{kind: grantReply, key: r.customer.key, planNo: r.customer.planNo, number: no, figureCount: 4, figures: [4]float64{0, 12, 9, 1}}
		acts := g.Handle(j.now+20*ms, GossipReceived{From: g.owner(r.customer.key, 0), Text: w.encode()})
		if len(actionsOf[Reject](acts)) != 1 {
			t.Errorf("refused by the home: got %#v, want one refusal at once", acts)
		}
	}
	if acts := req("second"); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("while the home refuses: got %#v, want one refusal at once", acts)
	}
}
