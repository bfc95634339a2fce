package gateway

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"winghatch/decide"
	"winghatch/internal/aggregate"
	"winghatch/internal/config"
	"winghatch/internal/frontend"
	"winghatch/internal/metrics"
	"winghatch/internal/remotewrite"
	"winghatch/internal/upstream"
)

// openMeasures makes the measures of a gateway, whose gauges are read from its state.
func (g *Gateway) newMetrics() *metrics.Set {
	o := metrics.Options{MaxMembers: g.fleet.Metrics.MaxMembers}
	for _, k := range g.fleet.Decide.Classes {
		o.Classes = append(o.Classes, k.Name)
	}
	for _, p := range g.fleet.Decide.Plans {
		o.Plans = append(o.Plans, p.Name)
	}
	return metrics.New(o, g.metricsView)
}

func (g *Gateway) metricsView() metrics.View {
	s := g.State()
	v := metrics.View{Sessions: s.Sessions, OpenRequests: int(s.OpenRequests), QueueLength: s.QueueLength, LateResponses: s.LateResponses, Pressure: s.Core.Pressure, UnresponsiveOwners: len(s.Core.UnresponsiveOwners),
		Servers: map[string]int{}, FrontendRejections: s.FrontendRejections, Plans: map[string]metrics.PlanTotals{}, PlanChanges: s.PlanChanges,
		Datagrams: map[string]int64{"sent": s.Datagrams.Sent, "unsent": s.Datagrams.Unsent, "taken": s.Datagrams.Taken, "forged": s.Datagrams.Forged,
			"foreign": s.Datagrams.Foreign, "repeated": s.Datagrams.Repeated, "over_intake": s.Datagrams.OverIntake}}
	for _, n := range s.Core.Servers {
		state := "serving"
		switch {
		case n.State == decide.Draining:
			state = "draining"
		case n.State == decide.Removed:
			state = "gone"
		case n.SlowStartLeft > 0:
			state = "cold"
		case n.Ejected:
			state = "ejected"
		}
		v.Servers[state]++
	}
	count := map[string]float64{}
	for _, c := range s.Core.Customers {
		p := v.Plans[c.Plan]
		p.Level += c.Level
		p.Headroom += max(0, c.HighWaterMark-c.Level)
		p.Share += c.Share
		v.Plans[c.Plan] = p
		count[c.Plan]++
	}
	for name, n := range count {
		p := v.Plans[name]
		p.Share /= n
		v.Plans[name] = p
	}
	for _, r := range s.Reservations {
		if !r.Ended {
			v.ReservedUnits += r.HeldTokens + r.DrawnTokens
		}
	}
	if e := s.Usage; e != nil {
		v.Usage = &metrics.UsageBacklog{Records: float64(e.Records) - float64(e.Acknowledged), Bytes: float64(e.Bytes), OpenAttempts: float64(e.OpenAttempts),
			UncoveredUnits: e.Outbox.UncoveredUnits, UncoveredAttempts: float64(e.Outbox.UncoveredAttempts), Rejecting: e.Rejecting}
	}
	g.loop.Do(func() { v.FleetTotals = g.loop.totals.FleetTotals() })
	if g.remoteWriter != nil {
		c := g.remoteWriter.Counts()
		v.RemoteWriteWaiting = c.Waiting
		v.RemoteWriteSamples = map[string]float64{"sent": float64(c.Sent), "rejected": float64(c.Rejected), "dropped_full": float64(c.DroppedFull),
			"dropped_old": float64(c.DroppedExpired)}
	}
	return v
}

func (g *Gateway) newRemoteWriter(m config.Metrics, log *slog.Logger) *remotewrite.Writer {
	return remotewrite.New(remotewrite.Options{URL: m.URL, Interval: m.Interval, Timeout: m.Timeout, Shards: m.Shards, MaxSamples: m.MaxSamples, MaxBytes: m.MaxBytes,
		BatchSize: m.BatchSize, MaxAge: m.MaxAge, VersionOne: m.VersionOne, Gatherer: g.loop.metrics.Registry, Log: log, Seed: g.incarnation,
		ExternalLabels: []remotewrite.Label{{Name: "fleet", Value: g.fleet.Name}, {Name: "gateway", Value: strconv.Itoa(g.rank)}, {Name: "job", Value: "winghatch"}}})
}

// flushMeasures is how long a stopping gateway goes on sending what it has measured.
const flushTimeout = 2 * time.Second

func (g *Gateway) runRemoteWriter(ctx context.Context) { g.remoteWriter.Run(ctx, flushTimeout) }

// measureEnd counts an attempt's end.
func (l *Loop) countAttemptEnd(t *attempt, res upstream.Result) {
	t.duration, t.outcome = l.now-t.startedAt, outcomeNames[res.Outcome]
	if l.metrics != nil {
		l.metrics.AttemptEnded(t.request.Class, t.outcome, t.duration)
	}
}

// measureSend counts an attempt beyond the first by how the last one ended.
func (l *Loop) countRetry(o *openRequest) {
	if l.metrics == nil || len(o.attempts) == 0 {
		return
	}
	after := "open"
	if t := o.attempts[len(o.attempts)-1]; t.ended {
		after = t.outcome
	}
	l.metrics.RetrySent(after)
}

// measureFinal counts a call's end.
func (l *Loop) countResponse(o *openRequest, outcome string, f frontend.Response) {
	if l.metrics == nil {
		return
	}
	c := metrics.Request{Class: o.Class, Plan: l.effectivePlan(o), Member: o.Customer, Outcome: outcome, Reason: f.Reason, Units: f.Units, Duration: l.now - o.arrivedAt}
	if o.sampled {
		c.TraceID = o.trace.Trace.String()
	}
	if outcome == "served" {
		for _, t := range o.attempts {
			if t.outcome == "ok" {
				c.AttemptDuration = t.duration
			}
		}
	}
	l.metrics.RequestEnded(c)
	t := aggregate.Totals{Units: max(0, f.Units)}
	switch outcome {
	case "served":
		t.Served = 1
	case "refused":
		t.Rejected = 1
	case "failed":
		t.Failed = 1
	default:
		return
	}
	l.totals.Add(l.now, aggregate.Key{Class: true, Name: o.Class}, t)
	l.totals.Add(l.now, aggregate.Key{Name: o.Customer}, t)
}

// tellSums tells the homes of names what this gateway counted, if it is time.
func (l *Loop) sendTotals() {
	for _, s := range l.totals.Tick(l.now) {
		l.sendToPeer(s.To, channelTotals, s.Data)
	}
}

// openSums makes the summer of a gateway. Without peers its own counts are all that it sums.
func (g *Gateway) newAggregator(incarnation uint64, seed int64) *aggregate.Aggregator {
	s := aggregate.Settings{Rank: g.rank, Gateways: len(g.fleet.Gateways), Incarnation: incarnation, GossipCapacity: g.fleet.Decide.GossipCapacity, Seed: seed}
	for _, k := range g.fleet.Decide.Classes {
		s.Keys = append(s.Keys, aggregate.Key{Class: true, Name: k.Name})
	}
	for _, m := range g.fleet.Members {
		s.Keys = append(s.Keys, aggregate.Key{Name: m.Name})
	}
	return aggregate.New(s)
}
