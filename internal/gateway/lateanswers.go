package gateway

import (
	"time"

	"winghatch/internal/frontend"
)

const (
	// lateAnswerTolerance is the time after its deadline from which an answer counts as late. The answer to a
	// request that times out is given just after the deadline.
	lateAnswerTolerance = 50 * time.Millisecond
	// lateAnswerLogInterval is the shortest time between two log lines about late answers.
	lateAnswerLogInterval = time.Second
)

// lateAnswerLog limits the log lines about late answers. It is owned by the loop.
type lateAnswerLog struct {
	loggedAt   time.Duration // on the clock of the loop; 0: never
	suppressed int64         // late answers without a log line since loggedAt
}

// noteLateAnswer counts an answer that was given more than lateAnswerTolerance after the deadline of its request.
// It logs where the time went: in the queue, before the first attempt, in the last attempt or in the write.
func (l *Loop) noteLateAnswer(r *openRequest, response frontend.Response) {
	l.LateAnswers.Add(1)
	if l.lateLog.loggedAt > 0 && l.now-l.lateLog.loggedAt < lateAnswerLogInterval {
		l.lateLog.suppressed++
		return
	}
	fields := []any{
		"request", r.ID, "class", r.Class, "kind", response.Kind.String(), "reason", response.Reason,
		"late", l.now - r.Deadline, "time_left", r.Deadline - r.arrivedAt,
		"answered_after", l.now - r.arrivedAt, "write", l.clock() - l.now, "attempts", len(r.attempts),
	}
	if r.ReceivedAt > 0 {
		fields = append(fields, "queued", r.arrivedAt-r.ReceivedAt)
	}
	if len(r.attempts) > 0 {
		first, last := r.attempts[0], r.attempts[len(r.attempts)-1]
		fields = append(fields, "first_attempt_after", first.startedAt-r.arrivedAt,
			"server", last.server, "last_outcome", last.outcome, "last_attempt_took", l.now-last.startedAt)
	}
	l.log.Warn("Answered after the deadline", append(fields, "not_logged", l.lateLog.suppressed)...)
	l.lateLog = lateAnswerLog{loggedAt: l.now}
}
