package main

import (
	"encoding/json"
	"fmt"
	"time"

	"winghatch/decide"
	"winghatch/internal/platform/settings"
)

// These types are the messages from the simulator, one per kind. Their fields have the same names as in the
// JSON. Times and durations are in nanoseconds.
type (
	peersKnown struct {
		Kind      string
		Stamp     uint64
		NodesList []node
	}

	node struct {
		StartTimeNs                   int64
		Model, Az, StageState, Server string
		Stripe                        int
		CapacityHint                  float64
	}

	query struct {
		Xid, Tier, Type, Account string
		DeadlineNs               int64
		EntryPoints, FromNo      int
		SizeUnits                float64
		AgainByClient, Mutates   bool
	}

	headers struct {
		Xid, Server string
		Trial       int
		DurationNs  int64
	}

	returned struct {
		Xid, Server string
		Trial       int
		StateCode   int
		DurationNs  int64
		Ended       bool
		Metered     int
		Actual      float64
		ServerStats map[string]float64
	}

	clientLeft struct{ Xid string }

	elapsed struct{ Tag uint64 }

	datagram struct {
		Src  int
		Blob string
	}
)

// updateKinds and serverStates map the values in messages to those of package decide.
var (
	updateKinds = map[string]decide.UpdateKind{
		"patch":      decide.DeltaUpdate,
		"whole":      decide.FullUpdate,
		"stale_copy": decide.StaleUpdate,
		"broken":     decide.FailedUpdate,
	}
	serverStates = map[string]decide.ServerState{
		"IN":   decide.Serving,
		"LAME": decide.Draining,
		"OUT":  decide.Removed,
	}
)

// parseEvent decodes a message into an event. It returns nil for a message of an unknown kind. This includes
// Sampled and Tallied, which answer messages that the gateway never sends. The error is one of encoding/json
// or names the field.
func parseEvent(kind string, raw json.RawMessage) (decide.Event, error) {
	switch kind {
	case "PeersKnown":
		return parse(raw, peersKnown.event)
	case "Query":
		return parse(raw, query.event)
	case "Headers":
		return parse(raw, headers.event)
	case "Returned":
		return parse(raw, returned.event)
	case "ClientLeft":
		return parse(raw, clientLeft.event)
	case "Elapsed":
		return parse(raw, elapsed.event)
	case "Datagram":
		return parse(raw, datagram.event)
	}
	return nil, nil
}

// parse decodes a message of type M and converts it to an event.
func parse[M any](raw json.RawMessage, convert func(M) (decide.Event, error)) (decide.Event, error) {
	var m M
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	return convert(m)
}

func (m peersKnown) event() (decide.Event, error) {
	kind, ok := updateKinds[m.Kind]
	if !ok {
		return nil, fmt.Errorf("field \"Kind\": unknown %q", m.Kind)
	}
	update := decide.EndpointUpdate{Kind: kind, Version: m.Stamp}
	for _, n := range m.NodesList {
		state, ok := serverStates[n.StageState]
		if !ok {
			return nil, fmt.Errorf("field \"StageState\": unknown %q", n.StageState)
		}
		update.Servers = append(update.Servers, decide.Server{
			ID:        n.Server,
			Zone:      n.Az,
			Cell:      n.Stripe,
			Kind:      n.Model,
			State:     state,
			StartedAt: time.Duration(n.StartTimeNs),
			Weight:    n.CapacityHint,
		})
	}
	return update, nil
}

func (m query) event() (decide.Event, error) {
	return decide.Request{
		ID:           m.Xid,
		Class:        m.Type,
		Plan:         m.Tier,
		Customer:     m.Account,
		Units:        m.SizeUnits,
		Deadline:     time.Duration(m.DeadlineNs),
		FirstGateway: m.FromNo,
		GatewayCount: m.EntryPoints,
		IsRetry:      m.AgainByClient,
		Mutates:      m.Mutates,
	}, nil
}

func (m headers) event() (decide.Event, error) {
	return decide.ResponseStarted{
		ID:       m.Xid,
		Server:   m.Server,
		Attempt:  m.Trial,
		Duration: time.Duration(m.DurationNs),
	}, nil
}

func (m returned) event() (decide.Event, error) {
	return decide.AttemptEnded{
		ID:            m.Xid,
		Server:        m.Server,
		Attempt:       m.Trial,
		Outcome:       decide.Outcome(m.StateCode),
		Duration:      time.Duration(m.DurationNs),
		RequestDone:   m.Ended,
		ReportedUsage: m.Metered,
		ActualUnits:   m.Actual,
		LoadReport:    loadReport(m.ServerStats),
	}, nil
}

func (m clientLeft) event() (decide.Event, error) { return decide.ClientDisconnected{ID: m.Xid}, nil }

func (m elapsed) event() (decide.Event, error) { return decide.TimerFired{Token: m.Tag}, nil }

func (m datagram) event() (decide.Event, error) {
	return decide.GossipReceived{From: m.Src, Text: m.Blob}, nil
}

// loadReport converts a server's load to a decide.LoadReport, which has its own field names. It returns nil
// if stats is empty.
func loadReport(stats map[string]float64) decide.LoadReport {
	if len(stats) == 0 {
		return nil
	}
	report := decide.LoadReport{}
	for name, value := range stats {
		report[settings.LoadReportField(name)] = value
	}
	return report
}
