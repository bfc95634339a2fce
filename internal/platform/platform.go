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
	leastSockets = 64
	usualSockets = 1024 // where no limit is told
	ownSockets   = 24   // of the process itself: listener, datagrams, list, the runtime's, files
	clientPart   = 0.5  // of the rest is for clients, the other part for servers
	memoryPart   = 0.6  // of the limit is the runtime's aim: stacks, sockets and the binary's pages count too
	idlePart     = 0.75 // of the servers' idle time, so that no attempt crosses their close
	usualIdle    = 30 * time.Second
	answerMost   = 1 << 20
	bodyPart     = 0.1 // of the memory limit is for bodies of requests at most, and as much for those of answers
	usualMemory  = 64  // MB, where no limit is told
	tellEvery    = 5 * time.Second
	readyAnyway  = 2 * time.Second // after this the list last held has to do
)

// Gateway is a running gateway of the platform.
type Gateway struct {
	c       *Config
	log     *slog.Logger
	loop    *gateway.Loop
	front   *frontendhttp.Server
	pool    *upstreamhttp.Pool
	peers   *plain.Link
	watch   *discoveryhttp.Watch
	ln      *net.TCPListener
	unheard chan struct{} // closed once nothing is accepted any more
	heard   atomic.Bool   // the list
	began   time.Time
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// Fit makes the runtime keep the limits that the configuration tells.
func Fit(c *Config) {
	runtime.GOMAXPROCS(1) // all threads share one core; more of them only wait for each other
	debug.SetGCPercent(400)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(c.MemoryMB) * (1 << 20)))
	}
}

// Start binds the addresses told and runs a gateway on them.
func Start(c *Config, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{c: c, log: log, began: time.Now(), unheard: make(chan struct{})}
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
		if g.peers, err = plain.New(pc, c.Decide.Rank, c.Peers, c.Decide.GossipCapacity); err != nil {
			pc.Close()
			g.ln.Close()
			return nil, err
		}
		peers = g.peers
	}
	bodies := int64(bodyPart * float64(cmp.Or(c.MemoryMB, usualMemory)) * (1 << 20))
	free := float64(cmp.Or(c.Sockets, usualSockets) - ownSockets)
	g.pool = upstreamhttp.New(upstreamhttp.Options{ConnectTimeout: cmp.Or(c.Decide.Limits.ConnectTimeout, time.Second),
		Conns: int((1 - clientPart) * free), Idle: time.Duration(idlePart * float64(cmp.Or(c.Bounds.Idle, usualIdle))),
		Body: answerMost, Bodies: bodies, Units: c.Decide.MaxUnits, Figure: settings.ReportName})
	g.loop = gateway.NewLoop(c.Decide, core, clock.Now, g.pool, peers, nil, log)
	g.loop.Limit(cmp.Or(c.Bounds.Open, 1<<20))
	starts := discoveryhttp.NewStarts(c.Decide.Safety.SlowStartDuration, time.Now)
	take := func(l *discoveryhttp.List, kind decide.UpdateKind, gap time.Duration) {
		// The pool first and past the loop's queue: a drain that has come holds for what the loop sends meanwhile.
		g.pool.Take(l.Servers(), kind != decide.DeltaUpdate)
		g.loop.Fleet(starts.Update(l, kind, clock.Now(), gap))
	}
	g.watch = discoveryhttp.New(c.Discovery, discoveryhttp.Options{Log: log, Take: func(l *discoveryhttp.List, gap time.Duration) {
		kind := decide.DeltaUpdate
		if l.All {
			kind = decide.FullUpdate
		}
		take(l, kind, gap)
		g.heard.Store(true)
	}})
	g.front = frontendhttp.New(frontendhttp.NewRules(&c.Decide), g.loop, frontendhttp.Options{Conns: int(clientPart * free), Bodies: bodies},
		clock.Now, g.Ready, log)
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.goes(g.loop.Run)
	take(&c.Known, decide.StaleUpdate, 0)
	if g.peers != nil {
		g.goes(func() { g.peers.Serve(g.loop.Peer) })
	}
	g.goes(func() { g.watch.Run(ctx) })
	g.goes(func() { g.front.Serve(g.ln); close(g.unheard) })
	g.goes(func() { g.tell(ctx) })
	log.Info("gateway runs", "name", c.Name, "listen", g.ln.Addr().String(), "servers", len(c.Known.Targets),
		"aims", aims(c), "max_retry_after", c.Decide.Limits.MaxRetryAfter, "cores", c.Cores, "memory_mb", c.MemoryMB, "sockets", c.Sockets)
	return g, nil
}

func (g *Gateway) goes(f func()) {
	g.wg.Add(1)
	go func() { defer g.wg.Done(); f() }()
}

// Ready reports whether requests can be served: the list was heard, or the one last held has to do.
func (g *Gateway) Ready() bool {
	return g.heard.Load() || len(g.c.Known.Targets) > 0 && time.Since(g.began) > readyAnyway
}

// Move follows another list.
func (g *Gateway) Move(discovery string) {
	g.log.Info("the list moves", "to", discovery)
	g.watch.Move(discovery)
}

// Stop ends everything at once.
func (g *Gateway) Stop() {
	g.stop()
	g.ln.Close()
	g.front.Close()
	if g.peers != nil {
		g.peers.Close()
	}
	g.loop.Stop()
	g.pool.Close()
	g.wg.Wait()
}

// tell logs a line of counts now and then.
func (g *Gateway) tell(ctx context.Context) {
	t := time.NewTicker(tellEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.Tell()
		}
	}
}

// Tell logs a line of counts.
func (g *Gateway) Tell() {
	l, f, p := g.loop, g.front, g.pool
	var ru syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b := l.Brief()
	g.log.Info("state", "up", time.Since(g.began).Round(time.Millisecond), "cpu_ms", (ru.Utime.Nano()+ru.Stime.Nano())/1e6,
		"rss_max_kb", ru.Maxrss, "heap_kb", m.HeapAlloc>>10, "sys_kb", m.Sys>>10, "gc", m.NumGC, "goroutines", runtime.NumGoroutine(),
		"requests", f.Requests.Load(), "open", l.Open.Load(), "served", l.Served.Load(), "failed", l.Failed.Load(), "gone", l.Counters.Gone.Load(),
		"refused", b.Refused, "outcomes", b.Outcomes, "late", l.Late.Load(), "lag", b.Lag, "turn", b.Turn,
		"clients", f.Conns.Load(), "opened", f.Opened.Load(), "closed", f.Closed.Load(), "evicted", f.Evicted.Load(), "bad", f.Bad.Load(), "full", f.Full.Load(),
		"conns", p.Conns.Load(), "dials", p.Dials.Load(), "dial_failed", p.DialFailed.Load(), "spoilt", p.Spoilt.Load(), "stray", p.Stray.Load(),
		"crowded", p.Crowded.Load(), "pressed", b.Pressed, "budget", b.Budget, "held", b.Held)
}

// aims tells the classes' wanted times and ends, which differ from site to site.
func aims(c *Config) (out []string) {
	for _, k := range c.Decide.Classes {
		out = append(out, fmt.Sprintf("%s %v/%v", k.Name, k.LatencyObjective, k.Deadline))
	}
	return out
}
