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

// storedPayload returns the payload of a record in testdata/log.
func storedPayload(number uint64) []byte {
	switch number {
	case 3:
		return nil
	case 6:
		return bytes.Repeat([]byte("long"), 40)
	}
	return []byte(fmt.Sprintf("record %d", number))
}

// writeStoredLog writes the log of testdata/log: segments of 100 bytes, a separate write for each record, two
// snapshots.
func writeStoredLog(t *testing.T, dir string) {
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

// readDir returns the contents of all files of a log except its lock file.
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

// copyStoredLog copies testdata/log to a new directory. Unless nil, change modifies the content of each file.
func copyStoredLog(t *testing.T, change func(name string, b []byte) []byte) (dir string) {
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

// openStoredLog opens a log, which is closed at the end of the test, and returns the recovered payloads by
// record number.
func openStoredLog(t *testing.T, dir string) (*Log, *Recovery, map[uint64]string) {
	t.Helper()
	got := map[uint64]string{}
	l, recovery, err := Open(dir, Options{}, nil, func(r Record) error {
		got[r.Number] = string(r.Payload)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, recovery, got
}

// wantRecords checks that the payloads are those of testdata/log from the first to the last record, except
// for the missing ones.
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
		t.Errorf("got records %v, want %v", got, want)
	}
}

// TestStoredLog opens a log from testdata, as an updated gateway opens the log that an earlier version wrote.
// If the format of segments or snapshots had changed, the records in it would be treated as damage and
// skipped. The stored records must be returned by recovery and by a cursor, followed by a newly appended one.
func TestStoredLog(t *testing.T) {
	l, recovery, got := openStoredLog(t, copyStoredLog(t, nil))
	if string(recovery.Snapshot) != "state at 9" || recovery.SnapshotRecord != 9 ||
		recovery.FirstRecord != 10 || recovery.LastRecord != 13 || recovery.Records != 4 ||
		recovery.Gaps != nil || recovery.TornBytes != 0 || recovery.SkippedBytes != 0 ||
		recovery.DamagedSnapshots != nil {
		t.Errorf("recovered %+v, want records 10 to 13 after snapshot 9, undamaged", recovery)
	}
	wantRecords(t, got, 10, 13)
	if number, err := l.Append(storedPayload(14)); number != 14 || err != nil {
		t.Errorf("appended as record %d, error %v; want record 14", number, err)
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

// TestStoredLogDamage damages the stored log, first its newest snapshot, then a record and its end. Recovery
// must fall back to the previous snapshot, or report the gap and the torn tail, and return all other records.
func TestStoredLogDamage(t *testing.T) {
	t.Run("newest snapshot", func(t *testing.T) {
		_, recovery, got := openStoredLog(t, copyStoredLog(t, func(name string, b []byte) []byte {
			if name == snapshotName(9) {
				b[len(b)-1] ^= 1
			}
			return b
		}))
		if string(recovery.Snapshot) != "state at 5" || recovery.SnapshotRecord != 5 ||
			len(recovery.DamagedSnapshots) != 1 {
			t.Errorf("recovered %+v, want snapshot 5 and one damaged snapshot", recovery)
		}
		wantRecords(t, got, 6, 13)
	})
	t.Run("gap and torn tail", func(t *testing.T) {
		_, recovery, got := openStoredLog(t, copyStoredLog(t, func(name string, b []byte) []byte {
			if at := bytes.Index(b, []byte("record 11")); at >= 0 {
				b[at] ^= 1
			}
			if name == segmentName(13) { // the last segment
				b = append(b, "torn"...)
			}
			return b
		}))
		if len(recovery.Gaps) != 1 || recovery.Gaps[0].From != 11 || recovery.Gaps[0].To != 11 ||
			recovery.TornBytes != 4 || recovery.LastRecord != 13 {
			t.Errorf("recovered %+v, want a gap of record 11, 4 torn bytes, last record 13", recovery)
		}
		wantRecords(t, got, 10, 13, 11)
	})
}

// TestStoredLogFormatIsUnchanged writes the records of the stored log again. The files must be the same byte
// for byte, so that earlier versions can read the logs that this version writes.
func TestStoredLogFormatIsUnchanged(t *testing.T) {
	stored := readDir(t, filepath.Join("testdata", "log"))
	if len(stored) == 0 {
		t.Fatal("testdata/log is empty")
	}
	dir := t.TempDir()
	writeStoredLog(t, dir)
	written := readDir(t, dir)
	for name, b := range stored {
		if !bytes.Equal(written[name], b) {
			t.Errorf("%s: wrote %x, want %x as in testdata", name, written[name], b)
		}
		delete(written, name)
	}
	for name := range written {
		t.Errorf("wrote %s, which is not in testdata", name)
	}
}
