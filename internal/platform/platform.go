package platform

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
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
	minSockets         = 64
	defaultSockets     = 1024 // where no limit is told
	reservedSockets    = 24   // of the process itself: listener, datagrams, list, the runtime's, files
	clientShare        = 0.5  // of the rest is for clients, the other part for servers
	memoryTargetShare  = 0.6  // of the limit is the runtime's aim: stacks, sockets and the binary's pages count too
	idleTimeoutShare   = 0.75 // of the servers' idle time, so that no attempt crosses their close
	defaultIdleTimeout = 30 * time.Second
	maxResponseBytes   = 1 << 20
	bodyMemoryShare    = 0.1 // of the memory limit is for bodies of requests at most, and as much for those of answers
	defaultMemoryMB    = 64  // MB, where no limit is told
	statusInterval     = 5 * time.Second
	readyWithoutList   = 2 * time.Second // after this the list last held has to do
)

// Gateway is a running gateway of the platform.
type Gateway struct {
	cfg          *Config
	log          *slog.Logger
	loop         *gateway.Loop
	frontend     *frontendhttp.Server
	pool         *upstreamhttp.Pool
	gossip       *plain.Transport
	watch        *discoveryhttp.Watch
	ln           *net.TCPListener
	acceptDone   chan struct{} // closed once nothing is accepted any more
	listReceived atomic.Bool   // the list
	startedAt    time.Time
	stop         context.CancelFunc
	wg           sync.WaitGroup
}

// Fit makes the runtime keep the limits that the configuration tells.
func ApplyLimits(c *Config) {
	runtime.GOMAXPROCS(1) // all threads share one core; more of them only wait for each other
	debug.SetGCPercent(400)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryTargetShare * float64(c.MemoryMB) * (1 << 20)))
	}
}

// Start binds the addresses told and runs a gateway on them.
func Start(c *Config, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{cfg: c, log: log, startedAt: time.Now(), acceptDone: make(chan struct{})}
	clock := gateway.NewClock()
	core, err := decide.New(c.Decide, c.Seed)
	if err != nil {
		return nil, err
	}
	if g.ln, err = listen(c.Listen, log); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	var peers gateway.Peers
	if c.Decide.Limits.Gossip && c.Decide.Gateways > 1 {
		pc, err := listenPeers(c.PeerListen, log)
		if err != nil {
			g.ln.Close()
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
		if g.gossip, err = plain.New(pc, c.Decide.Rank, c.Peers, c.Decide.GossipCapacity); err != nil {
			pc.Close()
			g.ln.Close()
			return nil, err
		}
		peers = g.gossip
	}
	bodies := int64(bodyMemoryShare * float64(cmp.Or(c.MemoryMB, defaultMemoryMB)) * (1 << 20))
	free := float64(cmp.Or(c.Sockets, defaultSockets) - reservedSockets)
	g.pool = upstreamhttp.New(upstreamhttp.Options{DialTimeout: cmp.Or(c.Decide.Limits.ConnectTimeout, time.Second),
		MaxConns: int((1 - clientShare) * free), IdleTimeout: time.Duration(idleTimeoutShare * float64(cmp.Or(c.Transport.IdleTimeout, defaultIdleTimeout))),
		MaxBodyBytes: maxResponseBytes, MaxTotalBodyBytes: bodies, MaxUnits: c.Decide.MaxUnits, LoadReportName: settings.LoadReportField})
	g.loop = gateway.NewLoop(c.Decide, core, clock.Now, g.pool, peers, nil, log)
	g.loop.SetMaxOpenRequests(cmp.Or(c.Transport.MaxOpenRequests, 1<<20))
	starts := discoveryhttp.NewStartTimes(c.Decide.Safety.SlowStartDuration, time.Now)
	take := func(l *discoveryhttp.List, kind decide.UpdateKind, gap time.Duration) {
		// The pool first and past the loop's queue: a drain that has come holds for what the loop sends meanwhile.
		g.pool.Update(l.Servers(), kind != decide.DeltaUpdate)
		g.loop.UpdateEndpoints(starts.Update(l, kind, clock.Now(), gap))
	}
	g.watch = discoveryhttp.New(c.Discovery, discoveryhttp.Options{Log: log, OnList: func(l *discoveryhttp.List, gap time.Duration) {
		kind := decide.DeltaUpdate
		if l.Full {
			kind = decide.FullUpdate
		}
		take(l, kind, gap)
		g.listReceived.Store(true)
	}})
	g.frontend = frontendhttp.New(frontendhttp.NewRules(&c.Decide), g.loop, frontendhttp.Options{MaxConns: int(clientShare * free), MaxBodyBytes: bodies},
		clock.Now, g.Ready, log)
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.spawn(g.loop.Run)
	take(&c.LastKnown, decide.StaleUpdate, 0)
	if g.gossip != nil {
		g.spawn(func() { g.gossip.Serve(g.loop.ReceiveGossip) })
	}
	g.spawn(func() { g.watch.Run(ctx) })
	g.spawn(func() { g.frontend.Serve(g.ln); close(g.acceptDone) })
	g.spawn(func() { g.logStatusPeriodically(ctx) })
	log.Info("gateway runs", "name", c.Name, "listen", g.ln.Addr().String(), "servers", len(c.LastKnown.Targets),
		"aims", objectives(c), "max_retry_after", c.Decide.Limits.MaxRetryAfter, "cores", c.Cores, "memory_mb", c.MemoryMB, "sockets", c.Sockets)
	return g, nil
}

func (g *Gateway) spawn(f func()) {
	g.wg.Add(1)
	go func() { defer g.wg.Done(); f() }()
}

// Ready reports whether requests can be served: the list was heard, or the one last held has to do.
func (g *Gateway) Ready() bool {
	return g.listReceived.Load() || len(g.cfg.LastKnown.Targets) > 0 && time.Since(g.startedAt) > readyWithoutList
}

// Move follows another list.
func (g *Gateway) SetDiscovery(discovery string) {
	g.log.Info("the list moves", "to", discovery)
	g.watch.SetAddr(discovery)
}

// Stop ends everything at once.
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

// tell logs a line of counts now and then.
func (g *Gateway) logStatusPeriodically(ctx context.Context) {
	t := time.NewTicker(statusInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.LogStatus()
		}
	}
}

