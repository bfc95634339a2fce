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
	beatLeast  = 5 * time.Second // totals are told so often, or less often where there are many gateways
	intakePart = 0.1             // of the stated intake is for totals
	again      = 3               // beats for which a total that has changed is told: words may be lost
	refresh    = 8               // totals that have not changed are told again in turn, so many a beat and home
	homes      = 2
	maxBytes   = 1000 // of a message
)

// Totals are what a gateway counted of one name.
type Totals struct {
	Served, Refused, Failed uint64
	Units                   float64
}

func (t *Totals) add(o Totals) {
	t.Served += o.Served
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Units += o.Units
}

// less reports whether any total is smaller: then the other is an older word.
func (t Totals) less(o Totals) bool {
	return t.Served < o.Served || t.Refused < o.Refused || t.Failed < o.Failed || t.Units < o.Units
}

func (t Totals) minus(o Totals) Totals {
	return Totals{t.Served - o.Served, t.Refused - o.Refused, t.Failed - o.Failed, t.Units - o.Units}
}

// Name is a member or a class.
type Name struct {
	Class bool
	Name  string
}

func (n Name) hash() uint64 {
	kind := "m/"
	if n.Class {
		kind = "c/"
	}
	return xxhash.Sum64String(kind + n.Name)
}

// Settings are what a summer starts from. Names are those of the settings; what is told of others is passed over.
type Settings struct {
	Rank, Gateways int
	Names          []Name
	Life           uint64  // differs from life to life
	Intake         float64 // messages a second that a gateway takes in
	Seed           int64
}

// Send tells another gateway.
type Send struct {
	To   int
	Data []byte
}

// own is a name as this gateway counts it.
type own struct {
	Totals
	name Name
	hash uint64
	tell int // beats for which it is told
}

// sum is a name whose home this gateway is.
type sum struct {
	Totals
	name  Name
	first bool // its first home
	from  map[int]*told
}

// told is what one gateway last said of a name.
type told struct {
	Totals
	life uint64
}

// life is one of another gateway. Of a whole one this gateway heard the first word, or was there before it: whatever it
// counted counts here, also of a name that it had nothing to tell of at first.
type life struct {
	id    uint64
	whole bool
}

// Summer is a gateway's. It is not safe for concurrent use.
type Summer struct {
	s      Settings
	rng    *rand.Rand
	now    time.Duration
	began  time.Duration
	begun  bool
	beatAt time.Duration
	seq    map[int]uint32 // of the words to each home
	lives  map[int]life   // of the others, as heard
	mine   map[Name]*own
	order  []*own
	turn   map[int]int // where the refresh of each home stands
	sums   map[uint64]*sum
	known  map[uint64]Name
}

// New returns a summer that has counted nothing.
func New(s Settings) *Summer {
	x := &Summer{s: s, rng: rand.New(rand.NewSource(s.Seed)), seq: map[int]uint32{}, lives: map[int]life{}, mine: map[Name]*own{}, turn: map[int]int{}, sums: map[uint64]*sum{}, known: map[uint64]Name{}}
	for _, n := range s.Names {
		h := n.hash()
		x.known[h] = n
		for i := range homes {
			if x.home(h, i) == s.Rank && (i == 0 || x.home(h, 0) != s.Rank) {
				x.sums[h] = &sum{name: n, first: i == 0, from: map[int]*told{}}
			}
		}
	}
	return x
}

// home is the number of the nth gateway that sums a name.
func (x *Summer) home(h uint64, n int) int {
	g := uint64(x.s.Gateways)
	first := h % g
	if n == 0 || g < 2 {
		return int(first)
	}
	return int((first + 1 + h>>20%(g-1)) % g)
}

// Beat is how often totals are told, so that all gateways' words to one stay within its intake.
func (x *Summer) Beat() time.Duration {
	if x.s.Intake <= 0 {
		return beatLeast
	}
	return max(beatLeast, time.Duration(float64(x.s.Gateways-1)/(intakePart*x.s.Intake)*float64(time.Second)))
}

func (x *Summer) at(now time.Duration) {
	if x.now = max(x.now, now); !x.begun {
		x.begun, x.began = true, x.now
		x.beatAt = x.now + time.Duration(x.rng.Float64()*float64(x.Beat()))
	}
}

// Add counts at this gateway.
func (x *Summer) Add(now time.Duration, n Name, t Totals) {
	x.at(now)
	o := x.mine[n]
	if o == nil {
		if _, ok := x.known[n.hash()]; !ok {
			return
		}
		o = &own{name: n, hash: n.hash()}
		x.mine[n] = o
		x.order = append(x.order, o)
	}
	o.Totals.add(t)
	o.tell = again
	if s := x.sums[o.hash]; s != nil {
		s.Totals.add(t)
	}
}

// Next is when Tick is due.
func (x *Summer) Next() time.Duration {
	if !x.begun || x.s.Gateways < 2 {
		return math.MaxInt64
	}
	return x.beatAt
}

