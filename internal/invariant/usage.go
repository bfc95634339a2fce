package invariant

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"

	"winghatch/internal/usage/outbox"
)

// maxUsageViolations is how many violations of each kind a result lists.
const maxUsageViolations = 5

// UsageEvent is an event that the usage receiver has.
type UsageEvent struct {
	Source string
	ID     string // number of the event within its source, in decimal
	Type   string
	Data   json.RawMessage
}

// UsageResult is the result of CheckUsage.
type UsageResult struct {
	Attempts       int      // events of attempts
	Confirmed      int      // of them, those with the units that the server answered
	Estimated      int      // of them, those marked as estimated
	Unanswered     int      // of the estimated ones, those that no server answered
	Units          float64  // of all attempts
	UncoveredUnits float64  // units that gateways reported as not covered
	Violations     []string // the first of each kind

	violationsByKind map[string]int
}

func (u *UsageResult) addViolation(kind, format string, args ...any) {
	if u.violationsByKind == nil {
		u.violationsByKind = map[string]int{}
	}
	u.violationsByKind[kind]++
	if u.violationsByKind[kind] <= maxUsageViolations {
		u.Violations = append(u.Violations, kind+": "+fmt.Sprintf(format, args...))
	}
}

// observedAttempt is what the records have of an attempt.
type observedAttempt struct {
	received, rejected, answered bool
	sentUnits                    float64 // as received
	answeredUnits                float64
}

// usageChecker holds the state of one CheckUsage.
type usageChecker struct {
	result        UsageResult
	observed      map[attemptKey]*observedAttempt
	exported      map[attemptKey]bool
	eventNumbers  map[string][]int // of events, by source
	gatewayKilled func(request string) bool
}

// CheckUsage compares the events of a usage receiver with what servers read and wrote. Each attempt that reached a
// server is exported once, with the units that the server answered, or marked as estimated with the units that it was
// sent with. An attempt that a server rejected is not exported, unless its response never came. The events of each
// source are numbered from 1 without a gap. killed reports whether the gateway of a request was killed: only then may
// an attempt be exported as left by an ended incarnation.
func CheckUsage(records []Record, events []UsageEvent, gatewayKilled func(request string) bool) UsageResult {
	u := &usageChecker{
		observed:      observeAttempts(records),
		exported:      map[attemptKey]bool{},
		eventNumbers:  map[string][]int{},
		gatewayKilled: gatewayKilled,
	}
	for _, event := range events {
		u.checkEvent(event)
	}
	u.checkMissing()
	u.checkNumbers()
	return u.result
}

func observeAttempts(records []Record) map[attemptKey]*observedAttempt {
	observed := map[attemptKey]*observedAttempt{}
	for _, r := range records {
		if r.Request == "" {
			continue
		}
		key := attemptKey{r.Request, r.Attempt}
		o := observed[key]
		if o == nil {
			o = &observedAttempt{}
			observed[key] = o
		}
		switch r.Kind {
		case Received:
			o.received, o.sentUnits = true, r.Units
		case ServerRejected:
			o.rejected = true
		case ServerAnswered:
			o.answered, o.answeredUnits = true, r.Units
		}
	}
	return observed
}

func (u *usageChecker) checkEvent(event UsageEvent) {
	number, err := strconv.Atoi(event.ID)
	if err != nil {
		u.result.addViolation("number", "%s: id %q is no number", event.Source, event.ID)
	}
	u.eventNumbers[event.Source] = append(u.eventNumbers[event.Source], number)
	if event.Type == outbox.TypeGap {
		var gap outbox.GapData
		_ = json.Unmarshal(event.Data, &gap) // a gap that can't be read covers nothing
		u.result.UncoveredUnits += gap.Units
		return
	}
	var data outbox.UsageData
	if err := json.Unmarshal(event.Data, &data); err != nil {
		u.result.addViolation("data", "%s %s: %v", event.Source, event.ID, err)
		return
	}
	u.result.Attempts++
	u.result.Units += data.Units
	key := attemptKey{data.Request, data.Attempt}
	if u.exported[key] {
		u.result.addViolation("twice", "attempt %d of %s is exported twice", data.Attempt, data.Request)
	}
	u.exported[key] = true
	u.checkAttempt(data, u.observed[key])
}

// checkAttempt compares an exported attempt with its observation, which is nil if there is none.
func (u *usageChecker) checkAttempt(data outbox.UsageData, observed *observedAttempt) {
	switch {
	case data.Outcome == outbox.OutcomeGatewayEnded.String() && !u.gatewayKilled(data.Request):
		u.result.addViolation("orphan", "attempt %d of %s is exported as left by an ended incarnation",
			data.Attempt, data.Request)
	case data.Outcome == outbox.OutcomeError.String() && observed != nil && observed.rejected:
		u.result.addViolation("unseen", "attempt %d of %s was rejected without effect and is exported",
			data.Attempt, data.Request)
	case data.Estimated:
		u.checkEstimate(data, observed)
	case observed == nil || !observed.answered:
		u.result.addViolation("size", "attempt %d of %s is exported at %v, no server answered it",
			data.Attempt, data.Request, data.Units)
	case observed.answeredUnits != data.Units:
		u.result.addViolation("size", "attempt %d of %s is exported at %v, the server answered %v",
			data.Attempt, data.Request, data.Units, observed.answeredUnits)
	default:
		u.result.Confirmed++
	}
}

func (u *usageChecker) checkEstimate(data outbox.UsageData, observed *observedAttempt) {
	u.result.Estimated++
	if observed == nil || !observed.answered {
		u.result.Unanswered++
	}
	if observed != nil && observed.received && observed.sentUnits != data.Units {
		u.result.addViolation("size", "attempt %d of %s is exported at an estimate of %v, it was sent with %v",
			data.Attempt, data.Request, data.Units, observed.sentUnits)
	}
}

// checkMissing finds attempts that reached a server and are not exported.
func (u *usageChecker) checkMissing() {
	for key, observed := range u.observed {
		if observed.received && !observed.rejected && !u.exported[key] {
			u.result.addViolation("missing", "attempt %d of %s reached a server and is not exported", key.attempt, key.request)
		}
	}
}

// checkNumbers finds in each source the first number that is missing or used twice.
func (u *usageChecker) checkNumbers() {
	for source, eventNumbers := range u.eventNumbers {
		sort.Ints(eventNumbers)
		for i, n := range eventNumbers {
			if n != i+1 {
				u.result.addViolation("number", "%s: number %d in place of %d", source, n, i+1)
				break
			}
		}
	}
}
