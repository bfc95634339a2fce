package websocket

import "unicode/utf8"

// Status codes of close frames (RFC 6455, section 7.4.1).
const (
	CodeNormal      = 1000
	CodeGoingAway   = 1001
	CodeProtocol    = 1002
	CodeUnsupported = 1003
	CodeNoStatus    = 1005 // never sent: the close frame has no code
	CodeAbnormal    = 1006 // never sent: the connection ended without a close frame
	CodeInvalidData = 1007
	CodeTooBig      = 1009
	CodeTryAgain    = 1013 // registered with IANA after RFC 6455
)

// maxControlPayload is the maximum payload size of a control frame in bytes (RFC 6455, section 5.5).
const maxControlPayload = 125

// ClosePayload returns the payload of a close frame. A reason that is too long is truncated at a character
// boundary. The payload is nil for zero and for the codes that are never sent, CodeNoStatus and
// CodeAbnormal.
func ClosePayload(code int, reason string) []byte {
	if code == CodeNoStatus || code == CodeAbnormal || code == 0 {
		return nil
	}
	for len(reason) > maxControlPayload-2 {
		_, n := utf8.DecodeLastRuneInString(reason)
		reason = reason[:len(reason)-n]
	}
	return append([]byte{byte(code >> 8), byte(code)}, reason...)
}

// ParseClose parses the payload of a close frame that Reader.Next has returned. If the payload has no code,
// it returns CodeNoStatus.
func ParseClose(payload []byte) (code int, reason string) {
	if len(payload) < 2 {
		return CodeNoStatus, ""
	}
	return int(payload[0])<<8 | int(payload[1]), string(payload[2:])
}

// validateClose returns a *ProtocolError if the payload of a received close frame is invalid (RFC 6455,
// section 7.4).
func validateClose(payload []byte) error {
	if len(payload) == 0 {
		return nil
	}
	if len(payload) == 1 {
		return protocolErrorf(CodeProtocol, "close frame with half a code")
	}
	code, reason := ParseClose(payload)
	// 1004 is reserved, and 1005, 1006 and 1015 must not be sent. Codes from 3000 to 4999 are for libraries
	// and applications (section 7.4.2).
	known := code >= 1000 && code <= 1014 && code != 1004 && code != CodeNoStatus && code != CodeAbnormal
	if !known && (code < 3000 || code > 4999) {
		return protocolErrorf(CodeProtocol, "close code %d may not be sent", code)
	}
	if !utf8.ValidString(reason) {
		return protocolErrorf(CodeInvalidData, "close reason that is not UTF-8")
	}
	return nil
}
