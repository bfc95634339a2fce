// Package scenario runs fault scenarios against real processes. The gateways are processes of their own; the servers,
// the discovery service, the clients and the receivers are emulated in this process, on loopback sockets. A script
// says which faults are injected when. What passes the sockets is recorded, and package invariant checks it.
package scenario

import (
	"time"

	"winghatch/internal/config"
	"winghatch/internal/config/kdl"
)

// Script is a scenario.
type Script struct {
	Name           string
	Length         time.Duration // of the clients' load
	Seed           int
	Fleet          *config.Fleet // without addresses, keys and secret, which each run makes
	Servers        []ServerGroup
	DiscoveryDelay time.Duration // after which changes of the endpoint list are sent
	Load           Load
	Faults         []Fault
}

// ServerGroup is a number of servers that are alike.
type ServerGroup struct {
	Count int
	Cores int
	Queue int     // calls that may wait
	Speed float64 // of a core
	Zone  string
	Cell  int
	Work  map[string]time.Duration // mean work of a call, by class
}

// Load is what the clients send.
type Load struct {
	Rate       float64 // requests a second
	Retries    int     // of a request, at most
	RetryDelay time.Duration
	Classes    []ClassLoad
}

// ClassLoad is a class's part of the load.
type ClassLoad struct {
	Class    string
	Share    float64
	MaxUnits int // of a request
}

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind     string // a key of FaultKinds
	At       time.Duration
	Duration time.Duration
	Count    int     // of servers, gateways or members, as the kind has it
	Size     float64 // a factor, a share, an amount or a status, as the kind has it
	Class    string
	Pos      kdl.Pos // in the script
}

// FaultKinds are the faults that can be injected, with what count, size and the time are to each. A server is a "node",
// the discovery service the "list" and the usage receiver the "accounting" in their names.
var FaultKinds = map[string]string{
	"ageing":         "count servers grow slower, up to size times",
	"balancer_crash": "count gateways are killed and come back after the time",
	"balancer_roll":  "every gateway in turn is stopped by SIGTERM and started again",
	"balancer_stall": "count gateways are stopped (SIGSTOP) for the time",
	"burst":          "size times the usual requests",
	"class_fail":     "count servers leave a class unanswered",
	"cold_start":     "count more servers start",
	"cut":            "the connections of count servers are closed",
	"drain":          "count servers drain, end after the time and come back in slow start",
	"fast_errors":    "count servers fail a share of size of their calls at once",
	"heavy_tail":     "one of 50 calls of a class costs size times the usual",
	"hot_caller":     "count members use only one of their gateways",
	"hot_key":        "one member sends size times its usual requests",
	"kill_storm":     "gateways are killed at random moments, count times over the time, and start again at once",
	"list_bad":       "discovery sends an invalid address, a server twice and an old version",
	"list_late":      "discovery sends changes only after the time",
	"list_silent":    "discovery sends nothing, its connections stay",
	"list_stale":     "discovery is away and comes back after the time",
	"lost_peers":     "a share of size of the gossip between gateways is lost",
	"metrics_down":   "the receiver of metrics answers 503",
	"plan_change":    "count members go to the fleet's next plan, and back after the time",
	"reconnect":      "all sessions end and are opened again at once",
	"report_gap":     "count servers do not report their load",
	"reserve":        "size units are reserved for each of count members, half of whose requests use them for the time",
	"shared_slow":    "all servers are size times slower",
	"slow":           "count servers are size times slower",
	"tenant_burst":   "count members send size times their usual requests",
	"vanish":         "count servers go silent and come back in slow start after the time",

	"accounting_cut":    "the usage receiver keeps half of the batches and closes the connection without an answer",
	"accounting_down":   "the usage receiver is away for the time",
	"accounting_early":  "the usage receiver answers half of the batches 200 before it has read them, and keeps nothing",
	"accounting_kill":   "the usage receiver is killed count times over the time, and starts again",
	"accounting_slow":   "the usage receiver takes size seconds for a batch",
	"accounting_status": "the usage receiver answers half of the batches with the status size, and Retry-After",
}
