package scenario

import (
	"errors"
	"net/http"
	"time"

	"winghatch/internal/testbed/metricsreceiver"
	"winghatch/internal/testbed/usagereceiver"
)

// This file contains the faults of the receivers of usage and metrics.

const (
	// faultyBatchShare is the fraction of batches that a fault of the usage receiver affects.
	faultyBatchShare = 0.5

	// usageReceiverDowntime is the time until a killed usage receiver restarts.
	usageReceiverDowntime = 20 * time.Millisecond
)

// withUsageReceiverFault sets a fault of the usage receiver and clears it after f.Duration.
func (r *runner) withUsageReceiverFault(f Fault, set func(*usagereceiver.Fault)) {
	r.usageReceiver.setFault(set)
	r.sleep(f.Duration)
	r.usageReceiver.setFault(clearUsageFault)
}

func clearUsageFault(x *usagereceiver.Fault) { *x = usagereceiver.Fault{} }

func (r *runner) dropUsageConnections(f Fault) {
	r.withUsageReceiverFault(f, func(x *usagereceiver.Fault) {
		x.DropConnection = true
		x.Share = faultyBatchShare
	})
}

func (r *runner) respondEarlyToUsage(f Fault) {
	r.withUsageReceiverFault(f, func(x *usagereceiver.Fault) {
		x.RespondEarly = true
		x.Share = faultyBatchShare
	})
}

func (r *runner) failUsageBatches(f Fault) {
	r.withUsageReceiverFault(f, func(x *usagereceiver.Fault) {
		x.Status = int(f.Size)
		x.RetryAfter = "1"
		x.Share = faultyBatchShare
	})
}

func (r *runner) slowUsageReceiver(f Fault) {
	r.withUsageReceiverFault(f, func(x *usagereceiver.Fault) {
		x.Delay = time.Duration(f.Size * float64(time.Second))
	})
}

func (r *runner) stopUsageReceiver(f Fault) {
	r.usageReceiver.stop()
	r.sleep(f.Duration)
	if err := r.usageReceiver.start(); err != nil {
		r.addError(err)
	}
}

// killUsageReceiver stops the usage receiver f.Count times and restarts it after usageReceiverDowntime.
// Before each stop it waits for a random time of less than f.Duration / f.Count.
func (r *runner) killUsageReceiver(f Fault) {
	for range f.Count {
		r.sleep(time.Duration(r.randomFloat() * float64(f.Duration) / float64(f.Count)))
		r.usageReceiver.stop()
		r.sleep(usageReceiverDowntime)
		if err := r.usageReceiver.start(); err != nil {
			r.addError(err)
			return
		}
	}
}

func (r *runner) failMetrics(f Fault) {
	if r.metrics == nil {
		r.addError(errors.New("scenario: fault metrics_down: the fleet does not export metrics"))
		return
	}
	r.metrics.SetFault(func(x *metricsreceiver.Fault) { x.Status = http.StatusServiceUnavailable })
	r.sleep(f.Duration)
	r.metrics.SetFault(func(x *metricsreceiver.Fault) { x.Status = 0 })
}
