package decide

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func testConfig() Config {
	return Config{Gateways: 3, Zone: "a", GossipCapacity: 40, MaxUnits: 8, SettledOnResponse: true,
		Classes: []Class{
			{Name: "get", Idempotency: Idempotent, LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1},
			{Name: "put", Idempotency: IdempotentByKey, DedupScope: DedupInCell, DedupWindow: 2 * time.Second, LatencyObjective: time.Second,
				Deadline: 4 * time.Second, PriorityWeight: 2},
			{Name: "putall", Idempotency: IdempotentByKey, DedupScope: DedupInFleet, DedupWindow: 2 * time.Second, LatencyObjective: time.Second,
				Deadline: 4 * time.Second, PriorityWeight: 2},
			{Name: "pay", Idempotency: NotIdempotent, LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 2}},
		Plans: []Plan{
			{Name: "wide", Rate: 1000, Burst: 3000, PriorityWeight: 1},
			{Name: "small", Rate: 3, Burst: 12, PriorityWeight: 1},
			{Name: "hard", Rate: 30, Burst: 60, CeilingRate: 30, CeilingBurst: 60, CeilingSlack: 6, PriorityWeight: 1},
			{Name: "open", MaxInFlight: 3, PriorityWeight: 1}},
		Limits: Limits{MaxAttempts: 3, Cancel: true, Gossip: true, RetryAfter: true, MaxRetryAfter: time.Second},
		Safety: Safety{AnswerSlack: 16 * ms, SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 2,
			OverloadWindow: time.Second}}
}

// rig drives a gateway by hand.
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
	r := &harness{t: t, g: g, now: time.Hour}
	r.handle(EndpointUpdate{Kind: StaleUpdate, Servers: servers})
	return r
}

func (r *harness) handle(ev Event) []Action { return r.g.Handle(r.now, ev) }

func (r *harness) request(class, plan, customer string, units float64) (string, []Action) {
	r.n++
	id := fmt.Sprint("q", r.n)
	return id, r.handle(Request{ID: id, Class: class, Plan: plan, Customer: customer, Units: units,
		Deadline: r.now + 2*time.Second, GatewayCount: 3})
}

func actionsOf[A Action](acts []Action) (out []A) {
	for _, a := range acts {
		if x, ok := a.(A); ok {
			out = append(out, x)
		}
	}
	return out
}

// send asks and fails the test unless the request is sent on.
func (r *harness) mustSend(class, plan string) (string, Send) {
	r.t.Helper()
	id, acts := r.request(class, plan, "c", 1)
	s := actionsOf[Send](acts)
	if len(s) != 1 {
		r.t.Fatalf("%s on %s: got %#v, want one Send", class, plan, acts)
	}
	return id, s[0]
}

// serve asks, answers at once if the request is sent on, and tells whether it was.
func (r *harness) serve(class, plan, customer string, units float64) bool {
	id, acts := r.request(class, plan, customer, units)
	s := actionsOf[Send](acts)
	if len(s) == 1 {
		r.endAttempt(id, 0, s[0].Server, OutcomeOK)
	}
	return len(s) == 1
}

func (r *harness) endAttempt(id string, n int, server string, o Outcome) []Action {
	return r.handle(AttemptEnded{ID: id, Attempt: n, Server: server, Outcome: o, Duration: 20 * ms, RequestDone: o == OutcomeOK})
}

func TestBucket(t *testing.T) {
	r := newHarness(t, nil)
	admitted := 0
	for i := 0; i < 20; i++ {
		if r.serve("get", "small", "x", 1) {
			admitted++
		}
	}
	// A third of the mark of 12, of which half counts as used after a start; a request may fill a third of its
	// own units over it.
	if admitted < 1 || admitted > 3 {
		t.Errorf("admitted %d at once after a start, want 1 to 3", admitted)
	}
	r.now += 10 * time.Second
	later := 0
	for i := 0; i < 20; i++ {
		if r.serve("get", "small", "x", 1) {
			later++
		}
	}
	if later <= admitted || later > 5 {
		t.Errorf("admitted %d at once after a rest, want %d to 5", later, admitted+1)
	}
}

