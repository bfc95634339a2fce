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
	// drainTimeout bounds the delivery of what the gateways' outboxes hold after the run.
	drainTimeout = time.Minute

	// overrunRequests says by how much more than the reserved units a member may use: by this many requests of the
	// largest size. A request's cost is known only when it ends, so those in progress when the reservation is used up
	// can exceed it.
	overrunRequests = 8
)

// usageReceiverSlot is the address and the file of the usage receiver. Faults stop it and start another there, which
// has the events of those before it. It is safe for concurrent use.
type usageReceiverSlot struct {
	addr string // host:port
	file string

	mu         sync.Mutex
	receiver   *usagereceiver.Receiver // nil while it is stopped
	duplicates int                     // events that receivers now stopped had received before
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

// startReceivers starts the receivers of what the fleet exports: metrics, usage, both or none.
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

// stopReceivers stops the receivers that still run.
func (r *runner) stopReceivers() {
	if r.usageReceiver != nil {
		r.usageReceiver.stop()
	}
	if r.metrics != nil {
		r.metrics.Stop()
	}
}

// saveSeries writes the series that the metrics receiver kept to seriesFile.
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

// checkUsage delivers what the outboxes of the gateways still hold, checks the events of the usage receiver against the
// records and adds the findings to the result.
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
	mayEstimate := func(string) bool { return r.gatewayKilled }
	usage := invariant.CheckUsage(records, toUsageEvents(events), mayEstimate)
	res.Usage = &usage
	res.DuplicateEvents = r.usageReceiver.duplicates
	res.Kills = r.kills
	res.Reservations = r.reservations
	for i := range res.Reservations {
		reservation := &res.Reservations[i]
		reservation.Used += reservedUnits(events, reservation.Member)
		if bound := reservation.Units + r.fleet.Decide.MaxUnits*overrunRequests; reservation.Used > bound {
			usage.Violations = append(usage.Violations, fmt.Sprintf("reserved: %s used %v of %v, the bound is %v",
				reservation.Member, reservation.Used, reservation.Units, bound))
		}
	}
	return nil
}

// drainOutboxes delivers what the outboxes of the gateways, all stopped, still hold.
func (r *runner) drainOutboxes() error {
	ctx, stop := context.WithTimeout(r.ctx, drainTimeout)
	defer stop()
	logFile, err := os.OpenFile(filepath.Join(r.options.Dir, drainLogFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	log := slog.New(slog.NewTextHandler(logFile, nil))
	for rank := range r.fleet.Gateways {
		if _, err := gateway.DrainOutbox(ctx, r.fleet, rank, log); err != nil {
			return fmt.Errorf("scenario: deliver the usage events of gateway %d: %w", rank, err)
		}
	}
	return nil
}

// reservedUnits returns how many reserved units a member used by the events.
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
