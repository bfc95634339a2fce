package main

import (
	"encoding/json"
	"fmt"
	"time"

	"winghatch/decide"
	"winghatch/internal/platform/settings"
)

// host keeps the gateways of this process. They share nothing.
type host struct{ gateways map[int]*instance }

type instance struct{ gateway *decide.Gateway }

func newHost() *host { return &host{gateways: map[int]*instance{}} }

type batch struct {
	NowNs    int64       `json:"NowNs"`
	Batch    json.Number `json:"batch"`
	Gateways []struct {
		I        int               `json:"I"`
		Happened []json.RawMessage `json:"happened"`
	} `json:"gateways"`
}

type replyGateway struct {
	I      int   `json:"I"`
	Output []any `json:"output"`
}

type reply struct {
	Batch    json.Number    `json:"batch"`
	Gateways []replyGateway `json:"gateways"`
}

// batch answers one line.
func (h *host) batch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("batch %q: %w", b.Batch, settings.FieldError(err))
	}
	if b.Batch == "" {
		return nil, fmt.Errorf("batch %q: field \"batch\" is missing", b.Batch)
	}
	r := reply{Batch: b.Batch, Gateways: []replyGateway{}}
	for _, g := range b.Gateways {
		out := []any{}
		for _, raw := range g.Happened {
			acts, err := h.event(g.I, time.Duration(b.NowNs), raw)
			if err != nil {
				return nil, fmt.Errorf("batch %s: gateway %d: %w", b.Batch, g.I, err)
			}
			out = append(out, acts...)
		}
		if len(out) > 0 {
			r.Gateways = append(r.Gateways, replyGateway{g.I, out})
		}
	}
	return json.Marshal(r)
}

