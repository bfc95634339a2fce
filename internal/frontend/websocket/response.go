package websocket

import (
	"strconv"

	"winghatch/internal/frontend"
	"winghatch/internal/jsonrpc"
)

// appendResponse appends a final response, encoded as a JSON-RPC response to the call with the given ID.
func appendResponse(dst []byte, id jsonrpc.ID, r frontend.Response) []byte {
	switch r.Kind {
	case frontend.Served:
		result := strconv.AppendFloat([]byte(`{"units":`), r.Units, 'g', -1, 64)
		if len(r.Body) > 0 {
			result = append(result, `,"body":`...)
			result = append(result, r.Body...)
		}
		return jsonrpc.AppendResult(dst, id, append(result, '}'))
	case frontend.Rejected:
		data := []byte(`{"reason":"` + r.Reason + `"`) // reasons are constants that need no escaping
		if r.RetryAfter > 0 {
			data = append(data, `,"retry_after_ms":`...)
			data = strconv.AppendInt(data, r.RetryAfter.Milliseconds(), 10)
		}
		return jsonrpc.AppendError(dst, id, &jsonrpc.Error{
			Code:    jsonrpc.CodeRejected,
			Message: "refused",
			Data:    append(data, '}'),
		})
	}
	return jsonrpc.AppendError(dst, id, &jsonrpc.Error{Code: jsonrpc.CodeFailed, Message: "failed"})
}
