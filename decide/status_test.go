package decide

import (
	"fmt"
	"testing"
)

// The memory that a summary takes must not depend on the number of customers, because it is read every few
// seconds. It must state how many customers and gossip entries are held, or their growth can't be observed.
func TestSummaryAllocatesNothing(t *testing.T) {
	h := newHarness(t, nil)
	const customers = 1000
	for i := range customers {
		h.serve("get", "wide", fmt.Sprint("c", i), 1)
	}
	var s Summary
	if n := testing.AllocsPerRun(10, func() { s = h.g.Summary() }); n != 0 {
		t.Errorf("a summary takes %v allocations, want 0", n)
	}
	// Each customer's use is reported to two peers.
	if s.Customers != customers || s.GossipQueue != 2*customers {
		t.Errorf("summary has %d customers and %d gossip entries, want %d and %d",
			s.Customers, s.GossipQueue, customers, 2*customers)
	}
}
