package invariant

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"winghatch/internal/usage/outbox"
)

// TestCheckUsageFindsViolations guards against a check that misses a missing, duplicated or wrong usage event
// or reports a violation in a complete export. Each case changes one thing in a complete export.
func TestCheckUsageFindsViolations(t *testing.T) {
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
		case 3: // rejected by the server without effect
			records = append(records, Record{Kind: ServerRejected, Request: request})
		case 4: // never answered
			add(outbox.UsageData{
				Request: request, Units: 1, Estimated: true, Outcome: outbox.OutcomeUnanswered.String(),
			})
		default:
			records = append(records, Record{Kind: ServerAnswered, Request: request, Units: 3})
			add(outbox.UsageData{Request: request, Units: 3, Outcome: outbox.OutcomeAnswered.String()})
		}
	}
	neverKilled := func(string) bool { return false }
	if u := CheckUsage(records, events, neverKilled); len(u.Violations) > 0 || u.Confirmed != 8 ||
		u.Estimated != 1 || u.Units != 25 {
		t.Fatalf("complete export: got %+v, want no violation, 8 confirmed, 1 estimated, 25 units", u)
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
		"last event lost": {func(exported []UsageEvent) []UsageEvent { return exported[:8] }, "missing"},
		"event in the middle lost": {func(exported []UsageEvent) []UsageEvent {
			return append(exported[:2], exported[3:]...)
		}, "number"},
		"attempt exported twice": {func(exported []UsageEvent) []UsageEvent {
			e := exported[0]
			e.ID = "10"
			return append(exported, e)
		}, "twice"},
		"wrong units":    {changeData(0, func(u *outbox.UsageData) { u.Units = 2 }), "size"},
		"wrong estimate": {changeData(3, func(u *outbox.UsageData) { u.Units = 2 }), "size"},
		"units without a response": {changeData(3, func(u *outbox.UsageData) {
			u.Estimated = false
		}), "size"},
		"ended incarnation without a kill": {changeData(3, func(u *outbox.UsageData) {
			u.Outcome = outbox.OutcomeGatewayEnded.String()
		}), "orphan"},
		"rejected attempt exported": {func(exported []UsageEvent) []UsageEvent {
			data, _ := json.Marshal(outbox.UsageData{Request: "r3", Units: 1, Estimated: true,
				Outcome: outbox.OutcomeError.String()})
			return append(exported, UsageEvent{"/g", "10", outbox.TypeUsage, data})
		}, "unseen"},
	} {
		exported := append([]UsageEvent(nil), events...)
		u := CheckUsage(records, c.change(exported), neverKilled)
		if len(u.Violations) == 0 || !strings.Contains(strings.Join(u.Violations, "\n"), c.kind+":") {
			t.Errorf("%s: got violations %v, want one of kind %s", name, u.Violations, c.kind)
		}
	}
}
