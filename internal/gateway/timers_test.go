package gateway

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTimers sets, cancels and takes timers in any order: each is due once, in the order of time and of setting, and a
// cancelled one never.
func TestTimers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type set struct {
			at    time.Duration
			no    int
			token uint64
			x     *attempt
		}
		var tm timers
		var want []set
		now := time.Duration(0)
		for no := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s := set{at: now + time.Duration(rapid.IntRange(0, 5).Draw(t, "at")), no: no, token: uint64(no + 1)}
				tm.setTimer(s.at, s.token)
				want = append(want, s)
			case 1:
				s := set{at: now + time.Duration(rapid.IntRange(0, 5).Draw(t, "at")), no: no, x: &attempt{}}
				tm.setTimeout(s.x, s.at)
				want = append(want, s)
			case 2:
				for i, s := range want {
					if s.x != nil && rapid.Bool().Draw(t, "this one") {
						tm.cancelTimeout(s.x)
						tm.cancelTimeout(s.x)
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
					return a.no - b.no
				})
				for len(want) > 0 && want[0].at <= now {
					token, x, ok := tm.popDue(now)
					if !ok || token != want[0].token || x != want[0].x {
						t.Fatalf("due at %v: %v %v %v, want %+v", now, token, x, ok, want[0])
					}
					want = want[1:]
				}
				if _, _, ok := tm.popDue(now); ok {
					t.Fatal("one more is due")
				}
			}
		}
		if len(tm.coreTimers)+len(tm.attemptTimers) != len(want) {
			t.Fatalf("%d and %d are set, want %d", len(tm.coreTimers), len(tm.attemptTimers), len(want))
		}
	})
}
