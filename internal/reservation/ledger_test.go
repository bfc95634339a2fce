package reservation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"winghatch/internal/quotaplan"
)

// A token that exists twice lets a member use more units than it reserved, which goes unnoticed until the
// member is billed. The test kills gateways with and without their disks, and stalls, partitions and drains
// them while they spend tokens. Used and returned units together must not exceed the reservation. To show
// that the simulation can find such faults, the test also plants two of them: a disk that loses writes that
// it confirmed, and tokens that are minted twice.
func TestUnitsAreNeverSpentTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if s := checkConservation(rt, func(*world) {}); s != "" {
			rt.Fatal(s)
		}
	})
	for name, plant := range map[string]func(w *world){
		"disk loses writes":   func(w *world) { w.losesWrites = true },
		"tokens minted twice": func(w *world) { w.mintTwice = true },
	} {
		found := 0
		rapid.Check(t, func(rt *rapid.T) {
			if checkConservation(rt, plant) != "" {
				found++
			}
		})
		if found == 0 {
			t.Errorf("the simulation does not find the planted fault: %s", name)
		}
	}
}

// checkConservation runs a random simulation. It returns a description of the failure, or an empty string.
func checkConservation(rt *rapid.T, plant func(w *world)) string {
	n := rapid.IntRange(1, 6).Draw(rt, "gateways")
	w := newWorld(n, rapid.Int64().Draw(rt, "seed"), quotaplan.Reservation{Units: 200})
	w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "loss")
	plant(w)
	for range rapid.IntRange(2, 20).Draw(rt, "steps") {
		drawStep(rt, w)
		if w.used > w.reservation.Units+1e-6 {
			return fmt.Sprintf("%v units used, want at most %v", w.used, w.reservation.Units)
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
		return fmt.Sprintf("%v units used and %v returned, want at most %v together",
			w.used, w.returned, w.reservation.Units)
	}
	return ""
}

// drawStep performs a random step: a fault, the end of one, or some load.
func drawStep(rt *rapid.T, w *world) {
	i := rapid.IntRange(0, w.n-1).Draw(rt, "gateway")
	one := rapid.Bool().Draw(rt, "at one gateway")
	pick := func() int {
		if one {
			return i
		}
		return w.rng.Intn(w.n)
	}
	switch rapid.IntRange(0, 8).Draw(rt, "step") {
	case 0:
		if rapid.Bool().Draw(rt, "machine crashes") {
			w.crash(i)
		} else {
			w.kill(i, true)
		}
	case 1:
		w.kill(i, rapid.IntRange(0, 3).Draw(rt, "disk survives") > 0)
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

// shareCase describes how a reservation is used in TestReservedUnitsStayUsable, and what fails meanwhile.
type shareCase struct {
	name  string
	least float64                   // fraction of the reservation that must be usable
	pick  func(w *world) func() int // returns a function that selects the gateway of the next request
	fault func(w *world)            // what fails after 4 s of load; nil: nothing
}

// shareCases returns the cases for a fleet of n gateways.
func shareCases(n int) []shareCase {
	evenPart := 1 / float64(n)
	const halfSecond = 0.12 // fraction of the reservation used in half a second, with a margin
	evenly := func(w *world) func() int { return func() int { return w.rng.Intn(n) } }
	lastOne := func(*world) func() int { return func() int { return n - 1 } }
	allButFirst := func(w *world) func() int { return func() int { return 1 + w.rng.Intn(n-1) } }
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
		{"load on all gateways", 0.99, evenly, nil},
		{"load on one gateway", 0.99, lastOne, nil},
		{"load moves between gateways", 0.99, moving, nil},
		{"accepting gateway killed", 1 - evenPart - halfSecond, allButFirst,
			func(w *world) { w.kill(0, true) }},
		{"accepting gateway stalled", 0.99, allButFirst, func(w *world) {
			w.stalled[0] = true
			w.inTransit = append(w.inTransit, delivery{w.now.Mono + 3*time.Second, 0, 0, nil})
		}},
		{"accepting gateway partitioned", 1 - evenPart - halfSecond, allButFirst,
			func(w *world) { w.partition[0] = 1 }},
		{"only loaded gateway killed, load moves", 1 - evenPart - halfSecond, lastThenSecond,
			func(w *world) { w.kill(n-1, true) }},
		{"all killed and started again, several times", 0.99, evenly, func(w *world) {
			for i := range 4 * n {
				w.load(2*time.Second/time.Duration(n), 200, 2, func() int { return w.rng.Intn(n) })
				w.kill(i%n, true)
				w.start(i % n)
			}
		}},
		{"rolling restart with draining", 0.97, evenly, func(w *world) {
			for i := range n {
				w.handle(i, Drain{})
				w.load(60*time.Millisecond, 200, 2, func() int { return (i + 1) % n })
				w.kill(i, true)
				w.start(i)
			}
		}},
	}
}

// Reserved units are unusable if their tokens stay at gateways that get no requests. The test measures the
// fraction of a reservation that can be used with 3 and with 50 gateways, without and with faults. Nearly all
// of it must be usable, except what a killed gateway held: its even part and the use of half a second.
func TestReservedUnitsStayUsable(t *testing.T) {
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
				t.Errorf("%d gateways, %s: %.3f of the reservation was used, want %.3f to 1",
					n, c.name, share, c.least)
			}
		}
	}
}

