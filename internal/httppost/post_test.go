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

// A misread Retry-After value makes the sender retry too early or too late. Seconds and dates must be
// parsed, invalid values must count as zero, and huge values must not overflow.
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
			t.Errorf("Retry-After %q parsed as %v, want %v", c.header, got, c.want)
		}
	}
}

// A receiver that responds with 200 before it has read the body may lose the data. Such a response must not
// count as a success. Redirects must not be followed.
func TestPostReportsResult(t *testing.T) {
	read := func(r *http.Request) { io.Copy(io.Discard, r.Body) }
	for _, c := range []struct {
		name   string
		handle http.HandlerFunc
		status int
		sent   bool
		reason string
	}{
		{"accepted", func(_ http.ResponseWriter, r *http.Request) { read(r) }, 200, true, ""},
		{"response before the body is read", func(http.ResponseWriter, *http.Request) {}, 200, false,
			"response arrived before the body was sent"},
		{"rejected", func(w http.ResponseWriter, r *http.Request) {
			read(r)
			http.Error(w, "the disk is full", http.StatusServiceUnavailable)
		}, 503, true, "the disk is full"},
		{"redirected", func(w http.ResponseWriter, r *http.Request) {
			read(r)
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, 307, true, "307"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handle)
			defer server.Close()
			client := NewClient(10*time.Second, 1)
			defer client.CloseIdleConnections()
			r := Post(context.Background(), &client, server.URL, http.Header{}, []byte("a batch"))
			wrongReason := !strings.Contains(r.Reason, c.reason) || (r.Reason == "") != (c.reason == "")
			if r.Status != c.status || r.BodySent != c.sent || wrongReason {
				t.Errorf("got %+v, want status %d, sent %t, reason %q", r, c.status, c.sent, c.reason)
			}
		})
	}
}
