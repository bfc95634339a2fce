package recording

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"testing"
)

// Recordings of deployed gateways must stay readable. The files in testdata were written before the types of
// package decide got their present names. Everything that has since been removed from the format was moved
// from kinds.tape to removed.tape.

// TestStoredKeys reads a recording that contains every kind of event and action with all fields set and
// writes it again. The bytes must be the same: a field without its stored key would be read as zero or
// written under another key.
func TestStoredKeys(t *testing.T) {
	want, err := os.ReadFile("testdata/kinds.tape")
	if err != nil {
		t.Fatal(err)
	}
	reader, err := NewReader(bytes.NewReader(want))
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	writer, err := NewWriter(&got, reader.Config, reader.Seed)
	if err != nil {
		t.Fatal(err)
	}
	kinds := ReplayResult{ByKind: map[string]int{}}
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := writer.Write(record.At, record.Event, record.Actions); err != nil {
			t.Fatal(err)
		}
		kinds.countKind(record.Event)
		for _, action := range record.Actions {
			kinds.countKind(action)
		}
	}
	if err := writer.Flush(); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("rewritten recording:\n%s\nwant:\n%s", got.Bytes(), want)
	}
	for kind := range eventLoaders {
		if kinds.ByKind[kind] == 0 {
			t.Errorf("the recording contains no event of kind %s", kind)
		}
	}
	for kind := range actionLoaders {
		if kinds.ByKind[kind] == 0 {
			t.Errorf("the recording contains no action of kind %s", kind)
		}
	}
}

// TestRemovedKinds reads settings, events and actions that were once part of the format but never used by a
// core. The header of removed.tape contains the settings of kinds.tape and some that no core read. These must
// be ignored, so that earlier recordings stay readable. The other lines are intact, but contain kinds of
// events and actions that no core ever wrote. Each must be reported as damage, as any unknown kind is, and
// not be read as another kind.
func TestRemovedKinds(t *testing.T) {
	raw, err := os.ReadFile("testdata/removed.tape")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(strings.TrimSuffix(string(raw), "\n"), "\n")
	header, lines := lines[0], lines[1:]
	current, err := os.Open("testdata/kinds.tape")
	if err != nil {
		t.Fatal(err)
	}
	defer current.Close()
	want, err := NewReader(current)
	if err != nil {
		t.Fatal(err)
	}
	kinds := []string{"CloseIdle", "Count", "Counted", "FetchList", "Log", "Probe", "ProbeEnded", "Subscribe"}
	if len(lines) != len(kinds) {
		t.Fatalf("%d lines after the header, want %d", len(lines), len(kinds))
	}
	for i, kind := range kinds {
		reader, err := NewReader(strings.NewReader(header + strings.TrimSuffix(lines[i], "\n") + "\n"))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(reader.Header, want.Header) {
			t.Fatalf("got header %+v, want %+v", reader.Header, want.Header)
		}
		_, err = reader.Next()
		var truncated *TruncatedError
		wantReason := fmt.Sprintf("kind %q is not known", kind)
		if !errors.As(err, &truncated) || truncated.Line != 2 || truncated.Reason != wantReason {
			t.Errorf("%s: got error %v, want a TruncatedError of line 2: %s", kind, err, wantReason)
		}
	}
}

// TestStoredRecordings replays recordings from fault scenarios: with quota owners, with plan changes, and
// with a gateway that was killed. The core must return the recorded actions.
func TestStoredRecordings(t *testing.T) {
	for name, want := range map[string]struct{ events, actions int }{
		"quota-owner": {208, 190},
		"plan-change": {489, 392},
		"killed":      {196, 156},
	} {
		t.Run(name, func(t *testing.T) {
			file, err := os.Open("testdata/" + name + ".tape.gz")
			if err != nil {
				t.Fatal(err)
			}
			defer file.Close()
			uncompressed, err := gzip.NewReader(file)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Replay(uncompressed)
			if err != nil || got.Truncated != nil {
				t.Fatalf("got result %+v, error %v; want a complete recording", got, err)
			}
			if got.Events != want.events || got.Actions != want.actions {
				t.Errorf("%d events and %d actions, want %d and %d", got.Events, got.Actions, want.events,
					want.actions)
			}
		})
	}
}
