package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Mode says when a record counts as durable.
type SyncMode int

// The modes.
const (
	// Each: when a sync that covers it has ended. Nothing acknowledged is lost by any crash.
	SyncAlways SyncMode = iota
	// Interval: when the system has it; a sync follows within Options.Every. A crash of the process loses nothing,
	// one of the machine what the last interval brought.
	SyncInterval
	// None: when the system has it. The log never syncs but at the end of a segment and for snapshots.
	SyncNever
)

func (m SyncMode) String() string { return [...]string{"each", "interval", "none"}[m] }

// Options tell a log what it may do.
type Options struct {
	Mode            SyncMode
	SyncInterval    time.Duration // of Interval; 0: 100 ms
	SegmentBytes    int64         // bytes after which a new one is begun; 0: 16 MiB
	MaxBytes        int64         // bytes of all files; 0: none. Append refuses what would pass it
	MaxPendingBytes int           // bytes that may wait for the disk; 0: 8 MiB
	RetryInterval   time.Duration // after a failure the log tries a new segment so often; 0: 500 ms
	FS              FS            // nil: Disk

	// Durable is told, from the log's goroutine, up to which record all are durable, and of each failure and the
	// end of one. It must not block for long.
	OnDurable func(no uint64)
	OnFailure func(error) // nil error: the log works again, and all that waited is durable
	// Records that the caller alone knows to be needed: the log keeps the segments that hold them.
	RetainFrom func() (from uint64)
}

// ErrFull says that the bound on the disk is reached.
var ErrFull = errors.New("wal: the bound on its disk is reached")

// ErrBusy says that too much waits for the disk.
var ErrBusy = errors.New("wal: too much waits for the disk")

// ErrClosed says that the log was closed.
var ErrClosed = errors.New("wal: closed")

// ErrLocked says that another process has the log.
var ErrLocked = errors.New("wal: another process has this log")

// Log is an open log. All methods are safe for concurrent use.
type Log struct {
	dir     string
	options Options
	lock    *os.File

	mu          sync.Mutex
	wake        chan struct{}
	nextNumber  uint64 // number of the next record
	pending     []byte // appended, not yet taken by the writer
	lastPending uint64
	spare       []byte
	segments    []segment // the last one is being written, if file is open
	snapshots   []snapshotFile
	totalBytes  int64 // of all files
	failure     error // while the log does not work
	closed      bool
	lastDurable uint64
	changed     chan struct{} // closed and made anew when durable, failure or closed change

	// The writer's own.
	file            File
	current         segment
	unsynced        []byte // written since the last sync, to be written anew where a sync or write fails
	firstUnsynced   uint64
	lastWritten     uint64
	needsSync       bool
	done            chan struct{}
	snapshotMu      sync.Mutex
	snapshotRunning atomic.Bool
	snapshotWG      sync.WaitGroup
}

func (o Options) withDefaults() Options {
	if o.SyncInterval <= 0 {
		o.SyncInterval = 100 * time.Millisecond
	}
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = 16 << 20
	}
	if o.MaxPendingBytes <= 0 {
		o.MaxPendingBytes = 8 << 20
	}
	if o.RetryInterval <= 0 {
		o.RetryInterval = 500 * time.Millisecond
	}
	if o.FS == nil {
		o.FS = Disk{}
	}
	if o.OnDurable == nil {
		o.OnDurable = func(uint64) {}
	}
	if o.OnFailure == nil {
		o.OnFailure = func(error) {}
	}
	return o
}

// Lock takes the directory for this process, until the file is closed. The kernel lets go of it with the process.
func Lock(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, "LOCK"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: %w", dir, ErrLocked)
	}
	return f, nil
}

// Open recovers a log, handing each record behind the last good snapshot to take, and goes on writing behind it in
// a new segment. take sees the snapshot in rec before the first record.
func Open(dir string, o Options, begin func(rec *Recovery) error, take func(Record) error) (*Log, *Recovery, error) {
	o = o.withDefaults()
	lock, err := Lock(dir)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{dir: dir, options: o, lock: lock, wake: make(chan struct{}, 1), done: make(chan struct{}), changed: make(chan struct{})}
	rec, err := l.recover(begin, take)
	if err != nil {
		lock.Close()
		return nil, nil, fmt.Errorf("%s: %w", dir, err)
	}
	l.nextNumber, l.lastPending, l.lastDurable, l.firstUnsynced = rec.Last+1, rec.Last, rec.Last, rec.Last+1
	if err := l.startSegment(); err != nil {
		// Such as a disk that is full or read-only: the log is there, and tries again.
		l.setFailure(err)
	}
	go l.run()
	return l, rec, nil
}

