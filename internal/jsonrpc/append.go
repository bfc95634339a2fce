package jsonrpc

import (
	"encoding/json"
	"strconv"
)

// AppendCall appends a request to dst, or a notification if id is empty. params must be valid JSON. If it
// is empty, the message has no params.
func AppendCall(dst []byte, id ID, method string, params []byte) []byte {
	dst = append(dst, `{"jsonrpc":"2.0","method":`...)
	dst = appendString(dst, method)
	if len(params) > 0 {
		dst = append(append(dst, `,"params":`...), params...)
	}
	if id != "" {
		dst = append(append(dst, `,"id":`...), id...)
	}
	return append(dst, '}')
}

// AppendResult appends a response with a result to dst. id must not be empty, and result must be valid
// JSON.
func AppendResult(dst []byte, id ID, result []byte) []byte {
	dst = append(append(dst, `{"jsonrpc":"2.0","result":`...), result...)
	dst = append(append(dst, `,"id":`...), id...)
	return append(dst, '}')
}

// AppendError appends a response with an error to dst. id must not be empty. e.Data must be valid JSON. If
// it is empty, the error has no data.
func AppendError(dst []byte, id ID, e *Error) []byte {
	dst = append(append(dst, `{"jsonrpc":"2.0","error":{"code":`...), strconv.Itoa(e.Code)...)
	dst = appendString(append(dst, `,"message":`...), e.Message)
	if len(e.Data) > 0 {
		dst = append(append(dst, `,"data":`...), e.Data...)
	}
	dst = append(append(dst, `},"id":`...), id...)
	return append(dst, '}')
}

func appendString(dst []byte, s string) []byte {
	quoted, _ := json.Marshal(s) // marshalling a string never fails
	return append(dst, quoted...)
}
