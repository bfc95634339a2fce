package outbox

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

// plantedFault is a fault of the outbox or its log that the model must find.
type plantedFault int

const (
	noFault           plantedFault = iota
	lostSync                       // a crash loses what was reported durable
	reusedIncarnation              // a new incarnation takes the number of the one before, so keys come again
	lostIntent                     // an attempt leaves without its intent
)

// coverage is whether the intent of an attempt was in the log when it left.
type coverage int

const (
	covered    coverage = iota + 1
	uncovered           // it was not
	notDurable          // it was, but not durable, so that a crash may lose it
)

// simulation is an outbox with a log, servers and a receiver, that crashes.
type simulation struct {
	fault       plantedFault
	random      *rand.Rand
	policy      Policy
	outbox      *Outbox
	log         [][]byte // records; the number of the first is 1
	durable     int
	synced      int // a crash leaves so many
	snapshot    []byte
	snapshotAt  int
	broken      bool
	full        bool
	lastID      AttemptID
	names       map[AttemptID]string
	inFlight    map[AttemptID]bool  // at the servers
	sent        map[string]coverage // attempts of which bytes left, by name
	denied      map[string]bool
	atServer    map[string]float64
	received    map[string]string // receiver: key -> name
	byName      map[string]UsageData
	duplicates  []string
	reportedGap uint64
	attempts    int
}

func newSimulation(seed int64, p Policy, f plantedFault) *simulation {
	o := &simulation{
		fault:    f,
		random:   rand.New(rand.NewSource(seed)),
		policy:   p,
		names:    map[AttemptID]string{},
		inFlight: map[AttemptID]bool{},
		sent:     map[string]coverage{},
		denied:   map[string]bool{},
		atServer: map[string]float64{},
		received: map[string]string{},
		byName:   map[string]UsageData{},
	}
	o.start()
	return o
}

func (o *simulation) start() {
	o.outbox = New(Settings{Policy: o.policy})
	if o.snapshot != nil {
		if err := o.outbox.RestoreSnapshot(o.snapshot); err != nil {
			panic(err)
		}
	}
	for i := o.snapshotAt; i < len(o.log); i++ {
		if err := o.outbox.Restore(uint64(i+1), o.log[i]); err != nil {
			panic(err)
		}
	}
	if o.fault == reusedIncarnation {
		o.outbox.lastIncarnation = 6
	}
	o.broken, o.full = false, false
	o.do(o.outbox.Start(7))
	o.sync()
}

func (o *simulation) do(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Append:
			ev := Appended{ID: a.ID}
			if o.full || o.broken {
				ev.Failure = "no room"
			} else {
				o.log = append(o.log, a.Payload)
				ev.Record = uint64(len(o.log))
			}
			if a.ID != 0 {
				o.do(o.outbox.Handle(ev))
			}
			if o.fault == lostIntent && len(a.Payload) > 0 && a.Payload[0] == recordIntent && ev.Failure == "" {
				o.log[len(o.log)-1] = []byte{recordIncarnation, 1}
			}
		case Release:
			o.inFlight[a.ID] = true
			o.sent[o.names[a.ID]] = covered
			switch {
			case !o.outbox.attempts[a.ID].covered:
				o.sent[o.names[a.ID]] = uncovered
			case o.broken:
				o.sent[o.names[a.ID]] = notDurable
			}
		case Deny:
			o.denied[o.names[a.ID]] = true
			o.do(o.outbox.Handle(Settle{ID: a.ID, Outcome: OutcomeNeverRan}))
		}
	}
}

// sync makes all durable.
func (o *simulation) sync() {
	if o.broken {
		return
	}
	o.durable = len(o.log)
	if o.fault != lostSync {
		o.synced = o.durable
	}
	o.do(o.outbox.Handle(Durable{uint64(o.durable)}))
}

func (o *simulation) attempt() {
	o.lastID++
	o.attempts++
	name := fmt.Sprint("t", o.attempts)
	o.names[o.lastID] = name
	attempt := Attempt{Request: name, Member: "m", Units: 1}
	o.do(o.outbox.Handle(RecordIntent{ID: o.lastID, LogHasSpace: !o.full, Attempt: attempt}))
}

// answered ends an attempt in flight with its answer.
func (o *simulation) answered(id AttemptID) {
	delete(o.inFlight, id)
	o.atServer[o.names[id]] = 4
	o.do(o.outbox.Handle(Settle{ID: id, Outcome: OutcomeAnswered, UsedUnits: 4}))
}

// unsettled finds attempts that are not settled though the log works and has room, before a crash makes orphans of
// them; and sequence numbers that were left out.
func (o *simulation) unsettled() string {
	if n := o.outbox.Unsettled(); n > 0 {
		return fmt.Sprintf("%d attempts are not settled", n)
	}
	next := map[string]int{}
	for _, r := range o.log {
		rec, err := parseRecord(r)
		if err != nil {
			return err.Error()
		}
		incarnation, sequence := rec.settlement.Incarnation, rec.settlement.Sequence
		if rec.kind == recordGap {
			incarnation, sequence = rec.gap.Incarnation, rec.gap.Sequence
		}
		if sequence == 0 {
			continue
		}
		k := fmt.Sprint(incarnation)
		if next[k]++; int(sequence) != next[k] {
			return fmt.Sprintf("incarnation %s: number %d stands where %d is due", k, sequence, next[k])
		}
	}
	return ""
}

func (o *simulation) settleOne(outcome Outcome) {
	for id := range o.inFlight {
		delete(o.inFlight, id)
		used := 1.0
		if outcome == OutcomeAnswered {
			used = float64(2 + o.random.Intn(5))
			o.atServer[o.names[id]] = used
		}
		if outcome == OutcomeNeverRan {
			delete(o.sent, o.names[id]) // it provably never left
		}
		o.do(o.outbox.Handle(Settle{ID: id, Outcome: outcome, UsedUnits: used}))
		return
	}
}

