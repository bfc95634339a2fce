package decide

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// joined is a few gateways whose messages reach each other late, some never, in an order that a seed decides.
type cluster struct {
	t           *testing.T
	cfg         Config
	gateways    []*Gateway
	rng         *rand.Rand
	now         time.Duration
	pending     []delivery
	received    []int // messages that each gateway was sent
	used        float64
	refused     int
	inFlight    map[string]float64
	loss        float64
	down        map[int]bool
	partitioned func(a, b int) bool // they don't hear each other
}

type delivery struct {
	at time.Duration
	to int
	ev Event
}

func newCluster(t *testing.T, n int, edit func(*Config)) *cluster {
	t.Helper()
	j := &cluster{t: t, cfg: testConfig(), rng: rand.New(rand.NewSource(5)), now: time.Hour, gateways: make([]*Gateway, n),
		received: make([]int, n), inFlight: map[string]float64{}, loss: 0.05, down: map[int]bool{}}
	j.cfg.Gateways = n
	if edit != nil {
		edit(&j.cfg)
	}
	for i := range j.gateways {
		j.start(i)
	}
	return j
}

func (j *cluster) start(i int) {
	cfg := j.cfg
	cfg.Rank = i
	g, err := New(cfg, j.rng.Int63())
	if err != nil {
		j.t.Fatal(err)
	}
	j.gateways[i] = g
	j.pending = filterDeliveries(j.pending, func(l delivery) bool { return l.to != i })
	j.handle(i, EndpointUpdate{Kind: StaleUpdate, Servers: []Server{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}}})
}

func filterDeliveries(ls []delivery, want func(delivery) bool) (out []delivery) {
	for _, l := range ls {
		if want(l) {
			out = append(out, l)
		}
	}
	return out
}

func (j *cluster) handle(i int, ev Event) {
	for _, a := range j.gateways[i].Handle(j.now, ev) {
		switch a := a.(type) {
		case SendGossip:
			j.received[a.To]++
			if j.rng.Float64() >= j.loss && !j.down[a.To] && (j.partitioned == nil || !j.partitioned(i, a.To)) {
				late := time.Duration(2+j.rng.Intn(16)) * ms
				j.pending = append(j.pending, delivery{at: j.now + late, to: a.To, ev: GossipReceived{i, a.Text}})
			}
		case SetTimer:
			j.pending = append(j.pending, delivery{at: a.At, to: i, ev: TimerFired{a.Token}})
		case Send:
			j.used += j.inFlight[a.ID]
			j.pending = append(j.pending, delivery{at: j.now + 30*ms, to: i, ev: AttemptEnded{ID: a.ID, Server: a.Server,
				Outcome: OutcomeOK, Duration: 30 * ms, RequestDone: true}})
		case Reject:
			j.refused++
		}
	}
}

// run plays on to a time, with a request asked for every gap at a gateway that pick names.
func (j *cluster) run(d, gap time.Duration, plan string, units float64, pick func(n int) int) {
	for end, n := j.now+d, 0; j.now < end; n++ {
		if i := pick(n); !j.down[i] {
			id := fmt.Sprint(j.now, "-", n)
			j.inFlight[id] = units
			j.handle(i, Request{ID: id, Class: "get", Plan: plan, Customer: "x", Units: units,
				Deadline: j.now + 2*time.Second, GatewayCount: len(j.gateways)})
		}
		for next := j.now + gap; j.now < next; j.now += 4 * ms {
			var ready []delivery
			j.pending = filterDeliveries(j.pending, func(l delivery) bool {
				if l.at <= j.now {
					ready = append(ready, l)
				}
				return l.at > j.now
			})
			for _, l := range ready {
				if !j.down[l.to] {
					j.handle(l.to, l.ev)
				}
			}
		}
	}
}

