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
	"syscall"
	"time"

	"winghatch/internal/gateway"
	"winghatch/internal/invariant"
	"winghatch/internal/quotaplan"
	"winghatch/internal/testbed/client"
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

// Reserved is what became of a reservation.
type ReservationUse struct {
	Member string
	Units  float64
	Used   float64 // by the accounting
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

// trade plays the troubles of this file; false: the kind is another's.
func (p *runner) injectOperations(t Fault) bool {
	bad := func(set func(*usagereceiver.Fault)) {
		p.usageReceiver.setFault(set)
		p.sleep(t.Duration)
		p.usageReceiver.setFault(func(x *usagereceiver.Fault) { *x = usagereceiver.Fault{} })
	}
	if needsUsageReceiver[t.Kind] && p.usageReceiver == nil {
		p.fail(fmt.Errorf("day: %s: the fleet has no export", t.Kind))
		return true
	}
	switch t.Kind {
	case "kill_storm":
		p.killStorm(t)
	case "accounting_kill":
		for range t.Count {
			p.sleep(time.Duration(p.draw() * float64(t.Duration) / float64(t.Count)))
			p.usageReceiver.stop()
			p.sleep(20 * time.Millisecond)
			if err := p.usageReceiver.start(); err != nil {
				p.fail(err)
				return true
			}
		}
	case "accounting_down":
		p.usageReceiver.stop()
		p.sleep(t.Duration)
		if err := p.usageReceiver.start(); err != nil {
			p.fail(err)
		}
	case "accounting_status":
		bad(func(x *usagereceiver.Fault) { x.Status, x.RetryAfter, x.Share = int(t.Size), "1", 0.5 })
	case "accounting_cut":
		bad(func(x *usagereceiver.Fault) { x.DropConnection, x.Share = true, 0.5 })
	case "accounting_early":
		bad(func(x *usagereceiver.Fault) { x.RespondEarly, x.Share = true, 0.5 })
	case "accounting_slow":
		bad(func(x *usagereceiver.Fault) { x.Delay = time.Duration(t.Size * float64(time.Second)) })
	case "metrics_down":
		if p.metrics == nil {
			p.fail(fmt.Errorf("day: %s: the fleet has no measures", t.Kind))
			return true
		}
		p.metrics.SetFault(func(x *metricsreceiver.Fault) { x.Status = 503 })
		p.sleep(t.Duration)
		p.metrics.SetFault(func(x *metricsreceiver.Fault) { x.Status = 0 })
	case "plan_change":
		p.planChange(t)
	case "reserve":
		p.reserve(t)
	default:
		return false
	}
	return true
}

var needsUsageReceiver = map[string]bool{"accounting_kill": true, "accounting_down": true, "accounting_status": true, "accounting_cut": true,
	"accounting_early": true, "accounting_slow": true}

func (p *runner) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// killStorm kills gateways at random moments, count times in all, and starts each again at once.
func (p *runner) killStorm(t Fault) {
	p.mu.Lock()
	p.gatewayKilled = true
	p.mu.Unlock()
	for range t.Count {
		p.sleep(time.Duration((0.5 + p.draw()) * float64(t.Duration) / float64(t.Count)))
		if p.ctx.Err() != nil {
			return
		}
		g := p.pickGateways(1)[0]
		p.signal(g, syscall.SIGKILL, "kill")
		<-g.ended
		p.mu.Lock()
		p.kills++
		p.mu.Unlock()
		p.startGateways([]*gatewayProcess{g})
	}
}

// submit hands a change to a gateway that answers, any of them.
func (p *runner) submit(c quotaplan.Change) error {
	var err error
	for range 20 {
		g := p.pickGateways(1)[0]
		if _, err = gateway.SubmitChange(p.fleet.Gateways[g.rank].StateAddress, p.fleet.Secret, c); err == nil {
			return nil
		}
		p.sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("day: %s: %w", &c, err)
}

func (p *runner) nextChange() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastChange++
	return p.lastChange
}

// planChange puts members on the fleet's next plan, and back after the time.
func (p *runner) planChange(t Fault) {
	names := p.pickMembers(t.Count)
	move := func(back bool) {
		for _, m := range names {
			plan := ""
			for _, x := range p.fleet.Members {
				if x.Name == m {
					plan = x.Plan
				}
			}
			if !back {
				all := p.fleet.Decide.Plans
				for i := range all {
					if all[i].Name == plan {
						plan = all[(i+1)%len(all)].Name
						break
					}
				}
			}
			p.log.Add(invariant.Record{Kind: invariant.PlanChanged, Member: m, State: plan})
			if err := p.submit(quotaplan.Change{Number: p.nextChange(), Kind: quotaplan.Move, Member: m, Plan: plan}); err != nil {
				p.fail(err)
			}
		}
	}
	move(false)
	p.sleep(t.Duration)
	move(true)
}

// reserve sets units aside for members, of whose orders half are marked for the time.
func (p *runner) reserve(t Fault) {
	names := p.pickMembers(t.Count)
	const lead = 500 * time.Millisecond
	from := time.Now().Add(lead)
	marked := map[string]bool{}
	for _, m := range names {
		err := p.submit(quotaplan.Change{Number: p.nextChange(), Kind: quotaplan.Reserve, Member: m, Units: t.Size, From: from.UnixNano(),
			To: from.Add(t.Duration).UnixNano()})
		if err != nil {
			p.fail(err)
			return
		}
		p.mu.Lock()
		p.reservations = append(p.reservations, ReservationUse{Member: m, Units: t.Size})
		p.mu.Unlock()
		marked[m] = true
	}
	p.sleep(lead)
	p.client.SetFault(func(x *client.Fault) { x.UseReservation = marked })
	p.sleep(t.Duration)
	p.client.SetFault(func(x *client.Fault) { x.UseReservation = nil })
}
