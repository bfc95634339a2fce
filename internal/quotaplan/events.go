package quotaplan

import (
	"time"

	"winghatch/decide"
)

// Instant is the time of an event on two clocks. Timers use the monotonic clock, so a step of the wall clock
// does not disturb them. Changes come into force by the wall clock.
type Instant struct {
	Mono time.Duration // time since an origin that the caller chooses; never goes back
	Wall int64         // Unix nanoseconds
}

// Event is an input of a Replica.
type Event interface{ event() }

// Action is an output of a Replica, to be carried out by the caller.
type Action interface{ action() }

// Events of a Replica.
type (
	// Start is the first event. Persisted changes must be restored before it.
	Start struct{}
	// Submit submits a change. The replica answers with one Reply that has the same Token.
	Submit struct {
		Token  uint64
		Change Change
	}
	// Persisted reports that the change of a Persist with Own set is durable.
	Persisted struct{ Number uint64 }
	// PersistFailed reports that the change of a Persist with Own set cannot be made durable. The replica
	// rejects the change.
	PersistFailed struct {
		Number uint64 // number of the change
		Reason string
	}
	// MessageReceived delivers the Data of a Send of another gateway.
	MessageReceived struct {
		From int // rank of the sender
		Data []byte
	}
	// Tick reports that the time of the last ScheduleTick has been reached.
	Tick struct{}
)

// Actions of a Replica.
type (
	// Persist asks the caller to make a change durable. A change with Own set was submitted to this gateway:
	// the caller must answer with Persisted or PersistFailed, and the change takes effect only when it is
	// durable. A change of another gateway takes effect at once, because it can be fetched again from its
	// origin or a peer if it is lost.
	Persist struct {
		Change Change
		Own    bool
	}
	// Reply answers a Submit. Err is nil if the change was accepted and is durable.
	Reply struct {
		Token  uint64
		Change Change // the accepted change, with defaults filled in
		Err    *Error
	}
	// Send sends a message to another gateway. The message may be lost.
	Send struct {
		To   int // rank of the receiver
		Data []byte
	}
	// ApplyPlan puts a plan in force for a member.
	ApplyPlan struct {
		Member string
		Plan   decide.Plan // the member's plan, reduced by open reservations
		Change uint64      // number of the last Move or Reserve change that contributed to it; 0: none
	}
	// AddReservation announces a reservation, before or within its window.
	AddReservation struct{ Reservation }
	// ResizeReservation reports that an announced reservation was reduced to Units. With 0 it is cancelled or
	// void.
	ResizeReservation struct {
		ID    uint64
		Units float64
	}
	// ScheduleTick asks for a Tick as soon as either clock reaches At. It replaces the previous ScheduleTick.
	ScheduleTick struct{ At Instant }
	// PersistComplete asks the caller to note durably, in the folder of the changes, that the acceptor knows
	// what was accepted before, see Settings.Complete.
	PersistComplete struct{}
	// LogWarning asks the caller to log a warning for the operator.
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
func (PersistComplete) action()   {}
func (LogWarning) action()        {}
