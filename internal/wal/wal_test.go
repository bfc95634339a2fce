package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// disk is a file system in memory that forgets what was not synced when it crashes, and fails as told.
type disk struct {
	mu      sync.Mutex
	files   map[string]*content
	names   map[string]*content // that a crash leaves
	full    int                 // bytes left; -1: no bound
	badSync bool
	steps   int  // operations until the process is gone; -1: it is not
	noSync  bool // planted fault: a sync that does nothing and says nothing
	syncs   int
}

type content struct {
	data   []byte
	synced int
}

func newDisk() *disk {
	return &disk{files: map[string]*content{}, names: map[string]*content{}, full: -1, steps: -1}
}

// gone counts an operation, and reports whether the process has gone before it; mu is held.
func (d *disk) gone() bool {
	if d.steps > 0 {
		d.steps--
		return false
	}
	return d.steps == 0
}

type handle struct {
	d *disk
	c *content
}

func (d *disk) Create(name string) (File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] != nil {
		return nil, os.ErrExist
	}
	if d.full == 0 || d.gone() {
		return nil, syscall.ENOSPC
	}
	c := &content{}
	d.files[name] = c
	return &handle{d, c}, nil
}

func (h *handle) Write(b []byte) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.gone() {
		return 0, syscall.EIO
	}
	n := len(b)
	var err error
	if h.d.full >= 0 && n > h.d.full {
		n, err = h.d.full, syscall.ENOSPC // a short write
	}
	if h.d.full >= 0 {
		h.d.full -= n
	}
	h.c.data = append(h.c.data, b[:n]...)
	return n, err
}

func (h *handle) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	h.d.syncs++
	if h.d.badSync || h.d.gone() {
		return syscall.EIO
	}
	if !h.d.noSync {
		h.c.synced = len(h.c.data)
	}
	return nil
}

func (h *handle) Close() error { return nil }

type reader struct{ *bytes.Reader }

func (reader) Close() error { return nil }

func (d *disk) Open(name string) (io.ReadSeekCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.files[name]
	if c == nil {
		return nil, os.ErrNotExist
	}
	return reader{bytes.NewReader(slices.Clone(c.data))}, nil
}

func (d *disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.gone() {
		return syscall.EIO
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return os.ErrNotExist
	}
	if d.gone() {
		return syscall.EIO
	}
	delete(d.files, name)
	return nil
}

func (d *disk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.gone() {
		return syscall.EIO
	}
	clear(d.names)
	for k, v := range d.files {
		d.names[k] = v
	}
	return nil
}

type entry struct {
	name string
	size int64
}

func (e entry) Name() string               { return e.name }
func (e entry) IsDir() bool                { return false }
func (e entry) Type() os.FileMode          { return 0 }
func (e entry) Info() (os.FileInfo, error) { return e, nil }
func (e entry) Size() int64                { return e.size }
func (e entry) Mode() os.FileMode          { return 0 }
func (e entry) ModTime() time.Time         { return time.Time{} }
func (e entry) Sys() any                   { return nil }

func (d *disk) List(string) (out []os.DirEntry, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, v := range d.files {
		out = append(out, entry{filepath.Base(k), int64(len(v.data))})
	}
	return out, nil
}

// crash is what the machine's end leaves: synced bytes of synced names, and tail bytes more of each file.
func (d *disk) crash(tail int) *disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := newDisk()
	for k, c := range d.names {
		n := min(len(c.data), c.synced+tail)
		v := &content{slices.Clone(c.data[:n]), n}
		out.files[k], out.names[k] = v, v
	}
	return out
}

func open(t testing.TB, dir string, o Options) (*Log, *Recovery, []string) {
	t.Helper()
	var got []string
	l, rec, err := Open(dir, o, nil, func(r Record) error { got = append(got, string(r.Payload)); return nil })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, rec, got
}

