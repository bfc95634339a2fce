package quotaplan

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"winghatch/decide"
)

// reserveB returns a reservation of member b, for which there is room for 500 units in its window.
func reserveB(w *world, number uint64, units float64) Change {
	return Change{Number: number, Kind: Reserve, Member: "b", Units: units,
		From: w.now.Wall + 20*sec, To: w.now.Wall + 30*sec}
}

// Both sides of a partition accepted reservations for the same room, and one of them became void when the
// partition ended. Whoever cannot reach the acceptor must get an error within seconds that says why, the other
// side must be able to accept, and what was accepted must be in force at all gateways afterwards.
func TestPartitionAcceptsReservationsOnOneSide(t *testing.T) {
	for _, n := range []int{2, 3, 50} {
		w := newWorld(n, 1)
		w.run(4 * time.Second)
		for k := range w.partition {
			w.partition[k] = min(1, k)
		}
		if err := w.submit(0, reserveB(w, 1, 400)); err != nil {
			t.Errorf("%d gateways: the acceptor rejects a reservation: %v", n, err)
		}
		began := w.now.Mono
		err := w.submit(n-1, reserveB(w, 2, 400))
		if err == nil || err.Field != "gateway" || !strings.Contains(err.Text, "no answer of gateway 0") {
			t.Errorf("%d gateways: the other side answers %v, want an error about gateway 0", n, err)
		}
		if waited := w.now.Mono - began; waited > proposalTimeout+10*time.Millisecond {
			t.Errorf("%d gateways: the error came after %v, want %v", n, waited, proposalTimeout)
		}
		clear(w.partition)
		w.run(3 * time.Second)
		err = w.submit(n-1, reserveB(w, 2, 400))
		if err == nil || !strings.Contains(err.Text, "room for") {
			t.Errorf("%d gateways: after the partition the second one is answered %v, want no room", n, err)
		}
		if s := w.difference(); s != "" || w.units[n-1][w.reservationIDs[1]] != 400 {
			t.Errorf("%d gateways: %s, reservations of %v units by ID, want the first", n, s, w.units[n-1])
		}
	}
}

// Two operators can submit at two gateways at one moment, with no fault at all, and both may try again. One of
// them must get the room, and the other the reason.
func TestReservationsAtOneMomentShareTheRoom(t *testing.T) {
	w := newWorld(3, 1)
	w.run(time.Second)
	for attempt := range 5 {
		tokens := []uint64{w.begin(1, reserveB(w, uint64(10*attempt+1), 300)),
			w.begin(2, reserveB(w, uint64(10*attempt+2), 300))}
		w.run(time.Second)
		accepted := 0
		for _, token := range tokens {
			if reply, ok := w.replies[token]; !ok {
				t.Fatal("no reply within a second")
			} else if reply.Err == nil {
				accepted++
			}
		}
		if want := 1 - min(attempt, 1); accepted != want {
			t.Errorf("attempt %d: %d of two reservations accepted, want %d", attempt, accepted, want)
		}
	}
}

// One number may be submitted at two gateways. The reservation that was accepted counts, also if the other
// change comes first in the order of changes.
func TestReservationKeepsItsNumber(t *testing.T) {
	w := newWorld(2, 1)
	w.run(time.Second)
	w.partition[1] = 1
	if err := w.submit(1, Change{Number: 7, Kind: Move, Member: "a", Plan: "wide"}); err != nil {
		t.Fatal(err)
	}
	w.run(10 * time.Millisecond)
	if err := w.submit(0, reserveB(w, 7, 400)); err != nil {
		t.Fatal(err)
	}
	w.partition[1] = 0
	w.run(3 * time.Second)
	if s := w.difference(); s != "" || w.units[1][w.reservationIDs[7]] != 400 {
		t.Errorf("%s, reservations of %v units by ID, want 400", s, w.units[1])
	}
	if h := w.replicas[1].History("a"); h[0].Status != Void {
		t.Errorf("history %+v, want the move void", h)
	}
}

// The same proposal can arrive twice, or its answer be lost: the reservation must exist once, and the command
// that is sent again must be told so.
func TestProposalSentAgainDoesNoHarm(t *testing.T) {
	w := newWorld(2, 1)
	w.run(time.Second)
	w.blocked[[2]int{0, 1}] = true
	c := reserveB(w, 1, 400)
	if err := w.submit(1, c); err == nil || !strings.Contains(err.Text, "may still have accepted") {
		t.Errorf("answered %v, want that the outcome is not known", err)
	}
	w.start(1, 2) // the gateway that proposed forgets it
	if err := w.submit(1, c); err == nil {
		t.Error("accepted although no answer can arrive")
	}
	clear(w.blocked)
	w.start(1, 3)
	if err := w.submit(1, c); err != nil && !strings.Contains(err.Text, "seen before") {
		t.Errorf("the same command is answered %v, want that it is accepted or seen before", err)
	}
	w.run(3 * time.Second)
	if n, _ := w.replicas[0].Digest(); n != 1 || w.units[1][w.reservationIDs[1]] != 400 {
		t.Errorf("%d changes, reservations of %v units by ID, want one of 400", n, w.units[1])
	}
}

