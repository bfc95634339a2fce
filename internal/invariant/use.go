package invariant

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"

	"winghatch/internal/usage/outbox"
)

// Exported is an event at the accounting.
type UsageEvent struct {
	Source string
	ID     string
	Type   string
	Data   json.RawMessage
}

// Use is what the judge of exported use finds.
type UsageResult struct {
	Attempts, Confirmed, Estimated int // exported
	Unanswered                     int // of the guessed ones, those that no node answered
	Units                          float64
	UncoveredUnits                 float64  // units that gateways said are not covered
	Violations                     []string // at most some of each kind
	violationsByKind               map[string]int
}

func (u *UsageResult) violation(kind, format string, args ...any) {
	if u.violationsByKind == nil {
		u.violationsByKind = map[string]int{}
	}
	if u.violationsByKind[kind]++; u.violationsByKind[kind] <= 5 {
		u.Violations = append(u.Violations, kind+": "+fmt.Sprintf(format, args...))
	}
}

// JudgeUse compares what the accounting has with what nodes read and wrote: each try that reached a node is there
// once, at the size that the node answered, or marked as a guess at the size that it was sent with; the numbers of
// each source run from 1 without a gap. A try that a node turned away unseen is not there, unless its answer never came.
// killed tells whether the gateway of a request was killed: else no try may be left by a life that ended.
func CheckUsage(recs []Record, evs []UsageEvent, killed func(request string) bool) UsageResult {
	type try struct {
		arrived, turned, answered bool
		units, told               float64
	}
	type key struct {
		request string
		attempt int
	}
	tries := map[key]*try{}
	for _, r := range recs {
		if r.Request == "" {
			continue
		}
		k := key{r.Request, r.Attempt}
		t := tries[k]
		if t == nil {
			t = &try{}
			tries[k] = t
		}
		switch r.Kind {
		case Received:
			t.arrived, t.told = true, r.Units
		case ServerRejected:
			t.turned = true
		case ServerAnswered:
			t.answered, t.units = true, r.Units
		}
	}
	var u UsageResult
	found := map[key]bool{}
	numbers := map[string][]int{}
	for _, e := range evs {
		n, err := strconv.Atoi(e.ID)
		if err != nil {
			u.violation("number", "%s: id %q is none", e.Source, e.ID)
		}
		numbers[e.Source] = append(numbers[e.Source], n)
		if e.Type == outbox.TypeGap {
			var g outbox.GapData
			json.Unmarshal(e.Data, &g)
			u.UncoveredUnits += g.Units
			continue
		}
		var d outbox.UsageData
		if err := json.Unmarshal(e.Data, &d); err != nil {
			u.violation("data", "%s %s: %v", e.Source, e.ID, err)
			continue
		}
		k := key{d.Request, d.Attempt}
		u.Attempts++
		u.Units += d.Units
		if found[k] {
			u.violation("twice", "try %d of %s is exported twice", d.Attempt, d.Request)
		}
		found[k] = true
		t := tries[k]
		switch {
		case d.Outcome == outbox.OutcomeGatewayEnded.String() && !killed(d.Request):
			u.violation("orphan", "try %d of %s is exported as left by a life that ended", d.Attempt, d.Request)
		case d.Outcome == outbox.OutcomeError.String() && t != nil && t.turned:
			u.violation("unseen", "try %d of %s was turned away unseen and is exported", d.Attempt, d.Request)
		case d.Estimated:
			if u.Estimated++; t == nil || !t.answered {
				u.Unanswered++
			}
			if t != nil && t.arrived && t.told != d.Units {
				u.violation("size", "try %d of %s is exported at a guess of %v, it was sent with %v", d.Attempt, d.Request, d.Units, t.told)
			}
		case t == nil || !t.answered:
			u.violation("size", "try %d of %s is exported at %v, no node answered it", d.Attempt, d.Request, d.Units)
		case t.units != d.Units:
			u.violation("size", "try %d of %s is exported at %v, the node answered %v", d.Attempt, d.Request, d.Units, t.units)
		default:
			u.Confirmed++
		}
	}
	for k, t := range tries {
		if t.arrived && !t.turned && !found[k] {
			u.violation("missing", "try %d of %s reached a node and is not exported", k.attempt, k.request)
		}
	}
	for source, ns := range numbers {
		sort.Ints(ns)
		for i, n := range ns {
			if n != i+1 {
				u.violation("number", "%s: number %d stands where %d is due", source, n, i+1)
				break
			}
		}
	}
	return u
}
