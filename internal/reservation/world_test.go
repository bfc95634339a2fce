package reservation

import (
	"fmt"
	"math/rand"
	"time"

	"winghatch/internal/quotaplan"
)

const sec = int64(time.Second)

// world simulates the ledgers of a fleet, with a network that loses and delays messages and can be
// partitioned, and with disks that need time to write. There is one reservation, which gateway 0 accepted.
type world struct {
	n             int // number of gateways
	ledgers       []*Ledger
	rng           *rand.Rand
	now           quotaplan.Instant
	reservation   quotaplan.Reservation
	units         float64 // units of the reservation after the last resize
	ceilingShares []CeilingShare
	process       uint64        // number of the last process that was started
	serviceTime   time.Duration // time from the admission of a request to its end

	disks       [][][]byte      // persisted states of each gateway, in order
	spending    [][][]byte      // spending records of each gateway, in order
	boots       []uint64        // Settings.Boot of each gateway; 0 lets a kill lose the drawn tokens
	persistedAt []time.Duration // time at which the last write of each gateway is durable
	accepted    []bool          // whether the disk of each gateway records that it accepted the reservation
	down        []bool
	stalled     []bool

	inTransit []delivery
	loss      float64 // probability that a message is lost
	partition []int   // side of each gateway; gateways on different sides cannot reach each other

	lastRequest int
	inFlight    map[string]openRequest
	admitted    []admission
	rejected    map[Reason]int
	requested   float64 // units of all requests
	used        float64 // units of admitted requests
	returned    float64 // units returned to the member's quota

	losesWrites   bool // planted fault: a crash loses states that were reported as durable
	losesSpending bool // planted fault: a kill loses the spending records, although they were written
	mintTwice     bool // planted fault: a gateway forgets that it minted the tokens

	record func(gateway int, a Action) // called for every action, if not nil
}

// admission is an admitted request.
type admission struct {
	at    time.Duration
	units float64
}

// openRequest is a request that waits or is in flight.
type openRequest struct {
	gateway int
	units   float64
	process uint64
}

// delivery is an event on its way to a gateway. It reaches only the given process of the gateway, or any
// process if process is 0.
type delivery struct {
	at      time.Duration
	to      int
	process uint64
	event   Event
}

// newWorld starts a fleet of n gateways with a reservation whose window opens after one second.
func newWorld(n int, seed int64, res quotaplan.Reservation) *world {
	return newWorldOnMachine(n, seed, res, 1)
}

// newWorldOnMachine is newWorld with the Settings.Boot of all gateways.
func newWorldOnMachine(n int, seed int64, res quotaplan.Reservation, boot uint64) *world {
	w := &world{
		n:           n,
		ledgers:     make([]*Ledger, n),
		rng:         rand.New(rand.NewSource(seed)),
		now:         quotaplan.Instant{Mono: time.Hour, Wall: 1000 * sec},
		reservation: res,
		units:       res.Units,
		serviceTime: 30 * time.Millisecond,
		disks:       make([][][]byte, n),
		spending:    make([][][]byte, n),
		boots:       make([]uint64, n),
		persistedAt: make([]time.Duration, n),
		accepted:    make([]bool, n),
		down:        make([]bool, n),
		stalled:     make([]bool, n),
		partition:   make([]int, n),
		inFlight:    map[string]openRequest{},
		rejected:    map[Reason]int{},
	}
	w.reservation.ID, w.reservation.Member, w.reservation.Spread = 77, "m", n
	w.reservation.From, w.reservation.To = w.now.Wall+sec, w.now.Wall+1000*sec
	w.accepted[0] = true
	for i := range n {
		w.boots[i] = boot
		w.ceilingShares = append(w.ceilingShares, CeilingShare{i, 1 / float64(n)})
	}
	if n > 10 && res.Ceiling { // as in a fleet where two quota owners enforce the ceiling of a customer
		w.ceilingShares = []CeilingShare{{1, 0.5}, {2, 0.5}}
	}
	for i := range n {
		w.start(i)
	}
	return w
}

// start starts a new process of a gateway, which restores the states on its disk.
func (w *world) start(i int) {
	w.process++
	w.down[i], w.stalled[i] = false, false
	w.ledgers[i] = New(Settings{Rank: i, Gateways: w.n, MaxRequestUnits: 8, Epoch: w.process,
		Boot: w.boots[i], Seed: int64(w.process)})
	for _, s := range w.spending[i] {
		if err := w.ledgers[i].RestoreSpending(s); err != nil {
			panic(err)
		}
	}
	w.spending[i] = append(w.spending[i], w.ledgers[i].StartRecord())
	for _, s := range w.disks[i] {
		if err := w.ledgers[i].Restore(s); err != nil {
			panic(err)
		}
	}
	for id, r := range w.inFlight {
		if r.gateway == i {
			delete(w.inFlight, id)
		}
	}
	r := w.reservation
	r.AcceptedHere = w.accepted[i]
	w.handle(i, AddReservation{r, w.ceilingShares})
	if w.units < w.reservation.Units {
		w.handle(i, ResizeReservation{w.reservation.ID, w.units})
	}
}

