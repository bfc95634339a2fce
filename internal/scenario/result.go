package scenario

import (
	"errors"

	"winghatch/internal/invariant"
	"winghatch/internal/testbed/client"
)

// Result is what a run measured.
type Result struct {
	Stats      client.Stats
	Verdict    *invariant.Verdict
	Attempts   int      // that servers received
	Recordings []string // files, one for each gateway process

	// Of fleets that export usage; zero for others.
	Usage           *invariant.UsageResult
	DuplicateEvents int // events that the usage receiver had received before
	Kills           int // of gateways, by the fault kill_storm
	Reservations    []ReservationUse
}

// ReservationUse is a reservation of a run and what was used of it.
type ReservationUse struct {
	Member string
	Units  float64 // reserved
	Used   float64 // units, by the events that the usage receiver kept
}

// result checks the records of a run that is over.
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
