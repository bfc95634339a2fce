package reservation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"winghatch/internal/quotaplan"
)

// Tokens that exist twice let a member use more than it reserved, which nobody notices until it is billed.
// TestConserved kills gateways with and without their disks, stalls, partitions and drains them while they
// spend: no more units may be used than were reserved, those that are returned included. A disk that loses
// what it confirmed, and tokens that are minted twice, must be found.
func TestConserved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if s := playConserved(rt, false, false); s != "" {
			rt.Fatal(s)
		}
	})
	for name, fault := range map[string][2]bool{
		"a disk that keeps nothing": {true, false},
		"tokens made twice":         {false, true},
	} {
		found := 0
		rapid.Check(t, func(rt *rapid.T) {
			if playConserved(rt, fault[0], fault[1]) != "" {
				found++
			}
		})
		if found == 0 {
			t.Errorf("the model does not find %s", name)
		}
	}
}

// playConserved plays a history and says what is wrong, or nothing.
func playConserved(rt *rapid.T, badDisk, mintTwice bool) string {
	n := rapid.IntRange(1, 6).Draw(rt, "gateways")
	w := newWorld(n, rapid.Int64().Draw(rt, "seed"), quotaplan.Reservation{Units: 200})
	w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "loss")
	w.badDisk, w.mintTwice = badDisk, mintTwice
	for range rapid.IntRange(2, 20).Draw(rt, "steps") {
		stepConserved(rt, w)
		if w.used > w.reservation.Units+1e-6 {
			return fmt.Sprintf("%v units used of %v", w.used, w.reservation.Units)
		}
	}
	clear(w.partition)
	for i := range n {
		w.stalled[i] = false
		if w.down[i] {
			w.start(i)
		}
	}
	w.load(2*time.Second, 300, 3, func() int { return w.rng.Intn(n) })
	w.now.Wall = w.reservation.To - sec/2
	w.run(2 * time.Second)
	if w.used+w.returned > w.reservation.Units+1e-6 {
		return fmt.Sprintf("%v units used and %v returned of %v", w.used, w.returned, w.reservation.Units)
	}
	return ""
}

// stepConserved draws one fault or some load.
func stepConserved(rt *rapid.T, w *world) {
	i := rapid.IntRange(0, w.n-1).Draw(rt, "gateway")
	one := rapid.Bool().Draw(rt, "at one")
	pick := func() int {
		if one {
			return i
		}
		return w.rng.Intn(w.n)
	}
	switch rapid.IntRange(0, 8).Draw(rt, "what") {
	case 0:
		w.kill(i, true)
	case 1:
		w.kill(i, rapid.IntRange(0, 3).Draw(rt, "disk") > 0)
	case 2:
		w.stalled[i] = !w.stalled[i]
	case 3:
		for k := range w.partition {
			w.partition[k] = rapid.IntRange(0, 1).Draw(rt, "side")
		}
	case 4:
		if !w.down[i] && !w.stalled[i] {
			w.handle(i, Drain{})
			w.run(100 * time.Millisecond)
			w.kill(i, true)
		}
	case 5:
		if w.down[i] {
			w.start(i)
		}
	default:
		d := time.Duration(rapid.IntRange(20, 1500).Draw(rt, "ms")) * time.Millisecond
		rate := rapid.Float64Range(10, 400).Draw(rt, "rate")
		units := rapid.Float64Range(0.5, 8).Draw(rt, "units")
		w.load(d, rate, units, pick)
	}
}

// shareCase is how a reservation is used in TestShare, and what fails meanwhile.
type shareCase struct {
	name  string
	least float64 // share of the reservation that must be usable
	pick  func(w *world) func() int
	fault func(w *world)
}

