package http

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	callTimeout     = 10 * time.Second // of one call, its connection included
	maxCalls        = 4                // at once
	maxRetryBackoff = 400 * time.Millisecond
	// resumeWait is the long poll of a call that only asks what was missed.
	resumeWait   = 100 * time.Millisecond
	warnInterval = 5 * time.Second // between two warnings of an outage
)

// follower is the state of a watch, owned by the goroutine of Watch.Run. Each call runs in a goroutine of its own,
// which ends with a result, at callTimeout or by its cancel; close waits for all of them.
//
// A slow discovery is not a silent one: a call that takes long stays open while others are made beside it, and the
// first complete response ends the others. After a failure the changes since the last version are asked for; only if
// that fails as well the full list is, as its size is most of what following costs.
type follower struct {
	opts Options
	ctx  context.Context
	addr string

	synced     bool // a list was received from addr
	rev        uint64
	answeredAt time.Time     // when the last response arrived
	retries    int           // calls made since then, beyond the one that it led to
	backoff    time.Duration // after the next failure
	warnedAt   time.Time     // zero: not since the last response

	nextCall *time.Timer // for a call beside those in flight, or after a failure
	inFlight []*call     // the oldest first
	results  chan result
	running  sync.WaitGroup // calls' goroutines
}

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

// close ends all calls and waits for them; the context has ended.
func (f *follower) close() {
	f.nextCall.Stop()
	f.cancelAll()
	f.running.Wait()
}

// start makes a call, on a connection if there is one.
func (f *follower) start(q query, cn *conn) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	c := &call{q, cancel}
	f.inFlight = append(f.inFlight, c)
	addr := f.addr
	f.running.Go(func() {
		defer cancel()
		r := execute(ctx, addr, c, cn)
		select {
		case f.results <- r:
		case <-ctx.Done():
			// It was cancelled, or timed out; in the latter case Run still has it in flight.
			select {
			case f.results <- result{call: c, err: ctx.Err()}:
			case <-f.ctx.Done():
			}
			r.closeConn()
		}
	})
}

func (r *result) closeConn() {
	if r.conn != nil {
		r.conn.nc.Close()
	}
}

// hedge makes a call beside those that have no response yet.
func (f *follower) hedge() {
	if len(f.inFlight) == maxCalls {
		// The oldest call stays, as discovery may be slow; the oldest of the others is cancelled.
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

func (f *follower) cancelAll() {
	for _, c := range f.inFlight {
		c.cancel()
	}
	f.inFlight = nil
}

// setAddr follows another address; the same one is asked again.
func (f *follower) setAddr(addr string) {
	if addr != f.addr {
		f.cancelAll()
		f.backoff = f.opts.RetryBackoff
		f.addr, f.synced, f.warnedAt = addr, false, time.Time{}
	}
	f.retries = 0
	f.hedge()
}

// handle takes the result of a call.
func (f *follower) handle(r result) {
	i := slices.Index(f.inFlight, r.call)
	if i < 0 { // it was cancelled
		r.closeConn()
		return
	}
	f.inFlight = slices.Delete(f.inFlight, i, i+1)
	if r.errors.n > 0 {
		f.opts.Log.Warn("Entries of the endpoint list cannot be used", "addr", f.addr,
			"entries", r.errors.n, "first", r.errors.first)
	}
	if err := f.validate(r); err != nil {
		f.warn(err)
		r.closeConn()
		if len(f.inFlight) == 0 { // calls without a pause would not help a discovery that is overloaded
			f.nextCall.Reset(f.backoff)
			f.backoff = min(2*f.backoff, max(maxRetryBackoff, f.opts.RetryBackoff))
		}
		return
	}
	f.accept(r)
}

// accept takes a list and makes the next call before the list is passed on: the sooner that call is at discovery, the
// sooner a change is known.
func (f *follower) accept(r result) {
	f.cancelAll()
	isNew := !f.synced || r.list.Full || r.list.Rev != f.rev || len(r.list.Targets) > 0
	f.synced, f.rev = true, r.list.Rev
	f.retries, f.backoff, f.warnedAt = 0, f.opts.RetryBackoff, time.Time{}
	f.start(query{from: f.rev, wait: f.opts.LongPoll}, r.conn)
	f.nextCall.Reset(f.opts.LongPoll + f.opts.ResponseGrace)
	silence := time.Since(f.answeredAt)
	f.answeredAt = time.Now()
	if isNew {
		f.opts.OnList(r.list, silence)
	}
}

// validate returns why a result cannot be used.
func (f *follower) validate(r result) error {
	switch {
	case r.err != nil:
		return r.err
	case r.call.full && !r.list.Full:
		return fmt.Errorf("discovery: rev %d is a change, want the full list", r.list.Rev)
	case !r.list.Full && r.list.Rev < r.call.from:
		f.synced = false // discovery was restarted: its versions began anew
		return fmt.Errorf("discovery: rev %d after %d, want the full list", r.list.Rev, r.call.from)
	}
	return nil
}

// warn logs a failure; a long outage is logged once each warnInterval.
func (f *follower) warn(err error) {
	if time.Since(f.warnedAt) > warnInterval {
		f.warnedAt = time.Now()
		f.opts.Log.Warn("Endpoint list cannot be followed, retrying", "addr", f.addr, "err", err)
	}
}
