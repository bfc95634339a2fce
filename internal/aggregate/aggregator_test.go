package aggregate

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world simulates the aggregators of a fleet on a network that loses, delays and duplicates messages and can
// be partitioned.
type world struct {
	aggregators []*Aggregator
	keys        []Key
	truth       map[Key]Totals // everything that was counted
	rng         *rand.Rand
	now         time.Duration
	process     uint64 // number of the last process that was started

	inTransit  []message
	loss       float64 // probability that a message is lost
	duplicates float64 // probability that a message is sent twice
	partition  []int   // side of each gateway; gateways on different sides cannot reach each other

	sent, bytes int                             // messages sent, and their bytes
	record      func(from, to int, data []byte) // called for every message, if not nil
}

// message is a message on the network.
type message struct {
	at       time.Duration
	from, to int
	data     []byte
}

// newWorld starts a fleet of n gateways with two classes and a number of customers.
func newWorld(n, members int, seed int64) *world {
	w := &world{
		aggregators: make([]*Aggregator, n),
		truth:       map[Key]Totals{},
		rng:         rand.New(rand.NewSource(seed)),
		now:         time.Hour,
		partition:   make([]int, n),
	}
	w.keys = []Key{{true, "look"}, {true, "submit"}}
	for i := range members {
		w.keys = append(w.keys, Key{false, fmt.Sprint("m", i)})
	}
	for i := range w.aggregators {
		w.start(i)
	}
	return w
}

// start starts a new process of a gateway.
func (w *world) start(i int) {
	w.process++
	w.aggregators[i] = New(Settings{Rank: i, Gateways: len(w.aggregators), Keys: w.keys,
		Incarnation: w.process, GossipCapacity: 40, Seed: int64(w.process)})
	w.aggregators[i].Tick(w.now)
}

// add counts totals of a key at a gateway.
func (w *world) add(i int, key Key, t Totals) {
	w.aggregators[i].Add(w.now, key, t)
	sum := w.truth[key]
	sum.add(t)
	w.truth[key] = sum
}

// run advances the simulation by a duration.
func (w *world) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.now + d; w.now < end; {
		w.now += step
		var rest []message
		for _, m := range w.inTransit {
			switch {
			case m.at > w.now:
				rest = append(rest, m)
			case w.partition[m.from] == w.partition[m.to]:
				w.aggregators[m.to].Receive(w.now, m.from, m.data)
			}
		}
		w.inTransit = rest
		for i, a := range w.aggregators {
			if a.NextTick() > w.now {
				continue
			}
			for _, m := range a.Tick(w.now) {
				w.send(i, m)
			}
		}
	}
}

// send puts a message on the network, which may lose, delay or duplicate it.
func (w *world) send(from int, m Send) {
	if w.record != nil {
		w.record(from, m.To, m.Data)
	}
	w.sent++
	w.bytes += len(m.Data)
	for n := 1; n <= 2; n++ {
		if n == 2 && w.rng.Float64() >= w.duplicates || w.rng.Float64() < w.loss {
			continue
		}
		at := w.now + time.Duration(w.rng.Intn(3000))*time.Millisecond
		w.inTransit = append(w.inTransit, message{at, from, m.To, m.Data})
	}
}

// fleetTotals returns the totals of a key at its first or second owner.
func (w *world) fleetTotals(key Key, primary bool) (t Totals) {
	for _, a := range w.aggregators {
		for _, s := range a.FleetTotals() {
			if s.Key == key && s.Primary == primary {
				t = s.Totals
			}
		}
	}
	return t
}

// An owner that counts a report twice, or never counts it, shows operators wrong totals. The test loses,
// delays and duplicates messages, partitions the fleet and restarts gateways. A sum must never exceed the
// true total or decrease. At the end, both owners of each key must have the true total, except owners that
// were restarted.
func TestOwnersReachTrueTotals(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(rt, "gateways")
		w := newWorld(n, 5, rapid.Int64().Draw(rt, "seed"))
		w.loss = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "loss")
		w.duplicates = rapid.SampledFrom([]float64{0, 0.5}).Draw(rt, "duplicates")
		last := map[string]Totals{}
		restarted := map[int]bool{}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			drawStep(rt, w, restarted)
			for _, key := range w.keys {
				for n, primary := range []bool{true, false} {
					owner := w.aggregators[0].owner(key.hash(), n)
					got := w.fleetTotals(key, primary)
					k := fmt.Sprint(key, primary, w.aggregators[owner].settings.Incarnation)
					if got.less(last[k]) || w.truth[key].less(got) {
						rt.Fatalf("%v at owner %d: got %+v after %+v, true total %+v",
							key, owner, got, last[k], w.truth[key])
					}
					last[k] = got
				}
			}
		}
		clear(w.partition)
		w.loss = 0
		w.run(2 * time.Minute)
		for _, key := range w.keys {
			for n, primary := range []bool{true, false} {
				owner := w.aggregators[0].owner(key.hash(), n)
				if got := w.fleetTotals(key, primary); !restarted[owner] && got != w.truth[key] {
					rt.Fatalf("%v at owner %d: got %+v, want %+v", key, owner, got, w.truth[key])
				}
			}
		}
	})
}

