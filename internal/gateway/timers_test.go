package gateway

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTimerOrder guards against timers that fire twice, out of order, or after they were cancelled. It sets,
// cancels and pops timers in random order and compares the results with a sorted list: each timer must fire
// once, ordered by due time and then by the order of setting, and a cancelled one never.
func TestTimerOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type set struct {
			at      time.Duration
			number  int
			token   uint64
			attempt *attempt
		}
		var pending timers
		var want []set
		now := time.Duration(0)
		for number := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s := set{at: now + time.Duration(rapid.IntRange(0, 5).Draw(t, "at")), number: number,
					token: uint64(number + 1)}
				pending.setTimer(s.at, s.token)
				want = append(want, s)
			case 1:
				s := set{at: now + time.Duration(rapid.IntRange(0, 5).Draw(t, "at")), number: number,
					attempt: &attempt{}}
				pending.setTimeout(s.attempt, s.at)
				want = append(want, s)
			case 2:
				for i, s := range want {
					if s.attempt != nil && rapid.Bool().Draw(t, "this one") {
						pending.cancelTimeout(s.attempt)
						pending.cancelTimeout(s.attempt)
						want = slices.Delete(want, i, i+1)
						break
					}
				}
			case 3:
				now += time.Duration(rapid.IntRange(0, 4).Draw(t, "pass"))
				slices.SortFunc(want, func(a, b set) int {
					if a.at != b.at {
						return int(a.at - b.at)
					}
					return a.number - b.number
				})
				for len(want) > 0 && want[0].at <= now {
					token, a, ok := pending.popDue(now)
					if !ok || token != want[0].token || a != want[0].attempt {
						t.Fatalf("popDue(%v) returned %v, %v, %v, want %+v", now, token, a, ok, want[0])
					}
					want = want[1:]
				}
				if _, _, ok := pending.popDue(now); ok {
					t.Fatal("popDue returned a timer that is not due")
				}
			}
		}
		if len(pending.coreTimers)+len(pending.attemptTimers) != len(want) {
			t.Fatalf("%d core timers and %d timeouts are set, want %d in total",
				len(pending.coreTimers), len(pending.attemptTimers), len(want))
		}
	})
}
