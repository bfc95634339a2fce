package gossip

import (
	"testing"
	"time"
)

// TestReplayProtection guards against datagrams that are delivered twice and against those of an earlier
// incarnation. It also guards against dropping the datagrams of a sender forever: one that restarts after its
// wall clock was set back has an earlier epoch. That epoch is accepted after the known incarnation has sent
// nothing for incarnationTimeout, and each datagram of either incarnation is accepted at most once.
func TestReplayProtection(t *testing.T) {
	var filter replayFilter
	start := time.Now()
	steps := []struct {
		name            string
		epoch, sequence uint64
		after           time.Duration
		accept          bool
	}{
		{"first datagram", 5, 1, 0, true},
		{"repeated datagram", 5, 1, 0, false},
		{"after a gap", 5, 3, 0, true},
		{"late datagram from the gap", 5, 2, 0, true},
		{"repeated datagram from the gap", 5, 2, 0, false},
		{"far ahead of the window", 5, 100, 0, true},
		{"before the window", 5, 3, 0, false},
		{"lowest in the window", 5, 37, 0, true},
		{"directly below the window", 5, 36, 0, false},
		{"earlier incarnation", 4, 101, 0, false},
		{"restart", 6, 1, 0, true},
		{"incarnation before the restart", 5, 101, 0, false},
		{"the same shortly before the timeout", 5, 101, incarnationTimeout - 1, false},
		{"earlier incarnation after the timeout", 3, 1, incarnationTimeout, true},
		{"repeated datagram of the earlier incarnation", 3, 1, incarnationTimeout, false},
		{"repeated datagram of the later incarnation", 6, 1, incarnationTimeout, false},
		{"next datagram of the earlier incarnation", 3, 2, incarnationTimeout, true},
		{"repeated datagram after a long time", 5, 100, 2 * incarnationTimeout, false},
		{"next datagram of the later incarnation", 6, 2, 2 * incarnationTimeout, true},
		{"earlier incarnation before the timeout", 3, 3, 2 * incarnationTimeout, false},
	}
	for _, step := range steps {
		if filter.accept(step.epoch, step.sequence, start.Add(step.after)) != step.accept {
			t.Errorf("step %+v: accept returned the opposite of the field accept", step)
		}
	}
	for epoch := uint64(10); epoch < 100; epoch++ {
		filter.accept(epoch, 1, start)
	}
	if len(filter.incarnations) != maxIncarnations {
		t.Errorf("%d incarnations are remembered, want %d", len(filter.incarnations), maxIncarnations)
	}
}
