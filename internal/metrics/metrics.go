// Package metrics is what a gateway counts and times for Prometheus: counters and native histograms that the event loop
// feeds, and gauges that are read from the gateway's state when the registry is gathered.
//
// No label has values that a caller chooses: classes, plans and reasons are those of the settings and the program,
// and the number of members with a series of their own is bounded. Names, labels and their fixed values never change;
// TestNames pins them.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Values of the outcome label of requests.
const (
	OutcomeServed    = "served"
	OutcomeRejected  = "refused"
	OutcomeFailed    = "failed"
	OutcomeAbandoned = "gone" // the client left before the final answer
)

// AttemptOK is the value of the outcome label of an attempt that was answered. All others are failures.
const AttemptOK = "ok"

// AfterOpen is the value of the after label of a retry while the attempt before it is in flight; else it is the
// outcome of that attempt.
const AfterOpen = "open"

const (
	// otherMember is the value of the member label that all members beyond the cap share.
	otherMember = "_other"
	// otherName is the value of the label for a class or plan that is not in the settings.
	otherName = "other"
)

// Options bound the labels.
type Options struct {
	Classes    []string
	Plans      []string
	MaxMembers int // with series of their own; the others share one, named "_other"
}

// Set is the metrics of a gateway. Its methods are for the goroutine that owns it; the registry is for any.
type Set struct {
	Registry *prometheus.Registry

	requests          *prometheus.CounterVec
	requestDuration   *prometheus.HistogramVec
	addedDuration     prometheus.Histogram
	rejections        *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	attemptDuration   *prometheus.HistogramVec
	retries           *prometheus.CounterVec
	loopTurnDuration  prometheus.Histogram
	grantMessages     *prometheus.CounterVec
	memberUnits       *prometheus.CounterVec
	memberRejections  *prometheus.CounterVec
	membersLeftOut    prometheus.Gauge
	requestCounters   map[requestLabels]prometheus.Counter
	durationObservers map[durationLabels]prometheus.Observer
	attemptHandles    map[attemptLabels]attemptHandle

	classes, plans  map[string]bool
	maxMembers      int
	members         map[string]memberCounters
	overflowMembers map[string]bool // members beyond the cap
}

// Handles of series are kept by their labels, as the library hashes all labels to find one.
type (
	requestLabels  struct{ class, plan, outcome string }
	durationLabels struct{ class, outcome string }
	attemptLabels  struct{ class, outcome string }
	attemptHandle  struct {
		count    prometheus.Counter
		duration prometheus.Observer
	}
	memberCounters struct{ units, rejected prometheus.Counter }
)

// New returns a set. Its gauges are read from view, which is called for each gathering, by the goroutine that gathers.
func New(o Options, view func() View) *Set {
	s := &Set{
		Registry:          prometheus.NewRegistry(),
		requestCounters:   map[requestLabels]prometheus.Counter{},
		durationObservers: map[durationLabels]prometheus.Observer{},
		attemptHandles:    map[attemptLabels]attemptHandle{},
		classes:           map[string]bool{},
		plans:             map[string]bool{},
		maxMembers:        o.MaxMembers,
		members:           map[string]memberCounters{},
		overflowMembers:   map[string]bool{},
	}
	for _, c := range o.Classes {
		s.classes[c] = true
	}
	for _, p := range o.Plans {
		s.plans[p] = true
	}
	s.register()
	s.Registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		&stateCollector{view: view, maxMembers: o.MaxMembers, namedMembers: map[string]bool{}},
	)
	return s
}

// register creates and registers all metrics that the set counts itself.
func (s *Set) register() {
	s.requests = s.newCounter("calls_total", "Requests by their final answer; gone: the client left before it.",
		"class", "plan", "outcome")
	s.rejections = s.newCounter("refusals_total", "Rejected requests, by reason.", "reason")
	s.attempts = s.newCounter("attempts_total", "Attempts, by how they ended.", "class", "outcome")
	s.retries = s.newCounter("further_attempts_total",
		"Retries, by how the attempt before had ended; open: it was in flight.", "after")
	s.grantMessages = s.newCounter("home_words_total",
		"Messages between gateways and quota owners.", "kind", "way")
	s.memberUnits = s.newCounter("member_units_total",
		"Units of served requests, by member up to the cap on names.", "member")
	s.memberRejections = s.newCounter("member_refusals_total",
		"Rejected requests, by member up to the cap on names.", "member")

	s.requestDuration = prometheus.NewHistogramVec(
		histogramOpts("call_duration_seconds", "From a request's arrival to its final answer."),
		[]string{"class", "outcome"})
	s.attemptDuration = prometheus.NewHistogramVec(
		histogramOpts("attempt_duration_seconds", "From an attempt's start to its end."),
		[]string{"class"})
	s.addedDuration = prometheus.NewHistogram(
		histogramOpts("added_duration_seconds",
			"Duration of a served request less that of the attempt that served it."))
	s.loopTurnDuration = prometheus.NewHistogram(
		histogramOpts("loop_turn_duration_seconds", "Turns of the event loop."))
	s.membersLeftOut = prometheus.NewGauge(prometheus.GaugeOpts{Name: namePrefix + "members_left_out",
		Help: "Members whose use is counted under one name, as the cap on names is reached."})
	s.Registry.MustRegister(s.requestDuration, s.attemptDuration, s.addedDuration, s.loopTurnDuration, s.membersLeftOut)
}

