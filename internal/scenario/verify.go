package scenario

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"winghatch/internal/config"
	"winghatch/internal/invariant"
)

// Files of a run in Options.Dir. Their names and contents are read by later versions.
const (
	settingsFile = "fleet.kdl"
	trafficFile  = "traffic.jsonl"
	usageFile    = "accounting.jsonl"
	metricsFile  = "series.jsonl"
)

// Verify checks the invariants again on a run that was recorded in a folder. Records of a run that was cut off are
// checked as far as they go.
func Verify(dir string) (*invariant.Verdict, error) {
	fleet, err := config.Load(filepath.Join(dir, settingsFile))
	if err != nil {
		return nil, err
	}
	in, err := os.Open(filepath.Join(dir, trafficFile))
	if err != nil {
		return nil, err
	}
	defer in.Close()
	records, err := invariant.ReadRecords(in)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, err
	}
	return invariant.Check(fleet, records), nil
}
