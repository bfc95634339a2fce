package aggregate

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world is some summers on a network that loses, delays, doubles and splits.
type world struct {
	xs     []*Aggregator
	rng    *rand.Rand
	now    time.Duration
	due    []letter
	loss   float64
	twice  float64
	side   []int
	life   uint64
	names  []Key
	truth  map[Key]Totals
	sent   int
	bytes  int
	record func(from, to int, data []byte) // sees every message, if set
}

type letter struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newWorld(n, members int, seed int64) *world {
	w := &world{xs: make([]*Aggregator, n), rng: rand.New(rand.NewSource(seed)), now: time.Hour, side: make([]int, n), truth: map[Key]Totals{}}
	w.names = []Key{{true, "look"}, {true, "submit"}}
	for i := range members {
		w.names = append(w.names, Key{false, fmt.Sprint("m", i)})
	}
	for i := range w.xs {
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	w.life++
	w.xs[i] = New(Settings{Rank: i, Gateways: len(w.xs), Keys: w.names, Incarnation: w.life, GossipCapacity: 40, Seed: int64(w.life)})
	w.xs[i].Tick(w.now)
}

func (w *world) add(i int, n Key, t Totals) {
	w.xs[i].Add(w.now, n, t)
	x := w.truth[n]
	x.add(t)
	w.truth[n] = x
}

func (w *world) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.now + d; w.now < end; {
		w.now += step
		var rest []letter
		for _, l := range w.due {
			switch {
			case l.at > w.now:
				rest = append(rest, l)
			case w.side[l.from] == w.side[l.to]:
				w.xs[l.to].Receive(w.now, l.from, l.data)
			}
		}
		w.due = rest
		for i, x := range w.xs {
			if x.NextTick() > w.now {
				continue
			}
			for _, s := range x.Tick(w.now) {
				if w.record != nil {
					w.record(i, s.To, s.Data)
				}
				w.sent++
				w.bytes += len(s.Data)
				for n := 1; n <= 2; n++ {
					if n == 2 && w.rng.Float64() >= w.twice || w.rng.Float64() < w.loss {
						continue
					}
					w.due = append(w.due, letter{w.now + time.Duration(w.rng.Intn(3000))*time.Millisecond, i, s.To, s.Data})
				}
			}
		}
	}
}

// sums are by name what each home has; -1 where it has nothing.
func (w *world) sums(n Key, first bool) (t Totals) {
	for _, x := range w.xs {
		for _, s := range x.FleetTotals() {
			if s.Key == n && s.Primary == first {
				t = s.Totals
			}
		}
	}
	return t
}

// TestModel is a model check: with words lost, late and doubled, splits, and gateways restarted that sum nothing, both homes of each
// name have the truth in the end; no sum is ever above it, or falls.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(rt, "gateways")
		w := newWorld(n, 5, rapid.Int64().Draw(rt, "seed"))
		w.loss, w.twice = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "loss"), rapid.SampledFrom([]float64{0, 0.5}).Draw(rt, "twice")
		last := map[string]Totals{}
		restarted := map[int]bool{}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			i := rapid.IntRange(0, n-1).Draw(rt, "gateway")
			switch rapid.IntRange(0, 6).Draw(rt, "what") {
			case 0:
				for k := range w.side {
					w.side[k] = rapid.IntRange(0, 1).Draw(rt, "side")
				}
			case 1:
				// What was counted and not told is gone with a life: it is told before, as at a drain.
				clear(w.side)
				loss := w.loss
				w.loss = 0
				w.run(60 * time.Second)
				w.loss = loss
				w.start(i)
				restarted[i] = true
			default:
				name := rapid.SampledFrom(w.names).Draw(rt, "name")
				w.add(i, name, Totals{Served: 1, Rejected: uint64(rapid.IntRange(0, 3).Draw(rt, "refused")), Units: 1.5})
				w.run(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond)
			}
			for _, name := range w.names {
				for _, first := range []bool{true, false} {
					h := w.xs[0].owner(name.hash(), map[bool]int{true: 0, false: 1}[first])
					s := w.sums(name, first)
					k := fmt.Sprint(name, first, w.xs[h].settings.Incarnation)
					if s.less(last[k]) || w.truth[name].less(s) {
						rt.Fatalf("%v at its home %d: %+v after %+v, the truth is %+v", name, h, s, last[k], w.truth[name])
					}
					last[k] = s
				}
			}
		}
		clear(w.side)
		w.loss = 0
		w.run(2 * time.Minute)
		for _, name := range w.names {
			for i, first := range []bool{true, false} {
				if h := w.xs[0].owner(name.hash(), i); !restarted[h] && w.sums(name, first) != w.truth[name] {
					rt.Fatalf("%v at its home %d: %+v, the truth is %+v", name, h, w.sums(name, first), w.truth[name])
				}
			}
		}
	})
}

