package scenario

import (
	"time"

	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/testbed/discovery"
)

// listGone takes the list's process away for a while; the new one begins its versions anew.
func (p *runner) restartDiscovery(t Fault) {
	es := p.discovery.Endpoints()
	p.discovery.Stop()
	p.sleep(t.Duration)
	l, err := discovery.Start(p.discoveryAddr, p.script.DiscoveryDelay, p.log)
	if err != nil {
		p.fail(err)
		return
	}
	l.Replace(es)
	p.mu.Lock()
	p.discovery = l
	p.mu.Unlock()
}

// listBad sends what a broken list may send; none of it may change what gateways hold.
func (p *runner) sendInvalidUpdates() {
	v, now := p.discovery.Version(), time.Now().UnixMilli()
	es := p.discovery.Endpoints()
	if len(es) == 0 {
		return
	}
	gone := es[0]
	gone.State = "gone"
	p.discovery.SendRaw(discoveryws.MethodChange, discoveryws.Update{Version: v + 1, NowMs: now, Endpoints: []discoveryws.Endpoint{{Address: "no address", State: "serving"}}})
	p.discovery.SendRaw(discoveryws.MethodChange, discoveryws.Update{Version: v + 1, NowMs: now, Endpoints: []discoveryws.Endpoint{es[0], gone}})
	p.discovery.SendRaw(discoveryws.MethodChange, discoveryws.Update{Version: v, NowMs: now, Endpoints: []discoveryws.Endpoint{gone}})
	p.discovery.SendRaw(discoveryws.MethodChange, discoveryws.Update{Version: v + 5, NowMs: now, Endpoints: []discoveryws.Endpoint{gone}})
	p.discovery.SendRaw(discoveryws.MethodFull, discoveryws.Update{Version: v - 1, NowMs: now, Endpoints: es[:1]})
}
