package metrics

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"winghatch/internal/aggregate"
)

// Values of the state label of the metric that counts servers.
const (
	ServerServing   = "serving"
	ServerDraining  = "draining"
	ServerSlowStart = "cold"
	ServerEjected   = "ejected"
	ServerRemoved   = "gone"
)

var serverStates = []string{ServerServing, ServerDraining, ServerSlowStart, ServerEjected, ServerRemoved}

// View is a snapshot of a gateway's state, from which gauges and some counters are read.
type View struct {
	Sessions           int                    // open client sessions
	OpenRequests       int                    // requests without a final answer
	QueueLength        int                    // inputs that wait for the event loop
	LateResponses      int64                  // responses to attempts that had already ended
	Pressure           float64                // work in flight as a fraction of its cap
	UnresponsiveOwners int                    // quota owners that are not asked because they did not respond
	Servers            map[string]int         // number of servers by state
	Datagrams          map[string]int64       // datagrams to and from other gateways, by result
	FrontendRejections map[string]int64       // requests and handshakes rejected by the frontend, by reason
	Plans              map[string]PlanTotals  // totals by plan
	Usage              *UsageBacklog          // nil: usage is not exported
	PlanChanges        int                    // plan changes that this gateway knows
	ReservedUnits      float64                // units of reservations held at this gateway
	RemoteWriteSamples map[string]float64     // samples for remote write, by result; nil: remote write is off
	RemoteWriteWaiting int                    // samples that wait to be sent by remote write
	FleetTotals        []aggregate.FleetTotal // totals of all gateways, for the keys that this gateway sums
}

// PlanTotals holds the totals of the customers of a plan at this gateway.
type PlanTotals struct {
	Level    float64 // sum of the levels of their leaky buckets, in units
	Headroom float64 // sum of the units between level and high-water mark
	Share    float64 // mean over the customers of the fraction of rate and burst that this gateway has
}

// UsageBacklog describes the outbox of usage records.
type UsageBacklog struct {
	Records           float64 // records that the receiver has not acknowledged
	Bytes             float64 // size of the outbox log
	OpenAttempts      float64 // attempts without a settlement in the log
	UncoveredUnits    float64 // units of attempts that were sent while the log could not be written
	UncoveredAttempts float64 // attempts that were sent while the log could not be written
	Rejecting         bool    // requests are rejected because their usage cannot be recorded
}

// newDesc returns the description of a metric. name is the name of the metric without namePrefix.
func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(namePrefix+name, help, labels, nil)
}

var (
	descSessions           = newDesc("sessions", "Open sessions of clients.")
	descOpenRequests       = newDesc("open_calls", "Open requests: without a final answer.")
	descPressure           = newDesc("open_work_ratio", "Work in flight over the cap on it.")
	descQueueLength        = newDesc("loop_queue_length", "Inputs that wait for the loop.")
	descLateResponses      = newDesc("late_answers_total", "Answers to attempts that had ended.")
	descUnresponsiveOwners = newDesc("homes_silent",
		"Quota owners that are not asked for now, as they did not respond.")
	descServers = newDesc("nodes",
		"Servers by state; ejected: fails a class far more often than the best do; cold: in slow start.",
		"state")
	descDatagrams = newDesc("peer_datagrams_total",
		"Datagrams to and from other gateways, by what became of them.", "result")
	descFrontendRejections = newDesc("turned_away_total",
		"Requests and handshakes that the front end rejected, by reason.", "reason")
	descPlanLevel = newDesc("plan_level_units",
		"Leaky-bucket levels of a plan's customers, at this gateway.", "plan")
	descPlanHeadroom = newDesc("plan_room_units",
		"Units up to the high-water marks of these buckets.", "plan")
	descPlanShare = newDesc("plan_part_ratio",
		"Mean share of rate and burst that this gateway has of a plan's customers.", "plan")
	descUsageRecords = newDesc("export_owed_records",
		"Records that the usage receiver is not known to have.")
	descUsageBytes        = newDesc("export_log_bytes", "Bytes of the outbox log.")
	descUsageOpenAttempts = newDesc("export_open_tries", "Attempts without a settlement in the log.")
	descUncoveredUnits    = newDesc("export_uncovered_units_total",
		"Units of attempts that were sent while the log could not be written.")
	descUncoveredAttempts = newDesc("export_uncovered_tries_total",
		"Attempts that were sent while the log could not be written.")
	descUsageRejecting = newDesc("export_refusing",
		"1 while requests are rejected, as their use can't be recorded.")
	descPlanChanges        = newDesc("plan_changes", "Plan changes that this gateway knows.")
	descReservedUnits      = newDesc("reserved_units", "Units of reservations held at this gateway.")
	descRemoteWriteWaiting = newDesc("remote_write_waiting_samples",
		"Samples that wait to be sent by remote write.")
	descRemoteWriteSamples = newDesc("remote_write_samples_total",
		"Samples for remote write, by what became of them.", "result")
	descTotalRequests = newDesc("sum_calls_total",
		"Requests at all gateways by their final answer, of a class or member that this gateway adds up; "+
			"see docs/metrics.md.",
		"kind", "name", "outcome", "replica")
	descTotalUnits = newDesc("sum_units_total",
		"Units of served requests at all gateways, of a class or member that this gateway adds up.",
		"kind", "name", "replica")
)

