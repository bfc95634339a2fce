package tracing

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"strings"

	"go.opentelemetry.io/otel/trace"
)

// Context is the place of a request in a trace.
type Context struct {
	Trace   trace.TraceID
	Parent  trace.SpanID // the client's; zero: it gave none
	Span    trace.SpanID // the request's own
	Sampled bool         // by the client
}

// StartContext reads a client's traceparent (W3C Trace Context, section 3.2). Without one, or with one that is
// malformed, it starts a trace of its own.
func StartContext(traceparent string, random *rand.Rand) Context {
	c := Context{Span: NewSpanID(random)}
	if c.parse(traceparent) {
		return c
	}
	binary.BigEndian.PutUint64(c.Trace[:8], random.Uint64())
	binary.BigEndian.PutUint64(c.Trace[8:], random.Uint64()|1) // an id of zeros would be invalid
	return c
}

// parse takes the fields of a traceparent, if it is well formed: version, trace id, span id and flags in hexadecimal. A
// later version may have more fields; version ff is invalid.
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

// NewSpanID draws the id of a span. It is never zero, which would be invalid.
func NewSpanID(random *rand.Rand) (id trace.SpanID) {
	binary.BigEndian.PutUint64(id[:], random.Uint64()|1)
	return id
}

// Traceparent returns what a server is sent with an attempt, whose span is given.
func (c Context) Traceparent(span trace.SpanID) string {
	flags := "00"
	if c.Sampled {
		flags = "01"
	}
	return "00-" + c.Trace.String() + "-" + span.String() + "-" + flags
}

// SamplingKey returns the part of the trace's id that the sampler decides by.
func (c Context) SamplingKey() uint64 { return binary.BigEndian.Uint64(c.Trace[8:]) }
