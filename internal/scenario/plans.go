package scenario

import (
	"fmt"
	"time"

	"winghatch/internal/gateway"
	"winghatch/internal/invariant"
	"winghatch/internal/quotaplan"
	"winghatch/internal/testbed/client"
)

const (
	submitTries      = 20
	submitRetryDelay = 50 * time.Millisecond

	// reservationLead is the time between a reservation and the begin of its window.
	reservationLead = 500 * time.Millisecond
)

// submit submits a plan change to random gateways until one accepts it.
func (r *runner) submit(c quotaplan.Change) error {
	var err error
	for range submitTries {
		g := r.pickGateways(1)[0]
		addr := r.fleet.Gateways[g.rank].StateAddress
		if _, err = gateway.SubmitChange(addr, r.fleet.Secret, c); err == nil {
			return nil
		}
		r.sleep(submitRetryDelay)
	}
	return fmt.Errorf("scenario: %s: %w", &c, err)
}

// nextChange returns the number of the next plan change.
func (r *runner) nextChange() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastChange++
	return r.lastChange
}

// changePlans puts members on the fleet's next plan, and back after f.Duration.
func (r *runner) changePlans(f Fault) {
	members := r.pickMembers(f.Count)
	for _, name := range members {
		r.movePlan(name, r.nextPlan(r.planOf(name)))
	}
	r.sleep(f.Duration)
	for _, name := range members {
		r.movePlan(name, r.planOf(name))
	}
}

func (r *runner) movePlan(member, plan string) {
	r.log.Add(invariant.Record{Kind: invariant.PlanChanged, Member: member, State: plan})
	change := quotaplan.Change{Number: r.nextChange(), Kind: quotaplan.Move, Member: member, Plan: plan}
	if err := r.submit(change); err != nil {
		r.fail(err)
	}
}

// planOf returns the plan of a member by the settings.
func (r *runner) planOf(member string) string {
	for _, m := range r.fleet.Members {
		if m.Name == member {
			return m.Plan
		}
	}
	return ""
}

// nextPlan returns the plan behind another one in the settings, the first one behind the last.
func (r *runner) nextPlan(plan string) string {
	plans := r.fleet.Decide.Plans
	for i := range plans {
		if plans[i].Name == plan {
			return plans[(i+1)%len(plans)].Name
		}
	}
	return plan
}

// reserve reserves f.Size units for members, of whose requests half use them for f.Duration.
func (r *runner) reserve(f Fault) {
	names := r.pickMembers(f.Count)
	from := time.Now().Add(reservationLead)
	members := map[string]bool{}
	for _, name := range names {
		err := r.submit(quotaplan.Change{
			Number: r.nextChange(),
			Kind:   quotaplan.Reserve,
			Member: name,
			Units:  f.Size,
			From:   from.UnixNano(),
			To:     from.Add(f.Duration).UnixNano(),
		})
		if err != nil {
			r.fail(err)
			return
		}
		r.mu.Lock()
		r.reservations = append(r.reservations, ReservationUse{Member: name, Units: f.Size})
		r.mu.Unlock()
		members[name] = true
	}
	r.sleep(reservationLead)
	r.onClients(f, func(x *client.Fault) { x.UseReservation = members },
		func(x *client.Fault) { x.UseReservation = nil })
}
