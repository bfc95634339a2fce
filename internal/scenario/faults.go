package scenario

import (
	"fmt"
	"math"
	"syscall"
	"time"

	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/testbed/backend"
	"winghatch/internal/testbed/client"
	"winghatch/internal/testbed/discovery"
	"winghatch/internal/testbed/metricsreceiver"
)

const (
	allServers = math.MaxInt32 // as a count of servers

	// ageingSteps is how many steps the fault ageing has until its full size.
	ageingSteps = 20

	// heavyTailShare is the share of calls that the fault heavy_tail hits.
	heavyTailShare = 0.02

	// goneBeforeRestart is how long servers stay away after the change that they are gone is sent.
	goneBeforeRestart = 200 * time.Millisecond
)

// inject injects a fault and returns when it is over.
func (r *runner) inject(f Fault) {
	if needsUsageReceiver[f.Kind] && r.usageReceiver == nil {
		r.fail(fmt.Errorf("scenario: %s: the fleet has no export", f.Kind))
		return
	}
	injectors[f.Kind](r, f)
}

// injectors has the faults by kind; FaultKinds says what each does.
var injectors = map[string]func(*runner, Fault){
	"ageing":         (*runner).ageServers,
	"balancer_crash": (*runner).crashGateways,
	"balancer_roll":  (*runner).rollGateways,
	"balancer_stall": (*runner).stallGateways,
	"burst": func(r *runner, f Fault) {
		r.onClients(f, func(x *client.Fault) { x.RateFactor = f.Size }, func(x *client.Fault) { x.RateFactor = 0 })
	},
	"class_fail": func(r *runner, f Fault) {
		classes := map[string]bool{f.Class: true}
		r.onServers(f, func(x *backend.Fault) { x.UnansweredClasses = classes },
			func(x *backend.Fault) { x.UnansweredClasses = nil })
	},
	"cold_start": (*runner).addServers,
	"cut":        (*runner).cutConnections,
	"drain":      (*runner).drainServers,
	"fast_errors": func(r *runner, f Fault) {
		r.onServers(f, func(x *backend.Fault) { x.ErrorShare = f.Size }, func(x *backend.Fault) { x.ErrorShare = 0 })
	},
	"heavy_tail": (*runner).heavyTail,
	"hot_caller": (*runner).useFirstGateways,
	"hot_key": func(r *runner, f Fault) {
		f.Count = 1
		r.burstOfMembers(f)
	},
	"kill_storm":   (*runner).killStorm,
	"list_bad":     (*runner).sendInvalidUpdates,
	"list_late":    (*runner).delayDiscovery,
	"list_silent":  (*runner).silenceDiscovery,
	"list_stale":   (*runner).restartDiscovery,
	"lost_peers":   (*runner).loseGossip,
	"metrics_down": (*runner).failMetrics,
	"plan_change":  (*runner).changePlans,
	"reconnect":    func(r *runner, _ Fault) { r.client.Reconnect() },
	"report_gap": func(r *runner, f Fault) {
		r.onServers(f, func(x *backend.Fault) { x.OmitLoadReport = true },
			func(x *backend.Fault) { x.OmitLoadReport = false })
	},
	"reserve": (*runner).reserve,
	"shared_slow": func(r *runner, f Fault) {
		f.Count = allServers
		r.slowServers(f)
	},
	"slow":         (*runner).slowServers,
	"tenant_burst": (*runner).burstOfMembers,
	"vanish":       (*runner).vanishServers,

	"accounting_cut":    (*runner).cutUsageReceiver,
	"accounting_down":   (*runner).stopUsageReceiver,
	"accounting_early":  (*runner).answerUsageEarly,
	"accounting_kill":   (*runner).killUsageReceiver,
	"accounting_slow":   (*runner).slowUsageReceiver,
	"accounting_status": (*runner).failUsageReceiver,
}

// takeServers returns at most n random servers that no other fault has taken away, and takes them.
func (r *runner) takeServers(n int) (out []*serverSlot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.rng.Perm(len(r.servers)) {
		if s := r.servers[i]; !s.inUse && len(out) < n {
			s.inUse = true
			out = append(out, s)
		}
	}
	return out
}

func (r *runner) releaseServers(slots []*serverSlot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range slots {
		s.inUse = false
	}
}

// pickGateways returns at most n random gateways.
func (r *runner) pickGateways(n int) (out []*gatewayProcess) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.rng.Perm(len(r.gateways)) {
		if len(out) < n {
			out = append(out, r.gateways[i])
		}
	}
	return out
}

// pickMembers returns the names of at most n random members.
func (r *runner) pickMembers(n int) (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.rng.Perm(len(r.fleet.Members)) {
		if len(out) < n {
			out = append(out, r.fleet.Members[i].Name)
		}
	}
	return out
}

