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
	"time"

	"winghatch/internal/config"
	"winghatch/internal/invariant"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/testbed/client"
	"winghatch/internal/testbed/discovery"
	"winghatch/internal/testbed/metricsreceiver"
	"winghatch/internal/testbed/ports"
)

// Options say how a scenario is run.
type Options struct {
	Seed    int                            // of the random draws; 0: the script's
	Dir     string                         // for settings, records, recordings and logs
	Command func(args ...string) *exec.Cmd // the gateway's program

	// Logf prints what happens; nil: nothing is printed.
	Logf func(format string, args ...any)

	// GatewayEnv returns environment variables for a gateway, by which tests make it violate a rule; nil: none.
	GatewayEnv func(rank int) (env []string)
}

// Result is what a run came to.
type Result struct {
	Stats      client.Stats
	Verdict    *invariant.Verdict
	Attempts   int      // that reached servers
	Records    int      // of traffic
	Recordings []string // files of the gateways' recordings

	// Of the exported usage, if the fleet exports it:
	Usage           *invariant.UsageResult
	DuplicateEvents int // that the usage receiver got again
	Kills           int // of gateways, by the fault kill_storm
	Reservations    []ReservationUse
}

// ReservationUse is what became of a reservation.
type ReservationUse struct {
	Member string
	Units  float64
	Used   float64 // by the exported usage
}

// runner is a run in progress. The goroutines of faults share it; mu guards the fields below it.
type runner struct {
	script     *Script
	options    Options
	ctx        context.Context
	log        *invariant.Log
	ports      ports.Reservation
	fleet      *config.Fleet // the script's, with addresses, keys and secret
	configFile string

	discoveryAddr string
	client        *client.Client
	relays        []*lossyRelay
	usageMeter    *backend.UsageMeter       // nil: servers do not report usage
	usageReceiver *usageReceiverSlot        // nil: the fleet does not export usage
	metrics       *metricsreceiver.Receiver // nil: the fleet sends no metrics
	gateways      []*gatewayProcess

	mu            sync.Mutex
	rng           *rand.Rand
	dedupStores   map[string]*backend.DedupStore // by deduplication scope
	discovery     *discovery.Server
	servers       []*serverSlot
	recordings    []string
	errs          []error
	gatewayKilled bool
	kills         int
	lastChange    uint64 // number of the last plan change
	reservations  []ReservationUse
}

// Run runs a scenario and checks the invariants on its traffic. An error means that it could not be run.
func Run(ctx context.Context, s *Script, o Options) (*Result, error) {
	if o.Seed == 0 {
		o.Seed = s.Seed
	}
	out, err := os.Create(filepath.Join(o.Dir, trafficFile))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runner{
		script:      s,
		options:     o,
		ctx:         ctx,
		log:         invariant.NewLog(out),
		rng:         rand.New(rand.NewPCG(uint64(o.Seed), 3)),
		dedupStores: map[string]*backend.DedupStore{},
	}
	stopWatch := make(chan struct{})
	go r.log.WatchStalls(stopWatch)
	defer close(stopWatch)
	if err := r.setUp(); err != nil {
		r.tearDown()
		return nil, err
	}
	r.run()
	r.tearDown()
	return r.result()
}

// run sends the clients' requests and injects the faults at their times. It returns when both have ended.
func (r *runner) run() {
	ctx, cancel := context.WithTimeout(r.ctx, r.script.Length)
	defer cancel()
	start := time.Now()
	var faults sync.WaitGroup
	for _, f := range r.script.Faults {
		faults.Add(1)
		go func() {
			defer faults.Done()
			if !r.sleep(f.At-time.Since(start)) || ctx.Err() != nil {
				return
			}
			r.logf("%s: %s", f.Kind, FaultKinds[f.Kind])
			r.inject(f)
			r.logf("%s is over", f.Kind)
		}()
	}
	r.client.Run(ctx)
	faults.Wait()
}

// result checks the invariants when everything has stopped.
func (r *runner) result() (*Result, error) {
	if err := errors.Join(r.errs...); err != nil {
		return nil, err
	}
	if err := r.log.Flush(); err != nil {
		return nil, err
	}
	records := r.log.Records()
	res := &Result{
		Stats:      r.client.Stats(),
		Verdict:    invariant.Check(r.fleet, records),
		Records:    len(records),
		Recordings: r.recordings,
	}
	for _, record := range records {
		if record.Kind == invariant.Received {
			res.Attempts++
		}
	}
	if err := errors.Join(r.checkUsage(records, res), r.saveMetrics()); err != nil {
		return nil, err
	}
	return res, nil
}

// tearDown stops everything, in an order in which nothing is lost: clients, gateways, servers, the network.
func (r *runner) tearDown() {
	defer r.ports.Release()
	if r.client != nil {
		r.client.Close()
	}
	r.stopGateways()
	for _, s := range r.servers {
		if s.server != nil {
			s.server.Stop()
		}
	}
	for _, relay := range r.relays {
		relay.close()
	}
	if r.discovery != nil {
		r.discovery.Stop()
	}
}

// sleep waits, and returns false if the run is cancelled.
func (r *runner) sleep(d time.Duration) bool {
	if d <= 0 {
		return r.ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// fail makes the run end with an error.
func (r *runner) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

func (r *runner) logf(format string, args ...any) {
	if r.options.Logf != nil {
		r.options.Logf("%6.2fs  %s", r.log.Now().Seconds(), fmt.Sprintf(format, args...))
	}
}

// draw draws a number from 0 to 1.
func (r *runner) draw() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}