func TestSettlement(t *testing.T) {
	r := newHarness(t, nil)
	id, s := r.mustSend("get", "wide")
	c := r.g.customers[hashKey("c")]
	before := c.level
	r.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: ms, RequestDone: true, ActualUnits: 6})
	if got := c.level - before; got != 5 {
		t.Errorf("settling 1 unit to 6 moved the level by %v, want 5", got)
	}
	id, s = r.mustSend("get", "wide")
	before = c.level
	r.endAttempt(id, 0, s.Server, OutcomeNotDispatched)
	if got := before - c.level; got != 1 {
		t.Errorf("a moot send gave back %v, want 1", got)
	}
	id, _ = r.mustSend("pay", "wide")
	before = c.level
	r.endAttempt(id, 0, "s1", OutcomeError)
	if c.level != before {
		t.Errorf("a failed send moved the level from %v to %v, want it kept", before, c.level)
	}
}

func gossipEntry(key string, plan, used, asked, level int) string {
	var b strings.Builder
	encodeDigits(&b, hashKey(key), 6)
	encodeDigits(&b, uint64(plan), 1)
	encodeDigits(&b, uint64(used), 2)
	encodeDigits(&b, uint64(asked), 2)
	encodeDigits(&b, uint64(level), 1)
	return b.String()
}

func gossipMessage(epoch, seq int, entries ...string) string {
	var b strings.Builder
	b.WriteString(gossipVersion)
	encodeDigits(&b, uint64(epoch), 2)
	encodeDigits(&b, uint64(seq), 2)
	return b.String() + strings.Join(entries, "")
}

func TestPartFollowsDemand(t *testing.T) {
	r := newHarness(t, nil)
	r.request("get", "wide", "x", 100)
	c := r.g.customers[hashKey("x")]
	r.handle(GossipReceived{From: 1, Text: gossipMessage(1, 1, gossipEntry("x", 0, 0, 0, 0))})
	r.handle(GossipReceived{From: 2, Text: gossipMessage(1, 1)})
	r.handle(GossipReceived{From: 1, Text: gossipMessage(1, 2, gossipEntry("x", 0, 0, 900, 0))})
	r.g.leak(c)
	if math.Abs(c.share-1.0/3) > 1e-9 {
		t.Errorf("part is %v with a tenth of the demand, want the even floor", c.share)
	}
	r.request("get", "wide", "x", 2700)
	r.g.leak(c)
	if c.share < 0.65 || c.share > 0.8 {
		t.Errorf("part is %v with three quarters of the demand, want about 0.73", c.share)
	}
	r.now += 2 * time.Second
	r.handle(TimerFired{heartbeatToken})
	r.g.leak(c)
	if c.share != 1.0/3 {
		t.Errorf("part is %v with silent peers, want the even slice", c.share)
	}
}

func TestToldUseSettlesTheLevel(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(GossipReceived{From: 1, Text: gossipMessage(1, 1, gossipEntry("x", 1, 0, 0, 0))})
	r.handle(GossipReceived{From: 2, Text: gossipMessage(1, 1)})
	_, acts := r.request("get", "small", "x", 1)
	if len(actionsOf[Send](acts)) != 1 {
		t.Fatalf("refused though all peers told that nothing was used: %#v", acts)
	}
	r.now += 100 * ms
	r.handle(GossipReceived{From: 1, Text: gossipMessage(1, 2, gossipEntry("x", 1, 12, 12, 0))})
	r.handle(GossipReceived{From: 2, Text: gossipMessage(1, 2)})
	if _, acts = r.request("get", "small", "x", 1); len(actionsOf[Send](acts)) != 0 {
		t.Errorf("sent on though a peer told that the whole burst is used")
	}
	r.now += 2 * time.Second // the peers have fallen silent; their told use leaks away
	if _, acts = r.request("get", "small", "x", 1); len(actionsOf[Send](acts)) != 1 {
		t.Errorf("refused after two seconds of leaking: %#v", acts)
	}
}

