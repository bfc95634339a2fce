package gateway

import (
	"log/slog"
	"testing"
	"time"

	"winghatch/decide"
)

// statusCountingCore counts the calls of Status.
type statusCountingCore struct {
	sendingCore
	calls int
}

func (c *statusCountingCore) Status() decide.Status {
	c.calls++
	return decide.Status{}
}

// TestSummaryDoesNotCopyCustomers guards against a periodic copy of the state of all customers, which took a
// gateway over its memory limit at the moment of a status line.
func TestSummaryDoesNotCopyCustomers(t *testing.T) {
	core := &statusCountingCore{}
	clock := func() time.Duration { return time.Hour }
	l := NewLoop(decide.Config{}, core, clock, nil, nil, nil, slog.New(slog.DiscardHandler))
	go l.Run()
	t.Cleanup(l.Stop)
	l.Summary()
	if core.calls != 0 {
		t.Errorf("Summary called Status of the core %d times, want 0", core.calls)
	}
}
