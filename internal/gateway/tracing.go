package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/metrics"
	"winghatch/internal/tracing"
)

// tracerStream separates the tracer's random numbers from others that are drawn with the same seed.
const tracerStream = 7

// requestTracer draws span ids and decides at the end of a request whether its trace is exported. The loop owns it; the
// exporter sends in goroutines of its own, which close ends.
type requestTracer struct {
	exporter   *tracing.Exporter
	sampler    tracing.Sampler
	random     *rand.Rand
	wallBase   time.Time                // wall clock where the loop's clock is 0
	objectives map[string]time.Duration // latency objectives by class
}

func openTracer(f *config.Fleet, rank int, now time.Duration, seed int64, log *slog.Logger) (*requestTracer, error) {
	exporter, err := tracing.New(context.Background(), tracing.Options{
		URL:            f.Tracing.URL,
		Fleet:          f.Name,
		Gateway:        rank,
		MaxQueuedSpans: f.Tracing.MaxSpans,
		Timeout:        f.Tracing.Timeout,
		Log:            log,
	})
	if err != nil {
		return nil, err
	}
	t := &requestTracer{
		exporter:   exporter,
		sampler:    tracing.Sampler{Ratio: f.Tracing.SampleFraction, MaxRate: f.Tracing.MaxPerSecond},
		random:     rand.New(rand.NewPCG(uint64(seed), tracerStream)),
		wallBase:   time.Now().Add(-now),
		objectives: map[string]time.Duration{},
	}
	for _, class := range f.Decide.Classes {
		t.objectives[class.Name] = class.LatencyObjective
	}
	return t, nil
}

// wallTime converts a time of the loop's clock.
func (t *requestTracer) wallTime(at time.Duration) time.Time { return t.wallBase.Add(at) }

// close sends the spans that wait, for flushTimeout at most; the rest is lost. It is called after the loop has ended.
func (t *requestTracer) close() {
	ctx, stop := context.WithTimeout(context.Background(), flushTimeout)
	defer stop()
	t.exporter.Close(ctx)
}

// sampleTrace notes the final answer of a request and decides whether its trace is exported.
func (l *Loop) sampleTrace(r *openRequest, outcome, reason string, units float64) {
	r.finishedAt, r.outcome, r.reason, r.responseUnits = l.now, outcome, reason, units
	if l.tracer == nil {
		return
	}
	late := l.now-r.arrivedAt > l.tracer.objectives[r.Class]
	failed := outcome == metrics.OutcomeRejected ||
		outcome == metrics.OutcomeFailed ||
		outcome == metrics.OutcomeServed && late
	r.sampled = l.tracer.sampler.Sample(l.now, failed, r.trace.Sampled, r.trace.SamplingKey())
}

// exportTrace exports the trace of a sampled request, none of whose attempts is in flight.
func (l *Loop) exportTrace(r *openRequest) {
	t := l.tracer
	if t == nil || !r.sampled {
		return
	}
	request := tracing.Request{
		Context:       r.trace,
		RequestID:     r.ID,
		Class:         r.Class,
		Member:        r.Customer,
		Plan:          l.effectivePlan(r),
		Outcome:       r.outcome,
		Reason:        r.reason,
		Units:         r.responseUnits,
		Reserved:      r.Reserved,
		Start:         t.wallTime(r.arrivedAt),
		End:           t.wallTime(r.finishedAt),
		HasQuotaOwner: l.hasQuotaOwners,
	}
	previousOutcome := ""
	for _, a := range r.attempts {
		if request.FirstAttempt.IsZero() {
			request.FirstAttempt = t.wallTime(a.startedAt)
		}
		request.Attempts = append(request.Attempts, tracing.Attempt{
			Span:            a.span,
			Server:          a.server,
			Outcome:         a.outcome,
			PreviousOutcome: previousOutcome,
			Start:           t.wallTime(a.startedAt),
			End:             t.wallTime(a.startedAt + a.duration),
		})
		previousOutcome = a.outcome
	}
	t.exporter.Export(request)
}
