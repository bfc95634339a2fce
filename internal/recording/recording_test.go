package recording

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
)

// testConfig returns settings with one class and one plan.
func testConfig() decide.Config {
	return decide.Config{
		Gateways: 1,
		Classes:  []decide.Class{{Name: "c", Idempotency: decide.Idempotent, LatencyObjective: time.Second}},
		Plans:    []decide.Plan{{Name: "p", Rate: 100, Burst: 300, PriorityWeight: 1}},
		Limits:   decide.Limits{MaxAttempts: 3},
	}
}

// recordRequests sends 20 requests through a core and returns the recording.
func recordRequests(t *testing.T) []byte {
	t.Helper()
	var buffer bytes.Buffer
	w, err := NewWriter(&buffer, testConfig(), 5)
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
			if send, ok := action.(decide.Send); ok {
				handle(at+serviceTime, decide.AttemptEnded{ID: id, Server: send.Server,
					Outcome: decide.OutcomeOK, Duration: serviceTime, RequestDone: true,
					LoadReport: decide.LoadReport{"queue": 0.1}})
			}
		}
	}
	w.Flush()
	return buffer.Bytes()
}

// TestReplay replays a recording of 20 requests. Its 41 events are one endpoint update, and a request and the
// end of its attempt for each; every one must cause the recorded actions.
func TestReplay(t *testing.T) {
	data := recordRequests(t)
	result, err := Replay(bytes.NewReader(data))
	if err != nil || result.Truncated != nil || result.ByKind["Send"] != 20 || result.Events != 41 {
		t.Fatalf("got result %+v, error %v; want 41 events, 20 of kind Send, not truncated", result, err)
	}
}

// TestTruncatedRecording truncates a recording at every byte of its last records, as happens when the gateway
// is killed. All lines up to the last intact one must be replayed, and the result must report the truncation
// unless it falls on the end of a line.
func TestTruncatedRecording(t *testing.T) {
	data := recordRequests(t)
	for at := len(data) - 700; at < len(data); at++ {
		result, err := Replay(bytes.NewReader(data[:at]))
		atLineEnd := data[at-1] == '\n'
		if err != nil || (result.Truncated == nil) != atLineEnd ||
			result.Events != bytes.Count(data[:at], []byte("\n"))-1 {
			t.Fatalf("truncated at byte %d: result %+v, error %v; want all intact lines", at, result, err)
		}
	}
}

// TestDamagedLine flips one bit in the middle of a recording, as a faulty disk would. Nothing from the
// damaged line on may be replayed, and the result must report the damage.
func TestDamagedLine(t *testing.T) {
	data := recordRequests(t)
	data[len(data)/2] ^= 4
	result, err := Replay(bytes.NewReader(data))
	if err != nil || result.Truncated == nil || result.Events == 0 || result.Events >= 41 {
		t.Errorf("got result %+v, error %v; want 1 to 40 events and the damage reported", result, err)
	}
}

// TestReplayMismatch replays a recording whose first record contains an action that a core does not return:
// the request is of an unknown class. Replay must report the first record as a mismatch.
func TestReplayMismatch(t *testing.T) {
	var buffer bytes.Buffer
	w, err := NewWriter(&buffer, testConfig(), 5)
	if err != nil {
		t.Fatal(err)
	}
	request := decide.Request{ID: "x", Class: "none", Plan: "p"}
	if err := w.Write(time.Second, request, []decide.Action{decide.Fail{ID: "x"}}); err != nil {
		t.Fatal(err)
	}
	w.Flush()
	var mismatch *MismatchError
	if _, err := Replay(&buffer); !errors.As(err, &mismatch) || mismatch.Record != 1 {
		t.Errorf("got error %v, want a mismatch at record 1", err)
	}
}

// TestReplayRejectsOtherFormats replays inputs that are not recordings: an empty one, one without a checksum
// and one whose checksum does not match. Each must be an error, not an empty result.
func TestReplayRejectsOtherFormats(t *testing.T) {
	for _, in := range []string{"", "x\n", "0000000000000000 {}\n"} {
		if _, err := Replay(strings.NewReader(in)); err == nil {
			t.Errorf("%q was replayed without an error", in)
		}
	}
}
