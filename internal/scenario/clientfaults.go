package scenario

import "winghatch/internal/testbed/client"

// This file contains the faults of the client load.

// withClientFault sets a fault of the clients and clears it after f.Duration.
func (r *runner) withClientFault(f Fault, set, clearFault func(*client.Fault)) {
	r.client.SetFault(set)
	r.sleep(f.Duration)
	r.client.SetFault(clearFault)
}

func (r *runner) multiplyLoad(f Fault) {
	set := func(x *client.Fault) { x.RateFactor = f.Size }
	r.withClientFault(f, set, func(x *client.Fault) { x.RateFactor = 0 })
}

// multiplyMembersLoad multiplies the load of some members by f.Size. The load of the other members does not
// change: the total rate rises with the weights of the chosen members.
func (r *runner) multiplyMembersLoad(f Fault) {
	members := r.pickMembers(f.Count)
	all := float64(len(r.fleet.Members))
	set := func(x *client.Fault) {
		x.WeightFactor = map[string]float64{}
		for _, name := range members {
			x.WeightFactor[name] = f.Size
		}
		x.RateFactor = (all + float64(len(members))*(f.Size-1)) / all
	}
	r.withClientFault(f, set, func(x *client.Fault) {
		x.WeightFactor = nil
		x.RateFactor = 0
	})
}

func (r *runner) multiplyOneMembersLoad(f Fault) {
	f.Count = 1
	r.multiplyMembersLoad(f)
}

func (r *runner) useFirstGatewayOnly(f Fault) {
	members := r.pickMembers(f.Count)
	set := func(x *client.Fault) {
		x.FirstGatewayOnly = map[string]bool{}
		for _, name := range members {
			x.FirstGatewayOnly[name] = true
		}
	}
	r.withClientFault(f, set, func(x *client.Fault) { x.FirstGatewayOnly = nil })
}

func (r *runner) reconnectClients(Fault) { r.client.Reconnect() }

// pickMembers returns the names of count randomly chosen members, or all if there are fewer.
func (r *runner) pickMembers(count int) (picked []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.rng.Perm(len(r.fleet.Members)) {
		if len(picked) < count {
			picked = append(picked, r.fleet.Members[i].Name)
		}
	}
	return picked
}
