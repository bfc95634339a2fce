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

// tracerStream selects the stream of random numbers of the tracer, so that it differs from other streams with
// the same seed.
const tracerStream = 7

// requestTracer generates span IDs and decides at the end of a request whether its trace is exported. It is
// owned by the loop. The exporter sends in goroutines of its own, which close ends.
type requestTracer struct {
	exporter   *tracing.Exporter
	sampler    tracing.Sampler
	random     *rand.Rand
	wallBase   time.Time                // wall-clock time at which the loop's clock reads 0
	objectives map[string]time.Duration // latency objectives by class name
}

// openTracer returns the tracer of a gateway. now is the current reading of the loop's clock.
func openTracer(f *config.Fleet, rank int, now time.Duration, seed int64, log *slog.Logger) (
	*requestTracer, error) {
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

// wallTime converts a reading of the loop's clock to wall-clock time.
func (t *requestTracer) wallTime(at time.Duration) time.Time { return t.wallBase.Add(at) }

// close sends the queued spans for at most flushTimeout and drops the rest. It is called after the loop has
// ended.
func (t *requestTracer) close() {
	ctx, stop := context.WithTimeout(context.Background(), flushTimeout)
	defer stop()
	t.exporter.Close(ctx)
}

// sampleTrace records the final answer of a request and decides whether its trace is exported.
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

// exportTrace exports the trace of a request if it is sampled. None of its attempts may be in flight.
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
