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
type requestTracer struct {
	exporter   *tracing.Exporter
	sampler    tracing.Sampler
	random     *rand.Rand
	wallBase   time.Time // wall clock at 0 of the loop's
	objectives map[string]time.Duration
}

func openTracer(f *config.Fleet, rank int, now time.Duration, seed int64, log *slog.Logger) (*requestTracer, error) {
	t, err := tracing.New(context.Background(), tracing.Options{URL: f.Tracing.URL, Fleet: f.Name, Gateway: rank, Queue: f.Tracing.MaxSpans, Timeout: f.Tracing.Timeout, Log: log})
	if err != nil {
		return nil, err
	}
	x := &requestTracer{exporter: t, sampler: tracing.Sampler{Ratio: f.Tracing.SampleFraction, MaxRate: f.Tracing.MaxPerSecond}, random: rand.New(rand.NewPCG(uint64(seed), 7)),
		wallBase: time.Now().Add(-now), objectives: map[string]time.Duration{}}
	for _, k := range f.Decide.Classes {
		x.objectives[k.Name] = k.LatencyObjective
	}
	return x, nil
}

func (x *requestTracer) wallTime(at time.Duration) time.Time { return x.wallBase.Add(at) }

// finalTrace decides, at a call's final answer, whether it is told.
func (l *Loop) sampleTrace(o *openRequest, outcome string, reason string, units float64) {
	o.finishedAt, o.outcome, o.reason, o.responseUnits = l.now, outcome, reason, units
	if l.tracer == nil {
		return
	}
	bad := outcome == "refused" || outcome == "failed" || outcome == "served" && l.now-o.arrivedAt > l.tracer.objectives[o.Class]
	o.sampled = l.tracer.sampler.Sample(l.now, bad, o.trace.Sampled, o.trace.ID())
}

// tellTrace tells a sampled call once nothing of it is out.
func (l *Loop) exportTrace(o *openRequest) {
	if l.tracer == nil || !o.sampled {
		return
	}
	x := l.tracer
	c := tracing.Request{Context: o.trace, Request: o.ID, Class: o.Class, Member: o.Customer, Plan: l.effectivePlan(o), Outcome: o.outcome, Reason: o.reason, Units: o.responseUnits,
		Reserved: o.Reserved, Start: x.wallTime(o.arrivedAt), End: x.wallTime(o.finishedAt), HasQuotaOwner: l.hasQuotaOwners}
	after := ""
	for _, t := range o.attempts {
		if c.FirstAttempt.IsZero() {
			c.FirstAttempt = x.wallTime(t.startedAt)
		}
		c.Attempts = append(c.Attempts, tracing.Attempt{Span: t.span, Server: t.server, Outcome: t.outcome, PreviousOutcome: after, Start: x.wallTime(t.startedAt), End: x.wallTime(t.startedAt + t.duration)})
		after = t.outcome
	}
	x.exporter.Export(c)
}

// closeTraces sends what waits, for a moment.
func (x *requestTracer) close() {
	ctx, stop := context.WithTimeout(context.Background(), flushTimeout)
	defer stop()
	x.exporter.Close(ctx)
}
