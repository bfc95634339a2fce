package quotaplan

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	"winghatch/decide"
)

const sec = int64(time.Second)

// settings returns the settings of one gateway in a fleet of n, with three plans and a member on each.
func settings(rank, n int) Settings {
	return Settings{Rank: rank, Gateways: n, Incarnation: uint64(rank + 1), Seed: int64(rank), Capacity: 1000,
		MaxRequestUnits: 8,
		Plans: []decide.Plan{
			{Name: "small", Rate: 3, Burst: 12, PriorityWeight: 1},
			{Name: "wide", Rate: 100, Burst: 300, PriorityWeight: 1},
			{Name: "hard", Rate: 30, Burst: 60, CeilingRate: 60, CeilingBurst: 120, CeilingSlack: 6}},
		Members: []Member{{"a", "small", 0, n}, {"b", "wide", 0, n}, {"c", "hard", 0, n}}}
}

// world simulates the replicas of a fleet on a network that loses and delays messages and can be partitioned.
// Slices have an element for each gateway, by rank.
type world struct {
	replicas       []*Replica
	disks          []map[uint64]Change // persisted changes, by hash
	own            []map[uint64]bool   // Own flags of the persisted changes, by hash
	rng            *rand.Rand
	now            Instant
	inTransit      []message
	loss           float64                     // probability that a message is lost
	partition      []int                       // side of each gateway; different sides cannot reach each other
	blocked        map[[2]int]bool             // pairs of sender and receiver between which all messages are lost
	complete       []bool                      // whether the folder of a gateway is noted as complete
	eachAccepts    bool                        // planted fault: each gateway accepts reservations by itself
	lastToken      uint64                      // token of the last submitted change
	plans          []map[string]decide.Plan    // plan in force, by member
	units          []map[uint64]float64        // units of each reservation, by ID
	reservationIDs map[uint64]uint64           // ID of each reservation, by number
	replies        map[uint64]Reply            // by token
	sent           int                         // number of messages sent
	noComparison   bool                        // planted fault: messages of comparisons are lost
	record         func(gateway int, a Action) // called for every action, if not nil
}

// message is a message on the network.
type message struct {
	at       Instant
	from, to int
	data     []byte
}

// newWorld starts a fleet of n gateways that can all reach each other.
func newWorld(n int, seed int64) *world {
	w := &world{
		replicas:       make([]*Replica, n),
		disks:          make([]map[uint64]Change, n),
		own:            make([]map[uint64]bool, n),
		plans:          make([]map[string]decide.Plan, n),
		units:          make([]map[uint64]float64, n),
		partition:      make([]int, n),
		blocked:        map[[2]int]bool{},
		complete:       make([]bool, n),
		replies:        map[uint64]Reply{},
		reservationIDs: map[uint64]uint64{},
		rng:            rand.New(rand.NewSource(seed)),
		now:            Instant{time.Hour, 1000 * sec},
	}
	for i := range w.replicas {
		w.disks[i], w.own[i] = map[uint64]Change{}, map[uint64]bool{}
		w.start(i, 1)
	}
	return w
}

// start starts a new process of a gateway, which restores the changes on its disk.
func (w *world) start(i int, process uint64) {
	s := settings(i, len(w.replicas))
	s.Incarnation = process*1000 + uint64(i)
	s.Complete = w.complete[i]
	if w.eachAccepts {
		s.Acceptor, s.Complete = i, true
	}
	w.replicas[i] = New(s)
	w.plans[i], w.units[i] = map[string]decide.Plan{}, map[uint64]float64{}
	for _, m := range s.Members {
		w.plans[i][m.Name] = w.replicas[i].EffectivePlan(m.Name)
	}
	for _, h := range slices.Sorted(maps.Keys(w.disks[i])) {
		w.replicas[i].Restore(w.disks[i][h], w.own[i][h])
	}
	w.handle(i, Start{})
}

