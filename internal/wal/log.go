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
type Mode int

// The modes.
const (
	// Each: when a sync that covers it has ended. Nothing acknowledged is lost by any crash.
	Each Mode = iota
	// Interval: when the system has it; a sync follows within Options.Every. A crash of the process loses nothing,
	// one of the machine what the last interval brought.
	Interval
	// None: when the system has it. The log never syncs but at the end of a segment and for snapshots.
	None
)

func (m Mode) String() string { return [...]string{"each", "interval", "none"}[m] }

// Options tell a log what it may do.
type Options struct {
	Mode    Mode
	Every   time.Duration // of Interval; 0: 100 ms
	Segment int64         // bytes after which a new one is begun; 0: 16 MiB
	Bound   int64         // bytes of all files; 0: none. Append refuses what would pass it
	Pending int           // bytes that may wait for the disk; 0: 8 MiB
	Retry   time.Duration // after a failure the log tries a new segment so often; 0: 500 ms
	FS      FS            // nil: Disk

	// Durable is told, from the log's goroutine, up to which record all are durable, and of each failure and the
	// end of one. It must not block for long.
	Durable func(no uint64)
	Failed  func(error) // nil error: the log works again, and all that waited is durable
	// Records that the caller alone knows to be needed: the log keeps the segments that hold them.
	Keep func() (from uint64)
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
	dir  string
	o    Options
	lock *os.File

	mu      sync.Mutex
	wake    chan struct{}
	next    uint64 // number of the next record
	buf     []byte // appended, not yet taken by the writer
	bufEnd  uint64
	spare   []byte
	segs    []segment // the last one is being written, if file is open
	snaps   []snap
	size    int64 // of all files
	failure error // while the log does not work
	closed  bool
	durable uint64
	changed chan struct{} // closed and made anew when durable, failure or closed change

	// The writer's own.
	file     File
	cur      segment
	held     []byte // written since the last sync, to be written anew where a sync or write fails
	heldFrom uint64
	heldEnd  uint64
	dirty    bool
	done     chan struct{}
	snapping sync.Mutex
	soon     atomic.Bool
	wg       sync.WaitGroup
}

