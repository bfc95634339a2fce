// Package httppost posts data that must not count as received before the receiver has read it: it sends
// "Expect: 100-continue", and reports whether all of the body was sent before the answer came.
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
	// expectContinueTimeout is how long a receiver may take for its 100 Continue. Then the body is sent all the same:
	// some receivers do not know the expectation.
	expectContinueTimeout = time.Second
	// idleConnTimeout is how long an unused connection is kept.
	idleConnTimeout = 30 * time.Second
	// maxReasonBytes is how much of an answer is part of Result.Reason.
	maxReasonBytes = 512
	// maxDiscardBytes is how much of an answer is read, beyond that, to use the connection again.
	maxDiscardBytes = 64 << 10
	// maxRetryAfterSeconds keeps a Retry-After within a Duration.
	maxRetryAfterSeconds = 1 << 30
)

// Client returns a client whose requests end after a timeout, and which keeps so many unused connections to a host. It
// follows no redirect: data must not go where no setting sends it.
func Client(timeout time.Duration, idleConns int) http.Client {
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

// Result is the answer to a Post.
type Result struct {
	Status     int // HTTP status; 0: there was no answer
	Header     http.Header
	RetryAfter time.Duration // 0: not given
	BodySent   bool          // all of the body was sent before the answer came
	Reason     string        // why it is no success; empty if it is one
}

// trackedBody knows whether all of it was read.
type trackedBody struct {
	bytes.Reader
	done atomic.Bool
}

// Read reads what is to be sent.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.Len() == 0 {
		b.done.Store(true)
	}
	return n, err
}

// Post sends a body with headers, to which it adds Expect.
//
// Without Expect the answer of a receiver that has not read the body would count: a small body fits into the sockets'
// buffers, where one that was read can't be distinguished from one that was not. With it (RFC 9110 section 10.1.1) the
// body is only sent once the receiver begins to read, or after expectContinueTimeout.
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
		r.Reason = res.Status + ", before the body was taken"
	}
	return r
}

// parseRetryAfter reads the header of that name (RFC 9110 section 10.2.3), in seconds or as a date; 0: it is neither,
// or the date is past.
func parseRetryAfter(s string, now time.Time) time.Duration {
	if n, err := strconv.Atoi(s); err == nil && n >= 0 {
		return time.Duration(min(n, maxRetryAfterSeconds)) * time.Second
	}
	if at, err := http.ParseTime(s); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}