// crash ends an incarnation. If the machine goes down, what was not synced is lost; a kill may leave any part of it.
func (o *simulation) crash() {
	keep := o.synced
	if o.fault != lostSync && o.random.Intn(2) == 0 {
		keep += o.random.Intn(len(o.log) - o.synced + 1)
	}
	if o.fault == lostSync {
		keep = o.synced
	}
	o.log = o.log[:max(keep, o.snapshotAt)]
	o.synced, o.durable = len(o.log), len(o.log)
	o.inFlight, o.names = map[AttemptID]bool{}, map[AttemptID]string{}
	o.start()
}

func (o *simulation) takeSnapshot() {
	if o.fault == noFault && !o.broken {
		o.sync()
		o.snapshot, o.snapshotAt = o.outbox.Snapshot(), len(o.log)
	}
}

// deliver sends the events of what is durable, at times those that the receiver has too.
func (o *simulation) deliver() {
	from := int(o.outbox.LastAcknowledged())
	if o.random.Intn(3) == 0 {
		from = 0 // an acknowledgement was lost
	}
	for i := from; i < o.durable; i++ {
		ev, ok, err := EncodeEvent("f", 3, uint64(i+1), o.log[i])
		if err != nil {
			panic(err)
		}
		if !ok {
			continue
		}
		var c struct {
			ID, Source, Type string
			Data             json.RawMessage
		}
		if err := json.Unmarshal(ev.JSON, &c); err != nil {
			panic(err)
		}
		key := c.Source + " " + c.ID
		if c.Type == TypeGap {
			var g GapData
			json.Unmarshal(c.Data, &g)
			if o.received[key] == "" {
				o.reportedGap += g.Attempts
			}
			o.received[key] = "gap"
			continue
		}
		var u UsageData
		json.Unmarshal(c.Data, &u)
		if o.received[key] != "" {
			continue // as a receiver drops it
		}
		o.received[key] = u.Request
		if _, ok := o.byName[u.Request]; ok {
			o.duplicates = append(o.duplicates, u.Request)
		}
		o.byName[u.Request] = u
	}
	if o.durable > 0 {
		o.do(o.outbox.Handle(Acknowledged{uint64(o.durable)}))
	}
}

func (o *simulation) verdict() string {
	if len(o.duplicates) > 0 {
		return fmt.Sprintf("%v exported twice", o.duplicates)
	}
	for name, coverage := range o.sent {
		u, ok := o.byName[name]
		switch {
		case coverage == covered && !ok:
			return name + " left and is not exported"
		case coverage == uncovered && ok:
			return name + " was sent uncovered and is exported"
		case ok && !u.Estimated && u.Units != o.atServer[name]:
			return fmt.Sprintf("%s is exported at %v, the server answered %v", name, u.Units, o.atServer[name])
		}
	}
	for name, u := range o.byName {
		if o.sent[name] == 0 && u.Outcome != OutcomeGatewayEnded.String() {
			return name + " never left and is exported"
		}
		if o.denied[name] && o.sent[name] == 0 && u.Outcome != OutcomeGatewayEnded.String() {
			return name + " was denied and is exported"
		}
	}
	return ""
}

// TestExactlyOnce checks the outbox against a model: with crashes at any point, with a log that fails and one that is
// full, the receiver gets each attempt that left once, at the units that its server answered, and no other. The model
// is itself checked with faults that it must find.
func TestExactlyOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if s := play(rt, noFault); s != "" {
			rt.Fatal(s)
		}
	})
	for f, name := range map[plantedFault]string{
		lostSync:          "a lost sync",
		reusedIncarnation: "keys that come again",
		lostIntent:        "a forgotten intent",
	} {
		found := 0
		rapid.Check(t, func(rt *rapid.T) {
			if play(rt, f) != "" {
				found++
			}
		})
		if found == 0 {
			t.Errorf("the model does not find %s", name)
		}
	}
}

// play runs a simulation with random steps to its end. It returns what is wrong, or nothing.
func play(rt *rapid.T, f plantedFault) string {
	seed := rapid.Int64().Draw(rt, "seed")
	policy := rapid.SampledFrom([]Policy{PolicyReject, PolicyServe}).Draw(rt, "policy")
	o := newSimulation(seed, policy, f)
	for range rapid.IntRange(1, 60).Draw(rt, "steps") {
		switch rapid.IntRange(0, 13).Draw(rt, "what") {
		case 0, 1, 2:
			o.attempt()
		case 3, 4:
			o.sync()
		case 5, 6:
			o.settleOne(OutcomeAnswered)
		case 7:
			o.settleOne(OutcomeUnanswered)
		case 8:
			o.settleOne(OutcomeNeverRan)
		case 9:
			o.deliver()
		case 10:
			o.crash()
		case 11:
			o.takeSnapshot()
		case 12:
			if !o.broken && f == noFault {
				o.broken = true
				o.do(o.outbox.Handle(LogStatus{"no space"}))
			} else if o.broken {
				o.broken = false
				o.do(o.outbox.Handle(LogStatus{""}))
			}
		case 13:
			o.full = !o.full && f == noFault
		}
	}
	if o.full = false; o.broken { // of a log that was only full no status tells that it works again
		o.broken = false
		o.do(o.outbox.Handle(LogStatus{""}))
	}
	o.sync()
	for id := range o.inFlight {
		o.answered(id)
	}
	o.sync()
	o.deliver()
	if s := o.unsettled(); f == noFault && s != "" {
		return s
	}
	o.crash()
	o.deliver()
	return o.verdict()
}
