package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/frontend"
	"winghatch/internal/upstream"
)

// holdingUpstream passes the calls that it receives to the test instead of sending them.
type holdingUpstream struct{ sent chan *upstream.Call }

func (h *holdingUpstream) Send(c *upstream.Call) { h.sent <- c }
func (h *holdingUpstream) Abandon(c *upstream.Call) upstream.AbandonResult {
	return c.Abandon()
}

// noWriteBound removes the write bound from the attempts of sendingCore.
var noWriteBound atomic.Bool

// sendingCore dispatches one attempt for each request. The attempt must be written within 200 ms unless
// noWriteBound is set.
type sendingCore struct{}

func (sendingCore) Handle(now time.Duration, ev decide.Event) []decide.Action {
	if r, ok := ev.(decide.Request); ok {
		s := decide.Send{ID: r.ID, Server: "s", Timeout: 500 * time.Millisecond}
		if !noWriteBound.Load() {
			s.WriteBefore = now + 200*time.Millisecond
		}
		return []decide.Action{s}
	}
	return nil
}
func (sendingCore) Status() decide.Status   { return decide.Status{} }
func (sendingCore) Summary() decide.Summary { return decide.Summary{} }

// TestAttemptParamsAreBuiltAtWrite guards against servers that are told an outdated remaining time, and
// against attempts that are written too late. Both can happen because connecting takes time between the
// decision for an attempt and its write. The test advances the clock in between: the server must be told the
// time that is left at the write, and nothing may be written after the write bound, without time left, or for
// a client that has disconnected.
func TestAttemptParamsAreBuiltAtWrite(t *testing.T) {
	var now atomic.Int64
	now.Store(int64(time.Hour))
	h := &holdingUpstream{sent: make(chan *upstream.Call, 10)}
	clock := func() time.Duration { return time.Duration(now.Load()) }
	cfg := decide.Config{Limits: decide.Limits{MaxAttempts: 3}}
	l := NewLoop(cfg, sendingCore{}, clock, h, nil, nil, slog.New(slog.DiscardHandler))
	l.SetMaxOpenRequests(10)
	go l.Run()
	t.Cleanup(l.Stop)
	var clientGone atomic.Bool
	submit := func(id string) *upstream.Call {
		l.Submit(&frontend.Request{
			ID:         id,
			Deadline:   clock() + 400*time.Millisecond,
			ClientGone: clientGone.Load,
			Done:       func(frontend.Response) {},
			EncodeAttempt: func(_ int, timeLeft time.Duration) []byte {
				return fmt.Append(nil, timeLeft.Milliseconds())
			},
		})
		return <-h.sent
	}
	c := submit("a")
	now.Add(int64(150 * time.Millisecond))
	if got := c.BuildParams(); !bytes.Equal(got, []byte("250")) || c.Cancelled() {
		t.Errorf("150 ms after the decision the timeout is %s ms, cancelled %t, want 250 and false",
			got, c.Cancelled())
	}
	now.Add(int64(50 * time.Millisecond))
	if !c.Cancelled() {
		t.Error("attempt is not cancelled after its write bound")
	}
	noWriteBound.Store(true)
	t.Cleanup(func() { noWriteBound.Store(false) })
	c = submit("c")
	if now.Add(int64(399 * time.Millisecond)); c.Cancelled() || string(c.BuildParams()) != "1" {
		t.Errorf("with 1 ms left the timeout is %s ms, cancelled %t, want 1 and false",
			c.BuildParams(), c.Cancelled())
	}
	if now.Add(1); !c.Cancelled() {
		t.Error("attempt is not cancelled with less than 1 ms left")
	}
	c = submit("b")
	if c.Cancelled() {
		t.Error("new attempt is cancelled")
	}
	if clientGone.Store(true); !c.Cancelled() {
		t.Error("attempt is not cancelled after its client disconnected")
	}
}