// drawStep performs a random step: a partition, a restart or some counts.
func drawStep(rt *rapid.T, w *world, restarted map[int]bool) {
	i := rapid.IntRange(0, len(w.aggregators)-1).Draw(rt, "gateway")
	switch rapid.IntRange(0, 6).Draw(rt, "step") {
	case 0:
		for k := range w.partition {
			w.partition[k] = rapid.IntRange(0, 1).Draw(rt, "side")
		}
	case 1:
		// A process that ends loses counts that it has not reported. Everything is reported first, as in a
		// drain.
		clear(w.partition)
		loss := w.loss
		w.loss = 0
		w.run(60 * time.Second)
		w.loss = loss
		w.start(i)
		restarted[i] = true
	default:
		key := rapid.SampledFrom(w.keys).Draw(rt, "key")
		rejected := uint64(rapid.IntRange(0, 3).Draw(rt, "rejected"))
		w.add(i, key, Totals{Served: 1, Rejected: rejected, Units: 1.5})
		w.run(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond)
	}
}

// An owner that restarts must not add counts that its previous process has already summed. The test restarts
// a first owner. The second owner must always have the true total, and the first one only what was counted
// after its restart.
func TestRestartedOwnerCountsNothingTwice(t *testing.T) {
	w := newWorld(4, 1, 3)
	m := Key{false, "m0"}
	feed := func() {
		for range 20 {
			w.add(w.rng.Intn(4), m, Totals{Served: 1, Units: 2})
			w.run(time.Second)
		}
		w.run(30 * time.Second)
	}
	feed()
	owner := w.aggregators[0].owner(m.hash(), 0)
	before := w.truth[m]
	reported := w.fleetTotals(m, true)
	if reported != before {
		t.Fatalf("the first owner has %+v, want %+v", reported, before)
	}
	w.start(owner)
	w.run(30 * time.Second)
	if s := w.fleetTotals(m, true); s != (Totals{}) {
		t.Errorf("the restarted owner has %+v counted before its restart, want none", s)
	}
	feed()
	if s := w.fleetTotals(m, false); s != w.truth[m] {
		t.Errorf("the second owner has %+v, want %+v", s, w.truth[m])
	}
	if s := w.fleetTotals(m, true); s != w.truth[m].minus(before) {
		t.Errorf("the restarted owner has %+v, want %+v", s, w.truth[m].minus(before))
	}
}

// In a large fleet, reports could use up the rate of messages that a gateway accepts. The test measures the
// messages and bytes per second in fleets of different sizes, and fails if a gateway gets more messages than
// about a quarter of its capacity.
func TestReportsStayWithinCapacity(t *testing.T) {
	for _, n := range []int{3, 50, 500} {
		for _, members := range []int{100, 1000} {
			if n == 500 && members == 1000 {
				continue
			}
			w := newWorld(n, members, 1)
			seconds := 2 * w.aggregators[0].reportInterval().Seconds()
			for range 20 {
				for i := range n { // over the whole run, each gateway is used by 40 members
					w.add(i, w.keys[w.rng.Intn(2)], Totals{Served: 1, Units: 1})
					w.add(i, w.keys[2+(i*37+w.rng.Intn(40))%members], Totals{Served: 1, Units: 1})
				}
				w.run(time.Duration(seconds / 20 * float64(time.Second)))
			}
			perGateway := float64(w.sent) / seconds / float64(n)
			if perGateway > 0.25*40+1 {
				t.Errorf("%d gateways, %d members: each gets %.1f messages per second, the capacity is 40",
					n, members, perGateway)
			}
			t.Logf("%d gateways, %d members: report interval %v, each gets %.2f messages/s and %.0f bytes/s",
				n, members, w.aggregators[0].reportInterval(), perGateway,
				float64(w.bytes)/seconds/float64(n))
		}
	}
}

// FuzzReceive checks that no message makes an aggregator panic.
func FuzzReceive(f *testing.F) {
	f.Add(make([]byte, 60), 1)
	f.Fuzz(func(_ *testing.T, data []byte, from int) {
		w := newWorld(3, 2, 1)
		w.aggregators[0].Receive(w.now, from, data)
	})
}

// A gateway that starts a moment before an owner may have nothing to report at first. The owner then took its
// later counts, including those of a key that appeared only in the last reports, for counts of the time
// before the owner started, and never summed them. The test starts a sender 1 ms before the owner, lets it
// count one key from the third report on and the other from the fifth on, and checks that the owner sums all
// counts.
func TestCountsAfterEmptyFirstReportAreSummed(t *testing.T) {
	keys := []Key{{true, "look"}, {false, "m"}}
	for seed := range int64(20) {
		for _, key := range keys {
			owner := New(Settings{Gateways: 3, Keys: keys, Incarnation: 1, Seed: seed}).owner(key.hash(), 0)
			from := (owner + 1) % 3
			sender := New(Settings{Rank: from, Gateways: 3, Keys: keys, Incarnation: 7, Seed: seed})
			sender.Tick(time.Hour) // starts the sender
			receiver := New(Settings{Rank: owner, Gateways: 3, Keys: keys, Incarnation: 8, Seed: seed})
			now := time.Hour + time.Millisecond
			receiver.Tick(now)
			for report := range 6 {
				if report >= 2 {
					sender.Add(now, keys[0], Totals{Served: 1})
				}
				if report >= 4 {
					sender.Add(now, keys[1], Totals{Served: 1})
				}
				now += 2 * sender.reportInterval()
				for _, s := range sender.Tick(now) {
					if s.To == owner {
						receiver.Receive(now, from, s.Data)
					}
				}
			}
			want := map[Key]uint64{keys[0]: 4, keys[1]: 2}[key]
			if got := receiver.owned[key.hash()].Served; got != want {
				t.Errorf("seed %d: %v: %d requests summed, want %d", seed, key, got, want)
			}
		}
	}
}
