package decide

import "time"

// stallThreshold is how much longer than two heartbeat intervals a gap between two events must be to count
// as a stall.
const stallThreshold = 100 * time.Millisecond

// clock tracks the time of the events that a gateway handles.
type clock struct {
	now       time.Duration // time of the current event
	startedAt time.Duration // time of the first event
	started   bool          // whether the first event has been handled

	// The last stall: a gap between events in which not even the heartbeat timer fired, because the process
	// was paused or got no CPU time.
	stallEndedAt  time.Duration // time of the event that ended the stall; 0 if there was none
	stallDuration time.Duration
}

// advance moves the clock to the time of an event and detects stalls. It reports whether this is the first
// event. The clock never goes backwards.
func (c *clock) advance(now, heartbeat time.Duration) (first bool) {
	if gap := now - c.now; c.started && gap > stallThreshold+2*heartbeat {
		c.stallEndedAt, c.stallDuration = now, gap
	}
	c.now = max(now, c.now)
	if c.started {
		return false
	}
	c.started, c.startedAt = true, c.now
	return true
}

// atStallEnd reports whether the current event was handled at the end of a stall.
func (c *clock) atStallEnd() bool { return c.now == c.stallEndedAt }