// TestQuotaOverAllGateways: whatever the fleet's size, what all let in stays near rate and burst while the
// traffic shifts, and most of it is let in where it is within the quota.
func TestQuotaOverAllGateways(t *testing.T) {
	for _, n := range []int{3, 300} {
		for _, ask := range []float64{0.5, 4} { // times the rate
			j := newCluster(t, n, nil)
			j.run(3*time.Second, 100*ms, "small", 0, func(int) int { return 0 })
			const rate, units, secs = 3.0, 2.0, 24.0
			gap := time.Duration(units / (ask * rate) * float64(time.Second))
			for k := 0; k < 3; k++ { // the traffic gathers on a tenth of the gateways, then on others
				few := max(1, n/10)
				j.run(8*time.Second, gap, "small", units, func(int) int { return (k*few + j.rng.Intn(few)) % n })
			}
			most := rate*secs + 12 + 2*units
			least := 0.8 * min(ask*rate*secs, rate*secs)
			if j.used > 1.15*most || j.used < least {
				t.Errorf("%d gateways, %v times the rate: used %v, want %v to %v", n, ask, j.used, least, most)
			}
		}
	}
}

// TestMessagesStayWithinIntake: one customer that asks for many times its quota at all of 300 gateways.
func TestMessagesStayWithinIntake(t *testing.T) {
	j := newCluster(t, 300, nil)
	j.run(12*time.Second, 4*ms, "small", 2, func(int) int { return j.rng.Intn(300) })
	for i := range j.received {
		j.received[i] = 0
	}
	j.run(5*time.Second, 4*ms, "small", 2, func(int) int { return j.rng.Intn(300) })
	for i, n := range j.received {
		if float64(n)/5 > j.cfg.GossipCapacity {
			t.Errorf("gateway %d was sent %d messages in 5 s, want %v a second at most", i, n, j.cfg.GossipCapacity)
		}
	}
}

// TestCeilingOverAllGateways: under restarts of most gateways the sum over all stays under the ceiling.
func TestCeilingOverAllGateways(t *testing.T) {
	for _, n := range []int{3, 300} {
		j := newCluster(t, n, nil)
		store, last, used := 60.0, j.now, 0.0
		for k := 0; k < 60; k++ {
			if k%10 == 5 {
				for i := range j.gateways {
					if j.rng.Float64() < 0.9 {
						j.start(i)
					}
				}
			}
			j.run(100*ms, 10*ms, "hard", 4, func(int) int { return j.rng.Intn(n) })
			store = min(60, store+30*(j.now-last).Seconds()) - (j.used - used)
			if last, used = j.now, j.used; store < -6 {
				t.Fatalf("%d gateways: the ceiling's store fell to %v, want -6 at least", n, store)
			}
		}
		if j.used < 30 {
			t.Errorf("%d gateways: passed on %v in 6 s under a ceiling of 30 a second", n, j.used)
		}
	}
}

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

// TestToldOpenWorkSheds: a gateway with nothing out that is told of much open work for the answers that come lets
// in less, before it has met the jam itself. It opens again when told of little, and by itself when nobody tells.
func TestToldOpenWorkSheds(t *testing.T) {
	j := newCluster(t, 300, nil)
	g := j.gateways[3]
	told := func(open, done float64) {
		for i := 0; i < 40; i++ {
			w := grantMessage{kind: grantRelease, key: 1, planNo: 0, figureCount: 1, inFlight: open, responseRate: done}
			g.Handle(j.now, GossipReceived{From: 9, Text: w.encode()})
		}
	}
	total := 0
	asked := func() (n int) {
		for i := 0; i < 100; i++ {
			total++
			id := fmt.Sprint("r", total)
			n += len(actionsOf[SendGossip](g.Handle(j.now, Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1,
				Deadline: j.now + time.Second, GatewayCount: 300})))
		}
		return n
	}
	told(5, 2)
	if n := asked(); n > 0 {
		t.Errorf("%d of 100 asked for when told of a jam, want none", n)
	}
	told(0, 2)
	if n := asked(); n < 90 {
		t.Errorf("%d of 100 asked for when told that it is over, want 90 or more", n)
	}
	told(5, 2)
	for i := 0; i < 300; i++ { // long, as two servers for 300 gateways bear little
		j.now += ownerHeartbeatInterval
		g.Handle(j.now, TimerFired{heartbeatToken})
	}
	if n := asked(); n < 90 {
		t.Errorf("%d of 100 asked for after 30 s without a word, want 90 or more", n)
	}
}

