package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/front"
	"winghatch/upstream"
)

// held keeps the attempts that it is to carry.
type held struct{ sent chan *upstream.Call }

func (h *held) Send(c *upstream.Call) { h.sent <- c }
func (h *held) Abandon(c *upstream.Call) upstream.Given {
	return c.GiveUp()
}
func (h *held) CloseIdle(string) {}

// sends is a core that sends each request on, its attempt to be written within 200 ms.
type sends struct{}

func (sends) Handle(now time.Duration, ev decide.Event) []decide.Action {
	if r, ok := ev.(decide.Request); ok {
		return []decide.Action{decide.Send{ID: r.ID, Server: "s", Timeout: 500 * time.Millisecond, Before: now + 200*time.Millisecond}}
	}
	return nil
}
func (sends) View() decide.View { return decide.View{} }

// What an attempt tells its server, and whether it may leave at all, is settled when it is written, not when it was
// decided: connecting takes time.
func TestAttemptsAreFormedAtTheirWrite(t *testing.T) {
	var now atomic.Int64
	now.Store(int64(time.Hour))
	h := &held{sent: make(chan *upstream.Call, 10)}
	l := NewLoop(decide.Config{Limits: decide.Limits{MaxAttempts: 3}}, sends{}, func() time.Duration { return time.Duration(now.Load()) }, h, nil, nil,
		slog.New(slog.DiscardHandler))
	l.Limit(10)
	go l.Run()
	t.Cleanup(l.Stop)
	var left atomic.Bool
	ask := func(id string) *upstream.Call {
		l.Call(&front.Call{ID: id, Deadline: time.Duration(now.Load()) + 400*time.Millisecond, Left: left.Load, Done: func(front.Final) {},
			Form: func(_ int, left time.Duration) []byte { return fmt.Append(nil, left.Milliseconds()) }})
		return <-h.sent
	}
	c := ask("a")
	now.Add(int64(150 * time.Millisecond))
	if got := c.Form(); !bytes.Equal(got, []byte("250")) || c.Late() {
		t.Errorf("written 150 ms after its decision it tells %s ms, late %t, want 250 and false", got, c.Late())
	}
	now.Add(int64(50 * time.Millisecond))
	if !c.Late() {
		t.Error("it may be written behind its window")
	}
	c = ask("b")
	if c.Late() {
		t.Error("a new one is late")
	}
	if left.Store(true); !c.Late() {
		t.Error("it may be written for a client that has gone")
	}
}
