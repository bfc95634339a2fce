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

// Files of a run in Options.Dir. Verify reads the first two.
const (
	fleetFile    = "fleet.kdl"        // the fleet's settings, with addresses, keys and secret
	trafficFile  = "traffic.jsonl"    // the records of the traffic, see package invariant
	usageFile    = "accounting.jsonl" // the events that the usage receiver kept
	seriesFile   = "series.jsonl"     // the series that the metrics receiver kept
	drainLogFile = "drain.log"        // the log of the delivery of usage events after the run
)

// Options say how a scenario is run.
type Options struct {
	Seed int    // of the random draws; 0: the script's
	Dir  string // an existing folder for settings, records, recordings and logs

	// Command returns the command that runs the gateway program with these arguments: "gateway" and its flags.
	Command func(args ...string) *exec.Cmd

	Logf func(format string, args ...any) // reports the beginning and the end of each fault; may be nil

	// GatewayEnv returns what is added to the environment of the gateway of this rank. Tests break a gateway by it.
	// May be nil.
	GatewayEnv func(rank int) (env []string)
}

// runner is a run of a scenario. Run's goroutine owns it; each fault has a goroutine of its own, which ends before
// tearDown.
type runner struct {
	script  *Script
	options Options
	ctx     context.Context // when it is cancelled, no fault waits any longer and none begins
	log     *invariant.Log

	// What setUp makes and nothing replaces.
	fleet         *config.Fleet // the script's with addresses, keys and secret
	configFile    string
	discoveryAddr string // host:port
	gateways      []*gatewayProcess
	relays        []*lossyRelay
	usageMeter    *backend.UsageMeter // nil: servers do not report usage
	client        *client.Client
	usageReceiver *usageReceiverSlot        // nil: the fleet exports no usage
	metrics       *metricsreceiver.Receiver // nil: the fleet exports no metrics

	mu            sync.Mutex // guards what follows while faults are under way
	ports         ports.Reservation
	rng           *rand.Rand
	discovery     *discovery.Server
	servers       []*serverSlot
	dedupStores   map[string]*backend.DedupStore // by the group of servers that shares one
	recordings    []string                       // files
	gatewayKilled bool                           // by SIGKILL
	kills         int                            // of the fault kill_storm
	lastChange    uint64                         // number of the last plan change
	reservations  []ReservationUse
	errs          []error
}

// Run runs a scenario and checks the traffic against the invariants. It returns an error if the scenario could not be
// run; a broken invariant is no error but in the result.
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
		rng:         rand.New(rand.NewPCG(uint64(o.Seed), 3)),
		dedupStores: map[string]*backend.DedupStore{},
	}
}

// play sends the client load for the script's length and injects each fault at its time. It returns when the last
// fault is over.
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

// tearDown stops what setUp started, but the receivers: gateways deliver to them until they end, and the result reads
// them afterwards.
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

// sleep waits for d and returns whether the run goes on: false if it is cancelled.
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

// draw returns a random number in [0, 1).
func (r *runner) randomFloat() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// fail notes an error that makes the run worthless; the run goes on to its end.
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
