package reservation

import (
	"time"

	"winghatch/internal/quotaplan"
)

// Event is an input of a Ledger.
type Event interface{ event() }

// Action is an output of a Ledger, to be carried out by the caller.
type Action interface{ action() }

// CeilingShare is the part of a plan's ceiling that is enforced at one gateway.
type CeilingShare struct {
	Rank     int
	Fraction float64 // of the ceiling, 0 to 1
}

// The events.
type (
	// AddReservation makes a reservation known. CeilingShares say where the member's ceiling is enforced.
	AddReservation struct {
		quotaplan.Reservation
		CeilingShares []CeilingShare
	}
	// ResizeReservation says that a reservation is of Units now; 0: it is cancelled or void.
	ResizeReservation struct {
		ID    uint64
		Units float64
	}
	// Request is a request marked as reserved. It is answered by one Admit or Reject, by the Deadline at the latest.
	Request struct {
		ID       string
		Member   string
		Units    float64
		Deadline time.Duration // on the monotonic clock
	}
	// RequestEnded settles an admitted request at the units that it used, or takes back one that waits.
	RequestEnded struct {
		ID   string
		Used float64 // units
	}
	// Persisted says that all states up to that number are durable.
	Persisted struct{ Number uint64 }
	// MessageReceived brings the Data of another gateway's Send.
	MessageReceived struct {
		From int // rank
		Data []byte
	}
	// Tick says that the time of the last ScheduleTick has come.
	Tick struct{}
	// Drain says that this gateway stops: it offers its tokens to others and rejects new requests.
	Drain struct{}
)

// The actions.
type (
	// Admit lets a request pass.
	Admit struct{ ID string }
	// Reject answers a request that does not pass.
	Reject struct {
		ID     string
		Reason Reason
	}
	// Persist asks for a state to be made durable. A later one of the same reservation replaces it.
	Persist struct {
		Number uint64 // ascending
		State  []byte
	}
	// Send sends a message to another gateway. It may be lost.
	Send struct {
		To   int // rank
		Data []byte
	}
	// ReturnUnits gives unused units back to the member's quota at this gateway.
	ReturnUnits struct {
		Member string
		Units  float64
	}
	// ScheduleTick asks for a Tick as soon as either clock reaches At. It replaces the request before it.
	ScheduleTick struct{ At quotaplan.Instant }
)

func (AddReservation) event()    {}
func (ResizeReservation) event() {}
func (Request) event()           {}
func (RequestEnded) event()      {}
func (Persisted) event()         {}
func (MessageReceived) event()   {}
func (Tick) event()              {}
func (Drain) event()             {}

func (Admit) action()        {}
func (Reject) action()       {}
func (Persist) action()      {}
func (Send) action()         {}
func (ReturnUnits) action()  {}
func (ScheduleTick) action() {}

// Reason says why a request was rejected. Clients and metrics see it.
type Reason string

// The reasons.
const (
	NoReservation     Reason = "reserve_none"    // the member has no reservation whose window is now
	Exhausted         Reason = "reserve_spent"   // nothing of it is left, as far as this gateway knows
	TokensUnavailable Reason = "reserve_short"   // gateways that may have tokens did not answer in time
	RateExceeded      Reason = "reserve_rate"    // the reservation's rate is used up
	Draining          Reason = "reserve_drained" // this gateway stops
)
