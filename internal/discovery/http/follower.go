package http

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	callTimeout     = 10 * time.Second // limit on one call, including the connection setup
	maxCalls        = 4                // maximum number of concurrent calls
	maxRetryBackoff = 400 * time.Millisecond
	// resumeWait is the duration of the long poll of a call that only requests missed changes.
	resumeWait   = 100 * time.Millisecond
	warnInterval = 5 * time.Second // minimum interval between two warnings during an outage
)

// follower is the state of a Watch while it runs. It belongs to the goroutine that executes Watch.Run. Each
// call runs in a goroutine of its own, which ends when the call has a result, after callTimeout, or when the
// call is cancelled. close waits for all of these goroutines.
//
// Discovery may be slow rather than unresponsive. A call that takes long therefore stays in flight while
// hedged calls are made, and the first complete response cancels all other calls. After a failure, the first
// call requests the changes since the last known version. Only if that fails too is the full list requested,
// because its size accounts for most of the cost of following the list.
type follower struct {
	opts Options
	ctx  context.Context
	addr string // host:port of discovery

	synced      bool          // a list was received from addr
	rev         uint64        // version of the last list
	respondedAt time.Time     // when the last valid response arrived
	retries     int           // calls made by hedge since the last valid response or call of setAddr
	backoff     time.Duration // pause after the next failure
	warnedAt    time.Time     // last warning; the zero time if there was none since the last valid response

	nextCall *time.Timer // fires when a hedged call, or a retry after a failure, is due
	inFlight []*call     // ordered by age with the oldest first
	results  chan result
	running  sync.WaitGroup // counts the goroutines of the calls
}

// newFollower returns a follower whose timer fires at once for the first call.
func newFollower(ctx context.Context, o Options, addr string) *follower {
	return &follower{
		opts:     o,
		ctx:      ctx,
		addr:     addr,
		backoff:  o.RetryBackoff,
		nextCall: time.NewTimer(0),
		results:  make(chan result),
	}
}

// close cancels all calls and waits for their goroutines. The context must have ended.
func (f *follower) close() {
	f.nextCall.Stop()
	f.cancelAll()
	f.running.Wait()
}

// start starts a call on the given connection, or on a new connection if it is nil.
func (f *follower) start(q query, connection *conn) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	c := &call{q, cancel}
	f.inFlight = append(f.inFlight, c)
	addr := f.addr
	f.running.Go(func() {
		defer cancel()
		r := execute(ctx, addr, c, connection)
		select {
		case f.results <- r:
		case <-ctx.Done():
			// The call was cancelled or timed out. In the latter case it is still in inFlight and needs a
			// result.
			select {
			case f.results <- result{call: c, err: ctx.Err()}:
			case <-f.ctx.Done():
			}
			r.closeConn()
		}
	})
}

// closeConn closes the connection of the result, if it has one.
func (r *result) closeConn() {
	if r.conn != nil {
		r.conn.nc.Close()
	}
}

// hedge starts another call in addition to those in flight, if there are any. If a list was received from
// addr, the first one after a valid response or a call of setAddr requests the missed changes. Every other
// one requests the full list.
func (f *follower) hedge() {
	if len(f.inFlight) == maxCalls {
		// The oldest call continues, because discovery may be slow. The second oldest is cancelled.
		f.inFlight[1].cancel()
		f.inFlight = slices.Delete(f.inFlight, 1, 2)
	}
	q := query{full: true}
	if f.synced && f.retries == 0 {
		q = query{from: f.rev, wait: resumeWait}
	}
	f.retries++
	f.start(q, nil)
	f.nextCall.Reset(f.opts.HedgeDelay)
}

// cancelAll cancels all calls in flight.
func (f *follower) cancelAll() {
	for _, c := range f.inFlight {
		c.cancel()
	}
	f.inFlight = nil
}

// setAddr starts to follow another address. If the address is unchanged, it only starts another call, which
// requests the missed changes.
func (f *follower) setAddr(addr string) {
	if addr != f.addr {
		f.cancelAll()
		f.backoff = f.opts.RetryBackoff
		f.addr, f.synced, f.warnedAt = addr, false, time.Time{}
	}
	f.retries = 0
	f.hedge()
}

// handle processes the result of a call.
func (f *follower) handle(r result) {
	i := slices.Index(f.inFlight, r.call)
	if i < 0 { // the call was cancelled
		r.closeConn()
		return
	}
	f.inFlight = slices.Delete(f.inFlight, i, i+1)
	if r.errors.n > 0 {
		f.opts.Log.Warn("Endpoint list has invalid entries", "addr", f.addr,
			"entries", r.errors.n, "first", r.errors.first)
	}
	if err := f.validate(r); err != nil {
		f.warn(err)
		r.closeConn()
		if len(f.inFlight) == 0 { // a pause, because immediate retries would add to the load of discovery
			f.nextCall.Reset(f.backoff)
			f.backoff = min(2*f.backoff, max(maxRetryBackoff, f.opts.RetryBackoff))
		}
		return
	}
	f.accept(r)
}

// accept applies a valid result. It starts the next call before it passes the list on: the sooner that call
// reaches discovery, the sooner the next change is known.
func (f *follower) accept(r result) {
	f.cancelAll()
	isNew := !f.synced || r.list.Full || r.list.Rev != f.rev || len(r.list.Targets) > 0
	f.synced, f.rev = true, r.list.Rev
	f.retries, f.backoff, f.warnedAt = 0, f.opts.RetryBackoff, time.Time{}
	f.start(query{from: f.rev, wait: f.opts.LongPoll}, r.conn)
	f.nextCall.Reset(f.opts.LongPoll + f.opts.ResponseGrace)
	sinceLast := time.Since(f.respondedAt)
	f.respondedAt = time.Now()
	if isNew {
		f.opts.OnList(r.list, sinceLast)
	}
}

// validate returns an error that states why a result cannot be used, or nil.
func (f *follower) validate(r result) error {
	switch {
	case r.err != nil:
		return r.err
	case r.call.full && !r.list.Full:
		return fmt.Errorf("discovery: rev %d: got a list of changes, want the full list", r.list.Rev)
	case !r.list.Full && r.list.Rev < r.call.from:
		f.synced = false // discovery was restarted and its versions begin again
		return fmt.Errorf("discovery: got rev %d, want at least %d or the full list", r.list.Rev, r.call.from)
	}
	return nil
}

// warn logs a failed call. During a long outage, it logs one failure per warnInterval.
func (f *follower) warn(err error) {
	if time.Since(f.warnedAt) > warnInterval {
		f.warnedAt = time.Now()
		f.opts.Log.Warn("Endpoint list cannot be followed, retrying", "addr", f.addr, "err", err)
	}
}
