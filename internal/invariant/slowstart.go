package invariant

import "time"

// slowStart is a server that has started, and the attempts that it received within the last OverloadWindow.
type slowStart struct {
	start    Record // of kind SlowStarted
	received []Record
}

// checkSlowStart checks rule 4: within any OverloadWindow, all gateways together send a server in slow start no more
// than OverloadMultiple times the work that it can do in it, and no server is overloaded. Without overload settings
// nothing is checked.
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
			c.addViolation(ruleSlowStart, r.At, "%s was overloaded", r.Server)
		case Received:
			s := servers[r.Server]
			if s == nil || r.At > s.start.At+s.start.Duration {
				continue
			}
			c.verdict.Checked[ruleSlowStart]++
			sum, largest := s.addAttempt(r, safety.OverloadWindow)
			// The window's largest call is allowed for: the work of a call is drawn at random, and no gateway knows it
			// beforehand.
			bound := safety.OverloadMultiple*s.capacityFraction(r.At)*s.start.Capacity*safety.OverloadWindow.Seconds() + largest
			if sum > bound {
				c.addViolation(ruleSlowStart, r.At, "%s got %.2f s of work within %v, %.2f s at most",
					r.Server, sum, safety.OverloadWindow, bound)
			}
		}
	}
}

// receive adds an attempt, and returns the work of all attempts within the window and that of the largest, in seconds.
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

// capacityPart is the part of its capacity that the server has at a time. It grows linearly from InitialCapacity to 1.
func (s *slowStart) capacityFraction(at time.Duration) float64 {
	start := s.start
	part := start.InitialCapacity + (1-start.InitialCapacity)*(at-start.At).Seconds()/start.Duration.Seconds()
	return min(1, part)
}
