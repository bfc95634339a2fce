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
	snapshotChecksumStart = 24

	// snapshotTimeout is how long a snapshot waits for the records that it covers: on a disk that fails it must not hold
	// up the next one, or Close, for good.
	snapshotTimeout = 10 * time.Second
	// snapshotsKept is how many snapshots are kept: the newest may turn out damaged.
	snapshotsKept = 2
)

func encodeSnapshot(number uint64, payload []byte) []byte {
	b := []byte(snapshotMagic + zeroMagicPad)
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, checksum(b, payload))
	return append(b, payload...)
}

// readSnapshot reads the payload of a snapshot; any damage is an error.
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
		return nil, errors.New("header is damaged, or the file is cut short")
	}
	payload := b[snapshotHeaderBytes:]
	if checksum(b[:snapshotChecksumStart], payload) != binary.LittleEndian.Uint64(b[snapshotChecksumStart:]) {
		return nil, errors.New("checksum is wrong")
	}
	return payload, nil
}

// Snapshot stores the owner's state as of a record, so that a recovery begins there, and removes segments that neither
// it, nor the snapshot before it, nor Options.RetainFrom needs. It waits until the record is durable: a crash would
// otherwise leave a state that is ahead of its log, and the records that are appended then would count as covered.
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
	before := uint64(0)
	if n := len(l.snapshots); n > 0 {
		before = l.snapshots[n-1].record
	}
	if before != number {
		l.snapshots = append(l.snapshots, snapshotFile{number, int64(len(content))})
		l.totalBytes += int64(len(content))
	}
	l.mu.Unlock()
	return l.removeCovered(before)
}

// SnapshotAsync does what Snapshot does in a goroutine of its own and then calls done with the result; false: a
// snapshot is under way, and nothing was done. Close waits for it.
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

// removeCovered removes the segments of which the snapshot of that number covers all records, and old snapshots. It
// returns the first error; what could not be removed still counts in the size of the log.
func (l *Log) removeCovered(number uint64) error {
	segments, snapshots := l.takeCovered(number)
	var first error
	removed := int64(0)
	for _, s := range segments {
		if err := l.options.FS.Remove(filepath.Join(l.dir, s.name)); err != nil && first == nil {
			first = err
			continue
		}
		removed += s.size
	}
	for _, s := range snapshots {
		l.options.FS.Remove(filepath.Join(l.dir, snapshotName(s.record)))
		removed += s.size
	}
	l.mu.Lock()
	l.totalBytes -= removed
	l.mu.Unlock()
	return first
}

// takeCovered takes what removeCovered removes off the lists of files.
func (l *Log) takeCovered(number uint64) (segments []segment, snapshots []snapshotFile) {
	needed := number + 1
	if l.options.RetainFrom != nil {
		needed = min(needed, l.options.RetainFrom())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.segments) > 1 && l.segments[1].firstRecord <= needed {
		segments = append(segments, l.segments[0])
		l.segments = l.segments[1:]
	}
	for len(l.snapshots) > snapshotsKept {
		snapshots = append(snapshots, l.snapshots[0])
		l.snapshots = l.snapshots[1:]
	}
	return segments, snapshots
}
