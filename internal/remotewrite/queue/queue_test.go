package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// items returns items that are numbered from from to to-1, in Data and in EnqueuedAt as nanoseconds.
func items(from, to int) (out []Item) {
	for i := from; i < to; i++ {
		out = append(out, Item{EnqueuedAt: time.Duration(i), Bytes: 10, Data: i})
	}
	return out
}

// A queue that sends a sample twice, out of order or never shows operators wrong metrics. The test responds
// to batches at random. Accepted items must be in order and accepted once, each item must be sent, rejected
// or dropped (the oldest first), and the limits must hold at every step.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := Settings{
			MaxItems:  rapid.IntRange(1, 60).Draw(rt, "items"),
			MaxBytes:  rapid.SampledFrom([]int{0, 150, 400}).Draw(rt, "bytes"),
			BatchSize: rapid.IntRange(1, 12).Draw(rt, "batch"),
		}
		q := New(s)
		bad := map[int]bool{}
		for range rapid.IntRange(0, 4).Draw(rt, "bad") {
			bad[rapid.IntRange(0, 300).Draw(rt, "which")] = true
		}
		next, lastAccepted := 0, -1
		accepted := 0
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "enqueue") {
				n := rapid.IntRange(1, 20).Draw(rt, "n")
				q.Enqueue(items(next, next+n))
				next += n
			}
			c := q.Counts()
			if c.Waiting > q.settings.MaxItems ||
				s.MaxBytes > 0 && c.WaitingBytes > s.MaxBytes+10*(s.BatchSize+1) {
				rt.Fatalf("counts %+v exceed the settings %+v", c, q.settings)
			}
			batch := append([]Item(nil), q.Next(0)...)
			if len(batch) == 0 {
				q.Resume()
				continue
			}
			r := drawResponse(rt, batch, bad)
			if rapid.IntRange(0, 3).Draw(rt, "in flight") == 0 { // enqueue while the batch is in flight
				q.Enqueue(items(next, next+7))
				next += 7
			}
			v, wait := q.HandleResponse(r)
			if v == Accepted {
				for _, it := range batch {
					if it.Data.(int) <= lastAccepted {
						rt.Fatalf("item %d was accepted after item %d", it.Data, lastAccepted)
					}
					lastAccepted = it.Data.(int)
					accepted++
				}
			}
			if (v == Retry) != (wait > 0) {
				rt.Fatalf("verdict %v with wait %v, want a wait only with Retry", v, wait)
			}
		}
		c := q.Counts()
		counted := c.Sent + c.Rejected + c.DroppedFull + c.DroppedExpired + uint64(c.Waiting)
		if int(c.Enqueued) != next || int(c.Sent) != accepted || c.Enqueued != counted {
			rt.Fatalf("counts %+v, want %d enqueued, %d accepted", c, next, accepted)
		}
		if int(c.Rejected) > len(bad) {
			rt.Fatalf("%d items rejected, but only %d are bad", c.Rejected, len(bad))
		}
	})
}

// drawResponse draws a response to a batch. A batch with a bad item is never accepted.
func drawResponse(rt *rapid.T, batch []Item, bad map[int]bool) Response {
	r := Response{Status: 200, BodySent: true}
	switch rapid.IntRange(0, 4).Draw(rt, "response") {
	case 0:
		r.Status = 503
	case 1:
		r.BodySent = false
	default:
		for _, it := range batch {
			if bad[it.Data.(int)] {
				r.Status = 400
			}
		}
	}
	return r
}

// A response that is misclassified loses samples, repeats them or blocks the queue. The test covers each
// kind of response.
func TestClassify(t *testing.T) {
	for _, c := range []struct {
		r    Response
		want Verdict
	}{
		{Response{}, Retry},
		{Response{Status: 200}, Retry},
		{Response{Status: 204, BodySent: true}, Accepted},
		{Response{Status: 302, BodySent: true}, Retry},
		{Response{Status: 400, BodySent: true}, Rejected},
		{Response{Status: 404}, Rejected},
		{Response{Status: 413}, Rejected},
		{Response{Status: 415}, Rejected},
		{Response{Status: 429, BodySent: true}, Retry},
		{Response{Status: 500, BodySent: true}, Retry},
		{Response{Status: 200, BodySent: true, SentV2: true}, Downgrade},
		{Response{Status: 200, BodySent: true, SentV2: true, HasWrittenHeaders: true}, Accepted},
		{Response{Status: 415, SentV2: true}, Downgrade},
	} {
		if got := classify(c.r); got != c.want {
			t.Errorf("classify(%+v) = %v, want %v", c.r, got, c.want)
		}
	}
}

// A queue that ignores Retry-After overloads its receiver, and one that waits without limit never sends
// again. The queue must back off for the time of Retry-After, up to maxRetryAfter. Afterwards it must drop
// expired items, and it must send smaller batches after a 413.
func TestBackoffFollowsRetryAfter(t *testing.T) {
	q := New(Settings{MaxItems: 100, BatchSize: 10, MaxAge: time.Minute})
	q.Enqueue(items(0, 30))
	q.Next(0)
	if _, wait := q.HandleResponse(Response{
		Status:     429,
		RetryAfter: 7 * time.Second,
	}); wait != 7*time.Second {
		t.Errorf("wait is %v, want the Retry-After of 7s", wait)
	}
	if q.Next(0) != nil {
		t.Error("Next returned a batch during the backoff")
	}
	q.Resume()
	q.Next(0)
	if _, wait := q.HandleResponse(Response{Status: 429, RetryAfter: time.Hour}); wait != maxRetryAfter {
		t.Errorf("wait is %v, want the limit %v", wait, maxRetryAfter)
	}
	q.Resume()
	if b := q.Next(2 * time.Minute); b != nil || q.Counts().DroppedExpired != 30 {
		t.Errorf("got batch %v and counts %+v, want 30 expired items dropped", b, q.Counts())
	}
	for range 4 {
		q.Enqueue([]Item{{EnqueuedAt: 2 * time.Minute}})
	}
	q.Next(2 * time.Minute)
	q.HandleResponse(Response{Status: 413})
	if b := q.Next(2 * time.Minute); len(b) != 2 {
		t.Errorf("batch of %d items after a 413 for 4 items, want 2", len(b))
	}
}

// BenchmarkEnqueueFull measures Enqueue on a full queue while a batch is in flight.
func BenchmarkEnqueueFull(b *testing.B) {
	q := New(Settings{MaxItems: 100000, BatchSize: 2000})
	q.Enqueue(items(0, 100000))
	q.Next(0)
	one := items(0, 1)
	for b.Loop() {
		q.Enqueue(one)
	}
}
