// Package scenario plays fault scenarios against real processes.
//
// A script describes a fleet, its servers, the load of its clients and the faults that strike them, each at its time.
// Run starts the gateways as processes; servers, the discovery server, clients and the receivers of usage and metrics
// run in this process, on loopback sockets. All traffic is recorded. When the script's time is over, package invariant
// checks the records against the five rules. Verify checks the records of an earlier run again.
//
// The seed fixes all random draws: which servers, gateways and members a fault strikes, and the load. Real processes
// share the machine, so two runs of a seed send the same load but do not take the same course.
package scenario

import (
	"time"

	"winghatch/internal/config"
)

// Script is a scenario as its file describes it.
type Script struct {
	Name           string
	Length         time.Duration // of the load; faults that began end later
	Seed           int           // of the random draws, unless a run has its own
	Fleet          *config.Fleet // without addresses, keys and secret: a run adds them
	Servers        []ServerGroup
	DiscoveryDelay time.Duration // from a change until gateways are notified
	Load           Load
	Faults         []Fault
}

// ServerGroup is a group of equal servers.
type ServerGroup struct {
	Count int // of servers
	Cores int // of each server
	Queue int // calls that may wait at a server; more are rejected
	Cell  int
	Speed float64 // of a core: 1 does the work of a call in its time
	Zone  string
	Work  map[string]time.Duration // mean work of a call, by class
}

// Load is what the clients of all members send together.
type Load struct {
	Rate       float64       // requests a second
	Retries    int           // at most, for a request
	RetryDelay time.Duration // before a retry
	Classes    []ClassLoad
}

// ClassLoad is the part of a class in the load.
type ClassLoad struct {
	Class    string
	Share    float64 // of all requests; those of all classes sum to 1
	MaxUnits int     // that a request may cost
}

// Fault is a fault that strikes for a while.
type Fault struct {
	Kind     string        // a key of faultKinds, which says what Count and Size mean
	At       time.Duration // since the start of the load
	Duration time.Duration
	Count    int     // of servers, gateways, members or kills
	Size     float64 // a factor, a share, seconds, units or a status
	Class    string  // for the kinds that strike one class
}