func shareCases(n int) []shareCase {
	evenPart := 1 / float64(n)
	const halfSecond = 0.12 // of use, as a share, and a margin
	evenly := func(w *world) func() int { return func() int { return w.rng.Intn(n) } }
	lastOne := func(*world) func() int { return func() int { return n - 1 } }
	butFirst := func(w *world) func() int { return func() int { return 1 + w.rng.Intn(n-1) } }
	moving := func(w *world) func() int {
		return func() int { return int((w.now.Mono-time.Hour)/(700*time.Millisecond)) * 7 % n }
	}
	lastThenSecond := func(w *world) func() int {
		return func() int {
			if w.down[n-1] {
				return 1
			}
			return n - 1
		}
	}
	return []shareCase{
		{"evenly at all", 0.99, evenly, nil},
		{"all at one", 0.99, lastOne, nil},
		{"moving at one stroke", 0.99, moving, nil},
		{"its taker killed", 1 - evenPart - halfSecond, butFirst, func(w *world) { w.kill(0, true) }},
		{"its taker stalled", 0.99, butFirst, func(w *world) {
			w.stalled[0] = true
			w.inTransit = append(w.inTransit, delivery{w.now.Mono + 3*time.Second, 0, 0, nil})
		}},
		{"its taker cut off", 1 - evenPart - halfSecond, butFirst, func(w *world) { w.partition[0] = 1 }},
		{"the one that all calls reach killed, then another", 1 - evenPart - halfSecond, lastThenSecond,
			func(w *world) { w.kill(n-1, true) }},
		{"rolled, each drained", 0.97, evenly, func(w *world) {
			for i := range n {
				w.handle(i, Drain{})
				w.load(60*time.Millisecond, 200, 2, func() int { return (i + 1) % n })
				w.kill(i, true)
				w.start(i)
			}
		}},
	}
}

// A member that reserved units finds a part of them unusable if tokens stay where nobody spends them.
// TestShare measures the part that can be used while nothing fails and under faults, at 3 and at 50 gateways:
// nearly all, but for what a killed gateway held (its even part and half a second's use).
func TestShare(t *testing.T) {
	const units = 2000.0
	for _, n := range []int{3, 50} {
		for _, c := range shareCases(n) {
			w := newWorld(n, 9, quotaplan.Reservation{Units: units})
			w.loss = 0.02
			w.run(1100 * time.Millisecond)
			w.load(4*time.Second, 200, 2, c.pick(w))
			if c.fault != nil {
				c.fault(w)
			}
			w.load(3*time.Second, 200, 2, c.pick(w))
			clear(w.stalled)
			w.load(8*time.Second, 200, 2, c.pick(w))
			share := w.used / units
			t.Logf("%d gateways, %s: %.1f %% used, rejected %v", n, c.name, 100*share, w.rejected)
			if share < c.least || share > 1+1e-9 {
				t.Errorf("%d gateways, %s: %.3f of the reservation was used, want %.3f to 1", n, c.name, share, c.least)
			}
		}
	}
}

// TestCeiling has all gateways together stay under the reservation's rate and burst, also across restarts,
// and nearly reach it.
func TestCeiling(t *testing.T) {
	for _, n := range []int{3, 50} {
		for name, pick := range map[string]func(w *world) func() int{
			"evenly": func(w *world) func() int { return func() int { return w.rng.Intn(n) } },
			"at one": func(*world) func() int { return func() int { return n - 1 } },
		} {
			w := newWorld(n, 3, quotaplan.Reservation{Units: 1e6, Rate: 40, Burst: 60, Ceiling: true})
			w.loss = 0.02
			w.run(time.Second)
			for k := range 6 { // a restart begins without room
				w.load(2*time.Second, 120, 2, pick(w))
				if i := k % n; i != n-1 {
					w.kill(i, true)
					w.start(i)
				}
			}
			over := w.excess(40, 60)
			if bound := 40*roomGrantLifetime.Seconds() + 8; over > bound {
				t.Errorf("%d gateways, %s: %.1f units over rate and burst, want %v at most", n, name, over, bound)
			}
			if w.used < 0.5*40*12 {
				t.Errorf("%d gateways, %s: %.0f units in 12 s at 40/s", n, name, w.used)
			}
			t.Logf("%d gateways, %s: %.0f units in 12 s at 40/s, %.1f over rate and burst", n, name, w.used, over)
		}
	}
}

