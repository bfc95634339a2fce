package main

import (
	"time"

	"winghatch/decide"
)

// passthroughCore is a core that decides nothing: every call goes to the next server, every end is final.
type passthroughCore struct {
	servers []string
	next    int
}

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

func (c *passthroughCore) Status() decide.Status {
	return decide.Status{Servers: make([]decide.ServerStatus, len(c.servers))}
}
