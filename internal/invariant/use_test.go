package invariant

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"winghatch/internal/usage/outbox"
)

// TestJudgeUse accuses no export that is whole, and finds each planted breach.
func TestJudgeUse(t *testing.T) {
	var recs []Record
	var evs []Exported
	add := func(u outbox.Use) {
		raw, _ := json.Marshal(u)
		evs = append(evs, Exported{"/g", fmt.Sprint(len(evs) + 1), outbox.TypeUse, raw})
	}
	for i := range 10 {
		req := fmt.Sprint("r", i)
		recs = append(recs, Record{K: Arrive, Request: req, Units: 1})
		switch i {
		case 3: // turned away unseen
			recs = append(recs, Record{K: Turned, Request: req})
		case 4: // never answered
			add(outbox.Use{Request: req, Units: 1, Guess: true, Outcome: outbox.Silent.String()})
		default:
			recs = append(recs, Record{K: Replied, Request: req, Units: 3})
			add(outbox.Use{Request: req, Units: 3, Outcome: outbox.Sized.String()})
		}
	}
	never := func(string) bool { return false }
	if u := JudgeUse(recs, evs, never); len(u.Breaches) > 0 || u.Sized != 8 || u.Guessed != 1 || u.Units != 25 {
		t.Fatalf("%+v", u)
	}
	use := func(i int, f func(*outbox.Use)) func([]Exported) []Exported {
		return func(in []Exported) []Exported {
			var u outbox.Use
			json.Unmarshal(in[i].Data, &u)
			f(&u)
			in[i].Data, _ = json.Marshal(u)
			return in
		}
	}
	for name, c := range map[string]struct {
		do   func([]Exported) []Exported
		kind string
	}{
		"a lost event":             {func(in []Exported) []Exported { return in[:8] }, "missing"},
		"one in the middle":        {func(in []Exported) []Exported { return append(in[:2], in[3:]...) }, "number"},
		"a try twice":              {func(in []Exported) []Exported { e := in[0]; e.ID = "10"; return append(in, e) }, "twice"},
		"another size":             {use(0, func(u *outbox.Use) { u.Units = 2 }), "size"},
		"another guess":            {use(3, func(u *outbox.Use) { u.Units = 2 }), "size"},
		"a size from nowhere":      {use(3, func(u *outbox.Use) { u.Guess = false }), "size"},
		"an orphan without a kill": {use(3, func(u *outbox.Use) { u.Outcome = outbox.Orphan.String() }), "orphan"},
		"one that never ran": {func(in []Exported) []Exported {
			raw, _ := json.Marshal(outbox.Use{Request: "r3", Units: 1, Guess: true, Outcome: outbox.Failed.String()})
			return append(in, Exported{"/g", "10", outbox.TypeUse, raw})
		}, "unseen"},
	} {
		in := append([]Exported(nil), evs...)
		u := JudgeUse(recs, c.do(in), never)
		if len(u.Breaches) == 0 || !strings.Contains(strings.Join(u.Breaches, "\n"), c.kind+":") {
			t.Errorf("%s: %v, want %s", name, u.Breaches, c.kind)
		}
	}
}
