package invariant

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
)

// Breach is one thing that broke a rule.
type Violation struct {
	Rule int
	At   time.Duration
	Text string
}

// Verdict is the judge's.
type Verdict struct {
	Violations []Violation
	Checked    [6]int // by rule: how many things could have broken it
}

// Names of the rules, from 1.
var RuleNames = [6]string{1: "no request lost", 2: "no effect twice", 3: "drains kept", 4: "cold servers not pushed over",
	5: "ceilings kept"}

// Spread is how long a change of plan may take to all gateways, as docs/plans.md states it.
const PlanChangeDelay = 2 * time.Second

// Kept is how many of the five rules no breach was found of.
func (v *Verdict) RulesKept() int {
	broken := map[int]bool{}
	for _, b := range v.Violations {
		broken[b.Rule] = true
	}
	return 5 - len(broken)
}

// String is a line a rule, and the first breaches of each.
func (v *Verdict) String() string {
	var b strings.Builder
	for rule := 1; rule <= 5; rule++ {
		var of []Violation
		for _, x := range v.Violations {
			if x.Rule == rule {
				of = append(of, x)
			}
		}
		word := "kept"
		if len(of) > 0 {
			word = fmt.Sprintf("BROKEN %d times", len(of))
		}
		fmt.Fprintf(&b, "rule %d, %s: %s (%d looked at)\n", rule, RuleNames[rule], word, v.Checked[rule])
		for i, x := range of {
			if i == 5 {
				fmt.Fprintf(&b, "  and %d more\n", len(of)-i)
				break
			}
			fmt.Fprintf(&b, "  at %.3fs: %s\n", x.At.Seconds(), x.Text)
		}
	}
	fmt.Fprintf(&b, "rules kept: %d of 5\n", v.RulesKept())
	return b.String()
}

// Transit is what the judge allows for the way between a gateway's decision and the bytes at the other end,
// and for the scheduling of the processes on one machine. Times that the day's own process stood still
// are added where they fall.
const TransitAllowance = 150 * time.Millisecond

type checker struct {
	fleet   *config.Fleet
	records []Record
	verdict Verdict
	stalls  []Record // of the day's own process
	outages []outage // when each gateway did not run
}

type outage struct {
	gateway  int
	from, to time.Duration
	stopped  bool // else killed
}

// Judge looks for breaches of the five rules in the records of a day.
func Check(f *config.Fleet, recs []Record) *Verdict {
	j := &checker{fleet: f, records: append([]Record(nil), recs...)}
	sort.SliceStable(j.records, func(a, b int) bool { return j.records[a].At < j.records[b].At })
	j.collectOutages()
	j.checkAnswers()
	j.checkExecutions()
	j.checkDrains()
	j.checkSlowStart()
	j.checkCeilings()
	sort.SliceStable(j.verdict.Violations, func(a, b int) bool { return j.verdict.Violations[a].At < j.verdict.Violations[b].At })
	return &j.verdict
}

