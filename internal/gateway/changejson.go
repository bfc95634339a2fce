package gateway

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"winghatch/decide"
	"winghatch/internal/credentials"
	"winghatch/internal/quotaplan"
)

// The JSON of the control API. Tools and gateways of different versions speak it, and scripts read it, so its keys
// never change; TestJSONKeys pins them.

// changeJSON is a plan change as operators submit and read it.
type changeJSON struct {
	Number uint64     `json:"number"`
	Kind   string     `json:"kind"`
	Member string     `json:"member,omitempty"`
	Plan   string     `json:"plan,omitempty"`
	Terms  *PlanTerms `json:"terms,omitempty"`
	From   string     `json:"from,omitempty"` // RFC 3339
	To     string     `json:"to,omitempty"`   // RFC 3339
	Units  float64    `json:"units,omitempty"`
	Rate   float64    `json:"rate,omitempty"` // units a second
	Target uint64     `json:"target,omitempty"`
}

// History is what a gateway knows of plan changes.
type History struct {
	Changes int                  `json:"changes"`
	Digest  string               `json:"sum"`    // equal where the same changes are known
	Plans   map[string]PlanTerms `json:"stands"` // in force, by member
	Entries []HistoryEntry       `json:"entries"`
}

// HistoryEntry is a plan change and what became of it.
type HistoryEntry struct {
	changeJSON
	Status     string `json:"status"`
	Reason     string `json:"why,omitempty"` // of a status that has one
	Gateway    int    `json:"gateway"`       // that accepted it
	AcceptedAt string `json:"taken"`         // RFC 3339
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

func newChangeJSON(c *quotaplan.Change) changeJSON {
	j := changeJSON{
		Number: c.Number,
		Kind:   c.Kind.String(),
		Member: c.Member,
		Plan:   c.Plan,
		From:   formatTime(c.From),
		To:     formatTime(c.To),
		Units:  c.Units,
		Rate:   c.Rate,
		Target: c.Target,
	}
	if c.Kind == quotaplan.Terms {
		j.Terms = &PlanTerms{c.Terms}
	}
	return j
}

// change returns the change, or an error that names the field that is wrong.
func (j *changeJSON) change() (quotaplan.Change, error) {
	kind, ok := quotaplan.ParseKind(j.Kind)
	if !ok {
		return quotaplan.Change{}, fmt.Errorf("change %d: kind: %q, want move, terms, reserve, cancel or shorten",
			j.Number, j.Kind)
	}
	c := quotaplan.Change{
		Number: j.Number,
		Kind:   kind,
		Member: j.Member,
		Plan:   j.Plan,
		Units:  j.Units,
		Rate:   j.Rate,
		Target: j.Target,
	}
	if j.Terms != nil {
		c.Terms = j.Terms.Plan
	}
	var err error
	if c.From, err = parseTime(j.From); err != nil {
		return c, fmt.Errorf("change %d: from: %w", j.Number, err)
	}
	if c.To, err = parseTime(j.To); err != nil {
		return c, fmt.Errorf("change %d: to: %w", j.Number, err)
	}
	return c, nil
}

// formatTime formats nanoseconds of Unix time; 0 means none.
func formatTime(ns int64) string {
	if ns == 0 {
		return ""
	}
	return time.Unix(0, ns).UTC().Format(time.RFC3339Nano)
}

// parseTime reads what formatTime writes.
func parseTime(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, fmt.Errorf("%q, want a time such as 2026-12-07T08:00:00Z", text)
	}
	return at.UnixNano(), nil
}

// macHeader carries the keyed hash of a request that changes something. One that is sent twice does no harm, as the
// number of its change is known then.
const macHeader = "Winghatch-Mac"

func requestMAC(s credentials.Secret, body []byte) string {
	sum := s.OperatorRequestHasher().Sum(append([]byte("POST /changes\n"), body...))
	return hex.EncodeToString(sum[:])
}
