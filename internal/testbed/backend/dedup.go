package backend

import (
	"sync"
	"time"
)

// sweepStep is the smallest number of keys that are added between two sweeps of expired keys.
const sweepStep = 1024

// DedupStore holds the idempotency keys that the servers of one deduplication group have seen. It is safe for
// concurrent use.
type DedupStore struct {
	mu            sync.Mutex
	seen          map[string]time.Time
	sweepSize     int           // number of keys that triggers the next sweep
	longestWindow time.Duration // longest deduplication window used so far
}

// NewDedupStore returns an empty store.
func NewDedupStore() *DedupStore {
	return &DedupStore{seen: map[string]time.Time{}, sweepSize: sweepStep}
}

// isDuplicate reports whether key was seen within window. If not, it records the key with the current time.
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

// sweep removes the keys older than the longest window. The caller must hold s.mu.
func (s *DedupStore) sweep(now time.Time) {
	for key, at := range s.seen {
		if now.Sub(at) >= s.longestWindow {
			delete(s.seen, key)
		}
	}
	s.sweepSize = 2*len(s.seen) + sweepStep
}
