package decide

import "time"

const (
	heartbeatToken = 1  // token of the heartbeat timer; other timers have larger tokens
	grantTimer     = -1 // in place of an attempt number: the timer of a grant request
)

// timerTarget identifies what a timer is for.
type timerTarget struct {
	requestID string
	// attempt is the number of the attempt that is overdue when the timer fires. With the value grantTimer,
	// a grant reply is overdue.
	attempt int
	dueAt   time.Duration
}

// timerTable holds the timers that have not fired, except the heartbeat timer.
type timerTable struct {
	pending   map[uint64]timerTarget // keyed by the token of SetTimer
	nextToken uint64
}

func newTimerTable() timerTable {
	return timerTable{pending: map[uint64]timerTarget{}, nextToken: heartbeatToken + 1}
}

// add stores the target of a timer and returns the timer's token.
func (t *timerTable) add(target timerTarget) uint64 {
	token := t.nextToken
	t.nextToken++
	t.pending[token] = target
	return token
}

// take removes a timer that has fired and returns its target.
func (t *timerTable) take(token uint64) (target timerTarget, ok bool) {
	target, ok = t.pending[token]
	delete(t.pending, token)
	return target, ok
}

// setTimer sets a timer for an attempt or, if attempt is grantTimer, for a grant reply.
func (g *Gateway) setTimer(requestID string, attempt int, at time.Duration) {
	token := g.timers.add(timerTarget{requestID, attempt, at})
	g.emit(SetTimer{at, token})
}

// timerFired handles a timer. Timers of attempts and requests that have ended are ignored.
func (g *Gateway) timerFired(token uint64) {
	if token == heartbeatToken {
		g.heartbeat()
		return
	}
	target, ok := g.timers.take(token)
	if !ok {
		return
	}
	if target.attempt == grantTimer {
		if r := g.requests[target.requestID]; r != nil && r.grant.awaitingReply {
			g.grantTimedOut(r, target.dueAt)
		}
		return
	}
	if a := g.findAttempt(target.requestID, target.attempt); a != nil && !a.ended {
		g.attemptOverdue(g.requests[target.requestID], a)
	}
}

// heartbeatInterval returns the time between two heartbeats. With full gossip, it divides the capacity of
// the receivers evenly among the gateways and over time. It is at most one second, even if no gossip is
// sent, so that periodic maintenance continues.
func (g *Gateway) heartbeatInterval() time.Duration {
	if !g.gossip.full {
		return ownerHeartbeatInterval
	}
	return time.Duration(float64(time.Second) / gossipRate(g.cfg))
}

// setHeartbeat sets the timer of the next heartbeat.
func (g *Gateway) setHeartbeat() {
	g.emit(SetTimer{g.now + g.heartbeatInterval(), heartbeatToken})
}

// heartbeat sends the gossip that is due and performs periodic maintenance.
func (g *Gateway) heartbeat() {
	g.setHeartbeat()
	g.sendDueGossip()
	g.endpoints.dropRemoved(g.now)
	g.endpoints.updateTotals(g.now)
	g.load.update(g.endpoints.totals.inFlight, g.responseStats.responseRate.perSecond(g.now), ownLoadGain)
	g.dropIdleCustomers()
}
