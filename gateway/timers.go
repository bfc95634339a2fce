package gateway

import (
	"container/heap"
	"time"
)

// timer is the core's, by its token, or an attempt's time-out.
type timer struct {
	at    time.Duration
	token uint64
	try   *try // nil: the core's
	no    uint64
}

// timers is a heap by time; of equal times the one set first comes first.
type timers struct {
	h  timerHeap
	no uint64
}

func (t *timers) set(x timer) {
	t.no++
	x.no = t.no
	heap.Push(&t.h, x)
}

// due takes the next timer that is due.
func (t *timers) due(now time.Duration) (timer, bool) {
	// A time-out whose attempt has ended is dropped here; the heap holds no more of them than open calls make.
	for len(t.h) > 0 && t.h[0].at <= now {
		if x := heap.Pop(&t.h).(timer); x.try == nil || !x.try.over {
			return x, true
		}
	}
	return timer{}, false
}

// next is when the next timer is due.
func (t *timers) next() (time.Duration, bool) {
	if len(t.h) == 0 {
		return 0, false
	}
	return t.h[0].at, true
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].no < h[j].no
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return x
}
