package outbox

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

// injectedFault is a fault of the outbox or its log that the model must detect.
type injectedFault int

const (
	noFault           injectedFault = iota
	lostSync                        // a crash loses records that were reported as durable
	reusedIncarnation               // an incarnation reuses the number of the previous one, so keys repeat
	lostIntent                      // an attempt is sent without its intent in the log
)

// coverage states whether the intent of an attempt was in the log when the attempt was sent.
type coverage int

const (
	covered    coverage = iota + 1 // the intent was durable
	uncovered                      // the intent was not in the log
	notDurable                     // the intent was in the log, but a crash may lose it
)

// simulation is a model of an outbox with its log, servers and receiver, including crashes.
type simulation struct {
	fault       injectedFault
	random      *rand.Rand
	policy      Policy
	outbox      *Outbox
	log         [][]byte // records; the first one has number 1
	durable     int      // number of records reported as durable
	synced      int      // number of records that survive a crash of the machine
	snapshot    []byte   // nil if there is none
	snapshotAt  int      // number of records that snapshot covers
	broken      bool     // the log cannot be written
	full        bool     // the log has no space
	lastID      AttemptID
	names       map[AttemptID]string // names of the attempts of this incarnation
	inFlight    map[AttemptID]bool   // attempts that the servers are processing
	sent        map[string]coverage  // attempts that were sent, by name
	denied      map[string]bool      // attempts that were denied, by name
	atServer    map[string]float64   // units that the servers reported, by attempt name
	received    map[string]string    // attempt names of the events that the receiver has, by event key
	byName      map[string]UsageData // events that the receiver has, by attempt name
	duplicates  []string             // names of attempts that were exported with two keys
	reportedGap uint64               // number of attempts in the gaps that the receiver has
	attempts    int                  // number of attempts so far
}

// newSimulation returns a simulation whose first incarnation is started.
func newSimulation(seed int64, policy Policy, fault injectedFault) *simulation {
	s := &simulation{
		fault:    fault,
		random:   rand.New(rand.NewSource(seed)),
		policy:   policy,
		names:    map[AttemptID]string{},
		inFlight: map[AttemptID]bool{},
		sent:     map[string]coverage{},
		denied:   map[string]bool{},
		atServer: map[string]float64{},
		received: map[string]string{},
		byName:   map[string]UsageData{},
	}
	s.start()
	return s
}

// start recovers the outbox from the snapshot and the log, and starts an incarnation.
func (s *simulation) start() {
	s.outbox = New(Settings{Policy: s.policy})
	if s.snapshot != nil {
		if err := s.outbox.RestoreSnapshot(s.snapshot); err != nil {
			panic(err)
		}
	}
	for i := s.snapshotAt; i < len(s.log); i++ {
		if err := s.outbox.Restore(uint64(i+1), s.log[i]); err != nil {
			panic(err)
		}
	}
	if s.fault == reusedIncarnation {
		s.outbox.lastIncarnation = 6
	}
	s.broken, s.full = false, false
	s.do(s.outbox.Start(7))
	s.sync()
}

// do carries out actions of the outbox.
func (s *simulation) do(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Append:
			event := Appended{ID: action.ID}
			if s.full || s.broken {
				event.Failure = "no space"
			} else {
				s.log = append(s.log, action.Payload)
				event.Record = uint64(len(s.log))
			}
			if action.ID != 0 {
				s.do(s.outbox.Handle(event))
			}
			if s.fault == lostIntent && len(action.Payload) > 0 && action.Payload[0] == kindIntent &&
				event.Failure == "" {
				s.log[len(s.log)-1] = []byte{kindIncarnation, 1}
			}
		case Release:
			s.inFlight[action.ID] = true
			s.sent[s.names[action.ID]] = covered
			switch {
			case !s.outbox.attempts[action.ID].covered:
				s.sent[s.names[action.ID]] = uncovered
			case s.broken:
				s.sent[s.names[action.ID]] = notDurable
			}
		case Deny:
			s.denied[s.names[action.ID]] = true
			s.do(s.outbox.Handle(Settle{ID: action.ID, Outcome: OutcomeNeverRan}))
		}
	}
}

