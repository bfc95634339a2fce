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

// What days do about plans, reservations and the accounting.

// ledger is the accounting's place: it is stopped and started at one address, over one file.
type usageReceiverSlot struct {
	mu         sync.Mutex
	addr       string
	file       string
	receiver   *usagereceiver.Receiver
	duplicates int // repeats, of receivers that ended
}

func (l *usageReceiverSlot) start() (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receiver, err = usagereceiver.Start(l.addr, l.file)
	return err
}

func (l *usageReceiverSlot) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.receiver != nil {
		l.receiver.Stop()
		l.duplicates += l.receiver.Duplicates
		l.receiver = nil
	}
}

func (l *usageReceiverSlot) setFault(f func(*usagereceiver.Fault)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.receiver != nil {
		l.receiver.SetFault(f)
	}
}

// openBooks starts the accounting, if the fleet has one.
func (p *runner) startReceivers() error {
	f := p.fleet
	f.StateDirPattern = filepath.Join(p.options.Dir, "kept-%d")
	if f.Metrics.Enabled {
		at, err := p.ports.Addr()
		if err != nil {
			return err
		}
		if p.metrics, err = metricsreceiver.Start(at); err != nil {
			return err
		}
		f.Metrics.URL = p.metrics.URL()
	}
	if f.UsageExport.URL == "" {
		return nil
	}
	at, err := p.ports.Addr()
	if err != nil {
		return err
	}
	p.usageReceiver = &usageReceiverSlot{addr: at, file: filepath.Join(p.options.Dir, "accounting.jsonl")}
	if err := p.usageReceiver.start(); err != nil {
		return err
	}
	f.UsageExport.URL = p.usageReceiver.receiver.URL()
	return nil
}

// closeMetrics keeps the series that the day's receiver has.
func (p *runner) saveMetrics() error {
	if p.metrics == nil {
		return nil
	}
	defer p.metrics.Stop()
	f, err := os.Create(filepath.Join(p.options.Dir, "series.jsonl"))
	if err != nil {
		return err
	}
	return errors.Join(p.metrics.WriteSeries(f, "winghatch_"), f.Close())
}

// closeBooks exports what the logs of the gateways still owe, and has it judged.
func (p *runner) checkUsage(recs []invariant.Record, res *Result) error {
	if p.usageReceiver == nil {
		return nil
	}
	p.usageReceiver.setFault(func(t *usagereceiver.Fault) { *t = usagereceiver.Fault{} })
	ctx, stop := context.WithTimeout(p.ctx, time.Minute)
	defer stop()
	orphans := uint64(0)
	for rank := range p.fleet.Gateways {
		r, err := gateway.DrainOutbox(ctx, p.fleet, rank, slog.New(slog.NewTextHandler(p.drainLog(), nil)))
		if err != nil {
			return fmt.Errorf("day: gateway %d's export: %w", rank, err)
		}
		orphans += r.Outbox.Orphans
	}
	evs := p.usageReceiver.receiver.Events()
	p.usageReceiver.stop()
	u := invariant.CheckUsage(recs, toUsageEvents(evs), func(request string) bool { return p.gatewayKilled })
	res.Usage, res.DuplicateEvents, res.Kills = &u, p.usageReceiver.duplicates, p.kills
	res.Reservations = p.reservations
	for i := range res.Reservations {
		r := &res.Reservations[i]
		for _, e := range evs {
			var d outbox.UsageData
			if e.Type == outbox.TypeUsage && json.Unmarshal(e.Data, &d) == nil && d.Reserved && d.Member == r.Member {
				r.Used += d.Units
			}
		}
		// A call may turn out larger than was told, so what is out at the end may pass the whole by that much.
		if most := r.Units + p.fleet.Decide.MaxUnits*8; r.Used > most {
			u.Violations = append(u.Violations, fmt.Sprintf("reserved: %s used %v of %v, the bound is %v", r.Member, r.Used, r.Units, most))
		}
	}
	return nil
}

func (p *runner) drainLog() *os.File {
	f, err := os.OpenFile(filepath.Join(p.options.Dir, "drain.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return os.Stderr
	}
	return f
}

func toUsageEvents(evs []usagereceiver.Event) (out []invariant.UsageEvent) {
	for _, e := range evs {
		out = append(out, invariant.UsageEvent{Source: e.Source, ID: e.ID, Type: e.Type, Data: e.Data})
	}
	return out
}
