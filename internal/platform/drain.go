package platform

import (
	"time"
)

// The platform ends a process by SIGTERM, and by SIGKILL no earlier than the longest deadline of a class and killAfter later;
// of the deadline killDeadlineMost counts at most.
const (
	killAfter        = 700 * time.Millisecond
	killDeadlineMost = 3 * time.Second
	acceptFor        = 700 * time.Millisecond // a stopping gateway goes on accepting: clients still find it
	answerBefore     = 250 * time.Millisecond // ahead of the kill all has its answer, though the process be held up
	exitBefore       = 50 * time.Millisecond
	drainPoll        = 5 * time.Millisecond
)

// killAt is the earliest time at which a process that was told to end may be killed.
func (g *Gateway) killAt(told time.Time) time.Time {
	longest := time.Duration(0)
	for _, k := range g.c.Decide.Classes {
		longest = max(longest, k.Deadline)
	}
	return told.Add(min(longest, killDeadlineMost) + killAfter)
}

// Drain takes requests for a while, answers all it has taken before the process may be killed, and stops. It was told to at
// that time.
func (g *Gateway) Drain(told time.Time) {
	kill := g.killAt(told)
	g.front.Drain()
	time.Sleep(time.Until(told.Add(acceptFor)))
	g.ln.SetDeadline(time.Now()) // Serve takes what the machine has accepted and returns
	<-g.unheard
	g.ln.Close()
	g.front.StopAccepting()
	g.await(kill.Add(-answerBefore))
	g.loop.FailOpen()
	g.front.TurnAway()
	g.await(kill.Add(-exitBefore))
	g.Stop()
}

// await returns once all is answered and closed, or at a time.
func (g *Gateway) await(until time.Time) {
	for (g.loop.Open.Load() > 0 || g.front.Conns.Load() > 0) && time.Now().Before(until) {
		time.Sleep(drainPoll)
	}
}
