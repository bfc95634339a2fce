package scenario

import (
	"time"

	discoveryws "winghatch/internal/discovery/websocket"
)

// drain tells that nodes drain, lets them finish, takes them away and brings them back cold.
func (p *runner) drain(t Fault) {
	ss := p.takeServers(t.Count)
	var es []discoveryws.Endpoint
	for _, s := range ss {
		es = append(es, endpointOf(s.options, "draining", time.Time{}))
	}
	p.discovery.Update(es...)
	p.sleep(t.Duration)
	es = nil
	for _, s := range ss {
		es = append(es, endpointOf(s.options, "gone", time.Time{}))
		s.server.Stop()
	}
	p.discovery.Update(es...)
	p.sleep(p.script.DiscoveryDelay + 200*time.Millisecond)
	p.restartServers(ss)
}

func (p *runner) coldStart(t Fault) {
	var ss []*serverSlot
	for range t.Count {
		s, err := p.newServerSlot(p.script.Servers[0])
		if err != nil {
			p.fail(err)
			return
		}
		s.inUse = true
		ss = append(ss, s)
	}
	p.mu.Lock()
	p.servers = append(p.servers, ss...)
	p.mu.Unlock()
	p.restartServers(ss)
}
