// Package httpout posts what a receiver must not be believed to have before it has read it.
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

// continueWait is how long a receiver may take to say that it reads, before it is sent the body all the same.
const expectContinueTimeout = time.Second

// Client returns a client that follows no redirect: a body must not go where nobody said.
func Client(timeout time.Duration, conns int) http.Client {
	return http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: conns, IdleConnTimeout: 30 * time.Second,
		ExpectContinueTimeout: expectContinueTimeout},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Result is an answer.
type Result struct {
	Status     int // 0: none
	Header     http.Header
	RetryAfter time.Duration // 0: not told
	BodySent   bool          // the whole body was taken before the answer came
	Reason     string        // of what is no success
}

// watched tells whether all of a body was taken.
type trackedBody struct {
	bytes.Reader
	done atomic.Bool
}

func (w *trackedBody) Read(b []byte) (int, error) {
	n, err := w.Reader.Read(b)
	if w.Len() == 0 {
		w.done.Store(true)
	}
	return n, err
}

// Post sends a body with the headers given.
func Post(ctx context.Context, c *http.Client, url string, h http.Header, raw []byte) Result {
	body := &trackedBody{}
	body.Reset(raw)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return Result{Reason: err.Error()}
	}
	req.ContentLength = int64(len(raw))
	req.Header = h
	// A receiver that answers before it has read would else be believed: a small body fits into the sockets' buffers, and
	// nothing tells one that was read from one that was not. With this (RFC 9110 section 10.1.1) the body is only sent
	// once the receiver begins to read.
	req.Header.Set("Expect", "100-continue")
	res, err := c.Do(req)
	if err != nil {
		return Result{Reason: err.Error()}
	}
	whole := body.done.Load()
	said, _ := io.ReadAll(io.LimitReader(res.Body, 512))
	io.Copy(io.Discard, io.LimitReader(res.Body, 64<<10))
	res.Body.Close()
	r := Result{Status: res.StatusCode, Header: res.Header, RetryAfter: ParseRetryAfter(res.Header.Get("Retry-After"), time.Now()), BodySent: whole}
	if res.StatusCode >= 300 {
		r.Reason = fmt.Sprintf("%s: %s", res.Status, bytes.TrimSpace(said))
	} else if !whole {
		r.Reason = res.Status + ", before the body was taken"
	}
	return r
}

// RetryAfter reads the header (RFC 9110 section 10.2.3): seconds or a date.
func ParseRetryAfter(s string, now time.Time) time.Duration {
	if n, err := strconv.Atoi(s); err == nil && n >= 0 {
		return time.Duration(min(n, 1<<30)) * time.Second
	}
	if at, err := http.ParseTime(s); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}