func write(t testing.TB, l *Log, from, to int) {
	t.Helper()
	for i := from; i <= to; i++ {
		if _, err := l.Append([]byte(fmt.Sprintf("record %d", i))); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Sync(20 * time.Second); err != nil {
		t.Fatal(err)
	}
}

func TestReopen(t *testing.T) {
	for _, m := range []SyncMode{SyncAlways, SyncInterval, SyncNever} {
		dir := t.TempDir()
		l, rec, _ := open(t, dir, Options{Mode: m, SegmentBytes: 300})
		if rec.Last != 0 {
			t.Errorf("%+v", rec)
		}
		write(t, l, 1, 50)
		if _, _, err := Open(dir, Options{}, nil, nil); !errors.Is(err, ErrLocked) {
			t.Errorf("%v, want ErrLocked", err)
		}
		l.Close()
		l, rec, got := open(t, dir, Options{Mode: m})
		if rec.Last != 50 || len(got) != 50 || got[49] != "record 50" || rec.Gaps != nil || rec.TornBytes != 0 {
			t.Errorf("%v: %+v %d", m, rec, len(got))
		}
		write(t, l, 51, 60)
		c := l.NewCursor(1)
		for i := 1; i <= 60; i++ {
			r, ok, err := c.Next()
			if !ok || err != nil || r.Number != uint64(i) || string(r.Payload) != fmt.Sprintf("record %d", i) {
				t.Fatalf("%d: %v %v %v", i, r, ok, err)
			}
		}
		if _, ok, _ := c.Next(); ok {
			t.Error("a record that is none")
		}
		write(t, l, 61, 61)
		if r, ok, _ := c.Next(); !ok || r.Number != 61 {
			t.Error("the cursor does not go on")
		}
	}
}

// TestEveryByte cuts the log at each byte of its last record, and zeroes it from there: the record is gone, those
// before are whole, and what is written next is read.
func TestEveryByte(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := open(t, dir, Options{})
	write(t, l, 1, 3)
	l.Close()
	file := filepath.Join(dir, segmentName(1))
	whole, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	last := len(appendRecord(nil, 3, []byte("record 3")))
	for cut := len(whole) - last; cut < len(whole); cut++ {
		for _, zero := range []bool{false, true} {
			dir := t.TempDir()
			b := slices.Clone(whole[:cut])
			if zero {
				b = append(b, make([]byte, len(whole)-cut+100)...)
			}
			os.WriteFile(filepath.Join(dir, segmentName(1)), b, 0o600)
			l, rec, got := open(t, dir, Options{})
			if len(got) != 2 || rec.Last != 2 || rec.Gaps != nil || rec.TornBytes != int64(len(b)-(len(whole)-last)) {
				t.Fatalf("cut at %d, zeroed %t: %+v %v", cut, zero, rec, got)
			}
			write(t, l, 30, 30)
			l.Close()
			if _, rec, got := open(t, dir, Options{}); len(got) != 3 || got[2] != "record 30" || rec.Gaps != nil {
				t.Fatalf("cut at %d, zeroed %t: then %+v %v", cut, zero, rec, got)
			}
		}
	}
}

// TestFlip turns a bit at every place of a segment: the records beside it are kept, what is missing is said.
func TestFlip(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := open(t, dir, Options{})
	write(t, l, 1, 5)
	l.Close()
	file := filepath.Join(dir, segmentName(1))
	whole, _ := os.ReadFile(file)
	size := len(appendRecord(nil, 1, []byte("record 1")))
	for at := segmentHeaderBytes; at < len(whole); at++ {
		dir := t.TempDir()
		b := slices.Clone(whole)
		b[at] ^= 1 << (at % 8)
		os.WriteFile(filepath.Join(dir, segmentName(1)), b, 0o600)
		hit := (at-segmentHeaderBytes)/size + 1
		l, rec, got := open(t, dir, Options{})
		if len(got) != 4 || slices.Contains(got, fmt.Sprintf("record %d", hit)) {
			t.Fatalf("bit at %d: %v", at, got)
		}
		// The first of all is not known to be missing, nor the last: that is a torn tail.
		if hit > 1 && hit < 5 && (len(rec.Gaps) != 1 || rec.Gaps[0].From != uint64(hit) || rec.Gaps[0].To != uint64(hit)) {
			t.Fatalf("bit at %d: %+v", at, rec)
		}
		if rec.TornBytes+rec.SkippedBytes < int64(size) {
			t.Fatalf("bit at %d: %+v does not say it", at, rec)
		}
		c, n := l.NewCursor(1), 0
		for {
			_, ok, err := c.Next()
			if err != nil {
				t.Fatal(err)
			}
			if !ok {
				break
			}
			n++
		}
		if n != 4 {
			t.Fatalf("bit at %d: the cursor reads %d", at, n)
		}
	}
}

// TestFailures lets the disk fill, syncs fail and the directory be gone: nothing is acknowledged meanwhile, and what
// waited is durable when the log works again, once.
func TestFailures(t *testing.T) {
	for name, fault := range map[string]func(d *disk, on bool){
		"full": func(d *disk, on bool) { d.full = map[bool]int{true: 30, false: -1}[on] },
		"sync": func(d *disk, on bool) { d.badSync = on },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDisk()
			fails := make(chan error, 100)
			l, _, _ := open(t, t.TempDir(), Options{FS: d, RetryInterval: 2 * time.Millisecond, OnFailure: func(err error) { fails <- err }})
			write(t, l, 1, 3)
			d.mu.Lock()
			fault(d, true)
			d.mu.Unlock()
			for i := 4; i <= 6; i++ {
				l.Append([]byte(fmt.Sprintf("record %d", i)))
			}
			if err := <-fails; err == nil {
				t.Fatal("no failure is told")
			}
			if l.LastDurable() > 4 || l.Err() == nil {
				t.Fatalf("record %d counts as durable", l.LastDurable())
			}
			d.mu.Lock()
			fault(d, false)
			d.mu.Unlock()
			if err := <-fails; err != nil {
				t.Fatal(err)
			}
			write(t, l, 7, 8)
			l.Close()
			_, rec, got := open(t, l.Dir(), Options{FS: d.crash(0)})
			if strings.Join(got, " ") != "record 1 record 2 record 3 record 4 record 5 record 6 record 7 record 8" || rec.Gaps != nil {
				t.Errorf("%v %+v", got, rec)
			}
		})
	}
}

