package websocket

import (
	"encoding/json"
	"math"
	"strconv"

	"winghatch/decide"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/upstream"
)

// cancelMessage returns the notification that informs a server that a call was abandoned. The server may drop
// the call while it is queued; a response that arrives nevertheless is counted as late.
func cancelMessage(id uint64) []byte {
	params := `{"id":` + strconv.FormatUint(id, 10) + `}`
	return jsonrpc.AppendCall(nil, "", "cancel", []byte(params))
}

// response is the result object of a server's response. The data of an error object has the same form, but
// only its load is used.
type response struct {
	Units   float64           `json:"units"`   // actual cost of the request; 0: not reported
	Metered int               `json:"metered"` // see upstream.Result.ReportedUsage; 0: not reported
	Load    decide.LoadReport `json:"load"`
	Body    json.RawMessage   `json:"body"`
}

// parseResponse parses a server's response. A malformed response gives decide.OutcomeError, because the
// server may have run the request.
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

// parseError returns the result of a call that the server answered with an error object.
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

// setMember sets the field for one member of the result object. Unknown members are ignored.
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

// parseNumber stores a JSON number in dst; null leaves dst unchanged. jsonrpc.Parse has already checked that
// value is valid JSON.
func parseNumber(dst *float64, value json.RawMessage) error {
	if string(value) == "null" {
		return nil
	}
	x, err := strconv.ParseFloat(string(value), 64)
	*dst = x
	return err
}
