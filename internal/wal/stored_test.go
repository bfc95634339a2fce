package wal

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// storedPayload is the payload of a record of testdata/log.
func storedPayload(number uint64) []byte {
	switch number {
	case 3:
		return nil
	case 6:
		return bytes.Repeat([]byte("long"), 40)
	}
	return []byte(fmt.Sprintf("record %d", number))
}

// writeStored writes the log of testdata/log: segments of 100 bytes, one record in each write, two snapshots.
func writeStored(t *testing.T, dir string) {
	t.Helper()
	l, _, err := Open(dir, Options{SegmentBytes: 100}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	for number := uint64(1); number <= 13; number++ {
		if _, err := l.Append(storedPayload(number)); err != nil {
			t.Fatal(err)
		}
		if err := l.Sync(20 * time.Second); err != nil {
			t.Fatal(err)
		}
		if number == 5 || number == 9 {
			if err := l.Snapshot(number, []byte(fmt.Sprintf("state at %d", number))); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

// readDir reads the files of a log but its lock.
func readDir(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	files := map[string][]byte{}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if e.Name() == lockName {
			continue
		}
		if files[e.Name()], err = os.ReadFile(filepath.Join(dir, e.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// storedLog copies testdata/log, with each file changed unless change is nil.
func storedLog(t *testing.T, change func(name string, b []byte) []byte) (dir string) {
	t.Helper()
	dir = t.TempDir()
	for name, b := range readDir(t, filepath.Join("testdata", "log")) {
		if change != nil {
			b = change(name, b)
		}
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func recoverStored(t *testing.T, dir string) (*Log, *Recovery, map[uint64]string) {
	t.Helper()
	got := map[uint64]string{}
	l, rec, err := Open(dir, Options{}, nil, func(r Record) error {
		got[r.Number] = string(r.Payload)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, rec, got
}

// wantRecords compares records with those of testdata/log in a range, but for missing ones.
func wantRecords(t *testing.T, got map[uint64]string, from, to uint64, missing ...uint64) {
	t.Helper()
	want := map[uint64]string{}
	for number := from; number <= to; number++ {
		want[number] = string(storedPayload(number))
	}
	for _, number := range missing {
		delete(want, number)
	}
	if !maps.Equal(got, want) {
		t.Errorf("records %v, want %v", got, want)
	}
}

// A gateway that is updated opens the log that an earlier version wrote. If the form of segments or snapshots changed,
// what is owed in it would be taken for damage and skipped. TestStoredLog reads a stored log, by recovery and by a
// cursor, and what is appended behind it.
func TestStoredLog(t *testing.T) {
	l, rec, got := recoverStored(t, storedLog(t, nil))
	if string(rec.Snapshot) != "state at 9" || rec.SnapshotRecord != 9 ||
		rec.FirstRecord != 10 || rec.LastRecord != 13 || rec.Records != 4 ||
		rec.Gaps != nil || rec.TornBytes != 0 || rec.SkippedBytes != 0 || rec.DamagedSnapshots != nil {
		t.Errorf("recovered %+v", rec)
	}
	wantRecords(t, got, 10, 13)
	if number, err := l.Append(storedPayload(14)); number != 14 || err != nil {
		t.Errorf("appended as %d, %v", number, err)
	}
	if err := l.Sync(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	clear(got)
	c := l.NewCursor(1)
	defer c.Close()
	for _, r := range readRest(t, c) {
		got[r.Number] = string(r.Payload)
	}
	wantRecords(t, got, 4, 14)
}

// TestStoredLogDamaged damages the stored log: its newest snapshot, then a record and its end.
func TestStoredLogDamaged(t *testing.T) {
	t.Run("newest snapshot", func(t *testing.T) {
		_, rec, got := recoverStored(t, storedLog(t, func(name string, b []byte) []byte {
			if name == snapshotName(9) {
				b[len(b)-1] ^= 1
			}
			return b
		}))
		if string(rec.Snapshot) != "state at 5" || rec.SnapshotRecord != 5 || len(rec.DamagedSnapshots) != 1 {
			t.Errorf("recovered %+v", rec)
		}
		wantRecords(t, got, 6, 13)
	})
	t.Run("gap and torn tail", func(t *testing.T) {
		_, rec, got := recoverStored(t, storedLog(t, func(name string, b []byte) []byte {
			if at := bytes.Index(b, []byte("record 11")); at >= 0 {
				b[at] ^= 1
			}
			if name == segmentName(13) { // the last one
				b = append(b, "torn"...)
			}
			return b
		}))
		if len(rec.Gaps) != 1 || rec.Gaps[0].From != 11 || rec.Gaps[0].To != 11 || rec.TornBytes != 4 || rec.LastRecord != 13 {
			t.Errorf("recovered %+v", rec)
		}
		wantRecords(t, got, 10, 13, 11)
	})
}

// TestStoredLogWrittenAgain writes the records of the stored log and expects the same files, byte for byte: a version
// before this one must read what this one writes.
func TestStoredLogWrittenAgain(t *testing.T) {
	stored := readDir(t, filepath.Join("testdata", "log"))
	if len(stored) == 0 {
		t.Fatal("testdata/log is empty")
	}
	dir := t.TempDir()
	writeStored(t, dir)
	again := readDir(t, dir)
	for name, b := range stored {
		if !bytes.Equal(again[name], b) {
			t.Errorf("%s is written as %x, stored is %x", name, again[name], b)
		}
		delete(again, name)
	}
	for name := range again {
		t.Errorf("%s is written, and not stored", name)
	}
}