func TestPeerMessagesDoNoHarm(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(GossipReceived{From: 1, Text: gossipMessage(1, 5, gossipEntry("x", 1, 0, 0, 0))})
	r.handle(GossipReceived{From: 1, Text: gossipMessage(1, 6, gossipEntry("x", 1, 4, 4, 0))})
	c := r.g.customers[hashKey("x")]
	for _, e := range []GossipReceived{
		{From: 1, Text: gossipMessage(1, 6, gossipEntry("x", 1, 4, 4, 0))},  // again
		{From: 1, Text: gossipMessage(1, 5, gossipEntry("x", 1, 0, 0, 0))},  // late
		{From: 0, Text: gossipMessage(1, 9, gossipEntry("x", 1, 9, 9, 0))},  // own rank
		{From: 9, Text: gossipMessage(1, 9, gossipEntry("x", 1, 9, 9, 0))},  // no such gateway
		{From: -1, Text: gossipMessage(1, 9, gossipEntry("x", 1, 9, 9, 0))}, // nor this
		{From: 1, Text: "Z" + gossipMessage(1, 9, gossipEntry("x", 1, 9, 9, 0))[1:]},
		{From: 1, Text: gossipMessage(1, 9, gossipEntry("x", 1, 9, 9, 0)) + "!"},
		{From: 1, Text: gossipMessage(1, 9) + "!!!!!!!!!!!!"},
		{From: 1, Text: ""},
	} {
		r.handle(e)
		if c.fleetLevel != 4 {
			t.Fatalf("after %#v the whole bucket holds %v, want 4", e, c.fleetLevel)
		}
	}
	r.handle(GossipReceived{From: 1, Text: gossipMessage(1, 7, gossipEntry("y", 60, 9, 9, 0))}) // plan unknown here
	// A new life of the peer counts from 0 again, and all that it used since is news.
	r.handle(GossipReceived{From: 1, Text: gossipMessage(2, 1, gossipEntry("x", 1, 3, 3, 0))})
	if c.fleetLevel != 7 {
		t.Errorf("after the peer's restart the whole bucket holds %v, want 7", c.fleetLevel)
	}
}

func TestRestartLearnsWhatPeersKnow(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(GossipReceived{From: 1, Text: gossipMessage(1, 40, gossipEntry("x", 1, 700, 800, 30))})
	r.handle(GossipReceived{From: 2, Text: gossipMessage(3, 50)})
	if _, acts := r.request("get", "small", "x", 1); len(actionsOf[Send](acts)) != 0 {
		t.Error("a restarted gateway sent on though its peers told that the burst is used up")
	}
}

func TestMessagesAreSmall(t *testing.T) {
	r := newHarness(t, nil)
	for i := 0; i < 100; i++ {
		r.serve("get", "wide", fmt.Sprint("c", i), 1)
	}
	told := map[int]int{}
	for i := 0; i < 20; i++ {
		r.now += 200 * ms
		for _, m := range actionsOf[SendGossip](r.handle(TimerFired{heartbeatToken})) {
			if len(m.Text) > maxGossipBytes {
				t.Fatalf("message of %d bytes, want %d at most", len(m.Text), maxGossipBytes)
			}
			told[m.To] += (len(m.Text) - gossipHeadLength) / gossipEntryLength
		}
	}
	if told[1] != 100 || told[2] != 100 || told[0] != 0 {
		t.Errorf("told of %v customers by gateway, want 100 each for 1 and 2", told)
	}
}

func TestOpenCap(t *testing.T) {
	r := newHarness(t, nil)
	r.mustSend("get", "open")
	if _, acts := r.request("get", "open", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("a second attempt out with a third of 3: got %#v, want Refuse", acts)
	}
	r.endAttempt("q1", 0, "s1", OutcomeOK)
	r.mustSend("get", "open")
}

// TestOpenCapIsRoundedDown: of a cap of four three gateways may not have two out each, yet one each.
func TestOpenCapIsRoundedDown(t *testing.T) {
	r := newHarness(t, func(c *Config) { c.Plans[3].MaxInFlight = 4 })
	r.mustSend("get", "open")
	if _, acts := r.request("get", "open", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("a second attempt out with a third of 4: got %#v, want Refuse", acts)
	}
	r = newHarness(t, func(c *Config) { c.Plans[3].MaxInFlight = 2 })
	r.mustSend("get", "open") // a third of 2 is less than one, but one may always be out
}

