package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/credentials"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/invariant"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/testbed/client"
	"winghatch/internal/testbed/discovery"
	"winghatch/internal/testbed/metricsreceiver"
	"winghatch/internal/testbed/ports"
)

// Options say how a day is played.
type Options struct {
	Seed       int                              // 0: the script's
	Dir        string                           // where settings, records and tapes go
	Command    func(args ...string) *exec.Cmd   // the gateway's program
	Logf       func(format string, args ...any) // tells what happens; may be nil
	GatewayEnv func(rank int) (env []string)    // for tests of the judge: how a gateway is broken
}

// Outcome is a day played.
type Result struct {
	Stats      client.Stats
	Verdict    *invariant.Verdict
	Attempts   int
	Records    int
	Recordings []string

	Usage           *invariant.UsageResult // of an accounting, if the fleet has one
	DuplicateEvents int                    // events that it was sent again
	Kills           int                    // of gateways, by kill storms
	Reservations    []ReservationUse
}

// player is a day under way.
type runner struct {
	script        *Script
	options       Options
	log           *invariant.Log
	fleet         *config.Fleet
	configFile    string
	discovery     *discovery.Server
	discoveryAddr string
	client        *client.Client
	relays        []*lossyRelay
	rng           *rand.Rand
	mu            sync.Mutex
	servers       []*serverSlot
	gateways      []*gatewayProcess
	recordings    []string
	errs          []error
	wg            sync.WaitGroup
	ctx           context.Context
	dedupStores   map[string]*backend.DedupStore
	usageMeter    *backend.UsageMeter
	ports         ports.Reservation

	usageReceiver *usageReceiverSlot
	metrics       *metricsreceiver.Receiver
	gatewayKilled bool
	kills         int
	lastChange    uint64
	reservations  []ReservationUse
}

// slot is a node's place: what runs there comes and goes.
type serverSlot struct {
	options backend.Options
	server  *backend.Server
	inUse   bool // with a trouble that takes it away
}

// gate is a gateway's place.
type gatewayProcess struct {
	rank         int
	incarnations int
	cmd          *exec.Cmd
	ended        chan struct{}
	log          *os.File
}

func (p *runner) logf(format string, args ...any) {
	if p.options.Logf != nil {
		p.options.Logf("%6.2fs  %s", p.log.Now().Seconds(), fmt.Sprintf(format, args...))
	}
}

func (p *runner) fail(err error) {
	p.mu.Lock()
	p.errs = append(p.errs, err)
	p.mu.Unlock()
}

