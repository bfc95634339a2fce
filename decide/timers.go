package decide

import "time"

const (
	heartbeatToken = 1  // of the heartbeat timer; other timers have tokens above it
	grantTimer     = -1 // in place of an attempt's number
)

// timerTarget is what a timer is for.
type timerTarget struct {
	requestID string
	attempt   int // number of the attempt that is overdue then; grantTimer: a grant reply is
	dueAt     time.Duration
}

// timerTable holds the timers that have not fired, but for the heartbeat.
type timerTable struct {
	pending   map[uint64]timerTarget // by token
	nextToken uint64
}

func newTimerTable() timerTable {
	return timerTable{pending: map[uint64]timerTarget{}, nextToken: heartbeatToken + 1}
}

// add stores a timer's target and returns its token.
func (t *timerTable) add(target timerTarget) uint64 {
	token := t.nextToken
	t.nextToken++
	t.pending[token] = target
	return token
}

// take removes a timer that fired and returns its target.
func (t *timerTable) take(token uint64) (target timerTarget, ok bool) {
	target, ok = t.pending[token]
	delete(t.pending, token)
	return target, ok
}

// setTimer sets a timer for an attempt, or for the wait for a grant reply if attempt is grantTimer.
func (g *Gateway) setTimer(requestID string, attempt int, at time.Duration) {
	token := g.timers.add(timerTarget{requestID, attempt, at})
	g.emit(SetTimer{at, token})
}

// timerFired acts on what the timer was for, unless that is over by now.
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
		if r := g.requests[target.requestID]; r != nil && r.grant.awaited {
			g.grantTimedOut(r, target.dueAt)
		}
		return
	}
	if a := g.findAttempt(target.requestID, target.attempt); a != nil && !a.ended {
		g.attemptOverdue(g.requests[target.requestID], a)
	}
}

// heartbeatInterval is the time between two heartbeats. With full gossip it spreads a gateway's part of the
// receivers' capacity evenly over time.
func (g *Gateway) heartbeatInterval() time.Duration {
	if !g.gossip.full {
		return ownerHeartbeatInterval
	}
	perSecond := gossipCapacityUsed * g.cfg.GossipCapacity / float64(max(1, g.cfg.Gateways-1))
	return time.Duration(float64(time.Second) / max(perSecond, 1))
}

func (g *Gateway) setHeartbeat() {
	g.emit(SetTimer{g.now + g.heartbeatInterval(), heartbeatToken})
}

// heartbeat sends the gossip that is due and does the periodic upkeep.
func (g *Gateway) heartbeat() {
	g.setHeartbeat()
	g.sendDueGossip()
	g.endpoints.dropRemoved(g.now)
	g.endpoints.updateTotals(g.now)
	g.load.update(g.endpoints.totals.inFlight, g.evidence.responseRate.perSecond(g.now), ownLoadGain)
	g.customers.dropIdle(g.now)
}
