package invariant

import (
	"fmt"
	"strings"
	"time"
)

// The rules, by their number in a verdict.
const (
	ruleAnswers    = 1
	ruleExecutions = 2
	ruleDrains     = 3
	ruleSlowStart  = 4
	ruleCeilings   = 5

	ruleCount = 5
)

// maxPrintedViolations is how many violations of each rule a verdict prints.
const maxPrintedViolations = 5

// RuleNames are the names of the rules, from index 1.
var RuleNames = [ruleCount + 1]string{
	ruleAnswers:    "no request lost",
	ruleExecutions: "no effect twice",
	ruleDrains:     "drains kept",
	ruleSlowStart:  "cold servers not pushed over",
	ruleCeilings:   "ceilings kept",
}

// Violation is one violation of a rule.
type Violation struct {
	Rule int           // index in RuleNames
	At   time.Duration // since the scenario began
	Text string
}

// Verdict is the result of a check.
type Verdict struct {
	Violations []Violation
	Checked    [ruleCount + 1]int // by rule: how many things could have violated it
}

// RulesKept is how many of the five rules have no violation.
func (v *Verdict) RulesKept() int {
	violated := map[int]bool{}
	for _, x := range v.Violations {
		violated[x.Rule] = true
	}
	return ruleCount - len(violated)
}

// String returns one line a rule, each followed by the rule's first violations, and a last line with the number of
// rules kept.
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
	for _, x := range v.Violations {
		if x.Rule == rule {
			violations = append(violations, x)
		}
	}
	state := "kept"
	if len(violations) > 0 {
		state = fmt.Sprintf("BROKEN %d times", len(violations))
	}
	fmt.Fprintf(b, "rule %d, %s: %s (%d looked at)\n", rule, RuleNames[rule], state, v.Checked[rule])
	for i, x := range violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(b, "  and %d more\n", len(violations)-i)
			break
		}
		fmt.Fprintf(b, "  at %.3fs: %s\n", x.At.Seconds(), x.Text)
	}
}
