package jsonrpc

import (
	"encoding/json"
	"strconv"
)

// AppendCall appends a request, or a notification if the id is empty. params is JSON or empty.
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

// AppendResult appends a response with a result, which is JSON.
func AppendResult(dst []byte, id ID, result []byte) []byte {
	dst = append(append(dst, `{"jsonrpc":"2.0","result":`...), result...)
	dst = append(append(dst, `,"id":`...), id...)
	return append(dst, '}')
}

// AppendError appends a response with an error.
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
	quoted, _ := json.Marshal(s) // a string can be marshalled
	return append(dst, quoted...)
}