// stateCollector implements prometheus.Collector for the metrics that are read from a View.
type stateCollector struct {
	view       func() View
	maxMembers int

	mu sync.Mutex // guards namedMembers; several goroutines may collect at the same time
	// namedMembers are the members whose totals have series of their own: the first maxMembers members that
	// had totals.
	namedMembers map[string]bool
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		descSessions, descOpenRequests, descPressure, descQueueLength, descLateResponses,
		descUnresponsiveOwners, descServers, descDatagrams, descFrontendRejections, descPlanLevel,
		descPlanHeadroom, descPlanShare, descUsageRecords, descUsageBytes, descUsageOpenAttempts,
		descUncoveredUnits, descUncoveredAttempts, descUsageRejecting, descPlanChanges, descReservedUnits,
		descRemoteWriteWaiting, descRemoteWriteSamples, descTotalRequests, descTotalUnits,
	} {
		descs <- d
	}
}

// sink receives the metrics of one collection.
type sink chan<- prometheus.Metric

func (s sink) gauge(d *prometheus.Desc, value float64, labels ...string) {
	s <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

func (s sink) counter(d *prometheus.Desc, value float64, labels ...string) {
	s <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, value, labels...)
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(out chan<- prometheus.Metric) {
	v, s := c.view(), sink(out)
	s.gauge(descSessions, float64(v.Sessions))
	s.gauge(descOpenRequests, float64(v.OpenRequests))
	s.gauge(descPressure, v.Pressure)
	s.gauge(descQueueLength, float64(v.QueueLength))
	s.counter(descLateResponses, float64(v.LateResponses))
	s.gauge(descUnresponsiveOwners, float64(v.UnresponsiveOwners))
	for _, state := range serverStates {
		s.gauge(descServers, float64(v.Servers[state]), state)
	}
	for result, n := range v.Datagrams {
		s.counter(descDatagrams, float64(n), result)
	}
	for reason, n := range v.FrontendRejections {
		s.counter(descFrontendRejections, float64(n), reason)
	}
	for plan, t := range v.Plans {
		s.gauge(descPlanLevel, t.Level, plan)
		s.gauge(descPlanHeadroom, t.Headroom, plan)
		s.gauge(descPlanShare, t.Share, plan)
	}
	s.gauge(descPlanChanges, float64(v.PlanChanges))
	s.gauge(descReservedUnits, v.ReservedUnits)
	if v.Usage != nil {
		s.usage(v.Usage)
	}
	for result, n := range v.RemoteWriteSamples {
		s.counter(descRemoteWriteSamples, n, result)
	}
	if v.RemoteWriteSamples != nil {
		s.gauge(descRemoteWriteWaiting, float64(v.RemoteWriteWaiting))
	}
	c.fleetTotals(s, v.FleetTotals)
}

func (s sink) usage(u *UsageBacklog) {
	s.gauge(descUsageRecords, u.Records)
	s.gauge(descUsageBytes, u.Bytes)
	s.gauge(descUsageOpenAttempts, u.OpenAttempts)
	s.counter(descUncoveredUnits, u.UncoveredUnits)
	s.counter(descUncoveredAttempts, u.UncoveredAttempts)
	rejecting := 0.0
	if u.Rejecting {
		rejecting = 1
	}
	s.gauge(descUsageRejecting, rejecting)
}

// fleetTotals emits the totals of the fleet. It first adds up the members that share a label, because a
// series may be emitted only once. Two gateways sum the total of the same class or member. The label replica
// distinguishes their series: it is 0 at the first of the two and 1 at the second.
func (c *stateCollector) fleetTotals(s sink, fleetTotals []aggregate.FleetTotal) {
	type labels struct{ kind, name, replica string }
	totals := map[labels]aggregate.Totals{}
	for _, f := range fleetTotals {
		key := labels{"class", f.Name, "1"}
		if f.Primary {
			key.replica = "0"
		}
		if !f.IsClass {
			key.kind, key.name = "member", c.memberLabel(f.Name)
		}
		t := totals[key]
		t.Served += f.Served
		t.Rejected += f.Rejected
		t.Failed += f.Failed
		t.Units += f.Units
		totals[key] = t
	}
	for key, t := range totals {
		s.counter(descTotalRequests, float64(t.Served), key.kind, key.name, OutcomeServed, key.replica)
		s.counter(descTotalRequests, float64(t.Rejected), key.kind, key.name, OutcomeRejected, key.replica)
		s.counter(descTotalRequests, float64(t.Failed), key.kind, key.name, OutcomeFailed, key.replica)
		s.counter(descTotalUnits, t.Units, key.kind, key.name, key.replica)
	}
}

// memberLabel returns the value of the name label for the totals of a member. The first maxMembers members
// get their own name, all others share one. The value never changes for a member, because a counter would
// decrease if a total moved from one series to another.
func (c *stateCollector) memberLabel(member string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.namedMembers[member] {
		return member
	}
	if len(c.namedMembers) >= c.maxMembers {
		return otherMember
	}
	c.namedMembers[member] = true
	return member
}
