package platform

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/decide"
	discoveryhttp "winghatch/internal/discovery/http"
	frontendhttp "winghatch/internal/frontend/http"
	"winghatch/internal/gateway"
	"winghatch/internal/gossip/plain"
	"winghatch/internal/platform/settings"
	upstreamhttp "winghatch/internal/upstream/http"
)

const (
	// defaultIdleTimeout is the servers' idle timeout where the settings have none.
	defaultIdleTimeout = 30 * time.Second
	// idleTimeoutShare of the servers' idle timeout is the pool's: where both sides close at once, an attempt that is
	// being written would be lost.
	idleTimeoutShare = 0.75
	// defaultDialTimeout is the time for a connection to a server where the settings have none.
	defaultDialTimeout = time.Second
	// readyWithoutList is for how long a gateway waits for discovery before it serves by the last known list.
	readyWithoutList = 2 * time.Second
	// unlimitedRequests is the limit on open requests where the settings have none.
	unlimitedRequests = 1 << 20
)

// Gateway is a running gateway of the platform. Start makes one; Drain or Stop ends it.
type Gateway struct {
	cfg       *Config
	log       *slog.Logger
	startedAt time.Time

	ln       *net.TCPListener
	loop     *gateway.Loop
	frontend *frontendhttp.Server
	pool     *upstreamhttp.Pool
	gossip   *plain.Transport // nil without peers
	watch    *discoveryhttp.Watch

	listReceived atomic.Bool   // discovery has answered
	acceptDone   chan struct{} // closed once the frontend accepts no more

	// wg has the goroutines that spawn starts; Stop ends them, by stop or by closing what they serve, and waits.
	wg   sync.WaitGroup
	stop context.CancelFunc
}

// Start binds the configured addresses and runs a gateway on them. On an error nothing is left running.
func Start(c *Config, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{cfg: c, log: log, startedAt: time.Now(), acceptDone: make(chan struct{})}
	clock := gateway.NewClock()
	core, err := decide.New(c.Decide, c.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if g.ln, err = listen(c.Listen, log); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	var peers gateway.Peers
	if c.hasGossip() {
		if g.gossip, err = listenGossip(c, log); err != nil {
			g.ln.Close()
			return nil, err
		}
		peers = g.gossip
	}
	g.pool = newPool(c)
	g.loop = gateway.NewLoop(c.Decide, core, clock.Now, g.pool, peers, nil, log)
	g.loop.SetMaxOpenRequests(cmp.Or(c.ConnectionLimits.MaxOpenRequests, unlimitedRequests))
	list := &endpointList{gateway: g, clock: clock, starts: newStartTimes(c)}
	g.watch = discoveryhttp.New(c.Discovery, discoveryhttp.Options{Log: log, OnList: list.receive})
	g.frontend = frontendhttp.New(frontendhttp.NewRules(&c.Decide), g.loop,
		frontendhttp.Options{MaxConns: c.maxClientConns(), MaxBodyBytes: c.maxBodyBytes()}, clock.Now, g.Ready, log)
	g.run(list)
	log.Info("Gateway started", "name", c.Name, "listen", g.ln.Addr().String(), "servers", len(c.LastKnown.Targets),
		"classes", classSummaries(c), "max_retry_after", c.Decide.Limits.MaxRetryAfter,
		"cores", c.Cores, "memory_mb", c.MemoryMB, "sockets", c.Sockets)
	return g, nil
}

// run starts the goroutines, the loop first: it has to have the last known list before the first request.
func (g *Gateway) run(list *endpointList) {
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.spawn(g.loop.Run)
	list.apply(&g.cfg.LastKnown, decide.StaleUpdate, 0)
	if g.gossip != nil {
		g.spawn(func() { g.gossip.Serve(g.loop.ReceiveGossip) })
	}
	g.spawn(func() { g.watch.Run(ctx) })
	g.spawn(func() {
		g.frontend.Serve(g.ln)
		close(g.acceptDone)
	})
	g.spawn(func() { g.logStatusPeriodically(ctx) })
}

// spawn runs f in a goroutine that Stop waits for.
func (g *Gateway) spawn(f func()) { g.wg.Go(f) }

func listenGossip(c *Config, log *slog.Logger) (*plain.Transport, error) {
	conn, err := listenPeers(c.PeerListen, log)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	transport, err := plain.New(conn, c.Decide.Rank, c.Peers, c.Decide.GossipCapacity)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return transport, nil
}

func newPool(c *Config) *upstreamhttp.Pool {
	serverIdleTimeout := cmp.Or(c.ConnectionLimits.IdleTimeout, defaultIdleTimeout)
	return upstreamhttp.New(upstreamhttp.Options{
		DialTimeout:       cmp.Or(c.Decide.Limits.ConnectTimeout, defaultDialTimeout),
		MaxConns:          c.maxServerConns(),
		IdleTimeout:       time.Duration(idleTimeoutShare * float64(serverIdleTimeout)),
		MaxBodyBytes:      maxResponseBytes,
		MaxTotalBodyBytes: c.maxBodyBytes(),
		MaxUnits:          c.Decide.MaxUnits,
		LoadReportName:    settings.LoadReportField,
	})
}

// Ready reports whether requests can be served: discovery has answered, or waiting for it took too long and the last
// known list is used.
func (g *Gateway) Ready() bool {
	if g.listReceived.Load() {
		return true
	}
	return len(g.cfg.LastKnown.Targets) > 0 && time.Since(g.startedAt) > readyWithoutList
}

// SetDiscovery follows the endpoint list at another address; the same address is asked at once for what is new.
func (g *Gateway) SetDiscovery(addr string) {
	g.log.Info("Following another discovery address", "to", addr)
	g.watch.SetAddr(addr)
}

// Stop ends everything at once, in an order in which nothing is left that another part waits for: no new request, no
// gossip, then the loop, then the connections of its attempts. Drain is the graceful way.
func (g *Gateway) Stop() {
	g.stop()
	g.ln.Close()
	g.frontend.Close()
	if g.gossip != nil {
		g.gossip.Close()
	}
	g.loop.Stop()
	g.pool.Close()
	g.wg.Wait()
}

// endpointList passes the lists of discovery on to the pool and to the loop.
type endpointList struct {
	gateway *Gateway
	clock   gateway.Clock
	starts  *discoveryhttp.StartTimes
}

func newStartTimes(c *Config) *discoveryhttp.StartTimes {
	return discoveryhttp.NewStartTimes(c.Decide.Safety.SlowStartDuration, time.Now)
}

// receive takes a list from the watch; silence is the time since discovery last answered before it.
func (e *endpointList) receive(list *discoveryhttp.List, silence time.Duration) {
	kind := decide.DeltaUpdate
	if list.Full {
		kind = decide.FullUpdate
	}
	e.apply(list, kind, silence)
	e.gateway.listReceived.Store(true)
}

// apply updates the pool before the loop, and not through the loop's queue: from then on nothing is written to a
// server that drains, whatever the loop sends until it has taken the update.
func (e *endpointList) apply(list *discoveryhttp.List, kind decide.UpdateKind, silence time.Duration) {
	e.gateway.pool.Update(list.Servers(), kind != decide.DeltaUpdate)
	e.gateway.loop.UpdateEndpoints(e.starts.Update(list, kind, e.clock.Now(), silence))
}
