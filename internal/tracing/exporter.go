// Package tracing exports requests as OpenTelemetry traces. A trace has a span for the request, one for the
// wait for a quota owner, and one for each attempt. The spans are created after the request has ended, from
// times that the event loop records in any case, so that a request that is not sampled costs only two random
// numbers. The trace context (W3C Trace Context) is received from clients and sent on to servers.
package tracing

import (
	"context"
	"encoding/binary"
	"fmt"
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

// batchTimeout is the longest time that a span waits for its batch to fill.
const batchTimeout = time.Second

// Outcomes that determine the status of a span: a request with the outcome requestFailed and an attempt with
// any outcome other than attemptOK get the status error.
const (
	requestFailed = "failed"
	attemptOK     = "ok"
)

// Request describes a request that has ended.
type Request struct {
	Context
	RequestID     string
	Class         string
	Member        string
	Plan          string
	Outcome       string    // one of the Outcome constants of package metrics
	Reason        string    // reason of the rejection; empty: the request was not rejected
	Units         float64   // units of the response
	Reserved      bool      // whether the request used a reservation
	Start, End    time.Time // arrival and final answer
	FirstAttempt  time.Time // start of the first attempt; zero: there was none
	HasQuotaOwner bool      // whether the time before the first attempt is a wait for a quota owner
	Attempts      []Attempt
}

// Attempt describes an attempt of a request.
type Attempt struct {
	Span            trace.SpanID
	Server          string // address of the server
	Outcome         string // metrics.AttemptOK or the name of the failure
	PreviousOutcome string // outcome of the previous attempt; empty: this is the first attempt
	Start, End      time.Time
}

// Options configures an Exporter.
type Options struct {
	URL            string        // OTLP receiver, such as http://host:port/v1/traces
	Fleet          string        // name of the fleet
	Gateway        int           // rank of the gateway
	MaxQueuedSpans int           // spans that may wait to be sent; further spans are dropped
	Timeout        time.Duration // time limit for a request to the receiver
	Log            *slog.Logger  // logs failures; nil: the library's error handler is not changed
}

// Exporter sends traces to an OTLP receiver. The OpenTelemetry library sends them in its own goroutines,
// which run until Close.
type Exporter struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
}

// New returns an Exporter. Its Export method never blocks: spans that do not fit into the queue are dropped.
// If o.Log is not nil, New sets the error handler of the OpenTelemetry library for the whole process. An
// error means that the client of the receiver could not be created.
func New(ctx context.Context, o Options) (*Exporter, error) {
	client, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpointURL(o.URL), otlptracehttp.WithTimeout(o.Timeout))
	if err != nil {
		return nil, fmt.Errorf("tracing: create the client of the trace receiver: %w", err)
	}
	if o.Log != nil {
		otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
			o.Log.Warn("Failed to send traces", "err", err)
		}))
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(client, sdk.WithMaxQueueSize(o.MaxQueuedSpans), sdk.WithBatchTimeout(batchTimeout)),
		sdk.WithIDGenerator(contextIDs{}),
		sdk.WithSampler(sdk.AlwaysSample()), // Sampler has already selected the requests
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "winghatch"),
			attribute.String("service.namespace", o.Fleet),
			attribute.Int("service.instance.id", o.Gateway),
		)),
	)
	return &Exporter{provider, provider.Tracer("winghatch/gateway")}, nil
}

// Close sends the spans that wait, until ctx ends at the latest, and stops the goroutines of the exporter.
func (e *Exporter) Close(ctx context.Context) error { return e.provider.Shutdown(ctx) }

// Export queues the spans of a request.
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

// waitSpanName is the name of the span of the wait for a quota owner. It must not change, because searches
// and dashboards use it.
const waitSpanName = "wait at home"

// exportWait queues the span of the wait for a quota owner. The span id is derived from that of the request,
// because no random id was drawn for it.
func (e *Exporter) exportWait(ctx context.Context, r *Request) {
	const idMask = 0x5bd1e995 // any value except 0, so that the two ids differ
	var id trace.SpanID
	binary.BigEndian.PutUint64(id[:], binary.BigEndian.Uint64(r.Span[:])^idMask)
	_, span := e.tracer.Start(withIDs(ctx, r.Trace, id), waitSpanName, trace.WithTimestamp(r.Start))
	span.End(trace.WithTimestamp(r.FirstAttempt))
}

// exportAttempt queues the span of an attempt. number counts the attempts of the request from 0.
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

// contextIDs implements sdk.IDGenerator. It returns the ids that withIDs stored in the context. The library
// must not generate its own, because servers received the ids before the spans are created.
type contextIDs struct{}

type (
	idsKey  struct{}
	spanIDs struct {
		trace trace.TraceID
		span  trace.SpanID
	}
)

// withIDs returns a context with the ids of the next span to be started.
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
