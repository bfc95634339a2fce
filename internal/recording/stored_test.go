package recording

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"os"
	"testing"
)

// Recordings of gateways in the field have to stay readable. The files in testdata were written before the types of
// package decide got their present names.

// TestStoredKeys reads a recording that has every kind of event and action with all fields set, and writes it again:
// the bytes are the same. A field that lost its stored key would be read as zero, or be written under another key.
func TestStoredKeys(t *testing.T) {
	want, err := os.ReadFile("testdata/kinds.tape")
	if err != nil {
		t.Fatal(err)
	}
	in, err := NewReader(bytes.NewReader(want))
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	out, err := NewWriter(&got, in.Config, in.Seed)
	if err != nil {
		t.Fatal(err)
	}
	kinds := ReplayResult{ByKind: map[string]int{}}
	for {
		record, err := in.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := out.Write(record.At, record.Event, record.Actions); err != nil {
			t.Fatal(err)
		}
		kinds.countKind(record.Event)
		for _, action := range record.Actions {
			kinds.countKind(action)
		}
	}
	if err := out.Flush(); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("written again:\n%s\nwant:\n%s", got.Bytes(), want)
	}
	for kind := range eventLoaders {
		if kinds.ByKind[kind] == 0 {
			t.Errorf("no event %s in the recording", kind)
		}
	}
	for kind := range actionLoaders {
		if kinds.ByKind[kind] == 0 {
			t.Errorf("no action %s in the recording", kind)
		}
	}
}

// TestStoredRecordings replays recordings of fault scenarios: with quota owners, with changes of plans, and of a
// gateway that was killed. The core returns the recorded actions.
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
			in, err := gzip.NewReader(file)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Replay(in)
			if err != nil || got.Truncated != nil {
				t.Fatalf("%+v, %v", got, err)
			}
			if got.Events != want.events || got.Actions != want.actions {
				t.Errorf("%d events and %d actions, want %d and %d", got.Events, got.Actions, want.events, want.actions)
			}
		})
	}
}
