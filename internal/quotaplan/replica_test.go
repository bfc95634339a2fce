package quotaplan

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"winghatch/decide"
)

// Replicas that do not converge would keep members on different plans at different gateways permanently. The
// test runs random changes, lost messages, partitions and restarts with and without the disk. Once all
// gateways can reach each other, all replicas must be equal, and no acknowledged change may be missing unless
// the disk of its gateway was lost. To show that the simulation can find a difference, the test also plants a
// fault: replicas that never compare their sets.
func TestReplicasConverge(t *testing.T) {
	searchRandomRuns(t, checkConvergence, "replicas that never compare their sets")
}

// searchRandomRuns runs random simulations, and fails if check describes a failure of one. It runs more of them
// with a planted fault, and fails if check finds none.
func searchRandomRuns(t *testing.T, check func(rt *rapid.T, planted bool) string, fault string) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		if s := check(rt, false); s != "" {
			rt.Fatal(s)
		}
	})
	found := false
	rapid.Check(t, func(rt *rapid.T) { found = check(rt, true) != "" || found })
	if !found {
		t.Errorf("the simulation does not find the planted fault: %s", fault)
	}
}

// checkConvergence runs a random simulation. It returns a description of the failure at its end, or an empty
// string.
func checkConvergence(rt *rapid.T, noComparison bool) string {
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
		switch what := rapid.IntRange(0, 9).Draw(rt, "step"); what {
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
					delete(acknowledged, w.disks[i][k].Number) // possibly no other gateway has received it
				}
				w.loseDisk(i)
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
			return fmt.Sprintf("acknowledged change %d is missing", k)
		}
	}
	return ""
}

// drawChange returns a random change without a kind.
func drawChange(rt *rapid.T, w *world, number uint64) Change {
	member := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "member")
	c := Change{Number: number, Member: member}
	c.Plan = rapid.SampledFrom([]string{"small", "wide", "hard"}).Draw(rt, "plan")
	if rapid.IntRange(0, 9).Draw(rt, "reuse number") == 0 {
		c.Number = 1 + number/2 // possibly a number that is already used, also at another gateway
	}
	if rapid.Bool().Draw(rt, "dated") {
		c.From = w.now.Wall + rapid.Int64Range(0, 3*sec).Draw(rt, "from")
	}
	return c
}

// drawKind sets the kind of a change and the fields of that kind. choice, from 0 to 6, selects the kind.
func drawKind(rt *rapid.T, w *world, c *Change, choice int, number uint64) {
	switch choice {
	case 0, 1, 2:
		c.Kind = Move
	case 3:
		c.Kind, c.Terms = Terms, decide.Plan{Rate: 7, Burst: 20}
	case 4, 5:
		c.Kind, c.From = Reserve, max(c.From, w.now.Wall)
		// The window is open until the end of the test: a gateway that first hears of a reservation after
		// its end does not announce it.
		c.To, c.Units = c.From+1000*sec, rapid.Float64Range(10, 20_000).Draw(rt, "units")
	case 6:
		c.Kind = rapid.SampledFrom([]Kind{Cancel, Shorten}).Draw(rt, "kind")
		c.Target = rapid.Uint64Range(1, number).Draw(rt, "target")
	}
}

// Until a change has reached all gateways, some of them still admit requests under the old plan. The test
// measures how long a change takes to reach all gateways of fleets of different sizes while messages are
// lost, and fails after 10 s.
func TestChangeReachesAllGateways(t *testing.T) {
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
				t.Fatalf("%d gateways: %d know the change after 10 s, want all", n, known)
			}
		}
		t.Logf("%d gateways: half know the change after %v, all after %v, %d messages",
			n, half, w.now.Mono-began, w.sent-sent)
	}
}

// A gateway that was partitioned lacks a few of thousands of changes. The number of messages that it needs to
// converge must not grow with the size of the set. The test lets such replicas converge and bounds the
// number.
func TestFewMissingChangesNeedFewMessages(t *testing.T) {
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
		t.Errorf("difference %q after %d messages, want none after at most 200", s, w.sent)
	}
}

