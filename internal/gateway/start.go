package gateway

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	discoveryws "winghatch/internal/discovery/websocket"
	frontendws "winghatch/internal/frontend/websocket"
	"winghatch/internal/gossip"
	"winghatch/internal/recording"
	upstreamws "winghatch/internal/upstream/websocket"
	"winghatch/internal/wsconn"
)

// Buffer size of connections to servers, and factors by which their limits exceed those of client
// connections: a response may be larger than the largest request, and one connection carries the calls of
// many sessions.
const (
	upstreamReadBuffer    = 16 << 10 // bytes
	upstreamMessageFactor = 2
	upstreamQueueFactor   = 8
)

// Start opens the configured sockets, restores the persisted state and runs a gateway. If it returns an
// error, it has released everything that it opened. The error names the setting at fault and, unless the
// settings themselves are invalid, the rank of the gateway.
func Start(f *config.Fleet, o Options) (_ *Gateway, err error) {
	cfg, err := f.DecideConfig(o.Rank)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	g := &Gateway{
		fleet:       f,
		rank:        o.Rank,
		log:         o.Log.With("gateway", o.Rank),
		clock:       NewClock(),
		incarnation: time.Now().UnixNano(),
	}
	if o.Seed == 0 {
		o.Seed = g.incarnation
	}
	var recorder *recording.Writer
	if o.Recording != nil {
		if recorder, err = recording.NewWriter(o.Recording, cfg, o.Seed); err != nil {
			return nil, fmt.Errorf("gateway %d: recording: %w", o.Rank, err)
		}
	}
	g.upstream = newUpstream(cfg, &f.Caps)
	var s sockets
	defer func() {
		if err != nil {
			s.close()
			g.upstream.Close()
			g.closeLogs()
		}
	}()
	if err := g.listen(cfg, &s); err != nil {
		return nil, err
	}
	if o.Core == nil {
		if o.Core, err = decide.New(cfg, o.Seed); err != nil {
			return nil, fmt.Errorf("gateway %d: %w", o.Rank, err)
		}
	}
	var peers Peers
	if g.peers != nil {
		peers = g.peers
	}
	g.loop = NewLoop(cfg, o.Core, g.clock.Now, g.upstream, peers, recorder, g.log)
	if err := g.configureLoop(o); err != nil {
		return nil, err
	}
	g.run(&s)
	return g, nil
}

// newUpstream returns the pool of connections to servers.
func newUpstream(cfg decide.Config, caps *config.ResourceLimits) *upstreamws.Pool {
	return upstreamws.New(upstreamws.Options{
		ConnectTimeout: cfg.Limits.ConnectTimeout,
		MaxConns:       caps.MaxConnsPerEndpoint,
		CallsPerConn:   caps.MaxRequestsPerConn,
		IdleTimeout:    caps.EndpointIdleTimeout,
		PingInterval:   caps.PingAfter,
		Conn: wsconn.Options{
			MaxMessage:   upstreamMessageFactor * int64(caps.MaxMessageBytes),
			MaxQueue:     upstreamQueueFactor * caps.MaxQueuedBytes,
			WriteTimeout: caps.WriteTimeout,
			ReadBuffer:   upstreamReadBuffer,
		},
	})
}

// sockets holds the sockets that a gateway listens on.
type sockets struct {
	requests net.Listener
	gossip   net.PacketConn // nil if gossip is disabled
	control  net.Listener   // nil if no state address is configured
}

// close closes the sockets that are open.
func (s *sockets) close() {
	if s.requests != nil {
		s.requests.Close()
	}
	if s.gossip != nil {
		s.gossip.Close()
	}
	if s.control != nil {
		s.control.Close()
	}
}

// listen opens the sockets. If it returns an error, some of them may be open, and the caller must close them.
func (g *Gateway) listen(cfg decide.Config, s *sockets) (err error) {
	settings := g.fleet.Gateways[g.rank]
	if s.requests, err = net.Listen("tcp", settings.Listen); err != nil {
		return fmt.Errorf("gateway %d: listen: %w", g.rank, err)
	}
	if cfg.Limits.Gossip {
		if s.gossip, err = net.ListenPacket(
			"udp", cmp.Or(settings.GossipBind, settings.GossipAddress)); err != nil {
			return fmt.Errorf("gateway %d: peer: %w", g.rank, err)
		}
		if err := g.openGossip(cfg, s.gossip); err != nil {
			return fmt.Errorf("gateway %d: peer: %w", g.rank, err)
		}
	}
	if settings.StateAddress != "" {
		if s.control, err = net.Listen("tcp", settings.StateAddress); err != nil {
			return fmt.Errorf("gateway %d: state: %w", g.rank, err)
		}
	}
	return nil
}

// openGossip sets up the transport of gossip on a socket.
func (g *Gateway) openGossip(cfg decide.Config, socket net.PacketConn) (err error) {
	var addresses []string
	for _, gateway := range g.fleet.Gateways {
		addresses = append(addresses, gateway.GossipAddress)
	}
	g.peers, err = gossip.New(socket, gossip.Options{
		Fleet:          g.fleet.Name,
		Rank:           g.rank,
		Peers:          addresses,
		Secret:         g.fleet.Secret,
		MaxMessageRate: cfg.GossipCapacity,
	})
	return err
}

