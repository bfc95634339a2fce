package jsonrpc

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// whitespace contains the whitespace characters of JSON (RFC 8259, section 2).
const whitespace = " \t\r\n"

// ForEachMember calls f for each member of a JSON object, in the order of the text and including repeated
// names. value is the unchanged text of the member's value and shares memory with raw. If raw is not an
// object, f is not called. An error of f ends the iteration and is returned.
//
// raw must be valid JSON, like everything that Parse returns. It is not validated a second time: the
// function only searches for the ends of the values.
func ForEachMember(raw []byte, f func(name string, value json.RawMessage) error) error {
	at := skipSpace(raw, 0)
	if at >= len(raw) || raw[at] != '{' {
		return nil
	}
	for at = skipSpace(raw, at+1); at < len(raw) && raw[at] == '"'; {
		nameEnd := valueEnd(raw, at)
		name, _ := decodeString(raw[at:nameEnd])
		colon := skipSpace(raw, nameEnd)
		start := skipSpace(raw, colon+1)
		end := valueEnd(raw, start)
		if end > len(raw) || start >= end { // raw is not valid JSON
			return nil
		}
		if err := f(name, raw[start:end:end]); err != nil {
			return err
		}
		at = skipSpace(raw, end)
		if at >= len(raw) || raw[at] != ',' {
			return nil
		}
		at = skipSpace(raw, at+1)
	}
	return nil
}

// skipSpace returns the index of the first byte at or after i that is not whitespace.
func skipSpace(raw []byte, i int) int {
	for i < len(raw) && (raw[i] == ' ' || raw[i] == '\n' || raw[i] == '\t' || raw[i] == '\r') {
		i++
	}
	return i
}

// valueEnd returns the index after the end of the value that begins at i.
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
				return i // end of the object or array that contains this number or literal
			}
		case ',', ' ', '\n', '\t', '\r':
			if depth == 0 {
				return i
			}
		}
	}
	return len(raw)
}

// decodeString decodes a JSON string. It returns false if raw is not a string.
func decodeString(raw json.RawMessage) (string, bool) {
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
