package decide

import (
	"testing"
	"time"
)

// Guards against a keyed request that runs twice because an attempt that was decided first is written last,
// after the dedup window of a later attempt. The guard must count from the first write in any order, leave an
// attempt alone that no other one precedes, and forget attempts that never ran.
func TestWriteGuardCountsFromFirstWrite(t *testing.T) {
	cfg := Config{Classes: []Class{
		{Name: "put", Idempotency: IdempotentByKey, DedupWindow: 500 * ms},
		{Name: "get", Idempotency: Idempotent, DedupWindow: 500 * ms},
	}}
	lastWrite := 300*ms + 500*ms - objectiveMargin
	g := cfg.WriteGuard("put")
	if !g.MayWrite(0, time.Hour) {
		t.Error("the only attempt is refused")
	}
	g.WriteStarts(1, 300*ms)
	g.WriteStarts(1, 700*ms) // the rest of the same attempt
	if !g.MayWrite(0, lastWrite-1) || g.MayWrite(0, lastWrite) {
		t.Errorf("attempt 0 must be allowed before %v, and not from then on", lastWrite)
	}
	if !g.MayWrite(1, time.Hour) {
		t.Error("an attempt is bounded by its own write")
	}
	g.WriteStarts(2, 400*ms)
	g.AttemptEnded(2, OutcomeReset)
	g.AttemptEnded(1, OutcomeRejected)
	if !g.MayWrite(0, lastWrite+99*ms) || g.MayWrite(0, lastWrite+100*ms) {
		t.Error("the bound does not follow attempt 2 after attempt 1 proved not to have run")
	}
	g = cfg.WriteGuard("get")
	g.WriteStarts(1, 300*ms)
	if !g.MayWrite(0, time.Hour) {
		t.Error("an idempotent request is bounded")
	}
}
