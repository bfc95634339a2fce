package backend

import (
	"testing"
	"time"
)

// TestMeter tells the last whole period only, and counts a request once.
func TestMeter(t *testing.T) {
	m := NewUsageMeter(time.Hour, map[string]float64{"a": 2})
	m.add("1", "a", 3600)
	m.add("1", "a", 3600)
	m.add("2", "free", 1)
	if got := m.report("a"); got != 1 {
		t.Errorf("in its first period it tells %d, want 1", got)
	}
	m.periodStart = m.periodStart.Add(-time.Hour)
	if got := m.report("a"); got != 51 {
		t.Errorf("behind it it tells %d, want 51", got)
	}
	if got := m.report("free"); got != 0 {
		t.Errorf("of a member without a rate it tells %d", got)
	}
	m.periodStart = m.periodStart.Add(-3 * time.Hour)
	if got := m.report("a"); got != 1 {
		t.Errorf("behind periods without use it tells %d", got)
	}
}