// Play plays a day and has it judged. An error means that it could not be played.
func Run(ctx context.Context, s *Script, o Options) (*Result, error) {
	if o.Seed == 0 {
		o.Seed = s.Seed
	}
	out, err := os.Create(filepath.Join(o.Dir, "traffic.jsonl"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &runner{script: s, options: o, log: invariant.NewLog(out), rng: rand.New(rand.NewPCG(uint64(o.Seed), 3)), ctx: ctx,
		dedupStores: map[string]*backend.DedupStore{}}
	watch := make(chan struct{})
	go p.log.WatchStalls(watch)
	defer close(watch)
	if err := p.setUp(); err != nil {
		p.tearDown()
		return nil, err
	}
	p.run()
	p.tearDown()
	if err := errors.Join(p.errs...); err != nil {
		return nil, err
	}
	if err := p.log.Flush(); err != nil {
		return nil, err
	}
	recs := p.log.Records()
	res := &Result{Stats: p.client.Stats(), Verdict: invariant.Check(p.fleet, recs), Records: len(recs), Recordings: p.recordings}
	for _, r := range recs {
		if r.Kind == invariant.Received {
			res.Attempts++
		}
	}
	if err := errors.Join(p.checkUsage(recs, res), p.saveMetrics()); err != nil {
		return nil, err
	}
	return res, nil
}

func (p *runner) setUp() error {
	f := *p.script.Fleet
	p.fleet = &f
	f.Secret = credentials.NewSecret()
	f.Gateways = append([]config.Gateway(nil), f.Gateways...)
	f.Members = append([]config.Member(nil), f.Members...)
	var err error
	if p.discoveryAddr, err = p.ports.Addr(); err != nil {
		return err
	}
	if p.discovery, err = discovery.Start(p.discoveryAddr, p.script.DiscoveryDelay, p.log); err != nil {
		return err
	}
	f.EndpointList = p.discoveryAddr
	f.EndpointListPattern = filepath.Join(p.options.Dir, "list-%d.json")
	if err := p.startReceivers(); err != nil {
		return err
	}
	var addrs []string
	for i := range f.Gateways {
		g := &f.Gateways[i]
		if g.Listen, err = p.ports.Addr(); err != nil {
			return err
		}
		if g.StateAddress, err = p.ports.Addr(); err != nil {
			return err
		}
		if f.Decide.Limits.Gossip {
			if g.GossipBind, err = p.ports.Addr(); err != nil {
				return err
			}
			r, err := newRelay(g.GossipBind, uint64(p.options.Seed)+uint64(i))
			if err != nil {
				return err
			}
			p.relays = append(p.relays, r)
			g.GossipAddress = r.addr()
		}
		addrs = append(addrs, g.Listen)
	}
	var members []client.Member
	for i := range f.Members {
		m := &f.Members[i]
		key := credentials.NewMemberKey()
		m.Keys = []credentials.Digest{f.Secret.MemberKeyHasher().Sum([]byte(key))}
		members = append(members, client.Member{Name: m.Name, Key: key, FirstGateway: m.First, GatewayCount: m.Spread})
	}
	p.configFile = filepath.Join(p.options.Dir, "fleet.kdl")
	if err := os.WriteFile(p.configFile, config.Format(&f), 0o600); err != nil {
		return err
	}
	if _, err := config.Load(p.configFile); err != nil {
		return err
	}
	if err := p.startServers(); err != nil {
		return err
	}
	for rank := range f.Gateways {
		g := &gatewayProcess{rank: rank}
		p.gateways = append(p.gateways, g)
		if err := p.startGateway(g); err != nil {
			return err
		}
	}
	for _, g := range p.gateways {
		if err := p.awaitGateway(g); err != nil {
			return err
		}
	}
	p.client = client.New(client.Options{Gateways: addrs, Members: members, Classes: p.classes(), Rate: p.script.Load.Rate,
		Retries: p.script.Load.Retries, RetryDelay: p.script.Load.RetryDelay, Seed: uint64(p.options.Seed), Log: p.log})
	return nil
}

func (p *runner) classes() (out []client.Class) {
	for _, c := range p.script.Load.Classes {
		for _, k := range p.fleet.Decide.Classes {
			if k.Name == c.Class {
				out = append(out, client.Class{Name: k.Name, Share: c.Share, Idempotency: k.Idempotency, DedupScope: k.DedupScope, DedupWindow: k.DedupWindow,
					LatencyObjective: k.LatencyObjective, Deadline: k.Deadline, MaxUnits: c.MaxUnits})
			}
		}
	}
	return out
}

func (p *runner) startServers() error {
	if d := p.fleet.Decide.UsageReportPeriod; d > 0 {
		rates := map[string]float64{}
		for _, m := range p.fleet.Members {
			for _, plan := range p.fleet.Decide.Plans {
				if plan.Name == m.Plan {
					rates[m.Name] = plan.Rate
				}
			}
		}
		p.usageMeter = backend.NewUsageMeter(d, rates)
	}
	var all []discoveryws.Endpoint
	for _, n := range p.script.Servers {
		for range n.Count {
			sl, err := p.newServerSlot(n)
			if err != nil {
				return err
			}
			if sl.server, err = backend.Start(sl.options); err != nil {
				return err
			}
			p.servers = append(p.servers, sl)
			all = append(all, endpointOf(sl.options, "serving", time.Time{}))
		}
	}
	p.discovery.Update(all...)
	for p.discovery.Version() == 0 {
		time.Sleep(time.Millisecond)
	}
	return nil
}

func endpointOf(o backend.Options, state string, started time.Time) discoveryws.Endpoint {
	e := discoveryws.Endpoint{Address: o.Address, Zone: o.Zone, Cell: o.Cell, State: state}
	if !started.IsZero() {
		e.StartedMs = started.UnixMilli()
	}
	return e
}

// newSlot makes a place for a node, with the memory of keys that its group shares.
func (p *runner) newServerSlot(n ServerGroup) (*serverSlot, error) {
	addr, err := p.ports.Addr()
	if err != nil {
		return nil, err
	}
	o := backend.Options{Address: addr, Zone: n.Zone, Cell: n.Cell, Cores: n.Cores, Speed: n.Speed, Queue: n.Queue,
		Classes: map[string]backend.Class{}, Seed: p.rng.Uint64(), Log: p.log, Meter: p.usageMeter}
	group := "all"
	for _, k := range p.fleet.Decide.Classes {
		o.Classes[k.Name] = backend.Class{MeanWork: n.Work[k.Name], Deduplicates: k.Idempotency == decide.IdempotentByKey, DedupWindow: k.DedupWindow}
		switch {
		case k.Idempotency != decide.IdempotentByKey:
		case k.DedupScope == decide.DedupInZone:
			group = "zone " + n.Zone
		case k.DedupScope == decide.DedupInCell:
			group = fmt.Sprint("cell ", n.Cell)
		}
	}
	if p.dedupStores[group] == nil {
		p.dedupStores[group] = backend.NewDedupStore()
	}
	o.Dedup = p.dedupStores[group]
	return &serverSlot{options: o}, nil
}

// cold makes options of a cold start.
func (p *runner) withSlowStart(o backend.Options) backend.Options {
	s := p.fleet.Decide.Safety
	o.InitialCapacity, o.SlowStartDuration, o.OverloadMultiple, o.OverloadWindow = s.SlowStartCapacity, s.SlowStartDuration, s.OverloadMultiple, s.OverloadWindow
	return o
}

// up starts a gateway's process.
func (p *runner) startGateway(g *gatewayProcess) error {
	g.incarnations++
	tape := filepath.Join(p.options.Dir, fmt.Sprintf("gateway-%d.%d.tape", g.rank, g.incarnations))
	cmd := p.options.Command("gateway", "--config", p.configFile, "--rank", fmt.Sprint(g.rank), "--tape", tape)
	if p.options.GatewayEnv != nil {
		cmd.Env = append(os.Environ(), p.options.GatewayEnv(g.rank)...)
	}
	f, err := os.OpenFile(filepath.Join(p.options.Dir, fmt.Sprintf("gateway-%d.log", g.rank)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		f.Close()
		return fmt.Errorf("day: gateway %d: %w", g.rank, err)
	}
	p.log.Add(invariant.Record{Kind: invariant.ProcessChanged, Gateway: g.rank, State: "up"})
	ended := make(chan struct{})
	go func() { cmd.Wait(); f.Close(); close(ended) }()
	p.mu.Lock()
	g.cmd, g.ended = cmd, ended
	p.recordings = append(p.recordings, tape)
	p.mu.Unlock()
	return nil
}

// ready waits until a gateway takes connections.
func (p *runner) awaitGateway(g *gatewayProcess) error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		nc, err := net.Dial("tcp", p.fleet.Gateways[g.rank].Listen)
		if err == nil {
			nc.Close()
			return nil
		}
		select {
		case <-g.ended:
			raw, _ := os.ReadFile(filepath.Join(p.options.Dir, fmt.Sprintf("gateway-%d.log", g.rank)))
			return fmt.Errorf("day: gateway %d does not start: %s", g.rank, strings.TrimSpace(string(raw)))
		default:
		}
	}
	return fmt.Errorf("day: gateway %d takes no connections", g.rank)
}

// signal sends a signal and notes it; the note comes before a kill and after a continuation, so that what the
// gateway did is never judged as if it did not run.
func (p *runner) signal(g *gatewayProcess, sig syscall.Signal, word string) {
	if sig == syscall.SIGCONT {
		g.cmd.Process.Signal(sig)
		p.log.Add(invariant.Record{Kind: invariant.ProcessChanged, Gateway: g.rank, State: word})
		return
	}
	p.log.Add(invariant.Record{Kind: invariant.ProcessChanged, Gateway: g.rank, State: word})
	g.cmd.Process.Signal(sig)
}

// term stops a gateway as an operator does; it must end by itself with exit code 0.
func (p *runner) terminate(g *gatewayProcess) {
	p.signal(g, syscall.SIGTERM, "term")
	select {
	case <-g.ended:
		if code := g.cmd.ProcessState.ExitCode(); code != 0 {
			p.fail(fmt.Errorf("day: gateway %d ended with exit code %d after SIGTERM", g.rank, code))
		}
	case <-time.After(30 * time.Second):
		p.fail(fmt.Errorf("day: gateway %d does not end after SIGTERM", g.rank))
		g.cmd.Process.Kill()
		<-g.ended
	}
	p.log.Add(invariant.Record{Kind: invariant.ProcessChanged, Gateway: g.rank, State: "exit"})
}

func (p *runner) run() {
	ctx, stop := context.WithTimeout(p.ctx, p.script.Length)
	defer stop()
	began := time.Now()
	for _, t := range p.script.Faults {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			if p.sleep(t.At-time.Since(began)) && ctx.Err() == nil {
				p.logf("%s: %s", t.Kind, FaultKinds[t.Kind])
				p.inject(t)
				p.logf("%s is over", t.Kind)
			}
		}()
	}
	p.client.Run(ctx)
	p.wg.Wait()
}

