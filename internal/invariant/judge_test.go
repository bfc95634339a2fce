package invariant

import (
	"strings"
	"testing"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/credentials"
)

func fleet(t *testing.T) *config.Fleet {
	t.Helper()
	f, err := config.Parse("f", []byte(`fleet f {
		secret "`+strings.Repeat("00", 32)+`"
		class look effect=safe { aim "1s"; deadline "4s" }
		class submit effect=keyed group=zone window="1s" { aim "1s"; deadline "4s" }
		class folio effect=unsafe { aim "1s"; deadline "4s" }
		plan p { rate "10/s"; burst 10; ceiling-rate "10/s"; ceiling-burst 20; ceiling-slack 2 }
		limits { attempts 3; retry-after #true; max-retry-after "500ms" }
		safety { drain-grace "1s"; answer-slack "20ms"; cold-from 0.2; cold-for "10s"; fall-multiple 2; fall-window "1s" }
		gateway listen="127.0.0.1:1"
		member m plan=p { key "`+credentials.Digest{}.String()+`" }
	}`))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

const s = time.Second

func ask(at time.Duration, try, class string) Record {
	return Record{At: at, Kind: Call, Session: "m/0", CallID: try, Class: class, Member: "m", Units: 1, Deadline: at + 2*s, Key: "k" + try}
}

func got(at time.Duration, try, kind string) Record {
	return Record{At: at, Kind: Answer, Session: "m/0", CallID: try, Answer: kind}
}

func at(t time.Duration, kind Kind, req string, n int, class, node string) Record {
	return Record{At: t, Kind: kind, Request: req, Attempt: n, Class: class, Server: node, Zone: node[:1], Member: "m", CallID: "t" + req,
		Key: "kt" + req, Units: 1, Deadline: t + s, Work: 50 * time.Millisecond}
}

// TestRecords judges short stories: each breaks the one rule named, or none.
func TestRecords(t *testing.T) {
	end := Record{At: 20 * s, Kind: ProcessChanged, State: "exit"}
	stories := map[string]struct {
		rule int
		recs []Record
	}{
		"served":                  {0, []Record{ask(s, "t1", "look"), at(s, Received, "1", 0, "look", "a1"), at(s, WorkStarted, "1", 0, "look", "a1"), got(2*s, "t1", "served")}},
		"never answered":          {1, []Record{ask(s, "t1", "look")}},
		"answered twice":          {1, []Record{ask(s, "t1", "look"), got(2*s, "t1", "served"), got(2*s, "t1", "failed")}},
		"answered late":           {1, []Record{ask(s, "t1", "look"), got(4*s, "t1", "failed")}},
		"answered unasked":        {1, []Record{got(4*s, "t1", "failed")}},
		"a cut session":           {1, []Record{ask(s, "t1", "look"), {At: s + 1, Kind: SessionClosed, Session: "m/0", Code: 1006}}},
		"the client left first":   {0, []Record{ask(s, "t1", "look"), {At: 2 * s, Kind: ClientLeft, Session: "m/0"}}},
		"the client left later":   {1, []Record{ask(s, "t1", "look"), {At: 9 * s, Kind: ClientLeft, Session: "m/0"}}},
		"crossed the close frame": {0, []Record{ask(s, "t1", "look"), {At: s + 1, Kind: SessionClosed, Session: "m/0", Code: 1001}}},
		"killed":                  {0, []Record{ask(s, "t1", "look"), {At: 2 * s, Kind: ProcessChanged, State: "kill"}, {At: 5 * s, Kind: ProcessChanged, State: "up"}}},
		"killed long before":      {1, []Record{{At: s, Kind: ProcessChanged, State: "kill"}, {At: 2 * s, Kind: ProcessChanged, State: "up"}, ask(3*s, "t1", "look")}},
		"late for being stopped":  {0, []Record{ask(s, "t1", "look"), {At: 2 * s, Kind: ProcessChanged, State: "stop"}, {At: 4 * s, Kind: ProcessChanged, State: "cont"}, got(4*s+9, "t1", "failed")}},
		"two runs of a folio":     {2, []Record{at(s, WorkStarted, "1", 0, "folio", "a1"), at(2*s, WorkStarted, "1", 1, "folio", "a2")}},
		"two runs of a lookup":    {0, []Record{at(s, WorkStarted, "1", 0, "look", "a1"), at(2*s, WorkStarted, "1", 1, "look", "a2")}},
		"a folio sent again":      {2, []Record{at(s, Received, "1", 0, "folio", "a1"), at(3*s, Received, "1", 1, "folio", "a2")}},
		"a folio turned away":     {0, []Record{at(s, Received, "1", 0, "folio", "a1"), at(s, ServerRejected, "1", 0, "folio", "a1"), at(2*s, Received, "1", 1, "folio", "a2")}},
		"a submit in its zone":    {0, []Record{at(s, Received, "1", 0, "submit", "a1"), at(s, Cancelled, "1", 0, "submit", "a1"), at(s+s/2, Received, "1", 1, "submit", "a2")}},
		"a submit left its zone":  {2, []Record{at(s, Received, "1", 0, "submit", "a1"), at(s, Cancelled, "1", 0, "submit", "a1"), at(s+s/2, Received, "1", 1, "submit", "b2")}},
		"a submit past its time":  {2, []Record{at(s, Received, "1", 0, "submit", "a1"), at(s, Cancelled, "1", 0, "submit", "a1"), at(3*s, Received, "1", 1, "submit", "a2")}},
		"two attempts at once":    {2, []Record{at(s, Received, "1", 0, "look", "a1"), at(s+s/2, Received, "1", 1, "look", "a2")}},
		"refused though it ran": {2, []Record{ask(s, "t1", "folio"), at(s, Received, "1", 0, "folio", "a1"), at(s, WorkStarted, "1", 0, "folio", "a1"),
			got(2*s, "t1", "refused")}},
		"drained": {0, []Record{ask(s, "t1", "look"), {At: s, Kind: EndpointSent, Server: "a1", State: "draining"}, at(2*s, Received, "1", 0, "look", "a1"), got(2*s, "t1", "served")}},
		"sent after the grace": {3, []Record{{At: s, Kind: EndpointSent, Server: "a1", State: "gone"}, ask(3*s, "t1", "look"), at(3*s, Received, "1", 0, "look", "a1"),
			got(3*s, "t1", "served")}},
		"back again": {0, []Record{{At: s, Kind: EndpointSent, Server: "a1", State: "gone"}, {At: 2 * s, Kind: EndpointSent, Server: "a1", State: "serving"}, ask(3*s, "t1", "look"),
			at(3*s, Received, "1", 0, "look", "a1"), got(3*s, "t1", "served")}},
		"fell over": {4, []Record{{At: s, Kind: SlowStarted, Server: "a1", Capacity: 2, InitialCapacity: 0.2, Duration: 10 * s}, {At: 2 * s, Kind: Overloaded, Server: "a1"}}},
	}
	var flood, slow, over []Record // over: 30 units at once of a ceiling of 20 and 10 a second
	flood = append(flood, Record{At: s, Kind: SlowStarted, Server: "a1", Capacity: 2, InitialCapacity: 0.2, Duration: 10 * s})
	slow = append(slow, flood[0])
	for i := range 30 {
		id := strings.Repeat("i", i+1)
		over = append(over, at(2*s+time.Duration(i)*10*time.Millisecond, Received, id, 0, "look", "a1"))
		for _, to := range []*[]Record{&flood, &slow} {
			r := over[i]
			r.Units = 0.1
			if to == &slow {
				r.At = 2*s + time.Duration(i)*s/10
			}
			*to = append(*to, r)
		}
	}
	stories["a cold node flooded"] = struct {
		rule int
		recs []Record
	}{4, flood}
	stories["a cold node fed slowly"] = struct {
		rule int
		recs []Record
	}{0, slow}
	stories["over the ceiling"] = struct {
		rule int
		recs []Record
	}{5, over}
	for name, st := range stories {
		t.Run(name, func(t *testing.T) {
			v := Check(fleet(t), append(st.recs, end))
			rules := map[int]bool{}
			for _, b := range v.Violations {
				rules[b.Rule] = true
			}
			if st.rule == 0 && len(rules) > 0 || st.rule > 0 && (len(rules) != 1 || !rules[st.rule]) {
				t.Errorf("want rule %d\n%s", st.rule, v)
			}
		})
	}
}
