package websocket

import (
	"math"
	"testing"
	"time"
)

// A gateway was suspended while calls waited unread, and took them for new: servers got more time than
// clients had left.
func TestSkew(t *testing.T) {
	var s clockSkew
	at := func(ms float64) *float64 { return &ms }
	for i, c := range []struct {
		now  time.Duration
		at   *float64
		want time.Duration
	}{
		{10 * time.Second, at(1000), 0},
		{11 * time.Second, at(1990), 10 * time.Millisecond},
		{12 * time.Second, at(3020), 0}, // quicker than any before
		{13 * time.Second, at(4020), 0},
		{16 * time.Second, at(5020), 2 * time.Second}, // the gateway was suspended
		{16 * time.Second, at(6520), 500 * time.Millisecond},
		{17 * time.Second, at(100), 0}, // the client's clock stepped back
		{18 * time.Second, at(1100), 0},
		{18 * time.Second, nil, 0},
		{18 * time.Second, at(math.Inf(1)), 0},
		{500 * time.Second, at(1200), time.Minute}, // no call is older than a minute
	} {
		if got := s.age(c.now, c.at); (got - c.want).Abs() > time.Microsecond {
			t.Errorf("step %d: %v, want %v", i, got, c.want)
		}
	}
}
