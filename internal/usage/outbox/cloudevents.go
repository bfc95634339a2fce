package outbox

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// UsageEvent is what the receiver gets for a record.
type UsageEvent struct {
	Record uint64 // its number
	JSON   []byte
}

// Types of events.
const (
	TypeUsage = "winghatch.use.v1"
	TypeGap   = "winghatch.uncovered.v1"
)

// cloudEvent is an event in the JSON format of CloudEvents 1.0 (section 3). Source and ID together are its key: a
// receiver drops one that it has.
type cloudEvent struct {
	Version     string `json:"specversion"`
	ID          string `json:"id"`
	Source      string `json:"source"`
	Type        string `json:"type"`
	Time        string `json:"time,omitempty"`
	Subject     string `json:"subject,omitempty"`
	ContentType string `json:"datacontenttype"`
	Data        any    `json:"data"`
}

// UsageData is the data of an event of type TypeUsage.
type UsageData struct {
	Request   string  `json:"request"`
	Attempt   int     `json:"attempt"`
	Member    string  `json:"member"`
	Plan      string  `json:"plan"`
	Class     string  `json:"class"`
	Server    string  `json:"node"`
	Units     float64 `json:"units"`
	Estimated bool    `json:"guess,omitempty"` // no answer reported the units
	Outcome   string  `json:"outcome"`
	Reserved  bool    `json:"reserved,omitempty"`
}

// GapData is the data of an event of type TypeGap.
type GapData struct {
	Attempts uint64  `json:"tries"`
	Units    float64 `json:"units"`
}

// eventSource names an incarnation of a gateway, as a URI reference.
func eventSource(fleet string, gateway int, incarnation uint64) string {
	return fmt.Sprintf("/winghatch/%s/gateway/%d/life/%d", url.PathEscape(fleet), gateway, incarnation)
}

// EncodeEvent returns the event of a record; false if it has none.
func EncodeEvent(fleet string, gateway int, number uint64, payload []byte) (UsageEvent, bool, error) {
	if len(payload) == 0 || payload[0] != recordSettlement && payload[0] != recordGap {
		return UsageEvent{}, false, nil
	}
	record, err := parseRecord(payload)
	if err != nil {
		return UsageEvent{}, false, err
	}
	c := cloudEvent{Version: "1.0", ContentType: "application/json"}
	var incarnation uint64
	var wallTime int64
	if record.kind == recordSettlement {
		s := &record.settlement
		if s.Sequence == 0 {
			return UsageEvent{}, false, nil
		}
		incarnation, wallTime = s.Incarnation, s.WallTime
		c.ID, c.Type, c.Subject = strconv.FormatUint(s.Sequence, 10), TypeUsage, s.Member
		c.Data = UsageData{
			Request:   s.Request,
			Attempt:   s.Number,
			Member:    s.Member,
			Plan:      s.Plan,
			Class:     s.Class,
			Server:    s.Server,
			Units:     s.UsedUnits,
			Estimated: s.Outcome != OutcomeAnswered,
			Outcome:   s.Outcome.String(),
			Reserved:  s.Reserved,
		}
	} else {
		g := &record.gap
		incarnation, wallTime = g.Incarnation, g.WallTime
		c.ID, c.Type = strconv.FormatUint(g.Sequence, 10), TypeGap
		c.Data = GapData{Attempts: g.Attempts, Units: g.Units}
	}
	c.Source = eventSource(fleet, gateway, incarnation)
	c.Time = time.Unix(0, wallTime).UTC().Format(time.RFC3339Nano)
	raw, err := json.Marshal(c)
	if err != nil {
		return UsageEvent{}, false, err
	}
	return UsageEvent{number, raw}, true, nil
}
