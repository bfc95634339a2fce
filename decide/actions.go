package decide

import "time"

// Action is an operation that the caller of [Gateway.Handle] must carry out.
type Action interface{ action() }

type (
	// Send starts an attempt of the request ID at a server. The attempts of a request are numbered from 0.
	Send struct {
		ID, Server string
		// Timeout is the time after which the caller ends the attempt with OutcomeTimedOut. If it is 0, the
		// attempt ends at the request's deadline.
		Timeout time.Duration
		// WriteBefore is the time after which the request must not be written to a connection any more,
		// given the attempts before this one; see [WriteGuard] for those after it. 0 means that there is no
		// such bound.
		WriteBefore time.Duration
	}

	// Cancel ends an attempt early.
	Cancel struct {
		ID      string
		Attempt int
	}

	// Reject is the final answer to a request that the client can safely send again.
	Reject struct {
		ID         string
		RetryAfter time.Duration // suggested wait before the request is sent again; 0: none
		Reason     RejectReason
	}

	// Fail is the final answer to a request that may have run.
	Fail struct{ ID string }

	// SetTimer requests a TimerFired event with the same token at the time At or later.
	SetTimer struct {
		At    time.Duration
		Token uint64
	}

	// SendGossip sends a datagram to another gateway.
	SendGossip struct {
		To   int // rank of the receiver
		Text string
	}
)

func (Send) action()       {}
func (Cancel) action()     {}
func (Reject) action()     {}
func (Fail) action()       {}
func (SetTimer) action()   {}
func (SendGossip) action() {}

// RejectReason states for operators why a request was rejected. Clients need not distinguish the reasons.
type RejectReason string

// Reasons for rejecting a request.
const (
	ReasonOverQuota           RejectReason = "over_mark"    // customer is over its quota
	ReasonTooManyInFlight     RejectReason = "over_cap"     // customer has too many attempts in flight
	ReasonOverCeiling         RejectReason = "over_ceiling" // customer has reached its hard ceiling
	ReasonLoadShed            RejectReason = "shed"         // overload, and the request has too little value
	ReasonDeadlineUnreachable RejectReason = "hopeless"     // no response can be expected in time
	ReasonNoServer            RejectReason = "no_server"    // no server is available for the request
	ReasonAttemptsFailed      RejectReason = "in_vain"      // attempts failed, and a repeat is safe
	ReasonUnknownClassOrPlan  RejectReason = "not_offered"  // class or plan is not configured
)
