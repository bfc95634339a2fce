package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// openLog opens a log, to be closed with the test, and returns the payloads that it recovered.
func openLog(t testing.TB, dir string, o Options) (*Log, *Recovery, []string) {
	t.Helper()
	var got []string
	l, rec, err := Open(dir, o, nil, func(r Record) error { got = append(got, string(r.Payload)); return nil })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, rec, got
}

// readRest reads a cursor to the end of what is durable.
func readRest(t testing.TB, c *Cursor) (records []Record) {
	t.Helper()
	for {
		r, ok, err := c.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return records
		}
		r.Payload = slices.Clone(r.Payload)
		records = append(records, r)
	}
}

// appendRecords appends "record N" for each number and waits until all are durable.
func appendRecords(t testing.TB, l *Log, from, to int) {
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

// TestReopen recovers what each mode wrote, and has a cursor read it and what is appended behind it.
func TestReopen(t *testing.T) {
	for _, m := range []SyncMode{SyncAlways, SyncInterval, SyncNever} {
		dir := t.TempDir()
		l, rec, _ := openLog(t, dir, Options{Mode: m, SegmentBytes: 300})
		if rec.LastRecord != 0 {
			t.Errorf("%+v", rec)
		}
		appendRecords(t, l, 1, 50)
		if _, _, err := Open(dir, Options{}, nil, nil); !errors.Is(err, ErrLocked) {
			t.Errorf("%v, want ErrLocked", err)
		}
		l.Close()
		l, rec, got := openLog(t, dir, Options{Mode: m})
		if rec.LastRecord != 50 || len(got) != 50 || got[49] != "record 50" || rec.Gaps != nil || rec.TornBytes != 0 {
			t.Errorf("%v: %+v %d", m, rec, len(got))
		}
		appendRecords(t, l, 51, 60)
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
		appendRecords(t, l, 61, 61)
		if r, ok, _ := c.Next(); !ok || r.Number != 61 {
			t.Error("the cursor does not go on")
		}
	}
}

// A crash of the machine leaves the last write cut at any byte, or with zeroes behind it. TestEveryByte leaves each of
// these: the record is lost, those before are recovered, and what is appended next is read.
func TestEveryByte(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := openLog(t, dir, Options{})
	appendRecords(t, l, 1, 3)
	l.Close()
	file := filepath.Join(dir, segmentName(1))
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	last := len(appendRecord(nil, 3, []byte("record 3")))
	for cut := len(content) - last; cut < len(content); cut++ {
		for _, zero := range []bool{false, true} {
			dir := t.TempDir()
			b := slices.Clone(content[:cut])
			if zero {
				b = append(b, make([]byte, len(content)-cut+100)...)
			}
			os.WriteFile(filepath.Join(dir, segmentName(1)), b, 0o600)
			l, rec, got := openLog(t, dir, Options{})
			if len(got) != 2 || rec.LastRecord != 2 || rec.Gaps != nil || rec.TornBytes != int64(len(b)-(len(content)-last)) {
				t.Fatalf("cut at %d, zeroed %t: %+v %v", cut, zero, rec, got)
			}
			appendRecords(t, l, 30, 30)
			l.Close()
			if _, rec, got := openLog(t, dir, Options{}); len(got) != 3 || got[2] != "record 30" || rec.Gaps != nil {
				t.Fatalf("cut at %d, zeroed %t: then %+v %v", cut, zero, rec, got)
			}
		}
	}
}

// A disk damages a bit. TestFlip flips one in each byte of a segment: only the record that has it is lost, and a gap is
// reported.
func TestFlip(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := openLog(t, dir, Options{})
	appendRecords(t, l, 1, 5)
	l.Close()
	file := filepath.Join(dir, segmentName(1))
	content, _ := os.ReadFile(file)
	size := len(appendRecord(nil, 1, []byte("record 1")))
	for at := segmentHeaderBytes; at < len(content); at++ {
		dir := t.TempDir()
		b := slices.Clone(content)
		b[at] ^= 1 << (at % 8)
		os.WriteFile(filepath.Join(dir, segmentName(1)), b, 0o600)
		hit := (at-segmentHeaderBytes)/size + 1
		l, rec, got := openLog(t, dir, Options{})
		if len(got) != 4 || slices.Contains(got, fmt.Sprintf("record %d", hit)) {
			t.Fatalf("bit at %d: %v", at, got)
		}
		// The first of all is not known to be missing, nor the last: that is a torn tail.
		if hit > 1 && hit < 5 && (len(rec.Gaps) != 1 || rec.Gaps[0].From != uint64(hit) || rec.Gaps[0].To != uint64(hit)) {
			t.Fatalf("bit at %d: %+v", at, rec)
		}
		if rec.TornBytes+rec.SkippedBytes < int64(size) {
			t.Fatalf("bit at %d: %+v does not report it", at, rec)
		}
		if n := len(readRest(t, l.NewCursor(1))); n != 4 {
			t.Fatalf("bit at %d: the cursor reads %d", at, n)
		}
	}
}

// The disk fills up, or a sync fails, and the system may drop what it had not written. TestFailures expects that
// nothing is acknowledged meanwhile, and that all records are durable, once each, when the log works again.
func TestFailures(t *testing.T) {
	for name, fault := range map[string]func(d *faultDisk, on bool){
		"full": func(d *faultDisk, on bool) { d.spaceLeft = map[bool]int{true: 30, false: -1}[on] },
		"sync": func(d *faultDisk, on bool) { d.failSync = on },
	} {
		t.Run(name, func(t *testing.T) {
			d := newFaultDisk()
			fails := make(chan error, 100)
			l, _, _ := openLog(t, t.TempDir(), Options{FS: d, RetryInterval: 2 * time.Millisecond,
				OnFailure: func(err error) { fails <- err }})
			appendRecords(t, l, 1, 3)
			d.mu.Lock()
			fault(d, true)
			d.mu.Unlock()
			for i := 4; i <= 6; i++ {
				l.Append([]byte(fmt.Sprintf("record %d", i)))
			}
			if err := <-fails; err == nil {
				t.Fatal("no failure is reported")
			}
			if l.LastDurable() > 4 || l.err() == nil {
				t.Fatalf("record %d counts as durable", l.LastDurable())
			}
			d.mu.Lock()
			fault(d, false)
			d.mu.Unlock()
			if err := <-fails; err != nil {
				t.Fatal(err)
			}
			appendRecords(t, l, 7, 8)
			l.Close()
			_, rec, got := openLog(t, l.dir, Options{FS: d.crash(0)})
			var want []string
			for i := 1; i <= 8; i++ {
				want = append(want, fmt.Sprintf("record %d", i))
			}
			if !slices.Equal(got, want) || rec.Gaps != nil {
				t.Errorf("%v %+v", got, rec)
			}
		})
	}
}

// A snapshot that covers records which a crash takes from the log would have the next ones, under the same numbers,
// count as covered. TestSnapshotNotAhead expects that such a snapshot fails.
func TestSnapshotNotAhead(t *testing.T) {
	d := newFaultDisk()
	l, _, _ := openLog(t, t.TempDir(), Options{FS: d, RetryInterval: time.Hour})
	appendRecords(t, l, 1, 2)
	d.mu.Lock()
	d.failSync = true
	d.mu.Unlock()
	l.Append([]byte("record 3"))
	if err := l.Snapshot(3, []byte("three")); err == nil {
		t.Error("a snapshot covers a record that is not durable")
	}
	d.mu.Lock()
	d.failSync = false
	d.mu.Unlock()
	if err := l.Snapshot(2, []byte("two")); err != nil {
		t.Error(err)
	}
}

// In the mode SyncInterval records are acknowledged when the system has them. Then a sync fails, and the process is
// killed while the log writes them to a new segment of the same name. TestKilledWhileResuming kills it at each
// operation: what was acknowledged must be recovered.
func TestKilledWhileResuming(t *testing.T) {
	for step := 1; step <= 8; step++ {
		d := newFaultDisk()
		dir := t.TempDir()
		l, _, _ := openLog(t, dir, Options{FS: d, Mode: SyncInterval, SyncInterval: time.Millisecond,
			RetryInterval: time.Millisecond})
		d.mu.Lock()
		d.failSync = true
		d.mu.Unlock()
		l.Append([]byte("record 1"))
		for until := time.Now().Add(10 * time.Second); l.err() == nil && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		acknowledged := l.LastDurable()
		d.mu.Lock()
		d.failSync, d.operationsLeft = false, step
		d.mu.Unlock()
		l.Close()
		d.mu.Lock()
		d.operationsLeft = -1 // the next process
		d.mu.Unlock()
		if _, rec, _ := openLog(t, dir, Options{FS: d}); rec.LastRecord < acknowledged || acknowledged == 0 {
			t.Errorf("killed at step %d: %+v, record %d was acknowledged", step, rec, acknowledged)
		}
	}
}

// TestBounds reaches Options.MaxBytes, which snapshots make room under again, and MaxRecord.
func TestBounds(t *testing.T) {
	l, _, _ := openLog(t, t.TempDir(), Options{MaxBytes: 400, SegmentBytes: 100})
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
	for range 2 { // the second removes what only the first still needed
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

// A snapshot may be damaged, or a crash may cut one. TestSnapshot flips a bit in each byte of the newest one: recovery
// begins at the one before, from which all segments are still there.
func TestSnapshot(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := openLog(t, dir, Options{SegmentBytes: 64})
	appendRecords(t, l, 1, 10)
	l.Snapshot(10, []byte("ten"))
	appendRecords(t, l, 11, 20)
	l.Snapshot(20, []byte("twenty"))
	appendRecords(t, l, 21, 25)
	l.Close()
	if _, err := os.Stat(filepath.Join(dir, segmentName(1))); err == nil {
		t.Error("the first segment is kept")
	}
	l, rec, got := openLog(t, dir, Options{})
	if string(rec.Snapshot) != "twenty" || rec.SnapshotRecord != 20 || len(got) != 5 || rec.LastRecord != 25 {
		t.Fatalf("%+v %v", rec, got)
	}
	l.Close()
	file := filepath.Join(dir, snapshotName(20))
	b, _ := os.ReadFile(file)
	for at := range b {
		bad := slices.Clone(b)
		bad[at] ^= 4
		os.WriteFile(file, bad, 0o600)
		l, rec, got := openLog(t, dir, Options{})
		if string(rec.Snapshot) != "ten" || len(got) != 15 || len(rec.DamagedSnapshots) != 1 || rec.Gaps != nil {
			t.Fatalf("bit at %d: %+v %v", at, rec, got)
		}
		l.Close()
	}
	os.WriteFile(filepath.Join(dir, snapshotName(30)+".new"), []byte("cut"), 0o600) // a crash in the middle of one
	if _, rec, _ := openLog(t, dir, Options{}); rec.LastRecord != 25 {
		t.Errorf("%+v", rec)
	}
}

// checkCrash writes, snapshots and crashes at random and reports whether an acknowledged record was lost or altered.
func checkCrash(t interface {
	Fatalf(string, ...any)
}, rt *rapid.T, dir string, noSync bool) (lost bool) {
	d := newFaultDisk()
	d.ignoreSync = noSync
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
		if len(rec.Gaps) > 0 || n != int(rec.LastRecord) || rec.LastRecord < uint64(next-1) {
			l.Close()
			return true
		}
		next = int(rec.LastRecord) + 1
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
		acknowledged := l.LastDurable()
		after := d.crash(rapid.IntRange(0, 60).Draw(rt, "tail"))
		l.Close()
		d, next = after, int(acknowledged)+1
		d.ignoreSync = noSync
	}
	return false
}

// TestCrash expects that whatever was acknowledged is recovered after any crash, and that a disk which ignores syncs is
// found.
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

// TestConcurrent appends from several goroutines while a cursor reads and snapshots remove segments.
func TestConcurrent(t *testing.T) {
	var from uint64 = 1
	var mu sync.Mutex
	l, _, _ := openLog(t, t.TempDir(), Options{Mode: SyncInterval, SegmentBytes: 4 << 10, RetainFrom: func() uint64 {
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

// FuzzScan damages a segment: each byte counts once, as header, record, torn or skipped.
func FuzzScan(f *testing.F) {
	good := appendRecord(appendRecord(appendSegmentHeader(nil, 1), 1, []byte("a")), 2, []byte("bc"))
	f.Add(good, 30, byte(1))
	f.Fuzz(func(t *testing.T, b []byte, at int, x byte) {
		if at >= 0 && at < len(b) {
			b[at] ^= x
		}
		total := int64(0)
		torn, skipped, err := scanSegment(bytes.NewReader(b), func(_ Record, from, to int64) error {
			total += to - from
			return nil
		})
		if head := int64(len(b)) - total - torn - skipped; err != nil || head != 0 && head != segmentHeaderBytes {
			t.Errorf("%d bytes: %d in records, %d torn, %d skipped, %v", len(b), total, torn, skipped, err)
		}
	})
}

// BenchmarkAppend measures the modes.
func BenchmarkAppend(b *testing.B) {
	for _, m := range []SyncMode{SyncAlways, SyncInterval, SyncNever} {
		b.Run(m.String(), func(b *testing.B) {
			l, _, _ := openLog(b, b.TempDir(), Options{Mode: m})
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
