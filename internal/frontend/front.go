// Package front holds what every front of the gateway makes of its clients' bytes: calls, and the one final
// answer of each. Fronts know no quotas and choose nothing.
package frontend

import (
	"encoding/json"
	"time"
)

// Kind is a final answer's.
type Kind int

// The kinds of final answer.
const (
	Served   Kind = iota
	Rejected      // harmless to repeat
	Failed        // promises nothing
)

func (k Kind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Final is the one final answer of a call.
type Response struct {
	Kind       Kind
	Body       json.RawMessage // of a served one
	Units      float64
	RetryAfter time.Duration
	Reason     string
}

// Call is what a front makes of a client's message.
type Request struct {
	ID             string // of the gateway's own making, never used twice
	Class          string
	Plan           string
	Customer       string
	IdempotencyKey string // by which nodes know a repeat; empty: none
	Units          float64
	Deadline       time.Duration // by the gateway's clock
	FirstGateway   int
	GatewayCount   int
	IsRetry        bool
	Mutates        bool
	Reserved       bool            // it is to use units that were set aside for its member
	TraceParent    string          // W3C Trace Context; empty: none was given
	Payload        json.RawMessage // the work's own fields
	// Form makes the bytes of an attempt, where nodes are not told in JSON-RPC; nil: they are.
	EncodeAttempt func(attempt int, left time.Duration) []byte
	Done          func(Response) // called at most once, by the loop; must not block
	// Left reports that the client has gone, also where Gone still waits in the loop's queue; nil: it is not known.
	ClientGone func() bool
}

// Core takes calls; the gateway's loop does.
type Core interface {
	// Enter counts a call in, or reports that the cap on open calls is reached.
	Reserve() bool
	Submit(*Request)
	Disconnected(id string)
}
