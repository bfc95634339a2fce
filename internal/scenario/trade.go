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
type ledger struct {
	mu   sync.Mutex
	addr string
	file string
	r    *usagereceiver.Receiver
	rep  int // repeats, of receivers that ended
}

func (l *ledger) start() (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.r, err = usagereceiver.Start(l.addr, l.file)
	return err
}

func (l *ledger) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.r != nil {
		l.r.Stop()
		l.rep += l.r.Repeats
		l.r = nil
	}
}

func (l *ledger) set(f func(*usagereceiver.Trouble)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.r != nil {
		l.r.Set(f)
	}
}

// Reserved is what became of a reservation.
type Reserved struct {
	Member string
	Units  float64
	Used   float64 // by the accounting
}

// openBooks starts the accounting, if the fleet has one.
func (p *player) openBooks() error {
	f := p.fleet
	f.Kept = filepath.Join(p.o.Dir, "kept-%d")
	if f.Measures.On {
		at, err := p.ports.Addr()
		if err != nil {
			return err
		}
		if p.metrics, err = metricsreceiver.Start(at); err != nil {
			return err
		}
		f.Measures.To = p.metrics.URL()
	}
	if f.Export.To == "" {
		return nil
	}
	at, err := p.ports.Addr()
	if err != nil {
		return err
	}
	p.ledger = &ledger{addr: at, file: filepath.Join(p.o.Dir, "accounting.jsonl")}
	if err := p.ledger.start(); err != nil {
		return err
	}
	f.Export.To = p.ledger.r.URL()
	return nil
}

// closeMetrics keeps the series that the day's receiver has.
func (p *player) closeMetrics() error {
	if p.metrics == nil {
		return nil
	}
	defer p.metrics.Stop()
	f, err := os.Create(filepath.Join(p.o.Dir, "series.jsonl"))
	if err != nil {
		return err
	}
	return errors.Join(p.metrics.Record(f, "winghatch_"), f.Close())
}

// closeBooks exports what the logs of the gateways still owe, and has it judged.
func (p *player) closeBooks(recs []invariant.Record, res *Outcome) error {
	if p.ledger == nil {
		return nil
	}
	p.ledger.set(func(t *usagereceiver.Trouble) { *t = usagereceiver.Trouble{} })
	ctx, stop := context.WithTimeout(p.ctx, time.Minute)
	defer stop()
	orphans := uint64(0)
	for rank := range p.fleet.Gateways {
		r, err := gateway.DrainExport(ctx, p.fleet, rank, slog.New(slog.NewTextHandler(p.drainLog(), nil)))
		if err != nil {
			return fmt.Errorf("day: gateway %d's export: %w", rank, err)
		}
		orphans += r.Desk.Orphans
	}
	evs := p.ledger.r.Events()
	p.ledger.stop()
	u := invariant.JudgeUse(recs, exported(evs), func(request string) bool { return p.killed })
	res.Use, res.Repeats, res.Kills = &u, p.ledger.rep, p.kills
	res.Reserved = p.reserved
	for i := range res.Reserved {
		r := &res.Reserved[i]
		for _, e := range evs {
			var d outbox.Use
			if e.Type == outbox.TypeUse && json.Unmarshal(e.Data, &d) == nil && d.Reserved && d.Member == r.Member {
				r.Used += d.Units
			}
		}
		// A call may turn out larger than was told, so what is out at the end may pass the whole by that much.
		if most := r.Units + p.fleet.Decide.MaxUnits*8; r.Used > most {
			u.Breaches = append(u.Breaches, fmt.Sprintf("reserved: %s used %v of %v, the bound is %v", r.Member, r.Used, r.Units, most))
		}
	}
	return nil
}

