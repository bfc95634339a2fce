package gateway

import (
	"sync"
	"time"

	"winghatch/decide"
)

// attemptWrites is the decide.WriteGuard of a request. The transports ask it in their own goroutines.
type attemptWrites struct {
	mu    sync.Mutex
	guard decide.WriteGuard
}

func (w *attemptWrites) mayWrite(attempt int, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.guard.MayWrite(attempt, now)
}

func (w *attemptWrites) start(attempt int, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.guard.WriteStarts(attempt, now)
}

func (w *attemptWrites) attemptEnded(attempt int, outcome decide.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.guard.AttemptEnded(attempt, outcome)
}
