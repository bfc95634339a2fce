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
	"winghatch/internal/memory"
	"winghatch/internal/platform/settings"
	upstreamhttp "winghatch/internal/upstream/http"
)

const (
	// defaultIdleTimeout is the idle timeout of servers if the settings contain none.
	defaultIdleTimeout = 30 * time.Second
	// idleTimeoutShare is the idle timeout of the connection pool as a fraction of the servers' idle timeout.
	// It is less than 1, so that the pool closes an idle connection before the server does. An attempt is
	// lost if the server closes the connection while the attempt is being written.
	idleTimeoutShare = 0.75
	// defaultDialTimeout is the time to connect to a server if the settings contain none.
	defaultDialTimeout = time.Second
	// maxDiscoveryWait is the time that a gateway waits for discovery before it serves with the last known
	// list.
	maxDiscoveryWait = 2 * time.Second
	// defaultMaxOpenRequests is the limit on open requests if the settings contain none.
	defaultMaxOpenRequests = 1 << 20
)

// Gateway is a running gateway of the platform. [Start] creates it. Drain or Stop ends it.
type Gateway struct {
	cfg       *Config
	log       *slog.Logger
	startedAt time.Time

	ln       *net.TCPListener
	loop     *gateway.Loop
	frontend *frontendhttp.Server
	pool     *upstreamhttp.Pool
	gossip   *plain.Transport // nil if there is no gossip
	watch    *discoveryhttp.Watch
	memory   *memoryMeter
	accounts peerAccounts
	manager  *memoryManager // nil if no memory limit is applied or memory cannot be measured

	listReceived atomic.Bool   // whether discovery has returned a list
	acceptDone   chan struct{} // closed when the frontend no longer accepts connections

	// wg counts the goroutines started by spawn. Stop ends them by calling stop or by closing what they
	// serve, and waits for them.
	wg   sync.WaitGroup
	stop context.CancelFunc
}

// Start binds the configured addresses and runs a gateway on them. If it returns an error, nothing keeps
// running.
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
	if g.memory, err = newMemoryMeter(); err != nil {
		log.Warn("Cannot measure memory, the target of the runtime stays fixed", "err", err)
	}
	g.accounts = newPeerAccounts(c)
	g.pool = newPool(c, g.accounts.responses)
	g.loop = gateway.NewLoop(c.Decide, core, clock.Now, g.pool, peers, nil, log)
	g.loop.SetMaxOpenRequests(cmp.Or(c.ConnectionLimits.MaxOpenRequests, defaultMaxOpenRequests))
	list := &endpointList{gateway: g, clock: clock, startTimes: newStartTimes(c)}
	g.watch = discoveryhttp.New(c.Discovery, discoveryhttp.Options{Log: log, OnList: list.receive})
	g.frontend = frontendhttp.New(frontendhttp.NewRules(&c.Decide), g.loop,
		frontendhttp.Options{
			MaxConns: c.maxClientConns(),
			Memory:   g.accounts.bodies,
			Cores:    c.usableCores(),
		},
		clock.Now, g.Ready, log)
	if c.MemoryMB > 0 && c.limitsApplied && g.memory != nil {
		g.manager = newMemoryManager(c, g.memory, g.accounts, g.frontend, log)
	}
	g.run(list)
	log.Info("Gateway started", "name", c.Name, "listen", g.ln.Addr().String(),
		"servers", len(c.LastKnown.Targets), "classes", classSummaries(c),
		"max_retry_after", c.Decide.Limits.MaxRetryAfter,
		"cores", c.Cores, "memory_mb", c.MemoryMB, "sockets", c.Sockets)
	return g, nil
}

// run starts the goroutines. The loop starts first, because it must have the last known list before the first
// request arrives.
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
	if g.manager != nil {
		g.spawn(func() { g.manager.run(ctx) })
	}
}

// spawn runs f in a goroutine that Stop waits for.
func (g *Gateway) spawn(f func()) { g.wg.Go(f) }

// listenGossip returns the transport for gossip with the other gateways.
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

// newPool returns the pool of connections to servers.
func newPool(c *Config, responses *memory.Account) *upstreamhttp.Pool {
	serverIdleTimeout := cmp.Or(c.ConnectionLimits.IdleTimeout, defaultIdleTimeout)
	return upstreamhttp.New(upstreamhttp.Options{
		DialTimeout:    cmp.Or(c.Decide.Limits.ConnectTimeout, defaultDialTimeout),
		MaxConns:       c.maxServerConns(),
		IdleTimeout:    time.Duration(idleTimeoutShare * float64(serverIdleTimeout)),
		MaxBodyBytes:   maxResponseBytes,
		Memory:         responses,
		MaxUnits:       c.Decide.MaxUnits,
		LoadReportName: settings.LoadReportField,
	})
}

// Ready reports whether the gateway can serve requests. This is the case after the first response of
// discovery, or after maxDiscoveryWait if the last known list is not empty.
func (g *Gateway) Ready() bool {
	if g.listReceived.Load() {
		return true
	}
	return len(g.cfg.LastKnown.Targets) > 0 && time.Since(g.startedAt) > maxDiscoveryWait
}

// SetDiscovery switches the discovery watch to the given address. If the address is unchanged, the watch
// immediately asks it for changes.
func (g *Gateway) SetDiscovery(addr string) {
	g.log.Info("Discovery address updated", "to", addr)
	g.watch.SetAddr(addr)
}

// Stop ends the gateway immediately; Drain ends it gracefully. The parts stop in an order in which no part
// waits for one that has already stopped: first the frontend, then gossip, then the loop, and last the
// connections to servers, which carry the attempts of the loop.
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
	g.memory.close()
}

// endpointList passes endpoint lists from discovery to the pool and the loop.
type endpointList struct {
	gateway    *Gateway
	clock      gateway.Clock
	startTimes *discoveryhttp.StartTimes
}

// newStartTimes returns the tracker of server start times, which determines the slow start of each server.
func newStartTimes(c *Config) *discoveryhttp.StartTimes {
	return discoveryhttp.NewStartTimes(c.Decide.Safety.SlowStartDuration, time.Now)
}

// receive handles a list from the discovery watch. silence is the time between the previous response of
// discovery and this one.
func (e *endpointList) receive(list *discoveryhttp.List, silence time.Duration) {
	kind := decide.DeltaUpdate
	if list.Full {
		kind = decide.FullUpdate
	}
	e.apply(list, kind, silence)
	e.gateway.listReceived.Store(true)
}

// apply updates the pool and then the loop. The pool is updated directly instead of through the loop's queue,
// so that nothing is written to a draining server even if the loop sends to it before it has processed the
// update. silence is the same as in receive, and 0 for the last known list.
func (e *endpointList) apply(list *discoveryhttp.List, kind decide.UpdateKind, silence time.Duration) {
	e.gateway.pool.Update(list.Servers(), kind != decide.DeltaUpdate)
	e.gateway.loop.UpdateEndpoints(e.startTimes.Update(list, kind, e.clock.Now(), silence))
}
