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
	return Record{T: at, K: Call, Session: "m/0", Try: try, Class: class, Member: "m", Units: 1, Deadline: at + 2*s, Key: "k" + try}
}

func got(at time.Duration, try, kind string) Record {
	return Record{T: at, K: Answer, Session: "m/0", Try: try, Answer: kind}
}

func at(t time.Duration, kind Kind, req string, n int, class, node string) Record {
	return Record{T: t, K: kind, Request: req, Attempt: n, Class: class, Node: node, Zone: node[:1], Member: "m", Try: "t" + req,
		Key: "kt" + req, Units: 1, Deadline: t + s, Work: 50 * time.Millisecond}
}

// TestRecords judges short stories: each breaks the one rule named, or none.
func TestRecords(t *testing.T) {
	end := Record{T: 20 * s, K: Process, State: "exit"}
	stories := map[string]struct {
		rule int
		recs []Record
	}{
		"served":                  {0, []Record{ask(s, "t1", "look"), at(s, Arrive, "1", 0, "look", "a1"), at(s, Run, "1", 0, "look", "a1"), got(2*s, "t1", "served")}},
		"never answered":          {1, []Record{ask(s, "t1", "look")}},
		"answered twice":          {1, []Record{ask(s, "t1", "look"), got(2*s, "t1", "served"), got(2*s, "t1", "failed")}},
		"answered late":           {1, []Record{ask(s, "t1", "look"), got(4*s, "t1", "failed")}},
		"answered unasked":        {1, []Record{got(4*s, "t1", "failed")}},
		"a cut session":           {1, []Record{ask(s, "t1", "look"), {T: s + 1, K: Down, Session: "m/0", Code: 1006}}},
		"the client left first":   {0, []Record{ask(s, "t1", "look"), {T: 2 * s, K: Leave, Session: "m/0"}}},
		"the client left later":   {1, []Record{ask(s, "t1", "look"), {T: 9 * s, K: Leave, Session: "m/0"}}},
		"crossed the close frame": {0, []Record{ask(s, "t1", "look"), {T: s + 1, K: Down, Session: "m/0", Code: 1001}}},
		"killed":                  {0, []Record{ask(s, "t1", "look"), {T: 2 * s, K: Process, State: "kill"}, {T: 5 * s, K: Process, State: "up"}}},
		"killed long before":      {1, []Record{{T: s, K: Process, State: "kill"}, {T: 2 * s, K: Process, State: "up"}, ask(3*s, "t1", "look")}},
		"late for being stopped":  {0, []Record{ask(s, "t1", "look"), {T: 2 * s, K: Process, State: "stop"}, {T: 4 * s, K: Process, State: "cont"}, got(4*s+9, "t1", "failed")}},
		"two runs of a folio":     {2, []Record{at(s, Run, "1", 0, "folio", "a1"), at(2*s, Run, "1", 1, "folio", "a2")}},
		"two runs of a lookup":    {0, []Record{at(s, Run, "1", 0, "look", "a1"), at(2*s, Run, "1", 1, "look", "a2")}},
		"a folio sent again":      {2, []Record{at(s, Arrive, "1", 0, "folio", "a1"), at(3*s, Arrive, "1", 1, "folio", "a2")}},
		"a folio turned away":     {0, []Record{at(s, Arrive, "1", 0, "folio", "a1"), at(s, Turned, "1", 0, "folio", "a1"), at(2*s, Arrive, "1", 1, "folio", "a2")}},
		"a submit in its zone":    {0, []Record{at(s, Arrive, "1", 0, "submit", "a1"), at(s, Withdrawn, "1", 0, "submit", "a1"), at(s+s/2, Arrive, "1", 1, "submit", "a2")}},
		"a submit left its zone":  {2, []Record{at(s, Arrive, "1", 0, "submit", "a1"), at(s, Withdrawn, "1", 0, "submit", "a1"), at(s+s/2, Arrive, "1", 1, "submit", "b2")}},
		"a submit past its time":  {2, []Record{at(s, Arrive, "1", 0, "submit", "a1"), at(s, Withdrawn, "1", 0, "submit", "a1"), at(3*s, Arrive, "1", 1, "submit", "a2")}},
		"two attempts at once":    {2, []Record{at(s, Arrive, "1", 0, "look", "a1"), at(s+s/2, Arrive, "1", 1, "look", "a2")}},
		"refused though it ran": {2, []Record{ask(s, "t1", "folio"), at(s, Arrive, "1", 0, "folio", "a1"), at(s, Run, "1", 0, "folio", "a1"),
			got(2*s, "t1", "refused")}},
		"drained": {0, []Record{ask(s, "t1", "look"), {T: s, K: Told, Node: "a1", State: "draining"}, at(2*s, Arrive, "1", 0, "look", "a1"), got(2*s, "t1", "served")}},
		"sent after the grace": {3, []Record{{T: s, K: Told, Node: "a1", State: "gone"}, ask(3*s, "t1", "look"), at(3*s, Arrive, "1", 0, "look", "a1"),
			got(3*s, "t1", "served")}},
		"back again": {0, []Record{{T: s, K: Told, Node: "a1", State: "gone"}, {T: 2 * s, K: Told, Node: "a1", State: "serving"}, ask(3*s, "t1", "look"),
			at(3*s, Arrive, "1", 0, "look", "a1"), got(3*s, "t1", "served")}},
		"fell over": {4, []Record{{T: s, K: Cold, Node: "a1", Capacity: 2, From: 0.2, For: 10 * s}, {T: 2 * s, K: Fell, Node: "a1"}}},
	}
	var flood, slow, over []Record // over: 30 units at once of a ceiling of 20 and 10 a second
	flood = append(flood, Record{T: s, K: Cold, Node: "a1", Capacity: 2, From: 0.2, For: 10 * s})
	slow = append(slow, flood[0])
	for i := range 30 {
		id := strings.Repeat("i", i+1)
		over = append(over, at(2*s+time.Duration(i)*10*time.Millisecond, Arrive, id, 0, "look", "a1"))
		for _, to := range []*[]Record{&flood, &slow} {
			r := over[i]
			r.Units = 0.1
			if to == &slow {
				r.T = 2*s + time.Duration(i)*s/10
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
			v := Judge(fleet(t), append(st.recs, end))
			rules := map[int]bool{}
			for _, b := range v.Breaches {
				rules[b.Rule] = true
			}
			if st.rule == 0 && len(rules) > 0 || st.rule > 0 && (len(rules) != 1 || !rules[st.rule]) {
				t.Errorf("want rule %d\n%s", st.rule, v)
			}
		})
	}
}
