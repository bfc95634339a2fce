package http

import (
	"fmt"
	"net"

	"winghatch/decide"
	upstreamhttp "winghatch/internal/upstream/http"
)

// Target describes a server in the list from discovery. The JSON keys are defined by the protocol.
type Target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"` // host:port
	Zone         string  `json:"az"`
	Model        string  `json:"model"`
	Cell         int     `json:"pod_group"`     // servers of a cell know each other's idempotency keys
	State        string  `json:"state"`         // ready, draining or gone
	CapacityHint float64 `json:"capacity_hint"` // weight relative to other servers
	BootMS       int64   `json:"boot_ms"`       // start of the server, Unix time in ms; 0: long ago
}

// List is the endpoint list or a list of changed entries.
type List struct {
	Rev     uint64   `json:"rev"` // version; grows with each change, starts again when discovery is restarted
	Full    bool     `json:"all"` // the list is complete: servers that are missing from it are removed
	Targets []Target `json:"targets"`
}

const (
	// maxTargets limits the number of targets in a list. The protocol allows up to 3,200 servers, and a list
	// of changes may replace all of them several times.
	maxTargets  = 16 << 10
	maxUIDBytes = 1 << 10
	// bootMSUnknown replaces an invalid boot_ms. It stands for an unknown start time that may be recent,
	// whereas 0 would mean long ago.
	bootMSUnknown = 1
)

// Values of Target.State.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// serverStates maps Target.State to the states of the core.
var serverStates = map[string]decide.ServerState{
	stateReady:    decide.Serving,
	stateDraining: decide.Draining,
	stateGone:     decide.Removed,
}

// fieldError reports a field of a target with an invalid value.
type fieldError struct {
	field string
	value any
	want  string
}

// Error implements error.
func (e *fieldError) Error() string {
	return fmt.Sprintf("%s is %#v, want %s", e.field, e.value, e.want)
}

// validate returns a fieldError for the first field with an invalid value, or nil.
func (t *Target) validate() error {
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

// sanitize replaces the invalid fields of a target and marks it as draining unless it is gone, so that it
// gets no new attempts. Omitting the target would hide it together with the attempts that it is still
// processing. A UID that is too long is cleared, which makes the decoder omit the target.
func (t *Target) sanitize() {
	if len(t.UID) > maxUIDBytes {
		t.UID = ""
	}
	if t.State != stateGone {
		t.State = stateDraining
	}
	if t.BootMS < 0 {
		t.BootMS = bootMSUnknown
	}
	t.CapacityHint = max(0, t.CapacityHint)
}

// Validate returns an error if the list has too many targets, or one that names the first target with an
// invalid field or with a UID that occurs twice. It is meant for a list in the configuration. In a list from
// discovery, invalid targets are sanitized instead.
func (l *List) Validate() error {
	if len(l.Targets) > maxTargets {
		return fmt.Errorf("discovery: rev %d: %d targets, want %d at most", l.Rev, len(l.Targets), maxTargets)
	}
	seen := map[string]bool{}
	for i := range l.Targets {
		t := &l.Targets[i]
		err := t.validate()
		if err == nil && seen[t.UID] {
			err = &fieldError{"uid", t.UID, "each uid only once"}
		}
		if err != nil {
			return fmt.Errorf("discovery: rev %d: targets[%d].%w", l.Rev, i, err)
		}
		seen[t.UID] = true
	}
	return nil
}

// Servers returns the targets in the form that the pool of upstream connections uses.
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
