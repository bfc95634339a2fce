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

// Files of a run in Options.Dir. Verify reads fleetFile and trafficFile.
const (
	fleetFile    = "fleet.kdl"        // configuration of the fleet, with addresses, keys and secret
	trafficFile  = "traffic.jsonl"    // traffic records, see package invariant
	usageFile    = "accounting.jsonl" // events stored by the usage receiver
	seriesFile   = "series.jsonl"     // time series stored by the metrics receiver
	drainLogFile = "drain.log"        // log of the delivery of usage events after the run
)

// Options configure a run.
type Options struct {
	Seed int    // seed of the random choices; 0 means the seed of the script
	Dir  string // an existing folder for configuration, records, recordings and logs

	// Command returns the command that runs the gateway program with the given arguments: "gateway" and its
	// flags.
	Command func(args ...string) *exec.Cmd

	// Logf reports the start and the end of each fault. If nil, nothing is reported.
	Logf func(format string, args ...any)

	// GatewayEnv returns variables, as "key=value", to add to the environment of the gateway with the given
	// rank. If nil, no variables are added. Tests use it to start defective gateways.
	GatewayEnv func(rank int) (env []string)
}

// runner is a run of a scenario. It belongs to the goroutine of Run. Each fault is injected in a goroutine of
// its own, which ends before tearDown.
type runner struct {
	script  *Script
	options Options
	// ctx ends the run early: when it is cancelled, faults stop waiting and no further fault starts.
	ctx context.Context
	log *invariant.Log

	// setUp sets the fields of this group. They do not change afterwards.
	fleet         *config.Fleet // the fleet of the script with addresses, keys and secret
	configFile    string
	discoveryAddr string // host:port
	gateways      []*gatewayProcess
	relays        []*lossyRelay
	usageMeter    *backend.UsageMeter // nil if servers do not report usage
	client        *client.Client
	usageReceiver *usageReceiverSlot        // nil if the fleet does not export usage
	metrics       *metricsreceiver.Receiver // nil if the fleet does not export metrics

	mu            sync.Mutex // guards the fields below while faults run
	ports         ports.Reservation
	rng           *rand.Rand
	discovery     *discovery.Server
	servers       []*serverSlot
	dedupStores   map[string]*backend.DedupStore // keyed by the group of servers that share a store
	recordings    []string                       // paths of the recordings, one for each gateway process
	gatewayKilled bool                           // whether any gateway was ended by SIGKILL
	kills         int                            // number of kills by the fault kill_storm
	lastChange    uint64                         // number of the last plan change
	reservations  []ReservationUse
	errs          []error
}

// Run runs a scenario and checks its traffic against the invariants. It returns an error only if the scenario
// could not be run; violated invariants are reported in the result.
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
	r := newRunner(ctx, s, o, invariant.NewLog(out))
	stopWatching := make(chan struct{})
	go r.log.WatchStalls(stopWatching)
	defer close(stopWatching)
	defer r.stopReceivers()

	if err := r.setUp(); err != nil {
		r.tearDown()
		return nil, err
	}
	r.runLoadAndFaults()
	r.tearDown()
	if err := errors.Join(r.errs...); err != nil {
		return nil, err
	}
	if err := r.log.Flush(); err != nil {
		return nil, err
	}
	return r.result()
}

func newRunner(ctx context.Context, s *Script, o Options, log *invariant.Log) *runner {
	return &runner{
		script:      s,
		options:     o,
		ctx:         ctx,
		log:         log,
		rng:         rand.New(rand.NewPCG(uint64(o.Seed), 3)), // servers, client and relays use 1, 2 and 4
		dedupStores: map[string]*backend.DedupStore{},
	}
}

// runLoadAndFaults sends the client load for the length of the script and injects each fault at its time. It
// returns when the last fault is over.
func (r *runner) runLoadAndFaults() {
	ctx, stop := context.WithTimeout(r.ctx, r.script.Length)
	defer stop()
	startedAt := time.Now()
	var faults sync.WaitGroup
	for _, f := range r.script.Faults {
		faults.Go(func() {
			if !r.sleep(f.At-time.Since(startedAt)) || ctx.Err() != nil {
				return
			}
			r.logf("%s: %s", f.Kind, faultKinds[f.Kind].description)
			r.inject(f)
			r.logf("%s is over", f.Kind)
		})
	}
	r.client.Run(ctx)
	faults.Wait()
}

// tearDown stops everything that setUp started except the receivers: gateways deliver to them until they end,
// and result reads them afterwards.
func (r *runner) tearDown() {
	defer r.ports.Release()
	if r.client != nil {
		r.client.Close()
	}
	for _, g := range r.gateways {
		r.stopGateway(g)
	}
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

// sleep waits for d or until the run is cancelled. It returns false if the run is cancelled.
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

// randomFloat returns a random number in [0, 1).
func (r *runner) randomFloat() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// addError adds an error for Run to return. The run continues to its end, but it has no result.
func (r *runner) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

func (r *runner) logf(format string, args ...any) {
	if r.options.Logf == nil {
		return
	}
	r.options.Logf("%6.2fs  %s", r.log.Now().Seconds(), fmt.Sprintf(format, args...))
}
