package gateway

import "sync"

// queue hands inputs from the sockets' goroutines to the loop, in order. Posting never blocks, so no socket
// waits for another; its length is bounded at the sources: calls by the cap on open ones, answers by the
// attempts out, messages of peers by their intake, news of the list by waiting until it is
// taken.
type queue struct {
	mu    sync.Mutex
	items []loopInput
	spare []loopInput
	wake  chan struct{}
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

func (q *queue) post(in loopInput) {
	q.mu.Lock()
	q.items = append(q.items, in)
	first := len(q.items) == 1
	q.mu.Unlock()
	if first {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// take returns all that waits. The slice is good until the next call.
func (q *queue) take() []loopInput {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	clear(q.spare)
	q.items = q.spare[:0]
	q.spare = items
	return items
}

func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}
