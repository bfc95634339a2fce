package outbox

// AttemptID names an attempt within an incarnation of a gateway.
type AttemptID uint64

// IDs that no attempt of this incarnation has. The caller numbers attempts from below, so they never meet.
const (
	firstOrphanID = AttemptID(1) << 62 // from here on, of attempts of former incarnations
	gapID         = AttemptID(1) << 63 // of the gap
)

// Event is something that happened to an outbox's attempts, its log or its receiver.
type Event interface{ event() }

type (
	// RecordIntent asks whether an attempt may be sent. It is answered by Append, Release or Deny.
	RecordIntent struct {
		ID          AttemptID
		Attempt     Attempt
		LogHasSpace bool // the log has room for more than the settlements that are owed
	}
	// Appended is the answer to Append. It comes before any other event, unless the Append has ID 0.
	Appended struct {
		ID      AttemptID
		Record  uint64 // number of the record
		Failure string // why there is none; empty: there is
	}
	// Durable reports that all records up to a number are durable.
	Durable struct{ Record uint64 }
	// LogStatus reports that writing the log fails, or works again.
	LogStatus struct{ Failure string } // empty: it works
	// Settle ends an attempt.
	Settle struct {
		ID        AttemptID
		Outcome   Outcome
		UsedUnits float64 // as answered, else as estimated
		WallTime  int64   // nanoseconds of Unix time
	}
	// Acknowledged reports that the receiver has all records up to a number.
	Acknowledged struct{ Record uint64 }
)

func (RecordIntent) event() {}
func (Appended) event()     {}
func (Durable) event()      {}
func (LogStatus) event()    {}
func (Settle) event()       {}
func (Acknowledged) event() {}

// Action is something that an outbox asks its owner to do.
type Action interface{ action() }

type (
	// Append asks for a record in the log. It is answered by Appended, unless ID is 0.
	Append struct {
		ID      AttemptID
		Payload []byte
	}
	// Release lets an attempt be sent.
	Release struct{ ID AttemptID }
	// Deny forbids an attempt: nothing of it may leave.
	Deny struct{ ID AttemptID }
)

func (Append) action()  {}
func (Release) action() {}
func (Deny) action()    {}
