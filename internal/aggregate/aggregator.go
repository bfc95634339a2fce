// Package aggregate sums the request counts and units of all gateways of a fleet, for each customer and each
// class of requests.
//
// Each key (a customer or a class) has two owners among the gateways. All gateways compute the same owners
// from the hash of the key. Every gateway reports its totals since its start to both owners, and each owner
// adds the growth since the previous report. Both owners sum at all times, so there is no election and no
// hand-over. Reports carry totals, so a lost, late or duplicate report does no harm.
//
// An Aggregator is a state machine that the caller drives with the monotonic time. The caller passes counts
// to Add and received messages to Receive. At the time that NextTick returns, it calls Tick and sends the
// messages that Tick returns. The package does no I/O, reads no clock and starts no goroutine. An Aggregator
// is not safe for concurrent use.
package aggregate

import (
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"
)

const (
	// minReportInterval is the shortest mean time between reports. The mean is longer in fleets with many
	// gateways.
	minReportInterval = 5 * time.Second
	// maxCapacityFraction is the fraction of GossipCapacity that reports may use.
	maxCapacityFraction = 0.1
	// changeRepeats is the number of consecutive reports that contain a changed total, because messages may
	// be lost.
	changeRepeats = 3
	// refreshCount is the number of totals, in rotation, that each report to an owner contains even if
	// unchanged.
	refreshCount = 8
	// ownerCount is the number of owners of each key. A fleet with fewer gateways has fewer owners.
	ownerCount = 2

	// The report interval is multiplied by a random factor between jitterLow and jitterLow+jitterSpan, so
	// that the gateways do not report at the same time.
	jitterLow  = 0.9
	jitterSpan = 0.2
)

// Settings are the parameters of an Aggregator.
type Settings struct {
	Rank           int     // rank of this gateway, from 0
	Gateways       int     // number of gateways in the fleet
	Keys           []Key   // keys to count; all others are ignored
	Incarnation    uint64  // identifies the process; higher than that of the gateway's previous process
	GossipCapacity float64 // messages per second that a gateway accepts; 0: no limit
	Seed           int64   // seed of the random choices
}

// Send is a message to another gateway. It may be lost.
type Send struct {
	To   int // rank of the receiver
	Data []byte
}

// localTotals holds the totals of a key that this gateway counted itself.
type localTotals struct {
	Totals
	hash    uint64
	repeats int // number of further reports that must contain the totals
}

// ownedTotals holds the fleet's totals of a key that this gateway owns.
type ownedTotals struct {
	Totals
	key      Key
	primary  bool                    // this gateway is the first owner
	reported map[int]*reportedTotals // last report of each gateway, by rank
}

// reportedTotals holds the totals of a key that a gateway reported last.
type reportedTotals struct {
	Totals
	incarnation uint64
}

// incarnation identifies a process of another gateway. It is complete if this owner received its first
// message or started before it did. Then everything that the process counted is added here, including a key
// that was missing from its first reports.
type incarnation struct {
	id       uint64
	complete bool
}

// Aggregator counts for one gateway and sums the totals of the keys that the gateway owns. It is not safe for
// concurrent use.
type Aggregator struct {
	settings Settings
	random   *rand.Rand
	keys     map[uint64]Key // keys of the settings, by hash

	now       time.Duration
	started   bool // set by the first call that passes a time
	startedAt time.Duration
	reportAt  time.Duration // time of the next report

	local        map[Key]*localTotals
	localInOrder []*localTotals // values of local, in the order in which their keys were first counted
	sequence     map[int]uint32 // number of the last report, by rank of the owner
	refreshTurn  map[int]int    // position in the rotation of unchanged totals, by rank of the owner

	owned        map[uint64]*ownedTotals // keyed by the hash of the key
	incarnations map[int]incarnation     // current processes of the other gateways, by rank
}

// New returns an Aggregator that has counted nothing.
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

// owners returns the ranks of a key's owners, the first owner first.
func (a *Aggregator) owners(hash uint64) (ranks []int) {
	for n := range min(ownerCount, a.settings.Gateways) {
		ranks = append(ranks, a.owner(hash, n))
	}
	return ranks
}

// secondOwnerShift is the number of bits by which a hash is shifted to select the second owner. All gateways
// must use the same value.
const secondOwnerShift = 20

// owner returns the rank of the nth owner of a key, counted from 0.
func (a *Aggregator) owner(hash uint64, n int) int {
	gateways := uint64(a.settings.Gateways)
	first := hash % gateways
	if n == 0 || gateways < 2 {
		return int(first)
	}
	// The shift selects other bits of the hash, so that keys with the same first owner have different second
	// owners.
	return int((first + 1 + (hash>>secondOwnerShift)%(gateways-1)) % gateways)
}

// reportInterval returns the mean time between reports. It is long enough that the reports of all gateways to
// one owner stay within the fraction of its capacity that reports may use.
func (a *Aggregator) reportInterval() time.Duration {
	if a.settings.GossipCapacity <= 0 {
		return minReportInterval
	}
	seconds := float64(a.settings.Gateways-1) / (maxCapacityFraction * a.settings.GossipCapacity)
	return max(minReportInterval, time.Duration(seconds*float64(time.Second)))
}

// advance sets the current time, which never goes back. The first call schedules the first report.
func (a *Aggregator) advance(now time.Duration) {
	a.now = max(a.now, now)
	if !a.started {
		a.started, a.startedAt = true, a.now
		a.reportAt = a.now + time.Duration(a.random.Float64()*float64(a.reportInterval()))
	}
}

// Add adds counts of this gateway to the totals of a key. It ignores keys that are not in the settings.
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

// NextTick returns the monotonic time at which Tick must be called. It is the largest possible duration if
// there is nothing to report: before the first call that passes a time, and in a fleet of one gateway.
func (a *Aggregator) NextTick() time.Duration {
	if !a.started || a.settings.Gateways < 2 {
		return math.MaxInt64
	}
	return a.reportAt
}

// Tick returns the messages of the reports that are due, ordered by the rank of the owner. It returns nil
// before the time that NextTick returns.
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

// due returns the totals for the next report to an owner: all that changed recently, and some of the others
// in rotation.
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

// Receive processes a report message of another gateway. The entries of a malformed message are used up to
// the first invalid one.
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
		return // late message of an earlier process
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

// mergeReport adds the growth of a gateway's totals since its previous report. The first report of an
// incarnation is added in full if the incarnation is complete. Otherwise an earlier process of this owner may
// already have summed these counts, so the report only serves as the baseline for later ones; counts that no
// process has summed are lost.
func (o *ownedTotals) mergeReport(from int, inc incarnation, t Totals) {
	last := o.reported[from]
	switch {
	case last != nil && last.incarnation == inc.id:
		if t.less(last.Totals) {
			return // late message of an earlier report
		}
		o.Totals.add(t.minus(last.Totals))
	case inc.complete:
		o.Totals.add(t)
	}
	o.reported[from] = &reportedTotals{t, inc.id}
}

// FleetTotal holds the fleet's totals of a key that this gateway owns.
type FleetTotal struct {
	Key
	Primary bool // this gateway is the first owner; the second owner sums the same counts
	Totals
}

// FleetTotals returns the totals of the owned keys for which anything was counted: first classes, then
// customers, each ordered by name.
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
