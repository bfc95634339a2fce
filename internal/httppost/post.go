// Package httppost sends HTTP POST requests whose data must not count as delivered unless the receiver has
// read it. A receiver may respond without reading the body, even with a success status. Post therefore sends
// "Expect: 100-continue" and reports whether the whole body was sent before the response arrived.
package httppost

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// expectContinueTimeout is the maximum time to wait for 100 Continue. After it the body is sent anyway
	// because some receivers do not support the Expect header.
	expectContinueTimeout = time.Second
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 30 * time.Second
	// maxReasonBytes is the maximum number of bytes of a response body that Result.Reason contains.
	maxReasonBytes = 512
	// maxDiscardBytes is the maximum number of further bytes of a response body that are read and
	// discarded, so that the connection can be reused.
	maxDiscardBytes = 64 << 10
	// maxRetryAfterSeconds limits the Retry-After value so that it does not overflow a time.Duration.
	maxRetryAfterSeconds = 1 << 30
)

// NewClient returns an HTTP client for Post. timeout limits each request including reading the response;
// zero means no timeout. idleConns is the maximum number of idle connections per host; zero means
// http.DefaultMaxIdleConnsPerHost. The client does not follow redirects because data must only be sent to
// the configured address.
func NewClient(timeout time.Duration, idleConns int) http.Client {
	return http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost:   idleConns,
			IdleConnTimeout:       idleConnTimeout,
			ExpectContinueTimeout: expectContinueTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Result is the result of Post.
type Result struct {
	// Status is the HTTP status. Zero means that there was no response.
	Status int
	// Header is the header of the response. It is nil if there was no response.
	Header http.Header
	// RetryAfter is the delay of the Retry-After header. Zero means that the header is missing or invalid,
	// or that the date in it has passed.
	RetryAfter time.Duration
	// BodySent reports whether the whole body was sent before the response arrived.
	BodySent bool
	// Reason states why the post failed. It is empty if the status is below 300 and the body was sent.
	Reason string
}

// trackedBody is a request body that records whether it was read to its end.
type trackedBody struct {
	bytes.Reader
	done atomic.Bool
}

// Read implements io.Reader. The HTTP transport calls it to send the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.Len() == 0 {
		b.done.Store(true)
	}
	return n, err
}

// Post sends content to url with the fields in header, which must not be nil. It adds the field Expect to
// header.
//
// Without Expect, a response from a receiver that has not read the body would count as a success: a small
// body fits into the socket buffers, so the sender cannot tell whether it was read. With Expect (RFC 9110,
// section 10.1.1), the body is only sent once the receiver starts to read it, or after
// expectContinueTimeout.
func Post(ctx context.Context, c *http.Client, url string, header http.Header, content []byte) Result {
	body := &trackedBody{}
	body.Reset(content)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return Result{Reason: err.Error()}
	}
	req.ContentLength = int64(len(content))
	req.Header = header
	req.Header.Set("Expect", "100-continue")
	res, err := c.Do(req)
	if err != nil {
		return Result{Reason: err.Error()}
	}
	defer res.Body.Close()
	sent := body.done.Load()
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxReasonBytes))
	io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardBytes))
	r := Result{
		Status:     res.StatusCode,
		Header:     res.Header,
		RetryAfter: parseRetryAfter(res.Header.Get("Retry-After"), time.Now()),
		BodySent:   sent,
	}
	if res.StatusCode >= 300 {
		r.Reason = fmt.Sprintf("%s: %s", res.Status, bytes.TrimSpace(text))
	} else if !sent {
		r.Reason = res.Status + ": response arrived before the body was sent"
	}
	return r
}

// parseRetryAfter parses the value of a Retry-After header (RFC 9110, section 10.2.3), which is a number of
// seconds or a date. It returns zero if the value is neither, or if the date has passed.
func parseRetryAfter(s string, now time.Time) time.Duration {
	if n, err := strconv.Atoi(s); err == nil && n >= 0 {
		return time.Duration(min(n, maxRetryAfterSeconds)) * time.Second
	}
	if at, err := http.ParseTime(s); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}
