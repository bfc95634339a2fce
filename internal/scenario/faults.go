package scenario

import (
	"fmt"
	"math"
	"syscall"
	"time"

	"winghatch/internal/testbed/backend"
	"winghatch/internal/testbed/client"
	"winghatch/internal/testbed/metricsreceiver"
	"winghatch/internal/testbed/usagereceiver"
)

// Kinds are the troubles that can be played, with what Count and Size are to them.
var FaultKinds = map[string]string{
	"ageing":         "count nodes grow slower, up to size times",
	"balancer_crash": "count gateways are killed and come back after the time",
	"balancer_roll":  "every gateway in turn is stopped by SIGTERM and started anew",
	"balancer_stall": "count gateways stand still (SIGSTOP)",
	"burst":          "size times the usual orders",
	"class_fail":     "count nodes leave a class unanswered",
	"cold_start":     "count more nodes are started cold",
	"drain":          "count nodes drain, go, and come back cold after the time",
	"fast_errors":    "count nodes fail a share of size of their calls quickly",
	"heavy_tail":     "one of 50 calls of a class costs size times the usual",
	"hot_caller":     "count members use only one of their gateways",
	"hot_key":        "one member orders size times its usual",
	"list_bad":       "the list tells of a bad address, of a node twice and of an old version",
	"list_late":      "the list tells of changes only after the time",
	"list_silent":    "the list says nothing, its connections stay",
	"list_stale":     "the list's process is gone and comes back after the time",
	"lost_peers":     "a share of size of the peers' messages is lost",
	"reconnect":      "all sessions leave and come again at one stroke",
	"report_gap":     "count nodes tell nothing of their load",
	"shared_slow":    "all nodes are size times slower",
	"slow":           "count nodes are size times slower",
	"tenant_burst":   "count members order size times their usual",
	"vanish":         "count nodes go silent and come back cold after the time",
	"kill_storm":     "gateways are killed at random moments, count times over the time, and start again at once",
	"plan_change":    "count members go to the fleet's next plan, and back after the time",
	"reserve":        "size units are set aside for each of count members, half of whose orders use them for the time",

	"accounting_cut":    "the accounting keeps half of the batches and cuts the connection without an answer",
	"accounting_down":   "the accounting is gone",
	"accounting_early":  "the accounting answers half of the batches 200 before it has read them, and keeps nothing",
	"accounting_kill":   "the accounting is killed count times over the time, and starts again",
	"accounting_slow":   "the accounting takes size seconds for a batch",
	"accounting_status": "the accounting answers half of the batches with the status size, and Retry-After",

	"metrics_down": "the receiver of measures answers 503",

	"cut": "the connections of count nodes are broken",
}

