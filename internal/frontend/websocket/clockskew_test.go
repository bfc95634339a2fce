package websocket

import (
	"math"
	"testing"
	"time"
)

// Guards against calls that look newer than they are. A gateway that was suspended while calls waited unread
// took them for new, and gave servers more time than the clients had left.
func TestClockSkew(t *testing.T) {
	var s clockSkew
	at := func(ms float64) *float64 { return &ms }
	for i, c := range []struct {
		now  time.Duration
		at   *float64
		want time.Duration
	}{
		{10 * time.Second, at(1000), 0},
		{11 * time.Second, at(1990), 10 * time.Millisecond},
		{12 * time.Second, at(3020), 0}, // arrives faster than all calls before
		{13 * time.Second, at(4020), 0},
		{16 * time.Second, at(5020), 2 * time.Second}, // the gateway was suspended
		{16 * time.Second, at(6520), 500 * time.Millisecond},
		{17 * time.Second, at(100), 0}, // the client's clock stepped back
		{18 * time.Second, at(1100), 0},
		{18 * time.Second, nil, 0},
		{18 * time.Second, at(math.Inf(1)), 0},
		{500 * time.Second, at(1200), time.Minute}, // the age is bounded by maxAgeMs
	} {
		if got := s.age(c.now, c.at); (got - c.want).Abs() > time.Microsecond {
			t.Errorf("step %d: age %v, want %v", i, got, c.want)
		}
	}
}
