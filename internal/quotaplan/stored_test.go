package quotaplan

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"winghatch/decide"
	"winghatch/internal/testbed/storeddata"
)

// describe returns the stored form of an action, which does not depend on names in the code.
func describe(a Action) string {
	switch a := a.(type) {
	case Persist:
		return fmt.Sprintf("persist %t %x", a.Own, a.Change.Append(nil))
	case Reply:
		text := ""
		if a.Err != nil {
			text = a.Err.Error()
		}
		return fmt.Sprintf("reply %d %x %s", a.Token, a.Change.Append(nil), text)
	case Send:
		return fmt.Sprintf("send %d %x", a.To, a.Data)
	case ApplyPlan:
		p := a.Plan
		return fmt.Sprintf("plan %s %s %v %v %v %v %v %d %v %v %v by %d",
			a.Member, p.Name, p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst, p.CeilingSlack,
			p.MaxInFlight, p.PriorityWeight, p.OverQuotaValue, p.OverQuotaCost, a.Change)
	case AddReservation:
		r := a.Reservation
		return fmt.Sprintf("reservation %x %d %s %v %d %d %v %v %t %d %d %t",
			r.ID, r.Number, r.Member, r.Units, r.From, r.To, r.Rate, r.Burst, r.Ceiling,
			r.First, r.Spread, r.AcceptedHere)
	case ResizeReservation:
		return fmt.Sprintf("resize %x %v", a.ID, a.Units)
	case ScheduleTick:
		return fmt.Sprintf("tick %d %d", a.At.Mono, a.At.Wall)
	case LogWarning:
		return "log " + a.Text
	}
	return fmt.Sprintf("%T", a)
}

// storedChanges returns the changes whose bytes are in testdata/changes.txt, in the order of the file.
func storedChanges() []Change {
	return []Change{
		{Number: 1, Kind: Move, Member: "escuela", Plan: "wide", From: 1_500_000_000,
			Stamp: 1_000_000_001, Origin: 0, Incarnation: 11},
		{Number: 2, Kind: Terms, Plan: "hard", From: 1_000_000_002, Stamp: 1_000_000_002, Origin: 2,
			Incarnation: 1 << 60,
			Terms: decide.Plan{Name: "hard", Rate: 30, Burst: 61.5, CeilingRate: 60, CeilingBurst: 120,
				CeilingSlack: 6, MaxInFlight: 9, PriorityWeight: 1.25,
				OverQuotaValue: 0.5, OverQuotaCost: 0.125}},
		{Number: 1 << 50, Kind: Reserve, Member: "c", Units: 100, Rate: 20,
			From: 3_000_000_000, To: 13_000_000_000, Stamp: 1_000_000_003, Origin: 1, Incarnation: 7},
		{Number: 4, Kind: Shorten, Units: 62.5, Target: 1 << 50, Stamp: 1_000_000_004, Origin: 65535,
			Incarnation: 7},
		{Number: 5, Kind: Cancel, Target: 1, Stamp: -5, Origin: 0, Incarnation: 1<<64 - 1},
	}
}

// storedReplica returns a replica in the state in which it received the messages of testdata/messages.txt.
func storedReplica() *Replica {
	r := New(settings(0, 3))
	for i, c := range storedChanges() {
		r.Restore(c, i == 0)
	}
	return r
}

