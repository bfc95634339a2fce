package http

import (
	"fmt"
	"net"

	"winghatch/decide"
	upstreamhttp "winghatch/internal/upstream/http"
)

// Target is a server as discovery lists it. The keys are the protocol's.
type Target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"` // host:port
	Zone         string  `json:"az"`
	Model        string  `json:"model"`
	Cell         int     `json:"pod_group"`
	State        string  `json:"state"`         // ready, draining or gone
	CapacityHint float64 `json:"capacity_hint"` // relative to other servers
	BootMS       int64   `json:"boot_ms"`       // when it started, in Unix time; 0: long ago
}

// List is the endpoint list, or a change of it.
type List struct {
	Rev     uint64   `json:"rev"` // grows with each change; begins anew when discovery is restarted
	Full    bool     `json:"all"` // the complete list: servers that it does not name are removed
	Targets []Target `json:"targets"`
}

const (
	// maxTargets bounds a list. The protocol promises up to 3,200 servers, and a change may replace all of them a few
	// times over.
	maxTargets  = 16 << 10
	maxUIDBytes = 1 << 10
	// bootUnknown replaces a boot_ms that cannot be read: the server started at some time that is not long ago.
	bootUnknown = 1
)

const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

var serverStates = map[string]decide.ServerState{
	stateReady:    decide.Serving,
	stateDraining: decide.Draining,
	stateGone:     decide.Removed,
}

// fieldError says which field of a target cannot be used.
type fieldError struct {
	field string
	value any
	want  string
}

func (e *fieldError) Error() string {
	return fmt.Sprintf("%s is %#v, want %s", e.field, e.value, e.want)
}

// check returns a fieldError for the first field that cannot be used.
func (t *Target) check() error {
	if t.UID == "" || len(t.UID) > maxUIDBytes {
		return &fieldError{"uid", t.UID, fmt.Sprintf("1 to %d bytes", maxUIDBytes)}
	}
	if _, ok := serverStates[t.State]; !ok {
		return &fieldError{"state", t.State, "ready, draining or gone"}
	}
	if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && t.State != stateGone {
		return &fieldError{"endpoint", t.Endpoint, "host:port"}
	}
	if t.BootMS < 0 {
		return &fieldError{"boot_ms", t.BootMS, "0 or more"}
	}
	if t.CapacityHint < 0 {
		return &fieldError{"capacity_hint", t.CapacityHint, "0 or more"}
	}
	return nil
}

// restrict makes a target that cannot be used in part one that gets no new attempts: to leave it out would hide it,
// and the attempts that it carries. Without a usable name it is cleared.
func (t *Target) restrict() {
	if len(t.UID) > maxUIDBytes {
		t.UID = ""
	}
	if t.State != stateGone {
		t.State = stateDraining
	}
	if t.BootMS < 0 {
		t.BootMS = bootUnknown
	}
	t.CapacityHint = max(0, t.CapacityHint)
}

// Validate returns an error that names the first target and field that cannot be used. It is for a list of the
// configuration; of discovery's list such targets are restricted.
func (l *List) Validate() error {
	if len(l.Targets) > maxTargets {
		return fmt.Errorf("discovery: rev %d: %d targets, want %d at most", l.Rev, len(l.Targets), maxTargets)
	}
	seen := map[string]bool{}
	for i := range l.Targets {
		t := &l.Targets[i]
		err := t.check()
		if err == nil && seen[t.UID] {
			err = &fieldError{"uid", t.UID, "each once"}
		}
		if err != nil {
			return fmt.Errorf("discovery: rev %d: targets[%d].%w", l.Rev, i, err)
		}
		seen[t.UID] = true
	}
	return nil
}

// Servers is the list for the pool of server connections.
func (l *List) Servers() []upstreamhttp.Server {
	servers := make([]upstreamhttp.Server, 0, len(l.Targets))
	for _, t := range l.Targets {
		servers = append(servers, upstreamhttp.Server{
			ID:          t.UID,
			Addr:        t.Endpoint,
			Incarnation: t.BootMS,
			State:       serverStates[t.State],
		})
	}
	return servers
}
