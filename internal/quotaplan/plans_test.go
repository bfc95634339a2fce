package quotaplan

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"winghatch/decide"
)

const sec = int64(time.Second)

func settings(rank, n int) Settings {
	return Settings{Rank: rank, Gateways: n, Incarnation: uint64(rank + 1), Seed: int64(rank), Capacity: 1000, MaxRequestUnits: 8,
		Plans: []decide.Plan{{Name: "small", Rate: 3, Burst: 12, PriorityWeight: 1}, {Name: "wide", Rate: 100, Burst: 300, PriorityWeight: 1},
			{Name: "hard", Rate: 30, Burst: 60, CeilingRate: 60, CeilingBurst: 120, CeilingSlack: 6}},
		Members: []Member{{"a", "small", 0, n}, {"b", "wide", 0, n}, {"c", "hard", 0, n}}}
}

// world is a few books on a network that loses, delays and splits.
type world struct {
	books  []*Replica
	disks  []map[uint64]Change // what each has kept, by hash
	own    []map[uint64]bool
	rng    *rand.Rand
	now    Instant
	due    []letter
	loss   float64
	side   []int // gateways of different sides don't hear each other
	stands []map[string]decide.Plan
	held   []map[uint64]float64
	ids    map[uint64]uint64 // of reservations, by number
	reply  []Reply
	sent   int
	deaf   bool                        // planted fault: nothing is compared
	record func(gateway int, a Action) // sees every action, if set
}

type letter struct {
	at       Instant
	from, to int
	data     []byte
}

func newWorld(n int, seed int64) *world {
	w := &world{ids: map[uint64]uint64{}, rng: rand.New(rand.NewSource(seed)), now: Instant{time.Hour, 1000 * sec}, side: make([]int, n),
		books: make([]*Replica, n), disks: make([]map[uint64]Change, n), own: make([]map[uint64]bool, n), stands: make([]map[string]decide.Plan, n),
		held: make([]map[uint64]float64, n)}
	for i := range w.books {
		w.disks[i], w.own[i] = map[uint64]Change{}, map[uint64]bool{}
		w.start(i, 1)
	}
	return w
}

