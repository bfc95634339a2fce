package invariant

import (
	"fmt"
	"time"

	"winghatch/internal/websocket"
)

// closeCrossingAllowance is the longest time between a client's write of a call and its read of the gateway's
// close frame for which the two are assumed to have crossed on the wire. The gateway then never read the
// call.
const closeCrossingAllowance = time.Second

// clientCall is a call as observed by its client.
type clientCall struct {
	Record
	answers      []Record
	neverWritten bool // the call was cancelled before the client wrote it
}

// callKey identifies a call. Call IDs are unique only within a session.
type callKey struct{ session, callID string }

// collectCalls returns the calls of all clients with their answers, sorted by the time of the call, and for
// each session that ended the first record of its end. It adds a violation for each answer to an unknown
// call.
func (c *checker) collectCalls() (calls []*clientCall, ends map[string]Record) {
	byKey := map[callKey]*clientCall{}
	ends = map[string]Record{}
	for _, r := range c.records {
		key := callKey{r.Session, r.CallID}
		switch r.Kind {
		case Call:
			call := &clientCall{Record: r}
			byKey[key] = call
			calls = append(calls, call)
		case Answer:
			if call := byKey[key]; call != nil {
				call.answers = append(call.answers, r)
			} else {
				c.addViolation(ruleAnswers, r.At, "answer to an unknown call: session %s, id %q, answer %s",
					r.Session, r.CallID, r.Answer)
			}
		case Cancelled:
			// Only the records of clients have a session; servers record the cancellation of attempts.
			if call := byKey[key]; call != nil && r.Session != "" {
				call.neverWritten = true
			}
		case SessionClosed, ClientLeft:
			if _, ok := ends[r.Session]; !ok {
				ends[r.Session] = r
			}
		}
	}
	return calls, ends
}

// checkAnswers checks rule 1: each call of a session that a running gateway accepted gets exactly one final
// answer, in time.
func (c *checker) checkAnswers() {
	calls, ends := c.collectCalls()
	for _, call := range calls {
		c.verdict.Checked[ruleAnswers]++
		name := fmt.Sprintf("call %s of session %s (%s)", call.CallID, call.Session, call.Class)
		end, ended := ends[call.Session]
		switch {
		case len(call.answers) > 1:
			c.addViolation(ruleAnswers, call.answers[1].At, "%s has %d final answers, want 1",
				name, len(call.answers))
		case len(call.answers) == 1:
			c.checkAnswer(call, call.answers[0], name)
		case call.neverWritten, ended && c.excusedBySessionEnd(call, end):
			// The gateway did not read the call, or the client did not wait for the answer.
		case c.killedDuring(call.Gateway, call.At, c.answerDueAt(call)):
			// A gateway that is killed loses its requests.
		case c.answerDueAfterScenario(call):
			// The answer may have come after the last record.
		default:
			c.addViolation(ruleAnswers, call.Deadline, "%s has no final answer", name)
		}
	}
}

// checkAnswer checks the form, the time and the Retry-After of the only answer to a call.
func (c *checker) checkAnswer(call *clientCall, answer Record, name string) {
	slack := c.fleet.Decide.Safety.AnswerSlack
	if answer.Answer == "invalid" || answer.Answer == "malformed" {
		c.addViolation(ruleAnswers, answer.At, "%s was answered as %s: %s", name, answer.Answer, answer.State)
	}
	late := answer.At - call.Deadline - slack
	if late > TransitAllowance+c.stalledFor(call.Gateway, call.At, answer.At) {
		c.addViolation(ruleAnswers, answer.At, "%s was answered %v after its deadline", name, late+slack)
	}
	if most := c.fleet.Decide.Limits.MaxRetryAfter; answer.Duration > most {
		c.addViolation(ruleAnswers, answer.At, "%s got a Retry-After of %v, want at most %v",
			name, answer.Duration, most)
	}
}

// answerDueAt returns the time by which the gateway must have written the final answer to a call.
func (c *checker) answerDueAt(call *clientCall) time.Duration {
	return call.Deadline + c.fleet.Decide.Safety.AnswerSlack
}

// excusedBySessionEnd reports whether the end of its session excuses a call that got no answer: the client
// left before the answer was due, or the call crossed the gateway's close frame on the wire.
func (c *checker) excusedBySessionEnd(call *clientCall, end Record) bool {
	if end.Kind == ClientLeft && end.At < c.answerDueAt(call)+TransitAllowance {
		return true
	}
	return end.At < call.Deadline && end.Code == websocket.CodeGoingAway &&
		end.At-call.At < closeCrossingAllowance
}

// answerDueAfterScenario reports whether the records end before the answer to a call was due.
func (c *checker) answerDueAfterScenario(call *clientCall) bool {
	last := time.Duration(0)
	if n := len(c.records); n > 0 {
		last = c.records[n-1].At
	}
	return c.answerDueAt(call)+TransitAllowance+c.stalledFor(call.Gateway, call.At, call.Deadline) > last
}
