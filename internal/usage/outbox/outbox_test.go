package outbox

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fault is planted to try the model.
type fault int

const (
	none     fault = iota
	lostSync       // what is told to be durable is lost by a crash
	sameLife       // a new life takes the number of the former: keys come again
	noIntent       // a try leaves without its intent
)

// office is a desk over a log, with nodes and a receiver, that crashes.
type office struct {
	fault   fault
	rng     *rand.Rand
	policy  Policy
	desk    *Outbox
	log     [][]byte // records; the number of the first is 1
	durable int
	synced  int // what a crash leaves
	snap    []byte
	snapTo  int
	broken  bool
	full    bool
	next    ID
	names   map[ID]string
	out     map[ID]bool    // at the nodes
	left    map[string]int // tries of which bytes left: by name, 1 covered, 2 let pass uncovered, 3 with an intent that was not durable
	denied  map[string]bool
	answers map[string]float64 // settled at that size, durably
	atNode  map[string]float64
	seen    map[string]string // receiver: key -> name
	byName  map[string]UsageData
	twice   []string
	gapped  uint64
	tries   int
}

func newOffice(seed int64, p Policy, f fault) *office {
	o := &office{fault: f, rng: rand.New(rand.NewSource(seed)), policy: p, names: map[ID]string{}, out: map[ID]bool{}, left: map[string]int{},
		denied: map[string]bool{}, answers: map[string]float64{}, atNode: map[string]float64{}, seen: map[string]string{}, byName: map[string]UsageData{}}
	o.start()
	return o
}

func (o *office) start() {
	life := uint64(0)
	o.desk = New(Settings{Policy: o.policy, Incarnation: life})
	if o.snap != nil {
		if err := o.desk.RestoreSnapshot(o.snap); err != nil {
			panic(err)
		}
	}
	for i := o.snapTo; i < len(o.log); i++ {
		if err := o.desk.Restore(uint64(i+1), o.log[i]); err != nil {
			panic(err)
		}
	}
	if o.fault == sameLife {
		o.desk.lastIncarnation = 6
	}
	o.broken, o.full = false, false
	o.do(o.desk.Start(7))
	o.sync()
}

func (o *office) do(acts []Action) {
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
				o.do(o.desk.Handle(ev))
			}
			if o.fault == noIntent && len(a.Payload) > 0 && a.Payload[0] == recordIntent && ev.Failure == "" {
				o.log[len(o.log)-1] = []byte{recordIncarnation, 1}
			}
		case Release:
			o.out[a.ID] = true
			o.left[o.names[a.ID]] = 1
			switch {
			case !o.desk.attempts[a.ID].covered:
				o.left[o.names[a.ID]] = 2
			case o.broken: // let pass though its intent was not durable: a crash now may lose it
				o.left[o.names[a.ID]] = 3
			}
		case Deny:
			o.denied[o.names[a.ID]] = true
			o.do(o.desk.Handle(Settle{ID: a.ID, Outcome: OutcomeNeverRan}))
		}
	}
}

// sync makes all durable.
func (o *office) sync() {
	if o.broken {
		return
	}
	o.durable = len(o.log)
	if o.fault != lostSync {
		o.synced = o.durable
	}
	o.do(o.desk.Handle(Durable{uint64(o.durable)}))
}

func (o *office) try() {
	o.next++
	o.tries++
	name := fmt.Sprint("t", o.tries)
	o.names[o.next] = name
	o.do(o.desk.Handle(RecordIntent{ID: o.next, HasRoom: !o.full, Attempt: Attempt{Request: name, Member: "m", Units: 1}}))
}

// answered ends a try that is out as it should end.
func (o *office) answered(id ID) {
	delete(o.out, id)
	o.atNode[o.names[id]] = 4
	o.do(o.desk.Handle(Settle{ID: id, Outcome: OutcomeAnswered, UsedUnits: 4}))
}

// early finds what is owed though the log works and has room, before any crash brings it up as an orphan; and numbers
// that were left out.
func (o *office) early() string {
	if n := o.desk.Unsettled(); n > 0 {
		return fmt.Sprintf("%d tries are still owed", n)
	}
	next := map[string]int{}
	for _, r := range o.log {
		rec, err := parseRecord(r)
		if err != nil {
			return err.Error()
		}
		life, seq := rec.settlement.Incarnation, rec.settlement.Sequence
		if rec.kind == recordGap {
			life, seq = rec.gap.Incarnation, rec.gap.Sequence
		}
		if seq == 0 {
			continue
		}
		k := fmt.Sprint(life)
		if next[k]++; int(seq) != next[k] {
			return fmt.Sprintf("life %s: number %d stands where %d is due", k, seq, next[k])
		}
	}
	return ""
}

