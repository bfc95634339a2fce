// Package measures is what a gateway counts and times, on prometheus/client_golang: counters and native histograms
// that the loop feeds, and gauges that are read from the gateway's state when they are gathered. No label holds what
// a caller chooses: classes, plans and reasons are the settings' and the program's own, members are capped.
package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"winghatch/internal/aggregate"
)

// Options say what labels there may be.
type Options struct {
	Classes, Plans []string
	Members        int // of so many at most the use is told by name
}

// OtherMember stands for all members beyond the cap, and other for a class or plan of no settings.
const (
	OtherMember = "_other"
	other       = "other"
)

// Set is a gateway's. Methods are for the goroutine that owns it, the registry for any.
type Set struct {
	Registry *prometheus.Registry

	calls    map[[3]string]prometheus.Counter
	callsVec *prometheus.CounterVec
	refused  *prometheus.CounterVec
	attempts *prometheus.CounterVec
	further  *prometheus.CounterVec
	callTime *prometheus.HistogramVec
	nodeTime *prometheus.HistogramVec
	added    prometheus.Histogram
	turn     prometheus.Histogram
	words    *prometheus.CounterVec
	units    *prometheus.CounterVec
	memberNo *prometheus.CounterVec
	leftOut  prometheus.Gauge

	// Handles by labels: looking one up in the library takes a hash of all of them.
	times map[[2]string]prometheus.Observer
	ends  map[[2]string]ending

	classes, plans map[string]bool
	cap            int
	members        map[string]memberCounters
	without        map[string]bool // members beyond the cap
}

type ending struct {
	count prometheus.Counter
	time  prometheus.Observer
}

type memberCounters struct{ units, refused prometheus.Counter }

// View is what gauges are read from.
type View struct {
	Sessions, Open, Queue int
	Late                  int64
	Pressed               float64
	Silent                int              // homes that are not asked
	Nodes                 map[string]int   // by state: serving, draining, cold, ejected, gone
	Peers                 map[string]int64 // datagrams by what became of them
	TurnedAway            map[string]int64
	Plans                 map[string]Plan
	Export                *Export
	Changes               int
	Reserved              float64 // tokens of reservations here
	Send                  map[string]float64
	Waiting               int             // samples for remote write
	Sums                  []aggregate.Sum // of all gateways, of names whose home this one is
}

// Plan is what the customers of one have in this gateway.
type Plan struct{ Level, Room, Part float64 }

// Export is what is owed to the accounting.
type Export struct {
	Records, Bytes, Open, UncoveredUnits, UncoveredTries float64
	Refusing                                             bool
}

func native(name, help string) prometheus.HistogramOpts {
	// Buckets a tenth wide, 160 at most, which a restart of the histogram keeps to; so a series is a few hundred bytes
	// however long the tail.
	return prometheus.HistogramOpts{Name: name, Help: help, NativeHistogramBucketFactor: 1.1, NativeHistogramMaxBucketNumber: 160,
		NativeHistogramMinResetDuration: time.Hour}
}

