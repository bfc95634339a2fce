package quotaplan

import (
	"time"

	"winghatch/decide"
)

// Instant is the time of an event on two clocks. Timers run by the monotonic one, so a step of the wall clock does not
// stop them; changes come into force by the wall clock.
type Instant struct {
	Mono time.Duration // since an origin that the caller chooses; never goes back
	Wall int64         // Unix nanoseconds
}

// Event is an input of a Replica.
type Event interface{ event() }

// Action is an output of a Replica, to be carried out by the caller.
type Action interface{ action() }

// The events.
type (
	// Start is the first event. Persisted changes are restored before it.
	Start struct{}
	// Submit asks for a change to be accepted. It is answered by one Reply with the same Token.
	Submit struct {
		Token  uint64
		Change Change
	}
	// Persisted says that the change of that number, of an own Persist, is durable.
	Persisted struct{ Number uint64 }
	// PersistFailed says that the change of that number can't be made durable. It is not accepted.
	PersistFailed struct {
		Number uint64
		Reason string
	}
	// MessageReceived brings the Data of another gateway's Send.
	MessageReceived struct {
		From int // rank
		Data []byte
	}
	// Tick says that the time of the last ScheduleTick has come.
	Tick struct{}
)

// The actions.
type (
	// Persist asks for a change to be made durable. If it is Own, that is accepted here, the caller answers with
	// Persisted or PersistFailed, and the change takes effect only then. Others take effect at once: if one is lost,
	// its origin or a peer has it.
	Persist struct {
		Change Change
		Own    bool
	}
	// Reply answers a Submit. Err is nil if the change is durable and accepted.
	Reply struct {
		Token  uint64
		Change Change // as accepted
		Err    *Error
	}
	// Send sends a message to another gateway. It may be lost.
	Send struct {
		To   int // rank
		Data []byte
	}
	// ApplyPlan says which plan is in force for a member from now on.
	ApplyPlan struct {
		Member string
		Plan   decide.Plan
		Change uint64 // number of the last change that it follows from; 0: none
	}
	// AddReservation announces a reservation, before or within its window.
	AddReservation struct{ Reservation }
	// ResizeReservation says that an announced reservation is of Units now; 0: it is cancelled or void.
	ResizeReservation struct {
		ID    uint64
		Units float64
	}
	// ScheduleTick asks for a Tick as soon as either clock reaches At. It replaces the request before it.
	ScheduleTick struct{ At Instant }
	// LogWarning is a line for the operator's log.
	LogWarning struct{ Text string }
)

func (Start) event()           {}
func (Submit) event()          {}
func (Persisted) event()       {}
func (PersistFailed) event()   {}
func (MessageReceived) event() {}
func (Tick) event()            {}

func (Persist) action()           {}
func (Reply) action()             {}
func (Send) action()              {}
func (ApplyPlan) action()         {}
func (AddReservation) action()    {}
func (ResizeReservation) action() {}
func (ScheduleTick) action()      {}
func (LogWarning) action()        {}