// sync makes all records durable, unless the log cannot be written.
func (s *simulation) sync() {
	if s.broken {
		return
	}
	s.durable = len(s.log)
	if s.fault != lostSync {
		s.synced = s.durable
	}
	s.do(s.outbox.Handle(Durable{uint64(s.durable)}))
}

// attempt starts a new attempt.
func (s *simulation) attempt() {
	s.lastID++
	s.attempts++
	name := fmt.Sprint("t", s.attempts)
	s.names[s.lastID] = name
	attempt := Attempt{Request: name, Member: "m", Units: 1}
	s.do(s.outbox.Handle(RecordIntent{ID: s.lastID, LogHasSpace: !s.full, Attempt: attempt}))
}

// answer ends an attempt in flight with a response.
func (s *simulation) answer(id AttemptID) {
	delete(s.inFlight, id)
	s.atServer[s.names[id]] = 4
	s.do(s.outbox.Handle(Settle{ID: id, Outcome: OutcomeAnswered, UsedUnits: 4}))
}

// unsettled returns a description of attempts that are not settled although the log works and has space, or
// of sequence numbers that were left out; empty if there are none. It is called before a crash turns
// unsettled attempts into orphans.
func (s *simulation) unsettled() string {
	if n := s.outbox.Unsettled(); n > 0 {
		return fmt.Sprintf("%d attempts are not settled", n)
	}
	next := map[string]int{}
	for _, payload := range s.log {
		record, err := parseRecord(payload)
		if err != nil {
			return err.Error()
		}
		incarnation, sequence := record.settlement.Incarnation, record.settlement.Sequence
		if record.kind == kindGap {
			incarnation, sequence = record.gap.Incarnation, record.gap.Sequence
		}
		if sequence == 0 {
			continue
		}
		key := fmt.Sprint(incarnation)
		if next[key]++; int(sequence) != next[key] {
			return fmt.Sprintf("incarnation %s: sequence number %d, want %d", key, sequence, next[key])
		}
	}
	return ""
}

// settleOne ends one attempt in flight, if there is any.
func (s *simulation) settleOne(outcome Outcome) {
	for id := range s.inFlight {
		delete(s.inFlight, id)
		used := 1.0
		if outcome == OutcomeAnswered {
			used = float64(2 + s.random.Intn(5))
			s.atServer[s.names[id]] = used
		}
		if outcome == OutcomeNeverRan {
			delete(s.sent, s.names[id]) // it did not run, so it must not be exported
		}
		s.do(s.outbox.Handle(Settle{ID: id, Outcome: outcome, UsedUnits: used}))
		return
	}
}

// crash ends an incarnation and starts the next one. A crash of the machine loses all records that were not
// synced. A kill of the process may keep any number of them.
func (s *simulation) crash() {
	keep := s.synced
	if s.fault != lostSync && s.random.Intn(2) == 0 {
		keep += s.random.Intn(len(s.log) - s.synced + 1)
	}
	if s.fault == lostSync {
		keep = s.synced
	}
	s.log = s.log[:max(keep, s.snapshotAt)]
	s.synced, s.durable = len(s.log), len(s.log)
	s.inFlight, s.names = map[AttemptID]bool{}, map[AttemptID]string{}
	s.start()
}

// takeSnapshot stores a snapshot of the outbox, unless a fault is injected or the log cannot be written.
func (s *simulation) takeSnapshot() {
	if s.fault == noFault && !s.broken {
		s.sync()
		s.snapshot, s.snapshotAt = s.outbox.Snapshot(), len(s.log)
	}
}

// deliver sends the events of all durable records that are not acknowledged. Sometimes it also sends events
// that the receiver already has.
func (s *simulation) deliver() {
	from := int(s.outbox.LastAcknowledged())
	if s.random.Intn(3) == 0 {
		from = 0 // an acknowledgement was lost
	}
	for i := from; i < s.durable; i++ {
		event, hasEvent, err := EncodeEvent("f", 3, uint64(i+1), s.log[i])
		if err != nil {
			panic(err)
		}
		if !hasEvent {
			continue
		}
		var decoded struct {
			ID, Source, Type string
			Data             json.RawMessage
		}
		if err := json.Unmarshal(event.JSON, &decoded); err != nil {
			panic(err)
		}
		key := decoded.Source + " " + decoded.ID
		if decoded.Type == TypeGap {
			var gap GapData
			json.Unmarshal(decoded.Data, &gap)
			if s.received[key] == "" {
				s.reportedGap += gap.Attempts
			}
			s.received[key] = "gap"
			continue
		}
		var usage UsageData
		json.Unmarshal(decoded.Data, &usage)
		if s.received[key] != "" {
			continue // the receiver drops duplicates
		}
		s.received[key] = usage.Request
		if _, ok := s.byName[usage.Request]; ok {
			s.duplicates = append(s.duplicates, usage.Request)
		}
		s.byName[usage.Request] = usage
	}
	if s.durable > 0 {
		s.do(s.outbox.Handle(Acknowledged{uint64(s.durable)}))
	}
}

