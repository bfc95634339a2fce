package httppost

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A Retry-After value that is misread makes the sender hammer the receiver or wait too long. Seconds and
// dates must be parsed, invalid values must count as zero, and huge values must not overflow.
func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 12, 3, 7, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		header string
		want   time.Duration
	}{
		{"", 0},
		{"soon", 0},
		{"-1", 0},
		{"0", 0},
		{"120", 2 * time.Minute},
		{"4611686018427387904", maxRetryAfterSeconds * time.Second},
		{"Thu, 03 Dec 2026 07:00:30 GMT", 30 * time.Second},
		{"Thu, 03 Dec 2026 06:59:30 GMT", 0},
	} {
		if got := parseRetryAfter(c.header, now); got != c.want {
			t.Errorf("%q: %v, want %v", c.header, got, c.want)
		}
	}
}

// A receiver that answers 200 before it has read the body may lose it, so that answer must not count as a success. Nor
// may a redirect be followed.
func TestPost(t *testing.T) {
	read := func(r *http.Request) { io.Copy(io.Discard, r.Body) }
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		status int
		sent   bool
		reason string
	}{
		{"accepted", func(_ http.ResponseWriter, r *http.Request) { read(r) }, 200, true, ""},
		{"answered unread", func(http.ResponseWriter, *http.Request) {}, 200, false, "before the body was taken"},
		{"refused", func(w http.ResponseWriter, r *http.Request) {
			read(r)
			http.Error(w, "the disk is full", http.StatusServiceUnavailable)
		}, 503, true, "the disk is full"},
		{"redirected", func(w http.ResponseWriter, r *http.Request) {
			read(r)
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, 307, true, "307"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.answer)
			defer server.Close()
			client := Client(10*time.Second, 1)
			defer client.CloseIdleConnections()
			r := Post(context.Background(), &client, server.URL, http.Header{}, []byte("a batch"))
			wrongReason := !strings.Contains(r.Reason, c.reason) || (r.Reason == "") != (c.reason == "")
			if r.Status != c.status || r.BodySent != c.sent || wrongReason {
				t.Errorf("%+v, want status %d, sent %t, reason %q", r, c.status, c.sent, c.reason)
			}
		})
	}
}
