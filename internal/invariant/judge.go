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
type Breach struct {
	Rule int
	At   time.Duration
	Text string
}

// Verdict is the judge's.
type Verdict struct {
	Breaches []Breach
	Seen     [6]int // by rule: how many things could have broken it
}

// Names of the rules, from 1.
var Names = [6]string{1: "no request lost", 2: "no effect twice", 3: "drains kept", 4: "cold servers not pushed over",
	5: "ceilings kept"}

// Spread is how long a change of plan may take to all gateways, as docs/plans.md states it.
const Spread = 2 * time.Second

// Kept is how many of the five rules no breach was found of.
func (v *Verdict) Kept() int {
	broken := map[int]bool{}
	for _, b := range v.Breaches {
		broken[b.Rule] = true
	}
	return 5 - len(broken)
}

// String is a line a rule, and the first breaches of each.
func (v *Verdict) String() string {
	var b strings.Builder
	for rule := 1; rule <= 5; rule++ {
		var of []Breach
		for _, x := range v.Breaches {
			if x.Rule == rule {
				of = append(of, x)
			}
		}
		word := "kept"
		if len(of) > 0 {
			word = fmt.Sprintf("BROKEN %d times", len(of))
		}
		fmt.Fprintf(&b, "rule %d, %s: %s (%d looked at)\n", rule, Names[rule], word, v.Seen[rule])
		for i, x := range of {
			if i == 5 {
				fmt.Fprintf(&b, "  and %d more\n", len(of)-i)
				break
			}
			fmt.Fprintf(&b, "  at %.3fs: %s\n", x.At.Seconds(), x.Text)
		}
	}
	fmt.Fprintf(&b, "rules kept: %d of 5\n", v.Kept())
	return b.String()
}

// Transit is what the judge allows for the way between a gateway's decision and the bytes at the other end,
// and for the scheduling of the processes on one machine. Times that the day's own process stood still
// are added where they fall.
const Transit = 150 * time.Millisecond

type judge struct {
	f    *config.Fleet
	recs []Record
	v    Verdict
	late []Record // of the day's own process
	down []span   // when each gateway did not run
}

type span struct {
	gateway  int
	from, to time.Duration
	stopped  bool // else killed
}

// Judge looks for breaches of the five rules in the records of a day.
func Judge(f *config.Fleet, recs []Record) *Verdict {
	j := &judge{f: f, recs: append([]Record(nil), recs...)}
	sort.SliceStable(j.recs, func(a, b int) bool { return j.recs[a].T < j.recs[b].T })
	j.processes()
	j.lost()
	j.twice()
	j.drains()
	j.cold()
	j.ceilings()
	sort.SliceStable(j.v.Breaches, func(a, b int) bool { return j.v.Breaches[a].At < j.v.Breaches[b].At })
	return &j.v
}

