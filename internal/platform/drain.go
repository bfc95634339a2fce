package platform

import (
	"time"
)

// The platform ends a process by SIGTERM, and by SIGKILL no earlier than the longest deadline of a class and killAfter later;
// of the deadline killDeadlineMost counts at most.
const (
	killGrace         = 700 * time.Millisecond
	maxKillDeadline   = 3 * time.Second
	acceptGrace       = 700 * time.Millisecond // a stopping gateway goes on accepting: clients still find it
	answerMargin      = 250 * time.Millisecond // ahead of the kill all has its answer, though the process be held up
	exitMargin        = 50 * time.Millisecond
	drainPollInterval = 5 * time.Millisecond
)

// killAt is the earliest time at which a process that was told to end may be killed.
func (g *Gateway) killAt(told time.Time) time.Time {
	longest := time.Duration(0)
	for _, k := range g.cfg.Decide.Classes {
		longest = max(longest, k.Deadline)
	}
	return told.Add(min(longest, maxKillDeadline) + killGrace)
}

// Drain takes requests for a while, answers all it has taken before the process may be killed, and stops. It was told to at
// that time.
func (g *Gateway) Drain(told time.Time) {
	kill := g.killAt(told)
	g.frontend.Drain()
	time.Sleep(time.Until(told.Add(acceptGrace)))
	g.ln.SetDeadline(time.Now()) // Serve takes what the machine has accepted and returns
	<-g.acceptDone
	g.ln.Close()
	g.frontend.StopAccepting()
	g.awaitIdle(kill.Add(-answerMargin))
	g.loop.FailOpenRequests()
	g.frontend.CloseInactive()
	g.awaitIdle(kill.Add(-exitMargin))
	g.Stop()
}

// await returns once all is answered and closed, or at a time.
func (g *Gateway) awaitIdle(until time.Time) {
	for (g.loop.OpenRequests.Load() > 0 || g.frontend.Conns.Load() > 0) && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}
