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
const origin = 24 * time.Hour

// Clock is the gateway's time: monotonic, origin at its making.
type Clock struct{ began time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since the origin.
func (c Clock) Now() time.Duration { return origin + time.Since(c.began) }

// Options are what one gateway is given beside the fleet's settings.
type Options struct {
	Rank int
	Seed int64     // 0: from the time
	Tape io.Writer // nil: nothing is recorded
	Log  *slog.Logger

	FS     wal.FS // nil: the disk
	Core   Core   // nil: the module's
	Tamper Tamper
}

// Gateway is a whole running gateway.
type Gateway struct {
	fleet *config.Fleet
	rank  int
	log   *slog.Logger
	loop  *Loop
	front *frontendws.Server
	pool  *upstreamws.Pool
	peers *gossip.Link
	state *http.Server
	epoch int64
	clock Clock

	writer     *remotewrite.Writer // nil: measures go nowhere
	writerStop context.CancelFunc
	writerDone chan struct{}
	stop       context.CancelFunc
	wg         sync.WaitGroup
}

// Start binds the sockets that the settings name and runs a gateway on them.
func Start(f *config.Fleet, o Options) (*Gateway, error) {
	cfg, err := f.Rank(o.Rank)
	if err != nil {
		return nil, err
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	me := f.Gateways[o.Rank]
	g := &Gateway{fleet: f, rank: o.Rank, log: o.Log.With("gateway", o.Rank), clock: NewClock(), epoch: time.Now().UnixNano()}
	if o.Seed == 0 {
		o.Seed = g.epoch
	}
	var tp *recording.Writer
	if o.Tape != nil {
		if tp, err = recording.NewWriter(o.Tape, cfg, o.Seed); err != nil {
			return nil, err
		}
	}
	g.pool = upstreamws.New(upstreamws.Options{ConnectTimeout: cfg.Limits.ConnectTimeout, Conns: f.Caps.NodeConns,
		Calls: f.Caps.NodeCalls, Idle: f.Caps.NodeIdle, Ping: f.Caps.Ping, Link: wsconn.Options{Message: int64(f.Caps.Message) * 2,
			Queue: 8 * f.Caps.Queue, WriteWait: f.Caps.Write, ReadBuffer: 16 << 10}})
	ok := false
	var closers []io.Closer
	defer func() {
		if !ok {
			for _, c := range closers {
				c.Close()
			}
			g.pool.Close()
			g.closeKept()
		}
	}()
	ln, err := net.Listen("tcp", me.Listen)
	if err != nil {
		return nil, fmt.Errorf("gateway %d: listen: %w", o.Rank, err)
	}
	closers = append(closers, ln)
	var peers Peers
	if cfg.Limits.Gossip {
		pc, err := net.ListenPacket("udp", cmp.Or(me.Bind, me.Peer))
		if err != nil {
			return nil, fmt.Errorf("gateway %d: peer: %w", o.Rank, err)
		}
		closers = append(closers, pc)
		var addrs []string
		for _, p := range f.Gateways {
			addrs = append(addrs, p.Peer)
		}
		if g.peers, err = gossip.New(pc, gossip.Options{Fleet: f.Name, Rank: o.Rank, Peers: addrs, Secret: f.Secret,
			Intake: cfg.GossipCapacity}); err != nil {
			return nil, err
		}
		peers = g.peers
	}
	var sl net.Listener
	if me.State != "" {
		if sl, err = net.Listen("tcp", me.State); err != nil {
			return nil, fmt.Errorf("gateway %d: state: %w", o.Rank, err)
		}
		closers = append(closers, sl)
	}
	if o.Core == nil {
		if o.Core, err = decide.New(cfg, o.Seed); err != nil {
			return nil, err
		}
	}
	g.loop = NewLoop(cfg, o.Core, g.clock.Now, g.pool, peers, tp, g.log)
	bo := bookOptions(f, o.Rank, uint64(g.epoch), o.Seed)
	bo.Log, bo.Wall, bo.FS = g.log, func() int64 { return time.Now().UnixNano() }, o.FS
	if f.Kept != "" {
		bo.Dir = filepath.Join(f.Dir(o.Rank), "book")
	}
	if g.loop.books, err = openBooks(g.loop, bo); err != nil {
		return nil, fmt.Errorf("gateway %d: kept: %w", o.Rank, err)
	}
	if f.Export.To != "" {
		oo := OwedOptions{Export: f.Export, Fleet: f.Name, Gateway: o.Rank, Dir: f.Dir(o.Rank), FS: o.FS, Life: uint64(g.epoch), Wall: bo.Wall, Log: g.log}
		if g.loop.owed, err = openOwed(g.loop, oo); err != nil {
			return nil, fmt.Errorf("gateway %d: kept: %w", o.Rank, err)
		}
	}
	if f.Traces.To != "" {
		if g.loop.traces, err = openTraces(f, o.Rank, g.clock.Now(), o.Seed, g.log); err != nil {
			return nil, fmt.Errorf("gateway %d: traces: %w", o.Rank, err)
		}
	}
	g.loop.homes = !o.Core.Status().FullGossip
	if f.Measures.On {
		g.loop.sums, g.loop.measures = g.openSums(uint64(g.epoch), o.Seed), g.openMeasures()
		if f.Measures.To != "" {
			g.writer = g.openWriter(f.Measures, g.log)
		}
	}
	g.loop.limit, g.loop.tamper = int64(f.Caps.Open), o.Tamper
	ok = true
	g.run(ln, sl)
	return g, nil
}

func (g *Gateway) run(ln, sl net.Listener) {
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.front = frontendws.New(g.fleet, g.rank, fmt.Sprintf("%d-%x-", g.rank, g.epoch), g.loop,
		g.clock.Now, g.log)
	goes := func(f func()) {
		g.wg.Add(1)
		go func() { defer g.wg.Done(); f() }()
	}
	goes(g.loop.Run)
	g.loop.Ask(g.loop.books.begin)
	if g.peers != nil {
		goes(func() { g.peers.Serve(g.loop.Peer) })
	}
	if g.fleet.List != "" {
		kept := ""
		if g.fleet.ListKept != "" {
			kept = strings.ReplaceAll(g.fleet.ListKept, "%d", fmt.Sprint(g.rank))
		}
		goes(func() {
			discoveryws.Follow(ctx, discoveryws.Options{Addr: g.fleet.List, Kept: kept, Rank: g.rank, Clock: g.clock.Now,
				Take: g.loop.Fleet, Log: func(msg string, args ...any) { g.log.Warn(msg, args...) }})
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
		if m := g.loop.measures; m != nil {
			mux.Handle("GET /metrics", promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
		}
		mux.HandleFunc("POST /changes", g.postChange)
		mux.HandleFunc("GET /changes", g.getHistory)
		g.state = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second}
		goes(func() { g.state.Serve(sl) })
	}
	goes(func() { g.front.Keep(ctx) })
	if g.loop.owed != nil {
		goes(func() { g.loop.owed.run(ctx) })
	}
	if g.writer != nil {
		wctx, stop := context.WithCancel(ctx)
		g.writerStop, g.writerDone = stop, make(chan struct{})
		goes(func() { g.runWriter(wctx); close(g.writerDone) })
	}
	if file := g.fleet.Gateways[g.rank].Changes; file != "" {
		goes(func() { g.watch(ctx, file) })
	}
	goes(func() { g.front.Serve(ln) })
	g.log.Info("gateway runs", "listen", ln.Addr().String(), "fleet", g.fleet.Name)
}

// handOver is how long a stopping gateway offers what is set aside with it to others.
const handOver = 500 * time.Millisecond

// Drain takes nothing new, waits until every open call has its answer, within their deadlines, and stops.
func (g *Gateway) Drain() {
	g.front.Drain()
	var longest time.Duration
	for _, k := range g.fleet.Decide.Classes {
		longest = max(longest, k.Deadline)
	}
	until := time.Now().Add(longest + g.fleet.Decide.Safety.AnswerSlack)
	for g.loop.Open.Load() > 0 && time.Now().Before(until) {
		time.Sleep(2 * time.Millisecond)
	}
	// What is set aside here goes to others, for a moment; what no one takes stays on the disk for the next life.
	handed := make(chan struct{})
	if g.loop.Ask(func() { g.loop.books.handOver(handed) }) {
		select {
		case <-handed:
		case <-time.After(handOver):
		}
	}
	// The last measures leave while the state that they are read from is there.
	if g.writer != nil {
		g.writerStop()
		<-g.writerDone
	}
	// The last answers leave before their sessions are cut.
	for until := time.Now().Add(time.Second); g.front.Sessions() > 0 && time.Now().Before(until); {
		time.Sleep(2 * time.Millisecond)
	}
	g.Stop()
}

// Stop ends everything at once.
func (g *Gateway) Stop() {
	g.stop()
	g.front.Close()
	if g.peers != nil {
		g.peers.Close()
	}
	if g.state != nil {
		g.state.Close()
	}
	g.loop.Stop()
	g.pool.Close()
	g.wg.Wait()
	g.closeKept()
}

// closeKept ends what the loop keeps and tells, as far as it was opened.
func (g *Gateway) closeKept() {
	l := g.loop
	if l == nil {
		return
	}
	if l.books != nil {
		l.books.close()
	}
	if l.owed != nil {
		l.owed.close()
	}
	if l.traces != nil {
		l.traces.close()
	}
}

// State is what an operator is told.
type State struct {
	Fleet      string            `json:"fleet"`
	Rank       int               `json:"rank"`
	Zone       string            `json:"zone,omitempty"`
	Up         time.Duration     `json:"up_ns"`
	Sessions   int               `json:"sessions"`
	Open       int64             `json:"open"`
	Queue      int               `json:"queue"`
	Turns      int64             `json:"turns"`
	Served     int64             `json:"served"`
	Refused    map[string]int64  `json:"refused"`
	TurnedAway map[string]int64  `json:"turned_away"`
	Failed     int64             `json:"failed"`
	Gone       int64             `json:"gone"`
	Attempts   int64             `json:"attempts"`
	Outcomes   map[string]int64  `json:"outcomes"`
	Late       int64             `json:"late"`
	NodeConns  int               `json:"node_connections"`
	Datagrams  DatagramCounts    `json:"datagrams"`
	Names      map[uint64]string `json:"names"` // of customers, by their keys in Core
	Core       CoreState         `json:"core"`

	Changes      int                `json:"changes"` // in the book of plans
	ChangesSum   string             `json:"changes_sum"`
	Reservations []ReservationState `json:"reservations,omitempty"`
	Export       *ExportState       `json:"export,omitempty"`
	BookLog      string             `json:"book_log,omitempty"` // why the books' log can't be written
}

// State asks the loop.
func (g *Gateway) State() State {
	s := State{Fleet: g.fleet.Name, Rank: g.rank, Zone: g.fleet.Gateways[g.rank].Zone, Up: g.clock.Now() - origin,
		Sessions: g.front.Sessions(), TurnedAway: g.front.TurnedAway(), NodeConns: g.pool.Conns(),
		Refused: map[string]int64{}, Outcomes: map[string]int64{}, Names: map[uint64]string{}}
	if g.peers != nil {
		s.Datagrams = datagramCounts(g.peers.Counts())
	}
	for _, m := range g.fleet.Members {
		s.Names[decide.CustomerKey(m.Name)] = m.Name
	}
	g.loop.Ask(func() {
		l := g.loop
		s.Queue, s.Turns, s.Core = l.q.len(), l.turns, CoreState{l.core.Status()}
		if l.owed != nil {
			s.Export = l.owed.state()
		}
		n, sum := l.books.book.Version()
		s.Changes, s.ChangesSum = n, strconv.FormatUint(sum, 16)
		s.Reservations, s.BookLog = convertAll(l.books.ledger.Views(), reservationState), l.books.failure
		for k, v := range l.reasons {
			s.Refused[k] = v
		}
		for k, v := range l.ends {
			s.Outcomes[k] = v
		}
	})
	l := g.loop
	s.Open, s.Served, s.Failed, s.Gone = l.Open.Load(), l.Served.Load(), l.Failed.Load(), l.Counters.Gone.Load()
	s.Attempts, s.Late = l.Tries.Load(), l.Late.Load()+g.pool.Late()
	return s
}