// TestSnapshotNotAhead refuses a snapshot of what is not durable: a crash would leave it ahead of its log.
func TestSnapshotNotAhead(t *testing.T) {
	d := newDisk()
	l, _, _ := open(t, t.TempDir(), Options{FS: d, RetryInterval: time.Hour})
	write(t, l, 1, 2)
	d.mu.Lock()
	d.badSync = true
	d.mu.Unlock()
	l.Append([]byte("record 3"))
	if err := l.Snapshot(3, []byte("three")); err == nil {
		t.Error("a snapshot covers a record that is not durable")
	}
	d.mu.Lock()
	d.badSync = false
	d.mu.Unlock()
	if err := l.Snapshot(2, []byte("two")); err != nil {
		t.Error(err)
	}
}

// TestKilledWhileReviving has a sync fail in the mode that tells what the system has, and kills the process at each step of
// the new segment: what was told is there.
func TestKilledWhileReviving(t *testing.T) {
	for step := 1; step <= 8; step++ {
		d := newDisk()
		dir := t.TempDir()
		l, _, _ := open(t, dir, Options{FS: d, Mode: SyncInterval, SyncInterval: time.Millisecond, RetryInterval: time.Millisecond})
		d.mu.Lock()
		d.badSync = true
		d.mu.Unlock()
		l.Append([]byte("record 1"))
		for until := time.Now().Add(10 * time.Second); l.Err() == nil && time.Now().Before(until); time.Sleep(time.Millisecond) {
		}
		told := l.LastDurable()
		d.mu.Lock()
		d.badSync, d.steps = false, step
		d.mu.Unlock()
		l.Close()
		d.mu.Lock()
		d.steps = -1 // the next life
		d.mu.Unlock()
		if _, rec, _ := open(t, dir, Options{FS: d}); rec.Last < told || told == 0 {
			t.Errorf("killed at step %d: %+v, record %d was told", step, rec, told)
		}
	}
}

