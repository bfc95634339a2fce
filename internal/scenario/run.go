package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"winghatch/internal/config"
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

func (p *runner) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

func (p *runner) fail(err error) {
	p.mu.Lock()
	p.errs = append(p.errs, err)
	p.mu.Unlock()
}

func (p *runner) logf(format string, args ...any) {
	if p.options.Logf != nil {
		p.options.Logf("%6.2fs  %s", p.log.Now().Seconds(), fmt.Sprintf(format, args...))
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
