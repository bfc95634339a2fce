package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// lockName is the file whose lock protects the directory of a log.
const lockName = "LOCK"

// lockDir locks a directory for this process until the returned file is closed, because two writers would
// assign the same number to different records. It creates the directory if it does not exist. The kernel
// releases the lock when the process ends for any reason. The error wraps ErrLocked if the lock cannot be
// acquired.
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
		return nil, fmt.Errorf("wal: %s: %w", dir, ErrLocked)
	}
	return f, nil
}
