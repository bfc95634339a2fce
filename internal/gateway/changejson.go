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

// The types below define the JSON of the control API. Scripts, tools and gateways of other versions depend on
// the keys, so the keys must not change; TestJSONKeys verifies them.

// changeJSON is a plan change in the form in which operators submit and read it. quotaplan.Change documents
// the fields and the kinds of change that use them.
type changeJSON struct {
	Number uint64     `json:"number"`
	Kind   string     `json:"kind"` // see quotaplan.ParseKind
	Member string     `json:"member,omitempty"`
	Plan   string     `json:"plan,omitempty"`
	Terms  *PlanTerms `json:"terms,omitempty"` // only for quotaplan.Terms
	From   string     `json:"from,omitempty"`  // RFC 3339; empty if the change has no start time
	To     string     `json:"to,omitempty"`    // RFC 3339; empty if the change has no end time
	Units  float64    `json:"units,omitempty"`
	Rate   float64    `json:"rate,omitempty"`   // units per second
	Target uint64     `json:"target,omitempty"` // number of the change to cancel or shorten; 0 in other kinds
}

// History holds the plan changes that a gateway knows.
type History struct {
	Changes int                  `json:"changes"` // number of plan changes
	Digest  string               `json:"sum"`     // equal on gateways that know the same changes
	Plans   map[string]PlanTerms `json:"stands"`  // plans in force, by member name
	Entries []HistoryEntry       `json:"entries"`
}

// HistoryEntry is a plan change and its status.
type HistoryEntry struct {
	changeJSON
	Status     string `json:"status"`        // value of a quotaplan.Status
	Reason     string `json:"why,omitempty"` // explains Status; empty if it needs no explanation
	Gateway    int    `json:"gateway"`       // rank of the gateway that accepted the change
	AcceptedAt string `json:"taken"`         // RFC 3339
}

// PlanTerms is a plan in the JSON of plan changes. Its keys do not depend on the field names of decide.Plan.
type PlanTerms struct{ decide.Plan }

// planTermsJSON defines the JSON keys of PlanTerms. It has the same fields in the same order as decide.Plan,
// so that one can be converted to the other.
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

// MarshalJSON encodes the plan under the keys of planTermsJSON.
func (p PlanTerms) MarshalJSON() ([]byte, error) { return json.Marshal(planTermsJSON(p.Plan)) }

// UnmarshalJSON decodes the output of MarshalJSON.
func (p *PlanTerms) UnmarshalJSON(raw []byte) error {
	var v planTermsJSON
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	p.Plan = decide.Plan(v)
	return nil
}

// newChangeJSON converts a plan change to its JSON form.
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
	}
	if c.Kind == quotaplan.Cancel || c.Kind == quotaplan.Shorten {
		j.Target = c.Target
	}
	if c.Kind == quotaplan.Terms {
		j.Terms = &PlanTerms{c.Terms}
	}
	return j
}

// change converts the JSON form to a plan change. Its errors name the number of the change and the invalid
// field.
func (j *changeJSON) change() (quotaplan.Change, error) {
	kind, ok := quotaplan.ParseKind(j.Kind)
	if !ok {
		return quotaplan.Change{}, fmt.Errorf(
			"change %d: kind: %q, want move, terms, reserve, cancel or shorten", j.Number, j.Kind)
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

// formatTime formats nanoseconds of Unix time as RFC 3339 in UTC. It returns an empty string for 0, which
// means no time.
func formatTime(ns int64) string {
	if ns == 0 {
		return ""
	}
	return time.Unix(0, ns).UTC().Format(time.RFC3339Nano)
}

// parseTime parses the output of formatTime and returns nanoseconds of Unix time. It returns 0 for an empty
// string.
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

// macHeader is the HTTP header with the keyed hash of a request that submits a change. Replaying such a
// request does no harm, because the gateway already knows the number of its change.
const macHeader = "Winghatch-Mac"

// requestMAC returns the value of macHeader for a POST /changes request with the given body.
func requestMAC(s credentials.Secret, body []byte) string {
	sum := s.OperatorRequestHasher().Sum(append([]byte("POST /changes\n"), body...))
	return hex.EncodeToString(sum[:])
}
