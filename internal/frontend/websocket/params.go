package websocket

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"

	"winghatch/decide"
	"winghatch/internal/jsonrpc"
)

const (
	maxKeyBytes = 128 // longest idempotency key
	// maxDeadlineMs limits DeadlineMs, so that the time in nanoseconds does not overflow an int64. It does
	// not shorten any remaining time, because that is also limited to the shorter deadline of the class.
	maxDeadlineMs = 1e12
)

// callParams holds the params of a call. A number is nil if the client did not send it.
type callParams struct {
	Units       *float64
	DeadlineMs  *float64 // remaining time in milliseconds
	AtMs        *float64 // time of the call in milliseconds, by the client's clock with an unknown origin
	Key         string   // idempotency key; empty: none
	IsRetry     bool
	Mutates     bool
	Reserved    bool
	TraceParent string
	Work        json.RawMessage // copied from the message; the payload for servers
}

// parse decodes the params object. Errors name the field and are sent to the client.
func (p *callParams) parse(raw json.RawMessage) error {
	if len(raw) > 0 && raw[0] != '{' {
		return errors.New("params: an array, want an object")
	}
	return jsonrpc.ForEachMember(raw, p.parseField)
}

// parseField decodes one field. It copies what it keeps of value, which is only valid until the next message.
func (p *callParams) parseField(name string, value json.RawMessage) error {
	var target any
	switch name {
	case "units":
		return parseNumber(&p.Units, name, value)
	case "deadline_ms":
		return parseNumber(&p.DeadlineMs, name, value)
	case "at_ms":
		return parseNumber(&p.AtMs, name, value)
	case "work":
		p.Work = bytes.Clone(value)
		return nil
	case "key":
		if isPlainString(value) {
			p.Key = string(value[1 : len(value)-1])
			return nil
		}
		target = &p.Key
	case "again":
		target = &p.IsRetry
	case "write":
		target = &p.Mutates
	case "reserved":
		target = &p.Reserved
	case "traceparent":
		target = &p.TraceParent
	default:
		return fmt.Errorf("params.%.40s: unknown field", name)
	}
	if err := json.Unmarshal(value, target); err != nil {
		return fmt.Errorf("params.%s: %.40s: %w", name, value, err)
	}
	return nil
}

// isPlainString reports whether a JSON value is a string without escapes. Such a string needs no decoder.
func isPlainString(value json.RawMessage) bool {
	return value[0] == '"' && !bytes.ContainsRune(value, '\\')
}

// parseNumber decodes a number. null leaves it unset.
func parseNumber(target **float64, name string, value json.RawMessage) error {
	number, err := strconv.ParseFloat(string(value), 64)
	isNumber := err == nil && value[0] != 'n' // ParseFloat also accepts nan
	if isNumber {
		*target = &number
		return nil
	}
	if string(value) == "null" {
		return nil
	}
	return fmt.Errorf("params.%s: %.40s, want a number", name, value)
}

// validate checks the params of a call of the given class. maxUnits limits the units; 0 means no limit.
// Errors name the field and are sent to the client.
func (p *callParams) validate(class *decide.Class, maxUnits float64) error {
	if err := checkNotNegative("units", p.Units); err != nil {
		return err
	}
	if err := checkNotNegative("deadline_ms", p.DeadlineMs); err != nil {
		return err
	}
	switch {
	case p.Units != nil && maxUnits > 0 && *p.Units > maxUnits:
		return fmt.Errorf("params.units: %v, want %v at most", *p.Units, maxUnits)
	case class.Idempotency == decide.IdempotentByKey && p.Key == "":
		return fmt.Errorf("params.key: missing, %s is keyed", class.Name)
	case len(p.Key) > maxKeyBytes:
		return fmt.Errorf("params.key: %d bytes, want %d at most", len(p.Key), maxKeyBytes)
	}
	return nil
}

// checkNotNegative returns an error if a number is set and is infinite or less than 0.
func checkNotNegative(field string, number *float64) error {
	if number == nil || *number >= 0 && !math.IsInf(*number, 0) {
		return nil
	}
	return fmt.Errorf("params.%s: %v, want a number of 0 or more", field, *number)
}
