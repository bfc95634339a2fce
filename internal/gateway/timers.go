package gateway

import (
	"container/heap"
	"time"
)

// timers holds the core's timers, which are never cancelled, and the time-outs of attempts, which are cancelled when
// the attempt ends: one that stayed until it was due would hold the request and its payload in memory for as long.
// Timers that are due at the same time fire in the order in which they were set. The loop owns them.
type timers struct {
	coreTimers    coreTimerHeap
	attemptTimers attemptTimerHeap
	sequence      uint64 // of the last timer that was set
}

type coreTimer struct {
	at       time.Duration
	sequence uint64
	token    uint64
}

func (t *timers) setTimer(at time.Duration, token uint64) {
	t.sequence++
	heap.Push(&t.coreTimers, coreTimer{at, t.sequence, token})
}

func (t *timers) setTimeout(a *attempt, at time.Duration) {
	t.sequence++
	a.timeoutAt, a.timerSequence = at, t.sequence
	heap.Push(&t.attemptTimers, a)
}

// cancelTimeout takes an attempt's time-out back, if it is still set.
func (t *timers) cancelTimeout(a *attempt) {
	if a.heapIndex > 0 {
		heap.Remove(&t.attemptTimers, a.heapIndex-1)
	}
}

// popDue takes the next timer that is due: the core's token, or an attempt whose time-out it is.
func (t *timers) popDue(now time.Duration) (token uint64, a *attempt, ok bool) {
	coreDue := len(t.coreTimers) > 0 && t.coreTimers[0].at <= now
	attemptDue := len(t.attemptTimers) > 0 && t.attemptTimers[0].timeoutAt <= now
	if attemptDue && (!coreDue || t.attemptTimers[0].timesOutBefore(t.coreTimers[0])) {
		return 0, heap.Pop(&t.attemptTimers).(*attempt), true
	}
	if coreDue {
		return heap.Pop(&t.coreTimers).(coreTimer).token, nil, true
	}
	return 0, nil, false
}

// next returns when the next timer is due.
func (t *timers) next() (at time.Duration, ok bool) {
	if len(t.coreTimers) > 0 {
		at, ok = t.coreTimers[0].at, true
	}
	if len(t.attemptTimers) > 0 && (!ok || t.attemptTimers[0].timeoutAt < at) {
		at, ok = t.attemptTimers[0].timeoutAt, true
	}
	return at, ok
}

func (a *attempt) timesOutBefore(c coreTimer) bool {
	if a.timeoutAt != c.at {
		return a.timeoutAt < c.at
	}
	return a.timerSequence < c.sequence
}

// coreTimerHeap implements heap.Interface.
type coreTimerHeap []coreTimer

func (h coreTimerHeap) Len() int { return len(h) }

func (h coreTimerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h coreTimerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *coreTimerHeap) Push(x any) { *h = append(*h, x.(coreTimer)) }

func (h *coreTimerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// attemptTimerHeap implements heap.Interface. It keeps in each attempt its place in the heap, from 1; 0 means none.
type attemptTimerHeap []*attempt

func (h attemptTimerHeap) Len() int { return len(h) }

func (h attemptTimerHeap) Less(i, j int) bool {
	if h[i].timeoutAt != h[j].timeoutAt {
		return h[i].timeoutAt < h[j].timeoutAt
	}
	return h[i].timerSequence < h[j].timerSequence
}

func (h attemptTimerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i+1, j+1
}

func (h *attemptTimerHeap) Push(x any) {
	a := x.(*attempt)
	*h = append(*h, a)
	a.heapIndex = len(*h)
}

func (h *attemptTimerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.heapIndex = 0
	return last
}
