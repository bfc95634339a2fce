package decide

import "time"

// Event is an occurrence that the caller reports to [Gateway.Handle].
type Event interface{ event() }

type (
	// EndpointUpdate reports a change of the endpoint list. Kind says whether Servers is the whole list or
	// only the changed entries. No decision uses Version.
	EndpointUpdate struct {
		Kind    UpdateKind
		Version uint64
		Servers []Server
	}

	// Request reports the arrival of a client's request. It must get one final answer before Deadline.
	Request struct {
		ID, Class, Plan, Customer string
		// Units is the number of quota units, an estimate if Config.SettledOnResponse is set. A negative
		// number counts as 0.
		Units    float64
		Deadline time.Duration // time at which the client gives up
		// FirstGateway is the rank of the first gateway through which the customer's requests come, and
		// GatewayCount the number of these gateways. They have consecutive ranks, modulo the size of the
		// fleet. A GatewayCount that is not positive or exceeds the size of the fleet is ignored.
		FirstGateway, GatewayCount int
		IsRetry                    bool // whether the client has sent the request before
		Mutates                    bool // not used by any decision
		Reserved                   bool // whether the units were reserved beforehand and must not be charged
	}

	// PlanChange puts a customer on a plan from now on, whatever plan its requests name. Plan.Name must be
	// the name of a configured plan. Units that were already used stay charged, except for ReturnedUnits,
	// which are returned to the customer.
	PlanChange struct {
		Customer      string
		Plan          Plan
		ReturnedUnits float64
	}

	// ResponseStarted reports that the response to an attempt has started to stream to the client. From
	// then on no attempt of the request is cancelled, and the request is not hedged. It may still be retried
	// if the attempt ends without AttemptEnded.RequestDone.
	ResponseStarted struct {
		ID, Server string
		Attempt    int
		Duration   time.Duration // time since the attempt was sent
	}

	// AttemptEnded reports the end of an attempt.
	AttemptEnded struct {
		ID, Server  string
		Attempt     int
		Outcome     Outcome
		Duration    time.Duration // time since the attempt was sent
		RequestDone bool          // whether the response is the final answer to the request
		// ReportedUsage is 1 plus the customer's usage in the whole fleet, in percent of the rate of its
		// plan or, for a plan without a rate, of MaxInFlight. 0 means that the response carried no usage
		// report.
		ReportedUsage int
		ActualUnits   float64 // units that the request used; 0 if unknown
		LoadReport    LoadReport
	}

	// ClientDisconnected reports that the client has disconnected. The request needs no final answer any
	// more.
	ClientDisconnected struct{ ID string }

	// TimerFired reports that the timer of a SetTimer action has fired.
	TimerFired struct{ Token uint64 }

	// GossipReceived reports a datagram from another gateway.
	GossipReceived struct {
		From int // rank of the sender
		Text string
	}
)

func (EndpointUpdate) event()     {}
func (Request) event()            {}
func (PlanChange) event()         {}
func (ResponseStarted) event()    {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (GossipReceived) event()     {}

// UpdateKind is the kind of an [EndpointUpdate].
type UpdateKind int

// The kinds of update.
const (
	DeltaUpdate  UpdateKind = iota // contains only the changed entries
	FullUpdate                     // contains the whole list; servers that it lacks are removed
	StaleUpdate                    // like FullUpdate, but the list may be out of date
	FailedUpdate                   // discovery failed; the previous list stays in use
)

// ServerState is the state of a server in the endpoint list.
type ServerState int

// The states of a server.
const (
	Serving  ServerState = iota // receives attempts
	Draining                    // finishes its attempts in flight and receives no new ones
	Removed                     // receives no new attempts and is dropped once none is in flight
)

// Server is an entry of the endpoint list.
type Server struct {
	ID        string
	Zone      string
	Cell      int    // servers of the same cell share their idempotency keys
	Kind      string // not used by any decision
	State     ServerState
	StartedAt time.Duration // time at which the server started; 0 if it has been running for long
	Weight    float64       // relative capacity; not used by any decision
}

// LoadReport is the load that a server reports about itself, by name: queue, util, qps, latency_ms,
// inflight and errors_per_s. No decision uses it.
type LoadReport map[string]float64

// Outcome says how an attempt ended. The zero value is not a valid outcome.
type Outcome int

// The outcomes. OutcomeRejected, OutcomeConnectFailed and OutcomeNotDispatched prove that the attempt never
// ran.
const (
	OutcomeOK            Outcome = 1 + iota // the server answered the request
	OutcomeError                            // the server answered with an error
	OutcomeRejected                         // the server refused the request without running it
	OutcomeTimedOut                         // no response within Send.Timeout
	OutcomeConnectFailed                    // no connection to the server could be established
	OutcomeReset                            // the connection broke
	OutcomeCancelled                        // the attempt was ended by Cancel
	OutcomeNotDispatched                    // the attempt was given up before it was sent
)

// neverRan reports whether the outcome proves that the attempt had no effect at the server.
func (o Outcome) neverRan() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotDispatched
}