// onServers sets a fault of f.Count servers for f.Duration.
func (r *runner) onServers(f Fault, on, off func(*backend.Fault)) {
	slots := r.takeServers(f.Count)
	setFault(slots, on)
	r.sleep(f.Duration)
	setFault(slots, off)
	r.releaseServers(slots)
}

func setFault(slots []*serverSlot, change func(*backend.Fault)) {
	for _, s := range slots {
		s.server.SetFault(change)
	}
}

// onClients sets a fault of the clients for f.Duration.
func (r *runner) onClients(f Fault, on, off func(*client.Fault)) {
	r.client.SetFault(on)
	r.sleep(f.Duration)
	r.client.SetFault(off)
}

// ageServers makes servers slower step by step.
func (r *runner) ageServers(f Fault) {
	slots := r.takeServers(f.Count)
	for i := range ageingSteps {
		setFault(slots, func(x *backend.Fault) { x.Slowdown = 1 + (f.Size-1)*float64(i+1)/ageingSteps })
		r.sleep(f.Duration / ageingSteps)
	}
	setFault(slots, func(x *backend.Fault) { x.Slowdown = 0 })
	r.releaseServers(slots)
}

func (r *runner) slowServers(f Fault) {
	r.onServers(f, func(x *backend.Fault) { x.Slowdown = f.Size }, func(x *backend.Fault) { x.Slowdown = 0 })
}

func (r *runner) heavyTail(f Fault) {
	f.Count = allServers
	factor := map[string]float64{f.Class: f.Size}
	on := func(x *backend.Fault) { x.TailFactor, x.TailShare = factor, heavyTailShare }
	off := func(x *backend.Fault) { x.TailFactor, x.TailShare = nil, 0 }
	r.onServers(f, on, off)
}

func (r *runner) cutConnections(f Fault) {
	slots := r.takeServers(f.Count)
	for _, s := range slots {
		s.server.CloseConnections()
	}
	r.releaseServers(slots)
}

// vanishServers lets servers go silent, end after f.Duration and come back.
func (r *runner) vanishServers(f Fault) {
	slots := r.takeServers(f.Count)
	setFault(slots, func(x *backend.Fault) { x.Unresponsive = true })
	r.sleep(f.Duration)
	for _, s := range slots {
		s.server.Stop()
	}
	r.restartServers(slots)
}

// drainServers lists servers as draining, ends them after f.Duration, lists them as gone, and brings them back.
func (r *runner) drainServers(f Fault) {
	slots := r.takeServers(f.Count)
	r.updateEndpoints(slots, "draining", time.Time{})
	r.sleep(f.Duration)
	for _, s := range slots {
		s.server.Stop()
	}
	r.updateEndpoints(slots, "gone", time.Time{})
	r.sleep(r.script.DiscoveryDelay + goneBeforeRestart)
	r.restartServers(slots)
}

// restartServers starts servers in slow start at their addresses, lists them, and releases them.
func (r *runner) restartServers(slots []*serverSlot) {
	var endpoints []discoveryws.Endpoint
	for _, s := range slots {
		server, err := backend.Start(r.withSlowStart(s.options))
		if err != nil {
			r.fail(err)
			return
		}
		r.mu.Lock()
		s.server = server
		r.mu.Unlock()
		endpoints = append(endpoints, endpointOf(s.options, "serving", time.Now()))
	}
	r.discoveryServer().Update(endpoints...)
	r.releaseServers(slots)
}