// event hands one event to its gateway and returns the actions as wire messages.
func (h *host) event(i int, now time.Duration, raw json.RawMessage) ([]any, error) {
	var head struct {
		M string `json:"m"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return nil, fmt.Errorf("field \"happened\": %w", settings.FieldError(err))
	}
	switch head.M {
	case "NewInstance":
		return h.start(i, raw)
	case "Destroy":
		delete(h.gateways, i)
		return nil, nil
	}
	ev, err := parseEvent(head.M, raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", head.M, settings.FieldError(err))
	}
	g := h.gateways[i]
	if ev == nil || g == nil || g.gateway == nil {
		return nil, nil
	}
	return g.handle(now, ev), nil
}

// handle turns a panic of the module into the wire's word for it.
func (g *instance) handle(now time.Duration, ev decide.Event) (out []any) {
	defer func() {
		if p := recover(); p != nil {
			out = []any{bugMessage(fmt.Sprint(p))}
		}
	}()
	for _, a := range g.gateway.Handle(now, ev) {
		out = append(out, wireAction(a))
	}
	return out
}

func bugMessage(words string) any {
	return struct {
		M     string `json:"m"`
		Words string
	}{"Bug", words}
}

func (h *host) start(i int, raw json.RawMessage) ([]any, error) {
	var e struct {
		RandomSeed  uint64
		ProfileData json.RawMessage
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("NewInstance: %w", settings.FieldError(err))
	}
	h.gateways[i] = &instance{}
	cfg, _, err := settings.Parse(e.ProfileData)
	if err != nil {
		return []any{bugMessage("ProfileData: " + err.Error())}, nil
	}
	gw, err := decide.New(cfg, int64(e.RandomSeed))
	if err != nil {
		return []any{bugMessage(err.Error())}, nil
	}
	h.gateways[i].gateway = gw
	return nil, nil
}

// stats reads a load report: an object, or pairs of name and value.
func loadReport(raw map[string]float64) decide.LoadReport {
	if len(raw) == 0 {
		return nil
	}
	r := decide.LoadReport{}
	for name, v := range raw {
		r[settings.LoadReportField(name)] = v
	}
	return r
}

// parseEvent returns nil for a message that it does not know.
func parseEvent(m string, raw json.RawMessage) (decide.Event, error) {
	switch m {
	case "PeersKnown":
		return parseEndpointUpdate(raw)
	case "Query":
		return parseRequest(raw)
	case "Headers":
		var e struct {
			Xid, Server string
			Trial       int
			DurationNs  int64
		}
		err := json.Unmarshal(raw, &e)
		return decide.ResponseStarted{ID: e.Xid, Server: e.Server, Attempt: e.Trial,
			Duration: time.Duration(e.DurationNs)}, err
	case "Returned":
		return parseAttemptEnded(raw)
	case "ClientLeft":
		var e struct{ Xid string }
		err := json.Unmarshal(raw, &e)
		return decide.ClientDisconnected{ID: e.Xid}, err
	case "Elapsed":
		var e struct{ Tag uint64 }
		err := json.Unmarshal(raw, &e)
		return decide.TimerFired{Token: e.Tag}, err
	case "Sampled":
		var e struct {
			Server      string
			StateCode   int
			DurationNs  int64
			ServerStats map[string]float64
		}
		err := json.Unmarshal(raw, &e)
		return decide.HealthCheckEnded{Server: e.Server, Outcome: decide.Outcome(e.StateCode),
			Duration: time.Duration(e.DurationNs), LoadReport: loadReport(e.ServerStats)}, err
	case "Datagram":
		var e struct {
			Src  int
			Blob string
		}
		err := json.Unmarshal(raw, &e)
		return decide.GossipReceived{From: e.Src, Text: e.Blob}, err
	case "Tallied":
		var e struct {
			Counter    uint64
			StateCode  int
			NowAt      float64
			DurationNs int64
		}
		err := json.Unmarshal(raw, &e)
		return decide.CounterUpdated{Name: e.Counter, Outcome: decide.Outcome(e.StateCode), Total: e.NowAt,
			Duration: time.Duration(e.DurationNs)}, err
	}
	return nil, nil
}

func parseEndpointUpdate(raw json.RawMessage) (decide.Event, error) {
	var e struct {
		Kind      string
		Stamp     uint64
		NodesList []struct {
			StartTimeNs                   int64
			Model, Az, StageState, Server string
			Stripe                        int
			CapacityHint                  float64
		}
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, err
	}
	kinds := map[string]decide.UpdateKind{"patch": decide.DeltaUpdate, "whole": decide.FullUpdate,
		"stale_copy": decide.StaleUpdate, "broken": decide.FailedUpdate}
	kind, ok := kinds[e.Kind]
	if !ok {
		return nil, fmt.Errorf("field \"Kind\": unknown %q", e.Kind)
	}
	u := decide.EndpointUpdate{Kind: kind, Version: e.Stamp}
	states := map[string]decide.ServerState{"IN": decide.Serving, "LAME": decide.Draining, "OUT": decide.Removed}
	for _, n := range e.NodesList {
		state, ok := states[n.StageState]
		if !ok {
			return nil, fmt.Errorf("field \"StageState\": unknown %q", n.StageState)
		}
		u.Servers = append(u.Servers, decide.Server{ID: n.Server, Zone: n.Az, Cell: n.Stripe, Kind: n.Model,
			State: state, StartedAt: time.Duration(n.StartTimeNs), Weight: n.CapacityHint})
	}
	return u, nil
}

func parseRequest(raw json.RawMessage) (decide.Event, error) {
	var e struct {
		Xid, Tier, Type, Account string
		DeadlineNs               int64
		EntryPoints, FromNo      int
		SizeUnits                float64
		AgainByClient, Mutates   bool
	}
	err := json.Unmarshal(raw, &e)
	return decide.Request{ID: e.Xid, Class: e.Type, Plan: e.Tier, Customer: e.Account, Units: e.SizeUnits,
		Deadline: time.Duration(e.DeadlineNs), FirstGateway: e.FromNo, GatewayCount: e.EntryPoints,
		IsRetry: e.AgainByClient, Mutates: e.Mutates}, err
}

func parseAttemptEnded(raw json.RawMessage) (decide.Event, error) {
	var e struct {
		Xid, Server string
		Trial       int
		StateCode   int
		DurationNs  int64
		Ended       bool
		Metered     int
		Actual      float64
		ServerStats map[string]float64
	}
	err := json.Unmarshal(raw, &e)
	return decide.AttemptEnded{ID: e.Xid, Server: e.Server, Attempt: e.Trial,
		Outcome: decide.Outcome(e.StateCode), Duration: time.Duration(e.DurationNs), RequestDone: e.Ended,
		ReportedUsage: e.Metered, ActualUnits: e.Actual, LoadReport: loadReport(e.ServerStats)}, err
}

// wireAction writes an action in the wire's words.
func wireAction(a decide.Action) any {
	type msg = map[string]any
	switch a := a.(type) {
	case decide.Send:
		return msg{"m": "Assign", "Xid": a.ID, "Server": a.Server, "AllowForNs": int64(a.Timeout)}
	case decide.Cancel:
		return msg{"m": "Withdraw", "Xid": a.ID, "Trial": a.Attempt}
	case decide.Reject:
		return msg{"m": "Busy", "Xid": a.ID, "RetryInNs": int64(a.RetryAfter)}
	case decide.Fail:
		return msg{"m": "ReportFailure", "Xid": a.ID}
	case decide.SetTimer:
		return msg{"m": "SetAlarm", "FireAtNs": int64(a.At), "Tag": a.Token}
	case decide.HealthCheck:
		return msg{"m": "AskLoad", "Server": a.Server}
	case decide.CloseIdle:
		return msg{"m": "LetGo", "Server": a.Server}
	case decide.Subscribe:
		return msg{"m": "Listen", "Want": a.On}
	case decide.FetchList:
		return msg{"m": "Snapshot"}
	case decide.SendGossip:
		return msg{"m": "Tell", "To": a.To, "Blob": a.Text}
	case decide.AddToCounter:
		return msg{"m": "Enter", "Counter": a.Name, "Step": a.Add, "TtlNs": int64(a.TTL)}
	case decide.Log:
		return msg{"m": "Log", "Words": a.Text}
	}
	return bugMessage(fmt.Sprintf("unknown action %T", a))
}