// Tell logs a line of counts.
func (g *Gateway) LogStatus() {
	l, f, p := g.loop, g.frontend, g.pool
	var ru syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b := l.Summary()
	g.log.Info("state", "up", time.Since(g.startedAt).Round(time.Millisecond), "cpu_ms", (ru.Utime.Nano()+ru.Stime.Nano())/1e6,
		"rss_max_kb", ru.Maxrss, "heap_kb", m.HeapAlloc>>10, "sys_kb", m.Sys>>10, "gc", m.NumGC, "goroutines", runtime.NumGoroutine(),
		"requests", f.Requests.Load(), "open", l.OpenRequests.Load(), "served", l.Served.Load(), "failed", l.Failed.Load(), "gone", l.Counters.Abandoned.Load(),
		"refused", b.Rejected, "outcomes", b.Outcomes, "late", l.LateResponses.Load(), "lag", b.TimerLag, "turn", b.LongestTurn,
		"clients", f.Conns.Load(), "opened", f.Accepted.Load(), "closed", f.TimedOut.Load(), "evicted", f.Evicted.Load(), "bad", f.BadRequests.Load(), "full", f.RefusedConns.Load(),
		"conns", p.Conns.Load(), "dials", p.Dials.Load(), "dial_failed", p.DialFailures.Load(), "spoilt", p.MalformedResponses.Load(), "stray", p.StaleConns.Load(),
		"crowded", p.ConnLimitReached.Load(), "pressed", b.Pressure, "budget", b.RetryBudget, "held", b.OpenRequests)
}

// aims tells the classes' wanted times and ends, which differ from site to site.
func objectives(c *Config) (out []string) {
	for _, k := range c.Decide.Classes {
		out = append(out, fmt.Sprintf("%s %v/%v", k.Name, k.LatencyObjective, k.Deadline))
	}
	return out
}