func (o Options) filled() Options {
	if o.Every <= 0 {
		o.Every = 100 * time.Millisecond
	}
	if o.Segment <= 0 {
		o.Segment = 16 << 20
	}
	if o.Pending <= 0 {
		o.Pending = 8 << 20
	}
	if o.Retry <= 0 {
		o.Retry = 500 * time.Millisecond
	}
	if o.FS == nil {
		o.FS = Disk{}
	}
	if o.Durable == nil {
		o.Durable = func(uint64) {}
	}
	if o.Failed == nil {
		o.Failed = func(error) {}
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
	o = o.filled()
	lock, err := Lock(dir)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{dir: dir, o: o, lock: lock, wake: make(chan struct{}, 1), done: make(chan struct{}), changed: make(chan struct{})}
	rec, err := l.recover(begin, take)
	if err != nil {
		lock.Close()
		return nil, nil, fmt.Errorf("%s: %w", dir, err)
	}
	l.next, l.bufEnd, l.durable, l.heldFrom = rec.Last+1, rec.Last, rec.Last, rec.Last+1
	if err := l.begin(); err != nil {
		// Such as a disk that is full or read-only: the log is there, and tries again.
		l.fail(err)
	}
	go l.run()
	return l, rec, nil
}

func (l *Log) recover(begin func(*Recovery) error, take func(Record) error) (*Recovery, error) {
	rec := &Recovery{}
	segs, snaps, err := listing(l.o.FS, l.dir)
	if err != nil {
		return nil, err
	}
	for i := len(snaps) - 1; i >= 0 && rec.Snapshot == nil; i-- {
		no := snaps[i].no
		if rec.Snapshot, err = readSnapshot(l.o.FS, l.dir, no); err != nil {
			rec.Snapshots = append(rec.Snapshots, fmt.Sprintf("%s: %v", snapshotName(no), err))
			continue
		}
		rec.Covered, rec.Last = no, no
		if rec.Snapshot == nil {
			rec.Snapshot = []byte{}
		}
		break
	}
	for _, s := range snaps {
		if s.no <= rec.Covered {
			l.snaps = append(l.snaps, s)
			l.size += s.size
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
		if s.first <= rec.Covered+1 {
			from = i
		}
	}
	for i, s := range segs {
		l.size += s.size
		if i < from {
			continue
		}
		if err := l.readSegment(s, rec, take); err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	l.segs = segs
	return rec, nil
}

func (l *Log) readSegment(s segment, rec *Recovery, take func(Record) error) error {
	f, err := l.o.FS.Open(filepath.Join(l.dir, s.name))
	if err != nil {
		return err
	}
	defer f.Close()
	rec.Skipped += rec.Torn // what seemed the end was not
	torn, skipped, err := scan(f, func(r Record, from, _ int64) error {
		if r.No <= rec.Last {
			return nil // covered, or read before
		}
		// Without a snapshot the first record of all may have any number: older segments were let go.
		if r.No > rec.Last+1 && (rec.Last > 0 || rec.Records > 0) {
			rec.Holes = append(rec.Holes, Hole{rec.Last + 1, r.No - 1, s.name, from})
		}
		if rec.First == 0 {
			rec.First = r.No
		}
		rec.Last = r.No
		rec.Records++
		if take == nil {
			return nil
		}
		return take(r)
	})
	rec.Torn = torn
	rec.Skipped += skipped
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
	n := int64(len(payload) + recordHead)
	if l.o.Bound > 0 && l.size+int64(len(l.buf))+n > l.o.Bound {
		return 0, ErrFull
	}
	if len(l.buf)+int(n) > l.o.Pending {
		return 0, ErrBusy
	}
	no := l.next
	l.next++
	l.buf = appendRecord(l.buf, no, payload)
	l.bufEnd = no
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return no, nil
}

// Next is the number that the next record gets.
func (l *Log) Next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

// DurableTo is the last record that is durable.
func (l *Log) DurableTo() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durable
}

// Size is how many bytes the files take.
func (l *Log) Size() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.size
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
			wait = l.o.Retry
		} else if l.dirty {
			wait = l.o.Every
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
			l.revive()
		case !failed:
			l.commit(timer)
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
func (l *Log) commit(timer bool) {
	l.mu.Lock()
	b, end := l.buf, l.bufEnd
	l.buf = l.spare[:0]
	l.mu.Unlock()
	l.spare = b
	if len(b) > 0 {
		l.held = append(l.held, b...)
		l.heldEnd = end
		if err := l.write(b); err != nil {
			l.fail(err)
			return
		}
		l.dirty = true
	}
	must := l.dirty && (l.o.Mode == Each || l.o.Mode == Interval && timer || l.cur.size >= l.o.Segment || len(l.held) > l.o.Pending)
	if !l.flush(must) {
		return
	}
	if l.cur.size >= l.o.Segment {
		if err := l.begin(); err != nil {
			l.fail(err)
		}
	}
}

// flush syncs, if it must, and tells what became durable. What is not synced is held, within a bound, to be written
// anew if the next sync fails: after a failed one the system may have dropped what it was to write.
func (l *Log) flush(must bool) bool {
	if must && l.dirty {
		if err := l.file.Sync(); err != nil {
			l.fail(err)
			return false
		}
		l.dirty = false
	}
	if !l.dirty {
		l.held, l.heldFrom = l.held[:0], l.heldEnd+1
	} else if l.o.Mode == None && len(l.held) > l.o.Pending/2 {
		l.held, l.heldFrom = l.held[:0], l.heldEnd+1 // not promised to outlive the machine
	}
	if !l.dirty || l.o.Mode != Each {
		l.tell(l.heldEnd)
	}
	return true
}

func (l *Log) tell(no uint64) {
	l.mu.Lock()
	news := no > l.durable
	if l.durable = max(l.durable, no); news {
		l.change()
	}
	l.mu.Unlock()
	if news {
		l.o.Durable(no)
	}
}

// change wakes whoever waits for what is durable; mu is held.
func (l *Log) change() {
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
	l.cur.size += int64(n)
	l.mu.Lock()
	l.size += int64(n)
	l.segs[len(l.segs)-1].size = l.cur.size
	l.mu.Unlock()
	return nil
}

// begin closes the segment under way and starts one for the next record to be written, with what is held in it: after
// a failure that is all that was not synced. It has its name only once it is whole: a segment of the same name may hold
// records that the system has and a sync did not reach, and a kill in between must leave one or the other.
func (l *Log) begin() error {
	if l.file != nil {
		if l.dirty {
			if err := l.file.Sync(); err != nil {
				return err
			}
			l.dirty = false
		}
		l.file.Close()
		l.file = nil
	}
	first := l.heldFrom
	name := segmentName(first)
	path := filepath.Join(l.dir, name)
	f, b, err := l.replace(path, append(appendSegmentHead(nil, first), l.held...))
	if err != nil {
		return err
	}
	l.file, l.cur = f, segment{name, first, int64(b)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.segs); n > 0 && l.segs[n-1].name == name {
		l.size -= l.segs[n-1].size
		l.segs = l.segs[:n-1]
	}
	l.segs = append(l.segs, l.cur)
	l.size += l.cur.size
	return nil
}

// replace writes a whole file under another name, syncs it and gives it its name. The file stays open.
func (l *Log) replace(path string, b []byte) (File, int, error) {
	tmp := path + ".new"
	l.o.FS.Remove(tmp) // of a crash
	f, err := l.o.FS.Create(tmp)
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
		err = l.o.FS.Rename(tmp, path)
	}
	if err == nil {
		err = l.o.FS.SyncDir(l.dir)
	}
	if err != nil {
		f.Close()
		l.o.FS.Remove(tmp)
		return nil, 0, err
	}
	return f, n, nil
}

// fail ends work on the file under way. Nothing that is not durable yet is told to be, until revive has written it
// to a new segment.
func (l *Log) fail(err error) {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
	l.dirty = false
	l.mu.Lock()
	first := l.failure == nil
	l.failure = err
	l.change()
	l.mu.Unlock()
	if first {
		l.o.Failed(err)
	}
}

// revive tries a new segment with all that is held.
func (l *Log) revive() {
	if err := l.begin(); err != nil {
		l.fail(err)
		return
	}
	l.dirty = false
	l.mu.Lock()
	l.failure = nil
	l.change()
	l.mu.Unlock()
	l.flush(false)
	l.o.Failed(nil)
	l.commit(true)
}

// Sync waits until all that was appended is durable, as the mode has it.
func (l *Log) Sync(within time.Duration) error { return l.await(l.Next()-1, within) }

// await waits until a record is durable. A log that fails, or that was closed before, is an error.
func (l *Log) await(no uint64, within time.Duration) error {
	alarm := time.NewTimer(within)
	defer alarm.Stop()
	for {
		l.mu.Lock()
		durable, failure, changed := l.durable, l.failure, l.changed
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
			if l.DurableTo() < no {
				return ErrClosed
			}
		case <-alarm.C:
			return fmt.Errorf("wal: record %d is not durable within %v", no, within)
		}
	}
}

