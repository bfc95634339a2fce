package decide

import "time"

// stallThreshold is how long a gap between two events must be, beside two heartbeats, to count as a stall.
const stallThreshold = 100 * time.Millisecond

// clock is the time of the events that a gateway handles.
type clock struct {
	now       time.Duration // of the event that is being handled
	startedAt time.Duration // of the first event
	running   bool          // the first event has come

	// The last stall: a gap in which not even the heartbeat timer fired, as the process was paused or
	// starved.
	stallEndedAt  time.Duration // time of the event that ended it; 0: there was none
	stallDuration time.Duration
}

// advance moves on to the time of an event. It reports whether this is the first one.
func (c *clock) advance(now, heartbeat time.Duration) (first bool) {
	if gap := now - c.now; c.running && gap > stallThreshold+2*heartbeat {
		c.stallEndedAt, c.stallDuration = now, gap
	}
	c.now = max(now, c.now)
	if c.running {
		return false
	}
	c.running, c.startedAt = true, c.now
	return true
}

// endsStall reports whether the event that is being handled was found at the end of a stall.
func (c *clock) endsStall() bool { return c.now == c.stallEndedAt }
