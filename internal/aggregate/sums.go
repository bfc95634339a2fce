// Package sums adds up what all gateways counted, per member and per class. Each name has two homes among the gateways,
// the same at every one; every gateway tells both its totals, from its start on, and each home adds what they grew by. There is
// nothing to elect and nothing to hand over: the second home sums all along. The package does no I/O, reads no clock and
// starts no goroutine.
package aggregate

import (
	"encoding/binary"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	minReportInterval   = 5 * time.Second // totals are told so often, or less often where there are many gateways
	maxCapacityFraction = 0.1             // of the stated intake is for totals
	changeRepeats       = 3               // beats for which a total that has changed is told: words may be lost
	refreshCount        = 8               // totals that have not changed are told again in turn, so many a beat and home
	ownerCount          = 2
	maxMessageBytes     = 1000 // of a message
)

// Totals are what a gateway counted of one name.
type Totals struct {
	Served, Rejected, Failed uint64
	Units                    float64
}

func (t *Totals) add(o Totals) {
	t.Served += o.Served
	t.Rejected += o.Rejected
	t.Failed += o.Failed
	t.Units += o.Units
}

// less reports whether any total is smaller: then the other is an older word.
func (t Totals) less(o Totals) bool {
	return t.Served < o.Served || t.Rejected < o.Rejected || t.Failed < o.Failed || t.Units < o.Units
}

func (t Totals) minus(o Totals) Totals {
	return Totals{t.Served - o.Served, t.Rejected - o.Rejected, t.Failed - o.Failed, t.Units - o.Units}
}

// Name is a member or a class.
type Key struct {
	Class bool
	Name  string
}

func (n Key) hash() uint64 {
	kind := "m/"
	if n.Class {
		kind = "c/"
	}
	return xxhash.Sum64String(kind + n.Name)
}

// Settings are what a summer starts from. Names are those of the settings; what is told of others is passed over.
type Settings struct {
	Rank, Gateways int
	Keys           []Key
	Incarnation    uint64  // differs from life to life
	GossipCapacity float64 // messages a second that a gateway takes in
	Seed           int64
}

// Send tells another gateway.
type Send struct {
	To   int
	Data []byte
}

// own is a name as this gateway counts it.
type localTotals struct {
	Totals
	key     Key
	hash    uint64
	repeats int // beats for which it is told
}

// sum is a name whose home this gateway is.
type ownedTotals struct {
	Totals
	key      Key
	primary  bool // its first home
	reported map[int]*reportedTotals
}

// told is what one gateway last said of a name.
type reportedTotals struct {
	Totals
	incarnation uint64
}

// life is one of another gateway. Of a whole one this gateway heard the first word, or was there before it: whatever it
// counted counts here, also of a name that it had nothing to tell of at first.
type incarnation struct {
	id       uint64
	complete bool
}

// Summer is a gateway's. It is not safe for concurrent use.
type Aggregator struct {
	settings     Settings
	random       *rand.Rand
	now          time.Duration
	startedAt    time.Duration
	started      bool
	reportAt     time.Duration
	sequence     map[int]uint32      // of the words to each home
	incarnations map[int]incarnation // of the others, as heard
	local        map[Key]*localTotals
	localInOrder []*localTotals
	refreshTurn  map[int]int // where the refresh of each home stands
	owned        map[uint64]*ownedTotals
	names        map[uint64]Key
}

// New returns a summer that has counted nothing.
func New(s Settings) *Aggregator {
	x := &Aggregator{settings: s, random: rand.New(rand.NewSource(s.Seed)), sequence: map[int]uint32{}, incarnations: map[int]incarnation{}, local: map[Key]*localTotals{}, refreshTurn: map[int]int{}, owned: map[uint64]*ownedTotals{}, names: map[uint64]Key{}}
	for _, n := range s.Keys {
		h := n.hash()
		x.names[h] = n
		for i := range ownerCount {
			if x.owner(h, i) == s.Rank && (i == 0 || x.owner(h, 0) != s.Rank) {
				x.owned[h] = &ownedTotals{key: n, primary: i == 0, reported: map[int]*reportedTotals{}}
			}
		}
	}
	return x
}

// home is the number of the nth gateway that sums a name.
func (a *Aggregator) owner(h uint64, n int) int {
	g := uint64(a.settings.Gateways)
	first := h % g
	if n == 0 || g < 2 {
		return int(first)
	}
	return int((first + 1 + h>>20%(g-1)) % g)
}

// Beat is how often totals are told, so that all gateways' words to one stay within its intake.
func (a *Aggregator) ReportInterval() time.Duration {
	if a.settings.GossipCapacity <= 0 {
		return minReportInterval
	}
	return max(minReportInterval, time.Duration(float64(a.settings.Gateways-1)/(maxCapacityFraction*a.settings.GossipCapacity)*float64(time.Second)))
}

func (a *Aggregator) advance(now time.Duration) {
	if a.now = max(a.now, now); !a.started {
		a.started, a.startedAt = true, a.now
		a.reportAt = a.now + time.Duration(a.random.Float64()*float64(a.ReportInterval()))
	}
}

// Add counts at this gateway.
func (a *Aggregator) Add(now time.Duration, n Key, t Totals) {
	a.advance(now)
	o := a.local[n]
	if o == nil {
		if _, ok := a.names[n.hash()]; !ok {
			return
		}
		o = &localTotals{key: n, hash: n.hash()}
		a.local[n] = o
		a.localInOrder = append(a.localInOrder, o)
	}
	o.Totals.add(t)
	o.repeats = changeRepeats
	if s := a.owned[o.hash]; s != nil {
		s.Totals.add(t)
	}
}

