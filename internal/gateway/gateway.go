package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"winghatch/decide"
	"winghatch/internal/config"
	discoveryws "winghatch/internal/discovery/websocket"
	frontendws "winghatch/internal/frontend/websocket"
	"winghatch/internal/gossip"
	"winghatch/internal/recording"
	"winghatch/internal/remotewrite"
	upstreamws "winghatch/internal/upstream/websocket"
	"winghatch/internal/wal"
	"winghatch/internal/wsconn"
)

// origin is what the clock shows at the start of the process. It is not 0, so that a node's start some time
// before this gateway's own has a time of its own: to the core 0 means long ago.
const clockOrigin = 24 * time.Hour

// Clock is the gateway's time: monotonic, origin at its making.
type Clock struct{ startedAt time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since the origin.
func (c Clock) Now() time.Duration { return clockOrigin + time.Since(c.startedAt) }

// Options are what one gateway is given beside the fleet's settings.
type Options struct {
	Rank      int
	Seed      int64     // 0: from the time
	Recording io.Writer // nil: nothing is recorded
	Log       *slog.Logger

	FS     wal.FS // nil: the disk
	Core   Core   // nil: the module's
	Tamper Tamper
}

// Gateway is a whole running gateway.
type Gateway struct {
	fleet       *config.Fleet
	rank        int
	log         *slog.Logger
	loop        *Loop
	frontend    *frontendws.Server
	upstream    *upstreamws.Pool
	peers       *gossip.Transport
	control     *http.Server
	incarnation int64
	clock       Clock

	remoteWriter     *remotewrite.Writer // nil: measures go nowhere
	stopRemoteWriter context.CancelFunc
	remoteWriterDone chan struct{}
	stop             context.CancelFunc
	wg               sync.WaitGroup
}

// Start binds the sockets that the settings name and runs a gateway on them.
func Start(f *config.Fleet, o Options) (*Gateway, error) {
	cfg, err := f.DecideConfig(o.Rank)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	me := f.Gateways[o.Rank]
	g := &Gateway{fleet: f, rank: o.Rank, log: o.Log.With("gateway", o.Rank), clock: NewClock(), incarnation: time.Now().UnixNano()}
	if o.Seed == 0 {
		o.Seed = g.incarnation
	}
	var tp *recording.Writer
	if o.Recording != nil {
		if tp, err = recording.NewWriter(o.Recording, cfg, o.Seed); err != nil {
			return nil, err
		}
	}
	g.upstream = upstreamws.New(upstreamws.Options{ConnectTimeout: cfg.Limits.ConnectTimeout, MaxConns: f.Caps.MaxConnsPerEndpoint,
		CallsPerConn: f.Caps.MaxRequestsPerConn, IdleTimeout: f.Caps.EndpointIdleTimeout, PingInterval: f.Caps.PingAfter, Conn: wsconn.Options{MaxMessage: int64(f.Caps.MaxMessageBytes) * 2,
			MaxQueue: 8 * f.Caps.MaxQueuedBytes, WriteTimeout: f.Caps.WriteTimeout, ReadBuffer: 16 << 10}})
	ok := false
	var closers []io.Closer
	defer func() {
		if !ok {
			for _, c := range closers {
				c.Close()
			}
			g.upstream.Close()
			g.closeLogs()
		}
	}()
	ln, err := net.Listen("tcp", me.Listen)
	if err != nil {
		return nil, fmt.Errorf("gateway %d: listen: %w", o.Rank, err)
	}
	closers = append(closers, ln)
	var peers Peers
	if cfg.Limits.Gossip {
		pc, err := net.ListenPacket("udp", cmp.Or(me.GossipBind, me.GossipAddress))
		if err != nil {
			return nil, fmt.Errorf("gateway %d: peer: %w", o.Rank, err)
		}
		closers = append(closers, pc)
		var addrs []string
		for _, p := range f.Gateways {
			addrs = append(addrs, p.GossipAddress)
		}
		if g.peers, err = gossip.New(pc, gossip.Options{Fleet: f.Name, Rank: o.Rank, Peers: addrs, Secret: f.Secret,
			MaxMessageRate: cfg.GossipCapacity}); err != nil {
			return nil, err
		}
		peers = g.peers
	}
	var sl net.Listener
	if me.StateAddress != "" {
		if sl, err = net.Listen("tcp", me.StateAddress); err != nil {
			return nil, fmt.Errorf("gateway %d: state: %w", o.Rank, err)
		}
		closers = append(closers, sl)
	}
	if o.Core == nil {
		if o.Core, err = decide.New(cfg, o.Seed); err != nil {
			return nil, err
		}
	}
	g.loop = NewLoop(cfg, o.Core, g.clock.Now, g.upstream, peers, tp, g.log)
	bo := newPlanOptions(f, o.Rank, uint64(g.incarnation), o.Seed)
	bo.Log, bo.WallClock, bo.FS = g.log, func() int64 { return time.Now().UnixNano() }, o.FS
	if f.StateDirPattern != "" {
		bo.Dir = filepath.Join(f.StateDir(o.Rank), "book")
	}
	if g.loop.plans, err = openPlans(g.loop, bo); err != nil {
		return nil, fmt.Errorf("gateway %d: kept: %w", o.Rank, err)
	}
	if f.UsageExport.URL != "" {
		oo := OutboxOptions{Export: f.UsageExport, Fleet: f.Name, Gateway: o.Rank, Dir: f.StateDir(o.Rank), FS: o.FS, Incarnation: uint64(g.incarnation), WallClock: bo.WallClock, Log: g.log}
		if g.loop.usage, err = openUsageOutbox(g.loop, oo); err != nil {
			return nil, fmt.Errorf("gateway %d: kept: %w", o.Rank, err)
		}
	}
	if f.Tracing.URL != "" {
		if g.loop.tracer, err = openTracer(f, o.Rank, g.clock.Now(), o.Seed, g.log); err != nil {
			return nil, fmt.Errorf("gateway %d: traces: %w", o.Rank, err)
		}
	}
	g.loop.hasQuotaOwners = !o.Core.Status().FullGossip
	if f.Metrics.Enabled {
		g.loop.totals, g.loop.metrics = g.newAggregator(uint64(g.incarnation), o.Seed), g.newMetrics()
		if f.Metrics.URL != "" {
			g.remoteWriter = g.newRemoteWriter(f.Metrics, g.log)
		}
	}
	g.loop.maxOpenRequests, g.loop.tamper = int64(f.Caps.MaxInFlight), o.Tamper
	ok = true
	g.run(ln, sl)
	return g, nil
}

func (g *Gateway) run(ln, sl net.Listener) {
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.frontend = frontendws.New(g.fleet, g.rank, fmt.Sprintf("%d-%x-", g.rank, g.incarnation), g.loop,
		g.clock.Now, g.log)
	goes := func(f func()) {
		g.wg.Add(1)
		go func() { defer g.wg.Done(); f() }()
	}
	goes(g.loop.Run)
	g.loop.Do(g.loop.plans.start)
	if g.peers != nil {
		goes(func() { g.peers.Serve(g.loop.ReceiveGossip) })
	}
	if g.fleet.EndpointList != "" {
		kept := ""
		if g.fleet.EndpointListPattern != "" {
			kept = strings.ReplaceAll(g.fleet.EndpointListPattern, "%d", fmt.Sprint(g.rank))
		}
		goes(func() {
			discoveryws.Watch(ctx, discoveryws.Options{Address: g.fleet.EndpointList, CacheFile: kept, Rank: g.rank, Clock: g.clock.Now,
				OnUpdate: g.loop.UpdateEndpoints, Log: func(msg string, args ...any) { g.log.Warn(msg, args...) }})
		})
	}
	if sl != nil {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			raw, err := json.Marshal(g.State())
			if err != nil {
				g.log.Error("the state can't be told", "err", err)
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			w.Write(raw)
		})
		if m := g.loop.metrics; m != nil {
			mux.Handle("GET /metrics", promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
		}
		mux.HandleFunc("POST /changes", g.postChange)
		mux.HandleFunc("GET /changes", g.getHistory)
		g.control = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second}
		goes(func() { g.control.Serve(sl) })
	}
	goes(func() { g.frontend.PingIdle(ctx) })
	if g.loop.usage != nil {
		goes(func() { g.loop.usage.run(ctx) })
	}
	if g.remoteWriter != nil {
		wctx, stop := context.WithCancel(ctx)
		g.stopRemoteWriter, g.remoteWriterDone = stop, make(chan struct{})
		goes(func() { g.runRemoteWriter(wctx); close(g.remoteWriterDone) })
	}
	if file := g.fleet.Gateways[g.rank].ChangesFile; file != "" {
		goes(func() { g.watchChanges(ctx, file) })
	}
	goes(func() { g.frontend.Serve(ln) })
	g.log.Info("gateway runs", "listen", ln.Addr().String(), "fleet", g.fleet.Name)
}

