package wal

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// ErrFull says that Options.MaxBytes is reached.
var ErrFull = errors.New("wal: the bound on its disk is reached")

// ErrBusy says that Options.MaxPendingBytes wait for the disk.
var ErrBusy = errors.New("wal: too much waits for the disk")

// ErrClosed says that the log was closed.
var ErrClosed = errors.New("wal: closed")

// ErrLocked says that another process has the log open.
var ErrLocked = errors.New("wal: another process has this log")

// Log is an open log. All methods are safe for concurrent use.
type Log struct {
	dir     string
	options Options
	lock    *os.File

	mu          sync.Mutex // guards the fields from here to changed
	nextNumber  uint64     // of the next record
	pending     []byte     // records that the writer has not taken yet
	lastPending uint64     // number of the last record appended
	segments    []segment  // the last one is being written, unless the log fails
	snapshots   []snapshotFile
	totalBytes  int64  // of all files
	lastDurable uint64 // all records up to it are durable
	failure     error  // while the log does not work
	closed      bool
	changed     chan struct{} // closed and replaced when lastDurable or failure changes

	wake   chan struct{} // tells the writer that there is work
	done   chan struct{} // closed when the writer has ended
	writer writer        // used by the writer goroutine only, once Open has returned

	snapshotMu      sync.Mutex // one snapshot at a time
	snapshotRunning atomic.Bool
	snapshotWG      sync.WaitGroup // goroutines of SnapshotAsync
}

// Open recovers a log and goes on behind it in a new segment. It calls begin, unless that is nil, with the snapshot and
// then take, unless that is nil, with each record behind it. Payloads are valid during the call only. A disk that can't
// be written is no error: the log tries again, as after any failure. Errors wrap ErrLocked where another process has
// the log, and what begin and take return.
func Open(dir string, o Options, begin func(*Recovery) error, take func(Record) error) (*Log, *Recovery, error) {
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
	rec, err := l.recover(begin, take)
	if err != nil {
		lock.Close()
		return nil, nil, fmt.Errorf("%s: %w", dir, err)
	}
	l.nextNumber, l.lastPending, l.lastDurable = rec.LastRecord+1, rec.LastRecord, rec.LastRecord
	l.writer.firstUnsynced = rec.LastRecord + 1
	if err := l.startSegment(); err != nil {
		l.setFailure(err)
	}
	go l.run()
	return l, rec, nil
}

// Close writes what waits, ends the writer and waits for a snapshot under way. It returns why the log does not work, if
// it does not. Further calls wait for the writer only.
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

// Append adds a record and returns its number, without waiting for the disk: Options.OnDurable tells when the record is
// durable. The payload is copied. Errors are ErrFull, ErrBusy, ErrClosed, or that the payload is longer than MaxRecord.
func (l *Log) Append(payload []byte) (uint64, error) {
	if len(payload) > MaxRecord {
		return 0, fmt.Errorf("wal: record of %d bytes, want %d at most", len(payload), MaxRecord)
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

func (l *Log) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// NextNumber is the number that the next record gets.
func (l *Log) NextNumber() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextNumber
}

// LastDurable is the last record up to which all are durable.
func (l *Log) LastDurable() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastDurable
}

// Size is how many bytes the files take.
func (l *Log) Size() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalBytes
}

// err is why the log does not work, or nil.
func (l *Log) err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// Sync waits until all that was appended is durable, as the mode has it. It fails if the log does, if it was closed
// before, or after a timeout.
func (l *Log) Sync(timeout time.Duration) error { return l.waitDurable(l.NextNumber()-1, timeout) }

// waitDurable waits until a record is durable.
func (l *Log) waitDurable(number uint64, timeout time.Duration) error {
	alarm := time.NewTimer(timeout)
	defer alarm.Stop()
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
		case <-alarm.C:
			return fmt.Errorf("wal: record %d is not durable within %v", number, timeout)
		}
	}
}

// notifyWaiters wakes the goroutines in waitDurable; mu is held.
func (l *Log) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}
