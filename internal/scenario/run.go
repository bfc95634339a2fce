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
	Seed    int                              // 0: the script's
	Dir     string                           // where settings, records and tapes go
	Command func(args ...string) *exec.Cmd   // the gateway's program
	Say     func(format string, args ...any) // tells what happens; may be nil
	Break   func(rank int) (env []string)    // for tests of the judge: how a gateway is broken
}

// Outcome is a day played.
type Outcome struct {
	Stats    client.Stats
	Verdict  *invariant.Verdict
	Attempts int
	Records  int
	Tapes    []string

	Use      *invariant.Use // of an accounting, if the fleet has one
	Repeats  int            // events that it was sent again
	Kills    int            // of gateways, by kill storms
	Reserved []Reserved
}

// player is a day under way.
type player struct {
	s      *Script
	o      Options
	log    *invariant.Log
	fleet  *config.Fleet
	file   string
	list   *discovery.List
	listAt string
	school *client.School
	relays []*relay
	rng    *rand.Rand
	mu     sync.Mutex
	nodes  []*slot
	gates  []*gate
	tapes  []string
	errs   []error
	wg     sync.WaitGroup
	ctx    context.Context
	memory map[string]*backend.Memory
	meter  *backend.Meter
	ports  ports.Reserved

	ledger   *ledger
	metrics  *metricsreceiver.Receiver
	killed   bool
	kills    int
	changes  uint64
	reserved []Reserved
}

// slot is a node's place: what runs there comes and goes.
type slot struct {
	o    backend.Options
	n    *backend.Node
	busy bool // with a trouble that takes it away
}

// gate is a gateway's place.
type gate struct {
	rank  int
	lives int
	cmd   *exec.Cmd
	ended chan struct{}
	log   *os.File
}

func (p *player) say(format string, args ...any) {
	if p.o.Say != nil {
		p.o.Say("%6.2fs  %s", p.log.Now().Seconds(), fmt.Sprintf(format, args...))
	}
}

func (p *player) fail(err error) {
	p.mu.Lock()
	p.errs = append(p.errs, err)
	p.mu.Unlock()
}

// Play plays a day and has it judged. An error means that it could not be played.
func Play(ctx context.Context, s *Script, o Options) (*Outcome, error) {
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
	p := &player{s: s, o: o, log: invariant.NewLog(out), rng: rand.New(rand.NewPCG(uint64(o.Seed), 3)), ctx: ctx,
		memory: map[string]*backend.Memory{}}
	watch := make(chan struct{})
	go p.log.Watch(watch)
	defer close(watch)
	if err := p.setUp(); err != nil {
		p.tearDown()
		return nil, err
	}
	p.play()
	p.tearDown()
	if err := errors.Join(p.errs...); err != nil {
		return nil, err
	}
	if err := p.log.Flush(); err != nil {
		return nil, err
	}
	recs := p.log.Records()
	res := &Outcome{Stats: p.school.Stats(), Verdict: invariant.Judge(p.fleet, recs), Records: len(recs), Tapes: p.tapes}
	for _, r := range recs {
		if r.K == invariant.Arrive {
			res.Attempts++
		}
	}
	if err := errors.Join(p.closeBooks(recs, res), p.closeMetrics()); err != nil {
		return nil, err
	}
	return res, nil
}

