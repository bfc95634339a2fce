package websocket

import (
	"encoding/json"
	"math"
	"strconv"

	"winghatch/decide"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/upstream"
)

// cancelMessage is the notification to a server that nobody waits for a call any more. The server may drop the call
// while it is queued; a response that comes all the same is counted as late.
func cancelMessage(id uint64) []byte {
	params := `{"id":` + strconv.FormatUint(id, 10) + `}`
	return jsonrpc.AppendCall(nil, "", "cancel", []byte(params))
}

// response is a server's result object. An error object may carry the load alone, in its data.
type response struct {
	Units   float64           `json:"units"`
	Metered int               `json:"metered"`
	Load    decide.LoadReport `json:"load"`
	Body    json.RawMessage   `json:"body"`
}

// parseResponse reads a server's response. A malformed one ends its call as decide.OutcomeError, because the work may
// have run.
func parseResponse(m *jsonrpc.Message) upstream.Result {
	if m.Err != nil {
		return parseError(m.Err)
	}
	if len(m.Result) == 0 || m.Result[0] != '{' {
		return upstream.Result{Outcome: decide.OutcomeError}
	}
	var r response
	err := jsonrpc.ForEachMember(m.Result, r.setMember)
	if err != nil || !(r.Units >= 0) || r.Metered < 0 {
		return upstream.Result{Outcome: decide.OutcomeError}
	}
	return upstream.Result{
		Outcome:       decide.OutcomeOK,
		Body:          r.Body,
		ActualUnits:   r.Units,
		ReportedUsage: r.Metered,
		LoadReport:    r.Load,
	}
}

func parseError(e *jsonrpc.Error) upstream.Result {
	result := upstream.Result{Outcome: decide.OutcomeError}
	if e.Code == jsonrpc.CodeServerFull {
		result.Outcome = decide.OutcomeRejected
	}
	var r response
	if json.Unmarshal(e.Data, &r) == nil {
		result.LoadReport = r.Load
	}
	return result
}

func (r *response) setMember(name string, value json.RawMessage) error {
	switch name {
	case "units":
		return parseNumber(&r.Units, value)
	case "metered":
		var usage float64
		err := parseNumber(&usage, value)
		r.Metered = int(min(max(usage, -1), math.MaxInt32))
		return err
	case "load":
		return json.Unmarshal(value, &r.Load)
	case "body":
		r.Body = append(r.Body, value...) // value is valid only until the next message is read
	}
	return nil
}

// parseNumber reads a JSON number, or null as no change. Parse has checked that the value is well formed.
func parseNumber(to *float64, value json.RawMessage) error {
	if string(value) == "null" {
		return nil
	}
	x, err := strconv.ParseFloat(string(value), 64)
	*to = x
	return err
}
