// Package jsonrpc is a codec of JSON-RPC 2.0: requests, notifications, responses and batches of them. It does no I/O.
package jsonrpc

import (
	"encoding/json"
	"fmt"
)

// Error codes. Those from -32768 to -32600 are of the specification (section 5.1). Of the range that it leaves to
// servers, -32000 to -32099, gateways and their servers use the named ones.
const (
	CodeParse          = -32700
	CodeInvalidRequest = -32600
	CodeMethodNotFound = -32601
	CodeInvalidParams  = -32602
	CodeServerError    = -32000 // of a server: the work failed, and may have had its effect
	CodeRejected       = -32001 // of a gateway: the request may be repeated without harm
	CodeFailed         = -32002 // of a gateway: the request may or may not have had its effect
	CodeServerFull     = -32010 // of a server: the request was rejected without being looked at
)

// Error is the error object of a response.
type Error struct {
	Code    int             `json:"code"`
	Message string          `json:"message"`
	Data    json.RawMessage `json:"data,omitempty"`
}

func (e *Error) Error() string { return fmt.Sprintf("jsonrpc: %s (%d)", e.Message, e.Code) }

// ID is the id of a request as JSON: a string, a number or null. It is empty for a notification.
type ID string

// NullID is the id of a response to a request whose id could not be read.
const NullID ID = "null"

// Message is one member of a batch, or a single message: a request, a notification, a response, or what is none of
// them.
type Message struct {
	ID      ID
	Method  string // empty: a response
	Params  json.RawMessage
	Result  json.RawMessage // of a response
	Err     *Error          // of a response; of an invalid message the error to answer with
	Invalid bool            // neither a request nor a response
}

// IsNotification reports whether the message must not be answered.
func (m *Message) IsNotification() bool { return !m.Invalid && m.Method != "" && m.ID == "" }