// TestResize shortens a reservation below its use, and cancels one while requests are in flight.
func TestResize(t *testing.T) {
	w := newWorld(3, 1, quotaplan.Reservation{Units: 300})
	w.run(1100 * time.Millisecond)
	w.load(time.Second, 150, 2, func() int { return 0 })
	before := w.used
	resize := func(units float64) {
		w.units = units
		for i := range w.ledgers {
			w.handle(i, ResizeReservation{w.reservation.ID, units})
		}
	}
	resize(200)
	w.load(5*time.Second, 150, 2, func() int { return w.rng.Intn(3) })
	if w.used < 190 || w.used > 202 {
		t.Errorf("%v used of 300 shortened to 200 at %v", w.used, before)
	}
	resize(50)
	w.load(time.Second, 150, 2, func() int { return w.rng.Intn(3) })
	if w.used > 202 {
		t.Errorf("%v used after it was shortened below its use", w.used)
	}
	if w.returned != 0 {
		t.Errorf("%v returned", w.returned)
	}
	w = newWorld(3, 1, quotaplan.Reservation{Units: 300})
	w.run(1100 * time.Millisecond)
	w.serviceTime = 500 * time.Millisecond
	w.load(300*time.Millisecond, 200, 2, func() int { return w.rng.Intn(3) })
	resize(0)
	w.run(2 * time.Second)
	before = w.used
	w.load(time.Second, 100, 2, func() int { return w.rng.Intn(3) })
	if w.used != before || w.used+w.returned > 300+1e-9 || w.used+w.returned < 299 {
		t.Errorf("cancelled: %v used, then %v, %v returned of 300", before, w.used, w.returned)
	}
}

// TestEnd passes the end of the window with requests in flight: they settle, what is left is returned, and
// later requests are rejected, also after the wall clock was stepped back into the window.
func TestEnd(t *testing.T) {
	w := newWorld(3, 1, quotaplan.Reservation{Units: 300})
	w.run(1100 * time.Millisecond)
	w.serviceTime = 300 * time.Millisecond
	w.load(200*time.Millisecond, 200, 2, func() int { return w.rng.Intn(3) })
	w.now.Wall = w.reservation.To - int64(10*time.Millisecond)
	w.run(time.Second)
	if math.Abs(w.used+w.returned-300) > 1e-6 {
		t.Errorf("%v used and %v returned of 300", w.used, w.returned)
	}
	w.send(1, 1)
	if w.rejected[NoReservation] != 1 {
		t.Errorf("%v", w.rejected)
	}
	w.now.Wall -= 100 * sec // stepped back
	w.send(1, 1)
	if w.rejected[NoReservation] != 2 {
		t.Errorf("%v", w.rejected)
	}
}

// A disk that takes nothing, while peers go on to request tokens, must not fill the memory, and no transfer
// may be sent that a crash would take back. TestDiskBlocked counts what is deferred.
func TestDiskBlocked(t *testing.T) {
	l := New(Settings{Rank: 0, Gateways: 2, MaxRequestUnits: 8, Epoch: 1})
	now := quotaplan.Instant{Mono: time.Hour, Wall: 1000 * sec}
	r := quotaplan.Reservation{ID: 77, Member: "m", Units: 1e6, From: 1000 * sec, To: 2000 * sec, Spread: 2,
		AcceptedHere: true}
	l.Handle(now, AddReservation{Reservation: r})
	for i := range 3 * maxDeferred {
		now.Mono += time.Millisecond
		for _, a := range l.Handle(now, MessageReceived{1, requestMessage{77, uint64(i), 5, 1, 0}.encode()}) {
			if _, ok := a.(Send); ok {
				t.Fatal("a transfer that is not persisted is sent")
			}
		}
	}
	if len(l.deferred) > maxDeferred {
		t.Errorf("%d effects are deferred, want %d at most", len(l.deferred), maxDeferred)
	}
}

func FuzzReceive(f *testing.F) {
	f.Add(requestMessage{77, 1, 2, 5, 5}.encode(), 1)
	f.Add(append([]byte{messageTransfer}, make([]byte, 72)...), 2)
	f.Add(append([]byte{messageAcknowledgement}, make([]byte, 32)...), 0)
	f.Fuzz(func(t *testing.T, data []byte, from int) {
		w := newWorld(3, 1, quotaplan.Reservation{Units: 30})
		w.handle(0, MessageReceived{from, data})
		w.run(50 * time.Millisecond)
		for _, s := range w.ledgers[0].States() {
			if err := w.ledgers[1].Restore(s); err != nil {
				t.Error(err)
			}
		}
		for n := range data {
			w.ledgers[2].Restore(data[:n])
		}
	})
}
