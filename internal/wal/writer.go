package wal

import (
	"path/filepath"
	"time"
)

// idleWait is how long the writer goroutine waits when it has no work. Append and Close wake it, so the value
// only has to be long.
const idleWait = time.Hour

// writer is the state of the writer goroutine.
type writer struct {
	file    File    // the segment being written; nil after a failure
	current segment // describes file
	spare   []byte  // buffer that is swapped with Log.pending

	// unsynced contains the encoded records that were written since the last sync. If a write or a sync
	// fails, they are written again to a new segment, because after a failed sync the operating system may
	// have dropped its data.
	unsynced      []byte
	firstUnsynced uint64 // number of the first record in unsynced, or of the next one if it is empty
	lastWritten   uint64 // number of the last record taken from Log.pending, even if its write failed
	needsSync     bool   // data was written since the last sync
}

// run is the writer goroutine, which runs from Open to Close.
func (l *Log) run() {
	defer close(l.done)
	w := &l.writer
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	wait := idleWait
	timerFired := false
	for {
		// Records that arrive before the timer fires must not put it off.
		if next := l.nextWait(); timerFired || next != wait {
			wait = next
			timer.Reset(wait)
		}
		timerFired = false
		select {
		case <-l.wake:
		case <-timer.C:
			timerFired = true
		}
		l.mu.Lock()
		closed, failed := l.closed, l.failure != nil
		l.mu.Unlock()
		switch {
		case failed && (timerFired || closed):
			l.resume()
		case !failed:
			l.groupCommit(timerFired)
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

// nextWait returns how long the writer goroutine waits for the timer: until the next try after a failure, or
// until the next sync.
func (l *Log) nextWait() time.Duration {
	switch {
	case l.err() != nil:
		return l.options.RetryInterval
	case l.writer.needsSync:
		return l.options.SyncInterval
	}
	return idleWait
}

// groupCommit writes all pending records with a single write and syncs if the mode or a size limit requires
// it. It starts a new segment if the current one is full. intervalElapsed reports whether the sync interval
// has elapsed.
func (l *Log) groupCommit(intervalElapsed bool) {
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
		sync = sync || intervalElapsed
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

// flush syncs the current segment if sync is set and marks the written records as durable as far as the mode
// allows. It returns false if the sync failed.
func (l *Log) flush(sync bool) bool {
	w := &l.writer
	if sync && w.needsSync {
		if err := w.file.Sync(); err != nil {
			l.setFailure(err)
			return false
		}
		w.needsSync = false
	}
	// In the mode SyncNever, records are not guaranteed to survive a crash of the machine, so unsynced
	// records are dropped from memory when they take too much of it.
	if !w.needsSync || l.options.Mode == SyncNever && len(w.unsynced) > l.options.MaxPendingBytes/2 {
		w.unsynced, w.firstUnsynced = w.unsynced[:0], w.lastWritten+1
	}
	if !w.needsSync || l.options.Mode != SyncAlways {
		l.markDurable(w.lastWritten)
	}
	return true
}

// markDurable records that all records up to a number are durable and calls Options.OnDurable if the number
// has advanced.
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

// write appends encoded records to the current segment.
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

// startSegment closes the current segment and starts a new one that begins with the unsynced records. After a
// failure, these include all written records that are not durable. The new segment gets its name only after
// it is complete, because a segment of the same name may exist with records that were written but not synced.
// If the process is killed in between, either the old or the new segment must be left.
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

// setFailure abandons the current segment and records the failure. Records that are not durable yet do not
// become durable until resume has written them to a new segment.
func (l *Log) setFailure(err error) {
	w := &l.writer
	if w.file != nil {
		w.file.Close()
		w.file = nil
	}
	w.needsSync = false
	l.mu.Lock()
	firstFailure := l.failure == nil
	l.failure = err
	l.notifyWaiters()
	l.mu.Unlock()
	if firstFailure {
		l.options.OnFailure(err)
	}
}

// resume tries to continue in a new segment after a failure.
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
