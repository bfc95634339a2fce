package invariant

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"

	"winghatch/internal/usage/outbox"
)

// maxUsageViolations is the largest number of violations of each kind that a result lists.
const maxUsageViolations = 5

// UsageEvent is an event that the usage receiver holds.
type UsageEvent struct {
	Source string
	ID     string // number of the event within its source, as a decimal number from 1
	Type   string
	Data   json.RawMessage
}

// UsageResult is the result of CheckUsage.
type UsageResult struct {
	Attempts       int      // number of exported attempts
	Confirmed      int      // exported attempts with the units of the server's response
	Estimated      int      // exported attempts that are marked as estimated
	Unanswered     int      // estimated attempts that no server answered
	Units          float64  // total units of the exported attempts
	UncoveredUnits float64  // units that gap events report for attempts that are not exported
	Violations     []string // the first maxUsageViolations of each kind, each as "kind: text"

	violationsByKind map[string]int // number of violations, with those that Violations omits
}

// addViolation counts a violation and lists it unless enough of its kind are listed. The kinds are:
//
//   - data: the data of an event cannot be decoded
//   - missing: an attempt that reached a server is not exported
//   - number: an event number is invalid, missing or used twice
//   - orphan: an attempt is exported as left by an ended incarnation although its gateway was not killed
//   - size: an attempt is exported with units other than those of the server's records
//   - twice: an attempt is exported more than once
//   - unseen: an attempt is exported although the server rejected it
func (u *UsageResult) addViolation(kind, format string, args ...any) {
	if u.violationsByKind == nil {
		u.violationsByKind = map[string]int{}
	}
	u.violationsByKind[kind]++
	if u.violationsByKind[kind] <= maxUsageViolations {
		u.Violations = append(u.Violations, kind+": "+fmt.Sprintf(format, args...))
	}
}

// observedAttempt is an attempt as the records of servers show it.
type observedAttempt struct {
	received, rejected, answered bool
	sentUnits                    float64 // units in the request that the server read
	answeredUnits                float64 // units in the response that the server wrote
}

// usageChecker holds the state of one CheckUsage.
type usageChecker struct {
	result        UsageResult
	observed      map[attemptKey]*observedAttempt
	exported      map[attemptKey]bool // attempts of the events checked so far
	eventNumbers  map[string][]int    // numbers of the events, by source
	gatewayKilled func(request string) bool
}

// CheckUsage compares the events of a usage receiver with the records of what servers read and wrote. It
// checks:
//
//   - Each attempt that reached a server is exported exactly once, either with the units that the server
//     answered or marked as estimated with the units that the attempt was sent with.
//   - An attempt that a server rejected is not exported, unless the gateway never received the rejection.
//   - The events of each source are numbered from 1 without a gap.
//   - An attempt is exported as left unsettled by an ended incarnation only if the gateway of its request
//     was killed. gatewayKilled reports whether it was.
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
		u.result.addViolation("number", "source %s: event id %q, want a decimal number",
			event.Source, event.ID)
	}
	u.eventNumbers[event.Source] = append(u.eventNumbers[event.Source], number)
	if event.Type == outbox.TypeGap {
		var gap outbox.GapData
		_ = json.Unmarshal(event.Data, &gap) // an unreadable gap event adds no uncovered units
		u.result.UncoveredUnits += gap.Units
		return
	}
	var data outbox.UsageData
	if err := json.Unmarshal(event.Data, &data); err != nil {
		u.result.addViolation("data", "source %s, event %s: %v", event.Source, event.ID, err)
		return
	}
	u.result.Attempts++
	u.result.Units += data.Units
	key := attemptKey{data.Request, data.Attempt}
	if u.exported[key] {
		u.result.addViolation("twice", "attempt %d of request %s is exported twice",
			data.Attempt, data.Request)
	}
	u.exported[key] = true
	u.checkAttempt(data, u.observed[key])
}

// checkAttempt compares an exported attempt with the records. observed is nil if there are none of the
// attempt.
func (u *usageChecker) checkAttempt(data outbox.UsageData, observed *observedAttempt) {
	switch {
	case data.Outcome == outbox.OutcomeGatewayEnded.String() && !u.gatewayKilled(data.Request):
		u.result.addViolation("orphan",
			"attempt %d of request %s is exported as left by an ended incarnation without a kill",
			data.Attempt, data.Request)
	case data.Outcome == outbox.OutcomeError.String() && observed != nil && observed.rejected:
		u.result.addViolation("unseen",
			"attempt %d of request %s is exported although the server rejected it",
			data.Attempt, data.Request)
	case data.Estimated:
		u.checkEstimate(data, observed)
	case observed == nil || !observed.answered:
		u.result.addViolation("size",
			"attempt %d of request %s is exported with %v units, but no server answered it",
			data.Attempt, data.Request, data.Units)
	case observed.answeredUnits != data.Units:
		u.result.addViolation("size",
			"attempt %d of request %s is exported with %v units, the server answered %v",
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
		u.result.addViolation("size",
			"attempt %d of request %s is exported with an estimate of %v units, it was sent with %v",
			data.Attempt, data.Request, data.Units, observed.sentUnits)
	}
}

// checkMissing adds a violation for each attempt that reached a server and is not exported.
func (u *usageChecker) checkMissing() {
	for key, observed := range u.observed {
		if observed.received && !observed.rejected && !u.exported[key] {
			u.result.addViolation("missing", "attempt %d of request %s reached a server and is not exported",
				key.attempt, key.request)
		}
	}
}

// checkNumbers adds a violation for the first event number of each source that is missing or used twice.
func (u *usageChecker) checkNumbers() {
	for source, eventNumbers := range u.eventNumbers {
		sort.Ints(eventNumbers)
		for i, n := range eventNumbers {
			if n != i+1 {
				u.result.addViolation("number", "source %s: got event number %d, want %d", source, n, i+1)
				break
			}
		}
	}
}
