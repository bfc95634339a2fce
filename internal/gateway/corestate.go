package gateway

import (
	"encoding/json"
	"time"

	"winghatch/decide"
)

// CoreState is the status of the core in the state that operators ask for. Its JSON keeps the keys that the state always had; the
// types below have the fields of their counterparts in package decide, in the same order, under those keys.
type CoreState struct{ decide.Status }

type coreStateJSON struct {
	FullGossip         bool                `json:"Mesh"`
	OpenRequests       int                 `json:"Requests"`
	Pressure           float64             `json:"Pressed"`
	RetryBudget        float64             `json:"Budget"`
	LastStall          time.Duration       `json:"Stood"`
	Servers            []serverStateJSON   `json:"Servers"`
	Customers          []customerStateJSON `json:"Customers"`
	Peers              []peerStateJSON     `json:"Peers"`
	UnresponsiveOwners []int               `json:"Silent"`
}

type serverStateJSON struct {
	ID            string             `json:"ID"`
	Zone          string             `json:"Zone"`
	State         decide.ServerState `json:"State"`
	InFlight      int                `json:"Out"`
	Orphaned      int                `json:"Ghosts"`
	Slowness      float64            `json:"Slow"`
	FailureRatio  []float64          `json:"Missed"`
	Ejected       bool               `json:"Ejected"`
	SlowStartLeft time.Duration      `json:"Cold"`
	WarmUpBudget  float64            `json:"Budget"`
}

type customerStateJSON struct {
	Key           uint64  `json:"Key"`
	Plan          string  `json:"Plan"`
	Rate          float64 `json:"Rate"`
	Level         float64 `json:"Level"`
	HighWaterMark float64 `json:"Mark"`
	Share         float64 `json:"Part"`
	FleetLevel    float64 `json:"Whole"`
	CeilingTokens float64 `json:"Store"`
	InFlight      int     `json:"Open"`
}

type peerStateJSON struct {
	Rank        int           `json:"Rank"`
	Known       bool          `json:"Known"`
	SinceHeard  time.Duration `json:"Heard"`
	QueueLength int           `json:"Queue"`
}

// convertAll converts each element and keeps nil as nil.
func convertAll[From, To any](from []From, convert func(From) To) []To {
	if from == nil {
		return nil
	}
	to := make([]To, len(from))
	for i, v := range from {
		to[i] = convert(v)
	}
	return to
}

// MarshalJSON writes the state's keys.
func (s CoreState) MarshalJSON() ([]byte, error) {
	v := s.Status
	return json.Marshal(coreStateJSON{
		FullGossip:         v.FullGossip,
		OpenRequests:       v.OpenRequests,
		Pressure:           v.Pressure,
		RetryBudget:        v.RetryBudget,
		LastStall:          v.LastStall,
		Servers:            convertAll(v.Servers, func(s decide.ServerStatus) serverStateJSON { return serverStateJSON(s) }),
		Customers:          convertAll(v.Customers, func(c decide.CustomerStatus) customerStateJSON { return customerStateJSON(c) }),
		Peers:              convertAll(v.Peers, func(p decide.PeerStatus) peerStateJSON { return peerStateJSON(p) }),
		UnresponsiveOwners: v.UnresponsiveOwners,
	})
}

// UnmarshalJSON reads what MarshalJSON writes.
func (s *CoreState) UnmarshalJSON(raw []byte) error {
	var v coreStateJSON
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	s.Status = decide.Status{
		FullGossip:         v.FullGossip,
		OpenRequests:       v.OpenRequests,
		Pressure:           v.Pressure,
		RetryBudget:        v.RetryBudget,
		LastStall:          v.LastStall,
		Servers:            convertAll(v.Servers, func(s serverStateJSON) decide.ServerStatus { return decide.ServerStatus(s) }),
		Customers:          convertAll(v.Customers, func(c customerStateJSON) decide.CustomerStatus { return decide.CustomerStatus(c) }),
		Peers:              convertAll(v.Peers, func(p peerStateJSON) decide.PeerStatus { return decide.PeerStatus(p) }),
		UnresponsiveOwners: v.UnresponsiveOwners,
	}
	return nil
}
