package pacing

import "time"

// Work counts what the input of a client causes.
type Work struct {
	Accepts      int // accepted connections
	Reads        int // reads from the socket
	Bytes        int // bytes read
	Chunks       int // chunks of bodies
	HealthChecks int
	BadRequests  int // requests that are answered before they reach the core
	// PipelinedRequests are requests that reach the core and were sent before their client had the last answer.
	// A client that awaits each answer limits itself.
	PipelinedRequests int
}

// Estimated processor time. The estimates are high, because several gateways may share a slow core.
const (
	acceptTime      = 50 * time.Microsecond
	readTime        = 5 * time.Microsecond
	byteTime        = time.Nanosecond
	chunkTime       = 200 * time.Nanosecond
	healthCheckTime = 20 * time.Microsecond
	requestTime     = 200 * time.Microsecond
)

// connTime is the estimate for all that a new connection causes whose client does not await each answer: it is
// accepted, its reader starts, takes a few reads and ends it. Work.Accepts is the part that counts as input.
const connTime = 100 * time.Microsecond

// badRequestTime includes the end of the connection. It is more than a new connection may cause, so that bad
// requests on ever new connections are bounded too.
const badRequestTime = minEqualBurst

// minChargeTime is the least work that is worth a call of [Budget.Charge]. A wait then pays for several small
// messages, not for a single one.
const minChargeTime = 100 * time.Microsecond

// input returns the estimated processor time of all but pipelined requests.
func (w Work) input() time.Duration {
	return time.Duration(w.Accepts)*acceptTime +
		time.Duration(w.Reads)*readTime +
		time.Duration(w.Bytes)*byteTime +
		time.Duration(w.Chunks)*chunkTime +
		time.Duration(w.HealthChecks)*healthCheckTime +
		time.Duration(w.BadRequests)*badRequestTime
}

// requests returns the estimated processor time of pipelined requests.
func (w Work) requests() time.Duration { return time.Duration(w.PipelinedRequests) * requestTime }

// Add returns the sum of two counts.
func (w Work) Add(other Work) Work {
	return Work{
		Accepts:           w.Accepts + other.Accepts,
		Reads:             w.Reads + other.Reads,
		Bytes:             w.Bytes + other.Bytes,
		Chunks:            w.Chunks + other.Chunks,
		HealthChecks:      w.HealthChecks + other.HealthChecks,
		BadRequests:       w.BadRequests + other.BadRequests,
		PipelinedRequests: w.PipelinedRequests + other.PipelinedRequests,
	}
}

// IsChargeable reports whether the work is worth a call of [Budget.Charge].
func (w Work) IsChargeable() bool { return w.input()+w.requests() >= minChargeTime }
