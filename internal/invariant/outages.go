package invariant

import (
	"math"
	"time"
)

// outage is a time in which a gateway's process did not run.
type outage struct {
	gateway  int
	from, to time.Duration
	paused   bool // by SIGSTOP; else killed
}

// collectOutages gathers when gateways and the harness did not run. An outage that no record ends lasts to the end of
// time.
func (c *checker) collectOutages() {
	ongoing := map[int]outage{} // by gateway
	for _, r := range c.records {
		if r.Kind == HarnessStalled {
			c.harnessStalls = append(c.harnessStalls, r)
		}
		if r.Kind != ProcessChanged {
			continue
		}
		switch r.State {
		case "kill", "stop":
			ongoing[r.Gateway] = outage{r.Gateway, r.At, math.MaxInt64, r.State == "stop"}
		case "up", "cont":
			if o, ok := ongoing[r.Gateway]; ok {
				o.to = r.At
				c.outages = append(c.outages, o)
				delete(ongoing, r.Gateway)
			}
		}
	}
	for _, o := range ongoing {
		c.outages = append(c.outages, o)
	}
}

// stalledFor is how long the harness was stalled, plus how long the gateway was paused, within a span.
func (c *checker) stalledFor(gateway int, from, to time.Duration) time.Duration {
	stalled := c.harnessStalledFor(from, to)
	for _, o := range c.outages {
		if o.paused && o.gateway == gateway && o.from < to && o.to > from {
			stalled += min(o.to, to) - max(o.from, from)
		}
	}
	return stalled
}

// harnessStalledFor is the length of the harness's stalls that overlap a span.
func (c *checker) harnessStalledFor(from, to time.Duration) (stalled time.Duration) {
	for _, r := range c.harnessStalls {
		if r.At > from && r.At-r.Duration < to {
			stalled += r.Duration
		}
	}
	return stalled
}

// killed reports whether the gateway was killed, or not yet up again after a kill, at any time within a span.
func (c *checker) killedDuring(gateway int, from, to time.Duration) bool {
	for _, o := range c.outages {
		if !o.paused && o.gateway == gateway && o.from <= to && o.to >= from {
			return true
		}
	}
	return false
}
