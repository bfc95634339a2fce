package gateway

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// attemptParams encodes the params of the JSON-RPC request that carries an attempt to its server. It is used
// if the frontend does not encode attempts itself.
func (r *openRequest) attemptParams(number int, timeLeft time.Duration) []byte {
	const fieldBytes = 160 // approximate size of all fields except the payload
	b := make([]byte, 0, fieldBytes+len(r.Payload))
	b = append(b, `{"request":`...)
	b = strconv.AppendQuote(b, r.ID)
	b = append(b, `,"attempt":`...)
	b = strconv.AppendInt(b, int64(number), 10)
	b = append(b, `,"member":`...)
	b = appendJSONString(b, r.Customer)
	if r.IdempotencyKey != "" {
		b = append(b, `,"key":`...)
		b = appendJSONString(b, r.IdempotencyKey)
	}
	b = append(b, `,"units":`...)
	b = strconv.AppendFloat(b, r.Units, 'g', -1, 64)
	b = append(b, `,"timeout_ms":`...)
	b = strconv.AppendFloat(b, float64(timeLeft)/float64(time.Millisecond), 'f', 3, 64)
	if r.trace.Span.IsValid() {
		b = append(b, `,"traceparent":"`...)
		b = append(b, r.trace.Traceparent(r.attempts[number].span)...)
		b = append(b, '"')
	}
	if len(r.Payload) > 0 {
		b = append(b, `,"work":`...)
		b = append(b, r.Payload...)
	}
	return append(b, '}')
}

// appendJSONString appends s to dst as a JSON string.
func appendJSONString(dst []byte, s string) []byte {
	needsEscape := func(r rune) bool { return r < ' ' || r == '"' || r == '\\' || r > '~' }
	if !strings.ContainsFunc(s, needsEscape) { // true of nearly all names and keys
		dst = append(dst, '"')
		dst = append(dst, s...)
		return append(dst, '"')
	}
	raw, _ := json.Marshal(s) // a string can always be encoded
	return append(dst, raw...)
}
