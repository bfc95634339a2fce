package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/tracing"
)

// traced is the loop's part of traces: it draws ids, decides by a call's end whether it is told, and tells it.
type traced struct {
	teller  *tracing.Teller
	sampler tracing.Sampler
	rng     *rand.Rand
	base    time.Time // wall clock at 0 of the loop's
	aims    map[string]time.Duration
}

func openTraces(f *config.Fleet, rank int, now time.Duration, seed int64, log *slog.Logger) (*traced, error) {
	t, err := tracing.New(context.Background(), tracing.Options{URL: f.Traces.To, Fleet: f.Name, Gateway: rank, Queue: f.Traces.Queue, Timeout: f.Traces.Timeout, Log: log})
	if err != nil {
		return nil, err
	}
	x := &traced{teller: t, sampler: tracing.Sampler{Share: f.Traces.Share, Rate: f.Traces.Rate}, rng: rand.New(rand.NewPCG(uint64(seed), 7)),
		base: time.Now().Add(-now), aims: map[string]time.Duration{}}
	for _, k := range f.Decide.Classes {
		x.aims[k.Name] = k.LatencyObjective
	}
	return x, nil
}

func (x *traced) wall(at time.Duration) time.Time { return x.base.Add(at) }

// finalTrace decides, at a call's final answer, whether it is told.
func (l *Loop) finalTrace(o *open, outcome string, reason string, units float64) {
	o.end, o.outcome, o.reason, o.answered = l.now, outcome, reason, units
	if l.traces == nil {
		return
	}
	bad := outcome == "refused" || outcome == "failed" || outcome == "served" && l.now-o.at > l.traces.aims[o.Class]
	o.sampled = l.traces.sampler.Take(l.now, bad, o.trace.Sampled, o.trace.ID())
}

// tellTrace tells a sampled call once nothing of it is out.
func (l *Loop) tellTrace(o *open) {
	if l.traces == nil || !o.sampled {
		return
	}
	x := l.traces
	c := tracing.Call{Context: o.trace, Request: o.ID, Class: o.Class, Member: o.Member, Plan: l.planOf(o), Outcome: o.outcome, Reason: o.reason, Units: o.answered,
		Reserved: o.Reserved, At: x.wall(o.at), End: x.wall(o.end), Home: l.homes}
	after := ""
	for _, t := range o.tries {
		if c.Sent.IsZero() {
			c.Sent = x.wall(t.at)
		}
		c.Attempts = append(c.Attempts, tracing.Attempt{Span: t.span, Node: t.node, Outcome: t.ended, After: after, At: x.wall(t.at), End: x.wall(t.at + t.took)})
		after = t.ended
	}
	x.teller.Tell(c)
}

// closeTraces sends what waits, for a moment.
func (x *traced) close() {
	ctx, stop := context.WithTimeout(context.Background(), flushMeasures)
	defer stop()
	x.teller.Close(ctx)
}
