// Package traces tells calls as OpenTelemetry traces: a span for the call, one for the wait at its customer's home, one for each
// attempt. Spans are made at a call's end, from the times that the loop has anyway: a call that is not sampled costs two
// random numbers. Context is W3C Trace Context (traceparent), taken from clients and passed to nodes.
package tracing

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Context is a call's place in a trace.
type Context struct {
	Trace   trace.TraceID
	Parent  trace.SpanID // the client's, if it gave one
	Span    trace.SpanID // the call's own
	Sampled bool         // by the client
}

// Accept reads a client's traceparent (W3C Trace Context, section 3.2); one that is malformed, or none, begins a trace.
func StartContext(parent string, rng *rand.Rand) Context {
	c := Context{Span: newSpanID(rng)}
	parts := strings.Split(parent, "-")
	if len(parts) >= 4 && len(parts[0]) == 2 && parts[0] != "ff" && len(parts[1]) == 32 && len(parts[2]) == 16 && len(parts[3]) == 2 {
		t, err1 := trace.TraceIDFromHex(parts[1])
		p, err2 := trace.SpanIDFromHex(parts[2])
		flags, err3 := hex.DecodeString(parts[3])
		if err1 == nil && err2 == nil && err3 == nil {
			c.Trace, c.Parent, c.Sampled = t, p, flags[0]&1 > 0
			return c
		}
	}
	binary.BigEndian.PutUint64(c.Trace[:8], rng.Uint64())
	binary.BigEndian.PutUint64(c.Trace[8:], rng.Uint64()|1)
	return c
}

func newSpanID(rng *rand.Rand) (s trace.SpanID) {
	binary.BigEndian.PutUint64(s[:], rng.Uint64()|1)
	return s
}

// NewSpan draws the id of an attempt's span.
func NewSpanID(rng *rand.Rand) trace.SpanID { return newSpanID(rng) }

// Parent is the traceparent that a node is given for an attempt.
func (c Context) Traceparent(span trace.SpanID) string {
	flags := "00"
	if c.Sampled {
		flags = "01"
	}
	return "00-" + c.Trace.String() + "-" + span.String() + "-" + flags
}

// ID is what a sampler decides by.
func (c Context) ID() uint64 { return binary.BigEndian.Uint64(c.Trace[8:]) }

// Attempt is one of a call's.
type Attempt struct {
	Span            trace.SpanID
	Server          string
	Outcome         string
	PreviousOutcome string // how the one before had ended; empty: the first
	Start, End      time.Time
}

// Call is a call that has ended.
type Request struct {
	Context
	Request, Class, Member, Plan string
	Outcome, Reason              string
	Units                        float64
	Reserved                     bool
	Start, End                   time.Time
	FirstAttempt                 time.Time // of the first attempt; zero: none
	HasQuotaOwner                bool      // the wait before it was for a home's word
	Attempts                     []Attempt
}

// Options tell a teller where traces go.
type Options struct {
	URL     string // of an OTLP receiver, http://host:port/v1/traces
	Fleet   string
	Gateway int
	Queue   int // spans that wait at most; more are dropped
	Timeout time.Duration
	Log     *slog.Logger
}

// Teller sends traces.
type Exporter struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
}

type idKey struct{}

type spanIDs struct {
	trace trace.TraceID
	span  trace.SpanID
}

// given hands out the ids that the context holds.
type contextIDs struct{}

func (contextIDs) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	i := ctx.Value(idKey{}).(spanIDs)
	return i.trace, i.span
}

func (contextIDs) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	return ctx.Value(idKey{}).(spanIDs).span
}

// New returns a teller. It holds no call up: what does not fit into its queue is dropped.
func New(ctx context.Context, o Options) (*Exporter, error) {
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.URL), otlptracehttp.WithTimeout(o.Timeout))
	if err != nil {
		return nil, err
	}
	if o.Log != nil {
		otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { o.Log.Warn("traces can't be sent", "err", err) }))
	}
	res := resource.NewSchemaless(attribute.String("service.name", "winghatch"), attribute.String("service.namespace", o.Fleet),
		attribute.Int("service.instance.id", o.Gateway))
	p := sdk.NewTracerProvider(sdk.WithBatcher(exp, sdk.WithMaxQueueSize(o.Queue), sdk.WithBatchTimeout(time.Second)), sdk.WithIDGenerator(contextIDs{}),
		sdk.WithSampler(sdk.AlwaysSample()), sdk.WithResource(res))
	return &Exporter{p, p.Tracer("winghatch/gateway")}, nil
}

// Close sends what waits, within the context.
func (t *Exporter) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }

// Tell makes the spans of a call.
func (t *Exporter) Export(c Request) {
	ctx := context.Background()
	if c.Parent.IsValid() {
		ctx = trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{TraceID: c.Trace, SpanID: c.Parent,
			TraceFlags: trace.FlagsSampled, Remote: true}))
	}
	with := func(ctx context.Context, span trace.SpanID) context.Context {
		return context.WithValue(ctx, idKey{}, spanIDs{c.Trace, span})
	}
	ctx, span := t.tracer.Start(with(ctx, c.Span), c.Class, trace.WithTimestamp(c.Start), trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("winghatch.request", c.Request), attribute.String("winghatch.member", c.Member), attribute.String("winghatch.plan", c.Plan),
		attribute.String("winghatch.outcome", c.Outcome), attribute.Float64("winghatch.units", c.Units), attribute.Bool("winghatch.reserved", c.Reserved),
		attribute.Int("winghatch.attempts", len(c.Attempts))))
	if c.Reason != "" {
		span.SetAttributes(attribute.String("winghatch.reason", c.Reason))
	}
	if c.Outcome == "failed" {
		span.SetStatus(codes.Error, "failed")
	}
	if c.HasQuotaOwner && !c.FirstAttempt.IsZero() && c.FirstAttempt.After(c.Start) {
		var id trace.SpanID
		binary.BigEndian.PutUint64(id[:], binary.BigEndian.Uint64(c.Span[:])^0x5bd1e995)
		_, home := t.tracer.Start(with(ctx, id), "wait at home", trace.WithTimestamp(c.Start))
		home.End(trace.WithTimestamp(c.FirstAttempt))
	}
	for i, a := range c.Attempts {
		_, s := t.tracer.Start(with(ctx, a.Span), "attempt", trace.WithTimestamp(a.Start), trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
			attribute.Int("winghatch.attempt", i), attribute.String("server.address", a.Server), attribute.String("winghatch.outcome", a.Outcome)))
		if a.PreviousOutcome != "" {
			s.SetAttributes(attribute.String("winghatch.after", a.PreviousOutcome))
		}
		if a.Outcome != "ok" {
			s.SetStatus(codes.Error, a.Outcome)
		}
		s.End(trace.WithTimestamp(a.End))
	}
	span.End(trace.WithTimestamp(c.End))
}