// sleep waits, unless the day is broken off.
func (p *runner) sleep(d time.Duration) bool {
	if d <= 0 {
		return p.ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-p.ctx.Done():
		return false
	}
}

func (p *runner) tearDown() {
	if p.client != nil {
		p.client.Close()
	}
	for _, g := range p.gateways {
		if g.cmd == nil {
			continue
		}
		select {
		case <-g.ended:
		default:
			g.cmd.Process.Signal(syscall.SIGCONT)
			p.terminate(g)
		}
	}
	for _, s := range p.servers {
		if s.server != nil {
			s.server.Stop()
		}
	}
	defer p.ports.Release()
	for _, r := range p.relays {
		r.close()
	}
	if p.discovery != nil {
		p.discovery.Stop()
	}
}

// some takes count nodes that no other trouble has taken away.
func (p *runner) takeServers(n int) (out []*serverSlot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.rng.Perm(len(p.servers)) {
		if s := p.servers[i]; !s.inUse && len(out) < n {
			s.inUse = true
			out = append(out, s)
		}
	}
	return out
}

func (p *runner) releaseServers(ss []*serverSlot) {
	p.mu.Lock()
	for _, s := range ss {
		s.inUse = false
	}
	p.mu.Unlock()
}

func (p *runner) pickGateways(n int) (out []*gatewayProcess) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.rng.Perm(len(p.gateways)) {
		if len(out) < n {
			out = append(out, p.gateways[i])
		}
	}
	return out
}