// A kill of a gateway lost the tokens that it had drawn and not spent, so that part of an accepted reservation
// could be used nowhere. The test kills gateways between requests and while one is in flight, then asks for
// all that is left: every unit must be usable once, including those of requests in flight, which may have
// used theirs. A crash of the machine may lose what was drawn, but must not let a unit be used twice.
func TestKillLosesNoUnspentUnits(t *testing.T) {
	const (
		units = 100.0
		drawn = 2*8 + 1.0 // largest draw at this demand
	)
	for name, c := range map[string]struct {
		fail  func(w *world, i int)
		least float64
	}{
		"kill":          {func(w *world, i int) { w.kill(i, true) }, units},
		"second kill":   {func(w *world, i int) { w.kill(i, true); w.start(i); w.kill(i, true) }, units},
		"kill at start": {func(w *world, i int) { w.kill(i, true); w.start(i); w.run(4 * time.Millisecond); w.kill(i, true) }, units},
		"machine crash": {(*world).crash, units - 3*drawn},
	} {
		for seed := range int64(20) {
			w := newWorld(4, seed, quotaplan.Reservation{Units: units})
			w.failAndUseUp(c.fail)
			if w.used < c.least || w.used > units {
				t.Errorf("%s, seed %d: %v of %v units used, want at least %v; rejected %v",
					name, seed, w.used, units, c.least, w.rejected)
			}
		}
	}
	planted := newWorld(4, 1, quotaplan.Reservation{Units: units})
	planted.losesSpending = true
	planted.failAndUseUp(func(w *world, i int) { w.kill(i, true) })
	if planted.used <= units {
		t.Error("the simulation does not find the planted fault: a kill loses records of spent units")
	}
}

// failAndUseUp sends some requests to each gateway but the last, lets each fail after them and starts it again.
// Then it asks each gateway in turn for more than there is.
func (w *world) failAndUseUp(fail func(w *world, i int)) {
	w.run(1100 * time.Millisecond)
	for i := range w.n - 1 {
		for range 5 {
			w.send(i, 1)
			w.run(time.Duration(20+w.rng.Intn(40)) * time.Millisecond)
		}
		fail(w, i)
		w.start(i)
	}
	for i := range w.n {
		for range 2 * int(w.reservation.Units) {
			w.send(i, 1)
			w.run(20 * time.Millisecond)
		}
	}
}

// A sum of tokens that gateways sent each other can come to just less than a unit by rounding errors, so that
// the last request of a reservation was rejected. Tenths, which doubles can't represent, must add up to it.
func TestLastUnitIsUsableDespiteRoundingErrors(t *testing.T) {
	w := newWorld(1, 1, quotaplan.Reservation{Units: 1})
	w.ledgers[0].holdings[77].free = 0
	for range 10 {
		w.ledgers[0].holdings[77].free += 0.1
	}
	w.run(1100 * time.Millisecond)
	w.send(0, 1)
	w.run(time.Second)
	if w.used != 1 {
		t.Errorf("%v of 1 unit used, rejected %v", w.used, w.rejected)
	}
}

// Gateways that are asked for tokens keep half of them for their own demand, so the last unit can end as nearly
// all of it at one gateway and less than a negligible part at each of the others. It must be usable there.
func TestLastUnitIsUsableDespiteNegligibleRemainders(t *testing.T) {
	const n = 50
	w := newWorld(n, 1, quotaplan.Reservation{Units: 1})
	w.run(1100 * time.Millisecond)
	for i, l := range w.ledgers {
		h := l.holdings[77]
		h.drawn, h.free = 0, negligible
		h.demand.add(w.now.Mono, 1000)
		if i == 0 {
			h.free = 1 - (n-1)*negligible
		}
	}
	w.send(0, 1)
	w.run(time.Second)
	if w.used != 1 {
		t.Errorf("%v of 1 unit used, rejected %v", w.used, w.rejected)
	}
}

// While requests come to all gateways, each keeps half of the last unit when another one asks for it, so that
// none ever has enough for a request. The unit must be usable by one of them.
func TestLastUnitIsUsableUnderLoadOnAllGateways(t *testing.T) {
	w := newWorld(3, 1, quotaplan.Reservation{Units: 1})
	w.run(1100 * time.Millisecond)
	for k := range 100 {
		w.send(k%3, 1)
		w.run(20 * time.Millisecond)
	}
	w.run(time.Second)
	if w.used != 1 {
		t.Errorf("%v of 1 unit used, rejected %v", w.used, w.rejected)
	}
}

