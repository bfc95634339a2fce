package decide

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

func entryText(key string, plan, used, asked, level int) string {
	var b strings.Builder
	encodeDigits(&b, hashKey(key), 6)
	encodeDigits(&b, uint64(plan), 1)
	encodeDigits(&b, uint64(used), 2)
	encodeDigits(&b, uint64(asked), 2)
	encodeDigits(&b, uint64(level), 1)
	return b.String()
}

func gossipText(epoch, seq int, entries ...string) string {
	var b strings.Builder
	b.WriteString(gossipVersion)
	encodeDigits(&b, uint64(epoch), 2)
	encodeDigits(&b, uint64(seq), 2)
	return b.String() + strings.Join(entries, "")
}

func TestPartFollowsDemand(t *testing.T) {
	r := newHarness(t, nil)
	r.request("get", "wide", "x", 100)
	c := r.g.customers.byKey[hashKey("x")]
	r.handle(GossipReceived{From: 1, Text: gossipText(1, 1, entryText("x", 0, 0, 0, 0))})
	r.handle(GossipReceived{From: 2, Text: gossipText(1, 1)})
	r.handle(GossipReceived{From: 1, Text: gossipText(1, 2, entryText("x", 0, 0, 900, 0))})
	r.g.refresh(c)
	if math.Abs(c.bucket.share-1.0/3) > 1e-9 {
		t.Errorf("part is %v with a tenth of the demand, want the even floor", c.bucket.share)
	}
	r.request("get", "wide", "x", 2700)
	r.g.refresh(c)
	if c.bucket.share < 0.65 || c.bucket.share > 0.8 {
		t.Errorf("part is %v with three quarters of the demand, want about 0.73", c.bucket.share)
	}
	r.now += 2 * time.Second
	r.handle(TimerFired{heartbeatToken})
	r.g.refresh(c)
	if c.bucket.share != 1.0/3 {
		t.Errorf("part is %v with silent peers, want the even slice", c.bucket.share)
	}
}

func TestToldUseSettlesTheLevel(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(GossipReceived{From: 1, Text: gossipText(1, 1, entryText("x", 1, 0, 0, 0))})
	r.handle(GossipReceived{From: 2, Text: gossipText(1, 1)})
	_, acts := r.request("get", "small", "x", 1)
	if len(actionsOf[Send](acts)) != 1 {
		t.Fatalf("refused though all peers told that nothing was used: %#v", acts)
	}
	r.now += 100 * ms
	r.handle(GossipReceived{From: 1, Text: gossipText(1, 2, entryText("x", 1, 12, 12, 0))})
	r.handle(GossipReceived{From: 2, Text: gossipText(1, 2)})
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
	r.handle(GossipReceived{From: 1, Text: gossipText(1, 5, entryText("x", 1, 0, 0, 0))})
	r.handle(GossipReceived{From: 1, Text: gossipText(1, 6, entryText("x", 1, 4, 4, 0))})
	c := r.g.customers.byKey[hashKey("x")]
	for _, e := range []GossipReceived{
		{From: 1, Text: gossipText(1, 6, entryText("x", 1, 4, 4, 0))},  // again
		{From: 1, Text: gossipText(1, 5, entryText("x", 1, 0, 0, 0))},  // late
		{From: 0, Text: gossipText(1, 9, entryText("x", 1, 9, 9, 0))},  // own rank
		{From: 9, Text: gossipText(1, 9, entryText("x", 1, 9, 9, 0))},  // no such gateway
		{From: -1, Text: gossipText(1, 9, entryText("x", 1, 9, 9, 0))}, // nor this
		{From: 1, Text: "Z" + gossipText(1, 9, entryText("x", 1, 9, 9, 0))[1:]},
		{From: 1, Text: gossipText(1, 9, entryText("x", 1, 9, 9, 0)) + "!"},
		{From: 1, Text: gossipText(1, 9) + "!!!!!!!!!!!!"},
		{From: 1, Text: ""},
	} {
		r.handle(e)
		if c.bucket.fleetLevel != 4 {
			t.Fatalf("after %#v the whole bucket holds %v, want 4", e, c.bucket.fleetLevel)
		}
	}
	r.handle(GossipReceived{From: 1, Text: gossipText(1, 7, entryText("y", 60, 9, 9, 0))}) // plan unknown here
	// A new life of the peer counts from 0 again, and all that it used since is news.
	r.handle(GossipReceived{From: 1, Text: gossipText(2, 1, entryText("x", 1, 3, 3, 0))})
	if c.bucket.fleetLevel != 7 {
		t.Errorf("after the peer's restart the whole bucket holds %v, want 7", c.bucket.fleetLevel)
	}
}

func TestRestartLearnsWhatPeersKnow(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(GossipReceived{From: 1, Text: gossipText(1, 40, entryText("x", 1, 700, 800, 30))})
	r.handle(GossipReceived{From: 2, Text: gossipText(3, 50)})
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

// FuzzPeerMessage feeds the parser of peers' messages; whatever comes must neither panic nor make units negative.
func FuzzPeerMessage(f *testing.F) {
	f.Add(gossipText(1, 1, entryText("x", 1, 5, 5, 5)))
	f.Add(gossipText(4095, 4095))
	f.Add("b")
	f.Add("a0102zzzz")
	f.Fuzz(func(t *testing.T, text string) {
		g, err := New(testConfig(), 1)
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(time.Second, GossipReceived{From: 1, Text: text})
		for _, c := range g.customers.order {
			if c.bucket.fleetLevel < 0 || math.IsNaN(c.bucket.fleetLevel) {
				t.Errorf("whole bucket is %v", c.bucket.fleetLevel)
			}
		}
	})
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
