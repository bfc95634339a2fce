package main

import (
	"time"

	"winghatch/decide"
)

// passthroughCore is a core that makes no decisions. It sends requests to the servers in turn and never
// retries.
type passthroughCore struct {
	servers []string
	next    int
}

// Handle returns the actions for an event.
func (c *passthroughCore) Handle(now time.Duration, ev decide.Event) []decide.Action {
	switch e := ev.(type) {
	case decide.EndpointUpdate:
		c.servers = nil
		for _, s := range e.Servers {
			c.servers = append(c.servers, s.ID)
		}
	case decide.Request:
		c.next++
		return []decide.Action{decide.Send{ID: e.ID, Server: c.servers[c.next%len(c.servers)]}}
	case decide.AttemptEnded:
		if !e.RequestDone {
			return []decide.Action{decide.Fail{ID: e.ID}}
		}
	}
	return nil
}

// Status returns a status with the right number of servers and nothing else.
func (c *passthroughCore) Status() decide.Status {
	return decide.Status{Servers: make([]decide.ServerStatus, len(c.servers))}
}

// Summary returns no figures, because this core keeps no state.
func (c *passthroughCore) Summary() decide.Summary { return decide.Summary{} }