func TestCeiling(t *testing.T) {
	r := newHarness(t, nil)
	if _, acts := r.request("get", "hard", "x", 8); len(actionsOf[Send](acts)) != 0 {
		t.Fatal("sent on from the ceiling's store at the start, when it must count as empty")
	}
	sent, start := 0.0, r.now
	for ; r.now < start+20*time.Second; r.now += 50 * ms {
		id, acts := r.request("get", "hard", "x", 4)
		if s := actionsOf[Send](acts); len(s) == 1 {
			sent += 4
			r.endAttempt(id, 0, s[0].Server, OutcomeOK)
		}
		if most := 10*(r.now-start).Seconds() + 2; sent > most+1e-6 {
			t.Fatalf("passed on %v by %v, want a third of the ceiling: %v", sent, r.now-start, most)
		}
	}
	if sent < 100 {
		t.Errorf("passed on %v in 20 s, want over 100", sent)
	}
}

func TestEffects(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		again   bool // a further attempt is allowed
		refuse  bool // else: a refusal is allowed
	}{
		{"get", OutcomeError, true, true}, {"get", OutcomeTimedOut, true, true}, {"get", OutcomeRejected, true, true},
		{"put", OutcomeError, true, false}, {"put", OutcomeRejected, true, true}, {"put", OutcomeReset, true, false},
		{"putall", OutcomeError, true, true}, {"putall", OutcomeConnectFailed, true, true},
		{"pay", OutcomeError, false, false}, {"pay", OutcomeTimedOut, false, false}, {"pay", OutcomeReset, false, false},
		{"pay", OutcomeCancelled, false, false}, {"pay", OutcomeRejected, true, true}, {"pay", OutcomeConnectFailed, true, true},
	} {
		r := newHarness(t, nil)
		id, s := r.mustSend(c.class, "wide")
		acts := r.endAttempt(id, 0, s.Server, c.outcome)
		more := actionsOf[Send](acts)
		if (len(more) == 1) != c.again {
			t.Errorf("%s after %v: got %#v, want again=%v", c.class, c.outcome, acts, c.again)
		}
		if len(more) == 1 && c.class == "put" && !c.outcome.neverRan() && (more[0].Server == "s3") != (s.Server == "s3") {
			t.Errorf("%s after %v: sent to %s after %s, another cell", c.class, c.outcome, more[0].Server, s.Server)
		}
		r.g.retryBudget = 0 // no further attempts: the final answer
		for i := 1; len(more) == 1; i++ {
			acts = r.endAttempt(id, i, more[0].Server, c.outcome)
			more = actionsOf[Send](acts)
		}
		if len(actionsOf[Reject](acts)) != boolToInt(c.refuse) || len(actionsOf[Fail](acts)) != boolToInt(!c.refuse) {
			t.Errorf("%s after %v: final %#v, want refuse=%v", c.class, c.outcome, acts, c.refuse)
		}
	}
}

func TestKeyedWindow(t *testing.T) {
	r := newHarness(t, func(c *Config) { c.Classes[2].LatencyObjective, c.Classes[2].DedupWindow = 3*time.Second, time.Second })
	id, s := r.mustSend("putall", "wide")
	r.now += 1100 * ms
	if acts := r.endAttempt(id, 0, s.Server, OutcomeError); len(actionsOf[Send](acts)) != 0 {
		t.Errorf("sent again after the window: %#v", acts)
	}
}

