package gateway

import (
	"encoding/json"

	"winghatch/decide"
	"winghatch/internal/gossip"
	"winghatch/internal/reservation"
)

// The types below give structs of other packages their keys in the JSON that operators read and send. The keys never
// change, so that tools and gateways of different versions, and scripts, understand each other; TestJSONKeys pins them.

// DatagramCounts counts the datagrams to and from other gateways by what became of them.
type DatagramCounts struct {
	Sent       int64 `json:"Sent"`
	Unsent     int64 `json:"Unsent"`
	Taken      int64 `json:"Taken"`
	Forged     int64 `json:"Forged"`
	Foreign    int64 `json:"Foreign"`
	Repeated   int64 `json:"Repeated"`
	OverIntake int64 `json:"OverIntake"`
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

// ReservationState is a reservation as a gateway has it. Units and tokens are those of the member's quota.
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
	MadeHere     bool    `json:"Mine"`

	Open        bool    `json:"Open"`
	Ended       bool    `json:"Ended"`
	HeldTokens  float64 `json:"Free"`  // tokens held at this gateway
	DrawnTokens float64 `json:"Drawn"` // tokens drawn from them
	InFlight    int     `json:"Out"`   // requests in flight
	Waiting     int     `json:"Waiting"`
	UsedUnits   float64 `json:"Spent"` // units used at this gateway since it started
	GivenUnits  float64 `json:"Given"`
	CeilingRoom float64 `json:"Room"` // under the member's ceiling; 0 where there is none
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
		MadeHere:     v.Mine,
		Open:         v.Open,
		Ended:        v.Ended,
		HeldTokens:   v.Free,
		DrawnTokens:  v.Drawn,
		InFlight:     v.Out,
		Waiting:      v.Waiting,
		UsedUnits:    v.Spent,
		GivenUnits:   v.Given,
		CeilingRoom:  v.Room,
	}
}

// PlanTerms is a plan in the JSON of plan changes.
type PlanTerms struct{ decide.Plan }

type planTermsJSON struct {
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

// MarshalJSON writes the plan under its stored keys.
func (p PlanTerms) MarshalJSON() ([]byte, error) { return json.Marshal(planTermsJSON(p.Plan)) }

// UnmarshalJSON reads what MarshalJSON writes.
func (p *PlanTerms) UnmarshalJSON(raw []byte) error {
	var v planTermsJSON
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	p.Plan = decide.Plan(v)
	return nil
}
