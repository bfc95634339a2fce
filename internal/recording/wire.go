package recording

import (
	"encoding/json"
	"time"

	"winghatch/decide"
)

// The types in this file are the stored forms of the settings, events and actions of package decide. A stored
// key never changes, so that recordings of earlier versions stay readable: a field that is renamed in decide
// keeps its key here. Most types have the same fields in the same order as their counterparts in decide and
// are converted directly, so that a field that is added there and forgotten here is a compile-time error.

type storedClass struct {
	Name             string             `json:"Name"`
	Idempotency      decide.Idempotency `json:"Effect"`
	DedupScope       decide.DedupScope  `json:"Group"`
	DedupWindow      time.Duration      `json:"Window"`
	LatencyObjective time.Duration      `json:"Aim"`
	ObjectiveStretch float64            `json:"AimStretch"`
	Deadline         time.Duration      `json:"Deadline"`
	PriorityWeight   float64            `json:"Worth"`
	LateWeight       float64            `json:"LateWorth"`
	Streaming        bool               `json:"Stream"`
}

type storedPlan struct {
	Name           string  `json:"Name"`
	Rate           float64 `json:"Rate"`
	Burst          float64 `json:"Burst"`
	CeilingRate    float64 `json:"CeilingRate"`
	CeilingBurst   float64 `json:"CeilingBurst"`
	CeilingSlack   float64 `json:"CeilingSlack"`
	MaxInFlight    int     `json:"MaxOpen"`
	PriorityWeight float64 `json:"Price"`
	OverQuotaValue float64 `json:"OverWorth"`
	OverQuotaCost  float64 `json:"OverCost"`
}

type storedLimits struct {
	MaxAttempts    int           `json:"MaxAttempts"`
	Hedging        bool          `json:"Parallel"`
	Cancel         bool          `json:"Cancel"`
	Gossip         bool          `json:"Peers"`
	RetryAfter     bool          `json:"RetryAfter"`
	MaxRetryAfter  time.Duration `json:"MaxRetryAfter"`
	ConnectTimeout time.Duration `json:"ConnectTimeout"`
}

type storedSafety struct {
	AnswerSlack       time.Duration `json:"AnswerSlack"`
	DrainGrace        time.Duration `json:"DrainGrace"`
	SlowStartCapacity float64       `json:"ColdFrom"`
	SlowStartDuration time.Duration `json:"ColdFor"`
	OverloadMultiple  float64       `json:"FallMultiple"`
	OverloadWindow    time.Duration `json:"FallWindow"`
}

// storedConfig is the stored form of decide.Config, with the keys that a core reads or validates. Headers of
// earlier versions contain more keys, which are ignored: Counter, CounterTimeout, Prices, ReportsOnProbe,
// Subscribe, Limits.Probes and Safety.AskWithin.
type storedConfig struct {
	Rank              int           `json:"Rank"`
	Gateways          int           `json:"Gateways"`
	Zone              string        `json:"Zone"`
	Classes           []storedClass `json:"Classes"`
	Plans             []storedPlan  `json:"Plans"`
	SettledOnResponse bool          `json:"SettledLater"`
	MaxUnits          float64       `json:"MaxUnits"`
	UsageReportPeriod time.Duration `json:"MeterPeriod"`
	GossipCapacity    float64       `json:"PeerIntake"`
	MaxCustomers      int           `json:"MaxCustomers,omitempty"`
	Limits            storedLimits  `json:"Limits"`
	Safety            storedSafety  `json:"Safety"`
}

type storedServer struct {
	ID        string             `json:"ID"`
	Zone      string             `json:"Zone"`
	Cell      int                `json:"Cell"`
	Kind      string             `json:"Kind"`
	State     decide.ServerState `json:"State"`
	StartedAt time.Duration      `json:"Started"`
	Weight    float64            `json:"Weight"`
}