// namePrefix begins the names of all metrics.
const namePrefix = "winghatch_"

func (s *Set) newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: namePrefix + name, Help: help}, labels)
	s.Registry.MustRegister(v)
	return v
}

const (
	// histogramBucketFactor is the ratio of the bounds of a bucket: a quantile is known within a tenth.
	histogramBucketFactor = 1.1
	// maxHistogramBuckets keeps a series at a few hundred bytes, however long the tail of the distribution is.
	maxHistogramBuckets = 160
	// histogramResetInterval is the least time between two resets of a histogram that has more buckets than that.
	histogramResetInterval = time.Hour
)

// histogramOpts are those of a native histogram.
func histogramOpts(name, help string) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{
		Name:                            namePrefix + name,
		Help:                            help,
		NativeHistogramBucketFactor:     histogramBucketFactor,
		NativeHistogramMaxBucketNumber:  maxHistogramBuckets,
		NativeHistogramMinResetDuration: histogramResetInterval,
	}
}

// Request is a request that is finished.
type Request struct {
	Class, Plan, Member string
	Outcome             string  // one of the constants
	Reason              string  // of a rejected one
	Units               float64 // of a served one
	Duration            time.Duration
	AttemptDuration     time.Duration // of the attempt that served it
	TraceID             string        // of its trace, if that is exported
}

// RequestEnded counts a request.
func (s *Set) RequestEnded(r Request) {
	class, plan := nameOrOther(s.classes, r.Class), nameOrOther(s.plans, r.Plan)
	s.requestCounter(requestLabels{class, plan, r.Outcome}).Inc()
	observer := s.durationObserver(durationLabels{class, r.Outcome})
	if r.TraceID == "" {
		observer.Observe(r.Duration.Seconds())
	} else {
		exemplar := prometheus.Labels{"trace_id": r.TraceID}
		observer.(prometheus.ExemplarObserver).ObserveWithExemplar(r.Duration.Seconds(), exemplar)
	}
	switch r.Outcome {
	case OutcomeServed:
		s.addedDuration.Observe(max(0, r.Duration-r.AttemptDuration).Seconds())
		s.member(r.Member).units.Add(max(0, r.Units))
	case OutcomeRejected:
		s.rejections.WithLabelValues(r.Reason).Inc()
		s.member(r.Member).rejected.Inc()
	}
}

// AttemptEnded counts an attempt.
func (s *Set) AttemptEnded(class, outcome string, duration time.Duration) {
	labels := attemptLabels{nameOrOther(s.classes, class), outcome}
	handle, ok := s.attemptHandles[labels]
	if !ok {
		handle = attemptHandle{
			count:    s.attempts.WithLabelValues(labels.class, labels.outcome),
			duration: s.attemptDuration.WithLabelValues(labels.class),
		}
		s.attemptHandles[labels] = handle
	}
	handle.count.Inc()
	handle.duration.Observe(duration.Seconds())
}

// RetrySent counts an attempt beyond a request's first. after is AfterOpen or the outcome of the attempt before it.
func (s *Set) RetrySent(after string) { s.retries.WithLabelValues(after).Inc() }

// LoopTurn times a turn of the event loop.
func (s *Set) LoopTurn(duration time.Duration) { s.loopTurnDuration.Observe(duration.Seconds()) }

// grantMessageKinds are the values of the kind label by the first byte of a message between a gateway and a quota
// owner.
var grantMessageKinds = map[byte]string{
	'a': "ask",    // grant request
	'r': "answer", // grant reply
	'd': "settle", // release
}

// GrantMessage counts a message to or from another gateway, if it is one between a gateway and a quota owner.
// direction is in or out.
func (s *Set) GrantMessage(text, direction string) {
	if len(text) == 0 {
		return
	}
	if kind := grantMessageKinds[text[0]]; kind != "" {
		s.grantMessages.WithLabelValues(kind, direction).Inc()
	}
}

func (s *Set) requestCounter(labels requestLabels) prometheus.Counter {
	c, ok := s.requestCounters[labels]
	if !ok {
		c = s.requests.WithLabelValues(labels.class, labels.plan, labels.outcome)
		s.requestCounters[labels] = c
	}
	return c
}

func (s *Set) durationObserver(labels durationLabels) prometheus.Observer {
	o, ok := s.durationObservers[labels]
	if !ok {
		o = s.requestDuration.WithLabelValues(labels.class, labels.outcome)
		s.durationObservers[labels] = o
	}
	return o
}

// member returns the counters of a member, or those that all members beyond the cap share.
func (s *Set) member(name string) memberCounters {
	if m, ok := s.members[name]; ok {
		return m
	}
	if len(s.members) >= s.maxMembers {
		if !s.overflowMembers[name] {
			s.overflowMembers[name] = true
			s.membersLeftOut.Set(float64(len(s.overflowMembers)))
		}
		name = otherMember
		if m, ok := s.members[name]; ok {
			return m
		}
	}
	m := memberCounters{s.memberUnits.WithLabelValues(name), s.memberRejections.WithLabelValues(name)}
	s.members[name] = m
	return m
}

func nameOrOther(names map[string]bool, name string) string {
	if names[name] {
		return name
	}
	return otherName
}
