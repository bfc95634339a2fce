package reservation

import (
	"time"

	"winghatch/internal/quotaplan"
)

// Event is an input of a Ledger.
type Event interface{ event() }

// Action is an output of a Ledger, to be carried out by the caller.
type Action interface{ action() }

// CeilingShare is the fraction of a plan's ceiling that one gateway enforces.
type CeilingShare struct {
	Rank     int     // rank of the gateway
	Fraction float64 // fraction of the ceiling, from 0 to 1
}

// Events of a Ledger.
type (
	// AddReservation announces a reservation. CeilingShares lists the gateways that enforce the member's
	// ceiling.
	AddReservation struct {
		quotaplan.Reservation
		CeilingShares []CeilingShare
	}
	// ResizeReservation reports that a reservation was reduced to Units. With 0 it is cancelled or void.
	ResizeReservation struct {
		ID    uint64 // ID of the reservation
		Units float64
	}
	// Request is a request marked as reserved. The ledger answers it with one Admit or Reject, at the latest
	// when the Deadline has passed. A waiting request that is withdrawn by RequestEnded gets no answer.
	Request struct {
		ID       string
		Member   string
		Units    float64
		Deadline time.Duration // on the monotonic clock
	}
	// RequestEnded settles an admitted request at the units that it used, or withdraws a request that still
	// waits.
	RequestEnded struct {
		ID   string  // ID of the request
		Used float64 // units
	}
	// Persisted reports that all states with numbers up to Number are durable.
	Persisted struct{ Number uint64 }
	// MessageReceived delivers the Data of a Send of another gateway.
	MessageReceived struct {
		From int // rank of the sender
		Data []byte
	}
	// Tick reports that the time of the last ScheduleTick has been reached.
	Tick struct{}
	// Drain reports that this gateway is shutting down. The ledger rejects new requests and offers its tokens
	// to other gateways.
	Drain struct{}
)

// Actions of a Ledger.
type (
	// RecordSpending asks the caller to hand a record of spent units to the operating system. It need not be
	// synced, and it replaces earlier records of the same reservation.
	RecordSpending struct{ Record []byte }
	// Admit admits a request, once all records of earlier RecordSpending are written.
	Admit struct{ ID string }
	// Reject rejects a request.
	Reject struct {
		ID     string // ID of the request
		Reason Reason
	}
	// Persist asks the caller to make the state of a reservation durable. It replaces earlier states of the
	// same reservation.
	Persist struct {
		Number uint64 // number of the state, ascending
		State  []byte
	}
	// Send sends a message to another gateway. The message may be lost.
	Send struct {
		To   int // rank of the receiver
		Data []byte
	}
	// ReturnUnits returns unused units to the member's quota at this gateway.
	ReturnUnits struct {
		Member string
		Units  float64
	}
	// ScheduleTick asks for a Tick as soon as either clock reaches At. It replaces the previous ScheduleTick.
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

func (RecordSpending) action() {}
func (Admit) action()          {}
func (Reject) action()         {}
func (Persist) action()        {}
func (Send) action()           {}
func (ReturnUnits) action()    {}
func (ScheduleTick) action()   {}

// Reason states to clients and in metrics why a request was rejected.
type Reason string

// Reasons for a rejection.
const (
	NoReservation     Reason = "reserve_none"    // the member has no open reservation
	Exhausted         Reason = "reserve_spent"   // too few units are left, as far as this gateway knows
	TokensUnavailable Reason = "reserve_short"   // peers that may hold tokens sent too few in time, or use can't be recorded
	RateExceeded      Reason = "reserve_rate"    // the rate of the reservation is used up
	Draining          Reason = "reserve_drained" // this gateway is shutting down
)
