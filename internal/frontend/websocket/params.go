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
	maxKeyBytes = 128 // of an idempotency key
	// maxDeadlineMs keeps a deadline in nanoseconds within an int64; the class's deadline is shorter in any case.
	maxDeadlineMs = 1e12
)

// callParams is what a client says of a call. A nil number was not given.
type callParams struct {
	Units       *float64
	DeadlineMs  *float64 // the time left
	AtMs        *float64 // when the call was made, by the client's own clock of any origin
	Key         string   // idempotency key
	IsRetry     bool
	Mutates     bool
	Reserved    bool
	TraceParent string
	Work        json.RawMessage
}

// parse reads the params object. Errors name the field and are sent to the client.
func (p *callParams) parse(raw json.RawMessage) error {
	if len(raw) > 0 && raw[0] != '{' {
		return errors.New("params: an array, want an object")
	}
	return jsonrpc.ForEachMember(raw, p.parseField)
}

// parseField reads one field; value is valid until the next message only.
func (p *callParams) parseField(name string, value json.RawMessage) error {
	var to any
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
		to = &p.Key
	case "again":
		to = &p.IsRetry
	case "write":
		to = &p.Mutates
	case "reserved":
		to = &p.Reserved
	case "traceparent":
		to = &p.TraceParent
	default:
		return fmt.Errorf("params.%.40s: unknown field", name)
	}
	if err := json.Unmarshal(value, to); err != nil {
		return fmt.Errorf("params.%s: %.40s: %w", name, value, err)
	}
	return nil
}

// isPlainString reports whether a JSON value is a string without escapes, which needs no decoder.
func isPlainString(value json.RawMessage) bool {
	return value[0] == '"' && !bytes.ContainsRune(value, '\\')
}

// parseNumber reads a number; null leaves it unset.
func parseNumber(to **float64, name string, value json.RawMessage) error {
	x, err := strconv.ParseFloat(string(value), 64)
	isNumber := err == nil && value[0] != 'n' // ParseFloat takes nan, too
	if isNumber {
		*to = &x
		return nil
	}
	if string(value) == "null" {
		return nil
	}
	return fmt.Errorf("params.%s: %.40s, want a number", name, value)
}

// validate checks the params of a call of a class. Errors name the field and are sent to the client.
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

// checkNotNegative checks that a number, if given, is finite and 0 or more.
func checkNotNegative(field string, x *float64) error {
	if x == nil || *x >= 0 && !math.IsInf(*x, 0) {
		return nil
	}
	return fmt.Errorf("params.%s: %v, want a number of 0 or more", field, *x)
}