func (l *Log) recover(begin func(*Recovery) error, take func(Record) error) (*Recovery, error) {
	rec := &Recovery{}
	segs, snaps, err := listFiles(l.options.FS, l.dir)
	if err != nil {
		return nil, err
	}
	for i := len(snaps) - 1; i >= 0 && rec.Snapshot == nil; i-- {
		no := snaps[i].record
		if rec.Snapshot, err = readSnapshot(l.options.FS, l.dir, no); err != nil {
			rec.DamagedSnapshots = append(rec.DamagedSnapshots, fmt.Sprintf("%s: %v", snapshotName(no), err))
			continue
		}
		rec.SnapshotRecord, rec.Last = no, no
		if rec.Snapshot == nil {
			rec.Snapshot = []byte{}
		}
		break
	}
	for _, s := range snaps {
		if s.record <= rec.SnapshotRecord {
			l.snapshots = append(l.snapshots, s)
			l.totalBytes += s.size
		}
	}
	if begin != nil {
		if err := begin(rec); err != nil {
			return nil, err
		}
	}
	// Segments that the snapshot covers whole are not read: what they still hold is somebody's to read later.
	from := 0
	for i, s := range segs {
		if s.firstRecord <= rec.SnapshotRecord+1 {
			from = i
		}
	}
	for i, s := range segs {
		l.totalBytes += s.size
		if i < from {
			continue
		}
		if err := l.readSegment(s, rec, take); err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	l.segments = segs
	return rec, nil
}

func (l *Log) readSegment(s segment, rec *Recovery, take func(Record) error) error {
	f, err := l.options.FS.Open(filepath.Join(l.dir, s.name))
	if err != nil {
		return err
	}
	defer f.Close()
	rec.SkippedBytes += rec.TornBytes // what seemed the end was not
	torn, skipped, err := scanSegment(f, func(r Record, from, _ int64) error {
		if r.Number <= rec.Last {
			return nil // covered, or read before
		}
		// Without a snapshot the first record of all may have any number: older segments were let go.
		if r.Number > rec.Last+1 && (rec.Last > 0 || rec.Records > 0) {
			rec.Gaps = append(rec.Gaps, Gap{rec.Last + 1, r.Number - 1, s.name, from})
		}
		if rec.First == 0 {
			rec.First = r.Number
		}
		rec.Last = r.Number
		rec.Records++
		if take == nil {
			return nil
		}
		return take(r)
	})
	rec.TornBytes = torn
	rec.SkippedBytes += skipped
	return err
}

// Dir is where the log lies.
func (l *Log) Dir() string { return l.dir }

// Append adds a record behind all others and returns its number. It does not wait for the disk: Options.Durable
// tells when the record is safe. The payload is copied.
func (l *Log) Append(payload []byte) (uint64, error) {
	if len(payload) > MaxRecord {
		return 0, fmt.Errorf("wal: record of %d bytes, want %d at most", len(payload), MaxRecord)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, ErrClosed
	}
	n := int64(len(payload) + recordHeaderBytes)
	if l.options.MaxBytes > 0 && l.totalBytes+int64(len(l.pending))+n > l.options.MaxBytes {
		return 0, ErrFull
	}
	if len(l.pending)+int(n) > l.options.MaxPendingBytes {
		return 0, ErrBusy
	}
	no := l.nextNumber
	l.nextNumber++
	l.pending = appendRecord(l.pending, no, payload)
	l.lastPending = no
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return no, nil
}

// Next is the number that the next record gets.
func (l *Log) NextNumber() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextNumber
}

// DurableTo is the last record that is durable.
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

// Err is why the log does not work, or nil.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// run is the writer: it takes what was appended since its last turn in one write and, as the mode says, one sync.
func (l *Log) run() {
	defer close(l.done)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		wait := time.Hour
		if l.Err() != nil {
			wait = l.options.RetryInterval
		} else if l.needsSync {
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
			if l.file != nil && l.Err() == nil {
				l.flush(true)
				l.file.Close()
			}
			return
		}
	}
}