// An invalid change that is accepted can put members on plans that do not exist or reserve more than there
// is, at all gateways. The test submits invalid changes. Each must be rejected with an error that names the
// field and the valid values, and must not alter the set.
func TestInvalidChangesAreRejected(t *testing.T) {
	w := newWorld(1, 1)
	now := w.now.Wall
	ok := Change{Number: 5, Kind: Move, Member: "a", Plan: "wide"}
	if err := w.submit(0, ok); err != nil {
		t.Fatal(err)
	}
	reservation := Change{Number: 6, Kind: Reserve, Member: "b", Units: 100,
		From: now + sec, To: now + 11*sec}
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
		{Change{Number: 7, Kind: Move, Member: "a", Plan: "gold"},
			"plan", `"gold", want one of small, wide, hard`},
		{Change{Number: 7, Kind: Move, Member: "z", Plan: "wide"}, "member", `"z"`},
		{Change{Number: 7, Kind: Move, Member: "a", Plan: "wide", From: now - 5*sec},
			"from", "1970-01-01T00:16:35Z"},
		{Change{Number: 7, Kind: Terms, Plan: "wide", Terms: decide.Plan{Rate: 3}}, "burst", "rate 3"},
		{Change{Number: 7, Kind: Terms, Plan: "wide", Terms: decide.Plan{Rate: -3}}, "units", "-3"},
		{Change{Number: 7, Kind: 9}, "kind", "kind 9"},
		{Change{Number: 7, Kind: Cancel, Target: 99}, "target", "99"},
		{Change{Number: 7, Kind: Shorten, Target: 5, Units: 1}, "target", "5 is a move"},
		{Change{Number: 7, Kind: Shorten, Target: 6, Units: 100}, "units", "100, want less than the 100"},
		{reserve("b", 0, 0, 1, 11), "units", "0, want"},
		{reserve("b", 1, 0, 11, 1), "to", "want a time after"},
		// Half of the rate of 100 units per second is 500 units in ten seconds, of which 100 are reserved.
		{reserve("b", 401, 0, 1, 11), "units", "room for 400"},
		{reserve("c", 10, 31, 1, 11), "rate", "room for 30/s"},
		{reserve("c", 10, 1, 1, 11), "rate", "the 8 of the largest"},
		{reserve("c", 120, 10, 1, 11), "rate", "12/s or more"},
		{reserve("b", 100, 800, 1, 11), "units", "room for 490/s"},
	} {
		err := w.submit(0, c.Change)
		if err == nil || err.Field != c.field || !strings.Contains(err.Text, c.says) ||
			err.Number != c.Number {
			t.Errorf("%s: got error %v, want one of field %s with %q", &c.Change, err, c.field, c.says)
		}
	}
	if m, s := w.replicas[0].Digest(); m != n || s != sum {
		t.Error("a rejected change was added to the set")
	}
}

// Two operators may change the same member, or use the same number, at two gateways at once. Gateways that
// decide differently which change counts would keep different plans. The test submits such changes and checks
// that all replicas choose the same one.
func TestConflictingChangesResolveAlike(t *testing.T) {
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
		t.Errorf("a is on %s, want hard: of equal dates, the later stamp is in force", p)
	}
	// The second change of gateway 0 has a higher stamp than its first one, so the change of gateway 2
	// precedes it.
	if p := w.plans[0]["b"].Name; p != "hard" {
		t.Errorf("b is on %s, want hard: of two changes with the same number, the first counts", p)
	}
	void := 0
	for _, e := range w.replicas[1].History("b") {
		if e.Status == Void && strings.Contains(e.Reason, "taken by gateway 2") {
			void++
		}
	}
	if void != 1 {
		t.Errorf("history %+v, want one void change", w.replicas[1].History("b"))
	}
}

// After the wall clock is stepped back, a new change with a lower stamp would precede older changes and be
// superseded by them. The test checks that changes come into force at their dates and can be cancelled, then
// steps the wall clock back and checks that a new change comes into force.
func TestChangesTakeEffectAtTheirDates(t *testing.T) {
	w := newWorld(2, 1)
	now := w.now.Wall
	w.submit(0, Change{Number: 1, Kind: Move, Member: "a", Plan: "wide", From: now + 3*sec})
	w.submit(1, Change{Number: 2, Kind: Terms, Plan: "wide", Terms: decide.Plan{Rate: 50, Burst: 70},
		From: now + 5*sec})
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
	w.now.Wall -= 100 * sec // the wall clock is stepped back
	if err := w.submit(0, Change{Number: 4, Kind: Move, Member: "a", Plan: "hard"}); err != nil {
		t.Fatal(err)
	}
	w.run(2 * time.Second)
	at("hard", 30)
}

// If a reservation did not lower the plan of ordinary requests, the member could use both in full. The test
// checks that a reservation lowers the rate and the ceiling, only within its window, and less after it was
// shortened.
func TestReservationLowersPlan(t *testing.T) {
	w := newWorld(2, 1)
	now := w.now.Wall
	c := Change{Number: 1, Kind: Reserve, Member: "c", Units: 100, Rate: 20,
		From: now + 2*sec, To: now + 12*sec}
	if err := w.submit(0, c); err != nil {
		t.Fatal(err)
	}
	if p := w.plans[1]["c"]; p.Rate != 30 {
		t.Errorf("plan %+v before the window, want a rate of 30", p)
	}
	w.run(3 * time.Second)
	if p := w.plans[1]["c"]; p.Rate != 20 || p.CeilingRate != 40 || p.CeilingBurst != 80 ||
		p.CeilingSlack != 4 {
		t.Errorf("plan %+v in the window, want rates of 30-10 and 60-20, two thirds of 120 and 6", p)
	}
	w.submit(1, Change{Number: 2, Kind: Shorten, Target: 1, Units: 50})
	w.run(time.Second)
	if p := w.plans[0]["c"]; p.Rate != 25 || w.units[0][w.reservationIDs[1]] != 50 {
		t.Errorf("plan %+v and %v units after shortening, want a rate of 25 and 50 units",
			p, w.units[0][w.reservationIDs[1]])
	}
	w.run(10 * time.Second)
	if p := w.plans[0]["c"]; p.Rate != 30 || p.CeilingRate != 60 {
		t.Errorf("plan %+v after the window, want a rate of 30 and a ceiling rate of 60", p)
	}
}