func (p *player) setUp() error {
	f := *p.s.Fleet
	p.fleet = &f
	f.Secret = credentials.NewSecret()
	f.Gateways = append([]config.Gateway(nil), f.Gateways...)
	f.Members = append([]config.Member(nil), f.Members...)
	var err error
	if p.listAt, err = p.ports.Addr(); err != nil {
		return err
	}
	if p.list, err = discovery.Start(p.listAt, p.s.ListLag, p.log); err != nil {
		return err
	}
	f.List = p.listAt
	f.ListKept = filepath.Join(p.o.Dir, "list-%d.json")
	if err := p.openBooks(); err != nil {
		return err
	}
	var addrs []string
	for i := range f.Gateways {
		g := &f.Gateways[i]
		if g.Listen, err = p.ports.Addr(); err != nil {
			return err
		}
		if g.State, err = p.ports.Addr(); err != nil {
			return err
		}
		if f.Decide.Limits.Gossip {
			if g.Bind, err = p.ports.Addr(); err != nil {
				return err
			}
			r, err := newRelay(g.Bind, uint64(p.o.Seed)+uint64(i))
			if err != nil {
				return err
			}
			p.relays = append(p.relays, r)
			g.Peer = r.addr()
		}
		addrs = append(addrs, g.Listen)
	}
	var members []client.Member
	for i := range f.Members {
		m := &f.Members[i]
		key := credentials.New()
		m.Keys = []credentials.Digest{f.Secret.Members().Sum([]byte(key))}
		members = append(members, client.Member{Name: m.Name, Key: key, First: m.First, Spread: m.Spread})
	}
	p.file = filepath.Join(p.o.Dir, "fleet.kdl")
	if err := os.WriteFile(p.file, config.Format(&f), 0o600); err != nil {
		return err
	}
	if _, err := config.Load(p.file); err != nil {
		return err
	}
	if err := p.startNodes(); err != nil {
		return err
	}
	for rank := range f.Gateways {
		g := &gate{rank: rank}
		p.gates = append(p.gates, g)
		if err := p.up(g); err != nil {
			return err
		}
	}
	for _, g := range p.gates {
		if err := p.ready(g); err != nil {
			return err
		}
	}
	p.school = client.New(client.Options{Gateways: addrs, Members: members, Classes: p.classes(), Rate: p.s.Load.Rate,
		Retries: p.s.Load.Retries, Wait: p.s.Load.Wait, Seed: uint64(p.o.Seed), Log: p.log})
	return nil
}

func (p *player) classes() (out []client.Class) {
	for _, c := range p.s.Load.Classes {
		for _, k := range p.fleet.Decide.Classes {
			if k.Name == c.Class {
				out = append(out, client.Class{Name: k.Name, Share: c.Share, Effect: k.Idempotency, Group: k.DedupScope, Window: k.DedupWindow,
					Aim: k.LatencyObjective, Deadline: k.Deadline, MaxUnits: c.Units})
			}
		}
	}
	return out
}

func (p *player) startNodes() error {
	if d := p.fleet.Decide.UsageReportPeriod; d > 0 {
		rates := map[string]float64{}
		for _, m := range p.fleet.Members {
			for _, plan := range p.fleet.Decide.Plans {
				if plan.Name == m.Plan {
					rates[m.Name] = plan.Rate
				}
			}
		}
		p.meter = backend.NewMeter(d, rates)
	}
	var all []discoveryws.Entry
	for _, n := range p.s.Nodes {
		for range n.Count {
			sl, err := p.newSlot(n)
			if err != nil {
				return err
			}
			if sl.n, err = backend.Start(sl.o); err != nil {
				return err
			}
			p.nodes = append(p.nodes, sl)
			all = append(all, entry(sl.o, "serving", time.Time{}))
		}
	}
	p.list.Set(all...)
	for p.list.Version() == 0 {
		time.Sleep(time.Millisecond)
	}
	return nil
}

func entry(o backend.Options, state string, started time.Time) discoveryws.Entry {
	e := discoveryws.Entry{Node: o.Addr, Zone: o.Zone, Cell: o.Cell, State: state}
	if !started.IsZero() {
		e.Started = started.UnixMilli()
	}
	return e
}

