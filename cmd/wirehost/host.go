package main

import (
	"encoding/json"
	"fmt"
	"time"

	"winghatch/decide"
	"winghatch/internal/platform/settings"
)

// host holds the gateways of this process by their number. The gateways share no state.
type host struct{ gateways map[int]*instance }

// instance is a started gateway. Its field gateway is nil if the settings were invalid.
type instance struct{ gateway *decide.Gateway }

// newHost returns a host without gateways.
func newHost() *host { return &host{gateways: map[int]*instance{}} }

// batch holds the messages for some gateways at one time.
type batch struct {
	NowNs    int64       `json:"NowNs"`
	Batch    json.Number `json:"batch"`
	Gateways []struct {
		I        int               `json:"I"`
		Happened []json.RawMessage `json:"happened"`
	} `json:"gateways"`
}

// reply holds the messages of the gateways that have sent at least one.
type reply struct {
	Batch    json.Number    `json:"batch"`
	Gateways []gatewayReply `json:"gateways"`
}

// gatewayReply holds the messages of one gateway.
type gatewayReply struct {
	I      int   `json:"I"`
	Output []any `json:"output"`
}

// handleBatch returns the reply to one line of input. An error names the batch, the gateway and the field.
func (h *host) handleBatch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("batch %q: %w", b.Batch, settings.FieldError(err))
	}
	if b.Batch == "" {
		return nil, fmt.Errorf("batch %q: field \"batch\" is missing", b.Batch)
	}
	r := reply{Batch: b.Batch, Gateways: []gatewayReply{}}
	for _, g := range b.Gateways {
		var output []any
		for _, raw := range g.Happened {
			messages, err := h.handleMessage(g.I, time.Duration(b.NowNs), raw)
			if err != nil {
				return nil, fmt.Errorf("batch %s: gateway %d: %w", b.Batch, g.I, err)
			}
			output = append(output, messages...)
		}
		if len(output) > 0 {
			r.Gateways = append(r.Gateways, gatewayReply{g.I, output})
		}
	}
	return json.Marshal(r)
}

// handleMessage handles one message for a gateway and returns the messages for the resulting actions. It
// ignores messages of unknown kinds and messages for gateways that are not running.
func (h *host) handleMessage(number int, now time.Duration, raw json.RawMessage) ([]any, error) {
	var head struct {
		Kind string `json:"m"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return nil, fmt.Errorf("field \"happened\": %w", settings.FieldError(err))
	}
	switch head.Kind {
	case "NewInstance":
		return h.start(number, raw)
	case "Destroy":
		delete(h.gateways, number)
		return nil, nil
	}
	ev, err := parseEvent(head.Kind, raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", head.Kind, settings.FieldError(err))
	}
	g := h.gateways[number]
	if ev == nil || g == nil || g.gateway == nil {
		return nil, nil
	}
	return g.handle(now, ev), nil
}

// start starts a gateway. With invalid settings it returns a Bug message, and later messages for the gateway
// are ignored.
func (h *host) start(number int, raw json.RawMessage) ([]any, error) {
	var m struct {
		RandomSeed  uint64
		ProfileData json.RawMessage
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, fmt.Errorf("NewInstance: %w", settings.FieldError(err))
	}
	h.gateways[number] = &instance{}
	cfg, _, err := settings.Parse(m.ProfileData)
	if err != nil {
		return []any{bugMessage("ProfileData: " + err.Error())}, nil
	}
	gateway, err := decide.New(cfg, int64(m.RandomSeed))
	if err != nil {
		return []any{bugMessage(err.Error())}, nil
	}
	h.gateways[number].gateway = gateway
	return nil, nil
}

// handle passes an event to the gateway and returns the messages for its actions. A panic becomes a Bug
// message, so that the simulator can report it and the other gateways continue.
func (g *instance) handle(now time.Duration, ev decide.Event) (output []any) {
	defer func() {
		if p := recover(); p != nil {
			output = []any{bugMessage(fmt.Sprint(p))}
		}
	}()
	for _, a := range g.gateway.Handle(now, ev) {
		output = append(output, wireAction(a))
	}
	return output
}
