// Package aggregate sums what all gateways of a fleet counted, for each customer and each class of requests.
//
// Each key has two owners among the gateways, which all gateways compute alike from its hash. Every gateway reports its
// totals since its start to both owners, and each owner adds what they grew by. There is no election and no hand-over,
// as both owners sum at all times. Reports carry totals, so one that is lost, late or comes twice does no harm.
//
// An Aggregator is a state machine that the caller drives with the monotonic time: it calls Add for what was counted,
// Receive for messages, and Tick at NextTick, whose messages it sends. The package does no I/O, reads no clock and
// starts no goroutine; an Aggregator is not safe for concurrent use.
package aggregate

import (
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"
)

const (
	// minReportInterval is the mean time between reports. It is longer where there are many gateways.
	minReportInterval = 5 * time.Second
	// maxCapacityFraction is the part of GossipCapacity that reports take.
	maxCapacityFraction = 0.1
	// changeRepeats is how many reports repeat a total that has changed: messages may be lost.
	changeRepeats = 3
	// refreshCount is the unchanged totals in each report to an owner, in turn.
	refreshCount = 8
	// ownerCount is the owners of each key, in a fleet that has as many gateways.
	ownerCount = 2

	// Jitter keeps the gateways from reporting in step.
	jitterLow  = 0.9 // of the interval: the shortest
	jitterSpan = 0.2 // of the interval: from the shortest to the longest
)

// Settings are the parameters of an Aggregator.
type Settings struct {
	Rank           int     // of this gateway, from 0
	Gateways       int     // of the fleet
	Keys           []Key   // others are not counted
	Incarnation    uint64  // of this gateway's process; higher than that of the one before
	GossipCapacity float64 // messages a second that a gateway takes in; 0: no bound
	Seed           int64   // of the random choices
}

// Send is a message for another gateway. It may be lost.
type Send struct {
	To   int // rank
	Data []byte
}

// localTotals are what this gateway counted of a key.
type localTotals struct {
	Totals
	hash    uint64
	repeats int // reports that must have it
}

// ownedTotals are the fleet's totals of a key that this gateway owns.
type ownedTotals struct {
	Totals
	key      Key
	primary  bool                    // it is the first owner
	reported map[int]*reportedTotals // by rank
}

// reportedTotals are what one gateway last reported of a key.
type reportedTotals struct {
	Totals
	incarnation uint64
}

// incarnation is a process of another gateway. It is complete if its first message came here, or this gateway began
// before it: then all that it counted counts here, also of a key that it had not reported at first.
type incarnation struct {
	id       uint64
	complete bool
}

// Aggregator is one gateway's part of the sums. It is not safe for concurrent use.
type Aggregator struct {
	settings Settings
	random   *rand.Rand
	keys     map[uint64]Key // of the settings, by hash

	now       time.Duration
	started   bool // by the first call
	startedAt time.Duration
	reportAt  time.Duration // next report

	local        map[Key]*localTotals
	localInOrder []*localTotals // as they were first counted
	sequence     map[int]uint32 // number of the last report, by owner
	refreshTurn  map[int]int    // of localInOrder, by owner

	owned        map[uint64]*ownedTotals // by the key's hash
	incarnations map[int]incarnation     // of the others, by rank
}

// New returns an aggregator that has counted nothing.
func New(s Settings) *Aggregator {
	a := &Aggregator{
		settings:     s,
		random:       rand.New(rand.NewSource(s.Seed)),
		keys:         map[uint64]Key{},
		local:        map[Key]*localTotals{},
		sequence:     map[int]uint32{},
		refreshTurn:  map[int]int{},
		owned:        map[uint64]*ownedTotals{},
		incarnations: map[int]incarnation{},
	}
	for _, k := range s.Keys {
		h := k.hash()
		a.keys[h] = k
		for i, rank := range a.owners(h) {
			if rank == s.Rank {
				a.owned[h] = &ownedTotals{key: k, primary: i == 0, reported: map[int]*reportedTotals{}}
			}
		}
	}
	return a
}

// owners are the ranks of a key's owners, the first one first.
func (a *Aggregator) owners(hash uint64) (ranks []int) {
	for n := range min(ownerCount, a.settings.Gateways) {
		ranks = append(ranks, a.owner(hash, n))
	}
	return ranks
}

// secondOwnerShift is by how many bits a hash is shifted for the second owner. All gateways must have the same.
const secondOwnerShift = 20

// owner is the rank of the nth owner of a key, from 0.
func (a *Aggregator) owner(hash uint64, n int) int {
	gateways := uint64(a.settings.Gateways)
	first := hash % gateways
	if n == 0 || gateways < 2 {
		return int(first)
	}
	// Other bits than those of first, so that the keys of one first owner have different second ones.
	return int((first + 1 + (hash>>secondOwnerShift)%(gateways-1)) % gateways)
}

// reportInterval is the mean time between reports: so long that the reports of all gateways to one stay within its
// part of the capacity.
func (a *Aggregator) reportInterval() time.Duration {
	if a.settings.GossipCapacity <= 0 {
		return minReportInterval
	}
	seconds := float64(a.settings.Gateways-1) / (maxCapacityFraction * a.settings.GossipCapacity)
	return max(minReportInterval, time.Duration(seconds*float64(time.Second)))
}