// snapshotWait is how long a snapshot waits for the records that it covers.
const snapshotWait = 10 * time.Second

// Snapshot keeps the owner's state as of a record, so that a recovery begins there, and lets go of segments that
// neither it, nor the snapshot before it, nor Options.Keep needs: the former snapshot stays whole, as the new one
// may turn out damaged. It waits for the record to be durable: a state that is ahead of the log would say that
// what a crash then takes from the log had been done with.
func (l *Log) Snapshot(no uint64, state []byte) error {
	l.snapping.Lock()
	defer l.snapping.Unlock()
	if err := l.await(no, snapshotWait); err != nil {
		return fmt.Errorf("wal: snapshot of record %d: %w", no, err)
	}
	b := snapshotBytes(no, state)
	f, n, err := l.replace(filepath.Join(l.dir, snapshotName(no)), b)
	if err == nil {
		err = f.Close()
	}
	if err != nil {
		return fmt.Errorf("wal: snapshot of record %d: %w", no, err)
	}
	l.mu.Lock()
	before := uint64(0)
	if n := len(l.snaps); n > 0 {
		before = l.snaps[n-1].no
	}
	if before != no {
		l.snaps = append(l.snaps, snap{no, int64(n)})
		l.size += int64(n)
	}
	l.mu.Unlock()
	return l.trim(before)
}

// SnapshotSoon does what Snapshot does in a goroutine of its own, after which then is called; false: one is under way.
// Close waits for it.
func (l *Log) SnapshotSoon(no uint64, state []byte, then func(error)) bool {
	if !l.soon.CompareAndSwap(false, true) {
		return false
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		err := l.Snapshot(no, state)
		l.soon.Store(false)
		then(err)
	}()
	return true
}

