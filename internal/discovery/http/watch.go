package http

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"
)

// Options of Follow.
type Options struct {
	// Take is given each list that brings news, and the time since discovery was last heard before it.
	OnList func(l *List, gap time.Duration)
	Log    *slog.Logger

	// Hold is how long a watch waits for news; Silent how much longer its answer may take, and Patience how long that of a
	// call that owes no wait, before another call is begun beside it; Again the pause after a failure, which grows to againMost. Zeroes stand for 2 s,
	// 500 ms, 750 ms and 100 ms. See MaxStaleness.
	LongPoll, ResponseGrace, HedgeDelay, RetryBackoff time.Duration
}

const (
	callTimeout     = 10 * time.Second       // of one call, with its connection
	maxCalls        = 4                      // at once
	maxRetryBackoff = 400 * time.Millisecond // the pause behind failures grows to this
	warnInterval    = 5 * time.Second
	// lookFor is the wait of a call that only asks what was missed.
	resumeWait = 100 * time.Millisecond
)

// MaxStaleness is the longest time from the silence of a watch to the third call after it, where two calls behind the silence
// find no answer either. A change counts as told 6 s after the silence at the latest, or 2 s after the wait is over if that
// is later: what is left of that is for a discovery that is slow to answer. Hold trades that time against a call for each
// wait that brings no news.
func (o Options) MaxStaleness() time.Duration {
	o = o.withDefaults()
	return o.LongPoll + o.ResponseGrace + 2*o.HedgeDelay
}

// withDefaults puts the usual times in the place of zeroes.
func (o Options) withDefaults() Options {
	for _, d := range []struct {
		v     *time.Duration
		usual time.Duration
	}{{&o.LongPoll, 2 * time.Second}, {&o.ResponseGrace, 500 * time.Millisecond}, {&o.HedgeDelay, 750 * time.Millisecond}, {&o.RetryBackoff, 100 * time.Millisecond}} {
		if *d.v == 0 {
			*d.v = d.usual
		}
	}
	return o
}

// Watch follows one address after the other. Make it with New.
type Watch struct {
	opts  Options
	mu    sync.Mutex
	addr  string
	moved chan struct{} // the address was named anew
}

// New returns a watch of an address.
func New(addr string, o Options) *Watch {
	return &Watch{opts: o.withDefaults(), addr: addr, moved: make(chan struct{}, 1)}
}

// Move follows another address from now on; if it is the same one, what is new is asked for at once.
func (w *Watch) SetAddr(addr string) {
	w.mu.Lock()
	w.addr = addr
	w.mu.Unlock()
	select {
	case w.moved <- struct{}{}:
	default:
	}
}

// Run follows until the context ends.
func (w *Watch) Run(ctx context.Context) {
	f := &follower{opts: w.opts, ctx: ctx, results: make(chan result), backoff: w.opts.RetryBackoff}
	defer f.calls.Wait()
	defer f.cancelAll()
	w.mu.Lock()
	f.addr = w.addr
	w.mu.Unlock()
	f.nextCall = time.NewTimer(0)
	defer f.nextCall.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.moved:
			w.mu.Lock()
			addr := w.addr
			w.mu.Unlock()
			f.setAddr(addr)
		case <-f.nextCall.C:
			f.hedge()
		case a := <-f.results:
			f.handle(a)
		}
	}
}

// follower is a watch's state, owned by Run. Slow is not silent: a call that takes long goes on while others are begun beside
// it, and the first whole answer ends the others. After a failure the watch is resumed where it was; only if that fails too
// the whole list is asked for, whose size is the greater part of what following costs.
type follower struct {
	opts       Options
	ctx        context.Context
	addr       string
	synced     bool // a list was taken from this address
	rev        uint64
	answeredAt time.Time     // the last answer came
	retries    int           // calls begun since the last answer, beyond the one that it led to
	backoff    time.Duration // behind the next failure
	inFlight   []*call       // longest first
	results    chan result
	nextCall   *time.Timer // to begin another call
	warnedAt   time.Time   // of a failure; zero: not since the last answer
	calls      sync.WaitGroup
}