func (p *runner) inject(t Fault) {
	if p.injectOperations(t) {
		return
	}
	switch t.Kind {
	case "ageing":
		const steps = 20
		ss := p.takeServers(t.Count)
		for i := range steps {
			for _, s := range ss {
				s.server.SetFault(func(x *backend.Fault) { x.Slowdown = 1 + (t.Size-1)*float64(i+1)/steps })
			}
			p.sleep(t.Duration / steps)
		}
		for _, s := range ss {
			s.server.SetFault(func(x *backend.Fault) { x.Slowdown = 0 })
		}
		p.releaseServers(ss)
	case "slow":
		p.faultOnServers(t, func(x *backend.Fault) { x.Slowdown = t.Size }, func(x *backend.Fault) { x.Slowdown = 0 })
	case "shared_slow":
		t.Count = math.MaxInt32
		p.faultOnServers(t, func(x *backend.Fault) { x.Slowdown = t.Size }, func(x *backend.Fault) { x.Slowdown = 0 })
	case "fast_errors":
		p.faultOnServers(t, func(x *backend.Fault) { x.ErrorShare = t.Size }, func(x *backend.Fault) { x.ErrorShare = 0 })
	case "class_fail":
		p.faultOnServers(t, func(x *backend.Fault) { x.UnansweredClasses = map[string]bool{t.Class: true} }, func(x *backend.Fault) { x.UnansweredClasses = nil })
	case "report_gap":
		p.faultOnServers(t, func(x *backend.Fault) { x.OmitLoadReport = true }, func(x *backend.Fault) { x.OmitLoadReport = false })
	case "heavy_tail":
		t.Count = math.MaxInt32
		p.faultOnServers(t, func(x *backend.Fault) { x.TailFactor, x.TailShare = map[string]float64{t.Class: t.Size}, 0.02 },
			func(x *backend.Fault) { x.TailFactor, x.TailShare = nil, 0 })
	case "cut":
		ss := p.takeServers(t.Count)
		for _, s := range ss {
			s.server.CloseConnections()
		}
		p.releaseServers(ss)
	case "burst":
		p.faultOnClients(t, func(x *client.Fault) { x.RateFactor = t.Size }, func(x *client.Fault) { x.RateFactor = 0 })
	case "hot_caller":
		m := p.pickMembers(t.Count)
		p.faultOnClients(t, func(x *client.Fault) {
			x.FirstGatewayOnly = map[string]bool{}
			for _, name := range m {
				x.FirstGatewayOnly[name] = true
			}
		}, func(x *client.Fault) { x.FirstGatewayOnly = nil })
	case "hot_key", "tenant_burst":
		if t.Kind == "hot_key" {
			t.Count = 1
		}
		m := p.pickMembers(t.Count)
		all := float64(len(p.fleet.Members))
		p.faultOnClients(t, func(x *client.Fault) {
			x.WeightFactor = map[string]float64{}
			for _, name := range m {
				x.WeightFactor[name] = t.Size
			}
			// What these order comes on top of the others' usual.
			x.RateFactor = (all + float64(len(m))*(t.Size-1)) / all
		}, func(x *client.Fault) { x.WeightFactor, x.RateFactor = nil, 0 })
	case "reconnect":
		p.client.Reconnect()
	case "balancer_crash":
		gs := p.pickGateways(t.Count)
		p.mu.Lock()
		p.gatewayKilled = true
		p.mu.Unlock()
		for _, g := range gs {
			p.signal(g, syscall.SIGKILL, "kill")
			<-g.ended
		}
		p.sleep(t.Duration)
		p.startGateways(gs)
	case "balancer_stall":
		gs := p.pickGateways(t.Count)
		for _, g := range gs {
			p.signal(g, syscall.SIGSTOP, "stop")
		}
		p.sleep(t.Duration)
		for _, g := range gs {
			p.signal(g, syscall.SIGCONT, "cont")
		}
	case "balancer_roll":
		for _, g := range p.gateways {
			p.terminate(g)
			p.startGateways([]*gatewayProcess{g})
			p.sleep(t.Duration / time.Duration(len(p.gateways)))
		}
	case "lost_peers":
		for _, r := range p.relays {
			r.setLoss(t.Size)
		}
		p.sleep(t.Duration)
		for _, r := range p.relays {
			r.setLoss(0)
		}
	case "drain":
		p.drain(t)
	case "vanish":
		ss := p.takeServers(t.Count)
		for _, s := range ss {
			s.server.SetFault(func(x *backend.Fault) { x.Unresponsive = true })
		}
		p.sleep(t.Duration)
		for _, s := range ss {
			s.server.Stop()
		}
		p.restartServers(ss)
	case "cold_start":
		p.coldStart(t)
	case "list_silent":
		p.discovery.SetSilent(true)
		p.sleep(t.Duration)
		p.discovery.SetSilent(false)
	case "list_stale":
		p.restartDiscovery(t)
	case "list_late":
		p.discovery.SetDelay(t.Duration)
		p.sleep(t.Duration)
		p.discovery.SetDelay(p.script.DiscoveryDelay)
	case "list_bad":
		p.sendInvalidUpdates()
	}
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

// onNodes sets a trouble of nodes for a while.
func (p *runner) faultOnServers(t Fault, on, off func(*backend.Fault)) {
	ss := p.takeServers(t.Count)
	for _, s := range ss {
		s.server.SetFault(on)
	}
	p.sleep(t.Duration)
	for _, s := range ss {
		s.server.SetFault(off)
	}
	p.releaseServers(ss)
}

// onSchool sets a trouble of clients for a while.
func (p *runner) faultOnClients(t Fault, on, off func(*client.Fault)) {
	p.client.SetFault(on)
	p.sleep(t.Duration)
	p.client.SetFault(off)
}

func (p *runner) pickMembers(n int) (out []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.rng.Perm(len(p.fleet.Members)) {
		if len(out) < n {
			out = append(out, p.fleet.Members[i].Name)
		}
	}
	return out
}
