package websocket

import (
	"fmt"
	"net"

	"winghatch/decide"
)

// Endpoint is a server as the discovery service describes it, and as it is stored in the cache file.
type Endpoint struct {
	Address   string  `json:"node"` // host:port
	Zone      string  `json:"zone,omitempty"`
	Cell      int     `json:"cell,omitempty"`
	Kind      string  `json:"kind,omitempty"`
	State     string  `json:"state"`                // serving, draining or gone
	StartedMs int64   `json:"started_ms,omitempty"` // Unix time of the service's clock, ms; 0: long ago
	Weight    float64 `json:"weight,omitempty"`
}

// Update is the params object of the notifications MethodFull and MethodChange.
type Update struct {
	Version   uint64     `json:"version"`
	NowMs     int64      `json:"now_ms"` // Unix time of the service's clock, ms
	Endpoints []Endpoint `json:"nodes"`
}

// Methods of the protocol.
const (
	MethodFull   = "list.full"   // notification of the service: the complete list
	MethodChange = "list.change" // notification of the service: changed endpoints only
	MethodFetch  = "list.fetch"  // notification of the gateway: asks for the complete list
)

// Values of Endpoint.State.
const (
	stateServing  = "serving"
	stateDraining = "draining"
	stateGone     = "gone"
)

var serverStates = map[string]decide.ServerState{
	stateServing:  decide.Serving,
	stateDraining: decide.Draining,
	stateGone:     decide.Removed,
}

// Validate returns why an update is unusable: an address that is not host:port, an unknown state, or an address that
// occurs twice.
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
			return u.invalid(i, "node: %q comes twice", e.Address)
		}
		seen[e.Address] = true
	}
	return nil
}

func (u *Update) invalid(index int, format string, args ...any) error {
	return fmt.Errorf("discovery: version %d: nodes[%d].%s", u.Version, index, fmt.Sprintf(format, args...))
}
