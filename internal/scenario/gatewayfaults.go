package scenario

import (
	"syscall"
	"time"
)

// Faults of gateways and of the gossip between them.

func (r *runner) crashGateways(f Fault) {
	gateways := r.pickGateways(f.Count)
	r.markGatewayKilled()
	for _, g := range gateways {
		r.killGateway(g)
	}
	r.sleep(f.Duration)
	r.startGateways(gateways...)
}

func (r *runner) suspendGateways(f Fault) {
	gateways := r.pickGateways(f.Count)
	for _, g := range gateways {
		r.signalGateway(g, syscall.SIGSTOP)
	}
	r.sleep(f.Duration)
	for _, g := range gateways {
		r.signalGateway(g, syscall.SIGCONT)
	}
}

func (r *runner) restartGatewaysInTurn(f Fault) {
	for _, g := range r.gateways {
		r.terminateGateway(g)
		r.startGateways(g)
		r.sleep(f.Duration / time.Duration(len(r.gateways)))
	}
}

// killAtRandom kills a random gateway f.Count times and starts it again at once. Before each kill it waits between
// half and one and a half of an even part of the time.
func (r *runner) killGatewaysAtRandom(f Fault) {
	r.markGatewayKilled()
	for range f.Count {
		r.sleep(time.Duration((0.5 + r.randomFloat()) * float64(f.Duration) / float64(f.Count)))
		if r.ctx.Err() != nil {
			return
		}
		g := r.pickGateways(1)[0]
		r.killGateway(g)
		r.mu.Lock()
		r.kills++
		r.mu.Unlock()
		r.startGateways(g)
	}
}

// noteGatewayKilled notes that usage may be exported as an estimate in this run: a killed gateway does not learn what
// its attempts cost.
func (r *runner) markGatewayKilled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gatewayKilled = true
}

func (r *runner) dropGossip(f Fault) {
	for _, relay := range r.relays {
		relay.setLoss(f.Size)
	}
	r.sleep(f.Duration)
	for _, relay := range r.relays {
		relay.setLoss(0)
	}
}