func (p *runner) pickMembers(n int) (out []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.rng.Perm(len(p.fleet.Members)) {
		if len(out) < n {
			out = append(out, p.fleet.Members[i].Name)
		}
	}
	return out
}

// onNodes sets a trouble of nodes for a while.
func (p *runner) faultOnServers(t Fault, on, off func(*backend.Fault)) {
	ss := p.takeServers(t.Count)
	for _, s := range ss {
		s.server.SetFault(on)
	}
	p.sleep(t.Duration)
	for _, s := range ss {
		s.server.SetFault(off)
	}
	p.releaseServers(ss)
}

// onSchool sets a trouble of clients for a while.
func (p *runner) faultOnClients(t Fault, on, off func(*client.Fault)) {
	p.client.SetFault(on)
	p.sleep(t.Duration)
	p.client.SetFault(off)
}

func (p *runner) inject(t Fault) {
	if p.injectOperations(t) {
		return
	}
	switch t.Kind {
	case "ageing":
		const steps = 20
		ss := p.takeServers(t.Count)
		for i := range steps {
			for _, s := range ss {
				s.server.SetFault(func(x *backend.Fault) { x.Slowdown = 1 + (t.Size-1)*float64(i+1)/steps })
			}
			p.sleep(t.Duration / steps)
		}
		for _, s := range ss {
			s.server.SetFault(func(x *backend.Fault) { x.Slowdown = 0 })
		}
		p.releaseServers(ss)
	case "slow":
		p.faultOnServers(t, func(x *backend.Fault) { x.Slowdown = t.Size }, func(x *backend.Fault) { x.Slowdown = 0 })
	case "shared_slow":
		t.Count = math.MaxInt32
		p.faultOnServers(t, func(x *backend.Fault) { x.Slowdown = t.Size }, func(x *backend.Fault) { x.Slowdown = 0 })
	case "fast_errors":
		p.faultOnServers(t, func(x *backend.Fault) { x.ErrorShare = t.Size }, func(x *backend.Fault) { x.ErrorShare = 0 })
	case "class_fail":
		p.faultOnServers(t, func(x *backend.Fault) { x.UnansweredClasses = map[string]bool{t.Class: true} }, func(x *backend.Fault) { x.UnansweredClasses = nil })
	case "report_gap":
		p.faultOnServers(t, func(x *backend.Fault) { x.OmitLoadReport = true }, func(x *backend.Fault) { x.OmitLoadReport = false })
	case "heavy_tail":
		t.Count = math.MaxInt32
		p.faultOnServers(t, func(x *backend.Fault) { x.TailFactor, x.TailShare = map[string]float64{t.Class: t.Size}, 0.02 },
			func(x *backend.Fault) { x.TailFactor, x.TailShare = nil, 0 })
	case "cut":
		ss := p.takeServers(t.Count)
		for _, s := range ss {
			s.server.CloseConnections()
		}
		p.releaseServers(ss)
	case "burst":
		p.faultOnClients(t, func(x *client.Fault) { x.RateFactor = t.Size }, func(x *client.Fault) { x.RateFactor = 0 })
	case "hot_caller":
		m := p.pickMembers(t.Count)
		p.faultOnClients(t, func(x *client.Fault) {
			x.FirstGatewayOnly = map[string]bool{}
			for _, name := range m {
				x.FirstGatewayOnly[name] = true
			}
		}, func(x *client.Fault) { x.FirstGatewayOnly = nil })
	case "hot_key", "tenant_burst":
		if t.Kind == "hot_key" {
			t.Count = 1
		}
		m := p.pickMembers(t.Count)
		all := float64(len(p.fleet.Members))
		p.faultOnClients(t, func(x *client.Fault) {
			x.WeightFactor = map[string]float64{}
			for _, name := range m {
				x.WeightFactor[name] = t.Size
			}
			// What these order comes on top of the others' usual.
			x.RateFactor = (all + float64(len(m))*(t.Size-1)) / all
		}, func(x *client.Fault) { x.WeightFactor, x.RateFactor = nil, 0 })
	case "reconnect":
		p.client.Reconnect()
	case "balancer_crash":
		gs := p.pickGateways(t.Count)
		p.mu.Lock()
		p.gatewayKilled = true
		p.mu.Unlock()
		for _, g := range gs {
			p.signal(g, syscall.SIGKILL, "kill")
			<-g.ended
		}
		p.sleep(t.Duration)
		p.startGateways(gs)
	case "balancer_stall":
		gs := p.pickGateways(t.Count)
		for _, g := range gs {
			p.signal(g, syscall.SIGSTOP, "stop")
		}
		p.sleep(t.Duration)
		for _, g := range gs {
			p.signal(g, syscall.SIGCONT, "cont")
		}
	case "balancer_roll":
		for _, g := range p.gateways {
			p.terminate(g)
			p.startGateways([]*gatewayProcess{g})
			p.sleep(t.Duration / time.Duration(len(p.gateways)))
		}
	case "lost_peers":
		for _, r := range p.relays {
			r.setLoss(t.Size)
		}
		p.sleep(t.Duration)
		for _, r := range p.relays {
			r.setLoss(0)
		}
	case "drain":
		p.drain(t)
	case "vanish":
		ss := p.takeServers(t.Count)
		for _, s := range ss {
			s.server.SetFault(func(x *backend.Fault) { x.Unresponsive = true })
		}
		p.sleep(t.Duration)
		for _, s := range ss {
			s.server.Stop()
		}
		p.restartServers(ss)
	case "cold_start":
		p.coldStart(t)
	case "list_silent":
		p.discovery.SetSilent(true)
		p.sleep(t.Duration)
		p.discovery.SetSilent(false)
	case "list_stale":
		p.restartDiscovery(t)
	case "list_late":
		p.discovery.SetDelay(t.Duration)
		p.sleep(t.Duration)
		p.discovery.SetDelay(p.script.DiscoveryDelay)
	case "list_bad":
		p.sendInvalidUpdates()
	}
}

