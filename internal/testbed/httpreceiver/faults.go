package httpreceiver

import (
	"io"
	"net/http"
)

// RespondEarly answers 200 and closes the connection before the request's body is read.
func RespondEarly(w http.ResponseWriter) {
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

// RespondStatus answers with a status, and with a Retry-After unless it is empty.
func RespondStatus(w http.ResponseWriter, status int, retryAfter string) {
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	http.Error(w, "trouble", status)
}
