package invariant

import "time"

// gatewayServer names a server as one gateway knows it.
type gatewayServer struct {
	gateway int
	server  string
}

// checkDrains checks rule 3: a gateway sends nothing to a server later than DrainGrace after discovery wrote to it that
// the server drains or is gone.
func (c *checker) checkDrains() {
	gateways := c.gatewaysOfCalls()
	firstNotifiedAt := map[gatewayServer]time.Duration{} // when the gateway was first notified
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
			// A gateway that restarts knows only the endpoint list that it gets then.
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

// checkDrainedAttempt checks an attempt at a server whose drain or removal the gateway was notified of.
func (c *checker) checkDrainedAttempt(r Record, gateway int, notifiedAt time.Duration) {
	late := r.At - notifiedAt - c.fleet.Decide.Safety.DrainGrace
	if late > TransitAllowance+c.stalledFor(gateway, notifiedAt, r.At) {
		c.addViolation(ruleDrains, r.At, "gateway %d sent %s (%s) to %s, %v after it was notified that the server drains "+
			"or is gone", gateway, r.Request, r.Class, r.Server, r.At-notifiedAt)
	}
}

// gatewaysOfCalls returns by call the rank of the gateway that its client wrote it to.
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
