package scenario

import (
	"fmt"
	"time"

	"winghatch/decide"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/testbed/backend"
)

// States of an endpoint in the discovery protocol.
const (
	endpointServing  = "serving"
	endpointDraining = "draining"
	endpointGone     = "gone"
)

// serverSlot holds the address and the options of a server, and the server itself, which a fault may replace
// by a restart. setUp and tearDown use all slots; in between, a server is used only by the fault that
// acquired its slot.
type serverSlot struct {
	options backend.Options
	server  *backend.Server
	inUse   bool // whether a fault has acquired the slot; guarded by runner.mu
}

// endpoint returns the entry of the endpoint list for the slot. started is the start time of a server in slow
// start and the zero time for any other server.
func (s *serverSlot) endpoint(state string, started time.Time) discoveryws.Endpoint {
	e := discoveryws.Endpoint{
		Address: s.options.Address,
		Zone:    s.options.Zone,
		Cell:    s.options.Cell,
		State:   state,
	}
	if !started.IsZero() {
		e.StartedMs = started.UnixMilli()
	}
	return e
}

// endpointsWithState returns the entries of the endpoint list, all with the given state, for slots whose
// servers are not in slow start.
func endpointsWithState(state string, slots []*serverSlot) (endpoints []discoveryws.Endpoint) {
	for _, s := range slots {
		endpoints = append(endpoints, s.endpoint(state, time.Time{}))
	}
	return endpoints
}

// newServerSlot returns a slot with a new address. It does not start a server.
func (r *runner) newServerSlot(group ServerGroup) (*serverSlot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addr, err := r.ports.Addr()
	if err != nil {
		return nil, err
	}
	return &serverSlot{options: backend.Options{
		Address: addr,
		Zone:    group.Zone,
		Cell:    group.Cell,
		Cores:   group.Cores,
		Speed:   group.Speed,
		Queue:   group.Queue,
		Classes: r.serverClasses(group),
		Seed:    r.rng.Uint64(),
		Log:     r.log,
		Dedup:   r.dedupStore(group),
		Meter:   r.usageMeter,
	}}, nil
}

func (r *runner) serverClasses(group ServerGroup) map[string]backend.Class {
	classes := map[string]backend.Class{}
	for _, class := range r.fleet.Decide.Classes {
		classes[class.Name] = backend.Class{
			MeanWork:     group.Work[class.Name],
			Deduplicates: class.Idempotency == decide.IdempotentByKey,
			DedupWindow:  class.DedupWindow,
		}
	}
	return classes
}

// dedupStore returns the store of idempotency keys for a server of the group. All servers of the fleet share
// one store, or those of a zone or a cell if that is the deduplication scope of a class. The caller must hold
// r.mu.
func (r *runner) dedupStore(group ServerGroup) *backend.DedupStore {
	name := "all"
	for _, class := range r.fleet.Decide.Classes {
		if class.Idempotency != decide.IdempotentByKey {
			continue
		}
		switch class.DedupScope {
		case decide.DedupInZone:
			name = "zone " + group.Zone
		case decide.DedupInCell:
			name = fmt.Sprint("cell ", group.Cell)
		}
	}
	if r.dedupStores[name] == nil {
		r.dedupStores[name] = backend.NewDedupStore()
	}
	return r.dedupStores[name]
}

// acquireServers acquires count randomly chosen servers that no other fault uses, or all such servers if
// there are fewer.
func (r *runner) acquireServers(count int) (acquired []*serverSlot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.rng.Perm(len(r.servers)) {
		if s := r.servers[i]; !s.inUse && len(acquired) < count {
			s.inUse = true
			acquired = append(acquired, s)
		}
	}
	return acquired
}

func (r *runner) releaseServers(slots []*serverSlot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range slots {
		s.inUse = false
	}
}

// restartServers starts servers in slow start at the addresses of the slots, publishes them in the endpoint
// list and releases the slots.
func (r *runner) restartServers(slots []*serverSlot) {
	var endpoints []discoveryws.Endpoint
	for _, s := range slots {
		server, err := backend.Start(r.withSlowStart(s.options))
		if err != nil {
			r.addError(err)
			return
		}
		s.server = server
		endpoints = append(endpoints, s.endpoint(endpointServing, time.Now()))
	}
	r.currentDiscovery().Update(endpoints...)
	r.releaseServers(slots)
}

// withSlowStart returns o with the slow start settings of the fleet's configuration.
func (r *runner) withSlowStart(o backend.Options) backend.Options {
	safety := r.fleet.Decide.Safety
	o.InitialCapacity = safety.SlowStartCapacity
	o.SlowStartDuration = safety.SlowStartDuration
	o.OverloadMultiple = safety.OverloadMultiple
	o.OverloadWindow = safety.OverloadWindow
	return o
}
