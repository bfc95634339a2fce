package quotaplan

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"winghatch/decide"
)

// Replicas that never agree again would keep members on different plans at different gateways, for good. TestModel
// plays random histories of changes, lost messages, partitions and restarts with and without a disk: once the gateways
// reach each other all replicas are equal, and no acknowledged change is gone unless the disk of its gateway is.
// Without comparisons it must find a difference.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if s := playModel(rt, false); s != "" {
			rt.Fatal(s)
		}
	})
	found := false
	rapid.Check(t, func(rt *rapid.T) { found = playModel(rt, true) != "" || found })
	if !found {
		t.Error("the model does not find replicas that never compare")
	}
}

// playModel plays a history and says what is wrong at its end, or nothing.
func playModel(rt *rapid.T, noComparison bool) string {
	n := rapid.IntRange(2, 7).Draw(rt, "gateways")
	w := newWorld(n, rapid.Int64().Draw(rt, "seed"))
	w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(rt, "loss")
	w.noComparison = noComparison
	acknowledged := map[uint64]bool{}
	number, process := uint64(0), uint64(1)
	for range rapid.IntRange(1, 25).Draw(rt, "steps") {
		i := rapid.IntRange(0, n-1).Draw(rt, "gateway")
		number++
		c := drawChange(rt, w, number)
		switch what := rapid.IntRange(0, 9).Draw(rt, "what"); what {
		case 0, 1, 2, 3, 4, 5, 6:
			drawKind(rt, w, &c, what, number)
			if err := w.submit(i, c); err == nil {
				acknowledged[c.Number] = true
			}
		case 7:
			for k := range w.partition {
				w.partition[k] = rapid.IntRange(0, 1).Draw(rt, "side")
			}
		case 8:
			process++
			if rapid.Bool().Draw(rt, "empty disk") {
				for k := range w.disks[i] {
					delete(acknowledged, w.disks[i][k].Number) // no other gateway may have had it
				}
				w.disks[i] = map[uint64]Change{}
			}
			w.start(i, process)
		default:
			w.run(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
		}
	}
	clear(w.partition)
	w.loss = min(w.loss, 0.1)
	w.run(20 * time.Second)
	if s := w.difference(); s != "" {
		return s
	}
	for k := range acknowledged {
		if w.replicas[0].derived.byNumber[k] == nil {
			return fmt.Sprintf("change %d was acknowledged and is gone", k)
		}
	}
	return ""
}

// drawChange draws a change without a kind.
func drawChange(rt *rapid.T, w *world, number uint64) Change {
	member := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "member")
	c := Change{Number: number, Member: member}
	c.Plan = rapid.SampledFrom([]string{"small", "wide", "hard"}).Draw(rt, "plan")
	if rapid.IntRange(0, 9).Draw(rt, "again") == 0 {
		c.Number = 1 + number/2 // maybe a number that another gateway has taken
	}
	if rapid.Bool().Draw(rt, "dated") {
		c.From = w.now.Wall + rapid.Int64Range(0, 3*sec).Draw(rt, "from")
	}
	return c
}

// drawKind makes c a change of the kind that what, from 0 to 6, stands for.
func drawKind(rt *rapid.T, w *world, c *Change, what int, number uint64) {
	switch what {
	case 0, 1, 2:
		c.Kind = Move
	case 3:
		c.Kind, c.Terms = Terms, decide.Plan{Rate: 7, Burst: 20}
	case 4, 5:
		c.Kind, c.From = Reserve, max(c.From, w.now.Wall)
		c.To, c.Units = c.From+10*sec, rapid.Float64Range(0.1, 200).Draw(rt, "units")
	case 6:
		c.Kind = rapid.SampledFrom([]Kind{Cancel, Shorten}).Draw(rt, "kind")
		c.Target = rapid.Uint64Range(1, number).Draw(rt, "target")
	}
}