// begin starts a call, on a connection if there is one.
func (f *follower) begin(q query, conn *conn) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	c := &call{q, cancel}
	f.inFlight = append(f.inFlight, c)
	f.calls.Add(1)
	addr := f.addr
	go func() {
		defer f.calls.Done()
		defer cancel()
		a := execute(ctx, addr, c, conn)
		select {
		case f.results <- a:
		case <-ctx.Done():
			// It was ended, or its time is over and Run ends it.
			select {
			case f.results <- result{call: c, err: ctx.Err()}:
			case <-f.ctx.Done():
			}
			if a.conn != nil {
				a.conn.nc.Close()
			}
		}
	}()
}

// hedge begins a call beside those that have no answer yet.
func (f *follower) hedge() {
	if len(f.inFlight) == maxCalls {
		// The longest goes on, as discovery may be slow; of those behind it the longest gives way.
		f.inFlight[1].cancel()
		f.inFlight = slices.Delete(f.inFlight, 1, 2)
	}
	q := query{full: true}
	if f.synced && f.retries == 0 {
		q = query{from: f.rev, wait: resumeWait}
	}
	f.retries++
	f.begin(q, nil)
	f.nextCall.Reset(f.opts.HedgeDelay)
}

func (f *follower) cancelAll() {
	for _, c := range f.inFlight {
		c.cancel()
	}
	f.inFlight = nil
}

func (f *follower) setAddr(addr string) {
	if addr != f.addr {
		f.cancelAll()
		f.backoff = f.opts.RetryBackoff
		f.addr, f.synced, f.warnedAt = addr, false, time.Time{}
	}
	f.retries = 0
	f.hedge()
}

func (f *follower) handle(a result) {
	i := slices.Index(f.inFlight, a.call)
	if i < 0 { // it was cancelled
		if a.conn != nil {
			a.conn.nc.Close()
		}
		return
	}
	f.inFlight = slices.Delete(f.inFlight, i, i+1)
	if a.faults.n > 0 {
		f.opts.Log.Warn("entries of the list can't be used", "addr", f.addr, "entries", a.faults.n, "first", a.faults.first)
	}
	if err := f.validate(a); err != nil {
		f.warn(err)
		if a.conn != nil {
			a.conn.nc.Close()
		}
		if len(f.inFlight) == 0 { // a crowded discovery is not helped by calls in a row
			f.nextCall.Reset(f.backoff)
			f.backoff = min(2*f.backoff, max(maxRetryBackoff, f.opts.RetryBackoff))
		}
		return
	}
	f.cancelAll()
	news := !f.synced || a.list.Full || a.list.Rev != f.rev || len(a.list.Targets) > 0
	f.backoff = f.opts.RetryBackoff
	f.synced, f.rev, f.retries, f.warnedAt = true, a.list.Rev, 0, time.Time{}
	// The next call first: what changes until it is there counts as told.
	f.begin(query{from: f.rev, wait: f.opts.LongPoll}, a.conn)
	f.nextCall.Reset(f.opts.LongPoll + f.opts.ResponseGrace)
	gap := time.Since(f.answeredAt)
	f.answeredAt = time.Now()
	if news {
		f.opts.OnList(a.list, gap)
	}
}

// warn tells of a failure; one that goes on for long is told of now and then.
func (f *follower) warn(err error) {
	if time.Since(f.warnedAt) > warnInterval {
		f.warnedAt = time.Now()
		f.opts.Log.Warn("the list can't be followed", "addr", f.addr, "err", err)
	}
}

// fits reports why an answer can't be taken.
func (f *follower) validate(a result) error {
	switch {
	case a.err != nil:
		return a.err
	case a.call.full && !a.list.Full:
		return fmt.Errorf("registry: rev %d is no whole list, asked for one", a.list.Rev)
	case !a.list.Full && a.list.Rev < a.call.from:
		f.synced = false // discovery began anew: only a whole list tells
		return fmt.Errorf("registry: rev %d after %d, the whole list is wanted", a.list.Rev, a.call.from)
	}
	return nil
}