// handOver is how long a stopping gateway offers what is set aside with it to others.
const handOverTimeout = 500 * time.Millisecond

// Drain takes nothing new, waits until every open call has its answer, within their deadlines, and stops.
func (g *Gateway) Drain() {
	g.frontend.Drain()
	var longest time.Duration
	for _, k := range g.fleet.Decide.Classes {
		longest = max(longest, k.Deadline)
	}
	until := time.Now().Add(longest + g.fleet.Decide.Safety.AnswerSlack)
	for g.loop.OpenRequests.Load() > 0 && time.Now().Before(until) {
		time.Sleep(2 * time.Millisecond)
	}
	// What is set aside here goes to others, for a moment; what no one takes stays on the disk for the next life.
	handed := make(chan struct{})
	if g.loop.Do(func() { g.loop.plans.handOver(handed) }) {
		select {
		case <-handed:
		case <-time.After(handOverTimeout):
		}
	}
	// The last measures leave while the state that they are read from is there.
	if g.remoteWriter != nil {
		g.stopRemoteWriter()
		<-g.remoteWriterDone
	}
	// The last answers leave before their sessions are cut.
	for until := time.Now().Add(time.Second); g.frontend.SessionCount() > 0 && time.Now().Before(until); {
		time.Sleep(2 * time.Millisecond)
	}
	g.Stop()
}

