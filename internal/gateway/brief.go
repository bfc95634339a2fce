package gateway

import (
	"maps"
	"time"
)

// Brief is the little that a platform's log is told of a loop.
type LoopSummary struct {
	Rejected, Outcomes    map[string]int64
	Pressure, RetryBudget float64
	OpenRequests          int           // calls and attempts under way
	TimerLag              time.Duration // the most that a timer was late since the last Brief: the process was not let run, or was busy
	LongestTurn           time.Duration // the longest turn since then
}

// Brief asks the loop.
func (l *Loop) Summary() (b LoopSummary) {
	l.Do(func() {
		v := l.core.Status()
		b = LoopSummary{maps.Clone(l.rejections), maps.Clone(l.outcomes), v.Pressure, v.RetryBudget, len(l.requests), l.timerLag, l.longestTurn}
		l.timerLag, l.longestTurn = 0, 0
	})
	return b
}