// Next is when Tick is due.
func (a *Aggregator) NextTick() time.Duration {
	if !a.started || a.settings.Gateways < 2 {
		return math.MaxInt64
	}
	return a.reportAt
}

// Messages, integers little-endian: life and the sender's age in ns of 8 bytes, its number of 4, then entries: hash of the name
// of 8, served, refused, failed as varints, units of 8 bytes of IEEE 754.
const headerBytes = 20

// Tick tells the totals that are due to be told.
func (a *Aggregator) Tick(now time.Duration) (out []Send) {
	a.advance(now)
	if a.now < a.reportAt {
		return nil
	}
	a.reportAt = a.now + time.Duration((0.9+0.2*a.random.Float64())*float64(a.ReportInterval()))
	byHome := map[int][]*localTotals{}
	for _, o := range a.localInOrder {
		for i := range min(ownerCount, a.settings.Gateways) {
			if to := a.owner(o.hash, i); to != a.settings.Rank && (i == 0 || to != a.owner(o.hash, 0)) {
				byHome[to] = append(byHome[to], o)
			}
		}
	}
	var ranks []int
	for to := range byHome {
		ranks = append(ranks, to)
	}
	slices.Sort(ranks)
	for _, to := range ranks {
		all := byHome[to]
		var due []*localTotals
		for _, o := range all {
			if o.repeats > 0 {
				due = append(due, o)
			}
		}
		for range min(refreshCount, len(all)) {
			a.refreshTurn[to]++
			if o := all[a.refreshTurn[to]%len(all)]; o.repeats == 0 {
				due = append(due, o)
			}
		}
		out = append(out, a.encodeReports(to, due)...)
	}
	for _, o := range a.localInOrder {
		o.repeats = max(0, o.repeats-1)
	}
	return out
}

func (a *Aggregator) encodeReports(to int, due []*localTotals) (out []Send) {
	if len(due) > 0 {
		a.sequence[to]++ // a beat with nothing to tell is no first word
	}
	head := binary.LittleEndian.AppendUint64(nil, a.settings.Incarnation)
	head = binary.LittleEndian.AppendUint64(head, uint64(a.now-a.startedAt))
	head = binary.LittleEndian.AppendUint32(head, a.sequence[to])
	b := slices.Clone(head)
	for _, o := range due {
		if len(b) > maxMessageBytes-50 {
			out = append(out, Send{to, b})
			b = slices.Clone(head)
		}
		b = binary.LittleEndian.AppendUint64(b, o.hash)
		b = binary.AppendUvarint(binary.AppendUvarint(binary.AppendUvarint(b, o.Served), o.Rejected), o.Failed)
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(o.Units))
	}
	if len(b) > headerBytes {
		out = append(out, Send{to, b})
	}
	return out
}

// Heard takes another gateway's totals. What is malformed is dropped from there on.
func (a *Aggregator) Receive(now time.Duration, from int, data []byte) {
	a.advance(now)
	if from < 0 || from >= a.settings.Gateways || from == a.settings.Rank || len(data) < headerBytes {
		return
	}
	id, age := binary.LittleEndian.Uint64(data), time.Duration(binary.LittleEndian.Uint64(data[8:]))
	l, known := a.incarnations[from]
	if known && id < l.id {
		return // a word of a former life, late
	}
	if !known || id != l.id {
		l = incarnation{id, age < a.now-a.startedAt || binary.LittleEndian.Uint32(data[16:]) == 1}
		a.incarnations[from] = l
	}
	for b := data[headerBytes:]; len(b) >= 8; {
		h := binary.LittleEndian.Uint64(b)
		var t Totals
		b = b[8:]
		for _, v := range []*uint64{&t.Served, &t.Rejected, &t.Failed} {
			a, n := binary.Uvarint(b)
			if n <= 0 {
				return
			}
			*v, b = a, b[n:]
		}
		if len(b) < 8 {
			return
		}
		t.Units, b = math.Float64frombits(binary.LittleEndian.Uint64(b)), b[8:]
		if !(t.Units >= 0) || math.IsInf(t.Units, 0) {
			return
		}
		if s := a.owned[h]; s != nil {
			mergeReport(s, from, l, t)
		}
	}
}

// learn adds what a gateway's totals grew by. Totals make words that are late, lost or come twice harmless. Of a name that was not
// heard of in this life all of it counts if the life is whole here; else its past was summed before this gateway began, by
// its former life or not at all, and only what comes from now on counts.
func mergeReport(s *ownedTotals, from int, l incarnation, t Totals) {
	k := s.reported[from]
	switch {
	case k != nil && k.incarnation == l.id:
		if t.less(k.Totals) {
			return
		}
		s.Totals.add(t.minus(k.Totals))
	case l.complete:
		s.Totals.add(t)
	}
	s.reported[from] = &reportedTotals{t, l.id}
}

// Sum is a name whose home this gateway is.
type FleetTotal struct {
	Key
	Primary bool // this is its first home; the other sums the same
	Totals
}

// Sums tells all of which something was counted, in order.
func (a *Aggregator) FleetTotals() (out []FleetTotal) {
	for _, s := range a.owned {
		if s.Totals != (Totals{}) {
			out = append(out, FleetTotal{s.key, s.primary, s.Totals})
		}
	}
	slices.SortFunc(out, func(a, b FleetTotal) int {
		switch {
		case a.Class != b.Class:
			if a.Class {
				return -1
			}
			return 1
		case a.Key.Name < b.Key.Name:
			return -1
		}
		return 1
	})
	return out
}
