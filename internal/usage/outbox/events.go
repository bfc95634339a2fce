package outbox

// AttemptID identifies an attempt within an incarnation of a gateway. No attempt has the ID 0.
type AttemptID uint64

// IDs that are not used for attempts of this incarnation. The caller numbers its attempts upwards from a low
// number, so the ranges do not overlap.
const (
	firstOrphanID = AttemptID(1) << 62 // first ID of the attempts of earlier incarnations
	gapID         = AttemptID(1) << 63 // ID of the gap record
)

// Event is an input of an Outbox: something that happened to an attempt, the log or the receiver.
type Event interface{ event() }

type (
	// RecordIntent asks for permission to send an attempt. The outbox responds with Append, Release or Deny.
	RecordIntent struct {
		ID          AttemptID
		Attempt     Attempt
		LogHasSpace bool // the log has space for more than the settlements still to be written
	}
	// Appended is the result of an Append whose ID is not 0. It must be handled before any other event.
	Appended struct {
		ID      AttemptID
		Record  uint64 // number of the appended record
		Failure string // why the record was not appended; empty on success
	}
	// Durable reports that all records up to Record are durable.
	Durable struct{ Record uint64 }
	// LogStatus reports why the log cannot be written, or with an empty Failure that it works again.
	LogStatus struct{ Failure string }
	// Settle reports the end of an attempt.
	Settle struct {
		ID        AttemptID
		Outcome   Outcome
		UsedUnits float64 // units reported by the response, or the estimate
		WallTime  int64   // nanoseconds of Unix time
	}
	// Acknowledged reports that the receiver has all records up to Record.
	Acknowledged struct{ Record uint64 }
)

func (RecordIntent) event() {}
func (Appended) event()     {}
func (Durable) event()      {}
func (LogStatus) event()    {}
func (Settle) event()       {}
func (Acknowledged) event() {}

// Action is an operation that an Outbox requests from its owner.
type Action interface{ action() }

type (
	// Append asks to append a record to the log. Its result is Appended, unless ID is 0.
	Append struct {
		ID      AttemptID
		Payload []byte
	}
	// Release allows an attempt to be sent.
	Release struct{ ID AttemptID }
	// Deny forbids sending an attempt: no byte of it may leave the gateway.
	Deny struct{ ID AttemptID }
)

func (Append) action()  {}
func (Release) action() {}
func (Deny) action()    {}
