// Package jsonrpc is a codec of JSON-RPC 2.0: calls, notifications, answers and batches of them. It does no
// I/O.
package jsonrpc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// Codes of errors. Those from -32768 to -32000 are the specification's (section 5.1); of its range for
// servers, -32000 to -32099, the gateway and its nodes use the named ones.
const (
	CodeParse          = -32700
	CodeInvalidRequest = -32600
	CodeNoMethod       = -32601
	CodeInvalidParams  = -32602
	CodeInternal       = -32603
	CodeError          = -32000 // a node's work failed; it may have had its effect
	CodeRefused        = -32001 // harmless to repeat
	CodeFailed         = -32002 // promises nothing
	CodeFull           = -32010 // a node turned the call away unseen
)

// Error is the error object of an answer.
type Error struct {
	Code    int             `json:"code"`
	Message string          `json:"message"`
	Data    json.RawMessage `json:"data,omitempty"`
}

func (e *Error) Error() string { return fmt.Sprintf("jsonrpc: %s (%d)", e.Message, e.Code) }

// ID is a call's id as it came: a JSON string, number or null; empty for a notification.
type ID string

// Null is the id of answers to what no id could be read from.
const Null ID = "null"

// Item is one member of a message: a call, an answer, or what is neither (then Err says why).
type Item struct {
	ID     ID
	Method string // empty: an answer
	Params json.RawMessage
	Result json.RawMessage // of an answer
	Err    *Error          // of an answer, or why the item can't be taken
	Bad    bool            // it can't be taken
}

// Notification reports whether no answer is owed.
func (it *Item) Notification() bool { return !it.Bad && it.Method != "" && it.ID == "" }

type wire struct {
	Version *string         `json:"jsonrpc"`
	Method  json.RawMessage `json:"method"`
	Params  json.RawMessage `json:"params"`
	ID      json.RawMessage `json:"id"`
	Result  json.RawMessage `json:"result"`
	Error   *Error          `json:"error"`
}

// Parse reads a message. batch is set if it was an array. err is set if nothing of it can be taken: then one
// error with id null is the answer (specification section 6). A batch of more than most items is refused.
func Parse(data []byte, most int) (items []Item, batch bool, err *Error) {
	data = bytes.TrimLeft(data, " \t\r\n")
	if len(data) == 0 || data[0] != '[' {
		if !json.Valid(data) {
			return nil, false, &Error{Code: CodeParse, Message: "parse error"}
		}
		return []Item{parseItem(data)}, false, nil
	}
	var raws []json.RawMessage
	if json.Unmarshal(data, &raws) != nil {
		return nil, false, &Error{Code: CodeParse, Message: "parse error"}
	}
	if len(raws) == 0 {
		return nil, false, &Error{Code: CodeInvalidRequest, Message: "a batch of nothing"}
	}
	if len(raws) > most {
		return nil, false, &Error{Code: CodeInvalidRequest,
			Message: fmt.Sprintf("a batch of %d calls, %d at most", len(raws), most)}
	}
	for _, raw := range raws {
		items = append(items, parseItem(raw))
	}
	return items, true, nil
}

func invalid(id ID, text string) Item {
	return Item{ID: id, Bad: true, Err: &Error{Code: CodeInvalidRequest, Message: text}}
}

func parseItem(raw []byte) Item {
	var w wire
	if trimmed := bytes.TrimLeft(raw, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return invalid(Null, "not an object")
	}
	if err := json.Unmarshal(raw, &w); err != nil {
		return invalid(Null, "not a JSON-RPC object")
	}
	id, ok := parseID(w.ID)
	if !ok {
		return invalid(Null, "id is neither a string, a number nor null")
	}
	told := id
	if told == "" {
		told = Null
	}
	if w.Version == nil || *w.Version != "2.0" {
		return invalid(told, `member "jsonrpc" is not "2.0"`)
	}
	if w.Method == nil {
		if (w.Result == nil) == (w.Error == nil) || id == "" {
			return invalid(told, "neither a call nor an answer")
		}
		return Item{ID: id, Result: w.Result, Err: w.Error}
	}
	var method string
	if json.Unmarshal(w.Method, &method) != nil || method == "" {
		return invalid(told, "method is not a string with something in it")
	}
	if p := bytes.TrimLeft(w.Params, " \t\r\n"); len(p) > 0 && p[0] != '{' && p[0] != '[' {
		return invalid(told, "params is neither an object nor an array")
	}
	return Item{ID: id, Method: method, Params: w.Params}
}

// parseID keeps an id in one form: two spellings of a string are the same id.
func parseID(raw json.RawMessage) (ID, bool) {
	if len(raw) == 0 {
		return "", true
	}
	switch c := raw[0]; {
	case c == '"':
		var s string
		if json.Unmarshal(raw, &s) != nil {
			return "", false
		}
		b, _ := json.Marshal(s)
		return ID(b), true
	case c == '-' || c >= '0' && c <= '9', string(raw) == "null":
		return ID(raw), true
	}
	return "", false
}

// UnmarshalJSON takes the member of a wire object; json would drop a null that stands for an id.
func (w *wire) UnmarshalJSON(data []byte) error {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	w.Method, w.Params, w.ID, w.Result = m["method"], m["params"], m["id"], m["result"]
	if v, ok := m["jsonrpc"]; ok {
		var s string
		if json.Unmarshal(v, &s) == nil {
			w.Version = &s
		}
	}
	if e, ok := m["error"]; ok && string(e) != "null" {
		w.Error = &Error{}
		if err := json.Unmarshal(e, w.Error); err != nil {
			return err
		}
	}
	if string(w.Result) == "null" && w.Error != nil {
		w.Result = nil
	}
	return nil
}

// AppendCall appends a call, or with an empty id a notification. params is JSON or empty.
func AppendCall(dst []byte, id ID, method string, params []byte) []byte {
	dst = append(dst, `{"jsonrpc":"2.0","method":`...)
	dst = appendString(dst, method)
	if len(params) > 0 {
		dst = append(append(dst, `,"params":`...), params...)
	}
	if id != "" {
		dst = append(append(dst, `,"id":`...), id...)
	}
	return append(dst, '}')
}

// AppendResult appends an answer with a result, which is JSON.
func AppendResult(dst []byte, id ID, result []byte) []byte {
	dst = append(append(dst, `{"jsonrpc":"2.0","result":`...), result...)
	dst = append(append(dst, `,"id":`...), id...)
	return append(dst, '}')
}

// AppendError appends an answer with an error.
func AppendError(dst []byte, id ID, e *Error) []byte {
	dst = append(append(dst, `{"jsonrpc":"2.0","error":{"code":`...), strconv.Itoa(e.Code)...)
	dst = appendString(append(dst, `,"message":`...), e.Message)
	if len(e.Data) > 0 {
		dst = append(append(dst, `,"data":`...), e.Data...)
	}
	dst = append(append(dst, `},"id":`...), id...)
	return append(dst, '}')
}

func appendString(dst []byte, s string) []byte {
	b, _ := json.Marshal(s)
	return append(dst, b...)
}