// TestSpread measures how long a change takes to reach all of many gateways while messages are lost.
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
			for i := range w.replicas {
				if w.plans[i]["a"].Name == "wide" {
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

// A gateway that was cut off lacks a few changes of thousands. TestGap has it converge in a number of messages that
// does not grow with the set.
func TestGap(t *testing.T) {
	w := newWorld(2, 3)
	w.partition = []int{0, 1}
	for k := range 3000 {
		c := Change{Number: uint64(k + 1), Kind: Move, Member: "a", Plan: "wide", From: 1, Stamp: int64(k)}
		w.replicas[0].add(c)
		if k%300 != 7 {
			w.replicas[1].add(c)
		}
	}
	w.run(time.Second)
	w.partition, w.sent = []int{0, 0}, 0
	w.run(5 * time.Second)
	if s := w.difference(); s != "" || w.sent > 200 {
		t.Errorf("%s; %d messages", s, w.sent)
	}
}

// TestRejected submits invalid changes: each is rejected with its field and what is valid, and changes nothing.
func TestRejected(t *testing.T) {
	w := newWorld(1, 1)
	now := w.now.Wall
	ok := Change{Number: 5, Kind: Move, Member: "a", Plan: "wide"}
	if err := w.submit(0, ok); err != nil {
		t.Fatal(err)
	}
	reservation := Change{Number: 6, Kind: Reserve, Member: "b", Units: 100, From: now + sec, To: now + 11*sec}
	if err := w.submit(0, reservation); err != nil {
		t.Fatal(err)
	}
	n, sum := w.replicas[0].Digest()
	reserve := func(member string, units, rate float64, from, to int64) Change {
		return Change{Number: 7, Kind: Reserve, Member: member, Units: units, Rate: rate,
			From: now + from*sec, To: now + to*sec}
	}
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
		{reserve("b", 0, 0, 1, 11), "units", "0, want"},
		{reserve("b", 1, 0, 11, 1), "to", "want a time after"},
		// Half of 100 units a second for ten seconds is 500, of which 100 are reserved.
		{reserve("b", 401, 0, 1, 11), "units", "room for 400"},
		{reserve("c", 10, 31, 1, 11), "rate", "room for 30/s"},
		{reserve("c", 10, 1, 1, 11), "rate", "the 8 of the largest"},
		{reserve("c", 120, 10, 1, 11), "rate", "12/s or more"},
		{reserve("b", 100, 800, 1, 11), "units", "room for 490/s"},
	} {
		err := w.submit(0, c.Change)
		if err == nil || err.Field != c.field || !strings.Contains(err.Text, c.says) || err.Number != c.Number {
			t.Errorf("%s: %v, want %s: ... %s", &c.Change, err, c.field, c.says)
		}
	}
	if m, s := w.replicas[0].Digest(); m != n || s != sum {
		t.Error("a rejected change was added")
	}
}

// Two operators change the same member, or use the same number, at two gateways at once. TestOneOrder has all replicas
// decide alike which change counts.
func TestOneOrder(t *testing.T) {
	w := newWorld(3, 1)
	w.submit(0, Change{Number: 1, Kind: Move, Member: "a", Plan: "wide"})
	w.submit(1, Change{Number: 2, Kind: Move, Member: "a", Plan: "hard"})
	w.submit(0, Change{Number: 3, Kind: Move, Member: "b", Plan: "small"})
	w.submit(2, Change{Number: 3, Kind: Move, Member: "b", Plan: "hard"})
	w.run(5 * time.Second)
	if s := w.difference(); s != "" {
		t.Fatal(s)
	}
	if p := w.plans[2]["a"].Name; p != "hard" {
		t.Errorf("a is on %s, want the later stamp of equal dates", p)
	}
	// The stamp of gateway 0's second change is above that of its first, so gateway 2's sorts before it.
	if p := w.plans[0]["b"].Name; p != "hard" {
		t.Errorf("b is on %s, want the first of two with one number", p)
	}
	void := 0
	for _, e := range w.replicas[1].History("b") {
		if e.Status == Void && strings.Contains(e.Reason, "taken by gateway 2") {
			void++
		}
	}
	if void != 1 {
		t.Errorf("%+v", w.replicas[1].History("b"))
	}
}

// TestDates has changes come into force at their dates and cancelled. Then the wall clock is stepped back: a change
// that is accepted after it must not sort before the others and be superseded.
func TestDates(t *testing.T) {
	w := newWorld(2, 1)
	now := w.now.Wall
	w.submit(0, Change{Number: 1, Kind: Move, Member: "a", Plan: "wide", From: now + 3*sec})
	w.submit(1, Change{Number: 2, Kind: Terms, Plan: "wide", Terms: decide.Plan{Rate: 50, Burst: 70}, From: now + 5*sec})
	at := func(want string, rate float64) {
		t.Helper()
		for i := range w.replicas {
			if p := w.plans[i]["a"]; p.Name != want || p.Rate != rate {
				t.Errorf("at %d s gateway %d has a on %s, %v/s; want %s, %v/s",
					(w.now.Wall-now)/sec, i, p.Name, p.Rate, want, rate)
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

// TestReservationLowersPlan has a reservation lower the rate and the ceiling of ordinary requests within its window
// only.
func TestReservationLowersPlan(t *testing.T) {
	w := newWorld(2, 1)
	now := w.now.Wall
	c := Change{Number: 1, Kind: Reserve, Member: "c", Units: 100, Rate: 20, From: now + 2*sec, To: now + 12*sec}
	if err := w.submit(0, c); err != nil {
		t.Fatal(err)
	}
	if p := w.plans[1]["c"]; p.Rate != 30 {
		t.Errorf("%+v before the window", p)
	}
	w.run(3 * time.Second)
	if p := w.plans[1]["c"]; p.Rate != 20 || p.CeilingRate != 40 || p.CeilingBurst != 80 || p.CeilingSlack != 4 {
		t.Errorf("%+v, want 30-10/s under 60-20/s and two thirds of 120 and 6", p)
	}
	w.submit(1, Change{Number: 2, Kind: Shorten, Target: 1, Units: 50})
	w.run(time.Second)
	if p := w.plans[0]["c"]; p.Rate != 25 || w.units[0][w.reservationIDs[1]] != 50 {
		t.Errorf("%+v, %v held after it was shortened", p, w.units[0][w.reservationIDs[1]])
	}
	w.run(10 * time.Second)
	if p := w.plans[0]["c"]; p.Rate != 30 || p.CeilingRate != 60 {
		t.Errorf("%+v after the window", p)
	}
}

// Two halves of a partitioned fleet each accept a reservation, which together exceed what may be reserved.
// TestOverbooked has the first in order count and the other be void at all gateways, with the reason in the history.
func TestOverbooked(t *testing.T) {
	w := newWorld(4, 1)
	w.partition = []int{0, 0, 1, 1}
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
	clear(w.partition)
	w.run(3 * time.Second)
	if s := w.difference(); s != "" {
		t.Fatal(s)
	}
	if w.units[3][w.reservationIDs[1]] != 400 || w.units[3][w.reservationIDs[2]] != 0 {
		t.Errorf("reservations of %v units, want the first whole and the second void", w.units[3])
	}
	if h := w.replicas[0].History("b"); h[1].Status != Void || !strings.Contains(h[1].Reason, "room for 100") {
		t.Errorf("%+v", h)
	}
}

// A disk that takes nothing leaves submitted changes in memory. TestPendingBound bounds their number.
func TestPendingBound(t *testing.T) {
	r := New(settings(0, 1))
	rejected := 0
	for i := range maxPendingSubmits + 10 {
		c := Change{Number: uint64(i + 1), Kind: Move, Member: "a", Plan: "wide"}
		for _, a := range r.Handle(Instant{0, sec}, Submit{uint64(i), c}) {
			if reply, ok := a.(Reply); ok && reply.Err != nil && reply.Err.Field == "log" {
				rejected++
			}
		}
	}
	if rejected != 10 {
		t.Errorf("%d rejected, want 10", rejected)
	}
}

// TestCodec reads what was written, and nothing of what is cut short.
func TestCodec(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := rapid.Float64Range(0, 1e9)
		c := Change{Number: rapid.Uint64Min(1).Draw(rt, "number"), Kind: Kind(rapid.IntRange(1, 5).Draw(rt, "kind")),
			Member: rapid.StringN(0, 20, 80).Draw(rt, "member"), Plan: rapid.StringN(0, 20, 80).Draw(rt, "plan"),
			From: rapid.Int64().Draw(rt, "from"), To: rapid.Int64().Draw(rt, "to"), Units: f.Draw(rt, "units"),
			Rate: f.Draw(rt, "rate"), Target: rapid.Uint64().Draw(rt, "target"), Stamp: rapid.Int64().Draw(rt, "stamp"),
			Origin: rapid.IntRange(0, 65535).Draw(rt, "origin"), Incarnation: rapid.Uint64().Draw(rt, "life")}
		if c.Kind == Terms {
			c.Terms = decide.Plan{Name: c.Plan, Rate: f.Draw(rt, "r"), Burst: 3,
				MaxInFlight: rapid.IntRange(0, 1e6).Draw(rt, "o"), PriorityWeight: 2}
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

func FuzzReceive(f *testing.F) {
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
