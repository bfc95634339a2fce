package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"winghatch/internal/config"
	frontendws "winghatch/internal/frontend/websocket"
	"winghatch/internal/gossip"
	"winghatch/internal/remotewrite"
	upstreamws "winghatch/internal/upstream/websocket"
	"winghatch/internal/wal"
)

const (
	// handOverTimeout is how long a draining gateway offers its reserved units to others.
	handOverTimeout = 500 * time.Millisecond
	// sessionCloseTimeout is how long it waits for the last answers to be written and the sessions to close.
	sessionCloseTimeout = time.Second
	// drainPollInterval is how often it looks whether open requests and sessions have ended.
	drainPollInterval = 2 * time.Millisecond
)

// clockOrigin is what the clock shows at the start of the process. It is not 0, so that the start of a server some time
// before the gateway's own has a time of its own: to the core 0 means long ago.
const clockOrigin = 24 * time.Hour

// Clock is the monotonic clock of a process.
type Clock struct{ startedAt time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time since the clock's origin, which is a day before NewClock.
func (c Clock) Now() time.Duration { return clockOrigin + time.Since(c.startedAt) }

// unixNanos is the wall clock of what is written to disk: nanoseconds of Unix time.
func unixNanos() int64 { return time.Now().UnixNano() }

// Options are what a gateway needs beside the fleet's settings.
type Options struct {
	Rank      int
	Seed      int64        // of random choices; 0: from the time
	Recording io.Writer    // of the core's events and actions; nil: nothing is recorded
	Log       *slog.Logger // nil: nothing is logged

	// For tests.
	FS        wal.FS // nil: the disk
	Core      Core   // nil: that of package decide
	TestHooks TestHooks
}

// Gateway is a running gateway. Start starts its goroutines, Stop ends them in the order that is documented there.
type Gateway struct {
	fleet       *config.Fleet
	rank        int
	log         *slog.Logger
	clock       Clock
	incarnation int64 // nanoseconds of Unix time at the start

	loop     *Loop
	frontend *frontendws.Server
	upstream *upstreamws.Pool
	peers    *gossip.Transport // nil: without gossip
	control  *http.Server      // nil: without a state address

	remoteWriter     *remotewrite.Writer // nil: metrics are not sent
	stopRemoteWriter context.CancelFunc
	remoteWriterDone chan struct{}

	stop context.CancelFunc // ends the goroutines that take a context
	wg   sync.WaitGroup     // of all goroutines that run started
}

// Drain ends a gateway gracefully: it takes no new requests, waits until all open ones have their final answer, which
// their deadlines bound, and stops.
func (g *Gateway) Drain() {
	g.frontend.Drain()
	var longest time.Duration
	for _, class := range g.fleet.Decide.Classes {
		longest = max(longest, class.Deadline)
	}
	waitUntil(longest+g.fleet.Decide.Safety.AnswerSlack, func() bool { return g.loop.OpenRequests.Load() <= 0 })
	// Reserved units that no other gateway takes stay on disk for the next incarnation.
	handedOver := make(chan struct{})
	if g.loop.Do(func() { g.loop.plans.handOver(handedOver) }) {
		select {
		case <-handedOver:
		case <-time.After(handOverTimeout):
		}
	}
	// The last samples are gathered from the loop's state, so this has to precede Stop.
	if g.remoteWriter != nil {
		g.stopRemoteWriter()
		<-g.remoteWriterDone
	}
	waitUntil(sessionCloseTimeout, func() bool { return g.frontend.SessionCount() <= 0 })
	g.Stop()
}

func waitUntil(timeout time.Duration, done func() bool) {
	deadline := time.Now().Add(timeout)
	for !done() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// Stop ends everything at once, what brings inputs before what handles them: the goroutines with a context, the front
// end, gossip, the control API, the loop, the connections to servers; then it waits for all goroutines and closes the
// logs, which only they write to.
func (g *Gateway) Stop() {
	g.stop()
	g.frontend.Close()
	if g.peers != nil {
		g.peers.Close()
	}
	if g.control != nil {
		g.control.Close()
	}
	g.loop.Stop()
	g.upstream.Close()
	g.wg.Wait()
	g.closeLogs()
}

// closeLogs closes what the loop writes to, as far as Start opened it.
func (g *Gateway) closeLogs() {
	l := g.loop
	if l == nil {
		return
	}
	if l.plans != nil {
		l.plans.close()
	}
	if l.usage != nil {
		l.usage.close()
	}
	if l.tracer != nil {
		l.tracer.close()
	}
}
