// Package invariant checks the traffic records of a fault scenario against five rules that every fleet of
// gateways must keep:
//
//  1. Each client call gets exactly one final answer, in time (answers.go).
//  2. No request takes effect twice (executions.go).
//  3. A draining or removed server gets no new attempts after the grace period (drains.go).
//  4. A server in slow start gets no more work than it can handle (slowstart.go).
//  5. The units forwarded for a customer stay within its ceiling (ceilings.go).
//
// CheckUsage compares the events that a usage receiver holds with the same records (usage.go).
//
// The records contain what the emulated clients, servers and discovery server read from and wrote to their
// sockets, what the servers executed, and when gateway processes were started, signalled and killed. No
// record comes from a gateway itself. A Log collects the records of a run; ReadRecords reads the records of
// an earlier run from a file.
package invariant

import (
	"fmt"
	"sort"
	"time"

	"winghatch/internal/config"
)

// TransitAllowance is the longest time by which a record may lag behind the decision of the gateway that
// caused it. It covers the transfer of the bytes to the other end and the scheduling of all processes on one
// machine. It does not cover stalls of the harness: the checks of answers, of overlapping attempts and of
// drains add the stalls that occurred in the time span in question.
const TransitAllowance = 150 * time.Millisecond

// checker holds the state of one Check.
type checker struct {
	fleet         *config.Fleet
	records       []Record // sorted by time
	verdict       Verdict
	harnessStalls []Record // the records of kind HarnessStalled
	outages       []outage
}

// Check checks the records of a scenario against the five rules. fleet is the configuration that the gateways
// ran with. The violations in the verdict are sorted by time. Check does not modify records.
func Check(fleet *config.Fleet, records []Record) *Verdict {
	c := &checker{fleet: fleet, records: append([]Record(nil), records...)}
	sort.SliceStable(c.records, func(a, b int) bool { return c.records[a].At < c.records[b].At })
	c.collectOutages()
	c.checkAnswers()
	c.checkExecutions()
	c.checkDrains()
	c.checkSlowStart()
	c.checkCeilings()
	violations := c.verdict.Violations
	sort.SliceStable(violations, func(a, b int) bool { return violations[a].At < violations[b].At })
	return &c.verdict
}

func (c *checker) addViolation(rule int, at time.Duration, format string, args ...any) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}
