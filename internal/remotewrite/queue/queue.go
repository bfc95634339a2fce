// Package queue decides which samples are sent to a receiver, when they are retried, and which are dropped.
// A Queue is bounded and drops the oldest items first. It forms batches, backs off with jitter after
// failures, and halves a rejected batch repeatedly to find the item that caused the rejection.
//
// The owner of a Queue sends the batch that Next returns and passes the response to HandleResponse. The
// package does no I/O, reads no clock and starts no goroutine. A Queue is not safe for concurrent use.
package queue

import (
	"math/rand"
	"time"
)

const (
	// The backoff starts at minBackoff and doubles with each retry up to maxBackoff.
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = 10 * time.Second
	maxRetryAfter = 2 * time.Minute // upper bound for the Retry-After of a receiver
)

// Item is a sample of one series. All items of a series must go through the same Queue, so that they are
// sent in order.
type Item struct {
	// EnqueuedAt is the time of the call to Enqueue on the monotonic clock of the owner.
	EnqueuedAt time.Duration
	// Bytes is the memory that the item uses, in bytes.
	Bytes int
	// Data is the sample. The queue does not inspect it.
	Data any
}

// Settings configure a Queue.
type Settings struct {
	// MaxItems limits the number of items. A value below the size of two batches means two batches.
	MaxItems int
	// MaxBytes limits the memory of all items, in bytes. The items in flight and the newest item are kept
	// even if they exceed it. Zero or less means no limit.
	MaxBytes int
	// BatchSize is the maximum number of items in a batch. Values below 1 mean 1.
	BatchSize int
	// MaxAge is the age beyond which items are dropped. Zero means that items are kept regardless of age.
	MaxAge time.Duration
	// Seed initializes the random numbers for the jitter of the backoff.
	Seed int64
}

// Counts are counters and current values of a Queue. Unless stated otherwise they are numbers of items.
// Enqueued is the sum of Sent, Rejected, DroppedFull, DroppedExpired and Waiting.
type Counts struct {
	// Enqueued, Sent and Rejected are the numbers of items that were added, accepted by the receiver, and
	// dropped because the receiver rejected them.
	Enqueued, Sent, Rejected uint64
	// DroppedFull is the number of items that were dropped because the queue was full.
	DroppedFull uint64
	// DroppedExpired is the number of items that were dropped because they were older than MaxAge.
	DroppedExpired uint64
	// Retries is the number of batches that had to be retried after a backoff.
	Retries uint64
	// Waiting is the current number of items, including the batch in flight.
	Waiting int
	// WaitingBytes is the memory of the items in Waiting, in bytes.
	WaitingBytes int
	// Backoff is the current backoff before jitter. It is zero after a batch was accepted or rejected.
	Backoff time.Duration
}

// Queue is a bounded queue of the items that wait to be sent to one receiver.
type Queue struct {
	settings Settings
	random   *rand.Rand
	items    []Item // ordered from the oldest to the newest
	bytes    int    // sum of Item.Bytes over items
	inFlight int    // number of items, at the front, that are being sent

	// When a batch is rejected, its first half is sent next. This is repeated until a batch of one item is
	// rejected, and that item is dropped.
	batchSize int // Settings.BatchSize, or less after the receiver responded with 413
	splitSize int // maximum size of the next batch while a rejected batch is being split; 0 means batchSize
	suspects  int // number of items, at the front, that are left of a rejected batch and may be its bad items

	backoff    time.Duration // current backoff before jitter; 0 after a batch was accepted or rejected
	backingOff bool          // whether HandleResponse has returned a wait and Resume was not called since
	counts     Counts
}

// New returns an empty Queue.
func New(s Settings) *Queue {
	s.BatchSize = max(1, s.BatchSize)
	s.MaxItems = max(s.MaxItems, 2*s.BatchSize)
	return &Queue{settings: s, random: rand.New(rand.NewSource(s.Seed)), batchSize: s.BatchSize}
}

// Counts returns the current counts.
func (q *Queue) Counts() Counts {
	c := q.counts
	c.Waiting, c.WaitingBytes, c.Backoff = len(q.items), q.bytes, q.backoff
	return c
}

// Enqueue adds items. While the queue exceeds a limit it drops the oldest items that are not in flight.
func (q *Queue) Enqueue(items []Item) {
	for _, it := range items {
		q.counts.Enqueued++
		q.items = append(q.items, it)
		q.bytes += it.Bytes
		for q.exceedsLimits() {
			q.remove(q.inFlight)
			q.counts.DroppedFull++
		}
	}
}

// exceedsLimits reports whether a limit is exceeded. The newest item is kept regardless of its size.
func (q *Queue) exceedsLimits() bool {
	return len(q.items) > q.settings.MaxItems ||
		q.settings.MaxBytes > 0 && q.bytes > q.settings.MaxBytes && len(q.items) > q.inFlight+1
}

// remove removes the item at index i, which must be the first item or the first item after the batch in
// flight.
func (q *Queue) remove(i int) {
	q.bytes -= q.items[i].Bytes
	if i == 0 {
		q.items[0] = Item{}
		q.items = q.items[1:]
		return
	}
	// A full queue removes an item for each added one. Moving the few items in flight by one place is much
	// cheaper than moving the many items after them.
	copy(q.items[1:i+1], q.items[:i])
	q.items[0] = Item{}
	q.items = q.items[1:]
	if q.suspects > 0 && i < q.suspects {
		q.suspects--
	}
}

// Next returns the batch to send now. It returns nil if the queue is empty, a batch is in flight, or the
// queue is backing off. now is the time on the monotonic clock of the owner. The batch is valid until the
// next call of a method.
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

// HandleResponse handles the response to the batch in flight. If wait is positive, the queue backs off: the
// owner must call Resume after that time.
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
	// The rest of a rejected batch is sent as one batch because most rejected batches have only one bad
	// item.
	q.splitSize = q.suspects
	return v, 0
}

// split prepares for sending the first half of a rejected batch of n items.
func (q *Queue) split(n, status int) {
	if status == statusEntityTooLarge {
		q.batchSize = max(1, n/2) // limits all later batches too
	}
	if q.suspects == 0 {
		q.suspects = n
	}
	q.splitSize = n / 2
}

// backOff doubles the backoff and returns the time to wait: a random time between half of the backoff and
// all of it, or retryAfter, up to maxRetryAfter, if that is longer.
func (q *Queue) backOff(retryAfter time.Duration) time.Duration {
	q.counts.Retries++
	q.backoff = min(maxBackoff, max(minBackoff, 2*q.backoff))
	wait := q.backoff/2 + time.Duration(q.random.Int63n(int64(q.backoff/2)))
	q.backingOff = true
	return max(wait, min(retryAfter, maxRetryAfter))
}

// removeFront removes the first n items, which have been accepted or rejected.
func (q *Queue) removeFront(n int) {
	for range n {
		q.remove(0)
	}
	q.suspects = max(0, q.suspects-n)
}

// Resume ends a backoff, so that Next returns batches again.
func (q *Queue) Resume() { q.backingOff = false }
