package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func items(from, to int) (out []Item) {
	for i := from; i < to; i++ {
		out = append(out, Item{EnqueuedAt: time.Duration(i), Bytes: 10, Data: i})
	}
	return out
}

// A queue that sends a sample twice, out of order or never shows operators wrong metrics. TestModel answers batches at
// random: what is accepted is in order and sent once, each item is sent, rejected or dropped, the oldest first, and the
// bounds hold at every step.
func TestModel(t *testing.T) {
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
		next, last := 0, -1
		got := 0
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "put") {
				n := rapid.IntRange(1, 20).Draw(rt, "n")
				q.Enqueue(items(next, next+n))
				next += n
			}
			c := q.Counts()
			if c.Waiting > q.settings.MaxItems || s.MaxBytes > 0 && c.WaitingBytes > s.MaxBytes+10*(s.BatchSize+1) {
				rt.Fatalf("%+v waits, the bounds are %+v", c, q.settings)
			}
			b := append([]Item(nil), q.Next(0)...)
			if len(b) == 0 {
				q.Resume()
				continue
			}
			r := drawResponse(rt, b, bad)
			if rapid.IntRange(0, 3).Draw(rt, "meanwhile") == 0 { // while the batch is in flight
				q.Enqueue(items(next, next+7))
				next += 7
			}
			v, wait := q.HandleResponse(r)
			if v == Accepted {
				for _, it := range b {
					if it.Data.(int) <= last {
						rt.Fatalf("item %d after %d", it.Data, last)
					}
					last = it.Data.(int)
					got++
				}
			}
			if (v == Retry) != (wait > 0) {
				rt.Fatalf("%v waits %v", v, wait)
			}
		}
		c := q.Counts()
		counted := c.Sent + c.Rejected + c.DroppedFull + c.DroppedExpired + uint64(c.Waiting)
		if int(c.Enqueued) != next || int(c.Sent) != got || c.Enqueued != counted {
			rt.Fatalf("%+v: %d enqueued, %d accepted", c, next, got)
		}
		if int(c.Rejected) > len(bad) {
			rt.Fatalf("%d rejected, %d are bad", c.Rejected, len(bad))
		}
	})
}

// drawResponse draws an answer to a batch; one with a bad item is not accepted.
func drawResponse(rt *rapid.T, batch []Item, bad map[int]bool) Response {
	r := Response{Status: 200, BodySent: true}
	switch rapid.IntRange(0, 4).Draw(rt, "answer") {
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

// TestClassify reads each sort of answer.
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
			t.Errorf("%+v: %v, want %v", c.r, got, c.want)
		}
	}
}

// TestBackoff backs off for as long as the receiver asks, within a bound, then drops what is too old, and sends smaller
// batches after a 413.
func TestBackoff(t *testing.T) {
	q := New(Settings{MaxItems: 100, BatchSize: 10, MaxAge: time.Minute})
	q.Enqueue(items(0, 30))
	q.Next(0)
	if _, wait := q.HandleResponse(Response{Status: 429, RetryAfter: 7 * time.Second}); wait != 7*time.Second {
		t.Errorf("waits %v, want what was asked", wait)
	}
	if q.Next(0) != nil {
		t.Error("sends while it backs off")
	}
	q.Resume()
	q.Next(0)
	if _, wait := q.HandleResponse(Response{Status: 429, RetryAfter: time.Hour}); wait != maxRetryAfter {
		t.Errorf("waits %v, want %v at most", wait, maxRetryAfter)
	}
	q.Resume()
	if b := q.Next(2 * time.Minute); b != nil || q.Counts().DroppedExpired != 30 {
		t.Errorf("%v, %+v: expired items are sent", b, q.Counts())
	}
	for range 4 {
		q.Enqueue([]Item{{EnqueuedAt: 2 * time.Minute}})
	}
	q.Next(2 * time.Minute)
	q.HandleResponse(Response{Status: 413})
	if b := q.Next(2 * time.Minute); len(b) != 2 {
		t.Errorf("%d items after a 413 to 4, want 2", len(b))
	}
}

// BenchmarkFull enqueues into a full queue while a batch is in flight.
func BenchmarkFull(b *testing.B) {
	q := New(Settings{MaxItems: 100000, BatchSize: 2000})
	q.Enqueue(items(0, 100000))
	q.Next(0)
	one := items(0, 1)
	for b.Loop() {
		q.Enqueue(one)
	}
}
