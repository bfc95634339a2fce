package wal

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// ErrFull is returned by Append when the log with the new record would exceed Options.MaxBytes.
var ErrFull = errors.New("wal: log has reached its size limit")

// ErrBusy is returned by Append when the records waiting to be written would exceed Options.MaxPendingBytes.
var ErrBusy = errors.New("wal: too many bytes are waiting to be written")

// ErrClosed is returned by methods of a closed log.
var ErrClosed = errors.New("wal: log is closed")

// ErrLocked is wrapped by the error of Open when another process has the log open.
var ErrLocked = errors.New("log is locked by another process")

// Log is an open log. All methods are safe for concurrent use.
type Log struct {
	dir     string
	options Options
	lock    *os.File

	mu          sync.Mutex     // guards the fields from here to changed
	nextNumber  uint64         // number of the next record to be appended
	pending     []byte         // encoded records that the writer has not picked up yet
	lastPending uint64         // number of the last record appended
	segments    []segment      // in order of record numbers; records are written to the last one
	snapshots   []snapshotFile // in order of record numbers
	totalBytes  int64          // size of all segments and snapshots
	lastDurable uint64         // number of the last record up to which all records are durable
	failure     error          // why the log cannot be written; nil if it can
	closed      bool
	changed     chan struct{} // closed and replaced when lastDurable or failure changes

	wake   chan struct{} // signals the writer goroutine that there is work
	done   chan struct{} // closed when the writer goroutine has ended
	writer writer        // after Open has returned, used only by the writer goroutine

	snapshotMu      sync.Mutex     // serializes Snapshot
	snapshotRunning atomic.Bool    // set while a SnapshotAsync is running
	snapshotWG      sync.WaitGroup // counts the goroutines of SnapshotAsync
}

// Open recovers the log in the directory dir, creating it if necessary, and starts a new segment after its
// last record. It calls restoreSnapshot, unless nil, with the recovered snapshot, and then restoreRecord,
// unless nil, with each record after that snapshot. Payloads are valid only during the call. A disk that
// cannot be written is not an error: the log retries, as after any write failure. Errors wrap ErrLocked if
// another process has the log open, and any error that restoreSnapshot or restoreRecord returns.
func Open(dir string, o Options, restoreSnapshot func(*Recovery) error, restoreRecord func(Record) error) (
	*Log, *Recovery, error) {
	lock, err := lockDir(dir)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{
		dir:     dir,
		options: o.withDefaults(),
		lock:    lock,
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	recovery, err := l.recover(restoreSnapshot, restoreRecord)
	if err != nil {
		lock.Close()
		return nil, nil, fmt.Errorf("wal: recover %s: %w", dir, err)
	}
	l.nextNumber, l.lastPending, l.lastDurable =
		recovery.LastRecord+1, recovery.LastRecord, recovery.LastRecord
	l.writer.firstUnsynced = recovery.LastRecord + 1
	if err := l.startSegment(); err != nil {
		l.setFailure(err)
	}
	go l.run()
	return l, recovery, nil
}

// Close writes all pending records, stops the writer goroutine and waits for a running SnapshotAsync. If the
// log cannot be written, Close returns the reason. Further calls only wait for the writer goroutine and
// return nil.
func (l *Log) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		<-l.done
		return nil
	}
	l.closed = true
	l.mu.Unlock()
	l.wakeWriter()
	<-l.done
	l.snapshotWG.Wait()
	l.lock.Close()
	return l.err()
}

// Append adds a record and returns its number without waiting for the disk; Options.OnDurable reports when
// the record is durable. The payload is copied. It returns ErrFull, ErrBusy or ErrClosed, or an error if the
// payload is longer than MaxRecord.
func (l *Log) Append(payload []byte) (uint64, error) {
	if len(payload) > MaxRecord {
		return 0, fmt.Errorf("wal: record of %d bytes exceeds the limit of %d bytes", len(payload), MaxRecord)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, ErrClosed
	}
	size := len(payload) + recordHeaderBytes
	if l.options.MaxBytes > 0 && l.totalBytes+int64(len(l.pending)+size) > l.options.MaxBytes {
		return 0, ErrFull
	}
	if len(l.pending)+size > l.options.MaxPendingBytes {
		return 0, ErrBusy
	}
	number := l.nextNumber
	l.nextNumber++
	l.pending = appendRecord(l.pending, number, payload)
	l.lastPending = number
	l.wakeWriter()
	return number, nil
}

// wakeWriter signals the writer goroutine that there is work. It never blocks.
func (l *Log) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// NextNumber returns the number that the next appended record gets.
func (l *Log) NextNumber() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextNumber
}

// LastDurable returns the number of the last record up to which all records are durable; 0 if there is none.
func (l *Log) LastDurable() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastDurable
}

// Size returns the total size of the segments and snapshots in bytes.
func (l *Log) Size() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalBytes
}

// err returns why the log cannot be written, or nil if it can.
func (l *Log) err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// Sync waits until all records appended before the call are durable as defined by Options.Mode. It returns an
// error if the log cannot be written, if it was closed before the records became durable, or after the
// timeout.
func (l *Log) Sync(timeout time.Duration) error { return l.waitDurable(l.NextNumber()-1, timeout) }

// waitDurable waits until a record is durable; its errors are those of Sync.
func (l *Log) waitDurable(number uint64, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		l.mu.Lock()
		durable, failure, changed := l.lastDurable, l.failure, l.changed
		l.mu.Unlock()
		switch {
		case durable >= number:
			return nil
		case failure != nil:
			return failure
		}
		select {
		case <-changed:
		case <-l.done:
			if l.LastDurable() < number {
				return ErrClosed
			}
		case <-timer.C:
			return fmt.Errorf("wal: record %d did not become durable within %v", number, timeout)
		}
	}
}

// notifyWaiters wakes the goroutines in waitDurable. The caller holds mu.
func (l *Log) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}
