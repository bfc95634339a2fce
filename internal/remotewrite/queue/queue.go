// Package queue decides which of a stream of samples are sent to a receiver, when they are retried and which are
// dropped: bounded queues that drop the oldest first, batches, backoff with jitter, and halving to find the item that a
// batch is rejected for.
//
// A Queue is driven by its owner, who sends what Next returns and gives the answer to HandleResponse. The package does
// no I/O, reads no clock and starts no goroutine; a Queue is not safe for concurrent use.
package queue

import (
	"math/rand"
	"time"
)

const (
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = 10 * time.Second
	maxRetryAfter = 2 * time.Minute // of what a receiver may ask for
)

// Item is a sample of one series. The items of a series go through one Queue, and so stay in order.
type Item struct {
	EnqueuedAt time.Duration // on the owner's monotonic clock
	Bytes      int           // of memory
	Data       any
}

// Settings bound a queue.
type Settings struct {
	MaxItems  int           // at least two batches
	MaxBytes  int           // of all items; 0: no bound
	BatchSize int           // items; at least 1
	MaxAge    time.Duration // older items are dropped; 0: none
	Seed      int64         // of the jitter
}

// Counts are of items, where nothing else is said.
type Counts struct {
	Enqueued, Sent, Rejected uint64
	DroppedFull              uint64 // the oldest, as the queue was full
	DroppedExpired           uint64 // older than MaxAge
	Retries                  uint64 // of batches
	Waiting                  int
	WaitingBytes             int
	Backoff                  time.Duration // current
}

// Queue is a bounded queue of one receiver.
type Queue struct {
	settings Settings
	random   *rand.Rand
	items    []Item // the oldest first
	bytes    int    // of items
	inFlight int    // the first so many are in a batch that is being sent

	// A rejected batch is halved until it is one item, which is dropped.
	batchSize int // as set, or less after a 413
	splitSize int // size of the next batch; 0: batchSize
	suspects  int // the first so many are of a rejected batch, and not known yet as good or bad

	backoff    time.Duration
	backingOff bool // nothing is sent until Resume
	counts     Counts
}

// New returns an empty queue.
func New(s Settings) *Queue {
	s.BatchSize = max(1, s.BatchSize)
	s.MaxItems = max(s.MaxItems, 2*s.BatchSize)
	return &Queue{settings: s, random: rand.New(rand.NewSource(s.Seed)), batchSize: s.BatchSize}
}

// Counts returns what became of items.
func (q *Queue) Counts() Counts {
	c := q.counts
	c.Waiting, c.WaitingBytes, c.Backoff = len(q.items), q.bytes, q.backoff
	return c
}

// Enqueue adds items. Where there are too many the oldest are dropped, but for those in flight.
func (q *Queue) Enqueue(items []Item) {
	for _, it := range items {
		q.counts.Enqueued++
		q.items = append(q.items, it)
		q.bytes += it.Bytes
		for q.overfull() {
			q.remove(q.inFlight)
			q.counts.DroppedFull++
		}
	}
}

// overfull reports whether a bound is exceeded. The newest item is kept whatever its size.
func (q *Queue) overfull() bool {
	return len(q.items) > q.settings.MaxItems ||
		q.settings.MaxBytes > 0 && q.bytes > q.settings.MaxBytes && len(q.items) > q.inFlight+1
}

// remove removes the item at an index, which is the front or right behind the batch in flight.
func (q *Queue) remove(i int) {
	q.bytes -= q.items[i].Bytes
	if i == 0 {
		q.items[0] = Item{}
		q.items = q.items[1:]
		return
	}
	// The few items in flight move up, not the many behind: a full queue removes one for each that is added.
	copy(q.items[1:i+1], q.items[:i])
	q.items[0] = Item{}
	q.items = q.items[1:]
	if q.suspects > 0 && i < q.suspects {
		q.suspects--
	}
}

// Next returns the batch to send now, or nil: there is none, one is in flight, or the queue backs off. It is valid
// until the next call of a method.
func (q *Queue) Next(now time.Duration) []Item {
	if q.inFlight > 0 || q.backingOff {
		return nil
	}
	for q.settings.MaxAge > 0 && len(q.items) > 0 && now-q.items[0].EnqueuedAt > q.settings.MaxAge {
		q.remove(0)
		q.suspects = max(0, q.suspects-1)
		q.counts.DroppedExpired++
	}
	n := min(len(q.items), q.batchSize)
	if q.splitSize > 0 {
		n = min(n, q.splitSize)
	}
	if n == 0 {
		return nil
	}
	q.inFlight = n
	return q.items[:n:n]
}

// HandleResponse takes the answer to the batch in flight. If wait is above 0 the queue backs off for that time, after
// which its owner calls Resume.
func (q *Queue) HandleResponse(r Response) (v Verdict, wait time.Duration) {
	n := q.inFlight
	q.inFlight = 0
	v = classify(r)
	switch v {
	case Accepted:
		q.removeFront(n)
		q.counts.Sent += uint64(n)
		q.backoff = 0
	case Rejected:
		q.backoff = 0
		if n > 1 {
			q.split(n, r.Status)
			return v, 0
		}
		q.removeFront(1)
		q.counts.Rejected++
	case Retry:
		return v, q.backOff(r.RetryAfter)
	}
	// The rest of a rejected batch is sent as one batch: most have one bad item at most.
	q.splitSize = q.suspects
	return v, 0
}

// split halves a rejected batch of n items.
func (q *Queue) split(n, status int) {
	if status == statusEntityTooLarge {
		q.batchSize = max(1, n/2) // all further batches, too
	}
	if q.suspects == 0 {
		q.suspects = n
	}
	q.splitSize = n / 2
}

// backOff doubles the backoff and returns the time to wait: from half of it to all, or longer if the receiver asks.
func (q *Queue) backOff(retryAfter time.Duration) time.Duration {
	q.counts.Retries++
	q.backoff = min(maxBackoff, max(minBackoff, 2*q.backoff))
	wait := q.backoff/2 + time.Duration(q.random.Int63n(int64(q.backoff/2)))
	q.backingOff = true
	return max(wait, min(retryAfter, maxRetryAfter))
}

func (q *Queue) removeFront(n int) {
	for range n {
		q.remove(0)
	}
	q.suspects = max(0, q.suspects-n)
}

// Resume ends a backoff.
func (q *Queue) Resume() { q.backingOff = false }