// Stop ends everything at once.
func (g *Gateway) Stop() {
	g.stop()
	g.frontend.Close()
	if g.peers != nil {
		g.peers.Close()
	}
	if g.control != nil {
		g.control.Close()
	}
	g.loop.Stop()
	g.upstream.Close()
	g.wg.Wait()
	g.closeLogs()
}

// closeKept ends what the loop keeps and tells, as far as it was opened.
func (g *Gateway) closeLogs() {
	l := g.loop
	if l == nil {
		return
	}
	if l.plans != nil {
		l.plans.close()
	}
	if l.usage != nil {
		l.usage.close()
	}
	if l.tracer != nil {
		l.tracer.close()
	}
}

// State is what an operator is told.
type State struct {
	Fleet              string            `json:"fleet"`
	Rank               int               `json:"rank"`
	Zone               string            `json:"zone,omitempty"`
	Uptime             time.Duration     `json:"up_ns"`
	Sessions           int               `json:"sessions"`
	OpenRequests       int64             `json:"open"`
	QueueLength        int               `json:"queue"`
	LoopTurns          int64             `json:"turns"`
	Served             int64             `json:"served"`
	Rejected           map[string]int64  `json:"refused"`
	FrontendRejections map[string]int64  `json:"turned_away"`
	Failed             int64             `json:"failed"`
	Abandoned          int64             `json:"gone"`
	Attempts           int64             `json:"attempts"`
	Outcomes           map[string]int64  `json:"outcomes"`
	LateResponses      int64             `json:"late"`
	ServerConnections  int               `json:"node_connections"`
	Datagrams          DatagramCounts    `json:"datagrams"`
	CustomerNames      map[uint64]string `json:"names"` // of customers, by their keys in Core
	Core               CoreState         `json:"core"`

	PlanChanges    int                `json:"changes"` // in the book of plans
	PlanDigest     string             `json:"changes_sum"`
	Reservations   []ReservationState `json:"reservations,omitempty"`
	Usage          *UsageState        `json:"export,omitempty"`
	PlanLogFailure string             `json:"book_log,omitempty"` // why the books' log can't be written
}

// State asks the loop.
func (g *Gateway) State() State {
	s := State{Fleet: g.fleet.Name, Rank: g.rank, Zone: g.fleet.Gateways[g.rank].Zone, Uptime: g.clock.Now() - clockOrigin,
		Sessions: g.frontend.SessionCount(), FrontendRejections: g.frontend.Rejections(), ServerConnections: g.upstream.Conns(),
		Rejected: map[string]int64{}, Outcomes: map[string]int64{}, CustomerNames: map[uint64]string{}}
	if g.peers != nil {
		s.Datagrams = datagramCounts(g.peers.Counts())
	}
	for _, m := range g.fleet.Members {
		s.CustomerNames[decide.CustomerKey(m.Name)] = m.Name
	}
	g.loop.Do(func() {
		l := g.loop
		s.QueueLength, s.LoopTurns, s.Core = l.queue.len(), l.turns, CoreState{l.core.Status()}
		if l.usage != nil {
			s.Usage = l.usage.state()
		}
		n, sum := l.plans.replica.Digest()
		s.PlanChanges, s.PlanDigest = n, strconv.FormatUint(sum, 16)
		s.Reservations, s.PlanLogFailure = convertAll(l.plans.reservations.Views(), reservationState), l.plans.failure
		for k, v := range l.rejections {
			s.Rejected[k] = v
		}
		for k, v := range l.outcomes {
			s.Outcomes[k] = v
		}
	})
	l := g.loop
	s.OpenRequests, s.Served, s.Failed, s.Abandoned = l.OpenRequests.Load(), l.Served.Load(), l.Failed.Load(), l.Counters.Abandoned.Load()
	s.Attempts, s.LateResponses = l.Attempts.Load(), l.LateResponses.Load()+g.upstream.LateResponses()
	return s
}
