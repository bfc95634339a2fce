package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const lockName = "LOCK"

// lockDir locks a directory for this process until the returned file is closed: two writers would give one number to
// two records. The kernel releases the lock when the
// process ends, however it ends.
func lockDir(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: %w", dir, ErrLocked)
	}
	return f, nil
}
