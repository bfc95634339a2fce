package invariant

import (
	"time"

	"winghatch/decide"
)

// attemptKey names an attempt of a request.
type attemptKey struct {
	request string
	attempt int
}

// attempt is an attempt as its server saw it.
type attempt struct {
	Record                // of kind Received
	endedAt time.Duration // when the gateway could know its end: at its deadline at the latest
}

func (a *attempt) key() attemptKey { return attemptKey{a.Request, a.Attempt} }

// executions is what servers received and executed.
type executions struct {
	classes      map[string]decide.Class
	attempts     map[string][]*attempt // by request, in the order of their arrival
	runsByKey    map[string][]Record   // of kind WorkStarted, by idempotency key
	runsByCallID map[string][]Record   // of kind WorkStarted, by the client's ID of the call
	rejected     map[attemptKey]bool   // the server rejected it, without effect
}

func (c *checker) collectExecutions() *executions {
	e := &executions{
		classes:      map[string]decide.Class{},
		attempts:     map[string][]*attempt{},
		runsByKey:    map[string][]Record{},
		runsByCallID: map[string][]Record{},
		rejected:     map[attemptKey]bool{},
	}
	for _, class := range c.fleet.Decide.Classes {
		e.classes[class.Name] = class
	}
	for _, r := range c.records {
		switch r.Kind {
		case Received:
			e.attempts[r.Request] = append(e.attempts[r.Request], &attempt{r, r.Deadline})
		case WorkStarted:
			if r.Key != "" {
				e.runsByKey[r.Key] = append(e.runsByKey[r.Key], r)
			}
			e.runsByCallID[r.CallID] = append(e.runsByCallID[r.CallID], r)
		case ServerRejected:
			e.rejected[attemptKey{r.Request, r.Attempt}] = true
			e.markEnded(r)
		case ServerAnswered, Cancelled:
			e.markEnded(r)
		}
	}
	return e
}

// end notes that the attempt of a record has ended.
func (e *executions) markEnded(r Record) {
	for _, a := range e.attempts[r.Request] {
		if a.Attempt == r.Attempt {
			a.endedAt = min(a.endedAt, r.At)
			return
		}
	}
}

// checkExecutions checks rule 2: a request that is not idempotent runs once; further attempts are sent only where
// servers drop repeats, or after an end without effect; nothing is rejected that may have had its effect.
func (c *checker) checkExecutions() {
	e := c.collectExecutions()
	c.checkRuns(e)
	for _, attempts := range e.attempts {
		for i, later := range attempts[1:] {
			for _, earlier := range attempts[:i+1] {
				c.checkOverlap(e, earlier, later)
				c.checkRepeat(e, earlier, later)
			}
		}
	}
	c.checkRejections(e)
}

// checkRuns finds keys of classes that are not idempotent with more than one run.
func (c *checker) checkRuns(e *executions) {
	for key, runs := range e.runsByKey {
		class := e.classes[runs[0].Class]
		c.verdict.Checked[ruleExecutions]++
		if class.Idempotency == decide.NotIdempotent && len(runs) > 1 {
			c.addViolation(ruleExecutions, runs[1].At, "%s with key %s ran %d times, at %s and %s",
				class.Name, key, len(runs), runs[0].Server, runs[1].Server)
		}
	}
}

// checkOverlap finds two attempts in flight at once in a fleet that does not hedge.
func (c *checker) checkOverlap(e *executions, earlier, later *attempt) {
	if c.fleet.Decide.Limits.Hedging {
		return
	}
	if later.At+TransitAllowance+c.harnessStalledFor(earlier.At, later.At) < earlier.endedAt {
		class := e.classes[e.attempts[later.Request][0].Class]
		c.addViolation(ruleExecutions, later.At, "attempts %d and %d of %s (%s) were in flight at once",
			earlier.Attempt, later.Attempt, later.Request, class.Name)
	}
}

// checkRepeat finds a further attempt that may have its effect a second time.
func (c *checker) checkRepeat(e *executions, earlier, later *attempt) {
	class := e.classes[e.attempts[later.Request][0].Class]
	if e.rejected[earlier.key()] || class.Idempotency == decide.Idempotent {
		return
	}
	switch after := later.At - earlier.At; {
	case class.Idempotency == decide.NotIdempotent:
		c.addViolation(ruleExecutions, later.At, "attempt %d of %s (%s) was sent though attempt %d may have run",
			later.Attempt, later.Request, class.Name, earlier.Attempt)
	case !inSameDedupScope(class.DedupScope, earlier, later):
		c.addViolation(ruleExecutions, later.At, "attempt %d of %s (%s) left the servers that drop its repeats",
			later.Attempt, later.Request, class.Name)
	case after > class.DedupWindow+TransitAllowance:
		c.addViolation(ruleExecutions, later.At, "attempt %d of %s (%s) was sent %v after attempt %d, the window is %v",
			later.Attempt, later.Request, class.Name, after, earlier.Attempt, class.DedupWindow)
	}
}

// deduplicated reports whether the servers of two attempts drop each other's repeats.
func inSameDedupScope(scope decide.DedupScope, earlier, later *attempt) bool {
	switch scope {
	case decide.DedupInFleet:
		return true
	case decide.DedupInZone:
		return later.Zone == earlier.Zone
	case decide.DedupInCell:
		return later.Cell == earlier.Cell
	}
	return false
}

// checkRejections finds calls that were answered as rejected though they ran, where a client's next call would have the
// effect again.
func (c *checker) checkRejections(e *executions) {
	for _, r := range c.records {
		if r.Kind != Answer || r.Answer != "refused" {
			continue
		}
		c.verdict.Checked[ruleExecutions]++
		for _, run := range e.runsByCallID[r.CallID] {
			class := e.classes[run.Class]
			if class.Idempotency == decide.NotIdempotent ||
				class.Idempotency == decide.IdempotentByKey && class.DedupScope != decide.DedupInFleet {
				c.addViolation(ruleExecutions, r.At, "call %s (%s) was rejected though it ran at %s", r.CallID, class.Name, run.Server)
			}
		}
	}
}
