package scenario

import (
	"syscall"
	"time"
)

// This file contains the faults of gateways and of the gossip between them.

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

// killGatewaysAtRandom kills a random gateway f.Count times and restarts it at once. Before each kill it
// waits for a random time between 0.5 and 1.5 times f.Duration / f.Count.
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

// markGatewayKilled records that a gateway is killed in this run. Attempts may then be exported as left
// unsettled by an ended incarnation, with estimated units, because a killed gateway does not learn what its
// attempts cost.
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
