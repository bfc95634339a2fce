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
	upstreamws "winghatch/internal/upstream/websocket"
)

// openMeasures makes the measures of a gateway, whose gauges are read from its state.
func (g *Gateway) openMeasures() *metrics.Set {
	o := metrics.Options{Members: g.fleet.Measures.Members}
	for _, k := range g.fleet.Decide.Classes {
		o.Classes = append(o.Classes, k.Name)
	}
	for _, p := range g.fleet.Decide.Plans {
		o.Plans = append(o.Plans, p.Name)
	}
	return metrics.New(o, g.view)
}

func (g *Gateway) view() metrics.View {
	s := g.State()
	v := metrics.View{Sessions: s.Sessions, Open: int(s.Open), Queue: s.Queue, Late: s.Late, Pressed: s.Core.Pressure, Silent: len(s.Core.UnresponsiveOwners),
		Nodes: map[string]int{}, TurnedAway: s.TurnedAway, Plans: map[string]metrics.Plan{}, Changes: s.Changes,
		Peers: map[string]int64{"sent": s.Datagrams.Sent, "unsent": s.Datagrams.Unsent, "taken": s.Datagrams.Taken, "forged": s.Datagrams.Forged,
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
		v.Nodes[state]++
	}
	count := map[string]float64{}
	for _, c := range s.Core.Customers {
		p := v.Plans[c.Plan]
		p.Level += c.Level
		p.Room += max(0, c.HighWaterMark-c.Level)
		p.Part += c.Share
		v.Plans[c.Plan] = p
		count[c.Plan]++
	}
	for name, n := range count {
		p := v.Plans[name]
		p.Part /= n
		v.Plans[name] = p
	}
	for _, r := range s.Reservations {
		if !r.Ended {
			v.Reserved += r.Free + r.Drawn
		}
	}
	if e := s.Export; e != nil {
		v.Export = &metrics.Export{Records: float64(e.Records) - float64(e.Acked), Bytes: float64(e.Bytes), Open: float64(e.Open),
			UncoveredUnits: e.Desk.UncoveredUnits, UncoveredTries: float64(e.Desk.Uncovered), Refusing: e.Refusing}
	}
	g.loop.Ask(func() { v.Sums = g.loop.sums.Sums() })
	if g.writer != nil {
		c := g.writer.Counts()
		v.Waiting = c.Waiting
		v.Send = map[string]float64{"sent": float64(c.Sent), "rejected": float64(c.Rejected), "dropped_full": float64(c.DroppedFull),
			"dropped_old": float64(c.DroppedOld)}
	}
	return v
}

func (g *Gateway) openWriter(m config.Measures, log *slog.Logger) *remotewrite.Writer {
	return remotewrite.New(remotewrite.Options{URL: m.To, Every: m.Every, Timeout: m.Timeout, Shards: m.Shards, Items: m.Queue, Bytes: m.Memory,
		Batch: m.Batch, MaxAge: m.MaxAge, Old: m.Old, Gather: g.loop.measures.Registry, Log: log, Seed: g.epoch,
		Labels: []remotewrite.Label{{Name: "fleet", Value: g.fleet.Name}, {Name: "gateway", Value: strconv.Itoa(g.rank)}, {Name: "job", Value: "winghatch"}}})
}

// flushMeasures is how long a stopping gateway goes on sending what it has measured.
const flushMeasures = 2 * time.Second

func (g *Gateway) runWriter(ctx context.Context) { g.writer.Run(ctx, flushMeasures) }

// measureEnd counts an attempt's end.
func (l *Loop) measureEnd(t *try, res upstreamws.Result) {
	t.took, t.ended = l.now-t.at, outcomeNames[res.Outcome]
	if l.measures != nil {
		l.measures.Attempt(t.o.Class, t.ended, t.took)
	}
}

// measureSend counts an attempt beyond the first by how the last one ended.
func (l *Loop) measureSend(o *open) {
	if l.measures == nil || len(o.tries) == 0 {
		return
	}
	after := "open"
	if t := o.tries[len(o.tries)-1]; t.over {
		after = t.ended
	}
	l.measures.Further(after)
}

// measureFinal counts a call's end.
func (l *Loop) measureFinal(o *open, outcome string, f frontend.Final) {
	if l.measures == nil {
		return
	}
	c := metrics.Call{Class: o.Class, Plan: l.planOf(o), Member: o.Member, Outcome: outcome, Reason: f.Reason, Units: f.Units, Took: l.now - o.at}
	if o.sampled {
		c.Trace = o.trace.Trace.String()
	}
	if outcome == "served" {
		for _, t := range o.tries {
			if t.ended == "ok" {
				c.AtNode = t.took
			}
		}
	}
	l.measures.Final(c)
	t := aggregate.Totals{Units: max(0, f.Units)}
	switch outcome {
	case "served":
		t.Served = 1
	case "refused":
		t.Refused = 1
	case "failed":
		t.Failed = 1
	default:
		return
	}
	l.sums.Add(l.now, aggregate.Name{Class: true, Name: o.Class}, t)
	l.sums.Add(l.now, aggregate.Name{Name: o.Member}, t)
}

// tellSums tells the homes of names what this gateway counted, if it is time.
func (l *Loop) tellSums() {
	for _, s := range l.sums.Tick(l.now) {
		l.tell(s.To, chanSums, s.Data)
	}
}

// openSums makes the summer of a gateway. Without peers its own counts are all that it sums.
func (g *Gateway) openSums(life uint64, seed int64) *aggregate.Summer {
	s := aggregate.Settings{Rank: g.rank, Gateways: len(g.fleet.Gateways), Life: life, Intake: g.fleet.Decide.GossipCapacity, Seed: seed}
	for _, k := range g.fleet.Decide.Classes {
		s.Names = append(s.Names, aggregate.Name{Class: true, Name: k.Name})
	}
	for _, m := range g.fleet.Members {
		s.Names = append(s.Names, aggregate.Name{Name: m.Name})
	}
	return aggregate.New(s)
}