func (o *office) settle(ranked Outcome) {
	for id := range o.out {
		delete(o.out, id)
		used := 1.0
		if ranked == OutcomeAnswered {
			used = float64(2 + o.rng.Intn(5))
			o.atNode[o.names[id]] = used
		}
		if ranked == OutcomeNeverRan {
			delete(o.left, o.names[id]) // it provably never left
		}
		o.do(o.desk.Handle(Settle{ID: id, Outcome: ranked, UsedUnits: used}))
		return
	}
}

// crash ends a life: what was not synced is lost, if the machine goes down; else only what was not written, which is
// what a kill may take.
func (o *office) crash() {
	keep := o.synced
	if o.fault != lostSync && o.rng.Intn(2) == 0 {
		keep += o.rng.Intn(len(o.log) - o.synced + 1)
	}
	if o.fault == lostSync {
		keep = o.synced
	}
	o.log = o.log[:max(keep, o.snapTo)]
	o.synced, o.durable = len(o.log), len(o.log)
	o.out, o.names = map[ID]bool{}, map[ID]string{}
	o.start()
}

func (o *office) snapshot() {
	if o.fault == none && !o.broken {
		o.sync()
		o.snap, o.snapTo = o.desk.Snapshot(), len(o.log)
	}
}

// ship sends what is durable, most events again now and then.
func (o *office) ship() {
	from := int(o.desk.LastAcknowledged())
	if o.rng.Intn(3) == 0 {
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
			if o.seen[key] == "" {
				o.gapped += g.Attempts
			}
			o.seen[key] = "gap"
			continue
		}
		var u UsageData
		json.Unmarshal(c.Data, &u)
		if o.seen[key] != "" {
			continue // as a receiver drops it
		}
		o.seen[key] = u.Request
		if _, ok := o.byName[u.Request]; ok {
			o.twice = append(o.twice, u.Request)
		}
		o.byName[u.Request] = u
	}
	if o.durable > 0 {
		o.do(o.desk.Handle(Acknowledged{uint64(o.durable)}))
	}
}

func (o *office) verdict() string {
	if len(o.twice) > 0 {
		return fmt.Sprintf("%v exported twice", o.twice)
	}
	for name, how := range o.left {
		u, ok := o.byName[name]
		switch {
		case how == 1 && !ok:
			return name + " left and is not exported"
		case how == 2 && ok:
			return name + " was let pass uncovered and is exported"
		case ok && !u.Estimated && u.Units != o.atNode[name]:
			return fmt.Sprintf("%s is exported at %v, the node answered %v", name, u.Units, o.atNode[name])
		}
	}
	for name, u := range o.byName {
		if o.left[name] == 0 && u.Outcome != OutcomeGatewayEnded.String() {
			return name + " never left and is exported"
		}
		if o.denied[name] && o.left[name] == 0 && u.Outcome != OutcomeGatewayEnded.String() {
			return name + " was denied and is exported"
		}
	}
	return ""
}

