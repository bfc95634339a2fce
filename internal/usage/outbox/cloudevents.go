package outbox

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// UsageEvent is a CloudEvent for the usage receiver.
type UsageEvent struct {
	Record uint64 // number of the log record that the event is made from
	JSON   []byte
}

// Values of the type attribute of usage events.
const (
	TypeUsage = "winghatch.use.v1"       // usage of one attempt; the data is UsageData
	TypeGap   = "winghatch.uncovered.v1" // usage of attempts without an intent; the data is GapData
)

// cloudEvent is an event in the JSON format of CloudEvents 1.0 (section 3). Source and ID together identify
// the event, so that the receiver can drop duplicates.
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

// UsageData is the data of an event of type TypeUsage: the usage of one attempt.
type UsageData struct {
	Request   string  `json:"request"`
	Attempt   int     `json:"attempt"`
	Member    string  `json:"member"`
	Plan      string  `json:"plan"`
	Class     string  `json:"class"`
	Server    string  `json:"node"`
	Units     float64 `json:"units"`
	Estimated bool    `json:"guess,omitempty"` // Units is an estimate, because no response reported the units
	Outcome   string  `json:"outcome"`
	Reserved  bool    `json:"reserved,omitempty"` // the attempt used reserved units
}

// GapData is the data of an event of type TypeGap: the total of attempts that were sent without an intent.
type GapData struct {
	Attempts uint64  `json:"tries"`
	Units    float64 `json:"units"`
}

// eventSource returns the source attribute of events: a URI reference that identifies an incarnation of a
// gateway.
func eventSource(fleet string, gateway int, incarnation uint64) string {
	return fmt.Sprintf("/winghatch/%s/gateway/%d/life/%d", url.PathEscape(fleet), gateway, incarnation)
}

// EncodeEvent returns the event for the log record with the given number. It returns false if the record has
// no event, and an error if the record is malformed.
func EncodeEvent(fleet string, gateway int, number uint64, payload []byte) (UsageEvent, bool, error) {
	if len(payload) == 0 || payload[0] != kindSettlement && payload[0] != kindGap {
		return UsageEvent{}, false, nil
	}
	record, err := parseRecord(payload)
	if err != nil {
		return UsageEvent{}, false, err
	}
	event := cloudEvent{Version: "1.0", ContentType: "application/json"}
	var incarnation uint64
	var wallTime int64
	if record.kind == kindSettlement {
		s := &record.settlement
		if s.Sequence == 0 {
			return UsageEvent{}, false, nil
		}
		incarnation, wallTime = s.Incarnation, s.WallTime
		event.ID, event.Type, event.Subject = strconv.FormatUint(s.Sequence, 10), TypeUsage, s.Member
		event.Data = UsageData{
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
		event.ID, event.Type = strconv.FormatUint(g.Sequence, 10), TypeGap
		event.Data = GapData{Attempts: g.Attempts, Units: g.Units}
	}
	event.Source = eventSource(fleet, gateway, incarnation)
	event.Time = time.Unix(0, wallTime).UTC().Format(time.RFC3339Nano)
	raw, err := json.Marshal(event)
	if err != nil {
		return UsageEvent{}, false, err
	}
	return UsageEvent{number, raw}, true, nil
}