// A repeat that waits for its connection may come to its write behind the window, in which servers still know the first
// attempt: it is told how long it may be written.
func TestRepeatsAreBoundedAtTheirWrite(t *testing.T) {
	for _, c := range []struct {
		class  string
		first  Outcome
		window bool
	}{{"put", OutcomeCancelled, true}, {"put", OutcomeReset, true}, {"put", OutcomeConnectFailed, false}, {"get", OutcomeReset, false}} {
		r := newHarness(t, nil)
		id, s := r.mustSend(c.class, "wide")
		at := r.now
		if s.WriteBefore != 0 {
			t.Errorf("%s: the first attempt may be written until %v, want no bound", c.class, s.WriteBefore)
		}
		r.now += 700 * ms
		again := actionsOf[Send](r.endAttempt(id, 0, s.Server, c.first))
		if len(again) != 1 {
			t.Fatalf("%s behind %v: %d sent, want 1", c.class, c.first, len(again))
		}
		got, bounded := again[0].WriteBefore-at, again[0].WriteBefore != 0
		if bounded != c.window || bounded && (got > 2*time.Second || got < 1900*ms) {
			t.Errorf("%s behind %v: the repeat may be written until %v after the first, want the window: %t", c.class, c.first, got, c.window)
		}
	}
}

func TestNoServer(t *testing.T) {
	r := newHarness(t, nil, []Server{}...)
	r.handle(EndpointUpdate{Kind: FullUpdate})
	if _, acts := r.request("get", "wide", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("without servers: got %#v, want Refuse", acts)
	}
}

func TestDrains(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: "s1", State: Draining}}})
	r.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: "s2", State: Removed}}})
	for i := 0; i < 8; i++ {
		if _, s := r.mustSend("get", "wide"); s.Server != "s3" {
			t.Fatalf("sent to %s, want s3", s.Server)
		}
		r.endAttempt(fmt.Sprint("q", r.n), 0, "s3", OutcomeOK)
	}
	r.handle(EndpointUpdate{Kind: FullUpdate, Servers: []Server{{ID: "s2"}}})
	if _, s := r.mustSend("get", "wide"); s.Server != "s2" {
		t.Errorf("sent to %s, which a full list left out, want s2", s.Server)
	}
	r.handle(EndpointUpdate{Kind: FailedUpdate})
	if _, acts := r.request("get", "wide", "c", 1); len(actionsOf[Send](acts)) != 1 {
		t.Errorf("a failed list call lost the former list: %#v", acts)
	}
}

func TestSlowStart(t *testing.T) {
	r := newHarness(t, nil)
	run := func(d time.Duration) map[string]int {
		n := map[string]int{}
		for end := r.now + d; r.now < end; r.now += 20 * ms {
			id, s := r.mustSend("get", "wide")
			n[s.Server]++
			r.now += 5 * ms
			r.endAttempt(id, 0, s.Server, OutcomeOK)
		}
		return n
	}
	run(10 * time.Second)
	r.handle(EndpointUpdate{Kind: DeltaUpdate, Servers: []Server{{ID: "s1", Zone: "a", StartedAt: r.now - ms}}})
	n := run(time.Second)
	warm := float64(n["s2"]+n["s3"]) / 2
	if most := slowStartMargin * 2 * 0.3 * warm * 1.2; float64(n["s1"]) > most+1 {
		t.Errorf("cold server got %d in its first second, want %v at most", n["s1"], most)
	}
	run(10 * time.Second)
	if n = run(2 * time.Second); n["s1"] < n["s2"]/2 {
		t.Errorf("warm again, the server gets %d of %v", n["s1"], n)
	}
}

func TestOutlierEjection(t *testing.T) {
	r := newHarness(t, nil)
	fails := 0
	for i := 0; i < 200; i++ {
		id, s := r.mustSend("get", "wide")
		r.now += 20 * ms
		if s.Server != "s1" {
			r.endAttempt(id, 0, s.Server, OutcomeOK)
			continue
		}
		fails++
		for _, m := range actionsOf[Send](r.endAttempt(id, 0, "s1", OutcomeError)) {
			r.endAttempt(id, 1, m.Server, OutcomeOK)
		}
	}
	if fails > 12 {
		t.Errorf("%d of 200 went to a server that fails all, quickly", fails)
	}
	all := newHarness(t, nil)
	for i := 0; i < 100; i++ {
		id, acts := all.request("pay", "wide", "c", 1)
		all.now += 20 * ms
		if s := actionsOf[Send](acts); len(s) == 1 {
			all.endAttempt(id, 0, s[0].Server, OutcomeError)
		}
	}
	got := map[string]bool{}
	for i := 0; i < 60; i++ {
		if _, acts := all.request("pay", "wide", "c", 1); len(actionsOf[Send](acts)) == 1 {
			got[actionsOf[Send](acts)[0].Server] = true
			all.endAttempt(fmt.Sprint("q", all.n), 0, actionsOf[Send](acts)[0].Server, OutcomeError)
		}
	}
	if len(got) < 3 {
		t.Errorf("only %v get requests for a fault that all servers share", got)
	}
}