// TestExactlyOnce is a model check of crashes at any point, of a log that fails and of one that is full.
func TestExactlyOnce(t *testing.T) {
	play := func(rt *rapid.T, f fault) string {
		o := newOffice(rapid.Int64().Draw(rt, "seed"), rapid.SampledFrom([]Policy{PolicyReject, PolicyServe}).Draw(rt, "policy"), f)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 13).Draw(rt, "what") {
			case 0, 1, 2:
				o.try()
			case 3, 4:
				o.sync()
			case 5, 6:
				o.settle(OutcomeAnswered)
			case 7:
				o.settle(OutcomeUnanswered)
			case 8:
				o.settle(OutcomeNeverRan)
			case 9:
				o.ship()
			case 10:
				o.crash()
			case 11:
				o.snapshot()
			case 12:
				if !o.broken && f == none {
					o.broken = true
					o.do(o.desk.Handle(LogStatus{"no space"}))
				} else if o.broken {
					o.broken = false
					o.do(o.desk.Handle(LogStatus{""}))
				}
			case 13:
				o.full = !o.full && f == none
			}
		}
		if o.full = false; o.broken { // a log that was only full is not said to work again
			o.broken = false
			o.do(o.desk.Handle(LogStatus{""}))
		}
		o.sync()
		for id := range o.out {
			o.answered(id)
		}
		o.sync()
		o.ship()
		if s := o.early(); f == none && s != "" {
			return s
		}
		o.crash()
		o.ship()
		return o.verdict()
	}
	rapid.Check(t, func(rt *rapid.T) {
		if s := play(rt, none); s != "" {
			rt.Fatal(s)
		}
	})
	for f, name := range map[fault]string{lostSync: "a lost sync", sameLife: "keys that come again", noIntent: "a forgotten intent"} {
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

// TestGapIsTold serves while the log fails, and tells the receiver how much once it works again.
func TestGapIsTold(t *testing.T) {
	o := newOffice(1, PolicyServe, none)
	o.broken = true
	o.do(o.desk.Handle(LogStatus{"no space"}))
	for range 3 {
		o.try()
		o.settle(OutcomeAnswered)
	}
	if o.desk.Rejecting(true) || o.desk.Counts.UncoveredAttempts != 3 {
		t.Errorf("%+v", o.desk.Counts)
	}
	o.broken = false
	o.do(o.desk.Handle(LogStatus{""}))
	o.sync()
	o.ship()
	if o.gapped != 3 {
		t.Errorf("%d tries told as not covered, want 3", o.gapped)
	}
	o = newOffice(1, PolicyReject, none)
	o.do(o.desk.Handle(LogStatus{"no space"}))
	o.try()
	if !o.desk.Rejecting(true) || !o.denied["t1"] || !New(Settings{}).Rejecting(false) {
		t.Error("a try is let pass that the log can't cover")
	}
}

// TestLife takes a life above all in the log, whatever the clock gives for it: one that stepped back would else give
// keys again.
func TestLife(t *testing.T) {
	d := New(Settings{Incarnation: 5})
	for i, a := range New(Settings{Incarnation: 9}).Start(1) {
		if err := d.Restore(uint64(i+1), a.(Append).Payload); err != nil {
			t.Fatal(err)
		}
	}
	if d.Start(1); d.Incarnation() != 10 {
		t.Errorf("life %d, want 10", d.Incarnation())
	}
}

func TestEncode(t *testing.T) {
	s := Settlement{Attempt: Attempt{Request: "r", Number: 2, Member: "m", Plan: "p", Class: "k", Server: "n:1", Units: 1, Reserved: true},
		Intent: 4, Incarnation: 9, Sequence: 17, Outcome: OutcomeUnanswered, UsedUnits: 1.5, WallTime: 1e18}
	ev, ok, err := EncodeEvent("a fleet", 3, 5, s.append(nil))
	want := `{"specversion":"1.0","id":"17","source":"/winghatch/a%20fleet/gateway/3/life/9","type":"winghatch.use.v1",` +
		`"time":"2001-09-09T01:46:40Z","subject":"m","datacontenttype":"application/json","data":{"request":"r","attempt":2,` +
		`"member":"m","plan":"p","class":"k","node":"n:1","units":1.5,"guess":true,"outcome":"unanswered","reserved":true}}`
	if !ok || err != nil || string(ev.JSON) != want || ev.Record != 5 {
		t.Errorf("%s %v %v\nwant %s", ev.JSON, ok, err, want)
	}
	raw := s.append(nil)
	for n := 1; n < len(raw); n++ {
		if _, err := parseRecord(raw[:n]); err == nil {
			t.Fatalf("cut at %d of %d it is a record", n, len(raw))
		}
	}
}

// drive runs a shipper until it is idle; status answers each batch.
func drive(t *testing.T, s *Delivery, log []string, status func(batch []UsageEvent) PostResult) (acks []uint64, slept []time.Duration, aside []string) {
	t.Helper()
	var ev DeliveryEvent = Start{}
	for range 10000 {
		for _, a := range s.Handle(ev) {
			switch a := a.(type) {
			case Acknowledge:
				acks = append(acks, a.Record)
			case Fetch:
				f := Fetched{LastRecord: a.After}
				for i := int(a.After); i < len(log) && len(f.Events) < a.MaxEvents; i++ {
					f.LastRecord = uint64(i + 1)
					if log[i] != "" {
						f.Events = append(f.Events, UsageEvent{uint64(i + 1), []byte(log[i])})
					}
				}
				ev = f
			case Post:
				ev = status(a.Events)
			case StoreDeadLetter:
				aside = append(aside, string(a.Event.JSON))
				ev = DeadLetterStored{}
			case Wait:
				slept = append(slept, a.Duration)
				if a.Idle {
					return
				}
				ev = WaitEnded{}
			}
		}
	}
	t.Fatal("the shipper never rests")
	return
}

// TestOneBadEvent finds the event that a 400 is for, sets it aside, and sends all others once each.
func TestOneBadEvent(t *testing.T) {
	for size := 1; size <= 40; size++ {
		for bad := range size {
			var log []string
			for i := range size {
				log = append(log, fmt.Sprint("e", i), "") // between them records that are no events
			}
			have := map[string]int{}
			acks, _, aside := drive(t, NewDelivery(DeliverySettings{BatchSize: 16}), log, func(b []UsageEvent) PostResult {
				for _, e := range b {
					if string(e.JSON) == fmt.Sprint("e", bad) {
						return PostResult{Status: 400, BodySent: true}
					}
				}
				for _, e := range b {
					have[string(e.JSON)]++
				}
				return PostResult{Status: 202, BodySent: true}
			})
			if len(aside) != 1 || aside[0] != fmt.Sprint("e", bad) || len(have) != size-1 || acks[len(acks)-1] < uint64(2*size-1) {
				t.Fatalf("%d events, bad %d: %v aside, %d sent, acks %v", size, bad, aside, len(have), acks)
			}
			for e, n := range have {
				if n != 1 {
					t.Fatalf("%d events, bad %d: %s sent %d times", size, bad, e, n)
				}
			}
			for i := 1; i < len(acks); i++ {
				if acks[i] < acks[i-1] {
					t.Fatalf("acks %v", acks)
				}
			}
		}
	}
}

// TestQuietAck acknowledges records that are no events by many only: an acknowledgement is such a record.
func TestQuietAck(t *testing.T) {
	s := NewDelivery(DeliverySettings{BatchSize: 10})
	acks := 0
	for to := uint64(1); to <= 3*idleAckRecords; to++ {
		for _, a := range s.Handle(Fetched{LastRecord: to}) {
			if _, ok := a.(Acknowledge); ok {
				acks++
			}
		}
	}
	if acks != 3 {
		t.Errorf("%d acknowledgements of %d records that are no events, want 3", acks, 3*idleAckRecords)
	}
}

// TestBackoff tries again what is no fault of an event, ever more slowly, and waits as long as it is asked to.
func TestBackoff(t *testing.T) {
	for _, p := range []PostResult{{Status: 500, BodySent: true}, {Status: 503, BodySent: true}, {Status: 0, Reason: "refused"}, {Status: 200, BodySent: false},
		{Status: 302, BodySent: true}, {Status: 404, BodySent: true}, {Status: 401, BodySent: true}} {
		n := 0
		acks, slept, aside := drive(t, NewDelivery(DeliverySettings{BatchSize: 5, Seed: 3}), []string{"a", "b"}, func([]UsageEvent) PostResult {
			if n++; n < 12 {
				return p
			}
			return PostResult{Status: 200, BodySent: true}
		})
		if n != 12 || len(acks) != 1 || acks[0] != 2 || len(aside) > 0 {
			t.Errorf("%+v: %d posts, acks %v, aside %v", p, n, acks, aside)
		}
		if slept[0] < minBackoff/2 || slept[10] < maxBackoff/2 || slept[10] > maxBackoff {
			t.Errorf("%+v: slept %v", p, slept)
		}
	}
	n := 0
	_, slept, _ := drive(t, NewDelivery(DeliverySettings{BatchSize: 5}), []string{"a"}, func([]UsageEvent) PostResult {
		if n++; n == 1 {
			return PostResult{Status: 429, RetryAfter: 7 * time.Second, BodySent: true}
		}
		if n == 2 {
			return PostResult{Status: 429, RetryAfter: 7 * time.Hour, BodySent: true}
		}
		return PostResult{Status: 200, BodySent: true}
	})
	if slept[0] != 7*time.Second || slept[1] != maxRetryAfter {
		t.Errorf("slept %v, want what was asked, up to %v", slept, maxRetryAfter)
	}
	if !strings.HasPrefix(EventSource("f/x", 1, 2), "/winghatch/f%2Fx/") {
		t.Error(EventSource("f/x", 1, 2))
	}
}

func FuzzParse(f *testing.F) {
	s := Settlement{Attempt: Attempt{Request: "r"}, Sequence: 1}
	f.Add(s.append(nil))
	f.Add(append([]byte{recordIntent}, s.Attempt.append(nil)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		parseRecord(b)
		EncodeEvent("f", 1, 1, b)
		New(Settings{}).RestoreSnapshot(b)
	})
}
