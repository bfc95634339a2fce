package tracing

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"strings"

	"go.opentelemetry.io/otel/trace"
)

// Context identifies the trace and the span of a request.
type Context struct {
	Trace   trace.TraceID
	Parent  trace.SpanID // span of the client; zero: the client sent none
	Span    trace.SpanID // span of the request
	Sampled bool         // whether the client samples the trace
}

// StartContext returns the context of a new request with the given traceparent header (W3C Trace Context,
// section 3.2). If the header is empty or malformed, the request starts a new trace, whose id is drawn from
// random.
func StartContext(traceparent string, random *rand.Rand) Context {
	c := Context{Span: NewSpanID(random)}
	if c.parse(traceparent) {
		return c
	}
	binary.BigEndian.PutUint64(c.Trace[:8], random.Uint64())
	binary.BigEndian.PutUint64(c.Trace[8:], random.Uint64()|1) // an id of zeros is invalid
	return c
}

// parse sets the trace, the parent and the sampled flag from a traceparent: version, trace id, span id and
// flags, all in hexadecimal. If the traceparent is malformed, parse returns false and changes nothing. A
// later version may have more fields. Version ff is invalid.
func (c *Context) parse(traceparent string) bool {
	fields := strings.Split(traceparent, "-")
	if len(fields) < 4 || len(fields[0]) != 2 || fields[0] == "ff" ||
		len(fields[1]) != 32 || len(fields[2]) != 16 || len(fields[3]) != 2 {
		return false
	}
	traceID, err := trace.TraceIDFromHex(fields[1])
	if err != nil {
		return false
	}
	parent, err := trace.SpanIDFromHex(fields[2])
	if err != nil {
		return false
	}
	flags, err := hex.DecodeString(fields[3])
	if err != nil {
		return false
	}
	c.Trace, c.Parent = traceID, parent
	c.Sampled = trace.TraceFlags(flags[0]).IsSampled()
	return true
}

// NewSpanID returns a random span id. It is never zero, because a zero id is invalid.
func NewSpanID(random *rand.Rand) (id trace.SpanID) {
	binary.BigEndian.PutUint64(id[:], random.Uint64()|1)
	return id
}

// Traceparent returns the traceparent header that is sent to a server with an attempt. span is the span of
// the attempt.
func (c Context) Traceparent(span trace.SpanID) string {
	flags := "00"
	if c.Sampled {
		flags = "01"
	}
	return "00-" + c.Trace.String() + "-" + span.String() + "-" + flags
}

// SamplingKey returns the low 64 bits of the trace id, by which Sampler.Sample decides.
func (c Context) SamplingKey() uint64 { return binary.BigEndian.Uint64(c.Trace[8:]) }
