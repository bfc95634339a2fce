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
	MaxMembers     int // of so many at most the use is told by name
}

// OtherMember stands for all members beyond the cap, and other for a class or plan of no settings.
const (
	OtherMember = "_other"
	otherName   = "other"
)

// Set is a gateway's. Methods are for the goroutine that owns it, the registry for any.
type Set struct {
	Registry *prometheus.Registry

	requestCounters  map[[3]string]prometheus.Counter
	requests         *prometheus.CounterVec
	rejections       *prometheus.CounterVec
	attempts         *prometheus.CounterVec
	retries          *prometheus.CounterVec
	requestDuration  *prometheus.HistogramVec
	attemptDuration  *prometheus.HistogramVec
	addedDuration    prometheus.Histogram
	loopTurnDuration prometheus.Histogram
	grantMessages    *prometheus.CounterVec
	memberUnits      *prometheus.CounterVec
	memberRejections *prometheus.CounterVec
	membersLeftOut   prometheus.Gauge

	// Handles by labels: looking one up in the library takes a hash of all of them.
	durationObservers map[[2]string]prometheus.Observer
	attemptHandles    map[[2]string]attemptHandle

	classes, plans  map[string]bool
	maxMembers      int
	members         map[string]memberCounters
	overflowMembers map[string]bool // members beyond the cap
}

type attemptHandle struct {
	count    prometheus.Counter
	duration prometheus.Observer
}

type memberCounters struct{ units, rejected prometheus.Counter }

// View is what gauges are read from.
type View struct {
	Sessions, OpenRequests, QueueLength int
	LateResponses                       int64
	Pressure                            float64
	UnresponsiveOwners                  int              // homes that are not asked
	Servers                             map[string]int   // by state: serving, draining, cold, ejected, gone
	Datagrams                           map[string]int64 // datagrams by what became of them
	FrontendRejections                  map[string]int64
	Plans                               map[string]PlanTotals
	Usage                               *UsageBacklog
	PlanChanges                         int
	ReservedUnits                       float64 // tokens of reservations here
	RemoteWriteSamples                  map[string]float64
	RemoteWriteWaiting                  int                    // samples for remote write
	FleetTotals                         []aggregate.FleetTotal // of all gateways, of names whose home this one is
}

// Plan is what the customers of one have in this gateway.
type PlanTotals struct{ Level, Headroom, Share float64 }

// Export is what is owed to the accounting.
type UsageBacklog struct {
	Records, Bytes, OpenAttempts, UncoveredUnits, UncoveredAttempts float64
	Rejecting                                                       bool
}

func nativeHistogram(name, help string) prometheus.HistogramOpts {
	// Buckets a tenth wide, 160 at most, which a restart of the histogram keeps to; so a series is a few hundred bytes
	// however long the tail.
	return prometheus.HistogramOpts{Name: name, Help: help, NativeHistogramBucketFactor: 1.1, NativeHistogramMaxBucketNumber: 160,
		NativeHistogramMinResetDuration: time.Hour}
}

