package config

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"winghatch/decide"
	"winghatch/internal/credentials"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/wal"
)

// rankPlaceholder is replaced by a gateway's rank in the patterns of files and directories.
const rankPlaceholder = "%d"

// Fleet is all settings that the gateways of a fleet share.
type Fleet struct {
	Name     string
	Secret   credentials.Secret // of the keyed hashes of members' keys, datagrams and operators' requests
	Decide   decide.Config
	Gateways []Gateway // by rank
	Members  []Member

	EndpointList        string  // address of the endpoint list, host:port; empty: none
	EndpointListPattern string  // file that caches the last list, with %d for the rank; empty: none
	StateDirPattern     string  // directory of what must outlive a process, with %d for the rank; empty: none
	CapacityPerSecond   float64 // units that the fleet can serve, for reservations; 0: not stated

	Caps        ResourceLimits
	UsageExport UsageExport
	Metrics     Metrics
	Tracing     Tracing
	Log         Log

	// Settings that a document may have and that nothing reads: they are checked and written back.
	EndpointListMaxAge time.Duration
	Prices             Prices
}

// Prices are costs in the value of a response, each for one unit of what it names.
type Prices struct {
	CrossZone, Waste, HealthCheck, Gossip, LateFailure, Counter float64
}

// Metrics say whether metrics are collected, and where they are sent.
type Metrics struct {
	Enabled    bool
	URL        string // of a remote write receiver; empty: they are shown at the state address only
	Interval   time.Duration
	Timeout    time.Duration // of a batch
	MaxAge     time.Duration // older samples are dropped
	MaxSamples int           // that wait
	MaxBytes   int           // of memory that they take
	BatchSize  int           // samples
	Shards     int
	MaxMembers int  // that have series of their own
	VersionOne bool // send remote write 1.0
}

// Tracing says which requests are traced, and where traces are sent.
type Tracing struct {
	URL            string  // of an OTLP receiver; empty: nothing is traced
	SampleFraction float64 // of the requests that were served in time, 0 to 1
	MaxPerSecond   float64 // traces of requests that were rejected, failed or late
	MaxSpans       int     // that wait
	Timeout        time.Duration
}

// UsageExport says where usage is reported, and how durably.
type UsageExport struct {
	URL          string // of the receiver; empty: nothing is exported
	Durability   wal.SyncMode
	SyncInterval time.Duration // of wal.SyncInterval
	MaxLogBytes  int           // of disk
	BatchSize    int           // events
	Timeout      time.Duration // of a batch
	OnUnwritable outbox.Policy // what becomes of requests while the log can't be written
}

// Gateway is the addresses and files of one gateway. Addresses are host:port.
type Gateway struct {
	Zone          string
	Listen        string // clients connect to it
	GossipAddress string // peers send their datagrams to it; empty if the fleet has no gossip
	GossipBind    string // the gateway receives them here; empty: at GossipAddress
	StateAddress  string // operators ask here; empty: nowhere
	ChangesFile   string // file of plan changes that is watched; empty: none
}

// Member is a customer.
type Member struct {
	Name, Plan string
	First      int                  // rank of the first gateway that it uses
	Spread     int                  // how many gateways it uses, from First on, modulo the fleet's
	Keys       []credentials.Digest // of the keys that it presents
}

// ResourceLimits bound what a gateway holds for clients, peers and endpoints.
type ResourceLimits struct {
	MaxSessions           int // of clients
	MaxInFlight           int // requests of all sessions
	MaxInFlightPerSession int // requests
	MaxBatch              int // requests in one message
	MaxMessageBytes       int
	MaxFrameBytes         int           // of one frame of a message
	MaxQueuedBytes        int           // that wait to be written to one connection
	HandshakeTimeout      time.Duration // of a connection
	WriteTimeout          time.Duration // of one write
	PingAfter             time.Duration // silence of a connection
	MaxConnsPerEndpoint   int
	MaxRequestsPerConn    int           // at once, to an endpoint
	EndpointIdleTimeout   time.Duration // of a connection without requests
}

// Log is the form of log lines.
type Log struct {
	JSON  bool
	Level string // debug, info, warn or error
}

// DecideConfig returns the settings of the decisions at one gateway.
func (f *Fleet) DecideConfig(rank int) (decide.Config, error) {
	c := f.Decide
	if rank < 0 || rank >= len(f.Gateways) {
		return c, fmt.Errorf("rank: %d, want 0 to %d", rank, len(f.Gateways)-1)
	}
	c.Rank, c.Zone = rank, f.Gateways[rank].Zone
	err := c.Validate()
	var setting *decide.SettingError
	if errors.As(err, &setting) && setting.Field == "Safety.OverloadWindow" {
		return c, fmt.Errorf("safety.fall-window %s, as cold-for is given", setting.Problem)
	}
	return c, err
}

// StateDir is the directory of what must outlive a process of one gateway; empty: there is none.
func (f *Fleet) StateDir(rank int) string {
	return strings.ReplaceAll(f.StateDirPattern, rankPlaceholder, strconv.Itoa(rank))
}

// defaults is a fleet with the settings that a document may leave out.
func defaults() *Fleet {
	f := &Fleet{
		Caps: ResourceLimits{
			MaxSessions:           20000,
			MaxInFlight:           30000,
			MaxInFlightPerSession: 1024,
			MaxBatch:              256,
			MaxMessageBytes:       64 << 10,
			MaxFrameBytes:         64 << 10,
			MaxQueuedBytes:        1 << 20,
			HandshakeTimeout:      5 * time.Second,
			WriteTimeout:          5 * time.Second,
			PingAfter:             15 * time.Second,
			MaxConnsPerEndpoint:   4,
			MaxRequestsPerConn:    256,
			EndpointIdleTimeout:   30 * time.Second,
		},
		UsageExport: UsageExport{
			Durability:   wal.SyncInterval,
			SyncInterval: 100 * time.Millisecond,
			MaxLogBytes:  512 << 20,
			BatchSize:    500,
			Timeout:      10 * time.Second,
		},
		Metrics: Metrics{
			Interval:   15 * time.Second,
			Timeout:    10 * time.Second,
			MaxAge:     time.Hour,
			MaxSamples: 100000,
			MaxBytes:   32 << 20,
			BatchSize:  2000,
			Shards:     2,
			MaxMembers: 200,
		},
		Tracing: Tracing{SampleFraction: 0.01, MaxPerSecond: 20, MaxSpans: 2048, Timeout: 5 * time.Second},
		Log:     Log{Level: "info"},
	}
	f.Decide.Limits = decide.Limits{
		MaxAttempts:    3,
		Cancel:         true,
		RetryAfter:     true,
		MaxRetryAfter:  500 * time.Millisecond,
		ConnectTimeout: 250 * time.Millisecond,
	}
	f.Decide.Safety = decide.Safety{AnswerSlack: 20 * time.Millisecond, DrainGrace: 250 * time.Millisecond}
	return f
}