// trim lets go of what is covered by the snapshot of that number.
func (l *Log) trim(covered uint64) error {
	keep := covered + 1
	if l.o.Keep != nil {
		keep = min(keep, l.o.Keep())
	}
	l.mu.Lock()
	var drop []segment
	for len(l.segs) > 1 && l.segs[1].first <= keep {
		drop = append(drop, l.segs[0])
		l.segs = l.segs[1:]
	}
	var old []snap
	for len(l.snaps) > 2 {
		old = append(old, l.snaps[0])
		l.snaps = l.snaps[1:]
	}
	l.mu.Unlock()
	var first error
	gone := int64(0)
	for _, s := range drop {
		if err := l.o.FS.Remove(filepath.Join(l.dir, s.name)); err != nil && first == nil {
			first = err
			continue
		}
		gone += s.size
	}
	for _, o := range old {
		l.o.FS.Remove(filepath.Join(l.dir, snapshotName(o.no)))
		gone += o.size
	}
	l.mu.Lock()
	l.size -= gone
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
	l.wg.Wait()
	l.lock.Close()
	return l.Err()
}

// Cursor reads records that are durable, in order, while the log goes on.
type Cursor struct {
	l    *Log
	next uint64
	f    io.ReadSeekCloser
	seg  segment
	buf  []byte
	at   int
	end  bool       // all that the file had is in buf
	Lost func(Hole) // is told of records that are missing
}

// Read returns a cursor that stands before the record of that number.
func (l *Log) Read(from uint64) *Cursor { return &Cursor{l: l, next: max(from, 1)} }

// Next returns the next record that is durable; ok is false where there is none yet. The payload is good until the
// next call.
func (c *Cursor) Next() (r Record, ok bool, err error) {
	c.l.mu.Lock()
	last := c.l.durable
	c.l.mu.Unlock()
	for c.next <= last {
		if c.f == nil {
			if err := c.open(); err != nil {
				return r, false, err
			}
			if c.f == nil {
				return r, false, nil
			}
		}
		r, size, more, ok := parseRecord(c.buf[c.at:])
		switch {
		case ok:
			c.at += size
			if r.No < c.next {
				continue
			}
			if r.No > last {
				c.at -= size
				return r, false, nil
			}
			if r.No > c.next && c.Lost != nil {
				c.Lost(Hole{c.next, r.No - 1, c.seg.name, 0})
			}
			c.next = r.No + 1
			return r, true, nil
		case more && !c.end:
			n, err := c.fill()
			if err != nil {
				return r, false, err
			}
			c.end = n == 0
		case c.at < len(c.buf):
			c.at++ // the record is durable, so what stands here is damage: see scan
		default:
			if !c.step() {
				return r, false, nil
			}
		}
	}
	return r, false, nil
}

// open opens the segment that should hold the next record.
func (c *Cursor) open() error {
	c.l.mu.Lock()
	var found *segment
	for i := range c.l.segs {
		if s := c.l.segs[i]; s.first <= c.next || found == nil {
			found = &s
		}
	}
	c.l.mu.Unlock()
	if found == nil {
		return nil
	}
	return c.use(*found)
}

func (c *Cursor) use(s segment) error {
	f, err := c.l.o.FS.Open(filepath.Join(c.l.dir, s.name))
	if err != nil {
		return err
	}
	c.Close()
	c.f, c.seg, c.buf, c.at, c.end = f, s, c.buf[:0], 0, false
	if _, err := c.fill(); err != nil {
		return err
	}
	if segmentHeadOK(c.buf) {
		c.at = segmentHead
	}
	return nil
}

// fill reads on in the segment.
func (c *Cursor) fill() (int, error) {
	const chunk = 128 << 10
	c.buf = append(c.buf[:0], c.buf[c.at:]...)
	c.at = 0
	if cap(c.buf)-len(c.buf) < chunk {
		b := make([]byte, len(c.buf), 2*len(c.buf)+chunk)
		copy(b, c.buf)
		c.buf = b
	}
	n, err := c.f.Read(c.buf[len(c.buf) : len(c.buf)+chunk])
	c.buf = c.buf[:len(c.buf)+n]
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}

// step goes to the segment behind, if there is one. The end of the one under way is only an end where another one
// was begun.
func (c *Cursor) step() bool {
	c.l.mu.Lock()
	var next *segment
	for i := range c.l.segs {
		if s := c.l.segs[i]; s.first > c.seg.first {
			next = &s
			break
		}
	}
	c.l.mu.Unlock()
	if next == nil {
		n, err := c.fill() // the one under way grows
		c.end = false
		return err == nil && n > 0
	}
	// What was written between the last read and the new segment's begin is read first.
	if n, err := c.fill(); err != nil || n > 0 {
		c.end = false
		return err == nil
	}
	return c.use(*next) == nil
}

// Close lets go of the file.
func (c *Cursor) Close() {
	if c.f != nil {
		c.f.Close()
		c.f = nil
	}
}
