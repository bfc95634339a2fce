package websocket

import (
	"errors"
	"time"

	"winghatch/decide"
)

// errVersionGap reports that versions between the last update and a change are missing: the complete list has to be
// fetched.
var errVersionGap = errors.New("discovery: versions are missing, the complete list is needed")

// errStaleVersion reports an update whose version is not newer than that of the last one.
var errStaleVersion = errors.New("discovery: version is not newer")

// tracker turns updates of the endpoint list into events of the core. It enforces the order of versions, and it gives
// each start of a server one time on the gateway's clock: the service repeats the start with every full list, and
// each repetition must not look like a restart. It is not safe for concurrent use.
type tracker struct {
	version   uint64
	known     bool // an update was applied
	starts    map[string]startTime
	endpoints map[string]Endpoint // by address
}

// startTime is the start of a server on the service's clock and on the gateway's.
type startTime struct {
	reportedMs int64
	at         time.Duration
}

// newTracker returns a tracker that has no list.
func newTracker() *tracker {
	return &tracker{starts: map[string]startTime{}, endpoints: map[string]Endpoint{}}
}

// apply checks an update and returns the event for the core. full marks a complete list. first marks the first
// complete list of a connection, which is applied whatever its version is: the service may have restarted with its
// versions from the beginning. The error is errVersionGap, errStaleVersion or that of Validate; then nothing changes.
func (t *tracker) apply(now time.Duration, full, first bool, u *Update) (decide.EndpointUpdate, error) {
	event := decide.EndpointUpdate{Kind: decide.DeltaUpdate, Version: u.Version}
	if err := u.Validate(); err != nil {
		return event, err
	}
	switch {
	case full && (first || !t.known || u.Version > t.version):
		event.Kind = decide.FullUpdate
		t.endpoints = map[string]Endpoint{}
	case full || t.known && u.Version <= t.version:
		return event, errStaleVersion
	case !t.known || u.Version != t.version+1:
		return event, errVersionGap
	}
	t.known, t.version = true, u.Version
	for _, e := range u.Endpoints {
		event.Servers = append(event.Servers, t.toServer(now, u.NowMs, e))
		if e.State == stateGone {
			delete(t.endpoints, e.Address)
		} else {
			t.endpoints[e.Address] = e
		}
	}
	t.pruneStarts()
	return event, nil
}

// toServer converts an endpoint. Its start is placed on the gateway's clock by its age on the service's clock. The age
// is never negative: a service whose clock stepped back would otherwise report starts in the future.
func (t *tracker) toServer(now time.Duration, serviceNowMs int64, e Endpoint) decide.Server {
	s := decide.Server{
		ID:     e.Address,
		Zone:   e.Zone,
		Cell:   e.Cell,
		Kind:   e.Kind,
		State:  serverStates[e.State],
		Weight: e.Weight,
	}
	if e.StartedMs <= 0 {
		return s
	}
	start, known := t.starts[e.Address]
	if !known || start.reportedMs != e.StartedMs {
		age := time.Duration(max(0, serviceNowMs-e.StartedMs)) * time.Millisecond
		start = startTime{e.StartedMs, max(1, now-age)} // 0 means long ago
		t.starts[e.Address] = start
	}
	s.StartedAt = start.at
	return s
}

// pruneStarts drops the starts of servers that are not listed, so that memory is bounded by the list.
func (t *tracker) pruneStarts() {
	for address := range t.starts {
		if _, ok := t.endpoints[address]; !ok {
			delete(t.starts, address)
		}
	}
}

// snapshot returns the complete list as of the last update, in no particular order.
func (t *tracker) snapshot(nowMs int64) Update {
	u := Update{Version: t.version, NowMs: nowMs}
	for _, e := range t.endpoints {
		u.Endpoints = append(u.Endpoints, e)
	}
	return u
}
