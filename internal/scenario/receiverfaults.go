package scenario

import (
	"errors"
	"net/http"
	"time"

	"winghatch/internal/testbed/metricsreceiver"
	"winghatch/internal/testbed/usagereceiver"
)

// Faults of the receivers of usage and of metrics.

const (
	// faultyBatchShare is the share of batches that a fault of the usage receiver strikes.
	faultyBatchShare = 0.5

	// usageReceiverDowntime is how long a killed usage receiver is away.
	usageReceiverDowntime = 20 * time.Millisecond
)

// faultOnUsageReceiver sets a fault of the usage receiver and clears it after the time.
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

// killUsageReceiver stops the usage receiver f.Count times and starts it again soon after. Before each stop it waits
// at most an even part of the time.
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
		r.addError(errors.New("scenario: metrics_down: the fleet exports no metrics"))
		return
	}
	r.metrics.SetFault(func(x *metricsreceiver.Fault) { x.Status = http.StatusServiceUnavailable })
	r.sleep(f.Duration)
	r.metrics.SetFault(func(x *metricsreceiver.Fault) { x.Status = 0 })
}