func TestSilentServerIsLeft(t *testing.T) {
	r := newHarness(t, nil)
	lost := 0
	for i := 0; i < 200; i++ {
		id, s := r.mustSend("get", "wide")
		r.now += 30 * ms
		if s.Server != "s1" {
			r.endAttempt(id, 0, s.Server, OutcomeOK)
		} else {
			lost++
		}
		for token, ref := range r.g.timers {
			if a := r.g.findAttempt(ref.requestID, ref.attempt); a != nil && r.now > a.sentAt+time.Second {
				r.handle(TimerFired{token})
			}
		}
	}
	if lost > 40 {
		t.Errorf("%d of 200 went to a server that never answers", lost)
	}
}

func TestSlownessFades(t *testing.T) {
	r := newHarness(t, nil)
	s := r.g.endpoints[0]
	for i := 0; i < 10; i++ {
		r.g.observeOwn(s, r.g.classes["get"], 3*time.Second, false)
	}
	slow := r.g.slowness(s)
	r.now += time.Minute
	r.handle(TimerFired{heartbeatToken})
	if got := r.g.slowness(s); slow < 1.3 || got > 1.1 {
		t.Errorf("slowness went from %v to %v in a minute without answers, want it to fade to about 1", slow, got)
	}
}

func TestGhostsCloseTheCap(t *testing.T) {
	r := newHarness(t, nil)
	for i := 0; i < 6; i++ {
		id, acts := r.request("get", "wide", "c", 1)
		if s := actionsOf[Send](acts); len(s) == 1 {
			r.endAttempt(id, 0, s[0].Server, OutcomeCancelled)
		}
	}
	if _, acts := r.request("get", "wide", "c", 1); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("sent on to servers that still work on what nobody waits for: %#v", acts)
	}
	r.now += r.g.timesObjective(orphanLifetime) + time.Second
	r.mustSend("get", "wide")
}

func TestBadInput(t *testing.T) {
	r := newHarness(t, nil)
	for _, e := range []Request{{ID: "a", Class: "none", Plan: "wide"}, {ID: "b", Class: "get", Plan: "none"}} {
		if acts := r.handle(e); len(actionsOf[Reject](acts)) != 1 {
			t.Errorf("%#v: got %#v, want Refuse", e, acts)
		}
	}
	for _, e := range []Event{AttemptEnded{ID: "zz", Outcome: OutcomeOK}, ClientDisconnected{"zz"}, TimerFired{1 << 60},
		ResponseStarted{ID: "zz"}, HealthCheckEnded{Server: "zz"}, CounterUpdated{Name: 4}, AttemptEnded{ID: "zz", Attempt: -1}} {
		if acts := r.handle(e); len(acts) != 0 {
			t.Errorf("%#v: got %#v, want nothing", e, acts)
		}
	}
	id, s := r.mustSend("get", "wide")
	r.handle(ClientDisconnected{id})
	if acts := r.endAttempt(id, 0, s.Server, OutcomeTimedOut); len(acts) != 0 {
		t.Errorf("answered a request whose client is gone: %#v", acts)
	}
	if acts := r.endAttempt(id, 0, s.Server, OutcomeTimedOut); len(acts) != 0 {
		t.Errorf("answered an outcome told twice: %#v", acts)
	}
}

