// Package client emulates client load for fault scenarios. The members of a fleet open WebSocket sessions to
// their gateways and send requests at a rate that does not depend on the responses. They retry a request only
// where the protocol guarantees that a retry is safe.
package client

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"winghatch/decide"
	"winghatch/internal/invariant"
)

// Latencies are recorded in microseconds. Larger latencies than maxLatencyUs, one minute, are not recorded.
const (
	maxLatencyUs     = 60_000_000
	latencyPrecision = 3 // significant digits
)

// Member is a customer that sends requests.
type Member struct {
	Name         string
	Key          string
	FirstGateway int     // rank of the first gateway that the member uses
	GatewayCount int     // number of gateways that it uses, with consecutive ranks from FirstGateway
	Weight       float64 // relative share of all requests; 0: 1
}

// Class is a class of requests.
type Class struct {
	Name             string
	Share            float64 // fraction of all requests
	Idempotency      decide.Idempotency
	DedupScope       decide.DedupScope
	DedupWindow      time.Duration
	LatencyObjective time.Duration
	Deadline         time.Duration
	MaxUnits         int // largest number of units of a request; 0: 1
}

// Options configures a client.
type Options struct {
	Gateways   []string // addresses as host:port, by rank
	Members    []Member
	Classes    []Class
	Rate       float64        // requests per second of all members together
	Retries    int            // largest number of retries of a request
	RetryDelay time.Duration  // delay before a retry, unless the gateway asks for a longer one
	Seed       uint64         // seed of the random number generator
	Log        *invariant.Log // nil: nothing is recorded
}

// Fault configures deviations from the normal load. The zero value has none.
type Fault struct {
	RateFactor       float64            // factor on the request rate; 0: 1
	WeightFactor     map[string]float64 // factor on the weight, by member
	UseReservation   map[string]bool    // members that use reserved units for half of their requests
	FirstGatewayOnly map[string]bool    // members that start each request at their first gateway
}

// Stats counts requests by their final result. A request counts once, however often it is retried.
type Stats struct {
	Requests        int64
	Served          int64
	WithinObjective int64 // served within the latency objective of their class
	Rejected        int64
	Failed          int64
	Lost            int64                   // session broke, no response in time, or request invalid
	Unreachable     int64                   // no gateway accepted the request
	Attempts        int64                   // attempts of all requests, retries included
	Reasons         map[string]int64        // number of rejected requests by reason
	Latency         *hdrhistogram.Histogram // of served requests, in µs from the first attempt
}

// Client sends the requests of all members. It is safe for concurrent use.
type Client struct {
	options Options
	wg      sync.WaitGroup // requests in progress
	ctx     context.Context
	cancel  context.CancelFunc

	mu         sync.Mutex
	rng        *rand.Rand
	fault      Fault
	stats      Stats
	sessions   map[string]*session // keyed by member and gateway
	lastNumber int                 // last number given to a request or session
}

// New returns a client. Call Run to send requests and Close to end its sessions.
func New(o Options) *Client {
	if o.Log == nil {
		o.Log = invariant.Discard()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		options:  o,
		ctx:      ctx,
		cancel:   cancel,
		rng:      rand.New(rand.NewPCG(o.Seed, 2)),
		sessions: map[string]*session{},
		stats: Stats{
			Reasons: map[string]int64{},
			Latency: hdrhistogram.New(1, maxLatencyUs, latencyPrecision),
		},
	}
}

// SetFault calls change with the current faults. The change applies from the next request on.
func (c *Client) SetFault(change func(*Fault)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.fault)
}

// Stats returns a copy of the counters.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Reasons = map[string]int64{}
	for reason, n := range c.stats.Reasons {
		stats.Reasons[reason] = n
	}
	stats.Latency = hdrhistogram.Import(c.stats.Latency.Export())
	return stats
}

// Run sends requests until the context ends, then waits for the requests in progress. The times between
// requests are random and do not depend on responses. If the process is delayed, it sends the due requests
// late instead of skipping them.
func (c *Client) Run(ctx context.Context) {
	defer c.wg.Wait()
	next := time.Now()
	for ctx.Err() == nil {
		interval, r := c.drawNext()
		next = next.Add(interval)
		if wait := time.Until(next); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.run(r)
		}()
	}
}

// Close closes all sessions, including those that are being opened, and prevents new ones.
func (c *Client) Close() {
	c.cancel()
	c.Reconnect()
}

// Reconnect closes all sessions. The next requests open new ones.
func (c *Client) Reconnect() {
	c.mu.Lock()
	sessions := c.sessions
	c.sessions = map[string]*session{}
	c.mu.Unlock()
	for _, s := range sessions {
		s.leave()
	}
}