func TestBounds(t *testing.T) {
	l, _, _ := open(t, t.TempDir(), Options{MaxBytes: 400, SegmentBytes: 100})
	n := 0
	for ; n < 100; n++ {
		if _, err := l.Append(make([]byte, 30)); errors.Is(err, ErrFull) {
			break
		}
		l.Sync(10 * time.Second)
	}
	if n == 0 || n == 100 || l.Size() > 400 {
		t.Fatalf("%d records, %d bytes", n, l.Size())
	}
	for range 2 { // the second lets go of what only the first still needed
		if err := l.Snapshot(l.LastDurable(), []byte("state")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := l.Append(make([]byte, 30)); err != nil {
		t.Errorf("after the snapshots: %v", err)
	}
	if _, err := l.Append(make([]byte, MaxRecord+1)); err == nil {
		t.Error("a record over the bound is taken")
	}
}

// TestSnapshot recovers from the newest whole snapshot, also where that is not the newest.
func TestSnapshot(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := open(t, dir, Options{SegmentBytes: 64})
	write(t, l, 1, 10)
	l.Snapshot(10, []byte("ten"))
	write(t, l, 11, 20)
	l.Snapshot(20, []byte("twenty"))
	write(t, l, 21, 25)
	l.Close()
	if _, err := os.Stat(filepath.Join(dir, segmentName(1))); err == nil {
		t.Error("the first segment is kept")
	}
	l, rec, got := open(t, dir, Options{})
	if string(rec.Snapshot) != "twenty" || rec.SnapshotRecord != 20 || len(got) != 5 || rec.Last != 25 {
		t.Fatalf("%+v %v", rec, got)
	}
	l.Close()
	file := filepath.Join(dir, snapshotName(20))
	b, _ := os.ReadFile(file)
	for at := range b {
		bad := slices.Clone(b)
		bad[at] ^= 4
		os.WriteFile(file, bad, 0o600)
		l, rec, got := open(t, dir, Options{})
		if string(rec.Snapshot) != "ten" || len(got) != 15 || len(rec.DamagedSnapshots) != 1 || rec.Gaps != nil {
			t.Fatalf("bit at %d: %+v %v", at, rec, got)
		}
		l.Close()
	}
	os.WriteFile(filepath.Join(dir, snapshotName(30)+".new"), []byte("cut"), 0o600) // a crash in the middle of one
	if _, rec, _ := open(t, dir, Options{}); rec.Last != 25 {
		t.Errorf("%+v", rec)
	}
}

// checkCrash writes, snapshots and crashes at random and finds what was acknowledged and is lost, or comes otherwise.
func checkCrash(t interface {
	Fatalf(string, ...any)
}, rt *rapid.T, dir string, noSync bool) (lost bool) {
	d := newDisk()
	d.noSync = noSync
	next := 1
	for range rapid.IntRange(1, 5).Draw(rt, "lives") {
		n := 0
		l, rec, err := Open(dir, Options{FS: d, SegmentBytes: int64(rapid.IntRange(40, 400).Draw(rt, "segment"))},
			func(rec *Recovery) error {
				if rec.Snapshot != nil {
					n = int(binary.LittleEndian.Uint64(rec.Snapshot))
				}
				return nil
			}, func(r Record) error {
				if n++; string(r.Payload) != fmt.Sprint(r.Number) {
					t.Fatalf("record %d holds %q", r.Number, r.Payload)
				}
				return nil
			})
		if err != nil {
			t.Fatalf("%v", err)
		}
		if len(rec.Gaps) > 0 || n != int(rec.Last) || rec.Last < uint64(next-1) {
			l.Close()
			return true
		}
		next = int(rec.Last) + 1
		for range rapid.IntRange(0, 30).Draw(rt, "appends") {
			l.Append([]byte(fmt.Sprint(next)))
			next++
			if rapid.IntRange(0, 9).Draw(rt, "snapshot") == 0 {
				l.Sync(10 * time.Second)
				l.Snapshot(uint64(next-1), binary.LittleEndian.AppendUint64(nil, uint64(next-1)))
			}
		}
		if rapid.Bool().Draw(rt, "synced") {
			l.Sync(10 * time.Second)
		}
		// The crash comes while the writer may still be at work.
		acked := l.LastDurable()
		after := d.crash(rapid.IntRange(0, 60).Draw(rt, "tail"))
		l.Close()
		d, next = after, int(acked)+1
		d.noSync = noSync
	}
	return false
}

// TestCrash is a model check: whatever was acknowledged is there after any crash.
func TestCrash(t *testing.T) {
	dir := t.TempDir() // of the lock alone
	rapid.Check(t, func(rt *rapid.T) {
		if checkCrash(rt, rt, dir, false) {
			rt.Fatalf("an acknowledged record is lost")
		}
	})
	found := 0
	rapid.Check(t, func(rt *rapid.T) {
		if checkCrash(rt, rt, dir, true) {
			found++
		}
	})
	if found == 0 {
		t.Error("the check does not find a lost sync")
	}
}

// TestConcurrent appends from many goroutines while a cursor reads and snapshots trim.
func TestConcurrent(t *testing.T) {
	var from uint64 = 1
	var mu sync.Mutex
	l, _, _ := open(t, t.TempDir(), Options{Mode: SyncInterval, SegmentBytes: 4 << 10, RetainFrom: func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return from
	}})
	const writers, each = 4, 2000
	var wg sync.WaitGroup
	for range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range each {
				for {
					if _, err := l.Append(make([]byte, 40)); err == nil {
						break
					}
				}
			}
		}()
	}
	c := l.NewCursor(1)
	defer c.Close()
	c.OnGap = func(h Gap) { t.Error(h) }
	for n := 0; n < writers*each; {
		r, ok, err := c.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			time.Sleep(time.Millisecond)
			continue
		}
		if n++; r.Number != uint64(n) {
			t.Fatalf("record %d, want %d", r.Number, n)
		}
		if n%1000 == 0 {
			mu.Lock()
			from = uint64(n)
			mu.Unlock()
			l.Snapshot(uint64(n), nil)
		}
	}
	wg.Wait()
}

