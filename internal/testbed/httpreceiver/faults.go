package httpreceiver

import (
	"io"
	"net/http"
)

// RespondEarly responds with 200 and closes the connection without reading the request's body. It does
// nothing if the connection cannot be hijacked.
func RespondEarly(w http.ResponseWriter) {
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

// RespondStatus responds with an HTTP status, and with a Retry-After header unless retryAfter is empty.
func RespondStatus(w http.ResponseWriter, status int, retryAfter string) {
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	http.Error(w, "injected fault: the request is not processed", status)
}
