// Package http follows the endpoint list of the platform's discovery service over HTTP/1.1. It requests the
// full list once and then the changes by long polling. It validates the lists but makes no decisions about
// servers; package decide does.
//
// The list and its validation are in list.go, its decoding in decode.go, a single call in call.go, the
// decision about the next call in watch.go and follower.go, and the estimation of start times in
// starttimes.go.
package http

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"
)

// Options configure a Watch. OnList and Log are required. MaxStaleness explains how the durations combine.
type Options struct {
	// OnList is called with each received list, except for responses without changes, and with the time since
	// the previous response of discovery. Run calls it and waits until it returns.
	OnList func(list *List, sinceLast time.Duration)
	// Log receives warnings about failed calls and invalid lists.
	Log *slog.Logger

	// LongPoll is the time for which discovery holds a call while there is no change. With a longer one,
	// fewer calls are made, but an unresponsive discovery is detected later. Zero means 2 s.
	LongPoll time.Duration
	// ResponseGrace is the time for which the response to a long poll may exceed LongPoll before a hedged
	// call is made. Zero means 500 ms.
	ResponseGrace time.Duration
	// HedgeDelay is the time that any other call may take before a hedged call is made. Zero means 750 ms.
	HedgeDelay time.Duration
	// RetryBackoff is the pause after the first failure. It doubles with each further failure up to
	// maxRetryBackoff; a value above that stays constant. Zero means 100 ms.
	RetryBackoff time.Duration
}

// Defaults of the durations in Options.
const (
	defaultLongPoll      = 2 * time.Second
	defaultResponseGrace = 500 * time.Millisecond
	defaultHedgeDelay    = 750 * time.Millisecond
	defaultRetryBackoff  = 100 * time.Millisecond
)

// withDefaults returns the options with the default in place of each duration that is zero.
func (o Options) withDefaults() Options {
	o.LongPoll = cmp.Or(o.LongPoll, defaultLongPoll)
	o.ResponseGrace = cmp.Or(o.ResponseGrace, defaultResponseGrace)
	o.HedgeDelay = cmp.Or(o.HedgeDelay, defaultHedgeDelay)
	o.RetryBackoff = cmp.Or(o.RetryBackoff, defaultRetryBackoff)
	return o
}

// MaxStaleness returns the maximum time between the moment when discovery stops responding and the third call
// after that, if the two calls in between get no response either. A change has to be known at the latest 6 s
// after discovery stopped responding, or 2 s after the end of a long poll if that is later. The part of this
// time that remains after MaxStaleness is available for a slow response to the third call.
func (o Options) MaxStaleness() time.Duration {
	o = o.withDefaults()
	return o.LongPoll + o.ResponseGrace + 2*o.HedgeDelay
}

// Watch follows the endpoint list at an address that can be changed. Create it with New.
type Watch struct {
	opts    Options
	mu      sync.Mutex
	addr    string        // guarded by mu
	addrSet chan struct{} // signals a call of SetAddr; has a buffer of one
}

// New returns a watch of discovery at the address host:port. Run starts it.
func New(addr string, o Options) *Watch {
	return &Watch{opts: o.withDefaults(), addr: addr, addrSet: make(chan struct{}, 1)}
}

// SetAddr makes the watch follow discovery at another address, host:port. If the address is unchanged, the
// watch immediately requests the changes since the last list. SetAddr never blocks and is safe for concurrent
// use.
func (w *Watch) SetAddr(addr string) {
	w.mu.Lock()
	w.addr = addr
	w.mu.Unlock()
	select {
	case w.addrSet <- struct{}{}:
	default:
	}
}

// currentAddr returns the address that was set last.
func (w *Watch) currentAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Run follows the list until the context ends. It returns after all of its calls have ended.
func (w *Watch) Run(ctx context.Context) {
	f := newFollower(ctx, w.opts, w.currentAddr())
	defer f.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.addrSet:
			f.setAddr(w.currentAddr())
		case <-f.nextCall.C:
			f.hedge()
		case r := <-f.results:
			f.handle(r)
		}
	}
}
