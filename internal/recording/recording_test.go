package recording

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
)

func testConfig() decide.Config {
	return decide.Config{
		Gateways: 1,
		Classes:  []decide.Class{{Name: "c", Idempotency: decide.Idempotent, LatencyObjective: time.Second}},
		Plans:    []decide.Plan{{Name: "p", Rate: 100, Burst: 300, PriorityWeight: 1}},
		Limits:   decide.Limits{MaxAttempts: 3},
	}
}

// record sends 20 requests through a core and returns the recording.
func record(t *testing.T) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := NewWriter(&b, testConfig(), 5)
	if err != nil {
		t.Fatal(err)
	}
	core, err := decide.New(testConfig(), 5)
	if err != nil {
		t.Fatal(err)
	}
	handle := func(at time.Duration, event decide.Event) []decide.Action {
		actions := core.Handle(at, event)
		if err := w.Write(at, event, actions); err != nil {
			t.Fatal(err)
		}
		return actions
	}
	servers := []decide.Server{{ID: "a:1"}, {ID: "b:1"}}
	handle(time.Second, decide.EndpointUpdate{Kind: decide.FullUpdate, Servers: servers})
	const serviceTime = 3 * time.Millisecond
	for i := range 20 {
		at := time.Second + time.Duration(i)*7*time.Millisecond
		id := strings.Repeat("x", i+1)
		request := decide.Request{ID: id, Class: "c", Plan: "p", Customer: "m", Units: 1.25,
			Deadline: at + time.Second, GatewayCount: 1}
		for _, action := range handle(at, request) {
			if s, ok := action.(decide.Send); ok {
				handle(at+serviceTime, decide.AttemptEnded{ID: id, Server: s.Server, Outcome: decide.OutcomeOK,
					Duration: serviceTime, RequestDone: true, LoadReport: decide.LoadReport{"queue": 0.1}})
			}
		}
	}
	w.Flush()
	return b.Bytes()
}

func TestReplay(t *testing.T) {
	data := record(t)
	n, err := Replay(bytes.NewReader(data))
	if err != nil || n.Truncated != nil || n.ByKind["Send"] != 20 || n.Events != 41 {
		t.Fatalf("%+v, %v", n, err)
	}
}

// TestCut truncates a recording at every byte of its last records, as a kill of the gateway would. It is replayed up
// to the last intact line, and the result reports the truncation unless it falls on the end of a line.
func TestCut(t *testing.T) {
	data := record(t)
	for at := len(data) - 700; at < len(data); at++ {
		n, err := Replay(bytes.NewReader(data[:at]))
		atLineEnd := data[at-1] == '\n'
		if err != nil || (n.Truncated == nil) != atLineEnd || n.Events != bytes.Count(data[:at], []byte("\n"))-1 {
			t.Fatalf("cut at %d: %+v, %v", at, n, err)
		}
	}
}

// TestDamage flips one bit in the middle of a recording. Nothing after it is replayed, and the result says so.
func TestDamage(t *testing.T) {
	data := record(t)
	data[len(data)/2] ^= 4
	n, err := Replay(bytes.NewReader(data))
	if err != nil || n.Truncated == nil || n.Events == 0 || n.Events >= 41 {
		t.Errorf("%+v, %v", n, err)
	}
}

// TestDifference replays a recording whose core did something else at its first record.
func TestDifference(t *testing.T) {
	var b bytes.Buffer
	w, err := NewWriter(&b, testConfig(), 5)
	if err != nil {
		t.Fatal(err)
	}
	request := decide.Request{ID: "x", Class: "none", Plan: "p"}
	if err := w.Write(time.Second, request, []decide.Action{decide.Fail{ID: "x"}}); err != nil {
		t.Fatal(err)
	}
	w.Flush()
	var mismatch *MismatchError
	if _, err := Replay(&b); !errors.As(err, &mismatch) || mismatch.Record != 1 {
		t.Errorf("%v", err)
	}
}

// TestNoTape replays inputs that are no recording; each is an error.
func TestNoTape(t *testing.T) {
	for _, in := range []string{"", "x\n", "0000000000000000 {}\n"} {
		if _, err := Replay(strings.NewReader(in)); err == nil {
			t.Errorf("%q was replayed", in)
		}
	}
}