// start begins a life of a gateway by what its disk has.
func (w *world) start(i int, life uint64) {
	s := settings(i, len(w.books))
	s.Incarnation = life*1000 + uint64(i)
	w.books[i] = New(s)
	w.stands[i], w.held[i] = map[string]decide.Plan{}, map[uint64]float64{}
	for _, m := range s.Members {
		w.stands[i][m.Name] = w.books[i].EffectivePlan(m.Name)
	}
	var ns []uint64
	for n := range w.disks[i] {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	for _, n := range ns {
		w.books[i].Restore(w.disks[i][n], w.own[i][n])
	}
	w.handle(i, Start{})
}

func (w *world) handle(i int, ev Event) {
	for _, a := range w.books[i].Handle(w.now, ev) {
		if w.record != nil {
			w.record(i, a)
		}
		switch a := a.(type) {
		case Persist:
			w.disks[i][a.Change.hash()] = a.Change
			w.own[i][a.Change.hash()] = a.Own
			if a.Own {
				w.handle(i, Persisted{a.Change.Number})
			}
		case Send:
			w.sent++
			if len(a.Data) > maxMessageBytes+400 {
				panic(fmt.Sprintf("a message of %d bytes", len(a.Data)))
			}
			if w.deaf && a.Data[0] != messageChanges {
				continue
			}
			if w.rng.Float64() >= w.loss {
				late := time.Duration(1+w.rng.Intn(20)) * time.Millisecond
				w.due = append(w.due, letter{Instant{w.now.Mono + late, w.now.Wall + int64(late)}, i, a.To, a.Data})
			}
		case ApplyPlan:
			w.stands[i][a.Member] = a.Plan
		case AddReservation:
			w.held[i][a.ID] = a.Units
			w.ids[a.Number] = a.ID
		case ResizeReservation:
			w.held[i][a.ID] = a.Units
		case Reply:
			w.reply = append(w.reply, a)
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Mono + d; w.now.Mono < end; {
		w.now.Mono += 5 * time.Millisecond
		w.now.Wall += int64(5 * time.Millisecond)
		var ready, rest []letter
		for _, l := range w.due {
			if l.at.Mono <= w.now.Mono {
				ready = append(ready, l)
			} else {
				rest = append(rest, l)
			}
		}
		w.due = rest
		for _, l := range ready {
			if w.side[l.from] == w.side[l.to] {
				w.handle(l.to, MessageReceived{l.from, l.data})
			}
		}
		for i, b := range w.books {
			if n := b.nextTick(); n.Mono <= w.now.Mono || n.Wall <= w.now.Wall {
				w.handle(i, Tick{})
			}
		}
	}
}

func (w *world) submit(i int, c Change) *Error {
	w.handle(i, Submit{c.Number, c})
	return w.reply[len(w.reply)-1].Err
}

// apart names the first difference between two books.
func (w *world) apart() string {
	n, sum := w.books[0].Digest()
	for i, b := range w.books {
		if m, s := b.Digest(); m != n || s != sum {
			return fmt.Sprintf("gateway %d has %d changes, gateway 0 has %d", i, m, n)
		}
		for m, p := range w.stands[0] {
			if w.stands[i][m] != p {
				return fmt.Sprintf("%s is on %+v at gateway %d and on %+v at 0", m, w.stands[i][m], i, p)
			}
		}
		for r, u := range w.held[0] {
			if w.held[i][r] != u {
				return fmt.Sprintf("reservation %d is of %v at gateway %d and of %v at 0", r, w.held[i][r], i, u)
			}
		}
	}
	return ""
}

// TestModel plays random histories of changes, losses, splits, restarts with and without a disk over many books: once
// they can talk, all hold the same, and no change that was acknowledged is gone while its gateway's disk is there.
func TestModel(t *testing.T) {
	play := func(rt *rapid.T, deaf bool) string {
		n := rapid.IntRange(2, 7).Draw(rt, "gateways")
		w := newWorld(n, rapid.Int64().Draw(rt, "seed"))
		w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(rt, "loss")
		w.deaf = deaf
		acked := map[uint64]bool{}
		number, life := uint64(0), uint64(1)
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			i := rapid.IntRange(0, n-1).Draw(rt, "gateway")
			member := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "member")
			number++
			c := Change{Number: number, Member: member, Plan: rapid.SampledFrom([]string{"small", "wide", "hard"}).Draw(rt, "plan")}
			if rapid.IntRange(0, 9).Draw(rt, "again") == 0 {
				c.Number = 1 + number/2 // maybe a number that another gateway has taken
			}
			if rapid.Bool().Draw(rt, "dated") {
				c.From = w.now.Wall + rapid.Int64Range(0, 3*sec).Draw(rt, "from")
			}
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0, 1, 2:
				c.Kind = Move
			case 3:
				c.Kind, c.Terms = Terms, decide.Plan{Rate: 7, Burst: 20}
			case 4, 5:
				c.Kind, c.From = Reserve, max(c.From, w.now.Wall)
				c.To, c.Units = c.From+10*sec, rapid.Float64Range(0.1, 200).Draw(rt, "units")
			case 6:
				c.Kind, c.Target = rapid.SampledFrom([]Kind{Cancel, Shorten}).Draw(rt, "kind"), rapid.Uint64Range(1, number).Draw(rt, "target")
			case 7:
				for k := range w.side {
					w.side[k] = rapid.IntRange(0, 1).Draw(rt, "side")
				}
				continue
			case 8:
				life++
				if rapid.Bool().Draw(rt, "empty disk") {
					for k := range w.disks[i] {
						delete(acked, w.disks[i][k].Number) // it may have been the only one that knew
					}
					w.disks[i] = map[uint64]Change{}
				}
				w.start(i, life)
				continue
			default:
				w.run(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
				continue
			}
			if err := w.submit(i, c); err == nil {
				acked[c.Number] = true
			}
		}
		clear(w.side)
		w.loss = min(w.loss, 0.1)
		w.run(20 * time.Second)
		if s := w.apart(); s != "" {
			return s
		}
		for k := range acked {
			if w.books[0].byNumber[k] == nil {
				return fmt.Sprintf("change %d was acknowledged and is gone", k)
			}
		}
		return ""
	}
	rapid.Check(t, func(rt *rapid.T) {
		if s := play(rt, false); s != "" {
			rt.Fatal(s)
		}
	})
	found := false
	rapid.Check(t, func(rt *rapid.T) { found = play(rt, true) != "" || found })
	if !found {
		t.Error("the model does not find books that never compare")
	}
}

// TestSpread measures how long a change takes to all of many gateways while messages are lost.
func TestSpread(t *testing.T) {
	for _, n := range []int{3, 50, 200} {
		w := newWorld(n, 1)
		w.loss = 0.05
		w.run(time.Second)
		began, sent := w.now.Mono, w.sent
		if err := w.submit(0, Change{Number: 1, Kind: Move, Member: "a", Plan: "wide"}); err != nil {
			t.Fatal(err)
		}
		half := time.Duration(0)
		for {
			w.run(5 * time.Millisecond)
			known := 0
			for i := range w.books {
				if w.stands[i]["a"].Name == "wide" {
					known++
				}
			}
			if known*2 >= n && half == 0 {
				half = w.now.Mono - began
			}
			if known == n {
				break
			}
			if w.now.Mono-began > 10*time.Second {
				t.Fatalf("%d gateways: %d know it after 10 s", n, known)
			}
		}
		t.Logf("%d gateways: half after %v, all after %v, %d messages", n, half, w.now.Mono-began, w.sent-sent)
	}
}

// TestGap brings books of thousands of changes together of which few differ, in few messages.
func TestGap(t *testing.T) {
	w := newWorld(2, 3)
	w.side = []int{0, 1}
	for k := range 3000 {
		c := Change{Number: uint64(k + 1), Kind: Move, Member: "a", Plan: "wide", From: 1, Stamp: int64(k)}
		w.books[0].add(c)
		if k%300 != 7 {
			w.books[1].add(c)
		}
	}
	w.run(time.Second)
	w.side, w.sent = []int{0, 0}, 0
	w.run(5 * time.Second)
	if s := w.apart(); s != "" || w.sent > 200 {
		t.Errorf("%s; %d messages", s, w.sent)
	}
}

func TestRefused(t *testing.T) {
	w := newWorld(1, 1)
	now := w.now.Wall
	ok := Change{Number: 5, Kind: Move, Member: "a", Plan: "wide"}
	if err := w.submit(0, ok); err != nil {
		t.Fatal(err)
	}
	held := Change{Number: 6, Kind: Reserve, Member: "b", Units: 100, From: now + sec, To: now + 11*sec}
	if err := w.submit(0, held); err != nil {
		t.Fatal(err)
	}
	n, sum := w.books[0].Digest()
	for _, c := range []struct {
		Change
		field, says string
	}{
		{Change{Number: 0, Kind: Move, Member: "a", Plan: "wide"}, "number", "0, want"},
		{ok, "number", "member a to plan wide"},
		{Change{Number: 7, Kind: Move, Member: "a", Plan: "gold"}, "plan", `"gold", want one of small, wide, hard`},
		{Change{Number: 7, Kind: Move, Member: "z", Plan: "wide"}, "member", `"z"`},
		{Change{Number: 7, Kind: Move, Member: "a", Plan: "wide", From: now - 5*sec}, "from", "1970-01-01T00:16:35Z"},
		{Change{Number: 7, Kind: Terms, Plan: "wide", Terms: decide.Plan{Rate: 3}}, "burst", "rate 3"},
		{Change{Number: 7, Kind: Terms, Plan: "wide", Terms: decide.Plan{Rate: -3}}, "units", "-3"},
		{Change{Number: 7, Kind: 9}, "kind", "kind 9"},
		{Change{Number: 7, Kind: Cancel, Target: 99}, "target", "99"},
		{Change{Number: 7, Kind: Shorten, Target: 5, Units: 1}, "target", "5 is a move"},
		{Change{Number: 7, Kind: Shorten, Target: 6, Units: 100}, "units", "100, want less than the 100"},
		{Change{Number: 7, Kind: Reserve, Member: "b", From: now + sec, To: now + 11*sec}, "units", "0, want"},
		{Change{Number: 7, Kind: Reserve, Member: "b", Units: 1, From: now + 11*sec, To: now + sec}, "to", "want a time after"},
		// Half of 100 a second for ten seconds is 500, of which 100 are set aside.
		{Change{Number: 7, Kind: Reserve, Member: "b", Units: 401, From: now + sec, To: now + 11*sec}, "units", "room for 400"},
		{Change{Number: 7, Kind: Reserve, Member: "c", Units: 10, Rate: 31, From: now + sec, To: now + 11*sec}, "rate", "room for 30/s"},
		{Change{Number: 7, Kind: Reserve, Member: "c", Units: 10, Rate: 1, From: now + sec, To: now + 11*sec}, "rate", "the 8 of the largest"},
		{Change{Number: 7, Kind: Reserve, Member: "c", Units: 120, Rate: 10, From: now + sec, To: now + 11*sec}, "rate", "12/s or more"},
		{Change{Number: 7, Kind: Reserve, Member: "b", Units: 100, Rate: 800, From: now + sec, To: now + 11*sec}, "units", "room for 490/s"},
	} {
		err := w.submit(0, c.Change)
		if err == nil || err.Field != c.field || !strings.Contains(err.Text, c.says) || err.Number != c.Number {
			t.Errorf("%s: %v, want %s: ... %s", &c.Change, err, c.field, c.says)
		}
	}
	if m, s := w.books[0].Digest(); m != n || s != sum {
		t.Error("what was refused changed the book")
	}
}

// TestOneOrder hands two changes of one member, and two of one number, to two gateways at once.
func TestOneOrder(t *testing.T) {
	w := newWorld(3, 1)
	w.submit(0, Change{Number: 1, Kind: Move, Member: "a", Plan: "wide"})
	w.submit(1, Change{Number: 2, Kind: Move, Member: "a", Plan: "hard"})
	w.submit(0, Change{Number: 3, Kind: Move, Member: "b", Plan: "small"})
	w.submit(2, Change{Number: 3, Kind: Move, Member: "b", Plan: "hard"})
	w.run(5 * time.Second)
	if s := w.apart(); s != "" {
		t.Fatal(s)
	}
	if p := w.stands[2]["a"].Name; p != "hard" {
		t.Errorf("a is on %s, want the later stamp of equal dates", p)
	}
	// Gateway 0 took its second change a stamp after its first, so gateway 2's comes before it.
	if p := w.stands[0]["b"].Name; p != "hard" {
		t.Errorf("b is on %s, want the first of two with one number", p)
	}
	void := 0
	for _, e := range w.books[1].History("b") {
		if e.Status == Void && strings.Contains(e.Reason, "taken by gateway 2") {
			void++
		}
	}
	if void != 1 {
		t.Errorf("%+v", w.books[1].History("b"))
	}
}

// TestDates brings changes into force by the clock, cancels them, and takes a clock that steps back.
func TestDates(t *testing.T) {
	w := newWorld(2, 1)
	now := w.now.Wall
	w.submit(0, Change{Number: 1, Kind: Move, Member: "a", Plan: "wide", From: now + 3*sec})
	w.submit(1, Change{Number: 2, Kind: Terms, Plan: "wide", Terms: decide.Plan{Rate: 50, Burst: 70}, From: now + 5*sec})
	at := func(want string, rate float64) {
		t.Helper()
		for i := range w.books {
			if p := w.stands[i]["a"]; p.Name != want || p.Rate != rate {
				t.Errorf("at %d s gateway %d has a on %s, %v/s; want %s, %v/s", (w.now.Wall-now)/sec, i, p.Name, p.Rate, want, rate)
			}
		}
	}
	w.run(2 * time.Second)
	at("small", 3)
	w.run(2 * time.Second)
	at("wide", 100)
	w.run(2 * time.Second)
	at("wide", 50)
	w.submit(1, Change{Number: 3, Kind: Cancel, Target: 1})
	w.run(2 * time.Second)
	at("small", 3)
	w.now.Wall -= 100 * sec // the clock steps back
	if err := w.submit(0, Change{Number: 4, Kind: Move, Member: "a", Plan: "hard"}); err != nil {
		t.Fatal(err)
	}
	w.run(2 * time.Second)
	at("hard", 30)
}

// TestSetAside lowers rate and ceiling while a reservation lasts, and by no more than is stated.
func TestSetAside(t *testing.T) {
	w := newWorld(2, 1)
	now := w.now.Wall
	if err := w.submit(0, Change{Number: 1, Kind: Reserve, Member: "c", Units: 100, Rate: 20, From: now + 2*sec, To: now + 12*sec}); err != nil {
		t.Fatal(err)
	}
	if p := w.stands[1]["c"]; p.Rate != 30 {
		t.Errorf("%+v before the window", p)
	}
	w.run(3 * time.Second)
	if p := w.stands[1]["c"]; p.Rate != 20 || p.CeilingRate != 40 || p.CeilingBurst != 80 || p.CeilingSlack != 4 {
		t.Errorf("%+v, want 30-10/s under 60-20/s and two thirds of 120 and 6", p)
	}
	w.submit(1, Change{Number: 2, Kind: Shorten, Target: 1, Units: 50})
	w.run(time.Second)
	if p := w.stands[0]["c"]; p.Rate != 25 || w.held[0][w.ids[1]] != 50 {
		t.Errorf("%+v, %v held after it was shortened", p, w.held[0][w.ids[1]])
	}
	w.run(10 * time.Second)
	if p := w.stands[0]["c"]; p.Rate != 30 || p.CeilingRate != 60 {
		t.Errorf("%+v after the window", p)
	}
}

// TestOverbooked lets two halves of a split fleet each take a reservation that the fleet can't bear with the other's:
// the first in order counts, the other is void everywhere, and said.
func TestOverbooked(t *testing.T) {
	w := newWorld(4, 1)
	w.side = []int{0, 0, 1, 1}
	now := w.now.Wall
	c := Change{Number: 1, Kind: Reserve, Member: "b", Units: 400, From: now + 5*sec, To: now + 15*sec}
	if err := w.submit(0, c); err != nil {
		t.Fatal(err)
	}
	c.Number = 2
	w.run(10 * time.Millisecond)
	if err := w.submit(2, c); err != nil {
		t.Fatal(err)
	}
	w.run(time.Second)
	clear(w.side)
	w.run(3 * time.Second)
	if s := w.apart(); s != "" {
		t.Fatal(s)
	}
	if w.held[3][w.ids[1]] != 400 || w.held[3][w.ids[2]] != 0 {
		t.Errorf("held %v, want 1 whole and 2 void", w.held[3])
	}
	if h := w.books[0].History("b"); h[1].Status != Void || !strings.Contains(h[1].Reason, "room for 100") {
		t.Errorf("%+v", h)
	}
}

// TestPendingBound refuses changes while too many wait for a disk that takes nothing.
func TestPendingBound(t *testing.T) {
	b := New(settings(0, 1))
	refused := 0
	for i := range maxPendingSubmits + 10 {
		for _, a := range b.Handle(Instant{0, sec}, Submit{uint64(i), Change{Number: uint64(i + 1), Kind: Move, Member: "a", Plan: "wide"}}) {
			if r, ok := a.(Reply); ok && r.Err != nil && r.Err.Field == "log" {
				refused++
			}
		}
	}
	if refused != 10 {
		t.Errorf("%d refused, want 10", refused)
	}
}

func TestCodec(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := rapid.Float64Range(0, 1e9)
		c := Change{Number: rapid.Uint64Min(1).Draw(rt, "number"), Kind: Kind(rapid.IntRange(1, 5).Draw(rt, "kind")),
			Member: rapid.StringN(0, 20, 80).Draw(rt, "member"), Plan: rapid.StringN(0, 20, 80).Draw(rt, "plan"),
			From: rapid.Int64().Draw(rt, "from"), To: rapid.Int64().Draw(rt, "to"), Units: f.Draw(rt, "units"),
			Rate: f.Draw(rt, "rate"), Target: rapid.Uint64().Draw(rt, "target"), Stamp: rapid.Int64().Draw(rt, "stamp"),
			Origin: rapid.IntRange(0, 65535).Draw(rt, "origin"), Incarnation: rapid.Uint64().Draw(rt, "life")}
		if c.Kind == Terms {
			c.Terms = decide.Plan{Name: c.Plan, Rate: f.Draw(rt, "r"), Burst: 3, MaxInFlight: rapid.IntRange(0, 1e6).Draw(rt, "o"), PriorityWeight: 2}
		}
		raw := c.Append(nil)
		got, rest, err := ParseChange(append(raw, "more"...))
		if err != nil || got != c || string(rest) != "more" {
			rt.Fatalf("%+v %v %q, want %+v", got, err, rest, c)
		}
		for n := range raw {
			if _, _, err := ParseChange(raw[:n]); err == nil {
				rt.Fatalf("cut at %d of %d it is a change", n, len(raw))
			}
		}
	})
}

func FuzzHeard(f *testing.F) {
	c := Change{Number: 1, Kind: Move, Member: "a", Plan: "wide"}
	f.Add(append([]byte{messageChanges}, c.Append(nil)...))
	f.Add(append([]byte{messageRanges}, make([]byte, rangeBytes)...))
	f.Add(append([]byte{messageHashes}, make([]byte, 24)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := New(settings(0, 3))
		b.Handle(Instant{0, sec}, Start{})
		sent := 0
		for _, a := range b.Handle(Instant{1, sec}, MessageReceived{1, data}) {
			if s, ok := a.(Send); ok {
				sent += len(s.Data)
			}
		}
		if sent > 20*len(data)+5000 {
			t.Errorf("%d bytes bring %d out", len(data), sent)
		}
	})
}