// An acceptor that lost its folder does not know what it accepted. It must accept nothing before it has heard
// all other gateways, and say which ones are missing.
func TestAcceptorWithNewFolderLearnsFirst(t *testing.T) {
	w := newWorld(3, 1)
	w.run(time.Second)
	if err := w.submit(0, reserveB(w, 1, 400)); err != nil {
		t.Fatal(err)
	}
	w.run(time.Second)
	w.loseDisk(0)
	w.partition = []int{0, 0, 1}
	w.start(0, 2)
	err := w.submit(0, reserveB(w, 2, 400))
	if err == nil || !strings.Contains(err.Text, "not heard yet from 2:") {
		t.Errorf("answered %v, want that gateway 2 was not heard", err)
	}
	clear(w.partition)
	w.run(time.Second)
	err = w.submit(0, reserveB(w, 3, 400))
	if err == nil || !strings.Contains(err.Text, "room for 100") {
		t.Errorf("answered %v, want that there is room for 100", err)
	}
	w.start(0, 3) // with its folder, inside a partition
	w.partition = []int{0, 1, 1}
	if err := w.submit(0, reserveB(w, 4, 50)); err != nil {
		t.Errorf("an acceptor that has learned everything answers %v after a restart", err)
	}
}

// Accepted reservations must not become void, whatever happens at the same time. The test searches random
// orders of reservations, other changes, partitions, cuts in one direction, restarts and lost folders. At the
// end each reservation that was answered as accepted must be in force at all gateways, unless it was
// cancelled, and if nothing changed plans or reservations, the sum must fit. To show that the simulation can
// find a fault, the test also plants one: gateways that accept reservations each for itself.
func TestAcceptedReservationsStayInForce(t *testing.T) {
	searchRandomRuns(t, checkAccepted, "each gateway accepts by itself")
}

// checkAccepted runs a random simulation. It returns a description of the failure at its end, or an empty
// string.
func checkAccepted(rt *rapid.T, eachAccepts bool) string {
	n := rapid.SampledFrom([]int{1, 2, 3, 6}).Draw(rt, "gateways")
	w := newWorld(n, rapid.Int64().Draw(rt, "seed"))
	w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "loss")
	w.eachAccepts = eachAccepts
	for i := range n {
		w.start(i, 2)
	}
	lost := map[uint64]bool{} // numbers of changes that were on a lost folder only
	onlyReservations, process, number := true, uint64(2), uint64(0)
	windowAt := w.now.Wall + 100*sec
	for range rapid.IntRange(2, 25).Draw(rt, "steps") {
		i := rapid.IntRange(0, n-1).Draw(rt, "gateway")
		number++
		switch rapid.IntRange(0, 9).Draw(rt, "step") {
		case 0, 1, 2, 3:
			c := reserveB(w, number, rapid.Float64Range(50, 400).Draw(rt, "units"))
			if rapid.IntRange(0, 5).Draw(rt, "reuse number") == 0 {
				c.Number = 1 + number/2
			}
			c.From = windowAt + rapid.Int64Range(0, 5).Draw(rt, "from")*sec
			c.To = c.From + 10*sec
			w.begin(i, c)
		case 4:
			onlyReservations = false
			w.begin(i, drawOther(rt, number))
		case 5:
			for k := range w.partition {
				w.partition[k] = rapid.IntRange(0, 1).Draw(rt, "side")
			}
		case 6:
			clear(w.blocked)
			w.blocked[[2]int{i, rapid.IntRange(0, n-1).Draw(rt, "to")}] = true
		case 7:
			process++
			if rapid.IntRange(0, 2).Draw(rt, "folder lost") == 0 {
				for number := range w.onlyAt(i) {
					lost[number] = true
				}
				w.loseDisk(i)
			}
			w.start(i, process)
		default:
			w.run(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
		}
	}
	clear(w.partition)
	clear(w.blocked)
	w.loss = min(w.loss, 0.1)
	w.run(20 * time.Second)
	if s := w.difference(); s != "" {
		return s
	}
	return w.brokenPromise(lost, onlyReservations)
}

// drawOther returns a random change that may cross a reservation.
func drawOther(rt *rapid.T, number uint64) Change {
	c := Change{Number: number}
	c.Kind = rapid.SampledFrom([]Kind{Move, Terms, Cancel, Shorten}).Draw(rt, "kind")
	switch c.Kind {
	case Move:
		c.Member, c.Plan = "b", rapid.SampledFrom([]string{"small", "wide"}).Draw(rt, "plan")
	case Terms:
		c.Plan, c.Terms = "wide", decide.Plan{Rate: 7, Burst: 20}
	default:
		c.Target, c.Units = rapid.Uint64Range(1, number).Draw(rt, "target"), 10
	}
	return c
}

// onlyAt returns the numbers of the changes that only the folder of one gateway holds.
func (w *world) onlyAt(i int) map[uint64]bool {
	numbers := map[uint64]bool{}
	for hash, c := range w.disks[i] {
		copies := 0
		for _, d := range w.disks {
			if _, ok := d[hash]; ok {
				copies++
			}
		}
		if copies == 1 {
			numbers[c.Number] = true
		}
	}
	return numbers
}

// brokenPromise describes an accepted reservation that is not in force, or a sum of them that does not fit if
// checkSum is set. It is empty if there is none.
func (w *world) brokenPromise(lost map[uint64]bool, checkSum bool) string {
	for _, reply := range w.replies {
		c := &reply.Change
		if reply.Err != nil || c.Kind != Reserve || lost[c.Number] {
			continue
		}
		d := &w.replicas[0].derived
		switch known := d.byNumber[c.Number]; {
		case known == nil || known.hash() != c.hash():
			return fmt.Sprintf("accepted %s is missing, its number has %v", c, known)
		case d.voidReasons[known] != "":
			return fmt.Sprintf("accepted %s is void: %s", c, d.voidReasons[known])
		}
	}
	end := &Change{From: 0, To: 1 << 62}
	peak := w.replicas[0].derived.peakOverlap(end, func(c *Change) float64 { return meanRate(c, c.Units) })
	if checkSum && peak > 50*(1+tolerance) {
		return fmt.Sprintf("reservations of %v units a second, want 50 at most", peak)
	}
	return ""
}
