package invariant

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"winghatch/internal/usage/outbox"
)

// TestJudgeUse finds no violation in a complete export, and each one that is planted.
func TestJudgeUse(t *testing.T) {
	var recs []Record
	var evs []UsageEvent
	add := func(u outbox.UsageData) {
		raw, _ := json.Marshal(u)
		evs = append(evs, UsageEvent{"/g", fmt.Sprint(len(evs) + 1), outbox.TypeUsage, raw})
	}
	for i := range 10 {
		req := fmt.Sprint("r", i)
		recs = append(recs, Record{Kind: Received, Request: req, Units: 1})
		switch i {
		case 3: // turned away unseen
			recs = append(recs, Record{Kind: ServerRejected, Request: req})
		case 4: // never answered
			add(outbox.UsageData{Request: req, Units: 1, Estimated: true, Outcome: outbox.OutcomeUnanswered.String()})
		default:
			recs = append(recs, Record{Kind: ServerAnswered, Request: req, Units: 3})
			add(outbox.UsageData{Request: req, Units: 3, Outcome: outbox.OutcomeAnswered.String()})
		}
	}
	never := func(string) bool { return false }
	if u := CheckUsage(recs, evs, never); len(u.Violations) > 0 || u.Confirmed != 8 || u.Estimated != 1 || u.Units != 25 {
		t.Fatalf("%+v", u)
	}
	use := func(i int, f func(*outbox.UsageData)) func([]UsageEvent) []UsageEvent {
		return func(in []UsageEvent) []UsageEvent {
			var u outbox.UsageData
			json.Unmarshal(in[i].Data, &u)
			f(&u)
			in[i].Data, _ = json.Marshal(u)
			return in
		}
	}
	for name, c := range map[string]struct {
		do   func([]UsageEvent) []UsageEvent
		kind string
	}{
		"a lost event":      {func(in []UsageEvent) []UsageEvent { return in[:8] }, "missing"},
		"one in the middle": {func(in []UsageEvent) []UsageEvent { return append(in[:2], in[3:]...) }, "number"},
		"a try twice": {func(in []UsageEvent) []UsageEvent {
			e := in[0]
			e.ID = "10"
			return append(in, e)
		}, "twice"},
		"another size":        {use(0, func(u *outbox.UsageData) { u.Units = 2 }), "size"},
		"another guess":       {use(3, func(u *outbox.UsageData) { u.Units = 2 }), "size"},
		"a size from nowhere": {use(3, func(u *outbox.UsageData) { u.Estimated = false }), "size"},
		"an orphan without a kill": {use(3, func(u *outbox.UsageData) {
			u.Outcome = outbox.OutcomeGatewayEnded.String()
		}), "orphan"},
		"one that never ran": {func(in []UsageEvent) []UsageEvent {
			raw, _ := json.Marshal(outbox.UsageData{Request: "r3", Units: 1, Estimated: true,
				Outcome: outbox.OutcomeError.String()})
			return append(in, UsageEvent{"/g", "10", outbox.TypeUsage, raw})
		}, "unseen"},
	} {
		in := append([]UsageEvent(nil), evs...)
		u := CheckUsage(recs, c.do(in), never)
		if len(u.Violations) == 0 || !strings.Contains(strings.Join(u.Violations, "\n"), c.kind+":") {
			t.Errorf("%s: %v, want %s", name, u.Violations, c.kind)
		}
	}
}
