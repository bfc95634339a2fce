package scenario

import (
	"syscall"
	"time"
)

// killStorm kills gateways at random moments, count times in all, and starts each again at once.
func (p *runner) killStorm(t Fault) {
	p.mu.Lock()
	p.gatewayKilled = true
	p.mu.Unlock()
	for range t.Count {
		p.sleep(time.Duration((0.5 + p.draw()) * float64(t.Duration) / float64(t.Count)))
		if p.ctx.Err() != nil {
			return
		}
		g := p.pickGateways(1)[0]
		p.signal(g, syscall.SIGKILL, "kill")
		<-g.ended
		p.mu.Lock()
		p.kills++
		p.mu.Unlock()
		p.startGateways([]*gatewayProcess{g})
	}
}
