package scenario

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"

	"winghatch/internal/invariant"
	"winghatch/internal/testbed/usagereceiver"
)

// unpack copies a run that an earlier version recorded to a folder as that version wrote it.
func unpackStoredRun(t *testing.T) (dir string) {
	t.Helper()
	dir = t.TempDir()
	for _, name := range []string{"traffic.jsonl", "accounting.jsonl"} {
		file, err := os.Open("testdata/record/" + name + ".gz")
		if err != nil {
			t.Fatal(err)
		}
		in, err := gzip.NewReader(file)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(in)
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	settings, err := os.ReadFile("testdata/record/fleet.kdl")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "fleet.kdl"), settings, 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestStoredRun judges a run that an earlier version recorded: the verdict is the same, and the records are written
// again with the same keys.
func TestStoredRun(t *testing.T) {
	dir := unpackStoredRun(t)
	want, err := os.ReadFile("testdata/record/verdict.txt")
	if err != nil {
		t.Fatal(err)
	}
	verdict, err := Verify(dir)
	if err != nil || verdict.String() != string(want) {
		t.Errorf("%v\n%s\nwant:\n%s", err, verdict, want)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "traffic.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	records, err := invariant.ReadRecords(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	var rewritten bytes.Buffer
	for _, r := range records {
		line, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		rewritten.Write(append(line, '\n'))
	}
	if !bytes.Equal(rewritten.Bytes(), raw) {
		t.Error("the records are written again with other bytes")
	}
}

// TestStoredUsage compares the usage that was exported in that run with its records.
func TestStoredUsage(t *testing.T) {
	dir := unpackStoredRun(t)
	file, err := os.Open(filepath.Join(dir, "traffic.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	records, err := invariant.ReadRecords(file)
	if err != nil {
		t.Fatal(err)
	}
	receiver, err := usagereceiver.Start("127.0.0.1:0", filepath.Join(dir, "accounting.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Stop()
	killed := func(string) bool { return true }
	got := invariant.CheckUsage(records, toUsageEvents(receiver.Events()), killed)
	if len(got.Violations) > 0 || got.Attempts != 288 || got.Confirmed != 277 || got.Estimated != 11 ||
		got.Unanswered != 4 || got.Units != 628 || got.UncoveredUnits != 0 {
		t.Errorf("%+v", got)
	}
}
