// Package invariant checks the traffic records of a fault scenario against the five rules that a fleet of gateways has
// to keep:
//
//  1. Each call of a client gets exactly one final answer, in time (answers.go).
//  2. No request has its effect twice (executions.go).
//  3. A draining or removed server gets no new attempts after the grace period (drains.go).
//  4. A server in slow start gets no more work than it bears (slowstart.go).
//  5. No customer is forwarded more than its ceiling (ceilings.go).
//
// CheckUsage compares the usage events at a receiver with the same records (usage.go).
//
// The records are what emulated clients, servers and discovery read and wrote on their sockets, what the servers
// executed, and when gateway processes were started, signalled and killed. Nothing in them comes from a gateway itself.
// A Log collects them; ReadRecords reads the file of a former run.
package invariant

import (
	"fmt"
	"sort"
	"time"

	"winghatch/internal/config"
)

// TransitAllowance is how far what a record shows may lag behind the gateway's decision: for the way of the bytes to
// the other end, and for the scheduling of all processes on one machine. Stalls of the harness are allowed for where
// they fall.
const TransitAllowance = 150 * time.Millisecond

// checker holds the records of one check and the verdict so far.
type checker struct {
	fleet         *config.Fleet
	records       []Record // by time
	verdict       Verdict
	harnessStalls []Record // of kind HarnessStalled
	outages       []outage
}

// Check checks the records of a scenario against the five rules. The fleet is the configuration that its gateways ran
// with.
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