type (
	storedEndpointUpdate struct {
		Kind    decide.UpdateKind `json:"Kind"`
		Version uint64            `json:"Version"`
		Servers []storedServer    `json:"Servers"`
	}
	storedRequest struct {
		ID           string        `json:"ID"`
		Class        string        `json:"Class"`
		Plan         string        `json:"Plan"`
		Customer     string        `json:"Customer"`
		Units        float64       `json:"Units"`
		Deadline     time.Duration `json:"Deadline"`
		FirstGateway int           `json:"First"`
		GatewayCount int           `json:"Spread"`
		IsRetry      bool          `json:"Again"`
		Mutates      bool          `json:"Write"`
		Reserved     bool          `json:"Reserved"`
	}
	storedPlanChange struct {
		Customer      string     `json:"Customer"`
		Plan          storedPlan `json:"Plan"`
		ReturnedUnits float64    `json:"Return"`
	}
	storedResponseStarted struct {
		ID       string        `json:"ID"`
		Server   string        `json:"Server"`
		Attempt  int           `json:"Attempt"`
		Duration time.Duration `json:"Took"`
	}
	storedAttemptEnded struct {
		ID            string            `json:"ID"`
		Server        string            `json:"Server"`
		Attempt       int               `json:"Attempt"`
		Outcome       decide.Outcome    `json:"Outcome"`
		Duration      time.Duration     `json:"Took"`
		RequestDone   bool              `json:"Done"`
		ReportedUsage int               `json:"Metered"`
		ActualUnits   float64           `json:"TrueUnits"`
		LoadReport    decide.LoadReport `json:"Report"`
	}
	storedClientDisconnected struct{ ID string }
	storedTimerFired         struct{ Token uint64 }
	storedGossipReceived     struct {
		From int    `json:"From"`
		Text string `json:"Text"`
	}
)

type (
	storedSend struct {
		ID          string        `json:"ID"`
		Server      string        `json:"Server"`
		Timeout     time.Duration `json:"Timeout"`
		WriteBefore time.Duration `json:"Before"`
	}
	storedCancel struct {
		ID      string `json:"ID"`
		Attempt int    `json:"Attempt"`
	}
	storedReject struct {
		ID         string              `json:"ID"`
		RetryAfter time.Duration       `json:"RetryAfter"`
		Reason     decide.RejectReason `json:"Reason"`
	}
	storedFail     struct{ ID string }
	storedSetTimer struct {
		At    time.Duration `json:"At"`
		Token uint64        `json:"Token"`
	}
	storedSendGossip struct {
		To   int    `json:"To"`
		Text string `json:"Text"`
	}
)

// convert applies convertOne to each element of from. A nil slice stays nil.
func convert[From, To any](from []From, convertOne func(From) To) []To {
	if from == nil {
		return nil
	}
	to := make([]To, len(from))
	for i, v := range from {
		to[i] = convertOne(v)
	}
	return to
}

// storeConfig returns the stored form of the settings.
func storeConfig(c decide.Config) storedConfig {
	return storedConfig{
		Rank:              c.Rank,
		Gateways:          c.Gateways,
		Zone:              c.Zone,
		Classes:           convert(c.Classes, func(k decide.Class) storedClass { return storedClass(k) }),
		Plans:             convert(c.Plans, func(p decide.Plan) storedPlan { return storedPlan(p) }),
		SettledOnResponse: c.SettledOnResponse,
		MaxUnits:          c.MaxUnits,
		UsageReportPeriod: c.UsageReportPeriod,
		GossipCapacity:    c.GossipCapacity,
		MaxCustomers:      c.MaxCustomers,
		Limits:            storedLimits(c.Limits),
		Safety:            storedSafety(c.Safety),
	}
}

// load returns the settings of a stored form.
func (c storedConfig) load() decide.Config {
	return decide.Config{
		Rank:              c.Rank,
		Gateways:          c.Gateways,
		Zone:              c.Zone,
		Classes:           convert(c.Classes, func(k storedClass) decide.Class { return decide.Class(k) }),
		Plans:             convert(c.Plans, func(p storedPlan) decide.Plan { return decide.Plan(p) }),
		SettledOnResponse: c.SettledOnResponse,
		MaxUnits:          c.MaxUnits,
		UsageReportPeriod: c.UsageReportPeriod,
		GossipCapacity:    c.GossipCapacity,
		MaxCustomers:      c.MaxCustomers,
		Limits:            decide.Limits(c.Limits),
		Safety:            decide.Safety(c.Safety),
	}
}

