package scenario

import (
	"fmt"
	"time"

	"winghatch/internal/gateway"
	"winghatch/internal/invariant"
	"winghatch/internal/quotaplan"
	"winghatch/internal/testbed/client"
)

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
