package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func items(from, to int) (out []Item) {
	for i := from; i < to; i++ {
		out = append(out, Item{At: time.Duration(i), Size: 10, Data: i})
	}
	return out
}

// TestModel is a model check: whatever the receiver answers, what it took is in order and came once for each batch that
// it acknowledged; each item is sent, rejected or dropped, the oldest first; and the bounds hold at every step.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := Settings{Items: rapid.IntRange(1, 60).Draw(rt, "items"), Bytes: rapid.SampledFrom([]int{0, 150, 400}).Draw(rt, "bytes"),
			Batch: rapid.IntRange(1, 12).Draw(rt, "batch")}
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
				q.Put(items(next, next+n))
				next += n
			}
			c := q.Counts()
			if c.Waiting > q.s.Items || s.Bytes > 0 && c.WaitingBytes > s.Bytes+10*(s.Batch+1) {
				rt.Fatalf("%+v waits, the bounds are %+v", c, q.s)
			}
			b := append([]Item(nil), q.Next(0)...)
			if len(b) == 0 {
				q.Wake()
				continue
			}
			a := Answer{Status: 200, Whole: true}
			switch rapid.IntRange(0, 4).Draw(rt, "answer") {
			case 0:
				a.Status = 503
			case 1:
				a.Whole = false
			default:
				for _, it := range b {
					if bad[it.Data.(int)] {
						a.Status = 400
					}
				}
			}
			if rapid.IntRange(0, 3).Draw(rt, "meanwhile") == 0 { // more comes while the batch is out
				q.Put(items(next, next+7))
				next += 7
			}
			v, wait := q.Answered(a)
			if v == Done {
				for _, it := range b {
					if it.Data.(int) <= last {
						rt.Fatalf("item %d after %d", it.Data, last)
					}
					last = it.Data.(int)
					got++
				}
			}
			if (v == Again) != (wait > 0) {
				rt.Fatalf("%v waits %v", v, wait)
			}
		}
		c := q.Counts()
		if int(c.Put) != next || int(c.Sent) != got || c.Put != c.Sent+c.Rejected+c.DroppedFull+c.DroppedOld+uint64(c.Waiting) {
			rt.Fatalf("%+v: %d put, %d taken", c, next, got)
		}
		if int(c.Rejected) > len(bad) {
			rt.Fatalf("%d rejected, %d are bad", c.Rejected, len(bad))
		}
	})
}

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		a    Answer
		want Verdict
	}{
		{Answer{Status: 204, Whole: true}, Done}, {Answer{Status: 200}, Again}, {Answer{}, Again}, {Answer{Status: 500, Whole: true}, Again},
		{Answer{Status: 429, Whole: true}, Again}, {Answer{Status: 302, Whole: true}, Again}, {Answer{Status: 400, Whole: true}, Reject},
		{Answer{Status: 404}, Reject}, {Answer{Status: 413}, Reject}, {Answer{Status: 415, Two: true}, Older}, {Answer{Status: 415}, Reject},
		{Answer{Status: 200, Whole: true, Two: true}, Older}, {Answer{Status: 200, Whole: true, Two: true, Written: true}, Done},
	} {
		if got := Judge(c.a); got != c.want {
			t.Errorf("%+v: %v, want %v", c.a, got, c.want)
		}
	}
}

func TestWaits(t *testing.T) {
	q := New(Settings{Items: 100, Batch: 10, MaxAge: time.Minute})
	q.Put(items(0, 30))
	q.Next(0)
	if _, wait := q.Answered(Answer{Status: 429, RetryAfter: 7 * time.Second}); wait != 7*time.Second {
		t.Errorf("waits %v, want what was asked", wait)
	}
	if q.Next(0) != nil {
		t.Error("sends while it backs off")
	}
	q.Wake()
	q.Next(0)
	if _, wait := q.Answered(Answer{Status: 429, RetryAfter: time.Hour}); wait != retryMost {
		t.Errorf("waits %v, want %v at most", wait, retryMost)
	}
	q.Wake()
	if b := q.Next(2 * time.Minute); b != nil || q.Counts().DroppedOld != 30 {
		t.Errorf("%v, %+v: old ones are sent", b, q.Counts())
	}
	q.Put([]Item{{At: 2 * time.Minute}, {At: 2 * time.Minute}, {At: 2 * time.Minute}, {At: 2 * time.Minute}})
	q.Next(2 * time.Minute)
	q.Answered(Answer{Status: 413})
	if b := q.Next(2 * time.Minute); len(b) != 2 {
		t.Errorf("%d items after a 413 to 4, want 2", len(b))
	}
}

// BenchmarkFull puts items into a full queue while a batch is out.
func BenchmarkFull(b *testing.B) {
	q := New(Settings{Items: 100000, Batch: 2000})
	q.Put(items(0, 100000))
	q.Next(0)
	one := items(0, 1)
	for b.Loop() {
		q.Put(one)
	}
}