// handle passes an event to the replica of a gateway and carries out its actions.
func (w *world) handle(i int, ev Event) {
	var persisted []uint64 // reported after all actions, as a gateway does
	for _, a := range w.replicas[i].Handle(w.now, ev) {
		if w.record != nil {
			w.record(i, a)
		}
		switch a := a.(type) {
		case Persist:
			w.disks[i][a.Change.hash()] = a.Change
			w.own[i][a.Change.hash()] = a.Own
			if a.Own {
				persisted = append(persisted, a.Change.Number)
			}
		case Send:
			w.sent++
			if len(a.Data) > maxMessageBytes+400 {
				panic(fmt.Sprintf("quotaplan: message of %d bytes is too long", len(a.Data)))
			}
			if w.noComparison && a.Data[0] != messageChanges {
				continue
			}
			if w.rng.Float64() >= w.loss {
				late := time.Duration(1+w.rng.Intn(20)) * time.Millisecond
				w.inTransit = append(w.inTransit,
					message{Instant{w.now.Mono + late, w.now.Wall + int64(late)}, i, a.To, a.Data})
			}
		case ApplyPlan:
			w.plans[i][a.Member] = a.Plan
		case AddReservation:
			w.units[i][a.ID] = a.Units
			w.reservationIDs[a.Number] = a.ID
		case ResizeReservation:
			w.units[i][a.ID] = a.Units
		case Reply:
			w.replies[a.Token] = a
		case PersistComplete:
			w.complete[i] = true
		}
	}
	for _, number := range persisted {
		w.handle(i, Persisted{number})
	}
}

// run advances the simulation by a duration, in steps of 5 ms.
func (w *world) run(d time.Duration) {
	for end := w.now.Mono + d; w.now.Mono < end; {
		w.now.Mono += 5 * time.Millisecond
		w.now.Wall += int64(5 * time.Millisecond)
		var ready, rest []message
		for _, m := range w.inTransit {
			if m.at.Mono <= w.now.Mono {
				ready = append(ready, m)
			} else {
				rest = append(rest, m)
			}
		}
		w.inTransit = rest
		for _, m := range ready {
			if w.partition[m.from] == w.partition[m.to] && !w.blocked[[2]int{m.from, m.to}] {
				w.handle(m.to, MessageReceived{m.from, m.data})
			}
		}
		for i, r := range w.replicas {
			if n := r.nextTick(); n.Mono <= w.now.Mono || n.Wall <= w.now.Wall {
				w.handle(i, Tick{})
			}
		}
	}
}

// loseDisk empties the folder of a gateway. Its process must be started afterwards.
func (w *world) loseDisk(i int) {
	w.disks[i], w.own[i], w.complete[i] = map[uint64]Change{}, map[uint64]bool{}, false
}

// begin submits a change at a gateway and returns the token of the reply.
func (w *world) begin(i int, c Change) (token uint64) {
	w.lastToken++
	w.handle(i, Submit{w.lastToken, c})
	return w.lastToken
}

// submit submits a change at a gateway, waits for the reply and returns its error.
func (w *world) submit(i int, c Change) *Error {
	token := w.begin(i, c)
	for end := w.now.Mono + 2*proposalTimeout; ; w.run(5 * time.Millisecond) {
		if reply, ok := w.replies[token]; ok {
			return reply.Err
		}
		if w.now.Mono > end {
			panic(fmt.Sprintf("quotaplan: no reply to %s", &c))
		}
	}
}

// difference describes the first difference found between replicas. It is empty if there is none.
func (w *world) difference() string {
	n, sum := w.replicas[0].Digest()
	for i, r := range w.replicas {
		if m, s := r.Digest(); m != n || s != sum {
			return fmt.Sprintf("gateway %d has %d changes, gateway 0 has %d", i, m, n)
		}
		for m, p := range w.plans[0] {
			if w.plans[i][m] != p {
				return fmt.Sprintf("member %s is on %+v at gateway %d and on %+v at gateway 0",
					m, w.plans[i][m], i, p)
			}
		}
		for id, u := range w.units[0] {
			if w.units[i][id] != u {
				return fmt.Sprintf("reservation %d has %v units at gateway %d and %v at gateway 0",
					id, w.units[i][id], i, u)
			}
		}
	}
	return ""
}