func (j *judge) breach(rule int, at time.Duration, format string, args ...any) {
	j.v.Breaches = append(j.v.Breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
}

// processes gathers when gateways did not run.
func (j *judge) processes() {
	begun := map[int]span{}
	for _, r := range j.recs {
		switch {
		case r.K == Late:
			j.late = append(j.late, r)
		case r.K != Process:
		case r.State == "kill" || r.State == "stop":
			begun[r.Gateway] = span{r.Gateway, r.T, math.MaxInt64, r.State == "stop"}
		case r.State == "up" || r.State == "cont":
			if s, ok := begun[r.Gateway]; ok {
				s.to = r.T
				j.down = append(j.down, s)
				delete(begun, r.Gateway)
			}
		}
	}
	for _, s := range begun {
		j.down = append(j.down, s)
	}
}

// stalled is how long the day's own process, or the gateway's by a stop of the day, stood still in a span.
func (j *judge) stalled(gateway int, from, to time.Duration) time.Duration {
	d := j.lateIn(from, to)
	for _, s := range j.down {
		if s.stopped && s.gateway == gateway && s.from < to && s.to > from {
			d += min(s.to, to) - max(s.from, from)
		}
	}
	return d
}

// lateIn is how long the day's own process alone did.
func (j *judge) lateIn(from, to time.Duration) (d time.Duration) {
	for _, r := range j.late {
		if r.T > from && r.T-r.For < to {
			d += r.For
		}
	}
	return d
}

func (j *judge) killed(gateway int, from, to time.Duration) bool {
	for _, s := range j.down {
		if !s.stopped && s.gateway == gateway && s.from <= to && s.to >= from {
			return true
		}
	}
	return false
}

type asked struct {
	Record
	answers []Record
	undone  bool // never written
}

// calls gathers the calls of clients with their answers, and the ends of sessions.
func (j *judge) calls() (order []*asked, ends map[string]Record) {
	calls := map[string]*asked{}
	ends = map[string]Record{}
	for _, r := range j.recs {
		key := r.Session + " " + r.Try
		switch r.K {
		case Call:
			c := &asked{Record: r}
			calls[key] = c
			order = append(order, c)
		case Answer:
			if c := calls[key]; c != nil {
				c.answers = append(c.answers, r)
			} else {
				j.breach(1, r.T, "an answer to a call that was not made: session %s, id %q, %s", r.Session, r.Try, r.Answer)
			}
		case Withdrawn:
			if c := calls[key]; c != nil && r.Session != "" {
				c.undone = true
			}
		case Down, Leave:
			if _, ok := ends[r.Session]; !ok {
				ends[r.Session] = r
			}
		}
	}
	return order, ends
}

// lost judges rule 1: exactly one final answer for each call of a session that a running gateway took, in time.
func (j *judge) lost() {
	order, ends := j.calls()
	slack := j.f.Decide.Safety.AnswerSlack
	last := time.Duration(0)
	if n := len(j.recs); n > 0 {
		last = j.recs[n-1].T
	}
	for _, c := range order {
		j.v.Seen[1]++
		who := fmt.Sprintf("call %s of session %s (%s)", c.Try, c.Session, c.Class)
		end, ended := ends[c.Session]
		switch {
		case len(c.answers) > 1:
			j.breach(1, c.answers[1].T, "%s has %d final answers", who, len(c.answers))
		case len(c.answers) == 1:
			a := c.answers[0]
			if a.Answer == "invalid" || a.Answer == "malformed" {
				j.breach(1, a.T, "%s was answered as %s: %s", who, a.Answer, a.State)
			}
			if over := a.T - c.Deadline - slack; over > Transit+j.stalled(c.Gateway, c.T, a.T) {
				j.breach(1, a.T, "%s was answered %v after its deadline", who, over+slack)
			}
			if most := j.f.Decide.Limits.MaxRetryAfter; a.For > most {
				j.breach(1, a.T, "%s was told to come back after %v, %v at most", who, a.For, most)
			}
		case c.undone, ended && end.K == Leave && end.T < c.Deadline+slack+Transit:
		case j.killed(c.Gateway, c.T, c.Deadline+slack):
		case ended && end.T < c.Deadline && end.Code == 1001 && end.T-c.T < time.Second:
			// It crossed the gateway's close frame: the gateway read nothing of it.
		case c.Deadline+slack+Transit+j.stalled(c.Gateway, c.T, c.Deadline) > last:
			// The day ended before its time was up.
		default:
			j.breach(1, c.Deadline, "%s has no final answer", who)
		}
	}
}

// twice judges rule 2: executions by effect, group and window; overlaps; refusals of what ran.
func (j *judge) twice() {
	type part struct {
		Record
		ended time.Duration
	}
	byRequest := map[string][]*part{}
	runs := map[string][]Record{}  // by key
	ranOf := map[string][]Record{} // by a client's try
	turned := map[string]bool{}    // request and attempt
	class := map[string]decide.Class{}
	for _, k := range j.f.Decide.Classes {
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
	for _, r := range j.recs {
		switch r.K {
		case Arrive:
			byRequest[r.Request] = append(byRequest[r.Request], &part{r, r.Deadline})
		case Run:
			if r.Key != "" {
				runs[r.Key] = append(runs[r.Key], r)
			}
			ranOf[r.Try] = append(ranOf[r.Try], r)
		case Turned, Replied, Withdrawn:
			if p := find(r); p != nil {
				p.ended = min(p.ended, r.T)
			}
			if r.K == Turned {
				turned[fmt.Sprint(r.Request, r.Attempt)] = true
			}
		}
	}
	for key, rs := range runs {
		k := class[rs[0].Class]
		j.v.Seen[2]++
		if k.Idempotency == decide.NotIdempotent && len(rs) > 1 {
			j.breach(2, rs[1].T, "%s with key %s ran %d times, at %s and %s", k.Name, key, len(rs), rs[0].Node, rs[1].Node)
		}
	}
	for id, parts := range byRequest {
		k := class[parts[0].Class]
		for i, p := range parts[1:] {
			for _, before := range parts[:i+1] {
				if !j.f.Decide.Limits.Hedging && p.T+Transit+j.lateIn(before.T, p.T) < before.ended {
					j.breach(2, p.T, "attempts %d and %d of %s (%s) were out at once", before.Attempt, p.Attempt, id, k.Name)
				}
				if turned[fmt.Sprint(before.Request, before.Attempt)] || k.Idempotency == decide.Idempotent {
					continue
				}
				same := k.DedupScope == decide.DedupInFleet || k.DedupScope == decide.DedupInZone && p.Zone == before.Zone ||
					k.DedupScope == decide.DedupInCell && p.Cell == before.Cell
				switch {
				case k.Idempotency == decide.NotIdempotent:
					j.breach(2, p.T, "attempt %d of %s (%s) was sent though attempt %d may have run", p.Attempt, id, k.Name,
						before.Attempt)
				case !same:
					j.breach(2, p.T, "attempt %d of %s (%s) left the group that drops its repeats", p.Attempt, id, k.Name)
				case p.T-before.T > k.DedupWindow+Transit:
					j.breach(2, p.T, "attempt %d of %s (%s) was sent %v after attempt %d, the window is %v", p.Attempt, id, k.Name,
						p.T-before.T, before.Attempt, k.DedupWindow)
				}
			}
		}
	}
	for _, r := range j.recs {
		if r.K != Answer || r.Answer != "refused" {
			continue
		}
		j.v.Seen[2]++
		for _, run := range ranOf[r.Try] {
			k := class[run.Class]
			if k.Idempotency == decide.NotIdempotent || k.Idempotency == decide.IdempotentByKey && k.DedupScope != decide.DedupInFleet {
				j.breach(2, r.T, "try %s (%s) was refused though it ran at %s", r.Try, k.Name, run.Node)
			}
		}
	}
}

// entry finds through which gateway the try of an arrival came, by what its client wrote.
func (j *judge) entry() map[string]int {
	at := map[string]int{}
	for _, r := range j.recs {
		if r.K == Call {
			at[r.Try] = r.Gateway
		}
	}
	return at
}

// drains judges rule 3: nothing new to a node later than the grace after the gateway was told.
func (j *judge) drains() {
	at := j.entry()
	type pair struct {
		gateway int
		node    string
	}
	told := map[pair]time.Duration{}
	for _, r := range j.recs {
		switch r.K {
		case Told:
			p := pair{r.Gateway, r.Node}
			if r.State == "serving" {
				delete(told, p)
			} else if _, ok := told[p]; !ok {
				told[p] = r.T
			}
		case Process:
			// A gateway that starts anew knows no more than its last list.
			if r.State == "up" {
				for p := range told {
					if p.gateway == r.Gateway {
						delete(told, p)
					}
				}
			}
		case Arrive:
			j.v.Seen[3]++
			g, known := at[r.Try]
			if !known {
				continue
			}
			if since, ok := told[pair{g, r.Node}]; ok {
				over := r.T - since - j.f.Decide.Safety.DrainGrace
				if over > Transit+j.stalled(g, since, r.T) {
					j.breach(3, r.T, "gateway %d sent %s (%s) to %s, %v after it was told that it drains or is gone", g, r.Request,
						r.Class, r.Node, r.T-since)
				}
			}
		}
	}
}

// cold judges rule 4: work that reaches a cold node within any window, of all gateways together.
func (j *judge) cold() {
	s := j.f.Decide.Safety
	if s.OverloadWindow <= 0 || s.OverloadMultiple <= 0 {
		return
	}
	starts := map[string]Record{}
	sent := map[string][]Record{}
	for _, r := range j.recs {
		switch r.K {
		case Cold:
			starts[r.Node], sent[r.Node] = r, nil
		case Fell:
			j.breach(4, r.T, "%s fell over", r.Node)
		case Arrive:
			c, ok := starts[r.Node]
			if !ok || r.T > c.T+c.For {
				continue
			}
			j.v.Seen[4]++
			list := append(sent[r.Node], r)
			for r.T-list[0].T > s.OverloadWindow {
				list = list[1:]
			}
			sent[r.Node] = list
			sum, largest := 0.0, 0.0
			for _, x := range list {
				sum += x.Work.Seconds()
				largest = max(largest, x.Work.Seconds())
			}
			ramp := min(1, c.From+(1-c.From)*(r.T-c.T).Seconds()/c.For.Seconds())
			// Chance: work is drawn, so the largest call of the window is let off.
			if bound := s.OverloadMultiple*ramp*c.Capacity*s.OverloadWindow.Seconds() + largest; sum > bound {
				j.breach(4, r.T, "%s got %.2f s of work within %v, it bears %.2f s", r.Node, sum, s.OverloadWindow, bound)
			}
		}
	}
}

// ceilings judges rule 5: units passed on for a customer against its ceiling, each request once.
func (j *judge) ceilings() {
	plans := map[string]decide.Plan{}
	for _, p := range j.f.Decide.Plans {
		plans[p.Name] = p
	}
	of := map[string]decide.Plan{}
	for _, m := range j.f.Members {
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
	for _, r := range j.recs {
		if r.K == Terms {
			changes[r.Member] = change{r.T + Spread, of[r.Member], plans[r.State]}
			if old, p := of[r.Member], plans[r.State]; old.CeilingRate > 0 && (p.CeilingRate == 0 || p.CeilingRate > old.CeilingRate) {
				of[r.Member] = p
			}
		}
		if r.K != Arrive || passed[r.Request] {
			continue
		}
		passed[r.Request] = true
		if c, ok := changes[r.Member]; ok && r.T >= c.until {
			delete(changes, r.Member)
			if of[r.Member] = c.new; c.old.CeilingRate != c.new.CeilingRate {
				delete(stores, r.Member)
			}
		}
		p := of[r.Member]
		if p.CeilingRate == 0 {
			continue
		}
		j.v.Seen[5]++
		s := stores[r.Member]
		if s == nil {
			s = &store{p.CeilingBurst, r.T}
			stores[r.Member] = s
		}
		s.units = min(p.CeilingBurst, s.units+p.CeilingRate*(r.T-s.at).Seconds()) - r.Units
		s.at = r.T
		// What was sent some way before it arrived was sent when less had filled; the store is let off that much.
		if slack := max(p.CeilingSlack, 0) + p.CeilingRate*Transit.Seconds(); s.units < -slack-1e-6 {
			j.breach(5, r.T, "%s is %.1f units under its ceiling's store, the slack is %.1f", r.Member, -s.units, p.CeilingSlack)
		}
	}
}
