// Package jsonrpc encodes and decodes JSON-RPC 2.0 messages: requests, notifications, responses and
// batches. It does no I/O.
package jsonrpc

import (
	"encoding/json"
	"fmt"
)

// Error codes. The codes from -32700 to -32600 are defined by the specification (section 5.1). The others
// are those that gateways and their servers use of the range from -32000 to -32099, which the specification
// reserves for servers.
const (
	CodeParse          = -32700
	CodeInvalidRequest = -32600
	CodeMethodNotFound = -32601
	CodeInvalidParams  = -32602
	CodeServerError    = -32000 // from a server: the request failed and may have taken effect
	CodeRejected       = -32001 // from a gateway: the request can safely be repeated
	CodeFailed         = -32002 // from a gateway: the request failed and may have taken effect
	CodeServerFull     = -32010 // from a server: it was full and did not process the request
)

// Error is the error object of a response. It implements error.
type Error struct {
	Code    int             `json:"code"`
	Message string          `json:"message"`
	Data    json.RawMessage `json:"data,omitempty"`
}

func (e *Error) Error() string { return fmt.Sprintf("jsonrpc: %s (%d)", e.Message, e.Code) }

// ID is the JSON text of the id of a message: a string, a number or null. It is empty for a notification.
type ID string

// NullID is the id of a response to a message whose id is missing or cannot be parsed.
const NullID ID = "null"

// Message is a request, a notification, a response or an invalid message, either on its own or in a batch.
type Message struct {
	ID ID
	// Method is the method of a request or notification. It is empty for responses and invalid messages.
	Method string
	// Params holds the params of a request or notification. Nil means that there are none.
	Params json.RawMessage
	// Result is the result of a response. It is nil if the response has an error.
	Result json.RawMessage
	// Err is the error of a response, or the error to respond with if the message is invalid.
	Err *Error
	// Invalid reports that the message is neither a valid request or notification nor a valid response.
	Invalid bool
}

// IsNotification reports whether the message is a notification, which must not be responded to.
func (m *Message) IsNotification() bool { return !m.Invalid && m.Method != "" && m.ID == "" }
