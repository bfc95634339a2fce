package gateway

import (
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"winghatch/decide"
	"winghatch/internal/frontend"
	"winghatch/internal/testbed/tcpserver"
	"winghatch/internal/upstream"
	"winghatch/internal/upstream/http"
)

const (
	slowServer      = "slow"
	resettingServer = "resetting"
)

// hedgingCore sends two attempts of each request at once, and rejects it when both have ended.
type hedgingCore struct{ ended int }

func (c *hedgingCore) Handle(_ time.Duration, ev decide.Event) []decide.Action {
	switch ev := ev.(type) {
	case decide.Request:
		return []decide.Action{
			decide.Send{ID: ev.ID, Server: slowServer},
			decide.Send{ID: ev.ID, Server: resettingServer},
		}
	case decide.AttemptEnded:
		if c.ended++; c.ended == 2 {
			return []decide.Action{decide.Reject{ID: ev.ID, Reason: decide.ReasonAttemptsFailed}}
		}
	}
	return nil
}
func (*hedgingCore) Status() decide.Status   { return decide.Status{} }
func (*hedgingCore) Summary() decide.Summary { return decide.Summary{} }

// slowConnects is an HTTP pool whose connections to slowServer come up when the test passes their calls on.
type slowConnects struct {
	*http.Pool
	waiting chan *upstream.Call
}

func (s *slowConnects) Send(c *upstream.Call) {
	if c.Server == slowServer {
		s.waiting <- c
		return
	}
	s.Pool.Send(c)
}

// TestFirstAttemptIsNotWrittenAfterWindowOfSecond guards against a keyed request that runs twice: its first
// attempt waits for a connection, its second one runs at another server and is reset, and the connection of
// the first comes up after the servers have forgotten the key. The first attempt must not be written then,
// and the request must get its final answer nevertheless. Within the window the first attempt is written.
func TestFirstAttemptIsNotWrittenAfterWindowOfSecond(t *testing.T) {
	const window = 500 * time.Millisecond
	for _, c := range []struct {
		waited time.Duration
		writes int64
	}{{window / 2, 1}, {window, 0}} {
		var now, slowRuns, resetRuns atomic.Int64
		now.Store(int64(time.Hour))
		serve := func(runs *atomic.Int64) func(net.Conn) {
			return func(nc net.Conn) {
				if n, _ := io.ReadFull(nc, make([]byte, 1)); n > 0 {
					runs.Add(1)
				}
			}
		}
		pool := http.New(http.Options{DialTimeout: 10 * time.Second, MaxConns: 4})
		pool.Update([]http.Server{
			{ID: slowServer, Addr: tcpserver.Start(t, serve(&slowRuns))},
			{ID: resettingServer, Addr: tcpserver.Start(t, serve(&resetRuns))},
		}, true)
		up := &slowConnects{pool, make(chan *upstream.Call, 1)}
		cfg := decide.Config{
			Limits:  decide.Limits{MaxAttempts: 2, Hedging: true},
			Classes: []decide.Class{{Name: "put", Idempotency: decide.IdempotentByKey, DedupWindow: window}},
		}
		clock := func() time.Duration { return time.Duration(now.Load()) }
		l := NewLoop(cfg, &hedgingCore{}, clock, up, nil, nil, slog.New(slog.DiscardHandler))
		l.SetMaxOpenRequests(1)
		go l.Run()
		answers := make(chan frontend.Response, 2)
		l.Submit(&frontend.Request{ID: "a", Class: "put", Deadline: clock() + time.Minute,
			EncodeAttempt: func(int, time.Duration) []byte { return []byte("x") }, Done: func(r frontend.Response) { answers <- r }})
		first := <-up.waiting
		outcome := ""
		for deadline := time.Now().Add(20 * time.Second); outcome == "" && time.Now().Before(deadline); {
			l.Do(func() { outcome = l.requests["a"].attempts[1].outcome })
		}
		if outcome != outcomeNames[decide.OutcomeReset] || resetRuns.Load() != 1 {
			t.Fatalf("second attempt: outcome %q, %d runs, want reset and 1", outcome, resetRuns.Load())
		}
		now.Add(int64(c.waited))
		pool.Send(first)
		select {
		case r := <-answers:
			if r.Kind != frontend.Rejected {
				t.Errorf("after %v: answer %v, want rejected", c.waited, r.Kind)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("after %v: no final answer", c.waited)
		}
		if n := slowRuns.Load(); n != c.writes {
			t.Errorf("after %v: the first attempt was written %d times, want %d", c.waited, n, c.writes)
		}
		l.Stop()
		pool.Close()
	}
}