// New returns a set whose gauges are read by view, which is called for each gathering.
func New(o Options, view func() View) *Set {
	r := prometheus.NewRegistry()
	s := &Set{Registry: r, requestCounters: map[[3]string]prometheus.Counter{}, durationObservers: map[[2]string]prometheus.Observer{},
		attemptHandles: map[[2]string]attemptHandle{}, classes: map[string]bool{}, plans: map[string]bool{}, maxMembers: o.MaxMembers,
		members: map[string]memberCounters{}, overflowMembers: map[string]bool{}}
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
		v := prometheus.NewHistogramVec(nativeHistogram(name, help), labels)
		r.MustRegister(v)
		return v
	}
	s.requests = counter("winghatch_calls_total", "Calls by their final answer; gone: the client left before it.", "class", "plan", "outcome")
	s.rejections = counter("winghatch_refusals_total", "Calls refused, by reason.", "reason")
	s.attempts = counter("winghatch_attempts_total", "Attempts at nodes, by how they ended.", "class", "outcome")
	s.retries = counter("winghatch_further_attempts_total", "Attempts beyond a call's first, by how the one before had ended, or open: it was still out.", "after")
	s.requestDuration = hist("winghatch_call_duration_seconds", "From a call's arrival to its final answer.", "class", "outcome")
	s.attemptDuration = hist("winghatch_attempt_duration_seconds", "From an attempt's start to its end.", "class")
	s.addedDuration = prometheus.NewHistogram(nativeHistogram("winghatch_added_duration_seconds", "A served call's time less that of the attempt that served it."))
	s.loopTurnDuration = prometheus.NewHistogram(nativeHistogram("winghatch_loop_turn_duration_seconds", "Turns of the loop that owns all decisions."))
	s.grantMessages = counter("winghatch_home_words_total", "Words between gateways and the homes of customers.", "kind", "way")
	s.memberUnits = counter("winghatch_member_units_total", "Units of answered calls, of capped members by name.", "member")
	s.memberRejections = counter("winghatch_member_refusals_total", "Calls refused, of capped members by name.", "member")
	s.membersLeftOut = prometheus.NewGauge(prometheus.GaugeOpts{Name: "winghatch_members_left_out", Help: "Members whose use is told under one name, as the cap on names is reached."})
	r.MustRegister(s.addedDuration, s.loopTurnDuration, s.membersLeftOut, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.MustRegister(&stateCollector{view: view, maxMembers: o.MaxMembers, namedMembers: map[string]bool{}})
	return s
}

func nameOrOther(set map[string]bool, name string) string {
	if set[name] {
		return name
	}
	return otherName
}

// member returns a member's counters, or those of all beyond the cap.
func (s *Set) member(name string) memberCounters {
	m, ok := s.members[name]
	if ok {
		return m
	}
	if len(s.members) >= s.maxMembers {
		if !s.overflowMembers[name] {
			s.overflowMembers[name] = true
			s.membersLeftOut.Set(float64(len(s.overflowMembers)))
		}
		name = OtherMember
		if m, ok := s.members[name]; ok {
			return m
		}
	}
	m = memberCounters{s.memberUnits.WithLabelValues(name), s.memberRejections.WithLabelValues(name)}
	s.members[name] = m
	return m
}

// Call is a call's end.
type Request struct {
	Class, Plan, Member string
	Outcome             string // served, refused, failed or gone
	Reason              string // of a refused one
	Units               float64
	Duration            time.Duration
	AttemptDuration     time.Duration // of the attempt that served it
	TraceID             string        // of the trace that tells it; empty: none does
}

// Final counts a call's end.
func (s *Set) RequestEnded(c Request) {
	c.Class = nameOrOther(s.classes, c.Class)
	k := [3]string{c.Class, nameOrOther(s.plans, c.Plan), c.Outcome}
	n, ok := s.requestCounters[k]
	if !ok {
		n = s.requests.WithLabelValues(k[:]...)
		s.requestCounters[k] = n
	}
	n.Inc()
	h := s.durationObservers[[2]string{c.Class, c.Outcome}]
	if h == nil {
		h = s.requestDuration.WithLabelValues(c.Class, c.Outcome)
		s.durationObservers[[2]string{c.Class, c.Outcome}] = h
	}
	if c.TraceID == "" {
		h.Observe(c.Duration.Seconds())
	} else { // the exemplar joins the histogram to the trace
		h.(prometheus.ExemplarObserver).ObserveWithExemplar(c.Duration.Seconds(), prometheus.Labels{"trace_id": c.TraceID})
	}
	switch c.Outcome {
	case "served":
		s.addedDuration.Observe(max(0, c.Duration-c.AttemptDuration).Seconds())
		s.member(c.Member).units.Add(max(0, c.Units))
	case "refused":
		s.rejections.WithLabelValues(c.Reason).Inc()
		s.member(c.Member).rejected.Inc()
	}
}

