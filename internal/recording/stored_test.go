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

// Recordings of gateways in the field have to stay readable. The files in testdata were written before the types of
// package decide got their present names; what the format has no more was moved from kinds.tape to removed.tape.

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

// TestRemoved reads what the format once had and no core ever used. The settings in the header of removed.tape are
// those of kinds.tape and some that no core read: those are ignored, so that earlier recordings stay readable. Its
// other lines are intact and have kinds of events and actions that no core ever wrote: each is reported as damage like
// any unknown kind, and not read as something else.
func TestRemoved(t *testing.T) {
	raw, err := os.ReadFile("testdata/removed.tape")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(strings.TrimSuffix(string(raw), "\n"), "\n")
	header, lines := lines[0], lines[1:]
	known, err := os.Open("testdata/kinds.tape")
	if err != nil {
		t.Fatal(err)
	}
	defer known.Close()
	want, err := NewReader(known)
	if err != nil {
		t.Fatal(err)
	}
	kinds := []string{"CloseIdle", "Count", "Counted", "FetchList", "Log", "Probe", "ProbeEnded", "Subscribe"}
	if len(lines) != len(kinds) {
		t.Fatalf("%d lines behind the header, want %d", len(lines), len(kinds))
	}
	for i, kind := range kinds {
		in, err := NewReader(strings.NewReader(header + strings.TrimSuffix(lines[i], "\n") + "\n"))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(in.Header, want.Header) {
			t.Fatalf("got header %+v, want %+v", in.Header, want.Header)
		}
		_, err = in.Next()
		var truncated *TruncatedError
		wantReason := fmt.Sprintf("kind %q is not known", kind)
		if !errors.As(err, &truncated) || truncated.Line != 2 || truncated.Reason != wantReason {
			t.Errorf("%s: got error %v, want a TruncatedError of line 2: %s", kind, err, wantReason)
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
