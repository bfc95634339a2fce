// Package frontend has what the frontends share: a client's message becomes a Request, and each Request gets one
// final Response. Each of its sub-packages http and websocket implements one protocol, connlimit the limit on
// connections. A frontend knows no quotas and selects no server.
package frontend

import (
	"encoding/json"
	"time"
)

// Kind is the kind of a final response.
type Kind int

// The kinds of final response.
const (
	Served   Kind = iota // a server's response
	Rejected             // the request had no effect: it is safe to repeat
	Failed               // the request may have had an effect
)

// String is the kind in logs, metrics and traces.
func (k Kind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Response is the one final response to a Request.
type Response struct {
	Kind       Kind
	Body       json.RawMessage // of a served one
	Units      float64         // charged to a served one
	RetryAfter time.Duration   // of a rejected one: the client may retry after this; 0: nothing is advised
	Reason     string          // of a rejected one, for operators
}

// Request is a client's request as the gateway's loop takes it.
type Request struct {
	ID             string // made by the frontend, never used twice
	Class          string
	Plan           string
	Customer       string
	IdempotencyKey string          // by which servers recognise a repeat; empty: none
	Units          float64         // of the customer's quota; an estimate where responses report the actual ones
	Deadline       time.Duration   // on the gateway's clock
	FirstGateway   int             // the number of the first gateway that serves the customer
	GatewayCount   int             // how many serve it, from FirstGateway on
	IsRetry        bool            // the client sent it before
	Mutates        bool            // the client or its class says that it has an effect; no decision uses it
	Reserved       bool            // it uses units that were reserved for its customer
	TraceParent    string          // W3C Trace Context; empty: none was given
	Payload        json.RawMessage // what servers get, where they speak JSON-RPC
	// EncodeAttempt returns the bytes of an attempt whose deadline is left from now. Nil: attempts are JSON-RPC,
	// which the gateway encodes itself.
	EncodeAttempt func(attempt int, left time.Duration) []byte
	// Done is called at most once, from the loop, with the final response. It must not block. It is not called for a
	// request whose client has disconnected.
	Done func(Response)
	// ClientGone reports whether the client has disconnected, also where Disconnected still waits in the loop's
	// queue. Nil: it is not known.
	ClientGone func() bool
}

// Core takes requests from frontends; the gateway's loop implements it.
type Core interface {
	// Reserve counts a request in, or reports false at the limit on open requests. After true, Submit must follow.
	Reserve() bool
	// Submit passes a request on. Its Done is called later, by the loop.
	Submit(*Request)
	// Disconnected reports that the client of an open request has disconnected. The request gets no response.
	Disconnected(id string)
}