// configureLoop adds the configured features to the loop. closeLogs closes what it opens.
func (g *Gateway) configureLoop(o Options) (err error) {
	f, l := g.fleet, g.loop
	incarnation := uint64(g.incarnation)
	plans := newPlanOptions(f, g.rank, incarnation, o.Seed)
	plans.Log, plans.WallClock, plans.FS = g.log, unixNanos, o.FS
	if f.StateDirPattern != "" {
		plans.Dir = filepath.Join(f.StateDir(g.rank), planLogDir)
		plans.SpendingDir = filepath.Join(f.StateDir(g.rank), spendingLogDir)
		plans.Reservations.Boot = bootID()
	}
	if l.plans, err = openPlans(l, plans); err != nil {
		return fmt.Errorf("gateway %d: kept: plan log: %w", g.rank, err)
	}
	if f.UsageExport.URL != "" {
		usage := OutboxOptions{
			Export:      f.UsageExport,
			Fleet:       f.Name,
			Gateway:     g.rank,
			Dir:         f.StateDir(g.rank),
			FS:          o.FS,
			Incarnation: incarnation,
			WallClock:   unixNanos,
			Log:         g.log,
		}
		if l.usage, err = openUsageOutbox(l, usage); err != nil {
			return fmt.Errorf("gateway %d: kept: outbox log: %w", g.rank, err)
		}
	}
	if f.Tracing.URL != "" {
		if l.tracer, err = openTracer(f, g.rank, g.clock.Now(), o.Seed, g.log); err != nil {
			return fmt.Errorf("gateway %d: traces: %w", g.rank, err)
		}
	}
	l.hasQuotaOwners = !l.core.Status().FullGossip
	if f.Metrics.Enabled {
		l.totals, l.metrics = g.newAggregator(o.Seed), g.newMetrics()
		if f.Metrics.URL != "" {
			g.remoteWriter = g.newRemoteWriter()
		}
	}
	l.SetMaxOpenRequests(f.Caps.MaxInFlight)
	l.hooks = o.TestHooks
	return nil
}

// run starts the goroutines of the gateway. The loop comes first and the frontend last, so that no request
// arrives before the core has its plans and everything else is running. Stop ends each goroutine by
// cancelling its context or by closing what it serves.
func (g *Gateway) run(s *sockets) {
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	idPrefix := fmt.Sprintf("%d-%x-", g.rank, g.incarnation)
	g.frontend = frontendws.New(g.fleet, g.rank, idPrefix, g.loop, g.clock.Now, g.log)

	g.spawn(g.loop.Run)
	g.loop.Do(g.loop.plans.start) // the core must have the restored plans before any other input
	if g.peers != nil {
		g.spawn(func() { g.peers.Serve(g.loop.ReceiveGossip) })
	}
	if g.fleet.EndpointList != "" {
		g.spawn(func() { g.watchEndpoints(ctx) })
	}
	if s.control != nil {
		g.control = g.newControlServer()
		g.spawn(func() { g.control.Serve(s.control) })
	}
	g.spawn(func() { g.frontend.PingIdle(ctx) })
	if g.loop.usage != nil {
		g.spawn(func() { g.loop.usage.run(ctx) })
	}
	if g.remoteWriter != nil {
		g.spawnRemoteWriter(ctx)
	}
	if file := g.fleet.Gateways[g.rank].ChangesFile; file != "" {
		g.spawn(func() { g.watchChanges(ctx, file) })
	}
	g.spawn(func() { g.frontend.Serve(s.requests) })
	g.log.Info("Gateway started", "listen", s.requests.Addr().String(), "fleet", g.fleet.Name)
}

// spawn starts a goroutine that Stop waits for.
func (g *Gateway) spawn(f func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
}

// spawnRemoteWriter starts the remote writer with a context of its own, because Drain stops it before
// everything else.
func (g *Gateway) spawnRemoteWriter(ctx context.Context) {
	ctx, g.stopRemoteWriter = context.WithCancel(ctx)
	g.remoteWriterDone = make(chan struct{})
	g.spawn(func() {
		g.remoteWriter.Run(ctx, flushTimeout)
		close(g.remoteWriterDone)
	})
}

// watchEndpoints passes the endpoint list and its changes to the loop until ctx ends.
func (g *Gateway) watchEndpoints(ctx context.Context) {
	discoveryws.Watch(ctx, discoveryws.Options{
		Address:   g.fleet.EndpointList,
		CacheFile: strings.ReplaceAll(g.fleet.EndpointListPattern, "%d", strconv.Itoa(g.rank)),
		Rank:      g.rank,
		Clock:     g.clock.Now,
		OnUpdate:  g.loop.UpdateEndpoints,
		Log:       func(message string, args ...any) { g.log.Warn(message, args...) },
	})
}