// Gateways that each refill their room, grant it to others and restart could together exceed the rate and
// burst of a reservation under a ceiling. The test sends more load than the rate allows: the fleet must stay
// within rate and burst, apart from what grants of room and one large request can add, and must use at least
// half of the rate.
func TestFleetStaysWithinReservationRate(t *testing.T) {
	for _, n := range []int{3, 50} {
		for name, pick := range map[string]func(w *world) func() int{
			"load on all gateways": func(w *world) func() int { return func() int { return w.rng.Intn(n) } },
			"load on one gateway":  func(*world) func() int { return func() int { return n - 1 } },
		} {
			w := newWorld(n, 3, quotaplan.Reservation{Units: 1e6, Rate: 40, Burst: 60, Ceiling: true})
			w.loss = 0.02
			w.run(time.Second)
			for k := range 6 { // a restarted gateway has no room at first
				w.load(2*time.Second, 120, 2, pick(w))
				if i := k % n; i != n-1 {
					w.kill(i, true)
					w.start(i)
				}
			}
			over := w.excess(40, 60)
			if bound := 40*roomGrantLifetime.Seconds() + 8; over > bound {
				t.Errorf("%d gateways, %s: %.1f units over rate and burst, want at most %v",
					n, name, over, bound)
			}
			if w.used < 0.5*40*12 {
				t.Errorf("%d gateways, %s: %.0f units used in 12 s at 40/s, want half or more",
					n, name, w.used)
			}
			t.Logf("%d gateways, %s: %.0f units used in 12 s at 40/s, %.1f over rate and burst",
				n, name, w.used, over)
		}
	}
}

// A resize takes units away that other gateways may hold or have spent already. The test shortens a
// reservation above and below its use, and cancels one while requests are in flight. No more than the new
// units may be used, and a cancelled reservation returns everything that was not used.
func TestResizeLimitsUse(t *testing.T) {
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
		t.Errorf("%v used after 300 was shortened to 200 at a use of %v, want 190 to 202", w.used, before)
	}
	resize(50)
	w.load(time.Second, 150, 2, func() int { return w.rng.Intn(3) })
	if w.used > 202 {
		t.Errorf("%v used after shortening below the use, want at most 202", w.used)
	}
	if w.returned != 0 {
		t.Errorf("%v returned after shortening, want 0", w.returned)
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
		t.Errorf("cancelled: %v used before and %v after, %v returned, want no further use and 300 together",
			before, w.used, w.returned)
	}
}

// Units could be lost or returned twice if requests are in flight when the window of a reservation ends. The
// test lets the window end during load: requests in flight settle, all other units are returned, and later
// requests are rejected, even after the wall clock was stepped back into the window.
func TestEndOfWindowReturnsUnusedUnits(t *testing.T) {
	w := newWorld(3, 1, quotaplan.Reservation{Units: 300})
	w.run(1100 * time.Millisecond)
	w.serviceTime = 300 * time.Millisecond
	w.load(200*time.Millisecond, 200, 2, func() int { return w.rng.Intn(3) })
	w.now.Wall = w.reservation.To - int64(10*time.Millisecond)
	w.run(time.Second)
	if math.Abs(w.used+w.returned-300) > 1e-6 {
		t.Errorf("%v used and %v returned, want 300 together", w.used, w.returned)
	}
	w.send(1, 1)
	if w.rejected[NoReservation] != 1 {
		t.Errorf("rejected after the window: %v, want 1 without a reservation", w.rejected)
	}
	w.now.Wall -= 100 * sec // the wall clock is stepped back
	w.send(1, 1)
	if w.rejected[NoReservation] != 2 {
		t.Errorf("rejected after the clock step: %v, want 2 without a reservation", w.rejected)
	}
}

// If the disk blocks while peers keep requesting tokens, deferred messages could fill the memory. A transfer
// that is sent before its state is durable would create tokens twice after a crash. The test sends requests
// while nothing is persisted, checks that no transfer is sent, and counts the deferred effects.
func TestBlockedDiskDefersTransfersUpToLimit(t *testing.T) {
	l := New(Settings{Rank: 0, Gateways: 2, MaxRequestUnits: 8, Epoch: 1})
	now := quotaplan.Instant{Mono: time.Hour, Wall: 1000 * sec}
	r := quotaplan.Reservation{ID: 77, Member: "m", Units: 1e6, From: 1000 * sec, To: 2000 * sec, Spread: 2,
		AcceptedHere: true}
	l.Handle(now, AddReservation{Reservation: r})
	for i := range 3 * maxDeferred {
		now.Mono += time.Millisecond
		for _, a := range l.Handle(now, MessageReceived{1, requestMessage{77, uint64(i), 5, 1, 0}.encode()}) {
			if _, ok := a.(Send); ok {
				t.Fatal("a message was sent before its state was persisted")
			}
		}
	}
	if len(l.deferred) > maxDeferred {
		t.Errorf("%d effects deferred, want at most %d", len(l.deferred), maxDeferred)
	}
}

// FuzzReceive checks that no message or truncated state makes a ledger panic, and that the states that follow
// from a message can be restored.
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
