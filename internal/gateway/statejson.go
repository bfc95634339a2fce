package gateway

import (
	"encoding/json"
	"time"

	"winghatch/decide"
	"winghatch/internal/gossip"
	"winghatch/internal/reservation"
)

// The types below define the JSON keys of structs of other packages within the state. Scripts and tools of
// other versions read these keys, so the keys must not change; TestJSONKeys verifies them.

// DatagramCounts counts the datagrams exchanged with other gateways by the way in which they were handled.
type DatagramCounts struct {
	Sent       int64 `json:"Sent"`
	Unsent     int64 `json:"Unsent"` // not sent: too long, unknown receiver, or refused by the socket
	Taken      int64 `json:"Taken"`
	Forged     int64 `json:"Forged"`     // malformed, or hashed with another secret
	Foreign    int64 `json:"Foreign"`    // from another fleet or an unknown sender, or for another gateway
	Repeated   int64 `json:"Repeated"`   // received before, too old, or of an earlier incarnation
	OverIntake int64 `json:"OverIntake"` // received above the rate limit
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

// ReservationState is a reservation as one gateway knows it. Units are units of the member's quota; a token
// is a unit that may be used at this gateway.
type ReservationState struct {
	ID           uint64  `json:"ID"`
	Number       uint64  `json:"Number"` // number of the plan change that made the reservation
	Member       string  `json:"Member"`
	Units        float64 `json:"Units"`   // units as originally reserved
	From         int64   `json:"From"`    // start of the window, nanoseconds of Unix time
	To           int64   `json:"To"`      // end of the window, nanoseconds of Unix time
	Rate         float64 `json:"Rate"`    // units per second over all gateways; 0 means no bound
	Burst        float64 `json:"Burst"`   // units that may be used at once; applies if Rate is set
	Ceiling      bool    `json:"Ceiling"` // whether the member's plan has a ceiling
	FirstGateway int     `json:"First"`   // rank of the first gateway that the member uses
	GatewayCount int     `json:"Spread"`  // number of gateways that the member uses
	MadeHere     bool    `json:"Mine"`    // accepted by this gateway, in this or an earlier incarnation

	Open        bool    `json:"Open"` // whether the window is open
	Ended       bool    `json:"Ended"`
	HeldTokens  float64 `json:"Free"`    // persisted at this gateway and not drawn
	DrawnTokens float64 `json:"Drawn"`   // drawn from the held tokens for requests; lost in a crash
	InFlight    int     `json:"Out"`     // requests in flight
	Waiting     int     `json:"Waiting"` // requests waiting for tokens
	UsedUnits   float64 `json:"Spent"`   // units used here in this incarnation
	GivenUnits  float64 `json:"Given"`   // units given to other gateways in this incarnation
	CeilingRoom float64 `json:"Room"`    // units left under the member's ceiling; 0 if there is no ceiling
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

// CoreState is the status of the core in the response to GET /state. The JSON types below mirror the structs
// of package decide, with the same fields in the same order, and keep the JSON keys independent of the field
// names there.
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

// convertAll converts each element of a slice. It returns nil for nil.
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

// MarshalJSON encodes the status under the keys of the state.
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

// UnmarshalJSON decodes the output of MarshalJSON.
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