// kill ends the process of a gateway. Its disk is lost unless disk is true.
func (w *world) kill(i int, disk bool) {
	w.down[i] = true
	if !disk {
		w.disks[i], w.spending[i], w.accepted[i] = nil, nil, false
	}
	if w.losesSpending && disk {
		w.spending[i] = [][]byte{w.ledgers[i].StartRecord()}
	}
}

// crash ends a gateway with its machine, which loses some of the spending records, as these are not synced.
func (w *world) crash(i int) {
	w.kill(i, true)
	w.boots[i]++
	w.loseSpending(i)
}

// loseSpending removes a random number of the last spending records.
func (w *world) loseSpending(i int) {
	w.spending[i] = w.spending[i][:w.rng.Intn(len(w.spending[i])+1)]
}

// handle passes an event to the ledger of a gateway and carries out its actions.
func (w *world) handle(i int, ev Event) {
	l := w.ledgers[i]
	deliver := func(at time.Duration, to int, process uint64, ev Event) {
		w.inTransit = append(w.inTransit, delivery{at, to, process, ev})
	}
	for _, a := range l.Handle(w.now, ev) {
		if _, ok := a.(RecordSpending); w.record != nil && !ok { // records of spending came later
			w.record(i, a)
		}
		switch a := a.(type) {
		case Admit:
			r := w.inFlight[a.ID]
			w.used += r.units
			w.admitted = append(w.admitted, admission{w.now.Mono, r.units})
			deliver(w.now.Mono+w.serviceTime, i, l.settings.Epoch, RequestEnded{a.ID, r.units})
		case RecordSpending:
			w.spending[i] = append(w.spending[i], a.Record)
		case Reject:
			w.rejected[a.Reason]++
			delete(w.inFlight, a.ID)
		case Persist:
			state := append([]byte(nil), a.State...)
			if w.mintTwice {
				state[17] &^= 1
			}
			// A write takes some time. Writes of a gateway become durable in order.
			w.persistedAt[i] = max(w.persistedAt[i],
				w.now.Mono+time.Duration(1+w.rng.Intn(8))*time.Millisecond)
			deliver(w.persistedAt[i], i, l.settings.Epoch, stateWritten{a.Number, state})
		case Send:
			if w.rng.Float64() >= w.loss {
				late := time.Duration(1+w.rng.Intn(10)) * time.Millisecond
				deliver(w.now.Mono+late, a.To, 0, MessageReceived{i, a.Data})
			}
		case ReturnUnits:
			w.returned += a.Units
		}
	}
}

// stateWritten is the event that a state has been written to the disk. The world handles it itself.
type stateWritten struct {
	number uint64
	state  []byte
}

func (stateWritten) event() {}

// step advances both clocks by 2 ms and delivers the events that are due.
func (w *world) step() {
	w.now.Mono += 2 * time.Millisecond
	w.now.Wall += int64(2 * time.Millisecond)
	var ready, rest []delivery
	for _, d := range w.inTransit {
		switch {
		case d.at > w.now.Mono, w.stalled[d.to]:
			rest = append(rest, d)
		default:
			ready = append(ready, d)
		}
	}
	w.inTransit = rest
	for _, d := range ready {
		if w.down[d.to] || d.process != 0 && d.process != w.ledgers[d.to].settings.Epoch {
			continue
		}
		switch e := d.event.(type) {
		case stateWritten:
			if !w.losesWrites {
				w.disks[d.to] = append(w.disks[d.to], e.state)
			}
			w.handle(d.to, Persisted{e.number})
		case MessageReceived:
			if w.partition[e.From] == w.partition[d.to] {
				w.handle(d.to, e)
			}
		default:
			w.handle(d.to, d.event)
		}
	}
	for i, l := range w.ledgers {
		if n := l.nextTick(); !w.down[i] && !w.stalled[i] && (n.Mono <= w.now.Mono || n.Wall <= w.now.Wall) {
			w.handle(i, Tick{})
		}
	}
}

// run advances the simulation by a duration.
func (w *world) run(d time.Duration) {
	for end := w.now.Mono + d; w.now.Mono < end; {
		w.step()
	}
}

// send sends a request to a gateway, unless the gateway is down or stalled.
func (w *world) send(i int, units float64) {
	if w.down[i] || w.stalled[i] {
		return
	}
	w.lastRequest++
	id := fmt.Sprint("c", w.lastRequest)
	w.inFlight[id] = openRequest{i, units, w.process}
	w.requested += units
	w.handle(i, Request{id, "m", units, w.now.Mono + 2*time.Second})
}

// load sends requests for a duration, at a rate in units per second. Each request has the given units and
// goes to the gateway that pick returns.
func (w *world) load(d time.Duration, rate, units float64, pick func() int) {
	gap := time.Duration(units / rate * float64(time.Second))
	at := w.now.Mono
	for end := w.now.Mono + d; w.now.Mono < end; {
		for at <= w.now.Mono {
			w.send(pick(), units)
			at += gap
		}
		w.step()
	}
}

// excess returns by how many units, at most, the admitted requests exceeded a token bucket with a rate, in
// units per second, and a burst.
func (w *world) excess(rate, burst float64) (over float64) {
	level, last := burst, time.Duration(0)
	for _, p := range w.admitted {
		level = min(burst, level+rate*(p.at-last).Seconds())
		last = p.at
		level -= p.units
		over = max(over, -level)
	}
	return over
}
