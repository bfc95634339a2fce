package platform

import "time"

// The platform ends a process with SIGTERM, and later with SIGKILL if the process still runs. Between the two
// it waits at least for killGrace plus the longest deadline of any class. Of a deadline that is longer than
// maxKillDeadline, only maxKillDeadline counts.
const (
	killGrace       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
)

// Timing of a graceful shutdown.
const (
	// acceptGrace is the time after SIGTERM during which connections are accepted, because clients still find
	// the gateway.
	acceptGrace = 700 * time.Millisecond
	// answerMargin is the time before the earliest SIGKILL at which all requests must be answered. It leaves
	// room for a suspension of the process.
	answerMargin = 250 * time.Millisecond
	// exitMargin is the time before the earliest SIGKILL at which the process stops waiting and exits.
	exitMargin = 50 * time.Millisecond
	// drainPollInterval is the interval between two checks of whether all requests and connections have
	// ended.
	drainPollInterval = 5 * time.Millisecond
)

// earliestKill returns the earliest time at which the platform may send SIGKILL to a process that got SIGTERM
// at terminatedAt.
func (g *Gateway) earliestKill(terminatedAt time.Time) time.Time {
	longest := time.Duration(0)
	for _, class := range g.cfg.Decide.Classes {
		longest = max(longest, class.Deadline)
	}
	return terminatedAt.Add(min(longest, maxKillDeadline) + killGrace)
}

// Drain shuts the gateway down gracefully after a SIGTERM at the given time. It accepts connections for
// acceptGrace after SIGTERM and then waits for the open requests and the client connections to end. Requests
// that are still open answerMargin before the earliest SIGKILL are answered as failed, because a client whose
// process is killed gets no response at all. Drain stops the gateway as soon as all connections have ended,
// at the latest exitMargin before the earliest SIGKILL.
func (g *Gateway) Drain(terminatedAt time.Time) {
	kill := g.earliestKill(terminatedAt)
	g.frontend.Drain()
	time.Sleep(time.Until(terminatedAt.Add(acceptGrace)))
	// A deadline makes Serve accept the connections in the kernel's backlog before it returns. Close would
	// reset them.
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

// awaitIdle waits until all requests are answered and all client connections are closed, at most until the
// deadline.
func (g *Gateway) awaitIdle(deadline time.Time) {
	for time.Now().Before(deadline) {
		if g.loop.OpenRequests.Load() == 0 && g.frontend.Conns.Load() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}
