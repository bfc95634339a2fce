package reservation

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"winghatch/internal/quotaplan"
	"winghatch/internal/testbed/storeddata"
)

// describe writes an action in a form that does not depend on the names in the code.
func describe(a Action) string {
	switch a := a.(type) {
	case Admit:
		return "admit " + a.ID
	case Reject:
		return fmt.Sprintf("reject %s %s", a.ID, a.Reason)
	case Persist:
		return fmt.Sprintf("persist %d %x", a.Number, a.State)
	case Send:
		return fmt.Sprintf("send %d %x", a.To, a.Data)
	case ReturnUnits:
		return fmt.Sprintf("return %s %v", a.Member, a.Units)
	case ScheduleTick:
		return fmt.Sprintf("tick %d %d", a.At.Mono, a.At.Wall)
	}
	return fmt.Sprintf("%T", a)
}

// parseEvent is the event of a line of testdata/messages.txt, by the word that it begins with.
func parseEvent(t *testing.T, line string) Event {
	t.Helper()
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "reservation":
		r := quotaplan.Reservation{ID: 77, Number: 3, Member: "escuela", Units: 120, From: 1000 * sec, To: 2000 * sec,
			Rate: 40, Burst: 60, Ceiling: true, First: 1, Spread: 3, AcceptedHere: true}
		return AddReservation{r, []CeilingShare{{0, 0.25}, {1, 0.25}, {2, 0.5}}}
	case "persisted":
		var e Persisted
		scanLine(t, rest, "%d", &e.Number)
		return e
	case "received":
		var e MessageReceived
		scanLine(t, rest, "%d %x", &e.From, &e.Data)
		return e
	case "request":
		e := Request{Member: "escuela"}
		scanLine(t, rest, "%s %g %d", &e.ID, &e.Units, &e.Deadline)
		return e
	case "ended":
		var e RequestEnded
		scanLine(t, rest, "%s %g", &e.ID, &e.Used)
		return e
	case "time":
		return Tick{}
	case "resize":
		e := ResizeReservation{ID: 77}
		scanLine(t, rest, "%g", &e.Units)
		return e
	case "drain":
		return Drain{}
	}
	return nil
}

func scanLine(t *testing.T, line, format string, to ...any) {
	t.Helper()
	if _, err := fmt.Sscanf(line, format, to...); err != nil {
		t.Fatalf("%q: %v", line, err)
	}
}

// The log keeps states of reservations that an earlier version of the program wrote, with the tokens that a
// gateway holds, has sent and has received. A state that is misread makes tokens a second time or loses them.
// Each stored one is read, written again to the same bytes and has the units free that are noted with it.
func TestStoredStates(t *testing.T) {
	for i, line := range storeddata.ReadLines(t, "testdata/states.txt") {
		var id uint64
		var free float64
		var raw []byte
		scanLine(t, line, "%d %g %x", &id, &free, &raw)
		l := New(Settings{Rank: 0, Gateways: 4, MaxRequestUnits: 8, Epoch: 99})
		if err := l.Restore(raw); err != nil {
			t.Fatal(err)
		}
		if states := l.States(); len(states) != 1 || !slices.Equal(states[0], raw) {
			t.Errorf("state %d is written as %x, stored is %x", i, states, raw)
		}
		// Before its window nothing is drawn, so all that it holds is free.
		now := quotaplan.Instant{Mono: time.Hour, Wall: 1000 * sec}
		r := quotaplan.Reservation{ID: id, Member: "m", Units: 1000, From: 2000 * sec, To: 3000 * sec}
		l.Handle(now, AddReservation{Reservation: r})
		if v := l.Views(); !v[0].Ended && v[0].Free != free {
			t.Errorf("state %d: %v units are free, stored are %v", i, v[0].Free, free)
		}
	}
}

// During a roll-out gateways of two versions move tokens between them: a message that is misread or misnamed
// loses tokens or makes them twice. The stored conversation has a message of each kind that an earlier
// version received, and what it did at each event: the same bytes must be sent and persisted.
func TestStoredMessages(t *testing.T) {
	l := New(Settings{Rank: 0, Gateways: 3, MaxRequestUnits: 8, Epoch: 5, Seed: 1})
	lines := storeddata.ReadLines(t, "testdata/messages.txt")
	now := quotaplan.Instant{}
	for i := 0; i < len(lines); {
		scanLine(t, lines[i], "at %d %d", &now.Mono, &now.Wall)
		event := lines[i+1]
		var want, got []string
		for i += 2; i < len(lines) && !strings.HasPrefix(lines[i], "at "); i++ {
			want = append(want, lines[i])
		}
		for _, a := range l.Handle(now, parseEvent(t, event)) {
			got = append(got, describe(a))
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s:\n%s\nwant\n%s", event, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}

// transcript plays a random history of a small fleet and returns how many actions its gateways took and a
// hash of them.
func transcript(seed int64) (actions int, hash uint64) {
	rng := rand.New(rand.NewSource(seed))
	n := 1 + int(seed)%6
	res := quotaplan.Reservation{Units: 800}
	if seed%2 == 1 {
		res.Ceiling, res.Rate, res.Burst = true, 40, 60
	}
	if seed >= 20 {
		n = 12
	}
	d := xxhash.New()
	w := newWorld(n, seed, res)
	w.record = func(gateway int, a Action) {
		actions++
		fmt.Fprintf(d, "%d %s\n", gateway, describe(a))
	}
	w.run(1100 * time.Millisecond)
	w.loss = []float64{0, 0.1, 0.4}[rng.Intn(3)]
	for range 40 {
		randomStep(rng, w)
	}
	for k := range w.ledgers {
		w.stalled[k] = false
	}
	w.now.Wall = w.reservation.To - sec/2
	w.run(2 * time.Second)
	return actions, d.Sum64()
}

// randomStep draws one fault or some load.
func randomStep(rng *rand.Rand, w *world) {
	i := rng.Intn(w.n)
	if w.down[i] {
		w.start(i)
	}
	switch rng.Intn(10) {
	case 0:
		w.kill(i, rng.Intn(3) > 0)
	case 1:
		w.stalled[i] = !w.stalled[i]
	case 2:
		for k := range w.partition {
			w.partition[k] = rng.Intn(2)
		}
	case 3:
		if !w.down[i] && !w.stalled[i] {
			w.handle(i, Drain{})
			w.run(100 * time.Millisecond)
			w.kill(i, true)
		}
	case 4:
		w.units = min(w.units, w.reservation.Units*(0.7+0.3*rng.Float64()))
		for k := range w.ledgers {
			if !w.down[k] {
				w.handle(k, ResizeReservation{w.reservation.ID, w.units})
			}
		}
	default:
		one := rng.Intn(2) == 0
		w.load(time.Duration(20+rng.Intn(600))*time.Millisecond, 10+100*rng.Float64(), 0.5+7*rng.Float64(), func() int {
			if one {
				return i
			}
			return w.rng.Intn(w.n)
		})
	}
}

// A change of any decision (order, arithmetic, a draw of a random number) shows as another transcript of the
// random histories: the stored ones are of the version whose data is beside them.
func TestStoredTranscripts(t *testing.T) {
	storeddata.CheckTranscripts(t, "testdata/transcripts.txt", transcript)
}
