// Package metrics provides the Prometheus metrics of a gateway: counters and native histograms that the event
// loop updates, and gauges and counters that are read from the gateway's state when the registry is gathered.
//
// The number of series is bounded, because clients cannot choose label values: classes and plans come from
// the settings, reasons are constants of the program, and only a limited number of members have series of
// their own. Names of metrics, labels and fixed label values must never change; TestMetricNamesAreStable
// checks them.
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

// AttemptOK is the value of the outcome label of an attempt that received a response. All other values are
// failures.
const AttemptOK = "ok"

// AfterOpen is the value of the after label of a retry that is sent while the previous attempt is still in
// flight. Otherwise the value is the outcome of the previous attempt.
const AfterOpen = "open"

const (
	// otherMember is the label value of all members without series of their own.
	otherMember = "_other"
	// otherName is the label value of all classes and plans that are not in the settings.
	otherName = "other"
)

// Options limits the label values.
type Options struct {
	Classes    []string // classes of the settings; all others are counted as "other"
	Plans      []string // plans of the settings; all others are counted as "other"
	MaxMembers int      // members with series of their own, 0: none; all others are counted as "_other"
}

// Set holds the metrics of a gateway. Only the goroutine that owns a Set may call its methods. The registry
// is safe for concurrent use.
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
	overflowMembers map[string]bool // members without series of their own
}

// The following types are keys and values of maps of series. The maps avoid the lookup in the Prometheus
// library, which hashes all label values.
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

// New returns a Set with a new registry. Each gathering of the registry calls view, in the goroutine that
// gathers, and reads the gauges from its result.
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

// register creates and registers the metrics that the methods of Set update.
func (s *Set) register() {
	s.requests = s.newCounter("calls_total",
		"Requests by their final answer; gone: the client left before it.", "class", "plan", "outcome")
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
	s.Registry.MustRegister(
		s.requestDuration, s.attemptDuration, s.addedDuration, s.loopTurnDuration, s.membersLeftOut)
}

// namePrefix is the prefix of all metric names.
const namePrefix = "winghatch_"

func (s *Set) newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: namePrefix + name, Help: help}, labels)
	s.Registry.MustRegister(v)
	return v
}

const (
	// histogramBucketFactor is the largest ratio of the upper to the lower bound of a bucket. It limits the
	// error of a quantile to a tenth.
	histogramBucketFactor = 1.1
	// maxHistogramBuckets limits the size of a series to a few hundred bytes even if the distribution has a
	// long tail.
	maxHistogramBuckets = 160
	// histogramResetInterval is the shortest time between two resets of a histogram that has more than
	// maxHistogramBuckets buckets.
	histogramResetInterval = time.Hour
)

// histogramOpts returns the options of a native histogram. name is the name of the metric without namePrefix.
func histogramOpts(name, help string) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{
		Name:                            namePrefix + name,
		Help:                            help,
		NativeHistogramBucketFactor:     histogramBucketFactor,
		NativeHistogramMaxBucketNumber:  maxHistogramBuckets,
		NativeHistogramMinResetDuration: histogramResetInterval,
	}
}

// Request describes a request that has ended.
type Request struct {
	Class, Plan, Member string
	Outcome             string        // one of the Outcome constants
	Reason              string        // reason of the rejection, if Outcome is OutcomeRejected
	Units               float64       // units of the response, if Outcome is OutcomeServed
	Duration            time.Duration // time from arrival to the final answer
	AttemptDuration     time.Duration // duration of the attempt that served the request, if any
	TraceID             string        // trace that is exported, used as exemplar; empty: none
}

// RequestEnded counts a request, records its duration, and adds its units or its rejection to the counters of
// its member.
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

// AttemptEnded counts an attempt and records its duration. outcome is AttemptOK or the name of the failure.
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

// RetrySent counts an attempt that is not the first of its request. after is AfterOpen or the outcome of the
// previous attempt.
func (s *Set) RetrySent(after string) { s.retries.WithLabelValues(after).Inc() }

// LoopTurn records the duration of a turn of the event loop.
func (s *Set) LoopTurn(duration time.Duration) { s.loopTurnDuration.Observe(duration.Seconds()) }

// grantMessageKinds maps the first byte of a message between a gateway and a quota owner to the value of its
// kind label.
var grantMessageKinds = map[byte]string{
	'a': "ask",    // grant request
	'r': "answer", // grant reply
	'd': "settle", // release
}

// GrantMessage counts a message between a gateway and a quota owner. It ignores other messages between
// gateways. direction is "in" or "out".
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

// member returns the counters of a member, or the shared counters if the member has no series of its own.
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

// nameOrOther returns name if names contains it, and otherName if not.
func nameOrOther(names map[string]bool, name string) string {
	if names[name] {
		return name
	}
	return otherName
}