// newSlot makes a place for a node, with the memory of keys that its group shares.
func (p *player) newSlot(n Nodes) (*slot, error) {
	addr, err := p.ports.Addr()
	if err != nil {
		return nil, err
	}
	o := backend.Options{Addr: addr, Zone: n.Zone, Cell: n.Cell, Cores: n.Cores, Speed: n.Speed, Queue: n.Queue,
		Classes: map[string]backend.Class{}, Seed: p.rng.Uint64(), Log: p.log, Meter: p.meter}
	group := "all"
	for _, k := range p.fleet.Decide.Classes {
		o.Classes[k.Name] = backend.Class{Work: n.Work[k.Name], Keyed: k.Idempotency == decide.IdempotentByKey, Window: k.DedupWindow}
		switch {
		case k.Idempotency != decide.IdempotentByKey:
		case k.DedupScope == decide.DedupInZone:
			group = "zone " + n.Zone
		case k.DedupScope == decide.DedupInCell:
			group = fmt.Sprint("cell ", n.Cell)
		}
	}
	if p.memory[group] == nil {
		p.memory[group] = backend.NewMemory()
	}
	o.Memory = p.memory[group]
	return &slot{o: o}, nil
}

// cold makes options of a cold start.
func (p *player) cold(o backend.Options) backend.Options {
	s := p.fleet.Decide.Safety
	o.From, o.For, o.FallMultiple, o.FallWindow = s.SlowStartCapacity, s.SlowStartDuration, s.OverloadMultiple, s.OverloadWindow
	return o
}

// up starts a gateway's process.
func (p *player) up(g *gate) error {
	g.lives++
	tape := filepath.Join(p.o.Dir, fmt.Sprintf("gateway-%d.%d.tape", g.rank, g.lives))
	cmd := p.o.Command("gateway", "--config", p.file, "--rank", fmt.Sprint(g.rank), "--tape", tape)
	if p.o.Break != nil {
		cmd.Env = append(os.Environ(), p.o.Break(g.rank)...)
	}
	f, err := os.OpenFile(filepath.Join(p.o.Dir, fmt.Sprintf("gateway-%d.log", g.rank)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		f.Close()
		return fmt.Errorf("day: gateway %d: %w", g.rank, err)
	}
	p.log.Add(invariant.Record{K: invariant.Process, Gateway: g.rank, State: "up"})
	ended := make(chan struct{})
	go func() { cmd.Wait(); f.Close(); close(ended) }()
	p.mu.Lock()
	g.cmd, g.ended = cmd, ended
	p.tapes = append(p.tapes, tape)
	p.mu.Unlock()
	return nil
}

// ready waits until a gateway takes connections.
func (p *player) ready(g *gate) error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		nc, err := net.Dial("tcp", p.fleet.Gateways[g.rank].Listen)
		if err == nil {
			nc.Close()
			return nil
		}
		select {
		case <-g.ended:
			raw, _ := os.ReadFile(filepath.Join(p.o.Dir, fmt.Sprintf("gateway-%d.log", g.rank)))
			return fmt.Errorf("day: gateway %d does not start: %s", g.rank, strings.TrimSpace(string(raw)))
		default:
		}
	}
	return fmt.Errorf("day: gateway %d takes no connections", g.rank)
}

// signal sends a signal and notes it; the note comes before a kill and after a continuation, so that what the
// gateway did is never judged as if it did not run.
func (p *player) signal(g *gate, sig syscall.Signal, word string) {
	if sig == syscall.SIGCONT {
		g.cmd.Process.Signal(sig)
		p.log.Add(invariant.Record{K: invariant.Process, Gateway: g.rank, State: word})
		return
	}
	p.log.Add(invariant.Record{K: invariant.Process, Gateway: g.rank, State: word})
	g.cmd.Process.Signal(sig)
}

// term stops a gateway as an operator does; it must end by itself with exit code 0.
func (p *player) term(g *gate) {
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
	p.log.Add(invariant.Record{K: invariant.Process, Gateway: g.rank, State: "exit"})
}