func TestValidate(t *testing.T) {
	for want, edit := range map[string]func(*Config){
		"Classes is empty":                  func(c *Config) { c.Classes = nil },
		"Rank is 3":                         func(c *Config) { c.Rank = 3 },
		"Gateways is 0":                     func(c *Config) { c.Gateways = 0 },
		"Plans[1].Rate is -1":               func(c *Config) { c.Plans[1].Rate = -1 },
		"Plans[2].CeilingBurst is NaN":      func(c *Config) { c.Plans[2].CeilingBurst = math.NaN() },
		"Classes[0].LatencyObjective is 0s": func(c *Config) { c.Classes[0].LatencyObjective = 0 },
		"Limits.MaxAttempts is 0":           func(c *Config) { c.Limits.MaxAttempts = 0 },
	} {
		cfg := testConfig()
		edit(&cfg)
		if _, err := New(cfg, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %q", err, want)
		}
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

// TestRulesUnderRandomEvents checks the five rules over long random legal events.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(10); seed < 30; seed++ {
		playRandom(t, seed)
	}
}

type trackedRequest struct {
	req      Request
	class    Class
	attempts []Send
	at       []time.Duration
	out      map[int]bool
	mayRun   map[int]bool
	done     bool
}

// playRandom plays the servers, the clients, the list and a peer at random, and checks each action.
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
				t.Fatalf("seed %d: Send to %s, which drains or is gone", seed, a.Server)
			}
			if len(f.attempts) >= cfg.Limits.MaxAttempts || (!cfg.Limits.Hedging && len(f.out) > 0) {
				t.Fatalf("seed %d: attempt %d with %d out", seed, len(f.attempts), len(f.out))
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
			f.out[n], f.mayRun[n] = true, true
		case Reject:
			f := flights[a.ID]
			if f.done {
				t.Fatalf("seed %d: second final answer for %s", seed, a.ID)
			}
			for n := range f.attempts {
				if f.mayRun[n] && (f.class.Idempotency == NotIdempotent || (f.class.Idempotency == IdempotentByKey && f.class.DedupScope != DedupInFleet)) {
					t.Fatalf("seed %d: refused %s after attempt %d may have run", seed, f.class.Name, n)
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
		delete(f.out, n)
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
			flights[id] = &trackedRequest{req: q, class: c, out: map[int]bool{}, mayRun: map[int]bool{}}
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
			handle(GossipReceived{From: 1 + rnd.Intn(2), Text: gossipMessage(rnd.Intn(2), rnd.Intn(4096),
				gossipEntry("c1hard", 2, rnd.Intn(4096), rnd.Intn(4096), rnd.Intn(64)))})
		case k < 13:
			handle(TimerFired{heartbeatToken})
		}
		for _, id := range order {
			f := flights[id]
			for n := 0; n < len(f.attempts); n++ {
				if !f.out[n] {
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
		order = filterIDs(order, func(id string) bool { return !flights[id].done || len(flights[id].out) > 0 })
	}
	return log
}

func filterIDs(ids []string, want func(string) bool) (out []string) {
	for _, id := range ids {
		if want(id) {
			out = append(out, id)
		}
	}
	return out
}

// FuzzPeerMessage feeds the parser of peers' messages; whatever comes must neither panic nor make units negative.
func FuzzPeerMessage(f *testing.F) {
	f.Add(gossipMessage(1, 1, gossipEntry("x", 1, 5, 5, 5)))
	f.Add(gossipMessage(4095, 4095))
	f.Add("b")
	f.Add("a0102zzzz")
	f.Fuzz(func(t *testing.T, text string) {
		g, err := New(testConfig(), 1)
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(time.Second, GossipReceived{From: 1, Text: text})
		for _, c := range g.customerOrder {
			if c.fleetLevel < 0 || math.IsNaN(c.fleetLevel) {
				t.Errorf("whole bucket is %v", c.fleetLevel)
			}
		}
	})
}

func TestMeterDecidesThePartWherePeersAreSilent(t *testing.T) {
	for metered, want := range map[int]float64{1 + 100: 0.9, 1 + 1000: 1.0 / 3, 0: 1.0 / 3} {
		r := newHarness(t, nil)
		id, s := r.mustSend("get", "wide")
		r.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OutcomeOK, Duration: ms, RequestDone: true, ReportedUsage: metered})
		c := r.g.customers[hashKey("c")]
		r.g.charge(c, 1800) // 900 units a second over the memory, of a rate of 1000
		if r.g.leak(c); math.Abs(c.share-want) > 0.01 {
			t.Errorf("told %d: part is %v, want %v", metered, c.share, want)
		}
	}
}
