package gateway

import (
	"strconv"
	"time"

	"winghatch/decide"
	"winghatch/internal/aggregate"
	"winghatch/internal/frontend"
	"winghatch/internal/metrics"
	"winghatch/internal/remotewrite"
	"winghatch/internal/upstream"
)

// flushTimeout is how long a stopping gateway continues to send queued samples and spans.
const flushTimeout = 2 * time.Second

// newMetrics returns the metrics of the gateway. Their gauges are read from its state.
func (g *Gateway) newMetrics() *metrics.Set {
	o := metrics.Options{MaxMembers: g.fleet.Metrics.MaxMembers}
	for _, class := range g.fleet.Decide.Classes {
		o.Classes = append(o.Classes, class.Name)
	}
	for _, plan := range g.fleet.Decide.Plans {
		o.Plans = append(o.Plans, plan.Name)
	}
	return metrics.New(o, g.metricsView)
}

// newAggregator returns the aggregator of the fleet's totals. Without peers it adds up only the counts of
// this gateway.
func (g *Gateway) newAggregator(seed int64) *aggregate.Aggregator {
	s := aggregate.Settings{
		Rank:           g.rank,
		Gateways:       len(g.fleet.Gateways),
		Incarnation:    uint64(g.incarnation),
		GossipCapacity: g.fleet.Decide.GossipCapacity,
		Seed:           seed,
	}
	for _, class := range g.fleet.Decide.Classes {
		s.Keys = append(s.Keys, aggregate.Key{IsClass: true, Name: class.Name})
	}
	for _, m := range g.fleet.Members {
		s.Keys = append(s.Keys, aggregate.Key{Name: m.Name})
	}
	return aggregate.New(s)
}

// newRemoteWriter returns the remote writer that sends the metrics of the gateway.
func (g *Gateway) newRemoteWriter() *remotewrite.Writer {
	m := g.fleet.Metrics
	return remotewrite.New(remotewrite.Options{
		URL:        m.URL,
		Interval:   m.Interval,
		Timeout:    m.Timeout,
		Shards:     m.Shards,
		MaxSamples: m.MaxSamples,
		MaxBytes:   m.MaxBytes,
		BatchSize:  m.BatchSize,
		MaxAge:     m.MaxAge,
		ForceV1:    m.VersionOne,
		Gatherer:   g.loop.metrics.Registry,
		Log:        g.log,
		Seed:       g.incarnation,
		ExternalLabels: []remotewrite.Label{
			{Name: "fleet", Value: g.fleet.Name},
			{Name: "gateway", Value: strconv.Itoa(g.rank)},
			{Name: "job", Value: "winghatch"},
		},
	})
}

// metricsView returns the values of the gauges. It waits for the loop.
func (g *Gateway) metricsView() metrics.View {
	s := g.State()
	v := metrics.View{
		Sessions:           s.Sessions,
		OpenRequests:       int(s.OpenRequests),
		QueueLength:        s.QueueLength,
		LateResponses:      s.LateResponses,
		Pressure:           s.Core.Pressure,
		UnresponsiveOwners: len(s.Core.UnresponsiveOwners),
		Servers:            serversByState(s.Core.Servers),
		Datagrams: map[string]int64{
			"sent":        s.Datagrams.Sent,
			"unsent":      s.Datagrams.Unsent,
			"taken":       s.Datagrams.Taken,
			"forged":      s.Datagrams.Forged,
			"foreign":     s.Datagrams.Foreign,
			"repeated":    s.Datagrams.Repeated,
			"over_intake": s.Datagrams.OverIntake,
		},
		FrontendRejections: s.FrontendRejections,
		Plans:              planTotals(s.Core.Customers),
		PlanChanges:        s.PlanChanges,
	}
	for _, r := range s.Reservations {
		if !r.Ended {
			v.ReservedUnits += r.HeldTokens + r.DrawnTokens
		}
	}
	if u := s.Usage; u != nil {
		v.Usage = &metrics.UsageBacklog{
			Records:           float64(u.Records) - float64(u.Acknowledged),
			Bytes:             float64(u.Bytes),
			OpenAttempts:      float64(u.OpenAttempts),
			UncoveredUnits:    u.Outbox.UncoveredUnits,
			UncoveredAttempts: float64(u.Outbox.UncoveredAttempts),
			Rejecting:         u.Rejecting,
		}
	}
	g.loop.Do(func() { v.FleetTotals = g.loop.totals.FleetTotals() })
	if g.remoteWriter != nil {
		c := g.remoteWriter.Counts()
		v.RemoteWriteWaiting = c.Waiting
		v.RemoteWriteSamples = map[string]float64{
			"sent":         float64(c.Sent),
			"rejected":     float64(c.Rejected),
			"dropped_full": float64(c.DroppedFull),
			"dropped_old":  float64(c.DroppedExpired),
		}
	}
	return v
}

