package scenario

import (
	"errors"

	"winghatch/internal/invariant"
	"winghatch/internal/testbed/client"
)

// Result is the result of a run.
type Result struct {
	Stats      client.Stats
	Verdict    *invariant.Verdict
	Attempts   int      // number of attempts that servers received
	Recordings []string // paths of the recordings, one for each gateway process

	// The fields below are zero if the fleet does not export usage.

	Usage           *invariant.UsageResult
	DuplicateEvents int // number of events that the usage receiver had received before
	Kills           int // number of gateways killed by the fault kill_storm
	Reservations    []ReservationUse
}

// ReservationUse is a reservation of a run and its use.
type ReservationUse struct {
	Member string
	Units  float64 // reserved units
	Used   float64 // used units, according to the events that the usage receiver stored
}

// result checks the records of a finished run.
func (r *runner) result() (*Result, error) {
	records := r.log.Records()
	res := &Result{
		Stats:      r.client.Stats(),
		Verdict:    invariant.Check(r.fleet, records),
		Recordings: r.recordings,
	}
	for _, record := range records {
		if record.Kind == invariant.Received {
			res.Attempts++
		}
	}
	if err := errors.Join(r.checkUsage(records, res), r.saveSeries()); err != nil {
		return nil, err
	}
	return res, nil
}
