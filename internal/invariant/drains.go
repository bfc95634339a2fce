package invariant

import "time"

// gatewayServer identifies the entry for a server in the endpoint list of one gateway.
type gatewayServer struct {
	gateway int
	server  string
}

// checkDrains checks rule 3: a gateway sends no attempt to a server more than DrainGrace after the discovery
// server notified the gateway that the server is draining or gone.
func (c *checker) checkDrains() {
	gateways := c.gatewaysOfCalls()
	// firstNotifiedAt holds when a gateway was first notified that a server is draining or gone. A server
	// that serves again has no entry.
	firstNotifiedAt := map[gatewayServer]time.Duration{}
	for _, r := range c.records {
		switch r.Kind {
		case EndpointSent:
			key := gatewayServer{r.Gateway, r.Server}
			if r.State == "serving" {
				delete(firstNotifiedAt, key)
			} else if _, ok := firstNotifiedAt[key]; !ok {
				firstNotifiedAt[key] = r.At
			}
		case ProcessChanged:
			// A restarted gateway knows only the endpoint list that it receives after its start.
			if r.State == "up" {
				forgetNotifications(firstNotifiedAt, r.Gateway)
			}
		case Received:
			c.verdict.Checked[ruleDrains]++
			gateway, known := gateways[r.CallID]
			if !known {
				continue
			}
			if since, ok := firstNotifiedAt[gatewayServer{gateway, r.Server}]; ok {
				c.checkDrainedAttempt(r, gateway, since)
			}
		}
	}
}

// checkDrainedAttempt checks an attempt at a server after the gateway was notified that it is draining or
// gone.
func (c *checker) checkDrainedAttempt(r Record, gateway int, notifiedAt time.Duration) {
	late := r.At - notifiedAt - c.fleet.Decide.Safety.DrainGrace
	if late > TransitAllowance+c.stalledFor(gateway, notifiedAt, r.At) {
		c.addViolation(ruleDrains, r.At, "gateway %d sent request %s (%s) to server %s %v after it was "+
			"notified that the server is draining or gone",
			gateway, r.Request, r.Class, r.Server, r.At-notifiedAt)
	}
}

// gatewaysOfCalls returns, by call ID, the rank of the gateway that the client wrote the call to.
func (c *checker) gatewaysOfCalls() map[string]int {
	gateways := map[string]int{}
	for _, r := range c.records {
		if r.Kind == Call {
			gateways[r.CallID] = r.Gateway
		}
	}
	return gateways
}

func forgetNotifications(firstNotifiedAt map[gatewayServer]time.Duration, gateway int) {
	for key := range firstNotifiedAt {
		if key.gateway == gateway {
			delete(firstNotifiedAt, key)
		}
	}
}
