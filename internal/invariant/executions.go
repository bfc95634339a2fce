package invariant

import (
	"time"

	"winghatch/decide"
)

// attemptKey identifies an attempt of a request.
type attemptKey struct {
	request string
	attempt int
}

// attempt is an attempt as observed by its server.
type attempt struct {
	Record                // the record of kind Received
	endedAt time.Duration // when its end became known to the gateway; at most its deadline
}

func (a *attempt) key() attemptKey { return attemptKey{a.Request, a.Attempt} }

// executions holds the attempts that servers received and what the servers did with them.
type executions struct {
	classes      map[string]decide.Class
	attempts     map[string][]*attempt // keyed by request, each list in the order of arrival
	runsByKey    map[string][]Record   // records of kind WorkStarted, by idempotency key
	runsByCallID map[string][]Record   // records of kind WorkStarted, by the client's ID of the call
	rejected     map[attemptKey]bool   // attempts that a server rejected without effect
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

// markEnded sets the end of the attempt that a record belongs to, if it ended earlier than known so far.
func (e *executions) markEnded(r Record) {
	for _, a := range e.attempts[r.Request] {
		if a.Attempt == r.Attempt {
			a.endedAt = min(a.endedAt, r.At)
			return
		}
	}
}

// checkExecutions checks rule 2:
//
//   - A request that is not idempotent is executed at most once.
//   - A further attempt is sent only to servers that drop duplicates, or after an attempt that ended without
//     effect.
//   - A call whose request may have taken effect is not answered as rejected.
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

// checkRuns adds a violation for each idempotency key that was executed more than once although its class is
// not idempotent.
func (c *checker) checkRuns(e *executions) {
	for key, runs := range e.runsByKey {
		class := e.classes[runs[0].Class]
		c.verdict.Checked[ruleExecutions]++
		if class.Idempotency == decide.NotIdempotent && len(runs) > 1 {
			c.addViolation(ruleExecutions, runs[1].At, "%s with key %s was executed %d times, at %s and %s",
				class.Name, key, len(runs), runs[0].Server, runs[1].Server)
		}
	}
}

// checkOverlap adds a violation if two attempts of a request were in flight at the same time in a fleet that
// does not send hedged requests.
func (c *checker) checkOverlap(e *executions, earlier, later *attempt) {
	if c.fleet.Decide.Limits.Hedging {
		return
	}
	if later.At+TransitAllowance+c.harnessStalledFor(earlier.At, later.At) < earlier.endedAt {
		class := e.classes[e.attempts[later.Request][0].Class]
		c.addViolation(ruleExecutions, later.At,
			"attempts %d and %d of request %s (%s) were in flight at once",
			earlier.Attempt, later.Attempt, later.Request, class.Name)
	}
}

// checkRepeat adds a violation if the request may take effect a second time through the later of two
// attempts.
func (c *checker) checkRepeat(e *executions, earlier, later *attempt) {
	class := e.classes[e.attempts[later.Request][0].Class]
	if e.rejected[earlier.key()] || class.Idempotency == decide.Idempotent {
		return
	}
	switch after := later.At - earlier.At; {
	case class.Idempotency == decide.NotIdempotent:
		c.addViolation(ruleExecutions, later.At,
			"attempt %d of request %s (%s) was sent although attempt %d may have been executed",
			later.Attempt, later.Request, class.Name, earlier.Attempt)
	case !inSameDedupScope(class.DedupScope, earlier, later):
		c.addViolation(ruleExecutions, later.At,
			"attempt %d of request %s (%s) was sent outside the deduplication scope",
			later.Attempt, later.Request, class.Name)
	case after > class.DedupWindow+TransitAllowance:
		c.addViolation(ruleExecutions, later.At,
			"attempt %d of request %s (%s) was sent %v after attempt %d, the deduplication window is %v",
			later.Attempt, later.Request, class.Name, after, earlier.Attempt, class.DedupWindow)
	}
}

// inSameDedupScope reports whether the servers of two attempts recognize each other's requests as duplicates.
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

// checkRejections adds a violation for each call that was answered as rejected although it was executed, if
// the client's next call would take effect again: a client may safely repeat a rejected call.
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
				c.addViolation(ruleExecutions, r.At,
					"call %s (%s) was answered as rejected although %s executed it",
					r.CallID, class.Name, run.Server)
			}
		}
	}
}
