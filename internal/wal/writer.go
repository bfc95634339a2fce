package wal

import (
	"path/filepath"
	"time"
)

// idleWait is how long the writer waits while it has nothing to do. Append and Close wake it, so any long time will do.
const idleWait = time.Hour

// writer is the state of the writer goroutine.
type writer struct {
	file    File // nil: none, after a failure
	current segment
	spare   []byte // swapped with Log.pending

	// unsynced is the records that were written since the last sync. They are written again, to a new segment, if a
	// write or sync fails: after a failed sync the system may have dropped what it had.
	unsynced      []byte
	firstUnsynced uint64
	lastWritten   uint64
	needsSync     bool // something was written since the last sync
}

// run is the writer goroutine, from Open to Close.
func (l *Log) run() {
	defer close(l.done)
	w := &l.writer
	alarm := time.NewTimer(idleWait)
	defer alarm.Stop()
	for {
		wait := idleWait
		if l.err() != nil {
			wait = l.options.RetryInterval
		} else if w.needsSync {
			wait = l.options.SyncInterval
		}
		alarm.Reset(wait)
		timer := false
		select {
		case <-l.wake:
		case <-alarm.C:
			timer = true
		}
		l.mu.Lock()
		closed, failed := l.closed, l.failure != nil
		l.mu.Unlock()
		switch {
		case failed && (timer || closed):
			l.resume()
		case !failed:
			l.groupCommit(timer)
		}
		if closed {
			if w.file != nil && l.err() == nil {
				l.flush(true)
				w.file.Close()
			}
			return
		}
	}
}

// groupCommit writes all records that wait in one write, syncs if the mode or a bound demands it, and begins a new
// segment where this one is full. timer says that the sync interval is over.
func (l *Log) groupCommit(timer bool) {
	w := &l.writer
	l.mu.Lock()
	records, last := l.pending, l.lastPending
	l.pending = w.spare[:0]
	l.mu.Unlock()
	w.spare = records
	if len(records) > 0 {
		w.unsynced = append(w.unsynced, records...)
		w.lastWritten = last
		if err := l.write(records); err != nil {
			l.setFailure(err)
			return
		}
		w.needsSync = true
	}
	full := w.current.size >= l.options.SegmentBytes
	sync := full || len(w.unsynced) > l.options.MaxPendingBytes
	switch l.options.Mode {
	case SyncAlways:
		sync = true
	case SyncInterval:
		sync = sync || timer
	}
	if !l.flush(sync) {
		return
	}
	if full {
		if err := l.startSegment(); err != nil {
			l.setFailure(err)
		}
	}
}

// flush syncs, if sync is set, and reports to OnDurable what became durable; false: the sync failed.
func (l *Log) flush(sync bool) bool {
	w := &l.writer
	if sync && w.needsSync {
		if err := w.file.Sync(); err != nil {
			l.setFailure(err)
			return false
		}
		w.needsSync = false
	}
	// In the mode that never syncs, records are not promised to outlive the machine: memory bounds what is held.
	if !w.needsSync || l.options.Mode == SyncNever && len(w.unsynced) > l.options.MaxPendingBytes/2 {
		w.unsynced, w.firstUnsynced = w.unsynced[:0], w.lastWritten+1
	}
	if !w.needsSync || l.options.Mode != SyncAlways {
		l.markDurable(w.lastWritten)
	}
	return true
}

func (l *Log) markDurable(number uint64) {
	l.mu.Lock()
	advanced := number > l.lastDurable
	if advanced {
		l.lastDurable = number
		l.notifyWaiters()
	}
	l.mu.Unlock()
	if advanced {
		l.options.OnDurable(number)
	}
}

func (l *Log) write(b []byte) error {
	w := &l.writer
	if err := writeAll(w.file, b); err != nil {
		return err
	}
	w.current.size += int64(len(b))
	l.mu.Lock()
	l.totalBytes += int64(len(b))
	l.segments[len(l.segments)-1].size = w.current.size
	l.mu.Unlock()
	return nil
}

// startSegment closes the current segment and begins one with the records that are not synced: after a failure, all
// that are not durable. It gets its name only once it is complete. A segment of the same name may be there, with
// records that the system has and a sync did not reach; a kill in between must leave the one or the other.
func (l *Log) startSegment() error {
	w := &l.writer
	if w.file != nil {
		if w.needsSync {
			if err := w.file.Sync(); err != nil {
				return err
			}
			w.needsSync = false
		}
		w.file.Close()
		w.file = nil
	}
	first := w.firstUnsynced
	name := segmentName(first)
	content := append(appendSegmentHeader(nil, first), w.unsynced...)
	f, err := createFile(l.options.FS, l.dir, filepath.Join(l.dir, name), content)
	if err != nil {
		return err
	}
	w.file, w.current = f, segment{name, first, int64(len(content))}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.segments); n > 0 && l.segments[n-1].name == name {
		l.totalBytes -= l.segments[n-1].size
		l.segments = l.segments[:n-1]
	}
	l.segments = append(l.segments, w.current)
	l.totalBytes += w.current.size
	return nil
}

// setFailure gives up the current file. Nothing that is not durable yet counts as durable until resume has written it
// to a new segment.
func (l *Log) setFailure(err error) {
	w := &l.writer
	if w.file != nil {
		w.file.Close()
		w.file = nil
	}
	w.needsSync = false
	l.mu.Lock()
	first := l.failure == nil
	l.failure = err
	l.notifyWaiters()
	l.mu.Unlock()
	if first {
		l.options.OnFailure(err)
	}
}

// resume tries to go on after a failure, in a new segment.
func (l *Log) resume() {
	if err := l.startSegment(); err != nil {
		l.setFailure(err)
		return
	}
	l.writer.needsSync = false
	l.mu.Lock()
	l.failure = nil
	l.notifyWaiters()
	l.mu.Unlock()
	l.flush(false)
	l.options.OnFailure(nil)
	l.groupCommit(true)
}
