package decide

import "time"

// Event is something that happened and that a gateway is to handle.
type Event interface{ event() }

type (
	// EndpointUpdate is a change of the endpoint list.
	EndpointUpdate struct {
		Kind    UpdateKind
		Version uint64
		Servers []Server
	}

	// Request is a client's request. It must get one final answer before Deadline.
	Request struct {
		ID, Class, Plan, Customer  string
		Units                      float64       // of the quota
		Deadline                   time.Duration // when the client gives up
		FirstGateway, GatewayCount int           // the customer's gateways: rank of the first, and how many
		IsRetry                    bool          // the client had sent it before
		Mutates                    bool          // no decision uses it
		Reserved                   bool          // its units were reserved elsewhere: it passes uncharged
	}

	// PlanChange puts a customer on a plan from now on, whatever plan its requests name. Plan.Name must be
	// that of a configured plan. Used units stay used, but for ReturnedUnits, which are given back.
	PlanChange struct {
		Customer      string
		Plan          Plan
		ReturnedUnits float64
	}

	// ResponseStarted reports that the response to an attempt has begun. The attempt then belongs to the
	// client; it is neither retried nor cancelled.
	ResponseStarted struct {
		ID, Server string
		Attempt    int
		Duration   time.Duration // since the attempt was sent
	}

	// AttemptEnded reports the end of an attempt.
	AttemptEnded struct {
		ID, Server    string
		Attempt       int
		Outcome       Outcome
		Duration      time.Duration // since the attempt was sent
		RequestDone   bool          // the response is the request's final answer
		ReportedUsage int           // 1 + the customer's fleet-wide use in percent of its rate; 0: no report
		ActualUnits   float64       // 0: not known
		LoadReport    LoadReport
	}

	// ClientDisconnected reports that the client has left. No answer is owed any more.
	ClientDisconnected struct{ ID string }

	// TimerFired answers SetTimer.
	TimerFired struct{ Token uint64 }

	// GossipReceived is a datagram of another gateway.
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

// UpdateKind says how an EndpointUpdate is to be read.
type UpdateKind int

// The kinds of update.
const (
	DeltaUpdate  UpdateKind = iota // the changed entries
	FullUpdate                     // the whole list; what it lacks is removed
	StaleUpdate                    // the whole list as it was last known, perhaps long out of date
	FailedUpdate                   // discovery failed; the former list stays
)

// ServerState is the state of a server in the endpoint list.
type ServerState int

// The states of a server.
const (
	Serving  ServerState = iota
	Draining             // finishes what it has, gets no further attempts
	Removed
)

// Server is an entry of the endpoint list.
type Server struct {
	ID        string
	Zone      string
	Cell      int // servers of a cell know each other's idempotency keys
	Kind      string
	State     ServerState
	StartedAt time.Duration // 0: long ago
	Weight    float64       // relative capacity
}

// LoadReport is a server's own account of its load, by the name of the figure (queue, util, qps,
// latency_ms, inflight, errors_per_s). No decision uses it.
type LoadReport map[string]float64

// Outcome says how an attempt ended.
type Outcome int

// The outcomes. OutcomeRejected, OutcomeConnectFailed and OutcomeNotDispatched prove that the attempt never
// ran.
const (
	OutcomeOK            Outcome = 1 + iota
	OutcomeError                 // the server answered that it failed
	OutcomeRejected              // the server answered that it takes no more
	OutcomeTimedOut              // no answer within Send.Timeout
	OutcomeConnectFailed         // there was no connection to send it on
	OutcomeReset                 // its connection broke
	OutcomeCancelled             // by Cancel
	OutcomeNotDispatched         // it was given up before it was sent
)

// neverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) neverRan() bool {
	return o == OutcomeRejected || o == OutcomeConnectFailed || o == OutcomeNotDispatched
}
