package websocket

import (
	"errors"
	"time"

	"winghatch/decide"
)

// errVersionGap reports a change that does not directly follow the last applied version, so that the complete
// list has to be fetched.
var errVersionGap = errors.New("discovery: versions before the change are missing, want the complete list")

// errStaleVersion reports an update whose version is not higher than the last applied version.
var errStaleVersion = errors.New("discovery: version is not higher than the last applied one")

// tracker converts updates of the endpoint list to events for the core. It enforces the order of versions and
// assigns one time on the gateway's clock to each start of a server: the service repeats the start time in
// every complete list, and a repetition must not look like a restart. tracker is not safe for concurrent use.
type tracker struct {
	version   uint64               // version of the last applied update
	synced    bool                 // an update was applied
	starts    map[string]startTime // keyed by address
	endpoints map[string]Endpoint  // keyed by address
}

// startTime is the start time of a server on two clocks.
type startTime struct {
	reportedMs int64         // on the service's clock, Unix time in ms
	at         time.Duration // on the gateway's clock
}

// newTracker returns a tracker without a list.
func newTracker() *tracker {
	return &tracker{starts: map[string]startTime{}, endpoints: map[string]Endpoint{}}
}

// apply validates and applies an update and returns the event for the core. full denotes a complete list.
// first denotes the first complete list on a connection, which is applied whatever its version is, because
// the service may have been restarted and its versions may have started again. The error is errVersionGap,
// errStaleVersion or an error of Validate; after an error, the tracker is unchanged.
func (t *tracker) apply(now time.Duration, full, first bool, u *Update) (decide.EndpointUpdate, error) {
	event := decide.EndpointUpdate{Kind: decide.DeltaUpdate, Version: u.Version}
	if err := u.Validate(); err != nil {
		return event, err
	}
	switch {
	case full && (first || !t.synced || u.Version > t.version):
		event.Kind = decide.FullUpdate
		t.endpoints = map[string]Endpoint{}
	case full || t.synced && u.Version <= t.version:
		return event, errStaleVersion
	case !t.synced || u.Version != t.version+1:
		return event, errVersionGap
	}
	t.synced, t.version = true, u.Version
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

// toServer converts an endpoint to a server of the core. The start time on the gateway's clock is computed
// from the age of the server on the service's clock. An age below zero counts as zero, because otherwise a
// service whose clock was set back would report starts in the future.
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

// pruneStarts drops the start times of servers that are no longer listed, so that their number is limited by
// the length of the list.
func (t *tracker) pruneStarts() {
	for address := range t.starts {
		if _, ok := t.endpoints[address]; !ok {
			delete(t.starts, address)
		}
	}
}

// snapshot returns the complete list as of the last update, in no particular order. nowMs becomes the NowMs
// of the result.
func (t *tracker) snapshot(nowMs int64) Update {
	u := Update{Version: t.version, NowMs: nowMs}
	for _, e := range t.endpoints {
		u.Endpoints = append(u.Endpoints, e)
	}
	return u
}