func (j *checker) violation(rule int, at time.Duration, format string, args ...any) {
	j.verdict.Violations = append(j.verdict.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// processes gathers when gateways did not run.
func (j *checker) collectOutages() {
	begun := map[int]outage{}
	for _, r := range j.records {
		switch {
		case r.Kind == HarnessStalled:
			j.stalls = append(j.stalls, r)
		case r.Kind != ProcessChanged:
		case r.State == "kill" || r.State == "stop":
			begun[r.Gateway] = outage{r.Gateway, r.At, math.MaxInt64, r.State == "stop"}
		case r.State == "up" || r.State == "cont":
			if s, ok := begun[r.Gateway]; ok {
				s.to = r.At
				j.outages = append(j.outages, s)
				delete(begun, r.Gateway)
			}
		}
	}
	for _, s := range begun {
		j.outages = append(j.outages, s)
	}
}

// stalled is how long the day's own process, or the gateway's by a stop of the day, stood still in a span.
func (j *checker) stalledFor(gateway int, from, to time.Duration) time.Duration {
	d := j.harnessStalledFor(from, to)
	for _, s := range j.outages {
		if s.stopped && s.gateway == gateway && s.from < to && s.to > from {
			d += min(s.to, to) - max(s.from, from)
		}
	}
	return d
}

// lateIn is how long the day's own process alone did.
func (j *checker) harnessStalledFor(from, to time.Duration) (d time.Duration) {
	for _, r := range j.stalls {
		if r.At > from && r.At-r.Duration < to {
			d += r.Duration
		}
	}
	return d
}

func (j *checker) killed(gateway int, from, to time.Duration) bool {
	for _, s := range j.outages {
		if !s.stopped && s.gateway == gateway && s.from <= to && s.to >= from {
			return true
		}
	}
	return false
}

type clientCall struct {
	Record
	answers []Record
	unsent  bool // never written
}

// calls gathers the calls of clients with their answers, and the ends of sessions.
func (j *checker) collectCalls() (order []*clientCall, ends map[string]Record) {
	calls := map[string]*clientCall{}
	ends = map[string]Record{}
	for _, r := range j.records {
		key := r.Session + " " + r.CallID
		switch r.Kind {
		case Call:
			c := &clientCall{Record: r}
			calls[key] = c
			order = append(order, c)
		case Answer:
			if c := calls[key]; c != nil {
				c.answers = append(c.answers, r)
			} else {
				j.violation(1, r.At, "an answer to a call that was not made: session %s, id %q, %s", r.Session, r.CallID, r.Answer)
			}
		case Cancelled:
			if c := calls[key]; c != nil && r.Session != "" {
				c.unsent = true
			}
		case SessionClosed, ClientLeft:
			if _, ok := ends[r.Session]; !ok {
				ends[r.Session] = r
			}
		}
	}
	return order, ends
}

// lost judges rule 1: exactly one final answer for each call of a session that a running gateway took, in time.
func (j *checker) checkAnswers() {
	order, ends := j.collectCalls()
	slack := j.fleet.Decide.Safety.AnswerSlack
	last := time.Duration(0)
	if n := len(j.records); n > 0 {
		last = j.records[n-1].At
	}
	for _, c := range order {
		j.verdict.Checked[1]++
		who := fmt.Sprintf("call %s of session %s (%s)", c.CallID, c.Session, c.Class)
		end, ended := ends[c.Session]
		switch {
		case len(c.answers) > 1:
			j.violation(1, c.answers[1].At, "%s has %d final answers", who, len(c.answers))
		case len(c.answers) == 1:
			a := c.answers[0]
			if a.Answer == "invalid" || a.Answer == "malformed" {
				j.violation(1, a.At, "%s was answered as %s: %s", who, a.Answer, a.State)
			}
			if over := a.At - c.Deadline - slack; over > TransitAllowance+j.stalledFor(c.Gateway, c.At, a.At) {
				j.violation(1, a.At, "%s was answered %v after its deadline", who, over+slack)
			}
			if most := j.fleet.Decide.Limits.MaxRetryAfter; a.Duration > most {
				j.violation(1, a.At, "%s was told to come back after %v, %v at most", who, a.Duration, most)
			}
		case c.unsent, ended && end.Kind == ClientLeft && end.At < c.Deadline+slack+TransitAllowance:
		case j.killed(c.Gateway, c.At, c.Deadline+slack):
		case ended && end.At < c.Deadline && end.Code == 1001 && end.At-c.At < time.Second:
			// It crossed the gateway's close frame: the gateway read nothing of it.
		case c.Deadline+slack+TransitAllowance+j.stalledFor(c.Gateway, c.At, c.Deadline) > last:
			// The day ended before its time was up.
		default:
			j.violation(1, c.Deadline, "%s has no final answer", who)
		}
	}
}

// twice judges rule 2: executions by effect, group and window; overlaps; refusals of what ran.
func (j *checker) checkExecutions() {
	type part struct {
		Record
		ended time.Duration
	}
	byRequest := map[string][]*part{}
	runs := map[string][]Record{}  // by key
	ranOf := map[string][]Record{} // by a client's try
	turned := map[string]bool{}    // request and attempt
	class := map[string]decide.Class{}
	for _, k := range j.fleet.Decide.Classes {
		class[k.Name] = k
	}
	find := func(r Record) *part {
		for _, p := range byRequest[r.Request] {
			if p.Attempt == r.Attempt {
				return p
			}
		}
		return nil
	}
	for _, r := range j.records {
		switch r.Kind {
		case Received:
			byRequest[r.Request] = append(byRequest[r.Request], &part{r, r.Deadline})
		case WorkStarted:
			if r.Key != "" {
				runs[r.Key] = append(runs[r.Key], r)
			}
			ranOf[r.CallID] = append(ranOf[r.CallID], r)
		case ServerRejected, ServerAnswered, Cancelled:
			if p := find(r); p != nil {
				p.ended = min(p.ended, r.At)
			}
			if r.Kind == ServerRejected {
				turned[fmt.Sprint(r.Request, r.Attempt)] = true
			}
		}
	}
	for key, rs := range runs {
		k := class[rs[0].Class]
		j.verdict.Checked[2]++
		if k.Idempotency == decide.NotIdempotent && len(rs) > 1 {
			j.violation(2, rs[1].At, "%s with key %s ran %d times, at %s and %s", k.Name, key, len(rs), rs[0].Server, rs[1].Server)
		}
	}
	for id, parts := range byRequest {
		k := class[parts[0].Class]
		for i, p := range parts[1:] {
			for _, before := range parts[:i+1] {
				if !j.fleet.Decide.Limits.Hedging && p.At+TransitAllowance+j.harnessStalledFor(before.At, p.At) < before.ended {
					j.violation(2, p.At, "attempts %d and %d of %s (%s) were out at once", before.Attempt, p.Attempt, id, k.Name)
				}
				if turned[fmt.Sprint(before.Request, before.Attempt)] || k.Idempotency == decide.Idempotent {
					continue
				}
				same := k.DedupScope == decide.DedupInFleet || k.DedupScope == decide.DedupInZone && p.Zone == before.Zone ||
					k.DedupScope == decide.DedupInCell && p.Cell == before.Cell
				switch {
				case k.Idempotency == decide.NotIdempotent:
					j.violation(2, p.At, "attempt %d of %s (%s) was sent though attempt %d may have run", p.Attempt, id, k.Name,
						before.Attempt)
				case !same:
					j.violation(2, p.At, "attempt %d of %s (%s) left the group that drops its repeats", p.Attempt, id, k.Name)
				case p.At-before.At > k.DedupWindow+TransitAllowance:
					j.violation(2, p.At, "attempt %d of %s (%s) was sent %v after attempt %d, the window is %v", p.Attempt, id, k.Name,
						p.At-before.At, before.Attempt, k.DedupWindow)
				}
			}
		}
	}
	for _, r := range j.records {
		if r.Kind != Answer || r.Answer != "refused" {
			continue
		}
		j.verdict.Checked[2]++
		for _, run := range ranOf[r.CallID] {
			k := class[run.Class]
			if k.Idempotency == decide.NotIdempotent || k.Idempotency == decide.IdempotentByKey && k.DedupScope != decide.DedupInFleet {
				j.violation(2, r.At, "try %s (%s) was refused though it ran at %s", r.CallID, k.Name, run.Server)
			}
		}
	}
}

// entry finds through which gateway the try of an arrival came, by what its client wrote.
func (j *checker) gatewayOfCalls() map[string]int {
	at := map[string]int{}
	for _, r := range j.records {
		if r.Kind == Call {
			at[r.CallID] = r.Gateway
		}
	}
	return at
}

// drains judges rule 3: nothing new to a node later than the grace after the gateway was told.
func (j *checker) checkDrains() {
	at := j.gatewayOfCalls()
	type pair struct {
		gateway int
		node    string
	}
	told := map[pair]time.Duration{}
	for _, r := range j.records {
		switch r.Kind {
		case EndpointSent:
			p := pair{r.Gateway, r.Server}
			if r.State == "serving" {
				delete(told, p)
			} else if _, ok := told[p]; !ok {
				told[p] = r.At
			}
		case ProcessChanged:
			// A gateway that starts anew knows no more than its last list.
			if r.State == "up" {
				for p := range told {
					if p.gateway == r.Gateway {
						delete(told, p)
					}
				}
			}
		case Received:
			j.verdict.Checked[3]++
			g, known := at[r.CallID]
			if !known {
				continue
			}
			if since, ok := told[pair{g, r.Server}]; ok {
				over := r.At - since - j.fleet.Decide.Safety.DrainGrace
				if over > TransitAllowance+j.stalledFor(g, since, r.At) {
					j.violation(3, r.At, "gateway %d sent %s (%s) to %s, %v after it was told that it drains or is gone", g, r.Request,
						r.Class, r.Server, r.At-since)
				}
			}
		}
	}
}

// cold judges rule 4: work that reaches a cold node within any window, of all gateways together.
func (j *checker) checkSlowStart() {
	s := j.fleet.Decide.Safety
	if s.OverloadWindow <= 0 || s.OverloadMultiple <= 0 {
		return
	}
	starts := map[string]Record{}
	sent := map[string][]Record{}
	for _, r := range j.records {
		switch r.Kind {
		case SlowStarted:
			starts[r.Server], sent[r.Server] = r, nil
		case Overloaded:
			j.violation(4, r.At, "%s fell over", r.Server)
		case Received:
			c, ok := starts[r.Server]
			if !ok || r.At > c.At+c.Duration {
				continue
			}
			j.verdict.Checked[4]++
			list := append(sent[r.Server], r)
			for r.At-list[0].At > s.OverloadWindow {
				list = list[1:]
			}
			sent[r.Server] = list
			sum, largest := 0.0, 0.0
			for _, x := range list {
				sum += x.Work.Seconds()
				largest = max(largest, x.Work.Seconds())
			}
			ramp := min(1, c.InitialCapacity+(1-c.InitialCapacity)*(r.At-c.At).Seconds()/c.Duration.Seconds())
			// Chance: work is drawn, so the largest call of the window is let off.
			if bound := s.OverloadMultiple*ramp*c.Capacity*s.OverloadWindow.Seconds() + largest; sum > bound {
				j.violation(4, r.At, "%s got %.2f s of work within %v, it bears %.2f s", r.Server, sum, s.OverloadWindow, bound)
			}
		}
	}
}

// ceilings judges rule 5: units passed on for a customer against its ceiling, each request once.
func (j *checker) checkCeilings() {
	plans := map[string]decide.Plan{}
	for _, p := range j.fleet.Decide.Plans {
		plans[p.Name] = p
	}
	of := map[string]decide.Plan{}
	for _, m := range j.fleet.Members {
		of[m.Name] = plans[m.Plan]
	}
	type store struct {
		units float64
		at    time.Duration
	}
	// A change of plan is known to one gateway at once, to all within Spread: meanwhile the larger ceiling counts.
	type change struct {
		until    time.Duration
		old, new decide.Plan
	}
	changes := map[string]change{}
	stores := map[string]*store{}
	passed := map[string]bool{}
	for _, r := range j.records {
		if r.Kind == PlanChanged {
			changes[r.Member] = change{r.At + PlanChangeDelay, of[r.Member], plans[r.State]}
			if old, p := of[r.Member], plans[r.State]; old.CeilingRate > 0 && (p.CeilingRate == 0 || p.CeilingRate > old.CeilingRate) {
				of[r.Member] = p
			}
		}
		if r.Kind != Received || passed[r.Request] {
			continue
		}
		passed[r.Request] = true
		if c, ok := changes[r.Member]; ok && r.At >= c.until {
			delete(changes, r.Member)
			if of[r.Member] = c.new; c.old.CeilingRate != c.new.CeilingRate {
				delete(stores, r.Member)
			}
		}
		p := of[r.Member]
		if p.CeilingRate == 0 {
			continue
		}
		j.verdict.Checked[5]++
		s := stores[r.Member]
		if s == nil {
			s = &store{p.CeilingBurst, r.At}
			stores[r.Member] = s
		}
		s.units = min(p.CeilingBurst, s.units+p.CeilingRate*(r.At-s.at).Seconds()) - r.Units
		s.at = r.At
		// What was sent some way before it arrived was sent when less had filled; the store is let off that much.
		if slack := max(p.CeilingSlack, 0) + p.CeilingRate*TransitAllowance.Seconds(); s.units < -slack-1e-6 {
			j.violation(5, r.At, "%s is %.1f units under its ceiling's store, the slack is %.1f", r.Member, -s.units, p.CeilingSlack)
		}
	}
}
