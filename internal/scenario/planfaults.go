package scenario

import (
	"fmt"
	"time"

	"winghatch/internal/gateway"
	"winghatch/internal/invariant"
	"winghatch/internal/quotaplan"
	"winghatch/internal/testbed/client"
)

// This file contains the faults that change plans of members and reserve units under load.

const (
	// reservationLead is the time from the submission of a reservation until it begins. All gateways must
	// know the reservation before members use it.
	reservationLead = 500 * time.Millisecond

	submitAttempts   = 20                    // maximum number of attempts to submit a change
	submitRetryDelay = 50 * time.Millisecond // delay between two of these attempts
)

// changePlans moves members to the next plan of the fleet, and back after f.Duration.
func (r *runner) changePlans(f Fault) {
	members := r.pickMembers(f.Count)
	for _, m := range members {
		r.moveMember(m, r.nextPlan(r.planOf(m)))
	}
	r.sleep(f.Duration)
	for _, m := range members {
		r.moveMember(m, r.planOf(m))
	}
}

func (r *runner) moveMember(member, plan string) {
	r.log.Add(invariant.Record{Kind: invariant.PlanChanged, Member: member, State: plan})
	change := quotaplan.Change{Number: r.nextChange(), Kind: quotaplan.Move, Member: member, Plan: plan}
	if err := r.submit(change); err != nil {
		r.addError(err)
	}
}

// planOf returns the name of the plan that a member has in the configuration of the fleet.
func (r *runner) planOf(member string) string {
	plan := ""
	for _, m := range r.fleet.Members {
		if m.Name == member {
			plan = m.Plan
		}
	}
	return plan
}

// nextPlan returns the name of the plan that follows the given one in the configuration of the fleet. The
// first plan follows the last.
func (r *runner) nextPlan(plan string) string {
	plans := r.fleet.Decide.Plans
	for i := range plans {
		if plans[i].Name == plan {
			return plans[(i+1)%len(plans)].Name
		}
	}
	return plan
}

// reserveUnits reserves f.Size units for each of f.Count members. For f.Duration, half of the members'
// requests use the reservation.
func (r *runner) reserveUnits(f Fault) {
	members := r.pickMembers(f.Count)
	from := time.Now().Add(reservationLead)
	reserved := map[string]bool{}
	for _, m := range members {
		err := r.submit(quotaplan.Change{
			Number: r.nextChange(),
			Kind:   quotaplan.Reserve,
			Member: m,
			Units:  f.Size,
			From:   from.UnixNano(),
			To:     from.Add(f.Duration).UnixNano(),
		})
		if err != nil {
			r.addError(err)
			return
		}
		r.mu.Lock()
		r.reservations = append(r.reservations, ReservationUse{Member: m, Units: f.Size})
		r.mu.Unlock()
		reserved[m] = true
	}
	r.sleep(reservationLead)
	set := func(x *client.Fault) { x.UseReservation = reserved }
	r.withClientFault(f, set, func(x *client.Fault) { x.UseReservation = nil })
}

// submit submits a change to a randomly chosen gateway. If that fails, it tries again with another random
// choice, up to submitAttempts times.
func (r *runner) submit(c quotaplan.Change) error {
	var err error
	for range submitAttempts {
		g := r.pickGateways(1)[0]
		if _, err = gateway.SubmitChange(
			r.fleet.Gateways[g.rank].StateAddress, r.fleet.Secret, c,
		); err == nil {
			return nil
		}
		r.sleep(submitRetryDelay)
	}
	return fmt.Errorf("scenario: submit %s: %w", &c, err)
}

func (r *runner) nextChange() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastChange++
	return r.lastChange
}
