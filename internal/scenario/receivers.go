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
	// drainTimeout bounds the export of what gateways still owe at the end.
	drainTimeout = time.Minute

	// reservationSlackCalls is by how many calls of the largest size a reservation may be exceeded: a call may cost more
	// than it was sent with, so that those in flight at the end may exceed it.
	reservationSlackCalls = 8

	// receiverRestartDelay is how long a killed usage receiver stays away.
	receiverRestartDelay = 20 * time.Millisecond

	// faultyShare is the share of batches that a faulty usage receiver treats wrongly.
	faultyShare = 0.5
)

// needsUsageReceiver are the faults of the usage receiver.
var needsUsageReceiver = map[string]bool{
	"accounting_cut":    true,
	"accounting_down":   true,
	"accounting_early":  true,
	"accounting_kill":   true,
	"accounting_slow":   true,
	"accounting_status": true,
}

// usageReceiverSlot is the place of the usage receiver: its address and file stay while receivers come and go there.
type usageReceiverSlot struct {
	addr string
	file string

	mu         sync.Mutex
	receiver   *usagereceiver.Receiver // nil while none runs
	duplicates int                     // events that came again, to receivers that have ended
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
	if s.receiver != nil {
		s.receiver.Stop()
		s.duplicates += s.receiver.Duplicates
		s.receiver = nil
	}
}

func (s *usageReceiverSlot) setFault(change func(*usagereceiver.Fault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receiver != nil {
		s.receiver.SetFault(change)
	}
}

// startReceivers starts the receivers that the fleet's settings ask for.
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

// saveMetrics writes the series that were received.
func (r *runner) saveMetrics() error {
	if r.metrics == nil {
		return nil
	}
	defer r.metrics.Stop()
	f, err := os.Create(filepath.Join(r.options.Dir, metricsFile))
	if err != nil {
		return err
	}
	return errors.Join(r.metrics.WriteSeries(f, "winghatch_"), f.Close())
}

// checkUsage exports what the gateways still owe, and checks the exported usage against the traffic.
func (r *runner) checkUsage(records []invariant.Record, res *Result) error {
	if r.usageReceiver == nil {
		return nil
	}
	r.usageReceiver.setFault(func(x *usagereceiver.Fault) { *x = usagereceiver.Fault{} })
	if err := r.drainOutboxes(); err != nil {
		return err
	}
	events := r.usageReceiver.receiver.Events()
	r.usageReceiver.stop()
	usage := invariant.CheckUsage(records, toUsageEvents(events), func(string) bool { return r.gatewayKilled })
	for i := range r.reservations {
		reservation := &r.reservations[i]
		reservation.Used = reservedUnits(events, reservation.Member)
		bound := reservation.Units + r.fleet.Decide.MaxUnits*reservationSlackCalls
		if reservation.Used > bound {
			usage.Violations = append(usage.Violations, fmt.Sprintf("reserved: %s used %v of %v, the bound is %v",
				reservation.Member, reservation.Used, reservation.Units, bound))
		}
	}
	res.Usage = &usage
	res.DuplicateEvents = r.usageReceiver.duplicates
	res.Kills = r.kills
	res.Reservations = r.reservations
	return nil
}

// drainOutboxes exports what the logs of the gateways, which have ended, still owe.
func (r *runner) drainOutboxes() error {
	ctx, cancel := context.WithTimeout(r.ctx, drainTimeout)
	defer cancel()
	out, err := os.OpenFile(filepath.Join(r.options.Dir, "drain.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	log := slog.New(slog.NewTextHandler(out, nil))
	for rank := range r.fleet.Gateways {
		if _, err := gateway.DrainOutbox(ctx, r.fleet, rank, log); err != nil {
			return fmt.Errorf("scenario: gateway %d's outbox: %w", rank, err)
		}
	}
	return nil
}

// reservedUnits returns the units that a member has used of reservations.
func reservedUnits(events []usagereceiver.Event, member string) (units float64) {
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

// onUsageReceiver sets a fault of the usage receiver for f.Duration.
func (r *runner) onUsageReceiver(f Fault, on func(*usagereceiver.Fault)) {
	r.usageReceiver.setFault(on)
	r.sleep(f.Duration)
	r.usageReceiver.setFault(func(x *usagereceiver.Fault) { *x = usagereceiver.Fault{} })
}

func (r *runner) failUsageReceiver(f Fault) {
	r.onUsageReceiver(f, func(x *usagereceiver.Fault) {
		x.Status, x.RetryAfter, x.Share = int(f.Size), "1", faultyShare
	})
}

func (r *runner) cutUsageReceiver(f Fault) {
	r.onUsageReceiver(f, func(x *usagereceiver.Fault) { x.DropConnection, x.Share = true, faultyShare })
}

func (r *runner) answerUsageEarly(f Fault) {
	r.onUsageReceiver(f, func(x *usagereceiver.Fault) { x.RespondEarly, x.Share = true, faultyShare })
}

func (r *runner) slowUsageReceiver(f Fault) {
	delay := time.Duration(f.Size * float64(time.Second))
	r.onUsageReceiver(f, func(x *usagereceiver.Fault) { x.Delay = delay })
}

// stopUsageReceiver takes the usage receiver away for f.Duration.
func (r *runner) stopUsageReceiver(f Fault) {
	r.usageReceiver.stop()
	r.sleep(f.Duration)
	if err := r.usageReceiver.start(); err != nil {
		r.fail(err)
	}
}

// killUsageReceiver restarts the usage receiver f.Count times at random moments.
func (r *runner) killUsageReceiver(f Fault) {
	for range f.Count {
		r.sleep(time.Duration(r.draw() * float64(f.Duration) / float64(f.Count)))
		r.usageReceiver.stop()
		r.sleep(receiverRestartDelay)
		if err := r.usageReceiver.start(); err != nil {
			r.fail(err)
			return
		}
	}
}
