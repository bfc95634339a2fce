// Package jsonrpc is a codec of JSON-RPC 2.0: calls, notifications, answers and batches of them. It does no
// I/O.
package jsonrpc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// Codes of errors. Those from -32768 to -32000 are the specification's (section 5.1); of its range for
// servers, -32000 to -32099, the gateway and its nodes use the named ones.
const (
	CodeParse          = -32700
	CodeInvalidRequest = -32600
	CodeMethodNotFound = -32601
	CodeInvalidParams  = -32602
	CodeInternal       = -32603
	CodeServerError    = -32000 // a node's work failed; it may have had its effect
	CodeRejected       = -32001 // harmless to repeat
	CodeFailed         = -32002 // promises nothing
	CodeServerFull     = -32010 // a node turned the call away unseen
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
const NullID ID = "null"

// Item is one member of a message: a call, an answer, or what is neither (then Err says why).
type Message struct {
	ID      ID
	Method  string // empty: an answer
	Params  json.RawMessage
	Result  json.RawMessage // of an answer
	Err     *Error          // of an answer, or why the item can't be taken
	Invalid bool            // it can't be taken
}

// Notification reports whether no answer is owed.
func (it *Message) IsNotification() bool { return !it.Invalid && it.Method != "" && it.ID == "" }

// Parse reads a message. batch is set if it was an array. err is set if nothing of it can be taken: then one
// error with id null is the answer (specification section 6). Params and results of a single call are parts of data. A batch of more than most items is refused.
func Parse(data []byte, most int) (items []Message, batch bool, err *Error) {
	data = bytes.TrimLeft(data, " \t\r\n")
	if len(data) == 0 || data[0] != '[' {
		if !json.Valid(data) {
			return nil, false, &Error{Code: CodeParse, Message: "parse error"}
		}
		return []Message{parseMessage(data)}, false, nil
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
		items = append(items, parseMessage(raw))
	}
	return items, true, nil
}

func invalidMessage(id ID, text string) Message {
	return Message{ID: id, Invalid: true, Err: &Error{Code: CodeInvalidRequest, Message: text}}
}

func parseMessage(raw []byte) Message {
	var version, methodRaw, params, idRaw, result, errRaw json.RawMessage
	if trimmed := bytes.TrimLeft(raw, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return invalidMessage(NullID, "not an object")
	}
	ForEachMember(raw, func(name string, value json.RawMessage) error {
		switch name {
		case "jsonrpc":
			version = value
		case "method":
			methodRaw = value
		case "params":
			params = value
		case "id":
			idRaw = value
		case "result":
			result = value
		case "error":
			errRaw = value
		}
		return nil
	})
	id, ok := parseID(idRaw)
	if !ok {
		return invalidMessage(NullID, "id is neither a string, a number nor null")
	}
	told := id
	if told == "" {
		told = NullID
	}
	if v, ok := DecodeString(version); !ok || v != "2.0" {
		return invalidMessage(told, `member "jsonrpc" is not "2.0"`)
	}
	if methodRaw == nil {
		var e *Error
		if errRaw != nil && string(errRaw) != "null" {
			if e = new(Error); json.Unmarshal(errRaw, e) != nil {
				return invalidMessage(told, "error is not an error object")
			}
			if string(result) == "null" {
				result = nil
			}
		}
		if (result == nil) == (e == nil) || id == "" {
			return invalidMessage(told, "neither a call nor an answer")
		}
		return Message{ID: id, Result: result, Err: e}
	}
	method, ok := DecodeString(methodRaw)
	if !ok || method == "" {
		return invalidMessage(told, "method is not a string with something in it")
	}
	if len(params) > 0 && params[0] != '{' && params[0] != '[' {
		return invalidMessage(told, "params is neither an object nor an array")
	}
	return Message{ID: id, Method: method, Params: params}
}

// Members calls f for each member of an object, in the order of the text, with its value as it stands there.
// raw must be valid JSON, as all that Parse hands on is: then a look for the ends of values is enough, and
// nothing is checked twice. What is not an object has no members. An error of f ends it.
func ForEachMember(raw []byte, f func(name string, value json.RawMessage) error) error {
	i := skipSpace(raw, 0)
	if i >= len(raw) || raw[i] != '{' {
		return nil
	}
	for i = skipSpace(raw, i+1); i < len(raw) && raw[i] == '"'; {
		end := valueEnd(raw, i)
		name, _ := DecodeString(raw[i:end])
		from := skipSpace(raw, skipSpace(raw, end)+1) // behind the colon
		to := valueEnd(raw, from)
		if to > len(raw) || from >= to {
			return nil
		}
		if err := f(name, raw[from:to:to]); err != nil {
			return err
		}
		if i = skipSpace(raw, to); i >= len(raw) || raw[i] != ',' {
			return nil
		}
		i = skipSpace(raw, i+1)
	}
	return nil
}

func skipSpace(raw []byte, i int) int {
	for i < len(raw) && (raw[i] == ' ' || raw[i] == '\n' || raw[i] == '\t' || raw[i] == '\r') {
		i++
	}
	return i
}

// value returns where the value that begins at i ends.
func valueEnd(raw []byte, i int) int {
	for depth := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			for i++; i < len(raw) && raw[i] != '"'; i++ {
				if raw[i] == '\\' {
					i++
				}
			}
			if depth == 0 {
				return min(i+1, len(raw))
			}
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1
			}
			if depth < 0 {
				return i // a number or word ends at what it stands in
			}
		case ',', ' ', '\n', '\t', '\r':
			if depth == 0 {
				return i
			}
		}
	}
	return len(raw)
}

// String reads a JSON string.
func DecodeString(raw json.RawMessage) (string, bool) {
	if len(raw) < 2 || raw[0] != '"' {
		return "", false
	}
	body := raw[1 : len(raw)-1]
	if bytes.IndexByte(body, '\\') < 0 && utf8.Valid(body) {
		return string(body), true
	}
	var s string
	err := json.Unmarshal(raw, &s)
	return s, err == nil
}

// parseID keeps an id in one form: two spellings of a string are the same id.
func parseID(raw json.RawMessage) (ID, bool) {
	if len(raw) == 0 {
		return "", true
	}
	switch c := raw[0]; {
	case c == '"':
		if bytes.IndexByte(raw, '\\') < 0 && utf8.Valid(raw) {
			return ID(raw), true
		}
		s, ok := DecodeString(raw)
		if !ok {
			return "", false
		}
		b, _ := json.Marshal(s)
		return ID(b), true
	case c == '-' || c >= '0' && c <= '9', string(raw) == "null":
		return ID(raw), true
	}
	return "", false
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
