// Package registry follows the platform's list of servers: a whole list, then a watch over HTTP/1.1 that is renewed
// without a pause, so that what changes between two calls is told too. What comes is checked before it is believed.
// What follows from it is decided elsewhere.
package registry

import (
	"time"

	"winghatch/decide"
)

// Times turn Unix milliseconds into the gateway's clock. Both are read once, at the start, so that one start of a server
// has one time however often it is told.
type Times struct {
	Clock time.Duration
	Unix  time.Time
}

// at is never 0 nor before it: to the core that means long ago.
func (t Times) at(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	return max(1, t.Clock+time.UnixMilli(ms).Sub(t.Unix))
}

// Update is the list as the core is told it.
func (t Times) Update(l *List, kind decide.FleetKind) decide.FleetUpdate {
	u := decide.FleetUpdate{Kind: kind, Version: l.Rev}
	for _, e := range l.Targets {
		u.Servers = append(u.Servers, decide.Server{ID: e.UID, Zone: e.Zone, Cell: e.Cell, Kind: e.Model, State: states[e.State],
			Started: t.at(e.BootMS), Weight: e.Hint})
	}
	return u
}
