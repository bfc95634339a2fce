package scenario

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"winghatch/internal/config"
	"winghatch/internal/invariant"
)

// Verify checks the records that an earlier run wrote to a folder against the invariants. If the file of
// records is truncated, it checks the complete records.
func Verify(dir string) (*invariant.Verdict, error) {
	fleet, err := config.Load(filepath.Join(dir, fleetFile))
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