func (p *player) drainLog() *os.File {
	f, err := os.OpenFile(filepath.Join(p.o.Dir, "drain.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return os.Stderr
	}
	return f
}

func exported(evs []usagereceiver.Event) (out []invariant.Exported) {
	for _, e := range evs {
		out = append(out, invariant.Exported{Source: e.Source, ID: e.ID, Type: e.Type, Data: e.Data})
	}
	return out
}

// trade plays the troubles of this file; false: the kind is another's.
func (p *player) trade(t Trouble) bool {
	bad := func(set func(*usagereceiver.Trouble)) {
		p.ledger.set(set)
		p.sleep(t.For)
		p.ledger.set(func(x *usagereceiver.Trouble) { *x = usagereceiver.Trouble{} })
	}
	if needsBooks[t.Kind] && p.ledger == nil {
		p.fail(fmt.Errorf("day: %s: the fleet has no export", t.Kind))
		return true
	}
	switch t.Kind {
	case "kill_storm":
		p.killStorm(t)
	case "accounting_kill":
		for range t.Count {
			p.sleep(time.Duration(p.draw() * float64(t.For) / float64(t.Count)))
			p.ledger.stop()
			p.sleep(20 * time.Millisecond)
			if err := p.ledger.start(); err != nil {
				p.fail(err)
				return true
			}
		}
	case "accounting_down":
		p.ledger.stop()
		p.sleep(t.For)
		if err := p.ledger.start(); err != nil {
			p.fail(err)
		}
	case "accounting_status":
		bad(func(x *usagereceiver.Trouble) { x.Status, x.RetryAfter, x.Part = int(t.Size), "1", 0.5 })
	case "accounting_cut":
		bad(func(x *usagereceiver.Trouble) { x.Cut, x.Part = true, 0.5 })
	case "accounting_early":
		bad(func(x *usagereceiver.Trouble) { x.Early, x.Part = true, 0.5 })
	case "accounting_slow":
		bad(func(x *usagereceiver.Trouble) { x.Slow = time.Duration(t.Size * float64(time.Second)) })
	case "metrics_down":
		if p.metrics == nil {
			p.fail(fmt.Errorf("day: %s: the fleet has no measures", t.Kind))
			return true
		}
		p.metrics.Set(func(x *metricsreceiver.Trouble) { x.Status = 503 })
		p.sleep(t.For)
		p.metrics.Set(func(x *metricsreceiver.Trouble) { x.Status = 0 })
	case "plan_change":
		p.planChange(t)
	case "reserve":
		p.reserve(t)
	default:
		return false
	}
	return true
}

var needsBooks = map[string]bool{"accounting_kill": true, "accounting_down": true, "accounting_status": true, "accounting_cut": true,
	"accounting_early": true, "accounting_slow": true}

func (p *player) draw() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}

// killStorm kills gateways at random moments, count times in all, and starts each again at once.
func (p *player) killStorm(t Trouble) {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	for range t.Count {
		p.sleep(time.Duration((0.5 + p.draw()) * float64(t.For) / float64(t.Count)))
		if p.ctx.Err() != nil {
			return
		}
		g := p.gatesOf(1)[0]
		p.signal(g, syscall.SIGKILL, "kill")
		<-g.ended
		p.mu.Lock()
		p.kills++
		p.mu.Unlock()
		p.restart([]*gate{g})
	}
}

// submit hands a change to a gateway that answers, any of them.
func (p *player) submit(c quotaplan.Change) error {
	var err error
	for range 20 {
		g := p.gatesOf(1)[0]
		if _, err = gateway.Ask(p.fleet.Gateways[g.rank].State, p.fleet.Secret, c); err == nil {
			return nil
		}
		p.sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("day: %s: %w", &c, err)
}

func (p *player) number() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes++
	return p.changes
}

// planChange puts members on the fleet's next plan, and back after the time.
func (p *player) planChange(t Trouble) {
	names := p.membersOf(t.Count)
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
			p.log.Add(invariant.Record{K: invariant.Terms, Member: m, State: plan})
			if err := p.submit(quotaplan.Change{Number: p.number(), Kind: quotaplan.Move, Member: m, Plan: plan}); err != nil {
				p.fail(err)
			}
		}
	}
	move(false)
	p.sleep(t.For)
	move(true)
}

// reserve sets units aside for members, of whose orders half are marked for the time.
func (p *player) reserve(t Trouble) {
	names := p.membersOf(t.Count)
	const lead = 500 * time.Millisecond
	from := time.Now().Add(lead)
	marked := map[string]bool{}
	for _, m := range names {
		err := p.submit(quotaplan.Change{Number: p.number(), Kind: quotaplan.Reserve, Member: m, Units: t.Size, From: from.UnixNano(),
			To: from.Add(t.For).UnixNano()})
		if err != nil {
			p.fail(err)
			return
		}
		p.mu.Lock()
		p.reserved = append(p.reserved, Reserved{Member: m, Units: t.Size})
		p.mu.Unlock()
		marked[m] = true
	}
	p.sleep(lead)
	p.school.Set(func(x *client.Trouble) { x.Marked = marked })
	p.sleep(t.For)
	p.school.Set(func(x *client.Trouble) { x.Marked = nil })
}