// commit writes what waits, in one write.
func (l *Log) groupCommit(timer bool) {
	l.mu.Lock()
	b, end := l.pending, l.lastPending
	l.pending = l.spare[:0]
	l.mu.Unlock()
	l.spare = b
	if len(b) > 0 {
		l.unsynced = append(l.unsynced, b...)
		l.lastWritten = end
		if err := l.write(b); err != nil {
			l.setFailure(err)
			return
		}
		l.needsSync = true
	}
	must := l.needsSync && (l.options.Mode == SyncAlways || l.options.Mode == SyncInterval && timer || l.current.size >= l.options.SegmentBytes || len(l.unsynced) > l.options.MaxPendingBytes)
	if !l.flush(must) {
		return
	}
	if l.current.size >= l.options.SegmentBytes {
		if err := l.startSegment(); err != nil {
			l.setFailure(err)
		}
	}
}

// flush syncs, if it must, and tells what became durable. What is not synced is held, within a bound, to be written
// anew if the next sync fails: after a failed one the system may have dropped what it was to write.
func (l *Log) flush(must bool) bool {
	if must && l.needsSync {
		if err := l.file.Sync(); err != nil {
			l.setFailure(err)
			return false
		}
		l.needsSync = false
	}
	if !l.needsSync {
		l.unsynced, l.firstUnsynced = l.unsynced[:0], l.lastWritten+1
	} else if l.options.Mode == SyncNever && len(l.unsynced) > l.options.MaxPendingBytes/2 {
		l.unsynced, l.firstUnsynced = l.unsynced[:0], l.lastWritten+1 // not promised to outlive the machine
	}
	if !l.needsSync || l.options.Mode != SyncAlways {
		l.markDurable(l.lastWritten)
	}
	return true
}

func (l *Log) markDurable(no uint64) {
	l.mu.Lock()
	news := no > l.lastDurable
	if l.lastDurable = max(l.lastDurable, no); news {
		l.notifyWaiters()
	}
	l.mu.Unlock()
	if news {
		l.options.OnDurable(no)
	}
}

// change wakes whoever waits for what is durable; mu is held.
func (l *Log) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Log) write(b []byte) error {
	n, err := l.file.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return err
	}
	l.current.size += int64(n)
	l.mu.Lock()
	l.totalBytes += int64(n)
	l.segments[len(l.segments)-1].size = l.current.size
	l.mu.Unlock()
	return nil
}

// begin closes the segment under way and starts one for the next record to be written, with what is held in it: after
// a failure that is all that was not synced. It has its name only once it is whole: a segment of the same name may hold
// records that the system has and a sync did not reach, and a kill in between must leave one or the other.
func (l *Log) startSegment() error {
	if l.file != nil {
		if l.needsSync {
			if err := l.file.Sync(); err != nil {
				return err
			}
			l.needsSync = false
		}
		l.file.Close()
		l.file = nil
	}
	first := l.firstUnsynced
	name := segmentName(first)
	path := filepath.Join(l.dir, name)
	f, b, err := l.createFile(path, append(appendSegmentHeader(nil, first), l.unsynced...))
	if err != nil {
		return err
	}
	l.file, l.current = f, segment{name, first, int64(b)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.segments); n > 0 && l.segments[n-1].name == name {
		l.totalBytes -= l.segments[n-1].size
		l.segments = l.segments[:n-1]
	}
	l.segments = append(l.segments, l.current)
	l.totalBytes += l.current.size
	return nil
}

// replace writes a whole file under another name, syncs it and gives it its name. The file stays open.
func (l *Log) createFile(path string, b []byte) (File, int, error) {
	tmp := path + ".new"
	l.options.FS.Remove(tmp) // of a crash
	f, err := l.options.FS.Create(tmp)
	if err != nil {
		return nil, 0, err
	}
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.options.FS.Rename(tmp, path)
	}
	if err == nil {
		err = l.options.FS.SyncDir(l.dir)
	}
	if err != nil {
		f.Close()
		l.options.FS.Remove(tmp)
		return nil, 0, err
	}
	return f, n, nil
}

// fail ends work on the file under way. Nothing that is not durable yet is told to be, until revive has written it
// to a new segment.
func (l *Log) setFailure(err error) {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	l.needsSync = false
	l.mu.Lock()
	first := l.failure == nil
	l.failure = err
	l.notifyWaiters()
	l.mu.Unlock()
	if first {
		l.options.OnFailure(err)
	}
}

