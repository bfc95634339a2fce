package gateway

import (
	"container/heap"
	"time"
)

// timers are the core's, which are never withdrawn, and the time-outs of attempts, which are withdrawn when the
// attempt ends: one that stayed until it was due would hold the call and its work in memory for as long.
type timers struct {
	core  coreTimers
	tries tryTimers
	no    uint64
}

type coreTimer struct {
	at    time.Duration
	no    uint64 // of equal times the one set first comes first
	token uint64
}

func (t *timers) set(at time.Duration, token uint64) {
	t.no++
	heap.Push(&t.core, coreTimer{at, t.no, token})
}

// timeOut sets an attempt's.
func (t *timers) timeOut(x *try, at time.Duration) {
	t.no++
	x.due, x.no = at, t.no
	heap.Push(&t.tries, x)
}

// withdraw takes an attempt's time-out back, if it is still set.
func (t *timers) withdraw(x *try) {
	if x.index > 0 {
		heap.Remove(&t.tries, x.index-1)
	}
}

// due takes the next timer that is due: the core's token, or an attempt.
func (t *timers) due(now time.Duration) (token uint64, x *try, ok bool) {
	core := len(t.core) > 0 && t.core[0].at <= now
	if len(t.tries) > 0 && t.tries[0].due <= now &&
		(!core || t.tries[0].due < t.core[0].at || t.tries[0].due == t.core[0].at && t.tries[0].no < t.core[0].no) {
		return 0, heap.Pop(&t.tries).(*try), true
	}
	if core {
		return heap.Pop(&t.core).(coreTimer).token, nil, true
	}
	return 0, nil, false
}

// next is when the next timer is due.
func (t *timers) next() (at time.Duration, ok bool) {
	if len(t.core) > 0 {
		at, ok = t.core[0].at, true
	}
	if len(t.tries) > 0 && (!ok || t.tries[0].due < at) {
		at, ok = t.tries[0].due, true
	}
	return at, ok
}

type coreTimers []coreTimer

func (h coreTimers) Len() int { return len(h) }
func (h coreTimers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].no < h[j].no
}
func (h coreTimers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *coreTimers) Push(x any)   { *h = append(*h, x.(coreTimer)) }
func (h *coreTimers) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// tryTimers keeps in each attempt its place in the heap, from 1; 0 means none.
type tryTimers []*try

func (h tryTimers) Len() int { return len(h) }
func (h tryTimers) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].no < h[j].no
}
func (h tryTimers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}
func (h *tryTimers) Push(x any) {
	t := x.(*try)
	*h = append(*h, t)
	t.index = len(*h)
}
func (h *tryTimers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = 0
	return t
}
