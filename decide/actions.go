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

	// HealthCheck asks a server for its load. No decision asks for it.
	HealthCheck struct{ Server string }

	// CloseIdle closes the idle connections to a server. No decision asks for it.
	CloseIdle struct{ Server string }

	// Subscribe starts or ends the stream of updates of the endpoint list. No decision asks for it.
	Subscribe struct{ On bool }

	// FetchList asks once for the whole endpoint list. No decision asks for it.
	FetchList struct{}

	// SendGossip sends a datagram to another gateway.
	SendGossip struct {
		To   int // rank of the receiver
		Text string
	}

	// AddToCounter adds to a number of the shared counter. No decision asks for it.
	AddToCounter struct {
		Name uint64
		Add  float64
		TTL  time.Duration
	}

	// Log adds a line to the operator's log. No decision asks for it.
	Log struct{ Text string }
)

func (Send) action()         {}
func (Cancel) action()       {}
func (Reject) action()       {}
func (Fail) action()         {}
func (SetTimer) action()     {}
func (HealthCheck) action()  {}
func (CloseIdle) action()    {}
func (Subscribe) action()    {}
func (FetchList) action()    {}
func (SendGossip) action()   {}
func (AddToCounter) action() {}
func (Log) action()          {}

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
