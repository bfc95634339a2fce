// Package upstream defines the types that all transports to the servers share: Call, which is one attempt of
// a request that is being sent to a server, and Result, which describes how the call ended.
//
// The sub-packages http and websocket implement the transports. They do not select servers and never retry a
// call; package decide does both.
package upstream

import (
	"encoding/json"
	"sync/atomic"

	"winghatch/decide"
	"winghatch/internal/memory"
)

// Result describes how a call ended.
type Result struct {
	// Outcome is the kind of ending. The core decides by it whether a retry could run the request twice, so
	// it must be exact: OutcomeConnectFailed means that the call provably never ran because its last byte was
	// not written, OutcomeRejected that the server reported that it did not execute the call, and
	// OutcomeReset that the connection broke after the call may have run.
	Outcome decide.Outcome
	// Body is the body of the server's response, or its first part. It is empty unless Outcome is OutcomeOK.
	Body json.RawMessage
	// Rest are further parts of the body. Only the transport for HTTP splits bodies.
	Rest [][]byte
	// Memory is the reservation for the body. Who takes the result releases it.
	Memory *memory.Reservation
	// ActualUnits is the cost of the request in units, as reported in the response. Zero means that the
	// response did not report it.
	ActualUnits float64
	// ReportedUsage is 1 plus the customer's usage in percent of its rate, as reported in the response. Zero
	// means that the response did not report it.
	ReportedUsage int
	// LoadReport is the load of the server, as reported in the response. Nil means that the response did not
	// report it.
	LoadReport decide.LoadReport
}

// The states of a call. The state only ever advances.
const (
	stateWaiting int32 = iota // the last byte was not written, so the call cannot have run
	stateSent                 // the call may have run
	stateEnded                // the call has a result or was abandoned
)

// Call is one attempt that a transport sends to a server. Done is called exactly once, unless Abandon ends
// the call first. All methods are safe for concurrent use.
type Call struct {
	// Server is the address of the server as host:port, or, in transports that are given a list of servers,
	// the ID of the server in that list.
	Server string
	// Method is the name of the method to call, for transports that have one.
	Method string
	// Params is the content to send, in the encoding of the transport.
	Params []byte
	// Done receives the result. It must not block.
	Done func(Result)

	// Cancelled reports whether the call must no longer be sent because its client has disconnected or its
	// deadline or deduplication window has passed. Transports ask it immediately before the write: a call
	// that waited for its connection or for space in the send buffer would otherwise be written long after
	// the decision to send it. Nil means that the call is never cancelled.
	Cancelled func() bool
	// WriteStarts is called immediately before the first byte of the call is written. From then on the call
	// may have run, unless its result says otherwise. Nil means that nobody needs to know.
	WriteStarts func()
	// BuildParams returns the content to send in place of Params. It is called at the time of the write, so
	// that the remaining time that the content states is correct then. Nil means that Params is sent.
	BuildParams func() []byte
	// Content are further bytes of the call, which follow Params.
	Content [][]byte
	// Memory is the reservation for Content. A transport that may refer to Content after the end of the call
	// retains it.
	Memory *memory.Reservation

	// TransportState is the connection that carries the call. Only the transport uses it.
	TransportState any
	// ID is the number of the call on its connection. Only the transport uses it.
	ID uint64

	state atomic.Int32
}

// IsCancelled reports whether the call must no longer be written, see Cancelled.
func (c *Call) IsCancelled() bool { return c.Cancelled != nil && c.Cancelled() }

// NoteWrite reports to the creator of the call that its write begins, see WriteStarts.
func (c *Call) NoteWrite() {
	if c.WriteStarts != nil {
		c.WriteStarts()
	}
}

// AbandonResult states whether an abandoned call may have run.
type AbandonResult int

// The results of Abandon.
const (
	AlreadyEnded AbandonResult = iota // Done was called or is being called
	NotSent                           // the call never ran, and Done will not be called
	MayHaveRun                        // the call may have run or may still run, and Done will not be called
)

// Abandon ends the call without a result and reports whether it may have run.
func (c *Call) Abandon() AbandonResult {
	switch previous, first := c.end(); {
	case !first:
		return AlreadyEnded
	case previous == stateWaiting:
		return NotSent
	}
	return MayHaveRun
}

// Waiting reports whether the call has neither ended nor been marked as sent.
func (c *Call) Waiting() bool { return c.state.Load() == stateWaiting }

// MarkSent records that the call may have run from now on. The writer calls it before it writes the last
// byte. A writer that calls it only after the write has to hold the lock that the Abandon method of its pool
// acquires, because Abandon would otherwise report a written call as NotSent. MarkSent returns false if the
// call has ended and must not be written.
func (c *Call) MarkSent() bool { return c.state.CompareAndSwap(stateWaiting, stateSent) }

// end moves the call to stateEnded and returns its previous state. The result first is true for the one
// caller that ended the call.
func (c *Call) end() (previous int32, first bool) {
	previous = c.state.Swap(stateEnded)
	return previous, previous != stateEnded
}

// Finish ends the call with a result. If the call has already ended or was abandoned, it only releases the memory
// of the result.
func (c *Call) Finish(r Result) {
	if _, first := c.end(); first {
		c.Done(r)
		return
	}
	r.Memory.Release()
}

// ConnectionLost ends the call after its connection was lost or could not be established. The outcome is
// OutcomeReset if the call may have run and OutcomeConnectFailed if not. It does nothing if the call has
// already ended or was abandoned.
func (c *Call) ConnectionLost() {
	switch previous, first := c.end(); {
	case !first:
	case previous == stateSent:
		c.Done(Result{Outcome: decide.OutcomeReset})
	default:
		c.Done(Result{Outcome: decide.OutcomeConnectFailed})
	}
}