// revive tries a new segment with all that is held.
func (l *Log) resume() {
	if err := l.startSegment(); err != nil {
		l.setFailure(err)
		return
	}
	l.needsSync = false
	l.mu.Lock()
	l.failure = nil
	l.notifyWaiters()
	l.mu.Unlock()
	l.flush(false)
	l.options.OnFailure(nil)
	l.groupCommit(true)
}

// Sync waits until all that was appended is durable, as the mode has it.
func (l *Log) Sync(within time.Duration) error { return l.waitDurable(l.NextNumber()-1, within) }

// await waits until a record is durable. A log that fails, or that was closed before, is an error.
func (l *Log) waitDurable(no uint64, within time.Duration) error {
	alarm := time.NewTimer(within)
	defer alarm.Stop()
	for {
		l.mu.Lock()
		durable, failure, changed := l.lastDurable, l.failure, l.changed
		l.mu.Unlock()
		switch {
		case durable >= no:
			return nil
		case failure != nil:
			return failure
		}
		select {
		case <-changed:
		case <-l.done:
			if l.LastDurable() < no {
				return ErrClosed
			}
		case <-alarm.C:
			return fmt.Errorf("wal: record %d is not durable within %v", no, within)
		}
	}
}

// snapshotWait is how long a snapshot waits for the records that it covers.
const snapshotTimeout = 10 * time.Second

// Snapshot keeps the owner's state as of a record, so that a recovery begins there, and lets go of segments that
// neither it, nor the snapshot before it, nor Options.Keep needs: the former snapshot stays whole, as the new one
// may turn out damaged. It waits for the record to be durable: a state that is ahead of the log would say that
// what a crash then takes from the log had been done with.
func (l *Log) Snapshot(no uint64, state []byte) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.waitDurable(no, snapshotTimeout); err != nil {
		return fmt.Errorf("wal: snapshot of record %d: %w", no, err)
	}
	b := encodeSnapshot(no, state)
	f, n, err := l.createFile(filepath.Join(l.dir, snapshotName(no)), b)
	if err == nil {
		err = f.Close()
	}
	if err != nil {
		return fmt.Errorf("wal: snapshot of record %d: %w", no, err)
	}
	l.mu.Lock()
	before := uint64(0)
	if n := len(l.snapshots); n > 0 {
		before = l.snapshots[n-1].record
	}
	if before != no {
		l.snapshots = append(l.snapshots, snapshotFile{no, int64(n)})
		l.totalBytes += int64(n)
	}
	l.mu.Unlock()
	return l.removeCovered(before)
}

// SnapshotSoon does what Snapshot does in a goroutine of its own, after which then is called; false: one is under way.
// Close waits for it.
func (l *Log) SnapshotAsync(no uint64, state []byte, then func(error)) bool {
	if !l.snapshotRunning.CompareAndSwap(false, true) {
		return false
	}
	l.snapshotWG.Add(1)
	go func() {
		defer l.snapshotWG.Done()
		err := l.Snapshot(no, state)
		l.snapshotRunning.Store(false)
		then(err)
	}()
	return true
}

// trim lets go of what is covered by the snapshot of that number.
func (l *Log) removeCovered(covered uint64) error {
	keep := covered + 1
	if l.options.RetainFrom != nil {
		keep = min(keep, l.options.RetainFrom())
	}
	l.mu.Lock()
	var drop []segment
	for len(l.segments) > 1 && l.segments[1].firstRecord <= keep {
		drop = append(drop, l.segments[0])
		l.segments = l.segments[1:]
	}
	var old []snapshotFile
	for len(l.snapshots) > 2 {
		old = append(old, l.snapshots[0])
		l.snapshots = l.snapshots[1:]
	}
	l.mu.Unlock()
	var first error
	gone := int64(0)
	for _, s := range drop {
		if err := l.options.FS.Remove(filepath.Join(l.dir, s.name)); err != nil && first == nil {
			first = err
			continue
		}
		gone += s.size
	}
	for _, o := range old {
		l.options.FS.Remove(filepath.Join(l.dir, snapshotName(o.record)))
		gone += o.size
	}
	l.mu.Lock()
	l.totalBytes -= gone
	l.mu.Unlock()
	return first
}

