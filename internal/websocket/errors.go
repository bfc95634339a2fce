package websocket

import (
	"errors"
	"fmt"
)

// ProtocolError is a violation of the protocol by the peer.
type ProtocolError struct {
	Code   int // for the close frame
	Reason string
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("websocket: %s (close code %d)", e.Reason, e.Code)
}

func protocolErrorf(code int, format string, args ...any) error {
	return &ProtocolError{code, fmt.Sprintf(format, args...)}
}

// CloseCode returns the close code for an error: that of a *ProtocolError, CodeAbnormal for any other.
func CloseCode(err error) int {
	var e *ProtocolError
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeAbnormal
}