// verdict compares the events at the receiver with the attempts that were sent. It returns a description of
// the first difference, or an empty string.
func (s *simulation) verdict() string {
	if len(s.duplicates) > 0 {
		return fmt.Sprintf("%v exported twice", s.duplicates)
	}
	for name, coverage := range s.sent {
		usage, exported := s.byName[name]
		switch {
		case coverage == covered && !exported:
			return name + " was sent but not exported"
		case coverage == uncovered && exported:
			return name + " was sent without an intent but exported"
		case exported && !usage.Estimated && usage.Units != s.atServer[name]:
			return fmt.Sprintf("%s was exported with %v units, the server reported %v", name, usage.Units,
				s.atServer[name])
		}
	}
	for name, usage := range s.byName {
		if s.sent[name] == 0 && usage.Outcome != OutcomeGatewayEnded.String() {
			return name + " was not sent but exported"
		}
		if s.denied[name] && s.sent[name] == 0 && usage.Outcome != OutcomeGatewayEnded.String() {
			return name + " was denied but exported"
		}
	}
	return ""
}

// TestExactlyOnceExport checks the outbox against a model with crashes at any point, a log that cannot be
// written and a full log. The receiver must get each attempt that was sent exactly once, with the units that
// its server reported, and no other attempt. The model itself is verified with injected faults that it must
// detect.
func TestExactlyOnceExport(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if problem := runSimulation(rt, noFault); problem != "" {
			rt.Fatal(problem)
		}
	})
	for fault, name := range map[injectedFault]string{
		lostSync:          "a lost sync",
		reusedIncarnation: "repeated event keys",
		lostIntent:        "a lost intent",
	} {
		found := 0
		rapid.Check(t, func(rt *rapid.T) {
			if runSimulation(rt, fault) != "" {
				found++
			}
		})
		if found == 0 {
			t.Errorf("the model did not detect %s", name)
		}
	}
}

// runSimulation runs a simulation with random steps to its end. It returns a description of what went wrong,
// or an empty string.
func runSimulation(rt *rapid.T, fault injectedFault) string {
	seed := rapid.Int64().Draw(rt, "seed")
	policy := rapid.SampledFrom([]Policy{PolicyReject, PolicyServe}).Draw(rt, "policy")
	s := newSimulation(seed, policy, fault)
	for range rapid.IntRange(1, 60).Draw(rt, "steps") {
		switch rapid.IntRange(0, 13).Draw(rt, "step") {
		case 0, 1, 2:
			s.attempt()
		case 3, 4:
			s.sync()
		case 5, 6:
			s.settleOne(OutcomeAnswered)
		case 7:
			s.settleOne(OutcomeUnanswered)
		case 8:
			s.settleOne(OutcomeNeverRan)
		case 9:
			s.deliver()
		case 10:
			s.crash()
		case 11:
			s.takeSnapshot()
		case 12:
			if !s.broken && fault == noFault {
				s.broken = true
				s.do(s.outbox.Handle(LogStatus{"no space"}))
			} else if s.broken {
				s.broken = false
				s.do(s.outbox.Handle(LogStatus{""}))
			}
		case 13:
			s.full = !s.full && fault == noFault
		}
	}
	if s.full = false; s.broken { // there is no LogStatus for a log that was only full
		s.broken = false
		s.do(s.outbox.Handle(LogStatus{""}))
	}
	s.sync()
	for id := range s.inFlight {
		s.answer(id)
	}
	s.sync()
	s.deliver()
	if problem := s.unsettled(); fault == noFault && problem != "" {
		return problem
	}
	s.crash()
	s.deliver()
	return s.verdict()
}
