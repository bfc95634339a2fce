package gateway

import (
	"maps"
	"time"
)

// Brief is the little that a platform's log is told of a loop.
type Brief struct {
	Refused, Outcomes map[string]int64
	Pressed, Budget   float64
	Held              int           // calls and attempts under way
	Lag               time.Duration // the most that a timer was late since the last Brief: the process was not let run, or was busy
	Turn              time.Duration // the longest turn since then
}

// Brief asks the loop.
func (l *Loop) Brief() (b Brief) {
	l.Ask(func() {
		v := l.core.Status()
		b = Brief{maps.Clone(l.reasons), maps.Clone(l.ends), v.Pressure, v.RetryBudget, len(l.opens), l.lag, l.turn}
		l.lag, l.turn = 0, 0
	})
	return b
}
