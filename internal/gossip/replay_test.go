package gossip

import (
	"testing"
	"time"
)

// TestWindow: repeated datagrams and those of an earlier incarnation are dropped. A sender that restarts after a step
// back of its wall clock has an earlier epoch; it is accepted once the known incarnation was silent for the timeout,
// and from then on the datagrams of either are accepted once.
func TestWindow(t *testing.T) {
	var s sender
	start := time.Now()
	steps := []struct {
		name            string
		epoch, sequence uint64
		after           time.Duration
		accept          bool
	}{
		{"first", 5, 1, 0, true},
		{"repeated", 5, 1, 0, false},
		{"skips one", 5, 3, 0, true},
		{"the skipped one", 5, 2, 0, true},
		{"the skipped one again", 5, 2, 0, false},
		{"far ahead", 5, 100, 0, true},
		{"before the window", 5, 3, 0, false},
		{"oldest in the window", 5, 37, 0, true},
		{"just out of the window", 5, 36, 0, false},
		{"an earlier incarnation", 4, 101, 0, false},
		{"a restart", 6, 1, 0, true},
		{"the incarnation before", 5, 101, 0, false},
		{"still before the timeout", 5, 101, incarnationTimeout - 1, false},
		{"earlier, once the known one is silent", 3, 1, incarnationTimeout, true},
		{"and repeated", 3, 1, incarnationTimeout, false},
		{"the later one meanwhile", 6, 1, incarnationTimeout, false},
		{"next of the earlier one", 3, 2, incarnationTimeout, true},
		{"repeated after a long time", 5, 100, 2 * incarnationTimeout, false},
		{"the later one again", 6, 2, 2 * incarnationTimeout, true},
		{"the earlier one meanwhile", 3, 3, 2 * incarnationTimeout, false},
	}
	for _, step := range steps {
		if s.accept(step.epoch, step.sequence, start.Add(step.after)) != step.accept {
			t.Errorf("%+v", step)
		}
	}
	for epoch := uint64(10); epoch < 100; epoch++ {
		s.accept(epoch, 1, start)
	}
	if len(s.incarnations) != maxIncarnations {
		t.Errorf("%d incarnations are remembered, want %d", len(s.incarnations), maxIncarnations)
	}
}
