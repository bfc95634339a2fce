package decide

import "time"

// Action is something that a gateway wants done.
type Action interface{ action() }

type (
	// Send starts an attempt. A request's attempts are numbered from 0.
	Send struct {
		ID, Server  string
		Timeout     time.Duration // after it the attempt ends as OutcomeTimedOut; 0: at the deadline
		WriteBefore time.Duration // it may not be written to its connection after this time; 0: no bound
	}

	// Cancel ends an attempt early.
	Cancel struct {
		ID      string
		Attempt int
	}

	// Reject is a final answer that tells the client that the request may be sent again without harm.
	Reject struct {
		ID         string
		RetryAfter time.Duration // 0: none is given
		Reason     RejectReason
	}

	// Fail is a final answer that leaves open whether the request ran.
	Fail struct{ ID string }

	// SetTimer asks for a TimerFired.
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

// RejectReason tells rejections apart, for operators; clients need none of it.
type RejectReason string

// The reasons of a rejection.
const (
	ReasonOverQuota           RejectReason = "over_mark"    // the bucket is over its high-water mark
	ReasonTooManyInFlight     RejectReason = "over_cap"     // the plan's limit of attempts in flight
	ReasonOverCeiling         RejectReason = "over_ceiling" // the plan's ceiling
	ReasonLoadShed            RejectReason = "shed"         // overload, and other work has more value
	ReasonDeadlineUnreachable RejectReason = "hopeless"     // no response could be in time
	ReasonNoServer            RejectReason = "no_server"    // no server may get it
	ReasonNeverExecuted       RejectReason = "in_vain"      // no attempt ran, or all may run again
	ReasonUnknownClassOrPlan  RejectReason = "not_offered"
)
