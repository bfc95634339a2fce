package recording

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"winghatch/decide"
)

func cfg() decide.Config {
	return decide.Config{Gateways: 1, Classes: []decide.Class{{Name: "c", Idempotency: decide.Idempotent, LatencyObjective: time.Second}},
		Plans: []decide.Plan{{Name: "p", Rate: 100, Burst: 300, PriorityWeight: 1}}, Limits: decide.Limits{MaxAttempts: 3}}
}

// record plays a small day into a core and a tape.
func record(t *testing.T) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := NewWriter(&b, cfg(), 5)
	if err != nil {
		t.Fatal(err)
	}
	g, _ := decide.New(cfg(), 5)
	turn := func(at time.Duration, ev decide.Event) []decide.Action {
		acts := g.Handle(at, ev)
		if err := w.Write(at, ev, acts); err != nil {
			t.Fatal(err)
		}
		return acts
	}
	turn(time.Second, decide.EndpointUpdate{Kind: decide.FullUpdate, Servers: []decide.Server{{ID: "a:1"}, {ID: "b:1"}}})
	for i := range 20 {
		at := time.Second + time.Duration(i)*7*time.Millisecond
		id := strings.Repeat("x", i+1)
		for _, a := range turn(at, decide.Request{ID: id, Class: "c", Plan: "p", Customer: "m", Units: 1.25, Deadline: at + time.Second, GatewayCount: 1}) {
			if s, ok := a.(decide.Send); ok {
				turn(at+3*time.Millisecond, decide.AttemptEnded{ID: id, Server: s.Server, Outcome: decide.OutcomeOK, Duration: 3 * time.Millisecond,
					RequestDone: true, LoadReport: decide.LoadReport{"queue": 0.1}})
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

// TestCut cuts a tape at every byte of its last records: it reads up to the cut and says so.
func TestCut(t *testing.T) {
	data := record(t)
	for at := len(data) - 700; at < len(data); at++ {
		n, err := Replay(bytes.NewReader(data[:at]))
		whole := data[at-1] == '\n'
		if err != nil || (n.Truncated == nil) != whole || n.Events != bytes.Count(data[:at], []byte("\n"))-1 {
			t.Fatalf("cut at %d: %+v, %v", at, n, err)
		}
	}
}

// TestDamage flips a bit in the middle: nothing after it is read, and it is said.
func TestDamage(t *testing.T) {
	data := record(t)
	data[len(data)/2] ^= 4
	n, err := Replay(bytes.NewReader(data))
	if err != nil || n.Truncated == nil || n.Events == 0 || n.Events >= 41 {
		t.Errorf("%+v, %v", n, err)
	}
}

// TestDifference replays a tape on which another core did something else.
func TestDifference(t *testing.T) {
	var b bytes.Buffer
	w, _ := NewWriter(&b, cfg(), 5)
	w.Write(time.Second, decide.Request{ID: "x", Class: "none", Plan: "p"}, []decide.Action{decide.Fail{ID: "x"}})
	w.Flush()
	var d *MismatchError
	if _, err := Replay(&b); !errors.As(err, &d) || d.Record != 1 {
		t.Errorf("%v", err)
	}
}

func TestNoTape(t *testing.T) {
	for _, in := range []string{"", "x\n", "0000000000000000 {}\n"} {
		if _, err := Replay(strings.NewReader(in)); err == nil {
			t.Errorf("%q was replayed", in)
		}
	}
}
