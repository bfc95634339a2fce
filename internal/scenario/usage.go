package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"winghatch/internal/gateway"
	"winghatch/internal/invariant"
	"winghatch/internal/testbed/metricsreceiver"
	"winghatch/internal/testbed/usagereceiver"
	"winghatch/internal/usage/outbox"
)

const (
	// drainTimeout limits the time to deliver the events that are left in the outboxes of the gateways after
	// a run.
	drainTimeout = time.Minute

	// overrunRequests is the number of requests of maximum cost by which a member may exceed its reservation.
	// The cost of a request is known only at its end, so the requests in flight when the reservation is used
	// up can exceed it.
	overrunRequests = 8
)

// usageReceiverSlot holds the address and the file of the usage receiver, and the receiver itself. Faults
// stop the receiver and start another one with the same address and file, which continues with the events in
// the file. It is safe for concurrent use.
type usageReceiverSlot struct {
	addr string // host:port
	file string // path of the file with the events

	mu         sync.Mutex              // guards the fields below
	receiver   *usagereceiver.Receiver // nil while stopped
	duplicates int                     // duplicate events that the stopped receivers received
}

func (s *usageReceiverSlot) start() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiver, err = usagereceiver.Start(s.addr, s.file)
	return err
}

func (s *usageReceiverSlot) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receiver == nil {
		return
	}
	s.receiver.Stop()
	s.duplicates += s.receiver.Duplicates()
	s.receiver = nil
}

func (s *usageReceiverSlot) setFault(change func(*usagereceiver.Fault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receiver != nil {
		s.receiver.SetFault(change)
	}
}

// startReceivers starts a receiver for metrics and one for usage, each only if the fleet exports them.
func (r *runner) startReceivers() error {
	r.fleet.StateDirPattern = filepath.Join(r.options.Dir, "kept-%d")
	if r.fleet.Metrics.Enabled {
		addr, err := r.ports.Addr()
		if err != nil {
			return err
		}
		if r.metrics, err = metricsreceiver.Start(addr); err != nil {
			return err
		}
		r.fleet.Metrics.URL = r.metrics.URL()
	}
	if r.fleet.UsageExport.URL == "" {
		return nil
	}
	addr, err := r.ports.Addr()
	if err != nil {
		return err
	}
	r.usageReceiver = &usageReceiverSlot{addr: addr, file: filepath.Join(r.options.Dir, usageFile)}
	if err := r.usageReceiver.start(); err != nil {
		return err
	}
	r.fleet.UsageExport.URL = r.usageReceiver.receiver.URL()
	return nil
}

// stopReceivers stops the receivers that are still running.
func (r *runner) stopReceivers() {
	if r.usageReceiver != nil {
		r.usageReceiver.stop()
	}
	if r.metrics != nil {
		r.metrics.Stop()
	}
}

// saveSeries writes the time series that the metrics receiver stored to seriesFile.
func (r *runner) saveSeries() error {
	if r.metrics == nil {
		return nil
	}
	f, err := os.Create(filepath.Join(r.options.Dir, seriesFile))
	if err != nil {
		return err
	}
	return errors.Join(r.metrics.WriteSeries(f, "winghatch_"), f.Close())
}

// checkUsage delivers the events that are left in the outboxes of the gateways, checks the events of the
// usage receiver against the records and adds the findings to the result. It does nothing if the fleet
// exports no usage.
func (r *runner) checkUsage(records []invariant.Record, res *Result) error {
	if r.usageReceiver == nil {
		return nil
	}
	r.usageReceiver.setFault(clearUsageFault)
	if err := r.drainOutboxes(); err != nil {
		return err
	}
	events := r.usageReceiver.receiver.Events()
	r.usageReceiver.stop()
	gatewayKilled := func(string) bool { return r.gatewayKilled }
	usage := invariant.CheckUsage(records, toUsageEvents(events), gatewayKilled)
	res.Usage = &usage
	res.DuplicateEvents = r.usageReceiver.duplicates
	res.Kills = r.kills
	res.Reservations = r.reservations
	for i := range res.Reservations {
		reservation := &res.Reservations[i]
		reservation.Used += reservedUnits(events, reservation.Member)
		if bound := reservation.Units + r.fleet.Decide.MaxUnits*overrunRequests; reservation.Used > bound {
			usage.Violations = append(usage.Violations,
				fmt.Sprintf("reserved: member %s used %v of %v reserved units, want at most %v",
					reservation.Member, reservation.Used, reservation.Units, bound))
		}
	}
	return nil
}

// drainOutboxes delivers the events that are left in the outboxes of the gateways. All gateways must have
// ended.
func (r *runner) drainOutboxes() error {
	ctx, stop := context.WithTimeout(r.ctx, drainTimeout)
	defer stop()
	logFile, err := os.OpenFile(filepath.Join(r.options.Dir, drainLogFile),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	log := slog.New(slog.NewTextHandler(logFile, nil))
	for rank := range r.fleet.Gateways {
		if _, err := gateway.DrainOutbox(ctx, r.fleet, rank, log); err != nil {
			return fmt.Errorf("scenario: deliver the remaining usage events of gateway %d: %w", rank, err)
		}
	}
	return nil
}

// reservedUnits returns the number of reserved units that a member used, according to the events.
func reservedUnits(events []usagereceiver.Event, member string) float64 {
	units := 0.0
	for _, e := range events {
		var data outbox.UsageData
		if e.Type != outbox.TypeUsage || json.Unmarshal(e.Data, &data) != nil {
			continue
		}
		if data.Reserved && data.Member == member {
			units += data.Units
		}
	}
	return units
}

func toUsageEvents(events []usagereceiver.Event) (out []invariant.UsageEvent) {
	for _, e := range events {
		out = append(out, invariant.UsageEvent{Source: e.Source, ID: e.ID, Type: e.Type, Data: e.Data})
	}
	return out
}
