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

// unpackStoredRun copies the files of a run that an earlier version recorded, decompressed, to a temporary
// folder.
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

// TestStoredRunKeepsItsVerdict guards against changes that make records of earlier versions unreadable: the
// check of a run that an earlier version recorded must return the same verdict, and its records must be
// encoded to the same bytes.
func TestStoredRunKeepsItsVerdict(t *testing.T) {
	dir := unpackStoredRun(t)
	want, err := os.ReadFile("testdata/record/verdict.txt")
	if err != nil {
		t.Fatal(err)
	}
	verdict, err := Verify(dir)
	if err != nil || verdict.String() != string(want) {
		t.Errorf("Verify: error %v, verdict:\n%s\nwant:\n%s", err, verdict, want)
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
		t.Error("the records are encoded to bytes other than those of the file")
	}
}

// TestStoredUsageMatchesItsRecords guards against changes that make usage events of earlier versions
// unreadable: the events that a receiver stored in an earlier version must match the records of that run.
func TestStoredUsageMatchesItsRecords(t *testing.T) {
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
		t.Errorf("got %+v, want 288 attempts, 277 confirmed, 11 estimated, 4 unanswered, 628 units", got)
	}
}
