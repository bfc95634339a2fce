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
	var records []Record
	var events []UsageEvent
	add := func(u outbox.UsageData) {
		data, _ := json.Marshal(u)
		events = append(events, UsageEvent{"/g", fmt.Sprint(len(events) + 1), outbox.TypeUsage, data})
	}
	for i := range 10 {
		request := fmt.Sprint("r", i)
		records = append(records, Record{Kind: Received, Request: request, Units: 1})
		switch i {
		case 3: // turned away unseen
			records = append(records, Record{Kind: ServerRejected, Request: request})
		case 4: // never answered
			add(outbox.UsageData{Request: request, Units: 1, Estimated: true, Outcome: outbox.OutcomeUnanswered.String()})
		default:
			records = append(records, Record{Kind: ServerAnswered, Request: request, Units: 3})
			add(outbox.UsageData{Request: request, Units: 3, Outcome: outbox.OutcomeAnswered.String()})
		}
	}
	neverKilled := func(string) bool { return false }
	if u := CheckUsage(records, events, neverKilled); len(u.Violations) > 0 || u.Confirmed != 8 || u.Estimated != 1 || u.Units != 25 {
		t.Fatalf("%+v", u)
	}
	changeData := func(i int, f func(*outbox.UsageData)) func([]UsageEvent) []UsageEvent {
		return func(exported []UsageEvent) []UsageEvent {
			var u outbox.UsageData
			json.Unmarshal(exported[i].Data, &u)
			f(&u)
			exported[i].Data, _ = json.Marshal(u)
			return exported
		}
	}
	for name, c := range map[string]struct {
		change func([]UsageEvent) []UsageEvent
		kind   string
	}{
		"a lost event":      {func(exported []UsageEvent) []UsageEvent { return exported[:8] }, "missing"},
		"one in the middle": {func(exported []UsageEvent) []UsageEvent { return append(exported[:2], exported[3:]...) }, "number"},
		"a try twice": {func(exported []UsageEvent) []UsageEvent {
			e := exported[0]
			e.ID = "10"
			return append(exported, e)
		}, "twice"},
		"another size":        {changeData(0, func(u *outbox.UsageData) { u.Units = 2 }), "size"},
		"another guess":       {changeData(3, func(u *outbox.UsageData) { u.Units = 2 }), "size"},
		"a size from nowhere": {changeData(3, func(u *outbox.UsageData) { u.Estimated = false }), "size"},
		"an orphan without a kill": {changeData(3, func(u *outbox.UsageData) {
			u.Outcome = outbox.OutcomeGatewayEnded.String()
		}), "orphan"},
		"one that never ran": {func(exported []UsageEvent) []UsageEvent {
			data, _ := json.Marshal(outbox.UsageData{Request: "r3", Units: 1, Estimated: true,
				Outcome: outbox.OutcomeError.String()})
			return append(exported, UsageEvent{"/g", "10", outbox.TypeUsage, data})
		}, "unseen"},
	} {
		exported := append([]UsageEvent(nil), events...)
		u := CheckUsage(records, c.change(exported), neverKilled)
		if len(u.Violations) == 0 || !strings.Contains(strings.Join(u.Violations, "\n"), c.kind+":") {
			t.Errorf("%s: %v, want %s", name, u.Violations, c.kind)
		}
	}
}