// New returns a set whose gauges are read by view, which is called for each gathering.
func New(o Options, view func() View) *Set {
	r := prometheus.NewRegistry()
	s := &Set{Registry: r, calls: map[[3]string]prometheus.Counter{}, times: map[[2]string]prometheus.Observer{},
		ends: map[[2]string]ending{}, classes: map[string]bool{}, plans: map[string]bool{}, cap: o.Members,
		members: map[string]memberCounters{}, without: map[string]bool{}}
	for _, c := range o.Classes {
		s.classes[c] = true
	}
	for _, p := range o.Plans {
		s.plans[p] = true
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		r.MustRegister(v)
		return v
	}
	hist := func(name, help string, labels ...string) *prometheus.HistogramVec {
		v := prometheus.NewHistogramVec(native(name, help), labels)
		r.MustRegister(v)
		return v
	}
	s.callsVec = counter("winghatch_calls_total", "Calls by their final answer; gone: the client left before it.", "class", "plan", "outcome")
	s.refused = counter("winghatch_refusals_total", "Calls refused, by reason.", "reason")
	s.attempts = counter("winghatch_attempts_total", "Attempts at nodes, by how they ended.", "class", "outcome")
	s.further = counter("winghatch_further_attempts_total", "Attempts beyond a call's first, by how the one before had ended, or open: it was still out.", "after")
	s.callTime = hist("winghatch_call_duration_seconds", "From a call's arrival to its final answer.", "class", "outcome")
	s.nodeTime = hist("winghatch_attempt_duration_seconds", "From an attempt's start to its end.", "class")
	s.added = prometheus.NewHistogram(native("winghatch_added_duration_seconds", "A served call's time less that of the attempt that served it."))
	s.turn = prometheus.NewHistogram(native("winghatch_loop_turn_duration_seconds", "Turns of the loop that owns all decisions."))
	s.words = counter("winghatch_home_words_total", "Words between gateways and the homes of customers.", "kind", "way")
	s.units = counter("winghatch_member_units_total", "Units of answered calls, of capped members by name.", "member")
	s.memberNo = counter("winghatch_member_refusals_total", "Calls refused, of capped members by name.", "member")
	s.leftOut = prometheus.NewGauge(prometheus.GaugeOpts{Name: "winghatch_members_left_out", Help: "Members whose use is told under one name, as the cap on names is reached."})
	r.MustRegister(s.added, s.turn, s.leftOut, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.MustRegister(&gauges{view: view, cap: o.Members, shown: map[string]bool{}})
	return s
}

func known(set map[string]bool, name string) string {
	if set[name] {
		return name
	}
	return other
}

// member returns a member's counters, or those of all beyond the cap.
func (s *Set) member(name string) memberCounters {
	m, ok := s.members[name]
	if ok {
		return m
	}
	if len(s.members) >= s.cap {
		if !s.without[name] {
			s.without[name] = true
			s.leftOut.Set(float64(len(s.without)))
		}
		name = OtherMember
		if m, ok := s.members[name]; ok {
			return m
		}
	}
	m = memberCounters{s.units.WithLabelValues(name), s.memberNo.WithLabelValues(name)}
	s.members[name] = m
	return m
}

// Call is a call's end.
type Call struct {
	Class, Plan, Member string
	Outcome             string // served, refused, failed or gone
	Reason              string // of a refused one
	Units               float64
	Took                time.Duration
	AtNode              time.Duration // of the attempt that served it
	Trace               string        // of the trace that tells it; empty: none does
}

// Final counts a call's end.
func (s *Set) Final(c Call) {
	c.Class = known(s.classes, c.Class)
	k := [3]string{c.Class, known(s.plans, c.Plan), c.Outcome}
	n, ok := s.calls[k]
	if !ok {
		n = s.callsVec.WithLabelValues(k[:]...)
		s.calls[k] = n
	}
	n.Inc()
	h := s.times[[2]string{c.Class, c.Outcome}]
	if h == nil {
		h = s.callTime.WithLabelValues(c.Class, c.Outcome)
		s.times[[2]string{c.Class, c.Outcome}] = h
	}
	if c.Trace == "" {
		h.Observe(c.Took.Seconds())
	} else { // the exemplar joins the histogram to the trace
		h.(prometheus.ExemplarObserver).ObserveWithExemplar(c.Took.Seconds(), prometheus.Labels{"trace_id": c.Trace})
	}
	switch c.Outcome {
	case "served":
		s.added.Observe(max(0, c.Took-c.AtNode).Seconds())
		s.member(c.Member).units.Add(max(0, c.Units))
	case "refused":
		s.refused.WithLabelValues(c.Reason).Inc()
		s.member(c.Member).refused.Inc()
	}
}

// Attempt counts an attempt's end.
func (s *Set) Attempt(class, outcome string, took time.Duration) {
	class = known(s.classes, class)
	e, ok := s.ends[[2]string{class, outcome}]
	if !ok {
		e = ending{s.attempts.WithLabelValues(class, outcome), s.nodeTime.WithLabelValues(class)}
		s.ends[[2]string{class, outcome}] = e
	}
	e.count.Inc()
	e.time.Observe(took.Seconds())
}

// Further counts an attempt beyond a call's first.
func (s *Set) Further(after string) { s.further.WithLabelValues(after).Inc() }

// Turn times a turn of the loop.
func (s *Set) Turn(took time.Duration) { s.turn.Observe(took.Seconds()) }

var wordKinds = map[byte]string{'a': "ask", 'r': "answer", 'd': "settle"}

// Word counts a word to or from another gateway, if it is one of homes.
func (s *Set) Word(text, way string) {
	if len(text) == 0 {
		return
	}
	if k := wordKinds[text[0]]; k != "" {
		s.words.WithLabelValues(k, way).Inc()
	}
}

// gauges are read from a view.
type gauges struct {
	view func() View
	cap  int

	mu    sync.Mutex
	shown map[string]bool // members whose sums are told by name; the first ones that have any
}

// named is the name by which a member's sums are told. It never changes from one to the other, or sums would fall.
func (g *gauges) named(member string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.shown[member] {
		if len(g.shown) >= g.cap {
			return OtherMember
		}
		g.shown[member] = true
	}
	return member
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("winghatch_"+name, help, labels, nil)
}

var (
	dSessions  = desc("sessions", "Clients' sessions.")
	dOpen      = desc("open_calls", "Calls without a final answer.")
	dPressed   = desc("open_work_ratio", "Work open over the cap on it.")
	dQueue     = desc("loop_queue_length", "Inputs that wait for the loop.")
	dLate      = desc("late_answers_total", "Answers to attempts that were over.")
	dSilent    = desc("homes_silent", "Homes that are not asked for now, as they gave no answer.")
	dNodes     = desc("nodes", "Nodes by state; ejected: fails a class far more often than the best do.", "state")
	dPeers     = desc("peer_datagrams_total", "Datagrams to and from other gateways, by what became of them.", "result")
	dTurned    = desc("turned_away_total", "Calls and handshakes that the front turned away, by reason.", "reason")
	dLevel     = desc("plan_level_units", "Units in the buckets of a plan's customers, at this gateway.", "plan")
	dRoom      = desc("plan_room_units", "Units that these buckets still bear.", "plan")
	dPart      = desc("plan_part_ratio", "Mean part of rate and mark that this gateway has of a plan's customers.", "plan")
	dOwed      = desc("export_owed_records", "Records that the accounting is not known to have.")
	dOwedBytes = desc("export_log_bytes", "Bytes of the export's log.")
	dOwedOpen  = desc("export_open_tries", "Tries without a settlement in the log.")
	dUncovered = desc("export_uncovered_units_total", "Units let pass while the log could not be written.")
	dUncTries  = desc("export_uncovered_tries_total", "Tries let pass while the log could not be written.")
	dRefusing  = desc("export_refusing", "1 while calls are refused as their use can't be covered.")
	dChanges   = desc("plan_changes", "Changes in the book of plans.")
	dReserved  = desc("reserved_units", "Units of reservations held at this gateway.")
	dSumCalls  = desc("sum_calls_total", "Calls at all gateways by their final answer, of a class or member whose home this gateway is; see docs/metrics.md.", "kind", "name", "outcome", "replica")
	dSumUnits  = desc("sum_units_total", "Units of answered calls at all gateways, of a class or member whose home this gateway is.", "kind", "name", "replica")
	dWaiting   = desc("remote_write_waiting_samples", "Samples that wait to be sent by remote write.")
	dSend      = desc("remote_write_samples_total", "Samples for remote write, by what became of them.", "result")
)

func (g *gauges) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{dSessions, dOpen, dPressed, dQueue, dLate, dSilent, dNodes, dPeers, dTurned, dLevel, dRoom, dPart, dOwed,
		dOwedBytes, dOwedOpen, dUncovered, dUncTries, dRefusing, dChanges, dReserved, dSend, dSumCalls, dSumUnits, dWaiting} {
		ch <- d
	}
}

