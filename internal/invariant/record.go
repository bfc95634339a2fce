package invariant

import "time"

// Kind is what a record shows.
type Kind string

// The kinds of record that clients add.
const (
	Call          Kind = "call"   // a client wrote a call
	Answer        Kind = "answer" // a client read an answer
	SessionClosed Kind = "down"   // a client found its session closed by the gateway, or broken
	ClientLeft    Kind = "leave"  // a client closed its session or ceased to read; no answer is owed to it from here on
)

// The kinds of record that servers add. Clients add Cancelled for a call that they never wrote.
const (
	Received       Kind = "arrive"    // a server read an attempt
	WorkStarted    Kind = "run"       // a server began the work: from here on the request has its effect
	WorkEnded      Kind = "ran"       // a server finished the work
	Deduplicated   Kind = "repeat"    // a server dropped the attempt as a repeat
	ServerRejected Kind = "turned"    // a server rejected the attempt without effect
	ServerAnswered Kind = "replied"   // a server wrote its response
	Cancelled      Kind = "withdrawn" // a server read that the attempt is cancelled, or its connection ended
	SlowStarted    Kind = "cold"      // a server started with a part of its capacity
	Overloaded     Kind = "fell"      // a server in slow start failed under overload
)

// The kinds of record of the scenario itself and of its discovery.
const (
	PlanChanged    Kind = "terms"   // a customer's plan was changed to State
	EndpointSent   Kind = "told"    // discovery wrote a server's state to a gateway
	ProcessChanged Kind = "process" // a gateway's process: State is up, term, kill, stop, cont or exit
	HarnessStalled Kind = "late"    // the harness's own process did not run for Duration
)

// Record is one observation. Times are since the scenario began.
type Record struct {
	At              time.Duration `json:"t"`
	Kind            Kind          `json:"k"`
	Gateway         int           `json:"g,omitempty"` // rank, where it is known
	Session         string        `json:"s,omitempty"`
	CallID          string        `json:"try,omitempty"` // the client's ID of the call; in the request to servers
	Request         string        `json:"req,omitempty"` // the gateway's ID of the request
	Attempt         int           `json:"n,omitempty"`   // number of the attempt, from 0
	Server          string        `json:"node,omitempty"`
	Zone            string        `json:"zone,omitempty"`
	Cell            int           `json:"cell,omitempty"`
	Member          string        `json:"m,omitempty"` // the customer
	Class           string        `json:"c,omitempty"`
	Key             string        `json:"key,omitempty"`   // idempotency key
	Units           float64       `json:"u,omitempty"`     // of the quota
	Work            time.Duration `json:"w,omitempty"`     // time on a core at its speed
	Deadline        time.Duration `json:"d,omitempty"`     // of a call; of an attempt, when the gateway gives up
	Answer          string        `json:"a,omitempty"`     // served, refused, failed, invalid or malformed
	State           string        `json:"state,omitempty"` // of an endpoint, a process or a plan; reason of an answer
	Code            int           `json:"code,omitempty"`  // WebSocket close code
	Capacity        float64       `json:"cap,omitempty"`   // of a server after slow start, in seconds of work a second
	InitialCapacity float64       `json:"from,omitempty"`  // part of Capacity at the start
	Duration        time.Duration `json:"for,omitempty"`   // of slow start or a stall; Retry-After of an answer
}
