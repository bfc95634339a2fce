package invariant

import "time"

// Kind is the kind of observation that a record holds. Its values are stored in files.
type Kind string

// Kinds of records that clients add.
const (
	Call          Kind = "call"   // a client wrote a call
	Answer        Kind = "answer" // a client read an answer
	SessionClosed Kind = "down"   // a client found its session closed by the gateway, or broken
	ClientLeft    Kind = "leave"  // a client closed its session or stopped reading; no more answers are due
)

// Kinds of records that servers add. Clients add Cancelled too, for a call that was cancelled before they
// wrote it.
const (
	Received       Kind = "arrive"    // a server read an attempt
	WorkStarted    Kind = "run"       // a server began the work; from here on the request has taken effect
	WorkEnded      Kind = "ran"       // a server finished the work
	Deduplicated   Kind = "repeat"    // a server dropped the attempt as a duplicate
	ServerRejected Kind = "turned"    // a server rejected the attempt without effect
	ServerAnswered Kind = "replied"   // a server wrote its response
	Cancelled      Kind = "withdrawn" // a server read a cancellation, or the attempt's connection ended
	SlowStarted    Kind = "cold"      // a server started with a fraction of its capacity
	Overloaded     Kind = "fell"      // a server in slow start failed under overload
)

// Kinds of records that the scenario itself and its discovery server add.
const (
	PlanChanged    Kind = "terms"   // the customer's plan was changed to the plan in State
	EndpointSent   Kind = "told"    // the discovery server wrote a server's state to a gateway
	ProcessChanged Kind = "process" // a gateway process changed: State is up, term, kill, stop, cont or exit
	HarnessStalled Kind = "late"    // the harness's own process did not run for Duration
)

// Record is one observation. All points in time are relative to the start of the scenario. A field is zero if
// it does not apply to the kind of record.
type Record struct {
	At      time.Duration `json:"t"`
	Kind    Kind          `json:"k"`
	Gateway int           `json:"g,omitempty"` // rank of the gateway, where it is known
	Session string        `json:"s,omitempty"` // name of the client's session, unique in the scenario
	// CallID is the ID that the client gave the call. The request that a server reads contains it too.
	CallID  string  `json:"try,omitempty"`
	Request string  `json:"req,omitempty"`  // ID that the gateway gave the request
	Attempt int     `json:"n,omitempty"`    // index of the attempt within its request, from 0
	Server  string  `json:"node,omitempty"` // address of the server
	Zone    string  `json:"zone,omitempty"`
	Cell    int     `json:"cell,omitempty"`
	Member  string  `json:"m,omitempty"` // name of the customer
	Class   string  `json:"c,omitempty"`
	Key     string  `json:"key,omitempty"` // idempotency key
	Units   float64 `json:"u,omitempty"`   // quota units
	// Work is the time that the work takes on a core of speed 1.
	Work time.Duration `json:"w,omitempty"`
	// Deadline is the deadline of a call. For an attempt it is the time at which the gateway gives up.
	Deadline time.Duration `json:"d,omitempty"`
	Answer   string        `json:"a,omitempty"` // served, refused, failed, invalid or malformed
	// State is the state of an endpoint or a process, the name of a plan, or the reason of an answer.
	State string `json:"state,omitempty"`
	Code  int    `json:"code,omitempty"` // WebSocket close code
	// Capacity is the capacity of a server after slow start, in seconds of work per second.
	Capacity        float64 `json:"cap,omitempty"`
	InitialCapacity float64 `json:"from,omitempty"` // fraction of Capacity at the start of the server
	// Duration is the length of a slow start or a stall, or the Retry-After of an answer.
	Duration time.Duration `json:"for,omitempty"`
}
