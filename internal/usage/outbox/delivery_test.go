package outbox

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// drive runs a delivery over a log until it is idle; respond answers each batch. An empty element of the log is a
// record without an event.
func drive(t *testing.T, d *Delivery, log []string, respond func(batch []UsageEvent) PostResult) (
	acks []uint64, waits []time.Duration, deadLetters []string) {
	t.Helper()
	var ev DeliveryEvent = Start{}
	for range 10000 {
		for _, a := range d.Handle(ev) {
			switch a := a.(type) {
			case Acknowledge:
				acks = append(acks, a.Record)
			case Fetch:
				f := Fetched{LastRecord: a.After}
				for i := int(a.After); i < len(log) && len(f.Events) < a.MaxEvents; i++ {
					f.LastRecord = uint64(i + 1)
					if log[i] != "" {
						f.Events = append(f.Events, UsageEvent{uint64(i + 1), []byte(log[i])})
					}
				}
				ev = f
			case Post:
				ev = respond(a.Events)
			case StoreDeadLetter:
				deadLetters = append(deadLetters, string(a.Event.JSON))
				ev = DeadLetterStored{}
			case Wait:
				waits = append(waits, a.Duration)
				if a.Idle {
					return
				}
				ev = WaitEnded{}
			}
		}
	}
	t.Fatal("the delivery is never idle")
	return
}

// TestOneBadEvent has the receiver reject every batch that holds one certain event: that event becomes a dead letter,
// all others are accepted once each.
func TestOneBadEvent(t *testing.T) {
	for size := 1; size <= 40; size++ {
		for bad := range size {
			var log []string
			for i := range size {
				log = append(log, fmt.Sprint("e", i), "") // a record without an event behind each
			}
			have := map[string]int{}
			d := NewDelivery(DeliverySettings{BatchSize: 16})
			acks, _, deadLetters := drive(t, d, log, func(b []UsageEvent) PostResult {
				for _, e := range b {
					if string(e.JSON) == fmt.Sprint("e", bad) {
						return PostResult{Status: 400, BodySent: true}
					}
				}
				for _, e := range b {
					have[string(e.JSON)]++
				}
				return PostResult{Status: 202, BodySent: true}
			})
			if len(deadLetters) != 1 || deadLetters[0] != fmt.Sprint("e", bad) || len(have) != size-1 ||
				acks[len(acks)-1] < uint64(2*size-1) {
				t.Fatalf("%d events, bad %d: %v dead letters, %d sent, acks %v", size, bad, deadLetters,
					len(have), acks)
			}
			for e, n := range have {
				if n != 1 {
					t.Fatalf("%d events, bad %d: %s sent %d times", size, bad, e, n)
				}
			}
			for i := 1; i < len(acks); i++ {
				if acks[i] < acks[i-1] {
					t.Fatalf("acks %v", acks)
				}
			}
		}
	}
}

// TestQuietAck fetches records without events only. They are acknowledged in large numbers: an acknowledgement is
// such a record itself, and one for each would bring the next without end.
func TestQuietAck(t *testing.T) {
	s := NewDelivery(DeliverySettings{BatchSize: 10})
	acks := 0
	for to := uint64(1); to <= 3*idleAckRecords; to++ {
		for _, a := range s.Handle(Fetched{LastRecord: to}) {
			if _, ok := a.(Acknowledge); ok {
				acks++
			}
		}
	}
	if acks != 3 {
		t.Errorf("%d acknowledgements of %d records that are no events, want 3", acks, 3*idleAckRecords)
	}
}

// TestBackoff has the receiver fail in ways that are no fault of an event: the batch is sent again with growing
// delays, or after the time that the receiver asks for, up to a bound.
func TestBackoff(t *testing.T) {
	for _, p := range []PostResult{
		{Status: 500, BodySent: true},
		{Status: 503, BodySent: true},
		{Status: 0, Reason: "refused"},
		{Status: 200, BodySent: false},
		{Status: 302, BodySent: true},
		{Status: 404, BodySent: true},
		{Status: 401, BodySent: true},
	} {
		n := 0
		d := NewDelivery(DeliverySettings{BatchSize: 5, Seed: 3})
		acks, waits, deadLetters := drive(t, d, []string{"a", "b"}, func([]UsageEvent) PostResult {
			if n++; n < 12 {
				return p
			}
			return PostResult{Status: 200, BodySent: true}
		})
		if n != 12 || len(acks) != 1 || acks[0] != 2 || len(deadLetters) > 0 {
			t.Errorf("%+v: %d posts, acks %v, dead letters %v", p, n, acks, deadLetters)
		}
		if waits[0] < minBackoff/2 || waits[10] < maxBackoff/2 || waits[10] > maxBackoff {
			t.Errorf("%+v: waited %v", p, waits)
		}
	}
	n := 0
	_, waits, _ := drive(t, NewDelivery(DeliverySettings{BatchSize: 5}), []string{"a"}, func([]UsageEvent) PostResult {
		if n++; n == 1 {
			return PostResult{Status: 429, RetryAfter: 7 * time.Second, BodySent: true}
		}
		if n == 2 {
			return PostResult{Status: 429, RetryAfter: 7 * time.Hour, BodySent: true}
		}
		return PostResult{Status: 200, BodySent: true}
	})
	if waits[0] != 7*time.Second || waits[1] != maxRetryAfter {
		t.Errorf("waited %v, want what was asked, up to %v", waits, maxRetryAfter)
	}
	if !strings.HasPrefix(eventSource("f/x", 1, 2), "/winghatch/f%2Fx/") {
		t.Error(eventSource("f/x", 1, 2))
	}
}
