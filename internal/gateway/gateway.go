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
	// handOverTimeout is how long a draining gateway offers its reserved units to other gateways.
	handOverTimeout = 500 * time.Millisecond
	// sessionCloseTimeout is how long a draining gateway waits for the last answers to be written and the
	// sessions to close.
	sessionCloseTimeout = time.Second
	// drainPollInterval is the interval at which a draining gateway checks for open requests and sessions.
	drainPollInterval = 2 * time.Millisecond
)

// clockOrigin is the reading of the clock at the start of the process. It is not 0 because a server may have
// started before the gateway: its start time must still be positive, as the core takes a start time of 0 to
// mean long ago.
const clockOrigin = 24 * time.Hour

// Clock is the monotonic clock of a process.
type Clock struct{ startedAt time.Time }

// NewClock returns a clock that reads clockOrigin, one day, at the time of the call.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time since the origin of the clock, which lies one day before the call to NewClock.
func (c Clock) Now() time.Duration { return clockOrigin + time.Since(c.startedAt) }

// unixNanos returns the wall-clock time in nanoseconds of Unix time. It is used for times that are written to
// disk.
func unixNanos() int64 { return time.Now().UnixNano() }

// Options configures a gateway beyond the settings of its fleet.
type Options struct {
	// Rank is the index of the gateway in the settings of the fleet.
	Rank int

	// Seed is the seed of random choices; 0 means that it is derived from the start time.
	Seed int64
	// Recording receives the events and actions of the core; nil disables recording.
	Recording io.Writer
	// Log receives log lines; nil discards them.
	Log *slog.Logger

	// The fields below are for tests.
	FS        wal.FS // nil means the disk
	Core      Core   // nil means the core of package decide
	TestHooks TestHooks
}

// Gateway is a running gateway. Start starts its goroutines; Stop ends them in the order that it documents.
type Gateway struct {
	fleet       *config.Fleet
	rank        int
	log         *slog.Logger
	clock       Clock
	incarnation int64 // start time in nanoseconds of Unix time

	loop     *Loop
	frontend *frontendws.Server
	upstream *upstreamws.Pool
	peers    *gossip.Transport // nil if gossip is disabled
	control  *http.Server      // nil if no state address is configured

	remoteWriter     *remotewrite.Writer // nil if metrics are not sent by remote write
	stopRemoteWriter context.CancelFunc
	remoteWriterDone chan struct{}

	stop context.CancelFunc // cancels the context of the goroutines that take one
	wg   sync.WaitGroup     // counts the goroutines started by spawn
}

// Drain shuts the gateway down gracefully: it accepts no new requests, waits until every open request has its
// final answer, and stops the gateway. The wait is bounded by the longest deadline of a class plus
// Safety.AnswerSlack.
func (g *Gateway) Drain() {
	g.frontend.Drain()
	var longest time.Duration
	for _, class := range g.fleet.Decide.Classes {
		longest = max(longest, class.Deadline)
	}
	waitUntil(longest+g.fleet.Decide.Safety.AnswerSlack,
		func() bool { return g.loop.OpenRequests.Load() <= 0 })
	// Reserved units that no other gateway takes stay on disk for the next incarnation.
	handedOver := make(chan struct{})
	if g.loop.Do(func() { g.loop.plans.handOver(handedOver) }) {
		select {
		case <-handedOver:
		case <-time.After(handOverTimeout):
		}
	}
	// The remote writer gathers its last samples from the loop, so it must finish before Stop.
	if g.remoteWriter != nil {
		g.stopRemoteWriter()
		<-g.remoteWriterDone
	}
	waitUntil(sessionCloseTimeout, func() bool { return g.frontend.SessionCount() <= 0 })
	g.Stop()
}

// waitUntil polls done until it returns true or the timeout has passed.
func waitUntil(timeout time.Duration, done func() bool) {
	deadline := time.Now().Add(timeout)
	for !done() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// Stop ends the gateway at once. It stops the sources of input before the components that handle the input:
// the goroutines with a context, the frontend, gossip, the control API, the loop, and the connections to
// servers. It then waits for all goroutines and closes the logs, which only these goroutines write to.
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

// closeLogs closes the logs and the tracer of the loop, as far as Start has opened them.
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