// Gateways of earlier versions accepted reservations each for itself, so two of them that could not reach each
// other may each have accepted one although only one of the two fits. All gateways must treat the first one in
// the order of changes as valid and the other as void, and give the reason in the history.
func TestOverbookedReservationOfEarlierVersionIsVoid(t *testing.T) {
	w := newWorld(4, 1)
	now := w.now.Wall
	c := Change{Number: 1, Kind: Reserve, Member: "b", Units: 400, From: now + 5*sec, To: now + 15*sec}
	for k, rank := range []int{1, 2} {
		c.Number, c.Stamp, c.Origin, c.Incarnation = uint64(k+1), now+int64(k), rank, 1000
		w.handle(rank, MessageReceived{3, append([]byte{messageChanges}, c.Append(nil)...)})
	}
	w.run(3 * time.Second)
	if s := w.difference(); s != "" {
		t.Fatal(s)
	}
	if w.units[3][w.reservationIDs[1]] != 400 || w.units[3][w.reservationIDs[2]] != 0 {
		t.Errorf("reservations of %v units by ID, want the first in full and the second void", w.units[3])
	}
	if h := w.replicas[0].History("b"); h[1].Status != Void ||
		!strings.Contains(h[1].Reason, "room for 100") {
		t.Errorf("history %+v, want the second change void for lack of room", h)
	}
}

// While the disk blocks, submitted changes stay in memory. The test submits more than the limit and checks
// that the excess is rejected.
func TestPendingSubmitsAreBounded(t *testing.T) {
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
		t.Errorf("%d submits rejected, want 10", rejected)
	}
}

// A change that is decoded differently than it was encoded, or accepted although truncated, would corrupt the
// set at other gateways and after a restart. The test decodes encoded changes and all their prefixes.
func TestChangeRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := rapid.Float64Range(0, 1e9)
		c := Change{Number: rapid.Uint64Min(1).Draw(rt, "number"),
			Kind:        Kind(rapid.IntRange(1, 5).Draw(rt, "kind")),
			Member:      rapid.StringN(0, 20, 80).Draw(rt, "member"),
			Plan:        rapid.StringN(0, 20, 80).Draw(rt, "plan"),
			From:        rapid.Int64().Draw(rt, "from"),
			To:          rapid.Int64().Draw(rt, "to"),
			Units:       f.Draw(rt, "units"),
			Rate:        f.Draw(rt, "rate"),
			Target:      rapid.Uint64().Draw(rt, "target"),
			Stamp:       rapid.Int64().Draw(rt, "stamp"),
			Origin:      rapid.IntRange(0, 65535).Draw(rt, "origin"),
			Incarnation: rapid.Uint64().Draw(rt, "incarnation")}
		if c.Kind == Terms {
			c.Terms = decide.Plan{Name: c.Plan, Rate: f.Draw(rt, "terms rate"), Burst: 3,
				MaxInFlight: rapid.IntRange(0, 1e6).Draw(rt, "terms in flight"), PriorityWeight: 2}
		}
		raw := c.Append(nil)
		got, rest, err := ParseChange(append(raw, "more"...))
		if err != nil || got != c || string(rest) != "more" {
			rt.Fatalf("got %+v, error %v, rest %q, want %+v", got, err, rest, c)
		}
		for n := range raw {
			if _, _, err := ParseChange(raw[:n]); err == nil {
				rt.Fatalf("the first %d of %d bytes are accepted as a change", n, len(raw))
			}
		}
	})
}

// FuzzReceive checks that no message makes a replica panic, or send far more bytes than it received.
func FuzzReceive(f *testing.F) {
	c := Change{Number: 1, Kind: Move, Member: "a", Plan: "wide"}
	f.Add(append([]byte{messageChanges}, c.Append(nil)...))
	f.Add(append([]byte{messageRanges}, make([]byte, rangeBytes)...))
	f.Add(append([]byte{messageHashes}, make([]byte, 24)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		replica := New(settings(0, 3))
		replica.Handle(Instant{0, sec}, Start{})
		sent := 0
		for _, a := range replica.Handle(Instant{1, sec}, MessageReceived{1, data}) {
			if s, ok := a.(Send); ok {
				sent += len(s.Data)
			}
		}
		if sent > 20*len(data)+5000 {
			t.Errorf("a message of %d bytes makes the replica send %d bytes", len(data), sent)
		}
	})
}
