package websocket

import (
	"errors"
	"fmt"
)

// ProtocolError reports a protocol violation by the peer, or a message or frame that exceeds a limit.
type ProtocolError struct {
	// Code is the status code to send in the close frame.
	Code int
	// Reason describes the violation. It is sent in the close frame.
	Reason string
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("websocket: %s (close code %d)", e.Reason, e.Code)
}

func protocolErrorf(code int, format string, args ...any) error {
	return &ProtocolError{code, fmt.Sprintf(format, args...)}
}

// CloseCode returns the status code for a connection that ended with err. It is the code of a
// *ProtocolError, or CodeAbnormal for all other errors.
func CloseCode(err error) int {
	var e *ProtocolError
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeAbnormal
}