// addServers starts more servers like the script's first ones.
func (r *runner) addServers(f Fault) {
	var slots []*serverSlot
	for range f.Count {
		s, err := r.newServerSlot(r.script.Servers[0])
		if err != nil {
			r.fail(err)
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

// useFirstGateways lets members use only the first of their gateways.
func (r *runner) useFirstGateways(f Fault) {
	members := map[string]bool{}
	for _, name := range r.pickMembers(f.Count) {
		members[name] = true
	}
	r.onClients(f, func(x *client.Fault) { x.FirstGatewayOnly = members },
		func(x *client.Fault) { x.FirstGatewayOnly = nil })
}

// burstOfMembers lets members send f.Size times their usual requests; the others send as many as before.
func (r *runner) burstOfMembers(f Fault) {
	names := r.pickMembers(f.Count)
	weights := map[string]float64{}
	for _, name := range names {
		weights[name] = f.Size
	}
	all := float64(len(r.fleet.Members))
	rate := (all + float64(len(names))*(f.Size-1)) / all
	on := func(x *client.Fault) { x.WeightFactor, x.RateFactor = weights, rate }
	off := func(x *client.Fault) { x.WeightFactor, x.RateFactor = nil, 0 }
	r.onClients(f, on, off)
}

// crashGateways kills gateways and starts them again after f.Duration.
func (r *runner) crashGateways(f Fault) {
	gateways := r.pickGateways(f.Count)
	r.mu.Lock()
	r.gatewayKilled = true
	r.mu.Unlock()
	for _, g := range gateways {
		r.kill(g)
	}
	r.sleep(f.Duration)
	r.restartGateways(gateways...)
}

// killStorm kills random gateways at random moments, f.Count times in all, and starts each again at once.
func (r *runner) killStorm(f Fault) {
	r.mu.Lock()
	r.gatewayKilled = true
	r.mu.Unlock()
	for range f.Count {
		r.sleep(time.Duration((0.5 + r.draw()) * float64(f.Duration) / float64(f.Count)))
		if r.ctx.Err() != nil {
			return
		}
		g := r.pickGateways(1)[0]
		r.kill(g)
		r.mu.Lock()
		r.kills++
		r.mu.Unlock()
		r.restartGateways(g)
	}
}

// stallGateways stops the processes of gateways for f.Duration.
func (r *runner) stallGateways(f Fault) {
	gateways := r.pickGateways(f.Count)
	for _, g := range gateways {
		r.signal(g, syscall.SIGSTOP, "stop")
	}
	r.sleep(f.Duration)
	for _, g := range gateways {
		r.signal(g, syscall.SIGCONT, "cont")
	}
}

// rollGateways restarts all gateways one after the other.
func (r *runner) rollGateways(f Fault) {
	for _, g := range r.gateways {
		r.terminate(g)
		r.restartGateways(g)
		r.sleep(f.Duration / time.Duration(len(r.gateways)))
	}
}

func (r *runner) loseGossip(f Fault) {
	for _, relay := range r.relays {
		relay.setLoss(f.Size)
	}
	r.sleep(f.Duration)
	for _, relay := range r.relays {
		relay.setLoss(0)
	}
}

// discoveryServer returns the running discovery service, which a fault may replace.
func (r *runner) discoveryServer() *discovery.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.discovery
}

func (r *runner) updateEndpoints(slots []*serverSlot, state string, started time.Time) {
	var endpoints []discoveryws.Endpoint
	for _, s := range slots {
		endpoints = append(endpoints, endpointOf(s.options, state, started))
	}
	r.discoveryServer().Update(endpoints...)
}

func (r *runner) silenceDiscovery(f Fault) {
	r.discoveryServer().SetSilent(true)
	r.sleep(f.Duration)
	r.discoveryServer().SetSilent(false)
}

func (r *runner) delayDiscovery(f Fault) {
	r.discoveryServer().SetDelay(f.Duration)
	r.sleep(f.Duration)
	r.discoveryServer().SetDelay(r.script.DiscoveryDelay)
}

// restartDiscovery ends the discovery service and starts it again after f.Duration, with versions from the beginning.
func (r *runner) restartDiscovery(f Fault) {
	old := r.discoveryServer()
	endpoints := old.Endpoints()
	old.Stop()
	r.sleep(f.Duration)
	restarted, err := discovery.Start(r.discoveryAddr, r.script.DiscoveryDelay, r.log)
	if err != nil {
		r.fail(err)
		return
	}
	restarted.Replace(endpoints)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discovery = restarted
}

// sendInvalidUpdates sends what a faulty discovery service may send; none of it may change what gateways know.
func (r *runner) sendInvalidUpdates(Fault) {
	service := r.discoveryServer()
	version, now := service.Version(), time.Now().UnixMilli()
	endpoints := service.Endpoints()
	if len(endpoints) == 0 {
		return
	}
	gone := endpoints[0]
	gone.State = "gone"
	noAddress := discoveryws.Endpoint{Address: "no address", State: "serving"}
	send := func(method string, version uint64, endpoints ...discoveryws.Endpoint) {
		service.SendRaw(method, discoveryws.Update{Version: version, NowMs: now, Endpoints: endpoints})
	}
	send(discoveryws.MethodChange, version+1, noAddress)
	send(discoveryws.MethodChange, version+1, endpoints[0], gone)
	send(discoveryws.MethodChange, version, gone)
	send(discoveryws.MethodChange, version+5, gone)
	send(discoveryws.MethodFull, version-1, endpoints[0])
}

func (r *runner) failMetrics(f Fault) {
	if r.metrics == nil {
		r.fail(fmt.Errorf("scenario: %s: the fleet has no measures", f.Kind))
		return
	}
	r.metrics.SetFault(func(x *metricsreceiver.Fault) { x.Status = 503 })
	r.sleep(f.Duration)
	r.metrics.SetFault(func(x *metricsreceiver.Fault) { x.Status = 0 })
}
