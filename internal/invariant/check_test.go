package invariant

import (
	"strings"
	"testing"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/credentials"
)

func testFleet(t *testing.T) *config.Fleet {
	t.Helper()
	f, err := config.Parse("f", []byte(`fleet f {
		secret "`+strings.Repeat("00", 32)+`"
		class look effect=safe { aim "1s"; deadline "4s" }
		class submit effect=keyed group=zone window="1s" { aim "1s"; deadline "4s" }
		class folio effect=unsafe { aim "1s"; deadline "4s" }
		plan p { rate "10/s"; burst 10; ceiling-rate "10/s"; ceiling-burst 20; ceiling-slack 2 }
		limits { attempts 3; retry-after #true; max-retry-after "500ms" }
		safety {
			drain-grace "1s"; answer-slack "20ms"; cold-from 0.2; cold-for "10s"
			fall-multiple 2; fall-window "1s"
		}
		gateway listen="127.0.0.1:1"
		member m plan=p { key "`+credentials.Digest{}.String()+`" }
	}`))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

const second = time.Second

func callRecord(at time.Duration, callID, class string) Record {
	return Record{
		At: at, Kind: Call, Session: "m/0", CallID: callID, Class: class, Member: "m", Units: 1,
		Deadline: at + 2*second, Key: "k" + callID,
	}
}

func answerRecord(at time.Duration, callID, answer string) Record {
	return Record{At: at, Kind: Answer, Session: "m/0", CallID: callID, Answer: answer}
}

func serverRecord(at time.Duration, kind Kind, request string, attempt int, class, server string) Record {
	return Record{
		At: at, Kind: kind, Request: request, Attempt: attempt, Class: class, Server: server,
		Zone: server[:1], Member: "m", CallID: "t" + request, Key: "kt" + request, Units: 1,
		Deadline: at + second, Work: 50 * time.Millisecond,
	}
}

// TestCheckFindsViolations guards against a check that misses a violation or reports one that is not there.
// Each case is a short series of records that violates only the given rule, or no rule (0).
func TestCheckFindsViolations(t *testing.T) {
	end := Record{At: 20 * second, Kind: ProcessChanged, State: "exit"}
	tests := map[string]struct {
		rule    int
		records []Record
	}{
		"served": {0, []Record{
			callRecord(second, "t1", "look"),
			serverRecord(second, Received, "1", 0, "look", "a1"),
			serverRecord(second, WorkStarted, "1", 0, "look", "a1"),
			answerRecord(2*second, "t1", "served"),
		}},
		"never answered": {1, []Record{callRecord(second, "t1", "look")}},
		"answered twice": {1, []Record{
			callRecord(second, "t1", "look"),
			answerRecord(2*second, "t1", "served"),
			answerRecord(2*second, "t1", "failed"),
		}},
		"answered late": {1, []Record{
			callRecord(second, "t1", "look"),
			answerRecord(4*second, "t1", "failed"),
		}},
		"answer without a call": {1, []Record{answerRecord(4*second, "t1", "failed")}},
		"session lost": {1, []Record{
			callRecord(second, "t1", "look"),
			{At: second + 1, Kind: SessionClosed, Session: "m/0", Code: 1006},
		}},
		"client left before the deadline": {0, []Record{
			callRecord(second, "t1", "look"),
			{At: 2 * second, Kind: ClientLeft, Session: "m/0"},
		}},
		"client left after the deadline": {1, []Record{
			callRecord(second, "t1", "look"),
			{At: 9 * second, Kind: ClientLeft, Session: "m/0"},
		}},
		"call crossed the close frame": {0, []Record{
			callRecord(second, "t1", "look"),
			{At: second + 1, Kind: SessionClosed, Session: "m/0", Code: 1001},
		}},
		"gateway killed": {0, []Record{
			callRecord(second, "t1", "look"),
			{At: 2 * second, Kind: ProcessChanged, State: "kill"},
			{At: 5 * second, Kind: ProcessChanged, State: "up"},
		}},
		"gateway killed and restarted before the call": {1, []Record{
			{At: second, Kind: ProcessChanged, State: "kill"},
			{At: 2 * second, Kind: ProcessChanged, State: "up"},
			callRecord(3*second, "t1", "look"),
		}},
		"answered late by a suspended gateway": {0, []Record{
			callRecord(second, "t1", "look"),
			{At: 2 * second, Kind: ProcessChanged, State: "stop"},
			{At: 4 * second, Kind: ProcessChanged, State: "cont"},
			answerRecord(4*second+9, "t1", "failed"),
		}},
		"unsafe class executed twice": {2, []Record{
			serverRecord(second, WorkStarted, "1", 0, "folio", "a1"),
			serverRecord(2*second, WorkStarted, "1", 1, "folio", "a2"),
		}},
		"safe class executed twice": {0, []Record{
			serverRecord(second, WorkStarted, "1", 0, "look", "a1"),
			serverRecord(2*second, WorkStarted, "1", 1, "look", "a2"),
		}},
		"unsafe class sent twice": {2, []Record{
			serverRecord(second, Received, "1", 0, "folio", "a1"),
			serverRecord(3*second, Received, "1", 1, "folio", "a2"),
		}},
		"unsafe class sent again after a rejection": {0, []Record{
			serverRecord(second, Received, "1", 0, "folio", "a1"),
			serverRecord(second, ServerRejected, "1", 0, "folio", "a1"),
			serverRecord(2*second, Received, "1", 1, "folio", "a2"),
		}},
		"keyed class sent again in its zone": {0, []Record{
			serverRecord(second, Received, "1", 0, "submit", "a1"),
			serverRecord(second, Cancelled, "1", 0, "submit", "a1"),
			serverRecord(second+second/2, Received, "1", 1, "submit", "a2"),
		}},
		"keyed class sent again in another zone": {2, []Record{
			serverRecord(second, Received, "1", 0, "submit", "a1"),
			serverRecord(second, Cancelled, "1", 0, "submit", "a1"),
			serverRecord(second+second/2, Received, "1", 1, "submit", "b2"),
		}},
		"keyed class sent again after its deduplication window": {2, []Record{
			serverRecord(second, Received, "1", 0, "submit", "a1"),
			serverRecord(second, Cancelled, "1", 0, "submit", "a1"),
			serverRecord(3*second, Received, "1", 1, "submit", "a2"),
		}},
		"two attempts in flight at once": {2, []Record{
			serverRecord(second, Received, "1", 0, "look", "a1"),
			serverRecord(second+second/2, Received, "1", 1, "look", "a2"),
		}},
		"rejected although executed": {2, []Record{
			callRecord(second, "t1", "folio"),
			serverRecord(second, Received, "1", 0, "folio", "a1"),
			serverRecord(second, WorkStarted, "1", 0, "folio", "a1"),
			answerRecord(2*second, "t1", "refused"),
		}},
		"sent within the drain grace period": {0, []Record{
			callRecord(second, "t1", "look"),
			{At: second, Kind: EndpointSent, Server: "a1", State: "draining"},
			serverRecord(2*second, Received, "1", 0, "look", "a1"),
			answerRecord(2*second, "t1", "served"),
		}},
		"sent after the drain grace period": {3, []Record{
			{At: second, Kind: EndpointSent, Server: "a1", State: "gone"},
			callRecord(3*second, "t1", "look"),
			serverRecord(3*second, Received, "1", 0, "look", "a1"),
			answerRecord(3*second, "t1", "served"),
		}},
		"sent after the server is back": {0, []Record{
			{At: second, Kind: EndpointSent, Server: "a1", State: "gone"},
			{At: 2 * second, Kind: EndpointSent, Server: "a1", State: "serving"},
			callRecord(3*second, "t1", "look"),
			serverRecord(3*second, Received, "1", 0, "look", "a1"),
			answerRecord(3*second, "t1", "served"),
		}},
		"server failed under overload": {4, []Record{
			{
				At: second, Kind: SlowStarted, Server: "a1", Capacity: 2, InitialCapacity: 0.2,
				Duration: 10 * second,
			},
			{At: 2 * second, Kind: Overloaded, Server: "a1"},
		}},
	}
	// overCeiling sends 30 units within 0.3 s to a ceiling with a burst of 20 units and a rate of 10 units
	// per second. tooFast sends the same attempts to a server in slow start, slowEnough sends them over 3 s.
	// Both cost 3 units, so that the ceiling is kept.
	var tooFast, slowEnough, overCeiling []Record
	tooFast = append(tooFast, Record{
		At: second, Kind: SlowStarted, Server: "a1", Capacity: 2, InitialCapacity: 0.2,
		Duration: 10 * second,
	})
	slowEnough = append(slowEnough, tooFast[0])
	for i := range 30 {
		id := strings.Repeat("i", i+1)
		overCeiling = append(overCeiling,
			serverRecord(2*second+time.Duration(i)*10*time.Millisecond, Received, id, 0, "look", "a1"))
		for _, target := range []*[]Record{&tooFast, &slowEnough} {
			r := overCeiling[i]
			r.Units = 0.1
			if target == &slowEnough {
				r.At = 2*second + time.Duration(i)*second/10
			}
			*target = append(*target, r)
		}
	}
	tests["too much work in slow start"] = struct {
		rule    int
		records []Record
	}{4, tooFast}
	tests["acceptable work in slow start"] = struct {
		rule    int
		records []Record
	}{0, slowEnough}
	tests["over the ceiling"] = struct {
		rule    int
		records []Record
	}{5, overCeiling}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			verdict := Check(testFleet(t), append(test.records, end))
			rules := map[int]bool{}
			for _, violation := range verdict.Violations {
				rules[violation.Rule] = true
			}
			if test.rule == 0 && len(rules) > 0 || test.rule > 0 && (len(rules) != 1 || !rules[test.rule]) {
				t.Errorf("want a violation of rule %d only (0: none), got\n%s", test.rule, verdict)
			}
		})
	}
}