// Messages, integers little-endian: life and the sender's age in ns of 8 bytes, its number of 4, then entries: hash of the name
// of 8, served, refused, failed as varints, units of 8 bytes of IEEE 754.
const headBytes = 20

// Tick tells the totals that are due to be told.
func (x *Summer) Tick(now time.Duration) (out []Send) {
	x.at(now)
	if x.now < x.beatAt {
		return nil
	}
	x.beatAt = x.now + time.Duration((0.9+0.2*x.rng.Float64())*float64(x.Beat()))
	byHome := map[int][]*own{}
	for _, o := range x.order {
		for i := range min(homes, x.s.Gateways) {
			if to := x.home(o.hash, i); to != x.s.Rank && (i == 0 || to != x.home(o.hash, 0)) {
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
		var due []*own
		for _, o := range all {
			if o.tell > 0 {
				due = append(due, o)
			}
		}
		for range min(refresh, len(all)) {
			x.turn[to]++
			if o := all[x.turn[to]%len(all)]; o.tell == 0 {
				due = append(due, o)
			}
		}
		out = append(out, x.words(to, due)...)
	}
	for _, o := range x.order {
		o.tell = max(0, o.tell-1)
	}
	return out
}

func (x *Summer) words(to int, due []*own) (out []Send) {
	if len(due) > 0 {
		x.seq[to]++ // a beat with nothing to tell is no first word
	}
	head := binary.LittleEndian.AppendUint64(nil, x.s.Life)
	head = binary.LittleEndian.AppendUint64(head, uint64(x.now-x.began))
	head = binary.LittleEndian.AppendUint32(head, x.seq[to])
	b := slices.Clone(head)
	for _, o := range due {
		if len(b) > maxBytes-50 {
			out = append(out, Send{to, b})
			b = slices.Clone(head)
		}
		b = binary.LittleEndian.AppendUint64(b, o.hash)
		b = binary.AppendUvarint(binary.AppendUvarint(binary.AppendUvarint(b, o.Served), o.Refused), o.Failed)
		b = binary.LittleEndian.AppendUint64(b, math.Float64bits(o.Units))
	}
	if len(b) > headBytes {
		out = append(out, Send{to, b})
	}
	return out
}

// Heard takes another gateway's totals. What is malformed is dropped from there on.
func (x *Summer) Heard(now time.Duration, from int, data []byte) {
	x.at(now)
	if from < 0 || from >= x.s.Gateways || from == x.s.Rank || len(data) < headBytes {
		return
	}
	id, age := binary.LittleEndian.Uint64(data), time.Duration(binary.LittleEndian.Uint64(data[8:]))
	l, known := x.lives[from]
	if known && id < l.id {
		return // a word of a former life, late
	}
	if !known || id != l.id {
		l = life{id, age < x.now-x.began || binary.LittleEndian.Uint32(data[16:]) == 1}
		x.lives[from] = l
	}
	for b := data[headBytes:]; len(b) >= 8; {
		h := binary.LittleEndian.Uint64(b)
		var t Totals
		b = b[8:]
		for _, v := range []*uint64{&t.Served, &t.Refused, &t.Failed} {
			x, n := binary.Uvarint(b)
			if n <= 0 {
				return
			}
			*v, b = x, b[n:]
		}
		if len(b) < 8 {
			return
		}
		t.Units, b = math.Float64frombits(binary.LittleEndian.Uint64(b)), b[8:]
		if !(t.Units >= 0) || math.IsInf(t.Units, 0) {
			return
		}
		if s := x.sums[h]; s != nil {
			learn(s, from, l, t)
		}
	}
}

// learn adds what a gateway's totals grew by. Totals make words that are late, lost or come twice harmless. Of a name that was not
// heard of in this life all of it counts if the life is whole here; else its past was summed before this gateway began, by
// its former life or not at all, and only what comes from now on counts.
func learn(s *sum, from int, l life, t Totals) {
	k := s.from[from]
	switch {
	case k != nil && k.life == l.id:
		if t.less(k.Totals) {
			return
		}
		s.Totals.add(t.minus(k.Totals))
	case l.whole:
		s.Totals.add(t)
	}
	s.from[from] = &told{t, l.id}
}

// Sum is a name whose home this gateway is.
type Sum struct {
	Name
	First bool // this is its first home; the other sums the same
	Totals
}

// Sums tells all of which something was counted, in order.
func (x *Summer) Sums() (out []Sum) {
	for _, s := range x.sums {
		if s.Totals != (Totals{}) {
			out = append(out, Sum{s.name, s.first, s.Totals})
		}
	}
	slices.SortFunc(out, func(a, b Sum) int {
		switch {
		case a.Class != b.Class:
			if a.Class {
				return -1
			}
			return 1
		case a.Name.Name < b.Name.Name:
			return -1
		}
		return 1
	})
	return out
}