// serversByState counts servers by the value of their state label.
func serversByState(servers []decide.ServerStatus) map[string]int {
	count := map[string]int{}
	for _, server := range servers {
		state := metrics.ServerServing
		switch {
		case server.State == decide.Draining:
			state = metrics.ServerDraining
		case server.State == decide.Removed:
			state = metrics.ServerRemoved
		case server.SlowStartRemaining > 0:
			state = metrics.ServerSlowStart
		case server.Ejected:
			state = metrics.ServerEjected
		}
		count[state]++
	}
	return count
}

// planTotals adds up the status of the customers of each plan. Share is not the sum but the mean.
func planTotals(customers []decide.CustomerStatus) map[string]metrics.PlanTotals {
	totals := map[string]metrics.PlanTotals{}
	count := map[string]float64{}
	for _, c := range customers {
		t := totals[c.Plan]
		t.Level += c.Level
		t.Headroom += max(0, c.HighWaterMark-c.Level)
		t.Share += c.Share
		totals[c.Plan] = t
		count[c.Plan]++
	}
	for plan, n := range count {
		t := totals[plan]
		t.Share /= n
		totals[plan] = t
	}
	return totals
}

// countAttemptEnd records the duration and outcome of an attempt that has ended.
func (l *Loop) countAttemptEnd(a *attempt, result upstream.Result) {
	a.duration, a.outcome = l.now-a.startedAt, outcomeNames[result.Outcome]
	if l.metrics != nil {
		l.metrics.AttemptEnded(a.request.Class, a.outcome, a.duration)
	}
}

// countRetry counts the next attempt of a request, a retry or a hedged request, by the outcome of the attempt
// before it, or as metrics.AfterOpen if that one is still in flight. It must be called before the next
// attempt is added. The first attempt of a request is not counted.
func (l *Loop) countRetry(r *openRequest) {
	if l.metrics == nil || len(r.attempts) == 0 {
		return
	}
	after := metrics.AfterOpen
	if last := r.attempts[len(r.attempts)-1]; last.ended {
		after = last.outcome
	}
	l.metrics.RetrySent(after)
}

// countResponse counts a finished request in the metrics of this gateway and in the totals of the fleet.
func (l *Loop) countResponse(r *openRequest, outcome string, response frontend.Response) {
	if l.metrics == nil {
		return
	}
	request := metrics.Request{
		Class:    r.Class,
		Plan:     l.effectivePlan(r),
		Member:   r.Customer,
		Outcome:  outcome,
		Reason:   response.Reason,
		Units:    response.Units,
		Duration: l.now - r.arrivedAt,
	}
	if r.sampled {
		request.TraceID = r.trace.Trace.String()
	}
	if outcome == metrics.OutcomeServed {
		for _, a := range r.attempts {
			if a.outcome == metrics.AttemptOK {
				request.AttemptDuration = a.duration
			}
		}
	}
	l.metrics.RequestEnded(request)
	totals := aggregate.Totals{Units: max(0, response.Units)}
	switch outcome {
	case metrics.OutcomeServed:
		totals.Served = 1
	case metrics.OutcomeRejected:
		totals.Rejected = 1
	case metrics.OutcomeFailed:
		totals.Failed = 1
	default:
		return
	}
	l.totals.Add(l.now, aggregate.Key{IsClass: true, Name: r.Class}, totals)
	l.totals.Add(l.now, aggregate.Key{Name: r.Customer}, totals)
}
