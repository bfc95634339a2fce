package backend

import (
	"sync"
	"time"
)

// sweepStep is how many keys are added at least before those out of their window are dropped.
const sweepStep = 1024

// DedupStore holds the idempotency keys that the servers of a group have seen. It is safe for concurrent use.
type DedupStore struct {
	mu            sync.Mutex
	seen          map[string]time.Time
	sweepSize     int           // number of keys at which old ones are dropped
	longestWindow time.Duration // of the classes that use the store
}

// NewDedupStore returns an empty store.
func NewDedupStore() *DedupStore {
	return &DedupStore{seen: map[string]time.Time{}, sweepSize: sweepStep}
}

// isDuplicate reports whether the key was seen within the window. If not, the window begins now.
func (s *DedupStore) isDuplicate(key string, window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if at, ok := s.seen[key]; ok && now.Sub(at) < window {
		return true
	}
	s.seen[key] = now
	s.longestWindow = max(s.longestWindow, window)
	if len(s.seen) >= s.sweepSize {
		s.sweep(now)
	}
	return false
}

func (s *DedupStore) sweep(now time.Time) {
	for key, at := range s.seen {
		if now.Sub(at) >= s.longestWindow {
			delete(s.seen, key)
		}
	}
	s.sweepSize = 2*len(s.seen) + sweepStep
}
