package scenario

import (
	"time"

	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/testbed/discovery"
)

// This file contains the faults of the discovery server, which publishes the endpoint list.

// currentDiscovery returns the current discovery server. The fault list_stale replaces it.
func (r *runner) currentDiscovery() *discovery.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.discovery
}

func (r *runner) silenceDiscovery(f Fault) {
	r.currentDiscovery().SetSilent(true)
	r.sleep(f.Duration)
	r.currentDiscovery().SetSilent(false)
}

func (r *runner) delayDiscovery(f Fault) {
	r.currentDiscovery().SetDelay(f.Duration)
	r.sleep(f.Duration)
	r.currentDiscovery().SetDelay(r.script.DiscoveryDelay)
}

// restartDiscovery stops the discovery server and starts a new one after f.Duration. The new server has the
// same endpoints, but its versions start from the beginning.
func (r *runner) restartDiscovery(f Fault) {
	old := r.currentDiscovery()
	endpoints := old.Endpoints()
	old.Stop()
	r.sleep(f.Duration)
	server, err := discovery.Start(r.discoveryAddr, r.script.DiscoveryDelay, r.log)
	if err != nil {
		r.addError(err)
		return
	}
	server.Replace(endpoints)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discovery = server
}

// sendInvalidUpdates sends updates that gateways must reject without any change to their endpoint lists.
func (r *runner) sendInvalidUpdates(Fault) {
	server := r.currentDiscovery()
	version := server.Version()
	now := time.Now().UnixMilli()
	endpoints := server.Endpoints()
	if len(endpoints) == 0 {
		return
	}
	first := endpoints[0]
	gone := first
	gone.State = endpointGone
	noAddress := discoveryws.Endpoint{Address: "no address", State: endpointServing}
	for _, u := range []struct {
		method    string
		version   uint64
		endpoints []discoveryws.Endpoint
	}{
		{discoveryws.MethodChange, version + 1, []discoveryws.Endpoint{noAddress}},   // invalid address
		{discoveryws.MethodChange, version + 1, []discoveryws.Endpoint{first, gone}}, // duplicate endpoint
		{discoveryws.MethodChange, version, []discoveryws.Endpoint{gone}},            // repeated version
		{discoveryws.MethodChange, version + 5, []discoveryws.Endpoint{gone}},        // skipped versions
		{discoveryws.MethodFull, version - 1, endpoints[:1]},                         // older version
	} {
		server.SendRaw(u.method, discoveryws.Update{Version: u.version, NowMs: now, Endpoints: u.endpoints})
	}
}
