package jsonrpc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"
)

// Parse parses data, which holds a single message or a batch of at most maxBatch messages. batch reports
// whether it is a batch. Invalid messages are returned with Message.Invalid set. Only if the input as a
// whole is invalid does Parse return an error; the response is then this error with NullID (specification,
// section 6). Params and Result of a single message share memory with data.
func Parse(data []byte, maxBatch int) (messages []Message, batch bool, err *Error) {
	data = bytes.TrimLeft(data, whitespace)
	if len(data) == 0 || data[0] != '[' {
		if !json.Valid(data) {
			return nil, false, &Error{Code: CodeParse, Message: "parse error"}
		}
		return []Message{parseMessage(data)}, false, nil
	}
	var rawMessages []json.RawMessage
	if json.Unmarshal(data, &rawMessages) != nil {
		return nil, false, &Error{Code: CodeParse, Message: "parse error"}
	}
	if len(rawMessages) == 0 {
		return nil, false, &Error{Code: CodeInvalidRequest, Message: "a batch of nothing"}
	}
	if len(rawMessages) > maxBatch {
		return nil, false, &Error{Code: CodeInvalidRequest,
			Message: fmt.Sprintf("a batch of %d calls, %d at most", len(rawMessages), maxBatch)}
	}
	for _, raw := range rawMessages {
		messages = append(messages, parseMessage(raw))
	}
	return messages, true, nil
}

// envelope holds the values of the members of a message that the protocol defines. Nil means that the
// member is missing. Other members are ignored.
type envelope struct {
	version, method, params, id, result, err json.RawMessage
}

// setMember stores the value of a member. It never returns an error. It has an error result because it is
// passed to ForEachMember.
func (e *envelope) setMember(name string, value json.RawMessage) error {
	switch name {
	case "jsonrpc":
		e.version = value
	case "method":
		e.method = value
	case "params":
		e.params = value
	case "id":
		e.id = value
	case "result":
		e.result = value
	case "error":
		e.err = value
	}
	return nil
}

// parseMessage parses one message. raw must be valid JSON.
func parseMessage(raw []byte) Message {
	trimmed := bytes.TrimLeft(raw, whitespace)
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return invalidMessage(NullID, "not an object")
	}
	var e envelope
	ForEachMember(raw, e.setMember) // setMember never returns an error
	id, ok := parseID(e.id)
	if !ok {
		return invalidMessage(NullID, "id is neither a string, a number nor null")
	}
	if version, ok := decodeString(e.version); !ok || version != "2.0" {
		return invalidMessage(id, `member "jsonrpc" is not "2.0"`)
	}
	if e.method == nil {
		return parseResponse(id, e)
	}
	method, ok := decodeString(e.method)
	if !ok || method == "" {
		return invalidMessage(id, "method is not a string with something in it")
	}
	if len(e.params) > 0 && e.params[0] != '{' && e.params[0] != '[' {
		return invalidMessage(id, "params is neither an object nor an array")
	}
	return Message{ID: id, Method: method, Params: e.params}
}

// parseResponse parses a response, which must have an id and either a result or an error. If it has an
// error, a null result counts as missing.
func parseResponse(id ID, e envelope) Message {
	var responseErr *Error
	if e.err != nil && string(e.err) != "null" {
		responseErr = new(Error)
		if json.Unmarshal(e.err, responseErr) != nil {
			return invalidMessage(id, "error is not an error object")
		}
		if string(e.result) == "null" {
			e.result = nil
		}
	}
	hasResult, hasError := e.result != nil, responseErr != nil
	if hasResult == hasError || id == "" {
		return invalidMessage(id, "neither a call nor an answer")
	}
	return Message{ID: id, Result: e.result, Err: responseErr}
}

// invalidMessage returns an invalid message with the error to respond with. Its id is NullID if id is
// empty.
func invalidMessage(id ID, reason string) Message {
	if id == "" {
		id = NullID
	}
	return Message{ID: id, Invalid: true, Err: &Error{Code: CodeInvalidRequest, Message: reason}}
}

// parseID parses an id. It normalizes strings so that differently escaped spellings result in the same ID.
// If raw is empty, the ID is empty. It returns false if the id is neither a string, a number nor null.
func parseID(raw json.RawMessage) (ID, bool) {
	if len(raw) == 0 {
		return "", true
	}
	switch c := raw[0]; {
	case c == '"':
		if bytes.IndexByte(raw, '\\') < 0 && utf8.Valid(raw) {
			return ID(raw), true
		}
		s, ok := decodeString(raw)
		if !ok {
			return "", false
		}
		canonical, _ := json.Marshal(s) // marshalling a string never fails
		return ID(canonical), true
	case c == '-' || c >= '0' && c <= '9', string(raw) == "null":
		return ID(raw), true
	}
	return "", false
}
