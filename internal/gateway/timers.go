package gateway

import (
	"container/heap"
	"time"
)

// timers holds the timers of the core, which are never cancelled, and the timeouts of attempts. A timeout is
// cancelled when its attempt ends; otherwise it would keep the request and its payload in memory until it is
// due. Timers that are due at the same time fire in the order in which they were set. timers is owned by the
// loop.
type timers struct {
	coreTimers    coreTimerHeap
	attemptTimers attemptTimerHeap
	sequence      uint64 // sequence number of the last timer that was set
}

type coreTimer struct {
	at       time.Duration // on the clock of the loop
	sequence uint64
	token    uint64 // identifies the timer to the core
}

// setTimer sets a timer of the core, which popDue returns by its token.
func (t *timers) setTimer(at time.Duration, token uint64) {
	t.sequence++
	heap.Push(&t.coreTimers, coreTimer{at, t.sequence, token})
}

// setTimeout sets the timeout of an attempt.
func (t *timers) setTimeout(a *attempt, at time.Duration) {
	t.sequence++
	a.timeoutAt, a.timerSequence = at, t.sequence
	heap.Push(&t.attemptTimers, a)
}

// cancelTimeout cancels the timeout of an attempt. It does nothing if the timeout is not set.
func (t *timers) cancelTimeout(a *attempt) {
	if a.heapIndex > 0 {
		heap.Remove(&t.attemptTimers, a.heapIndex-1)
	}
}

// popDue removes and returns the next timer that is due: either the token of a core timer, with a nil
// attempt, or the attempt that timed out. It returns false if no timer is due.
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

// next returns when the next timer is due, and false if no timer is set.
func (t *timers) next() (at time.Duration, ok bool) {
	if len(t.coreTimers) > 0 {
		at, ok = t.coreTimers[0].at, true
	}
	if len(t.attemptTimers) > 0 && (!ok || t.attemptTimers[0].timeoutAt < at) {
		at, ok = t.attemptTimers[0].timeoutAt, true
	}
	return at, ok
}

// timesOutBefore reports whether the timeout of the attempt fires before the core timer c.
func (a *attempt) timesOutBefore(c coreTimer) bool {
	if a.timeoutAt != c.at {
		return a.timeoutAt < c.at
	}
	return a.timerSequence < c.sequence
}

// coreTimerHeap implements heap.Interface, ordered by due time and sequence.
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

// attemptTimerHeap implements heap.Interface, ordered by due time and sequence. It maintains the heapIndex of
// each attempt.
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
