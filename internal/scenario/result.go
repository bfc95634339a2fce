package scenario

import (
	"winghatch/internal/invariant"
	"winghatch/internal/testbed/client"
)

// Outcome is a day played.
type Result struct {
	Stats      client.Stats
	Verdict    *invariant.Verdict
	Attempts   int
	Records    int
	Recordings []string

	Usage           *invariant.UsageResult // of an accounting, if the fleet has one
	DuplicateEvents int                    // events that it was sent again
	Kills           int                    // of gateways, by kill storms
	Reservations    []ReservationUse
}

// Reserved is what became of a reservation.
type ReservationUse struct {
	Member string
	Units  float64
	Used   float64 // by the accounting
}
