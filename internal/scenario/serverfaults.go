package scenario

import (
	"math"
	"time"

	"winghatch/internal/testbed/backend"
)

// This file contains the faults of servers.

const (
	allServers = math.MaxInt32 // count of a fault that affects all servers

	slowdownSteps  = 20   // number of steps in which the fault ageing slows servers down
	heavyTailShare = 0.02 // fraction of requests that the fault heavy_tail affects

	// restartDelay is the time from the removal of a drained server from the endpoint list until its restart,
	// in addition to the delay of the discovery server.
	restartDelay = 200 * time.Millisecond
)

// withServerFault sets a fault of f.Count servers and clears it after f.Duration.
func (r *runner) withServerFault(f Fault, set, clearFault func(*backend.Fault)) {
	slots := r.acquireServers(f.Count)
	setServerFault(slots, set)
	r.sleep(f.Duration)
	setServerFault(slots, clearFault)
	r.releaseServers(slots)
}

func setServerFault(slots []*serverSlot, change func(*backend.Fault)) {
	for _, s := range slots {
		s.server.SetFault(change)
	}
}

func clearSlowdown(x *backend.Fault) { x.Slowdown = 0 }

func (r *runner) slowServersGradually(f Fault) {
	slots := r.acquireServers(f.Count)
	for step := range slowdownSteps {
		slowdown := 1 + (f.Size-1)*float64(step+1)/slowdownSteps
		setServerFault(slots, func(x *backend.Fault) { x.Slowdown = slowdown })
		r.sleep(f.Duration / slowdownSteps)
	}
	setServerFault(slots, clearSlowdown)
	r.releaseServers(slots)
}

func (r *runner) slowServers(f Fault) {
	r.withServerFault(f, func(x *backend.Fault) { x.Slowdown = f.Size }, clearSlowdown)
}

func (r *runner) slowAllServers(f Fault) {
	f.Count = allServers
	r.slowServers(f)
}

func (r *runner) slowTailOfClass(f Fault) {
	f.Count = allServers
	set := func(x *backend.Fault) {
		x.TailFactor = map[string]float64{f.Class: f.Size}
		x.TailShare = heavyTailShare
	}
	r.withServerFault(f, set, func(x *backend.Fault) {
		x.TailFactor = nil
		x.TailShare = 0
	})
}

func (r *runner) failCallsQuickly(f Fault) {
	set := func(x *backend.Fault) { x.ErrorShare = f.Size }
	r.withServerFault(f, set, func(x *backend.Fault) { x.ErrorShare = 0 })
}

func (r *runner) leaveClassUnanswered(f Fault) {
	set := func(x *backend.Fault) { x.UnansweredClasses = map[string]bool{f.Class: true} }
	r.withServerFault(f, set, func(x *backend.Fault) { x.UnansweredClasses = nil })
}

func (r *runner) omitLoadReports(f Fault) {
	set := func(x *backend.Fault) { x.OmitLoadReport = true }
	r.withServerFault(f, set, func(x *backend.Fault) { x.OmitLoadReport = false })
}

func (r *runner) closeConnections(f Fault) {
	slots := r.acquireServers(f.Count)
	for _, s := range slots {
		s.server.CloseConnections()
	}
	r.releaseServers(slots)
}

// drainServers publishes servers as draining, gives them f.Duration to finish their requests, stops them and
// starts them again.
func (r *runner) drainServers(f Fault) {
	slots := r.acquireServers(f.Count)
	r.currentDiscovery().Update(endpointsWithState(endpointDraining, slots)...)
	r.sleep(f.Duration)
	for _, s := range slots {
		s.server.Stop()
	}
	r.currentDiscovery().Update(endpointsWithState(endpointGone, slots)...)
	r.sleep(r.script.DiscoveryDelay + restartDelay)
	r.restartServers(slots)
}

// hangServers makes servers stop responding for f.Duration, stops them and starts them again. The endpoint
// list reports neither the hang nor the stop.
func (r *runner) hangServers(f Fault) {
	slots := r.acquireServers(f.Count)
	setServerFault(slots, func(x *backend.Fault) { x.Unresponsive = true })
	r.sleep(f.Duration)
	for _, s := range slots {
		s.server.Stop()
	}
	r.restartServers(slots)
}

// addServers starts f.Count more servers like those of the script's first group.
func (r *runner) addServers(f Fault) {
	var slots []*serverSlot
	for range f.Count {
		s, err := r.newServerSlot(r.script.Servers[0])
		if err != nil {
			r.addError(err)
			return
		}
		s.inUse = true
		slots = append(slots, s)
	}
	r.mu.Lock()
	r.servers = append(r.servers, slots...)
	r.mu.Unlock()
	r.restartServers(slots)
}
