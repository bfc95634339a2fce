package metrics

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"winghatch/internal/aggregate"
)

// Values of the state label of servers.
const (
	ServerServing   = "serving"
	ServerDraining  = "draining"
	ServerSlowStart = "cold"
	ServerEjected   = "ejected"
	ServerRemoved   = "gone"
)

var serverStates = []string{ServerServing, ServerDraining, ServerSlowStart, ServerEjected, ServerRemoved}

// View is what gauges are read from.
type View struct {
	Sessions           int
	OpenRequests       int
	QueueLength        int // of the loop
	LateResponses      int64
	Pressure           float64 // work in flight over the cap on it
	UnresponsiveOwners int     // quota owners that are not asked for now
	Servers            map[string]int
	Datagrams          map[string]int64 // to and from other gateways, by what became of them
	FrontendRejections map[string]int64 // by reason
	Plans              map[string]PlanTotals
	Usage              *UsageBacklog // nil: use is not exported
	PlanChanges        int
	ReservedUnits      float64            // held at this gateway
	RemoteWriteSamples map[string]float64 // by what became of them; nil: there is no remote write
	RemoteWriteWaiting int                // samples
	FleetTotals        []aggregate.FleetTotal
}

// PlanTotals is what the customers of a plan have at this gateway.
type PlanTotals struct {
	Level    float64 // units in their buckets
	Headroom float64 // units up to their high-water marks
	Share    float64 // mean share of rate and burst
}

// UsageBacklog is the outbox of usage.
type UsageBacklog struct {
	Records           float64 // that the receiver is not known to have
	Bytes             float64 // of the log
	OpenAttempts      float64
	UncoveredUnits    float64
	UncoveredAttempts float64
	Rejecting         bool
}

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
		"Servers by state; ejected: fails a class far more often than the best do; cold: in slow start.", "state")
	descDatagrams = newDesc("peer_datagrams_total",
		"Datagrams to and from other gateways, by what became of them.", "result")
	descFrontendRejections = newDesc("turned_away_total",
		"Requests and handshakes that the front end rejected, by reason.", "reason")
	descPlanLevel = newDesc("plan_level_units",
		"Leaky-bucket levels of a plan's customers, at this gateway.", "plan")
	descPlanHeadroom = newDesc("plan_room_units", "Units up to the high-water marks of these buckets.", "plan")
	descPlanShare    = newDesc("plan_part_ratio",
		"Mean share of rate and burst that this gateway has of a plan's customers.", "plan")
	descUsageRecords      = newDesc("export_owed_records", "Records that the usage receiver is not known to have.")
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

// stateCollector implements prometheus.Collector on a view.
type stateCollector struct {
	view       func() View
	maxMembers int

	mu           sync.Mutex
	namedMembers map[string]bool // whose totals have series of their own: the first ones that had any
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		descSessions, descOpenRequests, descPressure, descQueueLength, descLateResponses, descUnresponsiveOwners,
		descServers, descDatagrams, descFrontendRejections, descPlanLevel, descPlanHeadroom, descPlanShare,
		descUsageRecords, descUsageBytes, descUsageOpenAttempts, descUncoveredUnits, descUncoveredAttempts,
		descUsageRejecting, descPlanChanges, descReservedUnits, descRemoteWriteWaiting, descRemoteWriteSamples,
		descTotalRequests, descTotalUnits,
	} {
		descs <- d
	}
}

// sink takes the values of one gathering.
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

// fleetTotals adds up the members that share a label before it emits the series.
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

// memberLabel returns the value of the name label of a member's totals. It never changes for a member: a total that
// moved from one series to another would make a counter fall.
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
