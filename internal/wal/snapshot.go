package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"time"
)

const (
	snapshotMagic         = "WHS1"
	snapshotHeaderBytes   = 32
	snapshotChecksumStart = 24 // offset of the checksum in the header

	// snapshotTimeout limits how long a snapshot waits for the records that it covers to become durable.
	// Without it, a failing disk would block the next snapshot or Close forever.
	snapshotTimeout = 10 * time.Second
	// snapshotsKept is the number of snapshots kept on disk. It is more than one because the newest may be
	// damaged.
	snapshotsKept = 2
)

// encodeSnapshot returns the content of a snapshot file.
func encodeSnapshot(number uint64, payload []byte) []byte {
	b := []byte(snapshotMagic + magicPadding)
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, checksum(b, payload))
	return append(b, payload...)
}

// readSnapshot returns the payload of the snapshot that covers all records up to number. Any damage is an
// error.
func readSnapshot(fs FS, dir string, number uint64) ([]byte, error) {
	f, err := fs.Open(filepath.Join(dir, snapshotName(number)))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(f)
	if err != nil {
		return nil, err
	}
	if len(b) < snapshotHeaderBytes || string(b[:len(snapshotMagic)]) != snapshotMagic ||
		binary.LittleEndian.Uint64(b[8:]) != number ||
		binary.LittleEndian.Uint64(b[16:]) != uint64(len(b)-snapshotHeaderBytes) {
		return nil, errors.New("header is damaged or file is truncated")
	}
	payload := b[snapshotHeaderBytes:]
	if checksum(b[:snapshotChecksumStart], payload) != binary.LittleEndian.Uint64(b[snapshotChecksumStart:]) {
		return nil, errors.New("checksum does not match")
	}
	return payload, nil
}

// Snapshot stores the owner's state as of the record with the given number, so that recovery starts from
// there. It then removes the segments that are needed neither by this snapshot, nor by the previous one, nor
// by Options.RetainFrom. It first waits until the record is durable. Otherwise a crash could leave a state
// that is ahead of its log, and records appended after the crash would be treated as covered by the snapshot.
func (l *Log) Snapshot(number uint64, state []byte) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.waitDurable(number, snapshotTimeout); err != nil {
		return fmt.Errorf("wal: snapshot of record %d: %w", number, err)
	}
	content := encodeSnapshot(number, state)
	f, err := createFile(l.options.FS, l.dir, filepath.Join(l.dir, snapshotName(number)), content)
	if err == nil {
		err = f.Close()
	}
	if err != nil {
		return fmt.Errorf("wal: snapshot of record %d: %w", number, err)
	}
	l.mu.Lock()
	previous := uint64(0)
	if n := len(l.snapshots); n > 0 {
		previous = l.snapshots[n-1].record
	}
	if previous != number {
		l.snapshots = append(l.snapshots, snapshotFile{number, int64(len(content))})
		l.totalBytes += int64(len(content))
	}
	l.mu.Unlock()
	return l.removeCovered(previous)
}

// SnapshotAsync runs Snapshot in a new goroutine and calls done with the result. If another SnapshotAsync is
// still running, it does nothing and returns false. Close waits for the goroutine to end.
func (l *Log) SnapshotAsync(number uint64, state []byte, done func(error)) bool {
	if !l.snapshotRunning.CompareAndSwap(false, true) {
		return false
	}
	l.snapshotWG.Add(1)
	go func() {
		defer l.snapshotWG.Done()
		err := l.Snapshot(number, state)
		l.snapshotRunning.Store(false)
		done(err)
	}()
	return true
}

// removeCovered removes the segments whose records are all covered by the snapshot with the given number, and
// snapshots that are no longer kept. It returns the first error of removing a segment. A segment that could
// not be removed still counts towards the size of the log.
func (l *Log) removeCovered(number uint64) error {
	segments, snapshots := l.takeCovered(number)
	var firstErr error
	removedBytes := int64(0)
	for _, s := range segments {
		if err := l.options.FS.Remove(filepath.Join(l.dir, s.name)); err != nil && firstErr == nil {
			firstErr = err
			continue
		}
		removedBytes += s.size
	}
	for _, s := range snapshots {
		l.options.FS.Remove(filepath.Join(l.dir, snapshotName(s.record)))
		removedBytes += s.size
	}
	l.mu.Lock()
	l.totalBytes -= removedBytes
	l.mu.Unlock()
	return firstErr
}

// takeCovered removes from the lists of files those that removeCovered has to delete, and returns them.
func (l *Log) takeCovered(number uint64) (segments []segment, snapshots []snapshotFile) {
	firstNeeded := number + 1
	if l.options.RetainFrom != nil {
		firstNeeded = min(firstNeeded, l.options.RetainFrom())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.segments) > 1 && l.segments[1].firstRecord <= firstNeeded {
		segments = append(segments, l.segments[0])
		l.segments = l.segments[1:]
	}
	for len(l.snapshots) > snapshotsKept {
		snapshots = append(snapshots, l.snapshots[0])
		l.snapshots = l.snapshots[1:]
	}
	return segments, snapshots
}