// TestClassFailureIsAvoided: told that a server leaves one class, a gateway sends it the others only.
func TestClassFailureIsAvoided(t *testing.T) {
	r := newHarness(t, nil)
	for i := 0; i < 8; i++ {
		r.g.observe(r.g.endpoints.byID["s1"], r.g.classes.byName["pay"], 5, true)
	}
	got := map[string]int{}
	for i := 0; i < 30; i++ {
		for _, class := range []string{"pay", "get"} {
			id, s := r.mustSend(class, "wide")
			got[class+s.Server]++
			r.endAttempt(id, 0, s.Server, OutcomeOK)
		}
	}
	if got["pays1"] > 0 {
		t.Errorf("sent %d of a class to a server that leaves it: %v", got["pays1"], got)
	}
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
			g.Handle(now, AttemptEnded{ID: id, Server: r.attempts[0].endpoint.ID, Outcome: OutcomeOK, Duration: ms, RequestDone: true})
		}
	}
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

// TestRestartsHandOutNoFreshQuota: nine of ten gateways restart, twice; each time a home may be taken for half full.
func TestRestartsHandOutNoFreshQuota(t *testing.T) {
	for _, n := range []int{3, 300} {
		j := newCluster(t, n, nil)
		j.run(3*time.Second, 100*ms, "small", 0, func(int) int { return 0 })
		for k := 0; k < 3; k++ {
			if k > 0 {
				for i := range j.gateways {
					if j.rng.Float64() < 0.9 {
						j.start(i)
					}
				}
			}
			j.run(5*time.Second, 170*ms, "small", 2, func(int) int { return j.rng.Intn(n) })
		}
		const rate, burst, secs = 3.0, 12.0, 15.0
		if most := 1.15 * (rate*secs + burst + 2*initialLevel*burst); j.used > most || j.used < 0.7*rate*secs {
			t.Errorf("%d gateways: used %v in 15 s, want %v to %v", n, j.used, 0.7*rate*secs, most)
		}
	}
}

// TestSetOutsideTheFleet: a set of no gateways or more than there are is not taken; a first number beyond the last
// is counted round.
func TestSetOutsideTheFleet(t *testing.T) {
	r := newHarness(t, nil)
	for i, set := range [][2]int{{0, 0}, {1, -2}, {2, 9}, {7, 2}} {
		id := fmt.Sprint("set", i)
		acts := r.handle(Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1, Deadline: r.now + 2*time.Second,
			FirstGateway: set[0], GatewayCount: set[1]})
		c := r.g.customers.byKey[hashKey(id)]
		if c.gatewayCount < 1 || c.gatewayCount > 3 || c.firstGateway < 0 || c.firstGateway > 2 || len(actionsOf[Send](acts)) != 1 {
			t.Errorf("first %d, spread %d: taken as %d of %d, did %#v", set[0], set[1], c.gatewayCount, c.firstGateway, acts)
		}
	}
}

// On a day on which all servers are replaced again and again nothing of those that have gone stays.
func TestServersThatHaveGoneAreForgotten(t *testing.T) {
	r := newHarness(t, nil)
	id, s := r.mustSend("get", "wide")
	for i := range 1000 {
		r.now += 100 * ms
		r.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: fmt.Sprint("new", i), Zone: "a"}, {ID: fmt.Sprint("new", i-1), State: Removed},
			{ID: "s1", State: Removed}, {ID: "s2", State: Removed}, {ID: "s3", State: Removed}}})
		r.handle(TimerFired{heartbeatToken})
	}
	if n := len(r.g.endpoints.sorted); n != 2 || len(r.g.endpoints.byID) != 2 || len(r.g.endpoints.byShortID) != 2 {
		t.Errorf("%d servers are kept, want the one that is listed and the one that still holds an attempt", n)
	}
	r.endAttempt(id, 0, s.Server, OutcomeOK)
	r.handle(TimerFired{heartbeatToken})
	if n := len(r.g.endpoints.sorted); n != 1 {
		t.Errorf("%d servers are kept, want 1", n)
	}
}
