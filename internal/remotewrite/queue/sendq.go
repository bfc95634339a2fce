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
	At   time.Duration // by the caller's monotonic clock
	Size int           // bytes that it counts for
	Data any
}

// Settings bound a queue.
type Settings struct {
	Items  int           // at most
	Bytes  int           // of them
	Batch  int           // items in one
	MaxAge time.Duration // older ones are dropped rather than sent; 0: none is
	Seed   int64
}

const (
	backoffLeast = 50 * time.Millisecond
	backoffMost  = 10 * time.Second
	retryMost    = 2 * time.Minute // of what a receiver may ask for
)

// Verdict is what an answer says of a batch.
type Verdict int

// The verdicts.
const (
	Done   Verdict = iota
	Again          // no fault of the batch
	Reject         // it will never be taken
	Older          // the receiver speaks an older protocol: again in that
)

// Answer is a receiver's.
type Answer struct {
	Status     int  // 0: none
	Whole      bool // the batch was taken before the answer came
	Two        bool // the batch was of remote write 2.0 ...
	Written    bool // ... and the answer's headers tell what was written
	RetryAfter time.Duration
}

// Judge reads an answer by the rules of remote write 1.0 and 2.0 ("Retries & Backoff", "Required Written Response
// Headers"): 5xx and 429 are tried again, other 4xx are not, a 415 to 2.0 or a 2xx that does not tell what was written
// means that the receiver knows 1.0 only.
func Judge(a Answer) Verdict {
	switch {
	case a.Status >= 200 && a.Status < 300:
		switch {
		case !a.Whole:
			return Again
		case a.Two && !a.Written:
			return Older
		}
		return Done
	case a.Two && a.Status == 415:
		return Older
	case a.Status == 429 || a.Status == 0 || a.Status >= 500 || a.Status < 400:
		return Again
	}
	return Reject
}

// Counts are of items.
type Counts struct {
	Put, Sent, Rejected uint64
	DroppedFull         uint64 // the oldest, as the queue was full
	DroppedOld          uint64
	Again               uint64 // batches
	Waiting             int
	WaitingBytes        int
	Backoff             time.Duration
}

// Queue is one. It is not safe for concurrent use.
type Queue struct {
	s       Settings
	rng     *rand.Rand
	items   []Item
	bytes   int
	out     int // the first so many are in a batch that is out
	part    int // size of the next batch, while a refused one is halved; 0: as set
	rest    int // items of the refused batch that are not judged yet
	batch   int // as set, or less after a 413
	backoff time.Duration
	sleeps  bool
	counts  Counts
}

// New returns an empty queue.
func New(s Settings) *Queue {
	s.Batch = max(1, s.Batch)
	s.Items = max(s.Items, 2*s.Batch)
	return &Queue{s: s, rng: rand.New(rand.NewSource(s.Seed)), batch: s.Batch}
}

// Counts tells what became of items.
func (q *Queue) Counts() Counts {
	c := q.counts
	c.Waiting, c.WaitingBytes, c.Backoff = len(q.items), q.bytes, q.backoff
	return c
}

// Put adds items. Where there are too many the oldest go, except those that are just being sent.
func (q *Queue) Put(items []Item) {
	for _, it := range items {
		q.counts.Put++
		q.items = append(q.items, it)
		q.bytes += it.Size
		for len(q.items) > q.s.Items || q.s.Bytes > 0 && q.bytes > q.s.Bytes && len(q.items) > q.out+1 {
			q.drop(q.out)
			q.counts.DroppedFull++
		}
	}
}

// drop takes one item away.
func (q *Queue) drop(i int) {
	q.bytes -= q.items[i].Size
	if i == 0 {
		q.items[0] = Item{}
		q.items = q.items[1:]
		return
	}
	// The few that are out move up, not the many behind: a full queue drops one for each that comes.
	copy(q.items[1:i+1], q.items[:i])
	q.items[0] = Item{}
	q.items = q.items[1:]
	if q.rest > 0 && i < q.rest {
		q.rest--
	}
}

// Next returns the batch to send now, or nil: none waits, one is out, or the queue backs off. It is good until the next
// call.
func (q *Queue) Next(now time.Duration) []Item {
	if q.out > 0 || q.sleeps {
		return nil
	}
	for q.s.MaxAge > 0 && len(q.items) > 0 && now-q.items[0].At > q.s.MaxAge {
		q.drop(0)
		q.rest = max(0, q.rest-1)
		q.counts.DroppedOld++
	}
	n := min(len(q.items), q.batch)
	if q.part > 0 {
		n = min(n, q.part)
	}
	if n == 0 {
		return nil
	}
	q.out = n
	return q.items[:n:n]
}

// Answered takes the answer to the batch that is out. wait is how long the queue backs off then; Wake ends it.
func (q *Queue) Answered(a Answer) (v Verdict, wait time.Duration) {
	n := q.out
	q.out = 0
	switch v = Judge(a); v {
	case Done:
		q.take(n)
		q.counts.Sent += uint64(n)
		q.backoff = 0
	case Reject:
		q.backoff = 0
		if n > 1 {
			if a.Status == 413 {
				q.batch = max(1, n/2) // smaller ones from now on
			}
			if q.rest == 0 {
				q.rest = n
			}
			q.part = n / 2
			return v, 0
		}
		q.take(1)
		q.counts.Rejected++
	case Again:
		q.counts.Again++
		q.backoff = min(backoffMost, max(backoffLeast, 2*q.backoff))
		wait = q.backoff/2 + time.Duration(q.rng.Int63n(int64(q.backoff/2)))
		wait = max(wait, min(a.RetryAfter, retryMost))
		q.sleeps = true
		return v, wait
	}
	// What is left of a refused batch is tried whole again: most hold one bad item at most.
	q.part = q.rest
	return v, 0
}

func (q *Queue) take(n int) {
	for range n {
		q.drop(0)
	}
	q.rest = max(0, q.rest-n)
}

// Wake ends a wait.
func (q *Queue) Wake() { q.sleeps = false }