// Attempt counts an attempt's end.
func (s *Set) AttemptEnded(class, outcome string, duration time.Duration) {
	class = nameOrOther(s.classes, class)
	e, ok := s.attemptHandles[[2]string{class, outcome}]
	if !ok {
		e = attemptHandle{s.attempts.WithLabelValues(class, outcome), s.attemptDuration.WithLabelValues(class)}
		s.attemptHandles[[2]string{class, outcome}] = e
	}
	e.count.Inc()
	e.duration.Observe(duration.Seconds())
}

// Further counts an attempt beyond a call's first.
func (s *Set) RetrySent(after string) { s.retries.WithLabelValues(after).Inc() }

// Turn times a turn of the loop.
func (s *Set) LoopTurn(duration time.Duration) { s.loopTurnDuration.Observe(duration.Seconds()) }

var grantMessageKinds = map[byte]string{'a': "ask", 'r': "answer", 'd': "settle"}

// Word counts a word to or from another gateway, if it is one of homes.
func (s *Set) GrantMessage(text, direction string) {
	if len(text) == 0 {
		return
	}
	if k := grantMessageKinds[text[0]]; k != "" {
		s.grantMessages.WithLabelValues(k, direction).Inc()
	}
}

// gauges are read from a view.
type stateCollector struct {
	view       func() View
	maxMembers int

	mu           sync.Mutex
	namedMembers map[string]bool // members whose sums are told by name; the first ones that have any
}

// named is the name by which a member's sums are told. It never changes from one to the other, or sums would fall.
func (g *stateCollector) memberLabel(member string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.namedMembers[member] {
		if len(g.namedMembers) >= g.maxMembers {
			return OtherMember
		}
		g.namedMembers[member] = true
	}
	return member
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("winghatch_"+name, help, labels, nil)
}

var (
	descSessions           = newDesc("sessions", "Clients' sessions.")
	descOpenRequests       = newDesc("open_calls", "Calls without a final answer.")
	descPressure           = newDesc("open_work_ratio", "Work open over the cap on it.")
	descQueueLength        = newDesc("loop_queue_length", "Inputs that wait for the loop.")
	descLateResponses      = newDesc("late_answers_total", "Answers to attempts that were over.")
	descUnresponsiveOwners = newDesc("homes_silent", "Homes that are not asked for now, as they gave no answer.")
	descServers            = newDesc("nodes", "Nodes by state; ejected: fails a class far more often than the best do.", "state")
	descDatagrams          = newDesc("peer_datagrams_total", "Datagrams to and from other gateways, by what became of them.", "result")
	descFrontendRejections = newDesc("turned_away_total", "Calls and handshakes that the front turned away, by reason.", "reason")
	descPlanLevel          = newDesc("plan_level_units", "Units in the buckets of a plan's customers, at this gateway.", "plan")
	descPlanHeadroom       = newDesc("plan_room_units", "Units that these buckets still bear.", "plan")
	descPlanShare          = newDesc("plan_part_ratio", "Mean part of rate and mark that this gateway has of a plan's customers.", "plan")
	descUsageRecords       = newDesc("export_owed_records", "Records that the accounting is not known to have.")
	descUsageBytes         = newDesc("export_log_bytes", "Bytes of the export's log.")
	descUsageOpenAttempts  = newDesc("export_open_tries", "Tries without a settlement in the log.")
	descUncoveredUnits     = newDesc("export_uncovered_units_total", "Units let pass while the log could not be written.")
	descUncoveredAttempts  = newDesc("export_uncovered_tries_total", "Tries let pass while the log could not be written.")
	descUsageRejecting     = newDesc("export_refusing", "1 while calls are refused as their use can't be covered.")
	descPlanChanges        = newDesc("plan_changes", "Changes in the book of plans.")
	descReservedUnits      = newDesc("reserved_units", "Units of reservations held at this gateway.")
	descTotalRequests      = newDesc("sum_calls_total", "Calls at all gateways by their final answer, of a class or member whose home this gateway is; see docs/metrics.md.", "kind", "name", "outcome", "replica")
	descTotalUnits         = newDesc("sum_units_total", "Units of answered calls at all gateways, of a class or member whose home this gateway is.", "kind", "name", "replica")
	descRemoteWriteWaiting = newDesc("remote_write_waiting_samples", "Samples that wait to be sent by remote write.")
	descRemoteWriteSamples = newDesc("remote_write_samples_total", "Samples for remote write, by what became of them.", "result")
)

