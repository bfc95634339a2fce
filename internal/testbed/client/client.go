// Package client is emulated client load, for fault scenarios: the members of a fleet with WebSocket sessions to their
// gateways, requests at a rate that does not depend on responses, and retries where the protocol says that they are
// harmless.
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

// Latencies are recorded in microseconds, up to a minute.
const (
	maxLatencyUs     = 60_000_000
	latencyPrecision = 3 // significant digits
)

// Member is a customer that sends requests.
type Member struct {
	Name         string
	Key          string
	FirstGateway int     // rank of the first gateway that it uses
	GatewayCount int     // how many it uses, from the first on
	Weight       float64 // of all requests; 0: 1
}

// Class is a class of requests.
type Class struct {
	Name             string
	Share            float64 // of all requests
	Idempotency      decide.Idempotency
	DedupScope       decide.DedupScope
	DedupWindow      time.Duration
	LatencyObjective time.Duration
	Deadline         time.Duration
	MaxUnits         int // of a request
}

// Options of a client.
type Options struct {
	Gateways   []string // host:port by rank
	Members    []Member
	Classes    []Class
	Rate       float64       // requests a second, of all members together
	Retries    int           // of a request, at most
	RetryDelay time.Duration // before a retry, unless the gateway asks for a longer one
	Seed       uint64        // of the random draws
	Log        *invariant.Log
}

// Fault is what the clients do beyond their usual; the zero value is nothing.
type Fault struct {
	RateFactor       float64            // times the usual rate; 0: 1
	WeightFactor     map[string]float64 // times a member's weight
	UseReservation   map[string]bool    // members of whose requests half use reserved units
	FirstGatewayOnly map[string]bool    // members that use only the first of their gateways
}

// Stats count requests by their final result; a request counts once, however often it is retried.
type Stats struct {
	Requests        int64
	Served          int64
	WithinObjective int64 // served within the latency objective of their class
	Rejected        int64
	Failed          int64
	Lost            int64 // the session broke before the response
	Unreachable     int64 // no gateway took the request
	Attempts        int64
	Reasons         map[string]int64        // rejected requests by reason
	Latency         *hdrhistogram.Histogram // of served requests, from the first attempt on, µs
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
	sessions   map[string]*session // by member and gateway
	lastNumber int                 // of requests and sessions
}

// New returns a client. Run sends its requests, Close ends its sessions.
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

// SetFault changes what the clients do beyond their usual.
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

// Run sends requests until the context ends, then waits for those in progress. The times between requests are drawn
// independently of responses; requests that this process could not send in time are sent late rather than left out.
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

// Close ends all sessions, and those that are being opened.
func (c *Client) Close() {
	c.cancel()
	c.Reconnect()
}

// Reconnect ends all sessions at once; new ones are opened by the next requests.
func (c *Client) Reconnect() {
	c.mu.Lock()
	sessions := c.sessions
	c.sessions = map[string]*session{}
	c.mu.Unlock()
	for _, s := range sessions {
		s.leave()
	}
}
