// Package scenario runs fault scenarios against real gateway processes.
//
// A script describes a fleet, its servers, the load of its clients and the faults to inject, each at a given
// time. Run starts the gateways as processes. The servers, the discovery server, the clients and the
// receivers of usage and metrics run in this process, on loopback sockets. All traffic is recorded. At the
// end of the run, package invariant checks the records against its five rules. Verify checks the records of
// an earlier run again.
//
// The seed determines all random choices: the load, and which servers, gateways and members a fault affects.
// Two runs with the same seed send the same load but do not behave identically, because real processes share
// the machine.
package scenario

import (
	"time"

	"winghatch/internal/config"
)

// Script describes a scenario.
type Script struct {
	Name   string
	Length time.Duration // duration of the load; a fault in progress at its end may last longer
	Seed   int           // seed of the random choices, unless Options.Seed is set
	// Fleet has no addresses, keys or secret. A run adds them.
	Fleet          *config.Fleet
	Servers        []ServerGroup
	DiscoveryDelay time.Duration // time from a change of an endpoint until gateways are notified
	Load           Load
	Faults         []Fault
}

// ServerGroup describes a group of identical servers.
type ServerGroup struct {
	Count int // number of servers
	Cores int // number of cores of each server
	Queue int // number of requests that may wait at a server; further ones are rejected
	Cell  int
	Speed float64 // relative speed of a core: a core of speed 2 does the work in half the time
	Zone  string
	Work  map[string]time.Duration // mean work of a request on a core of speed 1, by class
}

// Load describes the requests that the clients of all members send.
type Load struct {
	Rate       float64       // requests per second
	Retries    int           // maximum number of retries of a request
	RetryDelay time.Duration // delay before a retry
	Classes    []ClassLoad
}

// ClassLoad describes the requests of one class.
type ClassLoad struct {
	Class    string
	Share    float64 // fraction of all requests; the fractions of all classes add up to 1
	MaxUnits int     // maximum number of units that a request costs
}

// Fault describes a fault that is injected for a limited time.
type Fault struct {
	Kind     string        // key of faultKinds; the description there says what Count and Size mean
	At       time.Duration // start of the fault, relative to the start of the load
	Duration time.Duration
	Count    int     // number of servers, gateways, members or kills
	Size     float64 // a factor, a fraction, seconds, units or an HTTP status
	Class    string  // class that the fault affects; empty for the kinds that affect all classes
}
