package invariant

import (
	"fmt"
	"strings"
	"time"
)

// Numbers of the rules in a verdict.
const (
	ruleAnswers    = 1
	ruleExecutions = 2
	ruleDrains     = 3
	ruleSlowStart  = 4
	ruleCeilings   = 5

	ruleCount = 5
)

// maxPrintedViolations is the largest number of violations of each rule that a verdict prints.
const maxPrintedViolations = 5

// RuleNames holds the names of the rules, indexed by the number of the rule from 1. Index 0 is unused.
var RuleNames = [ruleCount + 1]string{
	ruleAnswers:    "no request lost",
	ruleExecutions: "no effect twice",
	ruleDrains:     "drains kept",
	ruleSlowStart:  "cold servers not pushed over",
	ruleCeilings:   "ceilings kept",
}

// Violation is one violation of a rule.
type Violation struct {
	Rule int           // number of the rule, an index of RuleNames
	At   time.Duration // since the scenario started
	Text string
}

// Verdict is the result of a check.
type Verdict struct {
	Violations []Violation
	Checked    [ruleCount + 1]int // by rule: number of observations that could have violated it
}

// RulesKept returns the number of rules without a violation.
func (v *Verdict) RulesKept() int {
	violated := map[int]bool{}
	for _, violation := range v.Violations {
		violated[violation.Rule] = true
	}
	return ruleCount - len(violated)
}

// String returns a line for each rule, each followed by the first violations of the rule, and a last line
// with the number of rules kept.
func (v *Verdict) String() string {
	var b strings.Builder
	for rule := 1; rule <= ruleCount; rule++ {
		v.writeRule(&b, rule)
	}
	fmt.Fprintf(&b, "rules kept: %d of %d\n", v.RulesKept(), ruleCount)
	return b.String()
}

func (v *Verdict) writeRule(b *strings.Builder, rule int) {
	var violations []Violation
	for _, violation := range v.Violations {
		if violation.Rule == rule {
			violations = append(violations, violation)
		}
	}
	state := "kept"
	if len(violations) > 0 {
		state = fmt.Sprintf("BROKEN %d times", len(violations))
	}
	fmt.Fprintf(b, "rule %d, %s: %s (%d looked at)\n", rule, RuleNames[rule], state, v.Checked[rule])
	for i, violation := range violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(b, "  and %d more\n", len(violations)-i)
			break
		}
		fmt.Fprintf(b, "  at %.3fs: %s\n", violation.At.Seconds(), violation.Text)
	}
}
