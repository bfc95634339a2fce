// Package http follows the endpoint list of the platform's discovery over HTTP/1.1: once the full list, then the
// changes by long polls. It checks what it reads and judges no server.
//
// Files: list.go has the list and its checks, decode.go reads it, call.go makes one call, watch.go and follower.go
// decide which call comes next, starttimes.go estimates when servers started.
package http

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"
)

// Options of a Watch. The times of the zero value are the defaults; MaxStaleness says how they add up.
type Options struct {
	// OnList is called with each list that is new, and the time since discovery last answered before it. It is
	// called by Run, which goes on when it returns.
	OnList func(list *List, silence time.Duration)
	Log    *slog.Logger

	// LongPoll is how long a call waits at discovery for a change. Longer polls cost fewer calls and let a silent
	// discovery go unnoticed for longer. Zero: 2 s.
	LongPoll time.Duration
	// ResponseGrace is how much longer the response to a long poll may take before another call is made beside it.
	// Zero: 500 ms.
	ResponseGrace time.Duration
	// HedgeDelay is how long a call without a long poll may take before another one is made beside it. Zero: 750 ms.
	HedgeDelay time.Duration
	// RetryBackoff is the pause after a failure; it doubles up to maxRetryBackoff, or is constant where it is longer
	// than that. Zero: 100 ms.
	RetryBackoff time.Duration
}

const (
	defaultLongPoll      = 2 * time.Second
	defaultResponseGrace = 500 * time.Millisecond
	defaultHedgeDelay    = 750 * time.Millisecond
	defaultRetryBackoff  = 100 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.LongPoll = cmp.Or(o.LongPoll, defaultLongPoll)
	o.ResponseGrace = cmp.Or(o.ResponseGrace, defaultResponseGrace)
	o.HedgeDelay = cmp.Or(o.HedgeDelay, defaultHedgeDelay)
	o.RetryBackoff = cmp.Or(o.RetryBackoff, defaultRetryBackoff)
	return o
}

// MaxStaleness is the longest time from when discovery falls silent to the third call after that, where two calls in
// between find no answer either. A change has to be known 6 s after the silence began at the latest, or 2 s after a
// long poll ends if that is later. What is left of that after MaxStaleness is for a discovery that is slow to answer.
func (o Options) MaxStaleness() time.Duration {
	o = o.withDefaults()
	return o.LongPoll + o.ResponseGrace + 2*o.HedgeDelay
}

// Watch follows the list at one address after the other. Make it with New.
type Watch struct {
	opts  Options
	mu    sync.Mutex
	addr  string
	moved chan struct{} // has room for one; SetAddr was called
}

// New returns a watch of an address, host:port. Run starts it.
func New(addr string, o Options) *Watch {
	return &Watch{opts: o.withDefaults(), addr: addr, moved: make(chan struct{}, 1)}
}

// SetAddr follows another address from now on; the same address is asked at once for what is new. It never blocks and
// is safe for concurrent use.
func (w *Watch) SetAddr(addr string) {
	w.mu.Lock()
	w.addr = addr
	w.mu.Unlock()
	select {
	case w.moved <- struct{}{}:
	default:
	}
}

func (w *Watch) currentAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Run follows the list until the context ends, and then waits for its calls.
func (w *Watch) Run(ctx context.Context) {
	f := newFollower(ctx, w.opts, w.currentAddr())
	defer f.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.moved:
			f.setAddr(w.currentAddr())
		case <-f.nextCall.C:
			f.hedge()
		case r := <-f.results:
			f.handle(r)
		}
	}
}