// Close writes what waits and ends the log.
func (l *Log) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		<-l.done
		return nil
	}
	l.closed = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	<-l.done
	l.snapshotWG.Wait()
	l.lock.Close()
	return l.Err()
}

// Cursor reads records that are durable, in order, while the log goes on.
type Cursor struct {
	log     *Log
	next    uint64
	file    io.ReadSeekCloser
	segment segment
	buffer  []byte
	offset  int
	atEnd   bool      // all that the file had is in buf
	OnGap   func(Gap) // is told of records that are missing
}

// Read returns a cursor that stands before the record of that number.
func (l *Log) NewCursor(from uint64) *Cursor { return &Cursor{log: l, next: max(from, 1)} }

// Next returns the next record that is durable; ok is false where there is none yet. The payload is good until the
// next call.
func (c *Cursor) Next() (r Record, ok bool, err error) {
	c.log.mu.Lock()
	last := c.log.lastDurable
	c.log.mu.Unlock()
	for c.next <= last {
		if c.file == nil {
			if err := c.open(); err != nil {
				return r, false, err
			}
			if c.file == nil {
				return r, false, nil
			}
		}
		r, size, more, ok := parseRecord(c.buffer[c.offset:])
		switch {
		case ok:
			c.offset += size
			if r.Number < c.next {
				continue
			}
			if r.Number > last {
				c.offset -= size
				return r, false, nil
			}
			if r.Number > c.next && c.OnGap != nil {
				c.OnGap(Gap{c.next, r.Number - 1, c.segment.name, 0})
			}
			c.next = r.Number + 1
			return r, true, nil
		case more && !c.atEnd:
			n, err := c.fill()
			if err != nil {
				return r, false, err
			}
			c.atEnd = n == 0
		case c.offset < len(c.buffer):
			c.offset++ // the record is durable, so what stands here is damage: see scan
		default:
			if !c.nextSegment() {
				return r, false, nil
			}
		}
	}
	return r, false, nil
}

// open opens the segment that should hold the next record.
func (c *Cursor) open() error {
	c.log.mu.Lock()
	var found *segment
	for i := range c.log.segments {
		if s := c.log.segments[i]; s.firstRecord <= c.next || found == nil {
			found = &s
		}
	}
	c.log.mu.Unlock()
	if found == nil {
		return nil
	}
	return c.openSegment(*found)
}

func (c *Cursor) openSegment(s segment) error {
	f, err := c.log.options.FS.Open(filepath.Join(c.log.dir, s.name))
	if err != nil {
		return err
	}
	c.Close()
	c.file, c.segment, c.buffer, c.offset, c.atEnd = f, s, c.buffer[:0], 0, false
	if _, err := c.fill(); err != nil {
		return err
	}
	if validSegmentHeader(c.buffer) {
		c.offset = segmentHeaderBytes
	}
	return nil
}

// fill reads on in the segment.
func (c *Cursor) fill() (int, error) {
	const chunk = 128 << 10
	c.buffer = append(c.buffer[:0], c.buffer[c.offset:]...)
	c.offset = 0
	if cap(c.buffer)-len(c.buffer) < chunk {
		b := make([]byte, len(c.buffer), 2*len(c.buffer)+chunk)
		copy(b, c.buffer)
		c.buffer = b
	}
	n, err := c.file.Read(c.buffer[len(c.buffer) : len(c.buffer)+chunk])
	c.buffer = c.buffer[:len(c.buffer)+n]
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}

// step goes to the segment behind, if there is one. The end of the one under way is only an end where another one
// was begun.
func (c *Cursor) nextSegment() bool {
	c.log.mu.Lock()
	var next *segment
	for i := range c.log.segments {
		if s := c.log.segments[i]; s.firstRecord > c.segment.firstRecord {
			next = &s
			break
		}
	}
	c.log.mu.Unlock()
	if next == nil {
		n, err := c.fill() // the one under way grows
		c.atEnd = false
		return err == nil && n > 0
	}
	// What was written between the last read and the new segment's begin is read first.
	if n, err := c.fill(); err != nil || n > 0 {
		c.atEnd = false
		return err == nil
	}
	return c.openSegment(*next) == nil
}

// Close lets go of the file.
func (c *Cursor) Close() {
	if c.file != nil {
		c.file.Close()
		c.file = nil
	}
}