func (p *runner) startGateways(gs []*gatewayProcess) {
	for _, g := range gs {
		if err := p.startGateway(g); err != nil {
			p.fail(err)
			return
		}
	}
	for _, g := range gs {
		if err := p.awaitGateway(g); err != nil {
			p.fail(err)
		}
	}
}

// drain tells that nodes drain, lets them finish, takes them away and brings them back cold.
func (p *runner) drain(t Fault) {
	ss := p.takeServers(t.Count)
	var es []discoveryws.Endpoint
	for _, s := range ss {
		es = append(es, endpointOf(s.options, "draining", time.Time{}))
	}
	p.discovery.Update(es...)
	p.sleep(t.Duration)
	es = nil
	for _, s := range ss {
		es = append(es, endpointOf(s.options, "gone", time.Time{}))
		s.server.Stop()
	}
	p.discovery.Update(es...)
	p.sleep(p.script.DiscoveryDelay + 200*time.Millisecond)
	p.restartServers(ss)
}

// comeBack starts nodes anew, cold, at their addresses.
func (p *runner) restartServers(ss []*serverSlot) {
	var es []discoveryws.Endpoint
	for _, s := range ss {
		n, err := backend.Start(p.withSlowStart(s.options))
		if err != nil {
			p.fail(err)
			return
		}
		p.mu.Lock()
		s.server = n
		p.mu.Unlock()
		es = append(es, endpointOf(s.options, "serving", time.Now()))
	}
	p.discovery.Update(es...)
	p.releaseServers(ss)
}

