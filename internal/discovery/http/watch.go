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
	Take func(l *List, gap time.Duration)
	Log  *slog.Logger

	// Hold is how long a watch waits for news; Silent how much longer its answer may take, and Patience how long that of a
	// call that owes no wait, before another call is begun beside it; Again the pause after a failure, which grows to againMost. Zeroes stand for 2 s,
	// 500 ms, 750 ms and 100 ms. See MaxStaleness.
	Hold, Silent, Patience, Again time.Duration
}

const (
	callMost  = 10 * time.Second       // of one call, with its connection
	callsMost = 4                      // at once
	againMost = 400 * time.Millisecond // the pause behind failures grows to this
	warnEvery = 5 * time.Second
	// lookFor is the wait of a call that only asks what was missed.
	lookFor = 100 * time.Millisecond
)

// MaxStaleness is the longest time from the silence of a watch to the third call after it, where two calls behind the silence
// find no answer either. A change counts as told 6 s after the silence at the latest, or 2 s after the wait is over if that
// is later: what is left of that is for a discovery that is slow to answer. Hold trades that time against a call for each
// wait that brings no news.
func (o Options) MaxStaleness() time.Duration {
	o = o.withDefaults()
	return o.Hold + o.Silent + 2*o.Patience
}

// withDefaults puts the usual times in the place of zeroes.
func (o Options) withDefaults() Options {
	for _, d := range []struct {
		v     *time.Duration
		usual time.Duration
	}{{&o.Hold, 2 * time.Second}, {&o.Silent, 500 * time.Millisecond}, {&o.Patience, 750 * time.Millisecond}, {&o.Again, 100 * time.Millisecond}} {
		if *d.v == 0 {
			*d.v = d.usual
		}
	}
	return o
}

// Watch follows one address after the other. Make it with New.
type Watch struct {
	o     Options
	mu    sync.Mutex
	addr  string
	moved chan struct{} // the address was named anew
}

// New returns a watch of an address.
func New(addr string, o Options) *Watch {
	return &Watch{o: o.withDefaults(), addr: addr, moved: make(chan struct{}, 1)}
}

// Move follows another address from now on; if it is the same one, what is new is asked for at once.
func (w *Watch) Move(addr string) {
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
	f := &follower{o: w.o, ctx: ctx, answers: make(chan answer), pause: w.o.Again}
	defer f.calls.Wait()
	defer f.cancelAll()
	w.mu.Lock()
	f.addr = w.addr
	w.mu.Unlock()
	f.next = time.NewTimer(0)
	defer f.next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.moved:
			w.mu.Lock()
			addr := w.addr
			w.mu.Unlock()
			f.move(addr)
		case <-f.next.C:
			f.hedge()
		case a := <-f.answers:
			f.answered(a)
		}
	}
}

// follower is a watch's state, owned by Run. Slow is not silent: a call that takes long goes on while others are begun beside
// it, and the first whole answer ends the others. After a failure the watch is resumed where it was; only if that fails too
// the whole list is asked for, whose size is the greater part of what following costs.
type follower struct {
	o       Options
	ctx     context.Context
	addr    string
	known   bool // a list was taken from this address
	rev     uint64
	heard   time.Time     // the last answer came
	failed  int           // calls begun since the last answer, beyond the one that it led to
	pause   time.Duration // behind the next failure
	open    []*call       // longest first
	answers chan answer
	next    *time.Timer // to begin another call
	warned  time.Time   // of a failure; zero: not since the last answer
	calls   sync.WaitGroup
}

// begin starts a call, on a connection if there is one.
func (f *follower) begin(q question, conn *agentConn) {
	ctx, cancel := context.WithTimeout(f.ctx, callMost)
	c := &call{q, cancel}
	f.open = append(f.open, c)
	f.calls.Add(1)
	addr := f.addr
	go func() {
		defer f.calls.Done()
		defer cancel()
		a := ask(ctx, addr, c, conn)
		select {
		case f.answers <- a:
		case <-ctx.Done():
			// It was ended, or its time is over and Run ends it.
			select {
			case f.answers <- answer{call: c, err: ctx.Err()}:
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
	if len(f.open) == callsMost {
		// The longest goes on, as discovery may be slow; of those behind it the longest gives way.
		f.open[1].cancel()
		f.open = slices.Delete(f.open, 1, 2)
	}
	q := question{whole: true}
	if f.known && f.failed == 0 {
		q = question{from: f.rev, hold: lookFor}
	}
	f.failed++
	f.begin(q, nil)
	f.next.Reset(f.o.Patience)
}

func (f *follower) cancelAll() {
	for _, c := range f.open {
		c.cancel()
	}
	f.open = nil
}

func (f *follower) move(addr string) {
	if addr != f.addr {
		f.cancelAll()
		f.pause = f.o.Again
		f.addr, f.known, f.warned = addr, false, time.Time{}
	}
	f.failed = 0
	f.hedge()
}

func (f *follower) answered(a answer) {
	i := slices.Index(f.open, a.call)
	if i < 0 { // it was cancelled
		if a.conn != nil {
			a.conn.nc.Close()
		}
		return
	}
	f.open = slices.Delete(f.open, i, i+1)
	if a.faults.n > 0 {
		f.o.Log.Warn("entries of the list can't be used", "addr", f.addr, "entries", a.faults.n, "first", a.faults.first)
	}
	if err := f.fits(a); err != nil {
		f.warn(err)
		if a.conn != nil {
			a.conn.nc.Close()
		}
		if len(f.open) == 0 { // a crowded discovery is not helped by calls in a row
			f.next.Reset(f.pause)
			f.pause = min(2*f.pause, max(againMost, f.o.Again))
		}
		return
	}
	f.cancelAll()
	news := !f.known || a.list.All || a.list.Rev != f.rev || len(a.list.Targets) > 0
	f.pause = f.o.Again
	f.known, f.rev, f.failed, f.warned = true, a.list.Rev, 0, time.Time{}
	// The next call first: what changes until it is there counts as told.
	f.begin(question{from: f.rev, hold: f.o.Hold}, a.conn)
	f.next.Reset(f.o.Hold + f.o.Silent)
	gap := time.Since(f.heard)
	f.heard = time.Now()
	if news {
		f.o.Take(a.list, gap)
	}
}

// warn tells of a failure; one that goes on for long is told of now and then.
func (f *follower) warn(err error) {
	if time.Since(f.warned) > warnEvery {
		f.warned = time.Now()
		f.o.Log.Warn("the list can't be followed", "addr", f.addr, "err", err)
	}
}

// fits reports why an answer can't be taken.
func (f *follower) fits(a answer) error {
	switch {
	case a.err != nil:
		return a.err
	case a.call.whole && !a.list.All:
		return fmt.Errorf("registry: rev %d is no whole list, asked for one", a.list.Rev)
	case !a.list.All && a.list.Rev < a.call.from:
		f.known = false // discovery began anew: only a whole list tells
		return fmt.Errorf("registry: rev %d after %d, the whole list is wanted", a.list.Rev, a.call.from)
	}
	return nil
}
