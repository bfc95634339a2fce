// Package frontend defines the types that all frontends share. A frontend turns each client message into a
// [Request] and sends the client one final [Response] to it. The sub-packages http and websocket each
// implement one protocol; connlimit limits the number of client connections. Frontends neither check quotas
// nor select servers.
package frontend

import (
	"encoding/json"
	"time"

	"winghatch/internal/memory"
)

// Kind classifies a final response.
type Kind int

// Kinds of final responses.
const (
	Served   Kind = iota // the response of a server
	Rejected             // the request had no effect, so a retry is safe
	Failed               // the request may have had an effect
)

// String returns the name of the kind in logs, metrics and traces. The name of Rejected is "refused".
func (k Kind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Response is the final response to a [Request]. Each request gets at most one.
type Response struct {
	Kind       Kind
	Body       json.RawMessage // body of a served response, or its first part
	Rest       [][]byte        // further parts of the body; only over HTTP
	Units      float64         // units charged for a served response
	RetryAfter time.Duration   // wait that a rejection suggests before a retry; 0: no suggestion
	Reason     string          // cause of a rejection, for operators
	// Memory is the reservation for the body. The frontend releases it when it no longer holds the body.
	Memory *memory.Reservation
}

// Request is a client request in the form that the gateway's loop processes.
type Request struct {
	ID             string // unique among all requests; assigned by the frontend
	Class          string
	Plan           string
	Customer       string
	IdempotencyKey string          // key by which servers detect duplicates; empty: none
	Units          float64         // units to charge; an estimate if responses report the actual units
	Deadline       time.Duration   // reading of the gateway's clock by which the client needs the response
	ReceivedAt     time.Duration   // reading of the gateway's clock at which its last byte arrived; 0: unknown
	FirstGateway   int             // rank of the first gateway that serves the customer
	GatewayCount   int             // number of gateways that serve the customer, starting with FirstGateway
	IsRetry        bool            // whether the client has sent the request before
	Mutates        bool            // whether the client or the class declares an effect; no decision uses it
	Reserved       bool            // whether the request uses units that were reserved for its customer
	TraceParent    string          // W3C Trace Context; empty: none
	Payload        json.RawMessage // content for servers that use JSON-RPC
	// EncodeAttempt returns the bytes of the attempt with the given number, which has the remaining time
	// left. If it is nil, the gateway encodes attempts as JSON-RPC.
	EncodeAttempt func(attempt int, left time.Duration) []byte
	// Content are further bytes of each attempt, which follow those of EncodeAttempt.
	Content [][]byte
	// Memory is the reservation for Content. Whoever may refer to Content after Released retains it.
	Memory *memory.Reservation
	// Done receives the final response. The loop calls it at most once, and not at all if the client has
	// disconnected. It must not block.
	Done func(Response)
	// Forwarded is called before an attempt is written to a server, which may run the request from then on. Any
	// goroutine may call it, several times. Nil means that the frontend need not know.
	Forwarded func()
	// Released is called once, when the loop no longer holds the request: after its final answer or after the
	// client has disconnected, when no attempt is in flight. It must not block. Nil means that the frontend
	// holds nothing for the request.
	Released func()
	// ClientGone reports whether the client has disconnected, even if the event from Core.Disconnected is
	// still in the loop's queue. Nil means that this is unknown.
	ClientGone func() bool
}

// Core receives requests from frontends. The gateway's loop implements it.
type Core interface {
	// Reserve counts one more open request and returns true. At the limit on open requests it returns false.
	// The caller must call Submit after each true.
	Reserve() bool
	// Submit hands a request to the loop, which calls the request's Done later.
	Submit(*Request)
	// Disconnected reports that the client of an open request has disconnected. The request gets no response.
	Disconnected(id string)
}
