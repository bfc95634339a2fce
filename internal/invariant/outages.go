package invariant

import (
	"math"
	"time"
)

// outage is a time span in which a gateway's process did not run.
type outage struct {
	gateway  int
	from, to time.Duration
	paused   bool // true: stopped by SIGSTOP; false: killed
}

// collectOutages collects the outages of all gateways and the stalls of the harness. An outage without a
// record of its end has the largest possible end time.
func (c *checker) collectOutages() {
	ongoing := map[int]outage{} // keyed by gateway
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

// stalledFor returns how long the harness was stalled plus how long the gateway was paused in a time span.
func (c *checker) stalledFor(gateway int, from, to time.Duration) time.Duration {
	stalled := c.harnessStalledFor(from, to)
	for _, o := range c.outages {
		if o.paused && o.gateway == gateway && o.from < to && o.to > from {
			stalled += min(o.to, to) - max(o.from, from)
		}
	}
	return stalled
}

// harnessStalledFor returns the total length of the harness's stalls that overlap a time span.
func (c *checker) harnessStalledFor(from, to time.Duration) (stalled time.Duration) {
	for _, r := range c.harnessStalls {
		if r.At > from && r.At-r.Duration < to {
			stalled += r.Duration
		}
	}
	return stalled
}

// killedDuring reports whether the gateway was killed in a time span or was down after a kill at any point of
// it.
func (c *checker) killedDuring(gateway int, from, to time.Duration) bool {
	for _, o := range c.outages {
		if !o.paused && o.gateway == gateway && o.from <= to && o.to >= from {
			return true
		}
	}
	return false
}
