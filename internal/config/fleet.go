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

// rankPlaceholder is replaced by the gateway's rank in patterns of file and directory names.
const rankPlaceholder = "%d"

// Fleet holds the settings that all gateways of a fleet share.
type Fleet struct {
	Name     string
	Secret   credentials.Secret // key of the hashes of member keys, datagrams and operator requests
	Decide   decide.Config      // Rank and Zone are not set; see DecideConfig
	Gateways []Gateway          // indexed by rank
	Members  []Member

	EndpointList string // address from which the endpoint list is read, host:port; empty: there is no list
	// EndpointListPattern is the file that caches the last endpoint list, with %d for the rank. Empty means
	// that the list is not cached.
	EndpointListPattern string
	// StateDirPattern is the directory of the state that must survive a restart, with %d for the rank. Empty
	// means that no state is stored.
	StateDirPattern string
	// CapacityPerSecond is the number of units per second that the fleet can serve. New reservations are
	// checked against it. 0 means that it is unknown and not checked.
	CapacityPerSecond float64

	Caps        ResourceLimits
	UsageExport UsageExport
	Metrics     Metrics
	Tracing     Tracing
	Log         Log

	// EndpointListMaxAge and Prices are validated and written back, but nothing uses them.
	EndpointListMaxAge time.Duration
	Prices             Prices
}

// Prices holds costs as multiples of the value of a response. Each applies to one unit of the named quantity.
type Prices struct {
	CrossZone, Waste, HealthCheck, Gossip, LateFailure, Counter float64
}

// Metrics configures the collection of metrics and their export by remote write.
type Metrics struct {
	Enabled    bool
	URL        string        // remote write receiver; empty: metrics are served only at the state address
	Interval   time.Duration // time between two gatherings
	Timeout    time.Duration // time limit for sending a batch
	MaxAge     time.Duration // older samples are dropped
	MaxSamples int           // samples that may wait to be sent
	MaxBytes   int           // memory that waiting samples may use
	BatchSize  int           // samples per batch
	Shards     int           // number of shards that send batches
	MaxMembers int           // members that have series of their own
	VersionOne bool          // whether remote write 1.0 is sent instead of 2.0
}

// Tracing configures the sampling of requests and the export of their traces.
type Tracing struct {
	URL            string        // OTLP receiver; empty: requests are not traced
	SampleFraction float64       // fraction of the requests served in time that is sampled, from 0 to 1
	MaxPerSecond   float64       // traces per second of requests that were rejected, failed or late
	MaxSpans       int           // spans that may wait to be sent
	Timeout        time.Duration // time limit for a request to the receiver
}

// UsageExport configures the export of usage events and the durability of their log.
type UsageExport struct {
	URL          string        // receiver of usage events; empty: usage is not exported
	Durability   wal.SyncMode  // when a record counts as durable
	SyncInterval time.Duration // time between two syncs if Durability is wal.SyncInterval
	MaxLogBytes  int           // disk space that the log may use
	BatchSize    int           // events per batch
	Timeout      time.Duration // time limit for sending a batch
	OnUnwritable outbox.Policy // what happens to attempts while the log cannot be written
}

// Gateway holds the addresses and files of one gateway. Addresses are host:port.
type Gateway struct {
	Zone          string
	Listen        string // address to which clients connect
	GossipAddress string // address to which peers send datagrams; empty if the fleet has no gossip
	GossipBind    string // address at which the gateway receives datagrams; empty: GossipAddress
	StateAddress  string // address of the operators' interface; empty: there is none
	ChangesFile   string // file of plan changes that the gateway watches; empty: none
}

// Member configures a customer.
type Member struct {
	Name, Plan string
	First      int                  // rank of the first gateway that the member uses
	Spread     int                  // number of gateways from First on, wrapping around to rank 0; at least 1
	Keys       []credentials.Digest // digests of the keys that the member may present
}

// ResourceLimits bounds the resources that a gateway uses for clients, peers and endpoints.
type ResourceLimits struct {
	MaxSessions           int           // client sessions
	MaxInFlight           int           // requests in flight, over all sessions
	MaxInFlightPerSession int           // requests in flight in one session
	MaxBatch              int           // requests in one message
	MaxMessageBytes       int           // size of a message
	MaxFrameBytes         int           // size of one frame of a message
	MaxQueuedBytes        int           // bytes that may wait to be written to one connection
	MaxSessionMemory      int           // bytes of messages of all client sessions, being received, open or queued
	HandshakeTimeout      time.Duration // time limit for the handshake of a connection
	WriteTimeout          time.Duration // time limit for one write
	PingAfter             time.Duration // time without received data after which a connection is pinged
	MaxConnsPerEndpoint   int           // connections to one endpoint
	MaxRequestsPerConn    int           // concurrent requests on one connection to an endpoint
	EndpointIdleTimeout   time.Duration // time without requests after which a connection is closed
}

// Log configures the log output.
type Log struct {
	JSON  bool   // JSON lines instead of plain text
	Level string // lowest level that is logged: debug, info, warn or error
}

// DecideConfig returns the decide.Config of the gateway with the given rank. It returns an error if there is
// no such gateway or if the settings are invalid.
func (f *Fleet) DecideConfig(rank int) (decide.Config, error) {
	c := f.Decide
	if rank < 0 || rank >= len(f.Gateways) {
		return c, fmt.Errorf("rank: %d, want 0 to %d", rank, len(f.Gateways)-1)
	}
	c.Rank, c.Zone = rank, f.Gateways[rank].Zone
	err := c.Validate()
	// The usual cause of this error is that the document sets cold-for but not fall-window, so the error has
	// their names in the document instead of the name of the field.
	var setting *decide.SettingError
	if errors.As(err, &setting) && setting.Field == "Safety.OverloadWindow" {
		return c, fmt.Errorf("safety.fall-window %s because cold-for is given", setting.Problem)
	}
	return c, err
}

// StateDir returns the directory of the state that the gateway with the given rank keeps across restarts. It
// is empty if StateDirPattern is empty.
func (f *Fleet) StateDir(rank int) string {
	return strings.ReplaceAll(f.StateDirPattern, rankPlaceholder, strconv.Itoa(rank))
}

// defaults returns a Fleet whose optional settings have their default values.
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
			MaxSessionMemory:      256 << 20,
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