func FuzzScan(f *testing.F) {
	good := appendRecord(appendRecord(appendSegmentHeader(nil, 1), 1, []byte("a")), 2, []byte("bc"))
	f.Add(good, 30, byte(1))
	f.Fuzz(func(t *testing.T, b []byte, at int, x byte) {
		if at >= 0 && at < len(b) {
			b[at] ^= x
		}
		total := int64(0)
		torn, skipped, err := scanSegment(bytes.NewReader(b), func(r Record, from, to int64) error {
			total += to - from
			return nil
		})
		if head := int64(len(b)) - total - torn - skipped; err != nil || head != 0 && head != segmentHeaderBytes {
			t.Errorf("%d bytes: %d in records, %d torn, %d skipped, %v", len(b), total, torn, skipped, err)
		}
	})
}

// BenchmarkAppend tells what the modes cost.
func BenchmarkAppend(b *testing.B) {
	for _, m := range []SyncMode{SyncAlways, SyncInterval, SyncNever} {
		b.Run(m.String(), func(b *testing.B) {
			l, _, _ := open(b, b.TempDir(), Options{Mode: m})
			p := make([]byte, 120)
			b.SetBytes(int64(len(p)))
			for b.Loop() {
				for {
					if _, err := l.Append(p); err == nil {
						break
					}
					time.Sleep(100 * time.Microsecond)
				}
			}
			l.Sync(time.Minute)
		})
	}
}
