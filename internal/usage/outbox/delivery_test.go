package outbox

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// runDelivery runs a delivery over a log until it is idle. Elements of the log are events; an empty element
// is a record without an event. respond returns the response of the receiver to a batch.
func runDelivery(t *testing.T, d *Delivery, log []string, respond func(batch []UsageEvent) PostResult) (
	acks []uint64, waits []time.Duration, deadLetters []string) {
	t.Helper()
	var event DeliveryEvent = Start{}
	for range 10000 {
		for _, action := range d.Handle(event) {
			switch action := action.(type) {
			case Acknowledge:
				acks = append(acks, action.Record)
			case Fetch:
				fetched := Fetched{LastRecord: action.After}
				for i := int(action.After); i < len(log) && len(fetched.Events) < action.MaxEvents; i++ {
					fetched.LastRecord = uint64(i + 1)
					if log[i] != "" {
						fetched.Events = append(fetched.Events, UsageEvent{uint64(i + 1), []byte(log[i])})
					}
				}
				event = fetched
			case Post:
				event = respond(action.Events)
			case StoreDeadLetter:
				deadLetters = append(deadLetters, string(action.Event.JSON))
				event = DeadLetterStored{}
			case Wait:
				waits = append(waits, action.Duration)
				if action.Idle {
					return
				}
				event = WaitEnded{}
			}
		}
	}
	t.Fatal("delivery did not become idle within 10000 events")
	return
}

// TestRejectedEventBecomesDeadLetter lets the receiver reject every batch that contains one specific event,
// which must not block the events after it. That event must become a dead letter, and all others must be
// accepted exactly once.
func TestRejectedEventBecomesDeadLetter(t *testing.T) {
	for size := 1; size <= 40; size++ {
		for rejected := range size {
			var log []string
			for i := range size {
				log = append(log, fmt.Sprint("e", i), "") // each event is followed by a record without one
			}
			accepted := map[string]int{}
			d := NewDelivery(DeliverySettings{BatchSize: 16})
			acks, _, deadLetters := runDelivery(t, d, log, func(batch []UsageEvent) PostResult {
				for _, e := range batch {
					if string(e.JSON) == fmt.Sprint("e", rejected) {
						return PostResult{Status: 400, BodySent: true}
					}
				}
				for _, e := range batch {
					accepted[string(e.JSON)]++
				}
				return PostResult{Status: 202, BodySent: true}
			})
			if len(deadLetters) != 1 || deadLetters[0] != fmt.Sprint("e", rejected) ||
				len(accepted) != size-1 || acks[len(acks)-1] < uint64(2*size-1) {
				t.Fatalf("%d events, event %d rejected: dead letters %v, %d accepted, acknowledged %v",
					size, rejected, deadLetters, len(accepted), acks)
			}
			for e, n := range accepted {
				if n != 1 {
					t.Fatalf("%d events, event %d rejected: %s accepted %d times", size, rejected, e, n)
				}
			}
			for i := 1; i < len(acks); i++ {
				if acks[i] < acks[i-1] {
					t.Fatalf("acknowledged records %v are not in ascending order", acks)
				}
			}
		}
	}
}

// TestIdleAcknowledgementsAreBatched fetches only records without events. An acknowledgement is itself such a
// record, so acknowledging each of them would produce acknowledgements endlessly. They must be acknowledged
// in large numbers.
func TestIdleAcknowledgementsAreBatched(t *testing.T) {
	d := NewDelivery(DeliverySettings{BatchSize: 10})
	acks := 0
	for to := uint64(1); to <= 3*idleAckRecords; to++ {
		for _, action := range d.Handle(Fetched{LastRecord: to}) {
			if _, ok := action.(Acknowledge); ok {
				acks++
			}
		}
	}
	if acks != 3 {
		t.Errorf("%d acknowledgements of %d records without events, want 3", acks, 3*idleAckRecords)
	}
}

// TestDeliveryBackoff lets the receiver fail for reasons other than the content of the batch. The batch must
// be sent again with increasing delays, or after the time that the receiver asks for, up to maxRetryAfter. No
// event may become a dead letter. It also checks that the event source is escaped as a URI.
func TestDeliveryBackoff(t *testing.T) {
	for _, failure := range []PostResult{
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
		acks, waits, deadLetters := runDelivery(t, d, []string{"a", "b"}, func([]UsageEvent) PostResult {
			if n++; n < 12 {
				return failure
			}
			return PostResult{Status: 200, BodySent: true}
		})
		if n != 12 || len(acks) != 1 || acks[0] != 2 || len(deadLetters) > 0 {
			t.Errorf("%+v: %d posts, acknowledged %v, dead letters %v; want 12, [2], none",
				failure, n, acks, deadLetters)
		}
		if waits[0] < minBackoff/2 || waits[10] < maxBackoff/2 || waits[10] > maxBackoff {
			t.Errorf("%+v: waited %v, want minBackoff/2 or more first, maxBackoff/2 to maxBackoff last",
				failure, waits)
		}
	}
	n := 0
	_, waits, _ := runDelivery(t, NewDelivery(DeliverySettings{BatchSize: 5}), []string{"a"},
		func([]UsageEvent) PostResult {
			if n++; n == 1 {
				return PostResult{Status: 429, RetryAfter: 7 * time.Second, BodySent: true}
			}
			if n == 2 {
				return PostResult{Status: 429, RetryAfter: 7 * time.Hour, BodySent: true}
			}
			return PostResult{Status: 200, BodySent: true}
		})
	if waits[0] != 7*time.Second || waits[1] != maxRetryAfter {
		t.Errorf("waited %v, want the requested time up to %v", waits, maxRetryAfter)
	}
	if !strings.HasPrefix(eventSource("f/x", 1, 2), "/winghatch/f%2Fx/") {
		t.Error(eventSource("f/x", 1, 2))
	}
}
