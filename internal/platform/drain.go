package platform

import "time"

// The platform ends a process by SIGTERM, and by SIGKILL no earlier than a class's longest deadline and killGrace
// later. Of the deadline, maxKillDeadline counts at most.
const (
	killGrace       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
)

// The steps of a graceful shutdown, from SIGTERM or up to the earliest SIGKILL.
const (
	acceptGrace       = 700 * time.Millisecond // after SIGTERM connections are accepted: clients still find the gateway
	answerMargin      = 250 * time.Millisecond // before the kill all is answered; the process may be suspended meanwhile
	exitMargin        = 50 * time.Millisecond  // before the kill the process exits
	drainPollInterval = 5 * time.Millisecond   // between two looks whether requests and connections have ended
)

// killAt is the earliest time at which a process that got SIGTERM may be killed.
func (g *Gateway) killAt(terminated time.Time) time.Time {
	longest := time.Duration(0)
	for _, class := range g.cfg.Decide.Classes {
		longest = max(longest, class.Deadline)
	}
	return terminated.Add(min(longest, maxKillDeadline) + killGrace)
}

// Drain is the graceful shutdown after a SIGTERM at the time given: it accepts for a while, answers all requests that
// it has read before the process may be killed, and stops.
func (g *Gateway) Drain(terminated time.Time) {
	kill := g.killAt(terminated)
	g.frontend.Drain()
	time.Sleep(time.Until(terminated.Add(acceptGrace)))
	// By a deadline, not by Close: Serve first takes what waits in the backlog, which a Close would reset.
	g.ln.SetDeadline(time.Now())
	<-g.acceptDone
	g.ln.Close()
	g.frontend.StopAccepting()
	g.awaitIdle(kill.Add(-answerMargin))
	g.loop.FailOpenRequests()
	g.frontend.CloseInactive()
	g.awaitIdle(kill.Add(-exitMargin))
	g.Stop()
}

// awaitIdle returns once all requests are answered and all clients' connections closed, or at the deadline.
func (g *Gateway) awaitIdle(deadline time.Time) {
	for time.Now().Before(deadline) {
		if g.loop.OpenRequests.Load() == 0 && g.frontend.Conns.Load() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}
