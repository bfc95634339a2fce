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

// held keeps the attempts that it is to carry.
type held struct{ sent chan *upstream.Call }

func (h *held) Send(c *upstream.Call) { h.sent <- c }
func (h *held) Abandon(c *upstream.Call) upstream.AbandonResult {
	return c.Abandon()
}
func (h *held) CloseIdle(string) {}

var unbounded atomic.Bool // the attempts have no window

// sends is a core that sends each request on, its attempt to be written within 200 ms where it has a window.
type sends struct{}

func (sends) Handle(now time.Duration, ev decide.Event) []decide.Action {
	if r, ok := ev.(decide.Request); ok {
		s := decide.Send{ID: r.ID, Server: "s", Timeout: 500 * time.Millisecond}
		if !unbounded.Load() {
			s.WriteBefore = now + 200*time.Millisecond
		}
		return []decide.Action{s}
	}
	return nil
}
func (sends) Status() decide.Status { return decide.Status{} }

// What an attempt tells its server, and whether it may leave at all, is settled when it is written, not when it was
// decided: connecting takes time.
func TestAttemptsAreFormedAtTheirWrite(t *testing.T) {
	var now atomic.Int64
	now.Store(int64(time.Hour))
	h := &held{sent: make(chan *upstream.Call, 10)}
	l := NewLoop(decide.Config{Limits: decide.Limits{MaxAttempts: 3}}, sends{}, func() time.Duration { return time.Duration(now.Load()) }, h, nil, nil,
		slog.New(slog.DiscardHandler))
	l.SetMaxOpenRequests(10)
	go l.Run()
	t.Cleanup(l.Stop)
	var left atomic.Bool
	ask := func(id string) *upstream.Call {
		l.Submit(&frontend.Request{ID: id, Deadline: time.Duration(now.Load()) + 400*time.Millisecond, ClientGone: left.Load, Done: func(frontend.Response) {},
			EncodeAttempt: func(_ int, left time.Duration) []byte { return fmt.Append(nil, left.Milliseconds()) }})
		return <-h.sent
	}
	c := ask("a")
	now.Add(int64(150 * time.Millisecond))
	if got := c.BuildParams(); !bytes.Equal(got, []byte("250")) || c.Cancelled() {
		t.Errorf("written 150 ms after its decision it tells %s ms, late %t, want 250 and false", got, c.Cancelled())
	}
	now.Add(int64(50 * time.Millisecond))
	if !c.Cancelled() {
		t.Error("it may be written behind its window")
	}
	unbounded.Store(true)
	c = ask("c")
	if now.Add(int64(399 * time.Millisecond)); c.Cancelled() || string(c.BuildParams()) != "1" {
		t.Errorf("with a millisecond left it tells %s, late %t, want 1 and false", c.BuildParams(), c.Cancelled())
	}
	if now.Add(1); !c.Cancelled() {
		t.Error("it may be written with less left than can be told")
	}
	c = ask("b")
	if c.Cancelled() {
		t.Error("a new one is late")
	}
	if left.Store(true); !c.Cancelled() {
		t.Error("it may be written for a client that has gone")
	}
}
