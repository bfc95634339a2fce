package websocket

import (
	"fmt"
	"net"

	"winghatch/decide"
)

// Endpoint describes a server in messages from the discovery service and in the cache file.
type Endpoint struct {
	Address   string  `json:"node"` // host:port
	Zone      string  `json:"zone,omitempty"`
	Cell      int     `json:"cell,omitempty"` // servers of a cell know each other's idempotency keys
	Kind      string  `json:"kind,omitempty"`
	State     string  `json:"state"`                // serving, draining or gone
	StartedMs int64   `json:"started_ms,omitempty"` // start on the service's clock, Unix ms; 0: long ago
	Weight    float64 `json:"weight,omitempty"`     // weight relative to other servers
}

// Update is the params object of the notifications MethodFull and MethodChange.
type Update struct {
	Version   uint64     `json:"version"` // grows by 1 with each change; may start again on a restart
	NowMs     int64      `json:"now_ms"`  // time on the service's clock, Unix ms
	Endpoints []Endpoint `json:"nodes"`
}

// Methods of the JSON-RPC notifications in the protocol.
const (
	MethodFull   = "list.full"   // from the service, with the complete list
	MethodChange = "list.change" // from the service, with the changed endpoints only
	MethodFetch  = "list.fetch"  // from the gateway, requests the complete list
)

// Values of Endpoint.State.
const (
	stateServing  = "serving"
	stateDraining = "draining"
	stateGone     = "gone"
)

// serverStates maps Endpoint.State to the states of the core.
var serverStates = map[string]decide.ServerState{
	stateServing:  decide.Serving,
	stateDraining: decide.Draining,
	stateGone:     decide.Removed,
}

// Validate returns an error that names the first endpoint with an address that is not host:port, with an
// unknown state, or with an address that occurs twice. It returns nil if there is none.
func (u *Update) Validate() error {
	seen := map[string]bool{}
	for i, e := range u.Endpoints {
		host, port, err := net.SplitHostPort(e.Address)
		if err != nil || host == "" || port == "" {
			return u.invalid(i, "node: %q, want host:port", e.Address)
		}
		if _, ok := serverStates[e.State]; !ok {
			return u.invalid(i, "state: %q, want serving, draining or gone", e.State)
		}
		if seen[e.Address] {
			return u.invalid(i, "node: %q occurs more than once", e.Address)
		}
		seen[e.Address] = true
	}
	return nil
}

// invalid returns an error that names the version of the update and the index of an endpoint.
func (u *Update) invalid(index int, format string, args ...any) error {
	return fmt.Errorf("discovery: version %d: nodes[%d].%s", u.Version, index, fmt.Sprintf(format, args...))
}