// TestHomeRestarts takes away a first home that sums: the second one has the truth all along, and the new first one counts from
// its begin on, nothing twice.
func TestHomeRestarts(t *testing.T) {
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
	home := w.xs[0].owner(m.hash(), 0)
	before := w.truth[m]
	told := w.sums(m, true)
	if told != before {
		t.Fatalf("%+v, want %+v", told, before)
	}
	w.start(home)
	w.run(30 * time.Second)
	if s := w.sums(m, true); s != (Totals{}) {
		t.Errorf("a new home begins with %+v of what was summed before", s)
	}
	feed()
	if s := w.sums(m, false); s != w.truth[m] {
		t.Errorf("the second home has %+v, want %+v", s, w.truth[m])
	}
	if s := w.sums(m, true); s != w.truth[m].minus(before) {
		t.Errorf("the new home has %+v, want %+v", s, w.truth[m].minus(before))
	}
}

// TestLoad measures messages and bytes a second, over gateways and members.
func TestLoad(t *testing.T) {
	for _, n := range []int{3, 50, 500} {
		for _, members := range []int{100, 1000} {
			if n == 500 && members == 1000 {
				continue
			}
			w := newWorld(n, members, 1)
			secs := 2 * w.xs[0].ReportInterval().Seconds()
			for range 20 {
				for i := range n { // each is used by 40 members over the time
					w.add(i, w.names[w.rng.Intn(2)], Totals{Served: 1, Units: 1})
					w.add(i, w.names[2+(i*37+w.rng.Intn(40))%members], Totals{Served: 1, Units: 1})
				}
				w.run(time.Duration(secs / 20 * float64(time.Second)))
			}
			per := float64(w.sent) / secs / float64(n)
			if per > 0.25*40+1 {
				t.Errorf("%d gateways, %d members: each is sent %.1f messages a second, the intake is 40", n, members, per)
			}
			t.Logf("%d gateways, %d members: beat %v, to each gateway %.2f messages and %.0f bytes a second", n, members, w.xs[0].ReportInterval(), per,
				float64(w.bytes)/secs/float64(n))
		}
	}
}

func FuzzHeard(f *testing.F) {
	f.Add(make([]byte, 60), 1)
	f.Fuzz(func(t *testing.T, b []byte, from int) {
		w := newWorld(3, 2, 1)
		w.xs[0].Receive(w.now, from, b)
	})
}

// A gateway that began a moment before its home and had nothing to tell at its first beat: what it counted later, also of a name
// that it told of last, was taken for the past of a former life and left out for good.
func TestCountsBehindAnEmptyFirstBeatAreSummed(t *testing.T) {
	names := []Key{{true, "look"}, {false, "m"}}
	for seed := range int64(20) {
		for _, n := range names {
			home := New(Settings{Gateways: 3, Keys: names, Incarnation: 1, Seed: seed}).owner(n.hash(), 0)
			from := (home + 1) % 3
			sender := New(Settings{Rank: from, Gateways: 3, Keys: names, Incarnation: 7, Seed: seed})
			sender.Tick(time.Hour) // it begins
			x := New(Settings{Rank: home, Gateways: 3, Keys: names, Incarnation: 8, Seed: seed})
			now := time.Hour + time.Millisecond
			x.Tick(now)
			for beat := range 6 {
				if beat >= 2 {
					sender.Add(now, names[0], Totals{Served: 1})
				}
				if beat >= 4 {
					sender.Add(now, names[1], Totals{Served: 1})
				}
				now += 2 * sender.ReportInterval()
				for _, s := range sender.Tick(now) {
					if s.To == home {
						x.Receive(now, from, s.Data)
					}
				}
			}
			want := map[Key]uint64{names[0]: 4, names[1]: 2}[n]
			if got := x.owned[n.hash()].Served; got != want {
				t.Errorf("seed %d: %v: %d calls summed, want %d", seed, n, got, want)
			}
		}
	}
}