// storedKind returns the stored type name of an event or an action and its stored form. For any other value
// the name is empty.
func storedKind(value any) (kind string, stored any) {
	switch v := value.(type) {
	case decide.EndpointUpdate:
		servers := convert(v.Servers, func(s decide.Server) storedServer { return storedServer(s) })
		return "FleetUpdate", storedEndpointUpdate{v.Kind, v.Version, servers}
	case decide.Request:
		return "Request", storedRequest(v)
	case decide.PlanChange:
		return "Terms", storedPlanChange{v.Customer, storedPlan(v.Plan), v.ReturnedUnits}
	case decide.ResponseStarted:
		return "AnswerStarted", storedResponseStarted(v)
	case decide.AttemptEnded:
		return "AttemptEnded", storedAttemptEnded(v)
	case decide.ClientDisconnected:
		return "ClientGone", storedClientDisconnected(v)
	case decide.TimerFired:
		return "TimerFired", storedTimerFired(v)
	case decide.GossipReceived:
		return "PeerMessage", storedGossipReceived(v)
	case decide.Send:
		return "Send", storedSend(v)
	case decide.Cancel:
		return "Cancel", storedCancel(v)
	case decide.Reject:
		return "Refuse", storedReject(v)
	case decide.Fail:
		return "Fail", storedFail(v)
	case decide.SetTimer:
		return "SetTimer", storedSetTimer(v)
	case decide.SendGossip:
		return "Tell", storedSendGossip(v)
	}
	return "", nil
}

// loader decodes the JSON document of one kind of event or action.
type loader[T any] func(raw json.RawMessage) (T, error)

// load returns a loader that decodes a Stored value and converts it to an event or an action.
func load[Stored, T any](convert func(Stored) T) loader[T] {
	return func(raw json.RawMessage) (T, error) {
		var s Stored
		err := json.Unmarshal(raw, &s)
		return convert(s), err
	}
}

// eventLoaders holds the loader of each kind of event, by its stored type name.
var eventLoaders = map[string]loader[decide.Event]{
	"FleetUpdate": load(func(s storedEndpointUpdate) decide.Event {
		servers := convert(s.Servers, func(v storedServer) decide.Server { return decide.Server(v) })
		return decide.EndpointUpdate{Kind: s.Kind, Version: s.Version, Servers: servers}
	}),
	"Request": load(func(s storedRequest) decide.Event { return decide.Request(s) }),
	"Terms": load(func(s storedPlanChange) decide.Event {
		return decide.PlanChange{Customer: s.Customer, Plan: decide.Plan(s.Plan),
			ReturnedUnits: s.ReturnedUnits}
	}),
	"AnswerStarted": load(func(s storedResponseStarted) decide.Event { return decide.ResponseStarted(s) }),
	"AttemptEnded":  load(func(s storedAttemptEnded) decide.Event { return decide.AttemptEnded(s) }),
	"ClientGone": load(func(s storedClientDisconnected) decide.Event {
		return decide.ClientDisconnected(s)
	}),
	"TimerFired":  load(func(s storedTimerFired) decide.Event { return decide.TimerFired(s) }),
	"PeerMessage": load(func(s storedGossipReceived) decide.Event { return decide.GossipReceived(s) }),
}

// actionLoaders holds the loader of each kind of action, by its stored type name.
var actionLoaders = map[string]loader[decide.Action]{
	"Send":     load(func(s storedSend) decide.Action { return decide.Send(s) }),
	"Cancel":   load(func(s storedCancel) decide.Action { return decide.Cancel(s) }),
	"Refuse":   load(func(s storedReject) decide.Action { return decide.Reject(s) }),
	"Fail":     load(func(s storedFail) decide.Action { return decide.Fail(s) }),
	"SetTimer": load(func(s storedSetTimer) decide.Action { return decide.SetTimer(s) }),
	"Tell":     load(func(s storedSendGossip) decide.Action { return decide.SendGossip(s) }),
}