func (p *player) play() {
	ctx, stop := context.WithTimeout(p.ctx, p.s.Length)
	defer stop()
	began := time.Now()
	for _, t := range p.s.Troubles {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			if p.sleep(t.At-time.Since(began)) && ctx.Err() == nil {
				p.say("%s: %s", t.Kind, Kinds[t.Kind])
				p.trouble(t)
				p.say("%s is over", t.Kind)
			}
		}()
	}
	p.school.Run(ctx)
	p.wg.Wait()
}

// sleep waits, unless the day is broken off.
func (p *player) sleep(d time.Duration) bool {
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

func (p *player) tearDown() {
	if p.school != nil {
		p.school.Close()
	}
	for _, g := range p.gates {
		if g.cmd == nil {
			continue
		}
		select {
		case <-g.ended:
		default:
			g.cmd.Process.Signal(syscall.SIGCONT)
			p.term(g)
		}
	}
	for _, s := range p.nodes {
		if s.n != nil {
			s.n.Stop()
		}
	}
	defer p.ports.Release()
	for _, r := range p.relays {
		r.close()
	}
	if p.list != nil {
		p.list.Stop()
	}
}

// some takes count nodes that no other trouble has taken away.
func (p *player) some(n int) (out []*slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.rng.Perm(len(p.nodes)) {
		if s := p.nodes[i]; !s.busy && len(out) < n {
			s.busy = true
			out = append(out, s)
		}
	}
	return out
}

func (p *player) free(ss []*slot) {
	p.mu.Lock()
	for _, s := range ss {
		s.busy = false
	}
	p.mu.Unlock()
}

func (p *player) gatesOf(n int) (out []*gate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.rng.Perm(len(p.gates)) {
		if len(out) < n {
			out = append(out, p.gates[i])
		}
	}
	return out
}

func (p *player) membersOf(n int) (out []string) {
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
func (p *player) onNodes(t Trouble, on, off func(*backend.Trouble)) {
	ss := p.some(t.Count)
	for _, s := range ss {
		s.n.Set(on)
	}
	p.sleep(t.For)
	for _, s := range ss {
		s.n.Set(off)
	}
	p.free(ss)
}

// onSchool sets a trouble of clients for a while.
func (p *player) onSchool(t Trouble, on, off func(*client.Trouble)) {
	p.school.Set(on)
	p.sleep(t.For)
	p.school.Set(off)
}

func (p *player) trouble(t Trouble) {
	if p.trade(t) {
		return
	}
	switch t.Kind {
	case "ageing":
		const steps = 20
		ss := p.some(t.Count)
		for i := range steps {
			for _, s := range ss {
				s.n.Set(func(x *backend.Trouble) { x.Slow = 1 + (t.Size-1)*float64(i+1)/steps })
			}
			p.sleep(t.For / steps)
		}
		for _, s := range ss {
			s.n.Set(func(x *backend.Trouble) { x.Slow = 0 })
		}
		p.free(ss)
	case "slow":
		p.onNodes(t, func(x *backend.Trouble) { x.Slow = t.Size }, func(x *backend.Trouble) { x.Slow = 0 })
	case "shared_slow":
		t.Count = math.MaxInt32
		p.onNodes(t, func(x *backend.Trouble) { x.Slow = t.Size }, func(x *backend.Trouble) { x.Slow = 0 })
	case "fast_errors":
		p.onNodes(t, func(x *backend.Trouble) { x.Errors = t.Size }, func(x *backend.Trouble) { x.Errors = 0 })
	case "class_fail":
		p.onNodes(t, func(x *backend.Trouble) { x.Mute = map[string]bool{t.Class: true} }, func(x *backend.Trouble) { x.Mute = nil })
	case "report_gap":
		p.onNodes(t, func(x *backend.Trouble) { x.NoReport = true }, func(x *backend.Trouble) { x.NoReport = false })
	case "heavy_tail":
		t.Count = math.MaxInt32
		p.onNodes(t, func(x *backend.Trouble) { x.Tail, x.TailShare = map[string]float64{t.Class: t.Size}, 0.02 },
			func(x *backend.Trouble) { x.Tail, x.TailShare = nil, 0 })
	case "cut":
		ss := p.some(t.Count)
		for _, s := range ss {
			s.n.Cut()
		}
		p.free(ss)
	case "burst":
		p.onSchool(t, func(x *client.Trouble) { x.Burst = t.Size }, func(x *client.Trouble) { x.Burst = 0 })
	case "hot_caller":
		m := p.membersOf(t.Count)
		p.onSchool(t, func(x *client.Trouble) {
			x.Gather = map[string]bool{}
			for _, name := range m {
				x.Gather[name] = true
			}
		}, func(x *client.Trouble) { x.Gather = nil })
	case "hot_key", "tenant_burst":
		if t.Kind == "hot_key" {
			t.Count = 1
		}
		m := p.membersOf(t.Count)
		all := float64(len(p.fleet.Members))
		p.onSchool(t, func(x *client.Trouble) {
			x.Weight = map[string]float64{}
			for _, name := range m {
				x.Weight[name] = t.Size
			}
			// What these order comes on top of the others' usual.
			x.Burst = (all + float64(len(m))*(t.Size-1)) / all
		}, func(x *client.Trouble) { x.Weight, x.Burst = nil, 0 })
	case "reconnect":
		p.school.Reconnect()
	case "balancer_crash":
		gs := p.gatesOf(t.Count)
		p.mu.Lock()
		p.killed = true
		p.mu.Unlock()
		for _, g := range gs {
			p.signal(g, syscall.SIGKILL, "kill")
			<-g.ended
		}
		p.sleep(t.For)
		p.restart(gs)
	case "balancer_stall":
		gs := p.gatesOf(t.Count)
		for _, g := range gs {
			p.signal(g, syscall.SIGSTOP, "stop")
		}
		p.sleep(t.For)
		for _, g := range gs {
			p.signal(g, syscall.SIGCONT, "cont")
		}
	case "balancer_roll":
		for _, g := range p.gates {
			p.term(g)
			p.restart([]*gate{g})
			p.sleep(t.For / time.Duration(len(p.gates)))
		}
	case "lost_peers":
		for _, r := range p.relays {
			r.lose(t.Size)
		}
		p.sleep(t.For)
		for _, r := range p.relays {
			r.lose(0)
		}
	case "drain":
		p.drain(t)
	case "vanish":
		ss := p.some(t.Count)
		for _, s := range ss {
			s.n.Set(func(x *backend.Trouble) { x.Silent = true })
		}
		p.sleep(t.For)
		for _, s := range ss {
			s.n.Stop()
		}
		p.comeBack(ss)
	case "cold_start":
		p.coldStart(t)
	case "list_silent":
		p.list.Silence(true)
		p.sleep(t.For)
		p.list.Silence(false)
	case "list_stale":
		p.listGone(t)
	case "list_late":
		p.list.Lag(t.For)
		p.sleep(t.For)
		p.list.Lag(p.s.ListLag)
	case "list_bad":
		p.listBad()
	}
}

func (p *player) restart(gs []*gate) {
	for _, g := range gs {
		if err := p.up(g); err != nil {
			p.fail(err)
			return
		}
	}
	for _, g := range gs {
		if err := p.ready(g); err != nil {
			p.fail(err)
		}
	}
}

// drain tells that nodes drain, lets them finish, takes them away and brings them back cold.
func (p *player) drain(t Trouble) {
	ss := p.some(t.Count)
	var es []discoveryws.Entry
	for _, s := range ss {
		es = append(es, entry(s.o, "draining", time.Time{}))
	}
	p.list.Set(es...)
	p.sleep(t.For)
	es = nil
	for _, s := range ss {
		es = append(es, entry(s.o, "gone", time.Time{}))
		s.n.Stop()
	}
	p.list.Set(es...)
	p.sleep(p.s.ListLag + 200*time.Millisecond)
	p.comeBack(ss)
}

// comeBack starts nodes anew, cold, at their addresses.
func (p *player) comeBack(ss []*slot) {
	var es []discoveryws.Entry
	for _, s := range ss {
		n, err := backend.Start(p.cold(s.o))
		if err != nil {
			p.fail(err)
			return
		}
		p.mu.Lock()
		s.n = n
		p.mu.Unlock()
		es = append(es, entry(s.o, "serving", time.Now()))
	}
	p.list.Set(es...)
	p.free(ss)
}

func (p *player) coldStart(t Trouble) {
	var ss []*slot
	for range t.Count {
		s, err := p.newSlot(p.s.Nodes[0])
		if err != nil {
			p.fail(err)
			return
		}
		s.busy = true
		ss = append(ss, s)
	}
	p.mu.Lock()
	p.nodes = append(p.nodes, ss...)
	p.mu.Unlock()
	p.comeBack(ss)
}

// listGone takes the list's process away for a while; the new one begins its versions anew.
func (p *player) listGone(t Trouble) {
	es := p.list.Entries()
	p.list.Stop()
	p.sleep(t.For)
	l, err := discovery.Start(p.listAt, p.s.ListLag, p.log)
	if err != nil {
		p.fail(err)
		return
	}
	l.Fill(es)
	p.mu.Lock()
	p.list = l
	p.mu.Unlock()
}

// listBad sends what a broken list may send; none of it may change what gateways hold.
func (p *player) listBad() {
	v, now := p.list.Version(), time.Now().UnixMilli()
	es := p.list.Entries()
	if len(es) == 0 {
		return
	}
	gone := es[0]
	gone.State = "gone"
	p.list.Raw(discoveryws.MethodChange, discoveryws.Update{Version: v + 1, Now: now, Nodes: []discoveryws.Entry{{Node: "no address", State: "serving"}}})
	p.list.Raw(discoveryws.MethodChange, discoveryws.Update{Version: v + 1, Now: now, Nodes: []discoveryws.Entry{es[0], gone}})
	p.list.Raw(discoveryws.MethodChange, discoveryws.Update{Version: v, Now: now, Nodes: []discoveryws.Entry{gone}})
	p.list.Raw(discoveryws.MethodChange, discoveryws.Update{Version: v + 5, Now: now, Nodes: []discoveryws.Entry{gone}})
	p.list.Raw(discoveryws.MethodFull, discoveryws.Update{Version: v - 1, Now: now, Nodes: es[:1]})
}

// relay stands in front of a gateway's socket for datagrams and loses some.
type relay struct {
	pc   net.PacketConn
	to   net.Addr
	mu   sync.Mutex
	loss float64
	rng  *rand.Rand
}

func newRelay(to string, seed uint64) (*relay, error) {
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	r := &relay{pc: pc, to: addr, rng: rand.New(rand.NewPCG(seed, 4))}
	go r.run()
	return r, nil
}

func (r *relay) addr() string { return r.pc.LocalAddr().String() }

func (r *relay) lose(share float64) {
	r.mu.Lock()
	r.loss = share
	r.mu.Unlock()
}

func (r *relay) run() {
	buf := make([]byte, 2048)
	for {
		n, _, err := r.pc.ReadFrom(buf)
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
			r.pc.WriteTo(buf[:n], r.to)
		}
	}
}

func (r *relay) close() { r.pc.Close() }

// Audit judges again what a day left in a folder.
func Audit(dir string) (*invariant.Verdict, error) {
	f, err := config.Load(filepath.Join(dir, "fleet.kdl"))
	if err != nil {
		return nil, err
	}
	in, err := os.Open(filepath.Join(dir, "traffic.jsonl"))
	if err != nil {
		return nil, err
	}
	defer in.Close()
	recs, err := invariant.Read(in)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, err
	}
	return invariant.Judge(f, recs), nil
}