func (g *gauges) Collect(ch chan<- prometheus.Metric) {
	v := g.view()
	gauge := func(d *prometheus.Desc, x float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, x, labels...)
	}
	count := func(d *prometheus.Desc, x float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, x, labels...)
	}
	gauge(dSessions, float64(v.Sessions))
	gauge(dOpen, float64(v.Open))
	gauge(dPressed, v.Pressed)
	gauge(dQueue, float64(v.Queue))
	count(dLate, float64(v.Late))
	gauge(dSilent, float64(v.Silent))
	for _, s := range []string{"serving", "draining", "cold", "ejected", "gone"} {
		gauge(dNodes, float64(v.Nodes[s]), s)
	}
	for k, n := range v.Peers {
		count(dPeers, float64(n), k)
	}
	for k, n := range v.TurnedAway {
		count(dTurned, float64(n), k)
	}
	for k, p := range v.Plans {
		gauge(dLevel, p.Level, k)
		gauge(dRoom, p.Room, k)
		gauge(dPart, p.Part, k)
	}
	gauge(dChanges, float64(v.Changes))
	gauge(dReserved, v.Reserved)
	if e := v.Export; e != nil {
		gauge(dOwed, e.Records)
		gauge(dOwedBytes, e.Bytes)
		gauge(dOwedOpen, e.Open)
		count(dUncovered, e.UncoveredUnits)
		count(dUncTries, e.UncoveredTries)
		refusing := 0.0
		if e.Refusing {
			refusing = 1
		}
		gauge(dRefusing, refusing)
	}
	for k, n := range v.Send {
		count(dSend, n, k)
	}
	if v.Send != nil {
		gauge(dWaiting, float64(v.Waiting))
	}
	type key struct{ kind, name, replica string }
	totals := map[key]aggregate.Totals{}
	for _, s := range v.Sums {
		k := key{"class", s.Name.Name, "1"}
		if s.First {
			k.replica = "0"
		}
		if !s.Class {
			k.kind, k.name = "member", g.named(s.Name.Name)
		}
		t := totals[k]
		t.Served, t.Refused, t.Failed, t.Units = t.Served+s.Served, t.Refused+s.Refused, t.Failed+s.Failed, t.Units+s.Units
		totals[k] = t
	}
	for k, t := range totals {
		count(dSumCalls, float64(t.Served), k.kind, k.name, "served", k.replica)
		count(dSumCalls, float64(t.Refused), k.kind, k.name, "refused", k.replica)
		count(dSumCalls, float64(t.Failed), k.kind, k.name, "failed", k.replica)
		count(dSumUnits, t.Units, k.kind, k.name, k.replica)
	}
}
