// Package sendq decides what of a stream of samples goes to a receiver, when it is tried again and what is given up:
// bounded queues, the oldest dropped first, batches, backoff with jitter, halves to find what a refusal is for. It does no
// I/O, reads no clock and starts no goroutine.
package queue

import (
	"math/rand"
	"time"
)

// Item is a sample of one series. Items of one series go through one Queue, and so stay in order.
type Item struct {
	EnqueuedAt time.Duration // by the caller's monotonic clock
	Bytes      int           // bytes that it counts for
	Data       any
}

// Settings bound a queue.
type Settings struct {
	MaxItems  int           // at most
	MaxBytes  int           // of them
	BatchSize int           // items in one
	MaxAge    time.Duration // older ones are dropped rather than sent; 0: none is
	Seed      int64
}

const (
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = 10 * time.Second
	maxRetryAfter = 2 * time.Minute // of what a receiver may ask for
)

// Verdict is what an answer says of a batch.
type Verdict int

// The verdicts.
const (
	Accepted  Verdict = iota
	Retry             // no fault of the batch
	Rejected          // it will never be taken
	Downgrade         // the receiver speaks an older protocol: again in that
)

// Answer is a receiver's.
type Response struct {
	Status         int  // 0: none
	BodySent       bool // the batch was taken before the answer came
	VersionTwo     bool // the batch was of remote write 2.0 ...
	WrittenCounted bool // ... and the answer's headers tell what was written
	RetryAfter     time.Duration
}

// Judge reads an answer by the rules of remote write 1.0 and 2.0 ("Retries & Backoff", "Required Written Response
// Headers"): 5xx and 429 are tried again, other 4xx are not, a 415 to 2.0 or a 2xx that does not tell what was written
// means that the receiver knows 1.0 only.
func Classify(a Response) Verdict {
	switch {
	case a.Status >= 200 && a.Status < 300:
		switch {
		case !a.BodySent:
			return Retry
		case a.VersionTwo && !a.WrittenCounted:
			return Downgrade
		}
		return Accepted
	case a.VersionTwo && a.Status == 415:
		return Downgrade
	case a.Status == 429 || a.Status == 0 || a.Status >= 500 || a.Status < 400:
		return Retry
	}
	return Rejected
}

// Counts are of items.
type Counts struct {
	Enqueued, Sent, Rejected uint64
	DroppedFull              uint64 // the oldest, as the queue was full
	DroppedExpired           uint64
	Retries                  uint64 // batches
	Waiting                  int
	WaitingBytes             int
	Backoff                  time.Duration
}

// Queue is one. It is not safe for concurrent use.
type Queue struct {
	settings   Settings
	random     *rand.Rand
	items      []Item
	bytes      int
	inFlight   int // the first so many are in a batch that is out
	splitSize  int // size of the next batch, while a refused one is halved; 0: as set
	suspects   int // items of the refused batch that are not judged yet
	batchSize  int // as set, or less after a 413
	backoff    time.Duration
	backingOff bool
	counts     Counts
}

// New returns an empty queue.
func New(s Settings) *Queue {
	s.BatchSize = max(1, s.BatchSize)
	s.MaxItems = max(s.MaxItems, 2*s.BatchSize)
	return &Queue{settings: s, random: rand.New(rand.NewSource(s.Seed)), batchSize: s.BatchSize}
}

// Counts tells what became of items.
func (q *Queue) Counts() Counts {
	c := q.counts
	c.Waiting, c.WaitingBytes, c.Backoff = len(q.items), q.bytes, q.backoff
	return c
}

// Put adds items. Where there are too many the oldest go, except those that are just being sent.
func (q *Queue) Enqueue(items []Item) {
	for _, it := range items {
		q.counts.Enqueued++
		q.items = append(q.items, it)
		q.bytes += it.Bytes
		for len(q.items) > q.settings.MaxItems || q.settings.MaxBytes > 0 && q.bytes > q.settings.MaxBytes && len(q.items) > q.inFlight+1 {
			q.drop(q.inFlight)
			q.counts.DroppedFull++
		}
	}
}

// drop takes one item away.
func (q *Queue) drop(i int) {
	q.bytes -= q.items[i].Bytes
	if i == 0 {
		q.items[0] = Item{}
		q.items = q.items[1:]
		return
	}
	// The few that are out move up, not the many behind: a full queue drops one for each that comes.
	copy(q.items[1:i+1], q.items[:i])
	q.items[0] = Item{}
	q.items = q.items[1:]
	if q.suspects > 0 && i < q.suspects {
		q.suspects--
	}
}

// Next returns the batch to send now, or nil: none waits, one is out, or the queue backs off. It is good until the next
// call.
func (q *Queue) Next(now time.Duration) []Item {
	if q.inFlight > 0 || q.backingOff {
		return nil
	}
	for q.settings.MaxAge > 0 && len(q.items) > 0 && now-q.items[0].EnqueuedAt > q.settings.MaxAge {
		q.drop(0)
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

// Answered takes the answer to the batch that is out. wait is how long the queue backs off then; Wake ends it.
func (q *Queue) HandleResponse(a Response) (v Verdict, wait time.Duration) {
	n := q.inFlight
	q.inFlight = 0
	switch v = Classify(a); v {
	case Accepted:
		q.removeFront(n)
		q.counts.Sent += uint64(n)
		q.backoff = 0
	case Rejected:
		q.backoff = 0
		if n > 1 {
			if a.Status == 413 {
				q.batchSize = max(1, n/2) // smaller ones from now on
			}
			if q.suspects == 0 {
				q.suspects = n
			}
			q.splitSize = n / 2
			return v, 0
		}
		q.removeFront(1)
		q.counts.Rejected++
	case Retry:
		q.counts.Retries++
		q.backoff = min(maxBackoff, max(minBackoff, 2*q.backoff))
		wait = q.backoff/2 + time.Duration(q.random.Int63n(int64(q.backoff/2)))
		wait = max(wait, min(a.RetryAfter, maxRetryAfter))
		q.backingOff = true
		return v, wait
	}
	// What is left of a refused batch is tried whole again: most hold one bad item at most.
	q.splitSize = q.suspects
	return v, 0
}

func (q *Queue) removeFront(n int) {
	for range n {
		q.drop(0)
	}
	q.suspects = max(0, q.suspects-n)
}

// Wake ends a wait.
func (q *Queue) Resume() { q.backingOff = false }