// Logs and peers may contain changes that an earlier version of the program encoded. If a field moved or
// changed its size, a gateway would lose acknowledged changes, and gateways of two versions would compute
// different hashes for the same change. The test decodes stored bytes, compares each field, and encodes the
// changes again.
func TestStoredChanges(t *testing.T) {
	lines := storeddata.ReadLines(t, "testdata/changes.txt")
	want := storedChanges()
	if len(lines) != len(want) {
		t.Fatalf("%d stored changes, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		var id uint64
		var raw []byte
		if _, err := fmt.Sscanf(line, "%x %x", &id, &raw); err != nil {
			t.Fatal(err)
		}
		got, rest, err := ParseChange(raw)
		if err != nil || got != want[i] || len(rest) != 0 {
			t.Errorf("decoded %+v, %d bytes left, error %v, want %+v", got, len(rest), err, want[i])
		}
		if again := want[i].Append(nil); !slices.Equal(again, raw) {
			t.Errorf("change %d is encoded as %x, want the stored %x", want[i].Number, again, raw)
		}
		if want[i].hash() != id {
			t.Errorf("change %d has the hash %x, want the stored %x", want[i].Number, want[i].hash(), id)
		}
	}
}

// During a rollout, gateways of two versions compare their sets of changes. If they read messages
// differently, their replicas do not converge. The stored conversation contains messages of each kind that an
// earlier version received, and its actions. The same bytes must be sent and persisted.
func TestStoredMessages(t *testing.T) {
	replica := storedReplica()
	at := Instant{Mono: time.Second, Wall: 2_000_000_000}
	lines := storeddata.ReadLines(t, "testdata/messages.txt")
	for i := 0; i < len(lines); {
		var from int
		var data []byte
		if _, err := fmt.Sscanf(lines[i], "received %d %x", &from, &data); err != nil {
			t.Fatalf("%q: %v", lines[i], err)
		}
		received := lines[i]
		var want, got []string
		for i++; i < len(lines) && !strings.HasPrefix(lines[i], "received "); i++ {
			want = append(want, lines[i])
		}
		for _, a := range replica.Handle(at, MessageReceived{from, data}) {
			got = append(got, describe(a))
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s:\n%s\nwant\n%s", received, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
		at.Mono += time.Millisecond
	}
}

// transcript runs a random simulation of a small fleet and returns the number of actions of its gateways and
// a hash of them.
func transcript(seed int64) (actions int, hash uint64) {
	rng := rand.New(rand.NewSource(seed))
	n := 1 + int(seed)%6
	d := xxhash.New()
	w := newWorld(n, seed)
	w.loss = []float64{0, 0.1, 0.4}[rng.Intn(3)]
	w.record = func(gateway int, a Action) {
		actions++
		fmt.Fprintf(d, "%d %s\n", gateway, describe(a))
	}
	process, number := uint64(1), uint64(0)
	for range 120 {
		i := rng.Intn(n)
		number++
		c := Change{Number: number, Member: []string{"a", "b", "c"}[rng.Intn(3)]}
		c.Plan = []string{"small", "wide", "hard"}[rng.Intn(3)]
		if rng.Intn(10) == 0 {
			c.Number = 1 + number/2
		}
		if rng.Intn(2) == 0 {
			c.From = w.now.Wall + rng.Int63n(3*sec)
		}
		switch rng.Intn(12) {
		case 0, 1, 2:
			c.Kind = Move
		case 3:
			c.Kind, c.Terms = Terms, decide.Plan{Rate: 7, Burst: 20,
				CeilingRate: float64(10 * rng.Intn(2)), CeilingBurst: 0}
			if c.Terms.CeilingRate > 0 {
				c.Terms.CeilingBurst = 40
			}
		case 4, 5:
			c.Kind, c.From = Reserve, max(c.From, w.now.Wall)
			c.To, c.Units, c.Rate = c.From+10*sec, 100*rng.Float64(), float64(rng.Intn(2)*rng.Intn(30))
		case 6:
			c.Kind, c.Units = []Kind{Cancel, Shorten}[rng.Intn(2)], 20*rng.Float64()
			c.Target = 1 + uint64(rng.Int63n(int64(number)))
		case 7:
			for k := range w.partition {
				w.partition[k] = rng.Intn(2)
			}
			continue
		case 8:
			process++
			if rng.Intn(2) == 0 {
				w.loseDisk(i)
			}
			w.start(i, process)
			continue
		case 9:
			w.now.Wall += rng.Int63n(6*sec) - 3*sec
			continue
		default:
			w.run(time.Duration(1+rng.Intn(2000)) * time.Millisecond)
			continue
		}
		w.submit(i, c)
	}
	return actions, d.Sum64()
}

// A code change that is not meant to alter decisions may do so unnoticed, for example by another order of
// steps, different arithmetic or one more random number. The test repeats random simulations and compares
// their transcripts with stored ones, which the version produced in which one gateway began to accept the
// reservations of the fleet.
func TestStoredTranscripts(t *testing.T) {
	storeddata.CheckTranscripts(t, "testdata/transcripts.txt", transcript)
}
