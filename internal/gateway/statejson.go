package gateway

import (
	"encoding/json"
	"time"

	"winghatch/decide"
	"winghatch/internal/gossip"
	"winghatch/internal/reservation"
)

// The types below give structs of other packages their keys in the JSON of the state. The keys never change, as tools
// of other versions and scripts read them; TestJSONKeys pins them.

// DatagramCounts counts the datagrams to and from other gateways by what became of them.
type DatagramCounts struct {
	Sent       int64 `json:"Sent"`
	Unsent     int64 `json:"Unsent"` // too long, or the system did not take them at once
	Taken      int64 `json:"Taken"`
	Forged     int64 `json:"Forged"`     // not made with the fleet's secret
	Foreign    int64 `json:"Foreign"`    // of another fleet, or for another gateway
	Repeated   int64 `json:"Repeated"`   // seen before
	OverIntake int64 `json:"OverIntake"` // over the rate limit
}

func datagramCounts(c gossip.Counts) DatagramCounts {
	return DatagramCounts{
		Sent:       c.Sent,
		Unsent:     c.Unsent,
		Taken:      c.Taken,
		Forged:     c.Forged,
		Foreign:    c.Foreign,
		Repeated:   c.Repeated,
		OverIntake: c.OverIntake,
	}
}

// ReservationState is a reservation as a gateway has it. Units are those of the member's quota; a token is a unit that
// may be used at this gateway.
type ReservationState struct {
	ID           uint64  `json:"ID"`
	Number       uint64  `json:"Number"` // of the plan change that made it
	Member       string  `json:"Member"`
	Units        float64 `json:"Units"` // as first made
	From         int64   `json:"From"`  // start of the window, nanoseconds of Unix time
	To           int64   `json:"To"`    // end of the window, nanoseconds of Unix time
	Rate         float64 `json:"Rate"`  // units a second over all gateways; 0: no bound
	Burst        float64 `json:"Burst"` // units at once, with a Rate
	Ceiling      bool    `json:"Ceiling"`
	FirstGateway int     `json:"First"`
	GatewayCount int     `json:"Spread"`
	MadeHere     bool    `json:"Mine"` // by this gateway in this or an earlier incarnation

	Open        bool    `json:"Open"` // the window is
	Ended       bool    `json:"Ended"`
	HeldTokens  float64 `json:"Free"`    // persisted at this gateway, not drawn
	DrawnTokens float64 `json:"Drawn"`   // drawn from them, for requests; a crash loses them
	InFlight    int     `json:"Out"`     // requests
	Waiting     int     `json:"Waiting"` // requests
	UsedUnits   float64 `json:"Spent"`   // here, in this incarnation
	GivenUnits  float64 `json:"Given"`   // to other gateways
	CeilingRoom float64 `json:"Room"`    // under the member's ceiling; 0 where there is none
}

func reservationState(v reservation.View) ReservationState {
	return ReservationState{
		ID:           v.ID,
		Number:       v.Number,
		Member:       v.Member,
		Units:        v.Units,
		From:         v.From,
		To:           v.To,
		Rate:         v.Rate,
		Burst:        v.Burst,
		Ceiling:      v.Ceiling,
		FirstGateway: v.First,
		GatewayCount: v.Spread,
		MadeHere:     v.AcceptedHere,
		Open:         v.Open,
		Ended:        v.Ended,
		HeldTokens:   v.Free,
		DrawnTokens:  v.Drawn,
		InFlight:     v.InFlight,
		Waiting:      v.Waiting,
		UsedUnits:    v.Spent,
		GivenUnits:   v.Transferred,
		CeilingRoom:  v.CeilingRoom,
	}
}

// CoreState is the status of the core in the state that operators ask for. Its JSON keeps the keys that the state
// always had; the types below have the fields of their counterparts in package decide, in the same order, under those
// keys.
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
	ID                 string             `json:"ID"`
	Zone               string             `json:"Zone"`
	State              decide.ServerState `json:"State"`
	InFlight           int                `json:"Out"`
	Orphaned           int                `json:"Ghosts"`
	Slowness           float64            `json:"Slow"`
	FailureRatio       []float64          `json:"Missed"`
	Ejected            bool               `json:"Ejected"`
	SlowStartRemaining time.Duration      `json:"Cold"`
	SlowStartBudget    float64            `json:"Budget"`
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
	Rank              int           `json:"Rank"`
	Known             bool          `json:"Known"`
	SinceLastReceived time.Duration `json:"Heard"`
	QueueLength       int           `json:"Queue"`
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

// MarshalJSON writes the status under the keys of the state.
func (s CoreState) MarshalJSON() ([]byte, error) {
	server := func(s decide.ServerStatus) serverStateJSON { return serverStateJSON(s) }
	customer := func(c decide.CustomerStatus) customerStateJSON { return customerStateJSON(c) }
	peer := func(p decide.PeerStatus) peerStateJSON { return peerStateJSON(p) }
	return json.Marshal(coreStateJSON{
		FullGossip:         s.FullGossip,
		OpenRequests:       s.OpenRequests,
		Pressure:           s.Pressure,
		RetryBudget:        s.RetryBudget,
		LastStall:          s.LastStall,
		Servers:            convertAll(s.Servers, server),
		Customers:          convertAll(s.Customers, customer),
		Peers:              convertAll(s.Peers, peer),
		UnresponsiveOwners: s.UnresponsiveOwners,
	})
}

// UnmarshalJSON reads what MarshalJSON writes.
func (s *CoreState) UnmarshalJSON(raw []byte) error {
	var v coreStateJSON
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	server := func(s serverStateJSON) decide.ServerStatus { return decide.ServerStatus(s) }
	customer := func(c customerStateJSON) decide.CustomerStatus { return decide.CustomerStatus(c) }
	peer := func(p peerStateJSON) decide.PeerStatus { return decide.PeerStatus(p) }
	s.Status = decide.Status{
		FullGossip:         v.FullGossip,
		OpenRequests:       v.OpenRequests,
		Pressure:           v.Pressure,
		RetryBudget:        v.RetryBudget,
		LastStall:          v.LastStall,
		Servers:            convertAll(v.Servers, server),
		Customers:          convertAll(v.Customers, customer),
		Peers:              convertAll(v.Peers, peer),
		UnresponsiveOwners: v.UnresponsiveOwners,
	}
	return nil
}
