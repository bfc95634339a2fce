package gateway

import (
	"container/heap"
	"time"
)

// timers are the core's, which are never withdrawn, and the time-outs of attempts, which are withdrawn when the
// attempt ends: one that stayed until it was due would hold the call and its work in memory for as long.
type timers struct {
	coreTimers    coreTimerHeap
	attemptTimers attemptTimerHeap
	sequence      uint64
}

type coreTimer struct {
	at       time.Duration
	sequence uint64 // of equal times the one set first comes first
	token    uint64
}

func (t *timers) setTimer(at time.Duration, token uint64) {
	t.sequence++
	heap.Push(&t.coreTimers, coreTimer{at, t.sequence, token})
}

// timeOut sets an attempt's.
func (t *timers) setTimeout(x *attempt, at time.Duration) {
	t.sequence++
	x.timeoutAt, x.timerSequence = at, t.sequence
	heap.Push(&t.attemptTimers, x)
}

// withdraw takes an attempt's time-out back, if it is still set.
func (t *timers) cancelTimeout(x *attempt) {
	if x.heapIndex > 0 {
		heap.Remove(&t.attemptTimers, x.heapIndex-1)
	}
}

// due takes the next timer that is due: the core's token, or an attempt.
func (t *timers) popDue(now time.Duration) (token uint64, x *attempt, ok bool) {
	core := len(t.coreTimers) > 0 && t.coreTimers[0].at <= now
	if len(t.attemptTimers) > 0 && t.attemptTimers[0].timeoutAt <= now &&
		(!core || t.attemptTimers[0].timeoutAt < t.coreTimers[0].at || t.attemptTimers[0].timeoutAt == t.coreTimers[0].at && t.attemptTimers[0].timerSequence < t.coreTimers[0].sequence) {
		return 0, heap.Pop(&t.attemptTimers).(*attempt), true
	}
	if core {
		return heap.Pop(&t.coreTimers).(coreTimer).token, nil, true
	}
	return 0, nil, false
}

// next is when the next timer is due.
func (t *timers) next() (at time.Duration, ok bool) {
	if len(t.coreTimers) > 0 {
		at, ok = t.coreTimers[0].at, true
	}
	if len(t.attemptTimers) > 0 && (!ok || t.attemptTimers[0].timeoutAt < at) {
		at, ok = t.attemptTimers[0].timeoutAt, true
	}
	return at, ok
}

type coreTimerHeap []coreTimer

func (h coreTimerHeap) Len() int { return len(h) }
func (h coreTimerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h coreTimerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *coreTimerHeap) Push(x any)   { *h = append(*h, x.(coreTimer)) }
func (h *coreTimerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// tryTimers keeps in each attempt its place in the heap, from 1; 0 means none.
type attemptTimerHeap []*attempt

func (h attemptTimerHeap) Len() int { return len(h) }
func (h attemptTimerHeap) Less(i, j int) bool {
	return h[i].timeoutAt < h[j].timeoutAt || h[i].timeoutAt == h[j].timeoutAt && h[i].timerSequence < h[j].timerSequence
}
func (h attemptTimerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i+1, j+1
}
func (h *attemptTimerHeap) Push(x any) {
	t := x.(*attempt)
	*h = append(*h, t)
	t.heapIndex = len(*h)
}
func (h *attemptTimerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.heapIndex = 0
	return t
}