func (g *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descSessions, descOpenRequests, descPressure, descQueueLength, descLateResponses, descUnresponsiveOwners, descServers, descDatagrams, descFrontendRejections, descPlanLevel, descPlanHeadroom, descPlanShare, descUsageRecords,
		descUsageBytes, descUsageOpenAttempts, descUncoveredUnits, descUncoveredAttempts, descUsageRejecting, descPlanChanges, descReservedUnits, descRemoteWriteSamples, descTotalRequests, descTotalUnits, descRemoteWriteWaiting} {
		ch <- d
	}
}

func (g *stateCollector) Collect(ch chan<- prometheus.Metric) {
	v := g.view()
	gauge := func(d *prometheus.Desc, x float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, x, labels...)
	}
	count := func(d *prometheus.Desc, x float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, x, labels...)
	}
	gauge(descSessions, float64(v.Sessions))
	gauge(descOpenRequests, float64(v.OpenRequests))
	gauge(descPressure, v.Pressure)
	gauge(descQueueLength, float64(v.QueueLength))
	count(descLateResponses, float64(v.LateResponses))
	gauge(descUnresponsiveOwners, float64(v.UnresponsiveOwners))
	for _, s := range []string{"serving", "draining", "cold", "ejected", "gone"} {
		gauge(descServers, float64(v.Servers[s]), s)
	}
	for k, n := range v.Datagrams {
		count(descDatagrams, float64(n), k)
	}
	for k, n := range v.FrontendRejections {
		count(descFrontendRejections, float64(n), k)
	}
	for k, p := range v.Plans {
		gauge(descPlanLevel, p.Level, k)
		gauge(descPlanHeadroom, p.Headroom, k)
		gauge(descPlanShare, p.Share, k)
	}
	gauge(descPlanChanges, float64(v.PlanChanges))
	gauge(descReservedUnits, v.ReservedUnits)
	if e := v.Usage; e != nil {
		gauge(descUsageRecords, e.Records)
		gauge(descUsageBytes, e.Bytes)
		gauge(descUsageOpenAttempts, e.OpenAttempts)
		count(descUncoveredUnits, e.UncoveredUnits)
		count(descUncoveredAttempts, e.UncoveredAttempts)
		refusing := 0.0
		if e.Rejecting {
			refusing = 1
		}
		gauge(descUsageRejecting, refusing)
	}
	for k, n := range v.RemoteWriteSamples {
		count(descRemoteWriteSamples, n, k)
	}
	if v.RemoteWriteSamples != nil {
		gauge(descRemoteWriteWaiting, float64(v.RemoteWriteWaiting))
	}
	type key struct{ kind, name, replica string }
	totals := map[key]aggregate.Totals{}
	for _, s := range v.FleetTotals {
		k := key{"class", s.Key.Name, "1"}
		if s.Primary {
			k.replica = "0"
		}
		if !s.Class {
			k.kind, k.name = "member", g.memberLabel(s.Key.Name)
		}
		t := totals[k]
		t.Served, t.Rejected, t.Failed, t.Units = t.Served+s.Served, t.Rejected+s.Rejected, t.Failed+s.Failed, t.Units+s.Units
		totals[k] = t
	}
	for k, t := range totals {
		count(descTotalRequests, float64(t.Served), k.kind, k.name, "served", k.replica)
		count(descTotalRequests, float64(t.Rejected), k.kind, k.name, "refused", k.replica)
		count(descTotalRequests, float64(t.Failed), k.kind, k.name, "failed", k.replica)
		count(descTotalUnits, t.Units, k.kind, k.name, k.replica)
	}
}
