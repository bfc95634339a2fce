// Package tracing exports requests as OpenTelemetry traces: a span for the request, one for its wait for a quota
// owner, one for each attempt. The spans are made when the request is finished, from times that the event loop has
// anyway, so that a request that is not sampled costs two random numbers. The context is W3C Trace Context, taken
// from clients and passed on to servers.
package tracing

import (
	"context"
	"encoding/binary"
	"log/slog"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// batchTimeout is how long a span waits for others of its batch.
const batchTimeout = time.Second

// Outcomes of a request and an attempt that have a meaning for the status of their spans.
const (
	requestFailed = "failed"
	attemptOK     = "ok"
)

// Request is a request that is finished.
type Request struct {
	Context
	RequestID     string // id
	Class         string
	Member        string
	Plan          string
	Outcome       string
	Reason        string // of a rejected one
	Units         float64
	Reserved      bool
	Start, End    time.Time
	FirstAttempt  time.Time // start of the first attempt; zero: there was none
	HasQuotaOwner bool      // it waited for a quota owner before its first attempt
	Attempts      []Attempt
}

// Attempt is an attempt of a request.
type Attempt struct {
	Span            trace.SpanID
	Server          string
	Outcome         string
	PreviousOutcome string // of the attempt before; empty: it was the first
	Start, End      time.Time
}

// Options configure an exporter.
type Options struct {
	URL            string // of an OTLP receiver, http://host:port/v1/traces
	Fleet          string
	Gateway        int           // rank
	MaxQueuedSpans int           // spans that wait at most; more are dropped
	Timeout        time.Duration // of a request to the receiver
	Log            *slog.Logger  // nil: failures are not logged
}

// Exporter sends traces, in goroutines of the OpenTelemetry library that Close ends.
type Exporter struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
}

// New returns an exporter. Its Export never blocks: spans that don't fit into the queue are dropped.
func New(ctx context.Context, o Options) (*Exporter, error) {
	client, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.URL), otlptracehttp.WithTimeout(o.Timeout))
	if err != nil {
		return nil, err
	}
	if o.Log != nil {
		otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
			o.Log.Warn("Failed to send traces", "err", err)
		}))
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(client, sdk.WithMaxQueueSize(o.MaxQueuedSpans), sdk.WithBatchTimeout(batchTimeout)),
		sdk.WithIDGenerator(contextIDs{}),
		sdk.WithSampler(sdk.AlwaysSample()), // the sampling is Sampler's
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "winghatch"),
			attribute.String("service.namespace", o.Fleet),
			attribute.Int("service.instance.id", o.Gateway),
		)),
	)
	return &Exporter{provider, provider.Tracer("winghatch/gateway")}, nil
}

// Close sends the spans that wait until ctx ends, and ends the exporter's goroutines.
func (e *Exporter) Close(ctx context.Context) error { return e.provider.Shutdown(ctx) }

// Export makes the spans of a request.
func (e *Exporter) Export(r Request) {
	ctx := context.Background()
	if r.Parent.IsValid() {
		ctx = trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{
			TraceID:    r.Trace,
			SpanID:     r.Parent,
			TraceFlags: trace.FlagsSampled,
			Remote:     true,
		}))
	}
	ctx, span := e.tracer.Start(withIDs(ctx, r.Trace, r.Span), r.Class,
		trace.WithTimestamp(r.Start),
		trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(
			attribute.String("winghatch.request", r.RequestID),
			attribute.String("winghatch.member", r.Member),
			attribute.String("winghatch.plan", r.Plan),
			attribute.String("winghatch.outcome", r.Outcome),
			attribute.Float64("winghatch.units", r.Units),
			attribute.Bool("winghatch.reserved", r.Reserved),
			attribute.Int("winghatch.attempts", len(r.Attempts)),
		))
	if r.Reason != "" {
		span.SetAttributes(attribute.String("winghatch.reason", r.Reason))
	}
	if r.Outcome == requestFailed {
		span.SetStatus(codes.Error, requestFailed)
	}
	if r.HasQuotaOwner && r.FirstAttempt.After(r.Start) {
		e.exportWait(ctx, &r)
	}
	for i := range r.Attempts {
		e.exportAttempt(ctx, r.Trace, i, &r.Attempts[i])
	}
	span.End(trace.WithTimestamp(r.End))
}

// waitSpanName is the name of the span of the wait for a quota owner. Searches and dashboards know it, so it never
// changes.
const waitSpanName = "wait at home"

// exportWait makes the span of the wait for a quota owner. Its id is made from the request's, as none was drawn for it.
func (e *Exporter) exportWait(ctx context.Context, r *Request) {
	const idMask = 0x5bd1e995 // any that is not 0
	var id trace.SpanID
	binary.BigEndian.PutUint64(id[:], binary.BigEndian.Uint64(r.Span[:])^idMask)
	_, span := e.tracer.Start(withIDs(ctx, r.Trace, id), waitSpanName, trace.WithTimestamp(r.Start))
	span.End(trace.WithTimestamp(r.FirstAttempt))
}

func (e *Exporter) exportAttempt(ctx context.Context, traceID trace.TraceID, number int, a *Attempt) {
	_, span := e.tracer.Start(withIDs(ctx, traceID, a.Span), "attempt",
		trace.WithTimestamp(a.Start),
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.Int("winghatch.attempt", number),
			attribute.String("server.address", a.Server),
			attribute.String("winghatch.outcome", a.Outcome),
		))
	if a.PreviousOutcome != "" {
		span.SetAttributes(attribute.String("winghatch.after", a.PreviousOutcome))
	}
	if a.Outcome != attemptOK {
		span.SetStatus(codes.Error, a.Outcome)
	}
	span.End(trace.WithTimestamp(a.End))
}

// contextIDs gives spans the ids that withIDs put into the context: servers got them before the spans are made.
type contextIDs struct{}

type (
	idsKey  struct{}
	spanIDs struct {
		trace trace.TraceID
		span  trace.SpanID
	}
)

func withIDs(ctx context.Context, traceID trace.TraceID, spanID trace.SpanID) context.Context {
	return context.WithValue(ctx, idsKey{}, spanIDs{traceID, spanID})
}

// NewIDs implements sdk.IDGenerator.
func (contextIDs) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	ids := ctx.Value(idsKey{}).(spanIDs)
	return ids.trace, ids.span
}

// NewSpanID implements sdk.IDGenerator.
func (contextIDs) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	return ctx.Value(idsKey{}).(spanIDs).span
}
