package invariant

import "time"

// slowStart is the slow start of a server.
type slowStart struct {
	start    Record   // the record of kind SlowStarted
	received []Record // the attempts that the server received within the last OverloadWindow
}

// checkSlowStart checks rule 4: within any OverloadWindow, all gateways together send a server in slow start
// no more than OverloadMultiple times the work that the server can do in that time, and no server fails under
// overload. Nothing is checked if OverloadWindow or OverloadMultiple is not set.
func (c *checker) checkSlowStart() {
	safety := c.fleet.Decide.Safety
	if safety.OverloadWindow <= 0 || safety.OverloadMultiple <= 0 {
		return
	}
	servers := map[string]*slowStart{}
	for _, r := range c.records {
		switch r.Kind {
		case SlowStarted:
			servers[r.Server] = &slowStart{start: r}
		case Overloaded:
			c.addViolation(ruleSlowStart, r.At, "server %s failed under overload", r.Server)
		case Received:
			s := servers[r.Server]
			if s == nil || r.At > s.start.At+s.start.Duration {
				continue
			}
			c.verdict.Checked[ruleSlowStart]++
			sum, largest := s.addAttempt(r, safety.OverloadWindow)
			// The bound includes the largest attempt in the window: the work of an attempt is random and no
			// gateway knows it in advance.
			bound := safety.OverloadMultiple*s.capacityFraction(r.At)*s.start.Capacity*
				safety.OverloadWindow.Seconds() + largest
			if sum > bound {
				c.addViolation(ruleSlowStart, r.At,
					"server %s got %.2f s of work within %v, want at most %.2f s",
					r.Server, sum, safety.OverloadWindow, bound)
			}
		}
	}
}

// addAttempt adds an attempt and drops those that are older than the window. It returns the total work of the
// attempts in the window and the work of the largest one, in seconds.
func (s *slowStart) addAttempt(r Record, window time.Duration) (sum, largest float64) {
	s.received = append(s.received, r)
	for r.At-s.received[0].At > window {
		s.received = s.received[1:]
	}
	for _, attempt := range s.received {
		sum += attempt.Work.Seconds()
		largest = max(largest, attempt.Work.Seconds())
	}
	return sum, largest
}

// capacityFraction returns the fraction of its full capacity that the server has at the given time. It grows
// linearly from InitialCapacity to 1 over the slow start.
func (s *slowStart) capacityFraction(at time.Duration) float64 {
	start := s.start
	fraction := start.InitialCapacity +
		(1-start.InitialCapacity)*(at-start.At).Seconds()/start.Duration.Seconds()
	return min(1, fraction)
}