func (p *runner) coldStart(t Fault) {
	var ss []*serverSlot
	for range t.Count {
		s, err := p.newServerSlot(p.script.Servers[0])
		if err != nil {
			p.fail(err)
			return
		}
		s.inUse = true
		ss = append(ss, s)
	}
	p.mu.Lock()
	p.servers = append(p.servers, ss...)
	p.mu.Unlock()
	p.restartServers(ss)
}

// listGone takes the list's process away for a while; the new one begins its versions anew.
func (p *runner) restartDiscovery(t Fault) {
	es := p.discovery.Endpoints()
	p.discovery.Stop()
	p.sleep(t.Duration)
	l, err := discovery.Start(p.discoveryAddr, p.script.DiscoveryDelay, p.log)
	if err != nil {
		p.fail(err)
		return
	}
	l.Replace(es)
	p.mu.Lock()
	p.discovery = l
	p.mu.Unlock()
}

// listBad sends what a broken list may send; none of it may change what gateways hold.
func (p *runner) sendInvalidUpdates() {
	v, now := p.discovery.Version(), time.Now().UnixMilli()
	es := p.discovery.Endpoints()
	if len(es) == 0 {
		return
	}
	gone := es[0]
	gone.State = "gone"
	p.discovery.SendRaw(discoveryws.MethodChange, discoveryws.Update{Version: v + 1, NowMs: now, Endpoints: []discoveryws.Endpoint{{Address: "no address", State: "serving"}}})
	p.discovery.SendRaw(discoveryws.MethodChange, discoveryws.Update{Version: v + 1, NowMs: now, Endpoints: []discoveryws.Endpoint{es[0], gone}})
	p.discovery.SendRaw(discoveryws.MethodChange, discoveryws.Update{Version: v, NowMs: now, Endpoints: []discoveryws.Endpoint{gone}})
	p.discovery.SendRaw(discoveryws.MethodChange, discoveryws.Update{Version: v + 5, NowMs: now, Endpoints: []discoveryws.Endpoint{gone}})
	p.discovery.SendRaw(discoveryws.MethodFull, discoveryws.Update{Version: v - 1, NowMs: now, Endpoints: es[:1]})
}

// relay stands in front of a gateway's socket for datagrams and loses some.
type lossyRelay struct {
	socket net.PacketConn
	to     net.Addr
	mu     sync.Mutex
	loss   float64
	rng    *rand.Rand
}

func newRelay(to string, seed uint64) (*lossyRelay, error) {
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	r := &lossyRelay{socket: pc, to: addr, rng: rand.New(rand.NewPCG(seed, 4))}
	go r.run()
	return r, nil
}

func (r *lossyRelay) addr() string { return r.socket.LocalAddr().String() }

func (r *lossyRelay) setLoss(share float64) {
	r.mu.Lock()
	r.loss = share
	r.mu.Unlock()
}

func (r *lossyRelay) run() {
	buf := make([]byte, 2048)
	for {
		n, _, err := r.socket.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as a refusal by a gateway that does not run
		}
		r.mu.Lock()
		lost := r.rng.Float64() < r.loss
		r.mu.Unlock()
		if !lost {
			r.socket.WriteTo(buf[:n], r.to)
		}
	}
}

func (r *lossyRelay) close() { r.socket.Close() }

// Audit judges again what a day left in a folder.
func Verify(dir string) (*invariant.Verdict, error) {
	f, err := config.Load(filepath.Join(dir, "fleet.kdl"))
	if err != nil {
		return nil, err
	}
	in, err := os.Open(filepath.Join(dir, "traffic.jsonl"))
	if err != nil {
		return nil, err
	}
	defer in.Close()
	recs, err := invariant.ReadRecords(in)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, err
	}
	return invariant.Check(f, recs), nil
}
