// Package upstream holds what every transport to the servers shares: a call, which is one attempt of a request on its
// way to a server, and how it ended. The transports are its sub-packages; they choose no server and retry nothing.
package upstream

import (
	"encoding/json"
	"sync/atomic"

	"winghatch/decide"
)

// Result is how a call ended.
type Result struct {
	// Outcome is OutcomeConnectFailed only if provably the call never ran, as its last byte was not written,
	// OutcomeRejected only if the server said that it did not execute it, and OutcomeReset if the connection broke
	// after the call may have run.
	Outcome decide.Outcome
	// Body is the server's response; empty unless Outcome is OutcomeOK.
	Body json.RawMessage
	// ActualUnits are the units that the request cost, as the response reports them; 0: not reported.
	ActualUnits float64
	// ReportedUsage is 1 + the customer's use in percent of its rate; 0: not reported.
	ReportedUsage int
	// LoadReport is the server's load as the response reports it; nil: not reported.
	LoadReport decide.LoadReport
}

// The states of a call. A call only moves forward.
const (
	stateWaiting int32 = iota // it can't have run: its last byte was not written
	stateSent                 // it may have run
	stateEnded
)

// Call is one attempt on its way. Done is called exactly once, unless Abandon came first. The methods are safe for
// concurrent use.
type Call struct {
	// Server is the address to send to, host:port.
	Server string
	// Method and Params are what is sent, in the transport's form.
	Method string
	Params []byte
	// Done takes the result. It must not block.
	Done func(Result)

	// Cancelled reports, asked right before the write, that the call must not leave any more: its client has
	// disconnected, or its deadline or deduplication window is over. A call that waited for its connection, or behind a
	// full send buffer, would otherwise be written long after it was decided. nil: never.
	Cancelled func() bool
	// BuildParams makes the bytes at the write, so that the deadline in them is what is left then; nil: Params is sent.
	BuildParams func() []byte

	// TransportState and ID belong to the transport that carries the call: its connection, and the call's number on it.
	TransportState any
	ID             uint64

	state atomic.Int32
}

// AbandonResult is what is known of a call that was abandoned.
type AbandonResult int

// The results of Abandon.
const (
	AlreadyEnded AbandonResult = iota // Done was called, or is just being called
	NotSent                           // it never ran; Done will not be called
	MayHaveRun                        // it may have run or still run; Done will not be called
)

// Abandon ends a call without a result and returns what is known of it.
func (c *Call) Abandon() AbandonResult {
	switch was, first := c.end(); {
	case !first:
		return AlreadyEnded
	case was == stateWaiting:
		return NotSent
	}
	return MayHaveRun
}

// Waiting reports that the call can't have run yet and has not ended.
func (c *Call) Waiting() bool { return c.state.Load() == stateWaiting }

// MarkSent is called by the writer before the last byte, or after it under the lock that its pool's Abandon takes: from
// then on the call may have run. It reports false if the call has ended and must not be written.
func (c *Call) MarkSent() bool { return c.state.CompareAndSwap(stateWaiting, stateSent) }

// end moves the call to its last state; first is set for the one caller that ends it.
func (c *Call) end() (was int32, first bool) {
	was = c.state.Swap(stateEnded)
	return was, was != stateEnded
}

// Finish ends a call with its result, unless it has ended or was abandoned.
func (c *Call) Finish(r Result) {
	if _, first := c.end(); first {
		c.Done(r)
	}
}

// ConnectionLost ends a call whose connection is gone: with OutcomeReset if it may have run, else with
// OutcomeConnectFailed.
func (c *Call) ConnectionLost() {
	switch was, first := c.end(); {
	case !first:
	case was == stateSent:
		c.Done(Result{Outcome: decide.OutcomeReset})
	default:
		c.Done(Result{Outcome: decide.OutcomeConnectFailed})
	}
}