// advance sets the time, which never goes back.
func (a *Aggregator) advance(now time.Duration) {
	a.now = max(a.now, now)
	if !a.started {
		a.started, a.startedAt = true, a.now
		a.reportAt = a.now + time.Duration(a.random.Float64()*float64(a.reportInterval()))
	}
}

// Add adds what this gateway counted. Keys that are not of the settings are ignored.
func (a *Aggregator) Add(now time.Duration, k Key, t Totals) {
	a.advance(now)
	local := a.local[k]
	if local == nil {
		if _, ok := a.keys[k.hash()]; !ok {
			return
		}
		local = &localTotals{hash: k.hash()}
		a.local[k] = local
		a.localInOrder = append(a.localInOrder, local)
	}
	local.Totals.add(t)
	local.repeats = changeRepeats
	if owned := a.owned[local.hash]; owned != nil {
		owned.Totals.add(t)
	}
}

// NextTick is when Tick is due; the latest possible time if it never is.
func (a *Aggregator) NextTick() time.Duration {
	if !a.started || a.settings.Gateways < 2 {
		return math.MaxInt64
	}
	return a.reportAt
}

// Tick returns the reports that are due, in the order of their owners.
func (a *Aggregator) Tick(now time.Duration) (out []Send) {
	a.advance(now)
	if a.now < a.reportAt {
		return nil
	}
	jitter := jitterLow + jitterSpan*a.random.Float64()
	a.reportAt = a.now + time.Duration(jitter*float64(a.reportInterval()))
	byOwner := map[int][]*localTotals{}
	for _, local := range a.localInOrder {
		for _, rank := range a.owners(local.hash) {
			if rank != a.settings.Rank {
				byOwner[rank] = append(byOwner[rank], local)
			}
		}
	}
	var ranks []int
	for rank := range byOwner {
		ranks = append(ranks, rank)
	}
	slices.Sort(ranks)
	for _, rank := range ranks {
		out = append(out, a.encodeReports(rank, a.due(rank, byOwner[rank]))...)
	}
	for _, local := range a.localInOrder {
		local.repeats = max(0, local.repeats-1)
	}
	return out
}

// due is the totals for the next report to an owner: those that have changed, and some of the others in turn.
func (a *Aggregator) due(owner int, all []*localTotals) (due []*localTotals) {
	for _, local := range all {
		if local.repeats > 0 {
			due = append(due, local)
		}
	}
	for range min(refreshCount, len(all)) {
		a.refreshTurn[owner]++
		if local := all[a.refreshTurn[owner]%len(all)]; local.repeats == 0 {
			due = append(due, local)
		}
	}
	return due
}

// Receive takes in another gateway's report. A malformed one is dropped from where it is not valid.
func (a *Aggregator) Receive(now time.Duration, from int, data []byte) {
	a.advance(now)
	if from < 0 || from >= a.settings.Gateways || from == a.settings.Rank {
		return
	}
	header, entries, ok := decodeHeader(data)
	if !ok {
		return
	}
	inc, known := a.incarnations[from]
	if known && header.incarnation < inc.id {
		return // of a former process, late
	}
	if !known || header.incarnation != inc.id {
		inc = incarnation{header.incarnation, header.age < a.now-a.startedAt || header.sequence == 1}
		a.incarnations[from] = inc
	}
	decodeEntries(entries, func(hash uint64, t Totals) {
		if owned := a.owned[hash]; owned != nil {
			owned.mergeReport(from, inc, t)
		}
	})
}

// mergeReport adds what a gateway's totals grew by. The first report of an incarnation counts in full if the
// incarnation is complete here. Otherwise its past was summed by the former process of this owner, or not at all, and
// only what comes from now on counts.
func (o *ownedTotals) mergeReport(from int, inc incarnation, t Totals) {
	last := o.reported[from]
	switch {
	case last != nil && last.incarnation == inc.id:
		if t.less(last.Totals) {
			return // an older report
		}
		o.Totals.add(t.minus(last.Totals))
	case inc.complete:
		o.Totals.add(t)
	}
	o.reported[from] = &reportedTotals{t, inc.id}
}

// FleetTotal is the fleet's totals of a key that this gateway owns.
type FleetTotal struct {
	Key
	Primary bool // this gateway is the first owner; the second one sums the same
	Totals
}

// FleetTotals lists the owned keys of which something was counted: classes, then customers, by name.
func (a *Aggregator) FleetTotals() (out []FleetTotal) {
	for _, o := range a.owned {
		if o.Totals != (Totals{}) {
			out = append(out, FleetTotal{o.key, o.primary, o.Totals})
		}
	}
	slices.SortFunc(out, func(x, y FleetTotal) int {
		if x.IsClass != y.IsClass {
			if x.IsClass {
				return -1
			}
			return 1
		}
		return strings.Compare(x.Name, y.Name)
	})
	return out
}
