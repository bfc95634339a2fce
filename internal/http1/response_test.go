package http1

import (
	"bytes"
	"strings"
	"testing"
)

// A response that cannot be parsed must be an error, not a wrong body: it would be passed on to a client.
func TestAnswers(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	for _, c := range []struct {
		name, text, body string
		good             bool
	}{
		{"plain", ok, "hi", true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi", true},
		{"1xx ahead", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok, "hi", true},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nhi", "hi", true},
		{"up to the end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", "hi", true},
		{"1xx without end", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100) + ok, "", false},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 1000), "", false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nhi", "", false},
		{"both lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"2\r\nhi\r\n0\r\n\r\n", "", false},
		{"noise", "\x00\xff\x13garbage\r\n\r\n", "", false},
		{"bad status", "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi", "", false},
		{"other protocol", "ICY 200 OK\r\nContent-Length: 2\r\n\r\nhi", "", false},
		{"switch", "HTTP/1.1 101 Switching\r\n\r\n" + ok, "", false},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", "", false},
		{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 5000), "", false},
	} {
		p, err := newTestReader(strings.NewReader(c.text)).ReadResponse()
		if (err == nil) != c.good || c.good && (p.Status != 200 || string(p.Body) != c.body) {
			t.Errorf("%s: %+v, %v", c.name, p, err)
		}
	}
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := newTestReader(bytes.NewReader(b)).ReadResponse()
		// No interim response, and no body that exceeds the limit, may be returned.
		if err == nil && (p.Status < 200 || len(p.Body) > testLimits.MaxBodyBytes) {
			t.Fatalf("%q was accepted as %+v", b, p)
		}
	})
}
