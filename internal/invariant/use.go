package invariant

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"

	"winghatch/internal/usage/outbox"
)

// Exported is an event at the accounting.
type Exported struct {
	Source string
	ID     string
	Type   string
	Data   json.RawMessage
}

// Use is what the judge of exported use finds.
type Use struct {
	Tries, Sized, Guessed int // exported
	Unanswered            int // of the guessed ones, those that no node answered
	Units                 float64
	Gaps                  float64  // units that gateways said are not covered
	Breaches              []string // at most some of each kind
	count                 map[string]int
}

func (u *Use) breach(kind, format string, args ...any) {
	if u.count == nil {
		u.count = map[string]int{}
	}
	if u.count[kind]++; u.count[kind] <= 5 {
		u.Breaches = append(u.Breaches, kind+": "+fmt.Sprintf(format, args...))
	}
}

// JudgeUse compares what the accounting has with what nodes read and wrote: each try that reached a node is there
// once, at the size that the node answered, or marked as a guess at the size that it was sent with; the numbers of
// each source run from 1 without a gap. A try that a node turned away unseen is not there, unless its answer never came.
// killed tells whether the gateway of a request was killed: else no try may be left by a life that ended.
func JudgeUse(recs []Record, evs []Exported, killed func(request string) bool) Use {
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
		switch r.K {
		case Arrive:
			t.arrived, t.told = true, r.Units
		case Turned:
			t.turned = true
		case Replied:
			t.answered, t.units = true, r.Units
		}
	}
	var u Use
	found := map[key]bool{}
	numbers := map[string][]int{}
	for _, e := range evs {
		n, err := strconv.Atoi(e.ID)
		if err != nil {
			u.breach("number", "%s: id %q is none", e.Source, e.ID)
		}
		numbers[e.Source] = append(numbers[e.Source], n)
		if e.Type == outbox.TypeGap {
			var g outbox.Uncovered
			json.Unmarshal(e.Data, &g)
			u.Gaps += g.Units
			continue
		}
		var d outbox.Use
		if err := json.Unmarshal(e.Data, &d); err != nil {
			u.breach("data", "%s %s: %v", e.Source, e.ID, err)
			continue
		}
		k := key{d.Request, d.Attempt}
		u.Tries++
		u.Units += d.Units
		if found[k] {
			u.breach("twice", "try %d of %s is exported twice", d.Attempt, d.Request)
		}
		found[k] = true
		t := tries[k]
		switch {
		case d.Outcome == outbox.Orphan.String() && !killed(d.Request):
			u.breach("orphan", "try %d of %s is exported as left by a life that ended", d.Attempt, d.Request)
		case d.Outcome == outbox.Failed.String() && t != nil && t.turned:
			u.breach("unseen", "try %d of %s was turned away unseen and is exported", d.Attempt, d.Request)
		case d.Guess:
			if u.Guessed++; t == nil || !t.answered {
				u.Unanswered++
			}
			if t != nil && t.arrived && t.told != d.Units {
				u.breach("size", "try %d of %s is exported at a guess of %v, it was sent with %v", d.Attempt, d.Request, d.Units, t.told)
			}
		case t == nil || !t.answered:
			u.breach("size", "try %d of %s is exported at %v, no node answered it", d.Attempt, d.Request, d.Units)
		case t.units != d.Units:
			u.breach("size", "try %d of %s is exported at %v, the node answered %v", d.Attempt, d.Request, d.Units, t.units)
		default:
			u.Sized++
		}
	}
	for k, t := range tries {
		if t.arrived && !t.turned && !found[k] {
			u.breach("missing", "try %d of %s reached a node and is not exported", k.attempt, k.request)
		}
	}
	for source, ns := range numbers {
		sort.Ints(ns)
		for i, n := range ns {
			if n != i+1 {
				u.breach("number", "%s: number %d stands where %d is due", source, n, i+1)
				break
			}
		}
	}
	return u
}
