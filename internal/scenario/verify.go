package scenario

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"winghatch/internal/config"
	"winghatch/internal/invariant"
)

// Audit judges again what a day left in a folder.
func Verify(dir string) (*invariant.Verdict, error) {
	f, err := config.Load(filepath.Join(dir, "fleet.kdl"))
	if err != nil {
		return nil, err
	}
	in, err := os.Open(filepath.Join(dir, "traffic.jsonl"))
	if err != nil {
		return nil, err
	}
	defer in.Close()
	recs, err := invariant.ReadRecords(in)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, err
	}
	return invariant.Check(f, recs), nil
}
